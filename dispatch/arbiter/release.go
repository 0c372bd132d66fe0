package arbiter

import (
	"cmp"
	"time"

	"magnoliastand.example/dispatch"
)

// grant is a grant whose request may be running.
type grant struct {
	Grant          dispatch.Grant
	key            askKey
	slots          *endpointSlots
	class          *class // nil when an adopted grant's queue is not in the document
	queue          *queue // nil when class is
	team           *team
	hasUnit        bool // a unit of the team's limit is held for it
	outcomeUnknown bool // released with an unknown outcome
	grantedAt      time.Time
	latestStart    time.Time     // latest time at which the first byte is sent
	endsAt         time.Time     // time after which the request can't be running
	expectedRun    time.Duration // slot time charged to the team's fair-share order
	index          int
}

func (g *grant) before(other *grant) bool { return g.endsAt.Before(other.endsAt) }

func (g *grant) heapPosition() *int { return &g.index }

func compareGrants(x, y *grant) int {
	return cmp.Or(
		cmp.Compare(x.Grant.ID.Term, y.Grant.ID.Term),
		cmp.Compare(x.Grant.ID.Seq, y.Grant.ID.Seq),
	)
}

// Release returns a grant. A repeated release or one of an unknown grant has no
// effect.
func (a *Arbiter) Release(now time.Time, rel dispatch.Release) []Event {
	a.begin(now)
	gr, ok := a.grants[rel.Grant]
	if !ok {
		return a.finish()
	}
	a.reg.Observe(a.now, gr.Grant.Endpoint, gr.Grant.EndpointIncarnation, rel.Outcome)
	switch rel.Outcome {
	case dispatch.OutcomeUnused:
		a.endGrant(gr, 0)
	case dispatch.OutcomeAnswered, dispatch.OutcomeFailed, dispatch.OutcomeRefused:
		held := a.now.Sub(gr.grantedAt)
		if gr.queue != nil {
			gr.queue.observeRun(held)
		}
		a.endGrant(gr, held)
	case dispatch.OutcomeUnknown:
		a.retainUnknown(gr, rel.Elapsed)
	}
	return a.finish()
}

// retainUnknown keeps the slot and the unit of a request that may still be
// running.
func (a *Arbiter) retainUnknown(gr *grant, elapsed time.Duration) {
	if a.mutations.freeOnUnknown {
		a.endGrant(gr, a.now.Sub(gr.grantedAt))
		return
	}
	if a.mutations.freeUnitOnUnknown && gr.hasUnit {
		gr.hasUnit = false
		a.release(gr.team)
	}
	a.stopResending(gr)
	gr.outcomeUnknown = true
	started := a.now.Add(-max(elapsed, 0))
	if started.Before(gr.grantedAt) {
		started = gr.grantedAt
	}
	if started.Before(gr.latestStart) {
		a.setLatestStart(gr, started)
	}
	if a.endedWithProcess(gr) {
		a.endGrant(gr, a.now.Sub(gr.grantedAt))
	}
}

// OriginLost reports that a daemon incarnation has ended or is considered failed.
// Its waiting asks are removed. Its grants remain, because their requests may be
// running.
func (a *Arbiter) OriginLost(now time.Time, origin dispatch.DaemonID) []Event {
	a.begin(now)
	for _, w := range a.asks {
		if w.key.origin == origin {
			a.removeAsk(w)
		}
	}
	for _, gr := range a.grants {
		if gr.key.origin != origin {
			continue
		}
		a.stopResending(gr)
		if a.mutations.freeOnOriginLost {
			a.endGrant(gr, a.now.Sub(gr.grantedAt))
		}
	}
	a.recovery.lost(origin)
	return a.finish()
}

// resendGrant sends a grant again to an origin that repeats its ask. It returns
// false if the endpoint may get no more work: the ask is then handled as a new
// one, and the old grant remains until it is released or has ended.
func (a *Arbiter) resendGrant(gr *grant) bool {
	sl := gr.slots
	same := sl.incarnation == gr.Grant.EndpointIncarnation && sl.address == gr.Grant.Address
	if !same || !a.reg.MayGrant(a.now, sl.id) || a.withheld() {
		a.stopResending(gr)
		return false
	}
	a.extendLatestStart(gr)
	a.emit(Granted{Origin: gr.key.origin, Grant: gr.Grant})
	return true
}

// extendLatestStart sets the latest start of a grant that is being sent now.
func (a *Arbiter) extendLatestStart(gr *grant) {
	a.setLatestStart(gr, a.now.Add(a.opts.Margin+gr.Grant.StartWithin))
}

func (a *Arbiter) setLatestStart(gr *grant, latest time.Time) {
	gr.latestStart = latest
	gr.endsAt = latest.Add(gr.Grant.LongestRun + a.opts.Margin)
	a.grantEnds.fix(gr)
}

// handleStall extends latest starts after the process was suspended at before.
// Grants issued shortly before may be sent only now, and buffered endpoint
// reports may be as old as the suspension.
func (a *Arbiter) handleStall(before time.Time) {
	if a.mutations.ignoreStalls {
		return
	}
	latest := a.now.Add(a.opts.Margin + a.opts.StartWithin)
	for _, gr := range a.grants {
		if !gr.outcomeUnknown && a.opts.reportCovers(gr.latestStart).After(before) {
			a.setLatestStart(gr, latest)
		}
	}
	if a.opts.reportCovers(a.recovery.latestStart).After(before) {
		a.recovery.latestStart = latest
	}
}

// stopResending stops resending the grant, so that a repeated ask is handled as a new
// one.
func (a *Arbiter) stopResending(gr *grant) {
	if a.resendable[gr.key] == gr {
		delete(a.resendable, gr.key)
	}
}

// occupy adds a grant and charges its expected slot time to the team.
func (a *Arbiter) occupy(gr *grant) {
	a.grants[gr.Grant.ID] = gr
	a.grantEnds.push(gr)
	gr.team.grants++
	sl := gr.slots
	sl.occupied++
	sl.usedAt = a.seq
	a.refresh(sl)
	c := gr.class
	if c == nil {
		return
	}
	c.running++
	gr.expectedRun = gr.queue.expectedRun()
	c.fairOrder.Start(gr.team.name, gr.expectedRun)
}

// endGrant removes a grant whose request is no longer running and frees its slot
// and unit. held is the time for which it occupied the slot.
func (a *Arbiter) endGrant(gr *grant, held time.Duration) {
	delete(a.grants, gr.Grant.ID)
	a.stopResending(gr)
	a.grantEnds.remove(gr)
	gr.team.grants--
	sl := gr.slots
	sl.occupied--
	a.refresh(sl)
	a.pruneSlots(sl)
	if c := gr.class; c != nil {
		c.running--
		c.fairOrder.Finish(gr.team.name, gr.expectedRun, held)
		a.markDirty(c.svc)
	}
	if gr.hasUnit {
		a.release(gr.team)
	}
}
