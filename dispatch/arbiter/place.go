package arbiter

import (
	"magnoliastand.example/api"
	"magnoliastand.example/dispatch"
	"magnoliastand.example/invariant"
)

// lookahead bounds how many asks of a lane are tried when the first ones
// exclude every endpoint with a free slot.
const lookahead = 8

// serve grants free slots of the service for as long as some ask can use one.
func (a *Arbiter) serve(s *service) {
	for s.free > 0 && a.serveNext(s) {
	}
	for _, l := range a.stuck {
		a.refreshLine(l)
	}
	clear(a.stuck)
	a.stuck = a.stuck[:0]
}

func (a *Arbiter) serveNext(s *service) bool {
	first, second := s.quick, s.long
	if s.capacity == 1 && !s.lastLong {
		// A single slot can't be divided, so the classes alternate.
		first, second = second, first
	}
	return a.mayTake(s, first) && a.grantNext(s, first) ||
		a.mayTake(s, second) && a.grantNext(s, second)
}

// mayTake reports whether the class may take a slot without touching the
// minimum of the other class.
func (a *Arbiter) mayTake(s *service, c *class) bool {
	if c.waiting == 0 {
		return false
	}
	if s.capacity == 1 || a.off.noReserve {
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

// quickReserve returns the slots that long work leaves to quick work.
func (a *Arbiter) quickReserve(s *service) int {
	if !s.cfg.hasQuick || !s.cfg.hasLong {
		return 0
	}
	return int(a.opts.QuickReserve * float64(s.capacity))
}

// longReserve returns the slots that quick work leaves to long work that waits.
func (a *Arbiter) longReserve(s *service) int {
	if !s.cfg.hasQuick || !s.cfg.hasLong || s.capacity < 2 {
		return 0
	}
	return max(int(a.opts.LongReserve*float64(s.capacity)), 1)
}

// grantNext grants one slot to the class, in the order of its teams.
func (a *Arbiter) grantNext(s *service, c *class) bool {
	for {
		l := a.nextLine(c)
		if l == nil {
			return false
		}
		w, sl := s.pick(l)
		if w == nil {
			c.order.SetWaiting(l.team.name, false)
			a.stuck = append(a.stuck, l)
			continue
		}
		if !a.acquire(l.team) {
			a.block(l.team)
			continue
		}
		a.grant(w, sl)
		return true
	}
}

func (a *Arbiter) nextLine(c *class) *line {
	name, ok := c.order.Next()
	if !ok {
		return nil
	}
	if a.off.firstComeFirst {
		return oldestLine(c)
	}
	return c.lines[name]
}

func oldestLine(c *class) *line {
	var first *waiter
	for _, l := range c.lines {
		for _, ln := range l.lanes {
			if ln.head != nil && !l.team.blocked && (first == nil || ln.head.arrival < first.arrival) {
				first = ln.head
			}
		}
	}
	if first == nil {
		return nil
	}
	return first.lane.line
}

// pick returns the ask of the line that goes next and can use a free slot, and
// the slot: of the queue with the least slot time, the oldest ask.
func (s *service) pick(l *line) (*waiter, *slots) {
	var best *waiter
	var bestSlots *slots
	for _, ln := range l.lanes {
		if ln.head == nil || best != nil && !ln.before(best.lane) {
			continue
		}
		if w, sl := s.pickFrom(ln); w != nil {
			best, bestSlots = w, sl
		}
	}
	return best, bestSlots
}

func (s *service) pickFrom(ln *lane) (*waiter, *slots) {
	w := ln.head
	for range lookahead {
		if w == nil {
			break
		}
		if sl := s.choose(w.ask.Exclude); sl != nil {
			return w, sl
		}
		w = w.next
	}
	return nil, nil
}

// acquire takes a unit of the team's limit. Asks without a team have none.
func (a *Arbiter) acquire(t *team) bool {
	if t.name == "" || a.off.ignoreLimit {
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
	ok := invariant.Check(t.units > 0, invariant.TeamLimit, "unit of team %q returned twice", t.name)
	if !ok {
		return
	}
	t.units--
	a.limiter.Release(t.name)
	a.unblock(t)
}

// grant gives the slot to the ask.
func (a *Arbiter) grant(w *waiter, sl *slots) {
	ln := w.lane
	c := ln.line.class
	ln.charge(a.now)
	a.drop(w)
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
		key:   w.key,
		slots: sl,
		class: c,
		queue: ln.queue,
		team:  ln.line.team,
		unit:  ln.line.team.name != "" && !a.off.ignoreLimit,
		at:    a.now,
	}
	c.svc.lastLong = c.name == api.ClassLong
	a.held[gr.key] = gr
	a.occupy(gr)
	a.extend(gr)
	a.checkGrant(gr)
	a.emit(Granted{Origin: w.ask.Origin, Grant: gr.Grant})
}

// checkGrant asserts what must hold for a grant about to be sent.
func (a *Arbiter) checkGrant(gr *grant) {
	sl := gr.slots
	invariant.Check(a.reg.MayGrant(a.now, sl.id), invariant.LeavingGetsNoWork,
		"grant %d of term %d on endpoint %q, which may get no work", gr.Grant.ID.Seq, gr.Grant.ID.Term, sl.id)
	invariant.Check(sl.occupied+sl.unknown <= sl.limit(), invariant.SlotBound,
		"endpoint %q: %d granted and %d unknown of %d slots", sl.id, sl.occupied, sl.unknown, sl.limit())
}
