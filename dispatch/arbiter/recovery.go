package arbiter

import (
	"slices"
	"time"

	"magnoliastand.example/dispatch"
	"magnoliastand.example/dispatch/endpoint"
)

// recovery tracks what a new arbiter does not yet know about earlier terms.
type recovery struct {
	pending     bool // slots may be occupied by grants of earlier terms
	startedAt   time.Time
	latestStart time.Time // no grant of an earlier term starts after this
	complete    bool      // no unlisted origin can hold a grant, and no listed origin was lost
	awaited     map[dispatch.DaemonID]struct{}
	adopted     map[dispatch.GrantID]struct{} // declared grants, so that each is counted once
}

func newRecovery(now time.Time, opts Options) recovery {
	r := recovery{
		startedAt:   now,
		latestStart: now.Add(opts.Margin + opts.StartWithin),
		complete:    opts.Recovery.OriginsComplete,
		awaited:     make(map[dispatch.DaemonID]struct{}, len(opts.Recovery.Origins)),
		adopted:     make(map[dispatch.GrantID]struct{}),
	}
	for _, o := range opts.Recovery.Origins {
		r.awaited[o] = struct{}{}
	}
	r.pending = !r.done()
	return r
}

func (r *recovery) done() bool { return r.complete && len(r.awaited) == 0 }

// lost records that an origin will not declare its grants.
func (r *recovery) lost(origin dispatch.DaemonID) {
	if _, ok := r.awaited[origin]; ok {
		delete(r.awaited, origin)
		r.complete = false
	}
}

// Declare adopts the grants of earlier terms that an origin still holds. It is
// idempotent.
func (a *Arbiter) Declare(now time.Time, d dispatch.Declaration) []Event {
	a.begin(now)
	for _, h := range d.Held {
		a.adopt(d.Origin, h)
	}
	delete(a.recovery.awaited, d.Origin)
	if a.recovery.pending && a.recovery.done() {
		a.endRecovery()
	}
	return a.finish()
}

// adopt adds a grant of an earlier term and its unit of the team's limit.
func (a *Arbiter) adopt(origin dispatch.DaemonID, h dispatch.HeldGrant) {
	id := h.Grant.ID
	if id.Zone != a.opts.Zone || id.Term >= a.opts.Term {
		return
	}
	if _, ok := a.recovery.adopted[id]; ok {
		return
	}
	a.recovery.adopted[id] = struct{}{}
	gr := &grant{
		Grant:     h.Grant,
		key:       askKey{h.Grant.RequestID, origin},
		slots:     a.slotsOf(h.Grant),
		team:      a.teamOf(h.Grant.Team),
		grantedAt: a.now,
	}
	if q, ok := a.queues[h.Grant.Queue]; ok {
		gr.queue = q
		gr.class = q.class
		a.backlogOf(q.class, gr.team)
	}
	latest := a.now.Add(h.Grant.StartWithin)
	if h.Started {
		latest = a.now.Add(-max(h.Running, 0))
		gr.grantedAt = latest
	}
	a.setLatestStart(gr, latest)
	// The predecessor may have freed and reallocated the slot of a grant that
	// ended before this term, so it must not account for an unknown slot.
	if !gr.endsAt.After(a.recovery.startedAt) || a.endedWithProcess(gr) {
		a.pruneSlots(gr.slots)
		return
	}
	if a.occupiesUnknownSlot(gr) {
		gr.slots.setUnknown(gr.slots.undeclared-1, gr.slots.reportedRunning)
	}
	a.occupy(gr)
	if gr.team.name != "" {
		gr.hasUnit = true
		gr.team.units++
		a.limiter.Adopt(gr.team.name, 1)
	}
}

// occupiesUnknownSlot reports whether an adopted grant occupies a slot that the
// predecessor counted as occupied. The predecessor may already have freed the
// slot if an earlier term granted it, based on the endpoint's report, or if the
// grant was for an earlier endpoint process.
func (a *Arbiter) occupiesUnknownSlot(gr *grant) bool {
	return gr.Grant.ID.Term+1 == a.opts.Term && gr.Grant.EndpointIncarnation == gr.slots.incarnation
}

// OriginReconnected reports that the link to an origin was re-established, with
// the grants that the origin holds. Undelivered messages of the old link are
// lost: a grant of this term that the origin does not hold was not received or
// its release was lost, so it is not running and is freed. The caller calls
// this before it processes any other message of the new link. The origin then
// repeats its waiting asks.
func (a *Arbiter) OriginReconnected(now time.Time, d dispatch.Declaration) []Event {
	a.begin(now)
	holds := make(map[dispatch.GrantID]struct{}, len(d.Held))
	for _, h := range d.Held {
		holds[h.Grant.ID] = struct{}{}
	}
	var lost []*grant
	for id, gr := range a.grants {
		_, held := holds[id]
		if gr.key.origin == d.Origin && id.Term == a.opts.Term && !held && !gr.outcomeUnknown {
			lost = append(lost, gr)
		}
	}
	slices.SortFunc(lost, compareGrants)
	for _, gr := range lost {
		a.endGrant(gr, 0)
	}
	for _, h := range d.Held {
		a.adopt(d.Origin, h)
	}
	return a.finish()
}

// slotsOf returns the slots of a grant's endpoint, which may not be registered
// yet.
func (a *Arbiter) slotsOf(g dispatch.Grant) *endpointSlots {
	if sl, ok := a.slots[g.Endpoint]; ok {
		return sl
	}
	sl := &endpointSlots{id: g.Endpoint, incarnation: g.EndpointIncarnation, address: g.Address}
	if q, ok := a.queues[g.Queue]; ok {
		sl.svc = q.svc
	}
	a.slots[g.Endpoint] = sl
	return sl
}

// initUnknown sets the number of unknown slots of an endpoint when its first
// announcement is processed.
func (a *Arbiter) initUnknown(sl *endpointSlots) {
	if sl.initialized || sl.svc == nil {
		return
	}
	sl.initialized = true
	if !a.recovery.pending || a.mutations.assumeFree {
		return
	}
	// The announced number is used because the predecessor may have had a
	// configuration with more slots.
	undeclared := sl.announced
	for _, gr := range a.grants {
		if gr.slots == sl && a.occupiesUnknownSlot(gr) {
			undeclared--
		}
	}
	sl.setUnknown(undeclared, sl.announced)
}

// recoverSlots frees unknown slots that are known to be free from the endpoint's
// report, the end of its process, or the expiry of the longest run.
func (a *Arbiter) recoverSlots(sl *endpointSlots, e endpoint.Endpoint) {
	if sl.unknown == 0 || sl.svc == nil {
		return
	}
	coveredFrom := a.opts.reportCovers(a.recovery.latestStart)
	switch {
	case !sl.endedHeard.Before(coveredFrom):
		sl.setUnknown(0, 0)
	case !a.now.Before(coveredFrom.Add(max(sl.svc.cfg.longestRun, a.opts.Recovery.LongestRun))):
		sl.setUnknown(0, 0)
	case !e.LastReceived.Before(coveredFrom) && e.State != endpoint.StateGone:
		sl.setUnknown(sl.undeclared, min(sl.reportedRunning, e.Announcement.Running))
	}
}

// tickRecovery evaluates the endpoints' latest reports while slots are unknown.
func (a *Arbiter) tickRecovery() {
	if !a.recovery.pending {
		return
	}
	for _, sl := range a.slots {
		e, ok := a.reg.Get(sl.id)
		if !ok || sl.unknown == 0 {
			continue
		}
		a.recoverSlots(sl, e)
		a.refresh(sl)
	}
	if !a.now.Before(a.recoveryBound()) {
		a.endRecovery()
	}
}

// recoveryBound returns the time after which no request granted in an earlier
// term can be running.
func (a *Arbiter) recoveryBound() time.Time {
	longest := a.opts.Recovery.LongestRun
	for _, s := range a.services {
		longest = max(longest, s.cfg.longestRun)
	}
	return a.opts.reportCovers(a.recovery.latestStart).Add(longest)
}

func (a *Arbiter) endRecovery() {
	a.recovery.pending = false
	for _, sl := range a.slots {
		sl.setUnknown(0, 0)
		a.refresh(sl)
	}
}
