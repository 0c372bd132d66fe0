package arbiter

import (
	"magnoliastand.example/api"
	"magnoliastand.example/dispatch"
	"magnoliastand.example/invariant"
)

// maxCandidates is the number of asks of a queue that are tried when the first
// ones exclude every endpoint with a free slot.
const maxCandidates = 8

// serve grants free slots of the service until no waiting ask can use one.
func (a *Arbiter) serve(s *service) {
	for s.free > 0 && a.serveNext(s) {
	}
	for _, bl := range a.skipped {
		a.refreshBacklog(bl)
	}
	clear(a.skipped)
	a.skipped = a.skipped[:0]
}

func (a *Arbiter) serveNext(s *service) bool {
	first, second := s.quick, s.long
	if s.capacity == 1 && !s.lastLong {
		// A single slot can't be split into reserves, so the classes alternate.
		first, second = second, first
	}
	return a.mayGrantTo(s, first) && a.grantNext(s, first) ||
		a.mayGrantTo(s, second) && a.grantNext(s, second)
}

// mayGrantTo reports whether the class may take a slot without using the reserve
// of the other class.
func (a *Arbiter) mayGrantTo(s *service, c *class) bool {
	if c.waiting == 0 {
		return false
	}
	if s.capacity == 1 || a.mutations.noReserve {
		return true
	}
	if c.name == api.ClassLong {
		return s.free > max(a.quickReserve(s)-s.quick.running, 0)
	}
	if s.long.waiting == 0 {
		return true
	}
	return s.free > max(a.longReserve(s)-s.long.running, 0)
}

// quickReserve returns the number of slots reserved for quick work.
func (a *Arbiter) quickReserve(s *service) int {
	if !s.cfg.hasQuick || !s.cfg.hasLong {
		return 0
	}
	return int(a.opts.QuickReserve * float64(s.capacity))
}

// longReserve returns the number of slots reserved for long work while it waits.
func (a *Arbiter) longReserve(s *service) int {
	if !s.cfg.hasQuick || !s.cfg.hasLong || s.capacity < 2 {
		return 0
	}
	return max(int(a.opts.LongReserve*float64(s.capacity)), 1)
}

// grantNext grants one slot to the first team of the class that can use one. It
// returns false if there is none.
func (a *Arbiter) grantNext(s *service, c *class) bool {
	for {
		bl := a.nextBacklog(c)
		if bl == nil {
			return false
		}
		w, sl := s.pick(bl)
		if w == nil {
			c.fairOrder.SetWaiting(bl.team.name, false)
			a.skipped = append(a.skipped, bl)
			continue
		}
		if !a.acquire(bl.team) {
			a.block(bl.team)
			continue
		}
		a.grant(w, sl)
		return true
	}
}

func (a *Arbiter) nextBacklog(c *class) *teamBacklog {
	name, ok := c.fairOrder.Next()
	if !ok {
		return nil
	}
	if a.mutations.firstComeFirst {
		return oldestBacklog(c)
	}
	return c.backlogs[name]
}

func oldestBacklog(c *class) *teamBacklog {
	var first *waiter
	for _, bl := range c.backlogs {
		for _, tq := range bl.queues {
			if tq.head != nil && !bl.team.blocked && (first == nil || tq.head.arrival < first.arrival) {
				first = tq.head
			}
		}
	}
	if first == nil {
		return nil
	}
	return first.teamQueue.backlog
}

// pick returns the next ask of the backlog that can use a free slot, and the
// endpoint to use: the oldest ask of the queue with the least slot time.
func (s *service) pick(bl *teamBacklog) (*waiter, *endpointSlots) {
	var best *waiter
	var bestSlots *endpointSlots
	for _, tq := range bl.queues {
		if tq.head == nil || best != nil && !tq.before(best.teamQueue) {
			continue
		}
		if w, sl := s.pickFrom(tq); w != nil {
			best, bestSlots = w, sl
		}
	}
	return best, bestSlots
}

func (s *service) pickFrom(tq *teamQueue) (*waiter, *endpointSlots) {
	w := tq.head
	for range maxCandidates {
		if w == nil {
			break
		}
		if sl := s.leastBusy(w.ask.Exclude); sl != nil {
			return w, sl
		}
		w = w.next
	}
	return nil, nil
}

// acquire takes a unit of the team's limit. Asks without a team need none.
func (a *Arbiter) acquire(t *team) bool {
	if t.name == "" || a.mutations.ignoreLimit {
		return true
	}
	if !a.limiter.Acquire(t.name) {
		return false
	}
	t.units++
	return true
}

// release returns a unit of the team's limit.
func (a *Arbiter) release(t *team) {
	ok := invariant.Check(t.units > 0, invariant.TeamLimit, "unit of team %q released twice", t.name)
	if !ok {
		return
	}
	t.units--
	a.limiter.Release(t.name)
	a.unblock(t)
}

// grant grants a slot of the endpoint to the waiting ask.
func (a *Arbiter) grant(w *waiter, sl *endpointSlots) {
	tq := w.teamQueue
	c := tq.backlog.class
	tq.charge(a.now)
	a.removeAsk(w)
	a.seq++
	gr := &grant{
		Grant: dispatch.Grant{
			ID:                  dispatch.GrantID{Zone: a.opts.Zone, Term: a.opts.Term, Seq: a.seq},
			RequestID:           w.ask.RequestID,
			Queue:               w.ask.Queue,
			Team:                w.ask.Team,
			Endpoint:            sl.id,
			Address:             sl.address,
			EndpointIncarnation: sl.incarnation,
			StartWithin:         a.opts.StartWithin,
			LongestRun:          c.svc.cfg.longestRun,
		},
		key:       w.key,
		slots:     sl,
		class:     c,
		queue:     tq.queue,
		team:      tq.backlog.team,
		hasUnit:   tq.backlog.team.name != "" && !a.mutations.ignoreLimit,
		grantedAt: a.now,
	}
	c.svc.lastLong = c.name == api.ClassLong
	a.resendable[gr.key] = gr
	a.occupy(gr)
	a.extendLatestStart(gr)
	a.checkGrant(gr)
	a.emit(Granted{Origin: w.ask.Origin, Grant: gr.Grant})
}

// checkGrant checks the invariants of a grant before it is sent.
func (a *Arbiter) checkGrant(gr *grant) {
	sl := gr.slots
	invariant.Check(!a.evacuated, invariant.LeavingGetsNoWork,
		"grant %d of term %d on endpoint %q in the evacuated zone %q", gr.Grant.ID.Seq, gr.Grant.ID.Term, sl.id, a.opts.Zone)
	invariant.Check(a.reg.MayGrant(a.now, sl.id), invariant.LeavingGetsNoWork,
		"grant %d of term %d on endpoint %q, which may not be granted work", gr.Grant.ID.Seq, gr.Grant.ID.Term, sl.id)
	invariant.Check(sl.occupied+sl.unknown <= sl.limit(), invariant.SlotBound,
		"endpoint %q: %d granted and %d unknown of %d slots", sl.id, sl.occupied, sl.unknown, sl.limit())
}
