package arbiter

import (
	"slices"
	"time"

	"magnoliastand.example/dispatch"
	"magnoliastand.example/dispatch/endpoint"
)

// recovery is what a new arbiter still has to learn of earlier terms.
type recovery struct {
	pending     bool // slots may be occupied by grants of earlier terms
	startedAt   time.Time
	latestStart time.Time // no grant of an earlier term starts after this
	complete    bool      // no origin outside the list can hold a grant, none was lost
	awaited     map[dispatch.DaemonID]struct{}
	adopted     map[dispatch.GrantID]struct{} // declared grants, so that each counts once
}

func newRecovery(now time.Time, opts Options) recovery {
	r := recovery{
		startedAt:   now,
		latestStart: now.Add(opts.Margin + opts.StartWithin),
		complete:    opts.Recovery.Complete,
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

// lost notes that an origin will not declare what it holds.
func (r *recovery) lost(origin dispatch.DaemonID) {
	if _, ok := r.awaited[origin]; ok {
		delete(r.awaited, origin)
		r.complete = false
	}
}

// Declare takes over the grants of earlier terms that an origin still holds.
// Repeating it is harmless.
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

// adopt counts a grant of an earlier term, with its team's unit.
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
	// The predecessor may have freed and granted again the slot of a grant that
	// ended before this term, so it must not stand for an unknown slot.
	if !gr.endsAt.After(a.recovery.startedAt) || a.endedWithProcess(gr) {
		a.pruneSlots(gr.slots)
		return
	}
	if a.occupiesUnknownSlot(gr) {
		gr.slots.setUnknown(gr.slots.undeclared-1, gr.slots.reportedRunning)
	}
	a.occupy(gr)
	if gr.team.name != "" {
		gr.unit = true
		gr.team.units++
		a.limiter.Adopt(gr.team.name, 1)
	}
}

// standsForUnknown reports whether an adopted grant is one of the slots that
// the predecessor held occupied. It may have freed one that an earlier term
// granted, by the endpoint's word, and one on an earlier process.
func (a *Arbiter) occupiesUnknownSlot(gr *grant) bool {
	return gr.Grant.ID.Term+1 == a.opts.Term && gr.Grant.EndpointIncarnation == gr.slots.incarnation
}

// Reconnected tells that the link to an origin was made anew, and what the
// origin holds. Messages of the earlier link that did not arrive never will: a
// grant of this term that the origin does not hold was not received, or its
// release was lost, so it is not running and is freed. The caller passes this
// on before any other message of the new link. The origin then repeats its
// waiting asks.
func (a *Arbiter) Reconnected(now time.Time, d dispatch.Declaration) []Event {
	a.begin(now)
	holds := make(map[dispatch.GrantID]struct{}, len(d.Held))
	for _, h := range d.Held {
		holds[h.Grant.ID] = struct{}{}
	}
	var lost []*grant
	for id, gr := range a.grants {
		_, held := holds[id]
		if gr.key.origin == d.Origin && id.Term == a.opts.Term && !held && !gr.unknown {
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

// slotsOf returns the slots of a grant's endpoint, which may not have been
// heard of yet.
func (a *Arbiter) slotsOf(g dispatch.Grant) *slots {
	if sl, ok := a.slots[g.Endpoint]; ok {
		return sl
	}
	sl := &slots{id: g.Endpoint, incarnation: g.EndpointIncarnation, address: g.Address}
	if q, ok := a.queues[g.Queue]; ok {
		sl.svc = q.svc
	}
	a.slots[g.Endpoint] = sl
	return sl
}

// firstSight sets how many slots of an endpoint are unknown when it is first
// heard of.
func (a *Arbiter) initUnknown(sl *slots) {
	if sl.initialized || sl.svc == nil {
		return
	}
	sl.initialized = true
	if !a.recovery.pending || a.mutations.assumeFree {
		return
	}
	// The predecessor may have worked with more configured slots.
	undeclared := sl.announced
	for _, gr := range a.grants {
		if gr.slots == sl && a.occupiesUnknownSlot(gr) {
			undeclared--
		}
	}
	sl.setUnknown(undeclared, sl.announced)
}

// recoverSlots frees unknown slots that the endpoint's own word, the end of its
// process or the longest run shows to be free.
func (a *Arbiter) recoverSlots(sl *slots, e endpoint.Endpoint) {
	if sl.unknown == 0 || sl.svc == nil {
		return
	}
	surely := a.opts.reportCovers(a.recovery.latestStart)
	switch {
	case !sl.endedHeard.Before(surely):
		sl.setUnknown(0, 0)
	case !a.now.Before(surely.Add(max(sl.svc.cfg.longestRun, a.opts.Recovery.LongestRun))):
		sl.setUnknown(0, 0)
	case !e.Heard.Before(surely) && e.State != endpoint.StateGone:
		sl.setUnknown(sl.undeclared, min(sl.reportedRunning, e.Announcement.Running))
	}
}

// tickRecovery looks at the endpoints' latest words while slots are unknown.
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

// recoveryBound returns when nothing that an earlier term granted can be
// running any more.
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
