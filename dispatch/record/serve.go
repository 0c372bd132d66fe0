package record

import (
	"context"
	"time"

	"magnoliastand.example/dispatch"
)

// HandleBegin answers a peer's, or the own origin's, BeginRequest.
func (s *Service) HandleBegin(r BeginRequest) BeginReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sealed {
		return BeginReply{Verdict: Abstain}
	}
	now := time.Now()
	id, ok := ParseID(r.ID)
	if !ok {
		return s.keeper.Begin(r, now)
	}
	if h := s.homeFor(id); h != nil {
		return h.Begin(id, r, now)
	}
	if id.Daemon == s.cfg.Self.Name && now.Before(s.inheritUntil) {
		return BeginReply{Verdict: Abstain}
	}
	return BeginReply{Verdict: Unknown}
}

// homeFor returns the home of id if it is this daemon's to decide, or nil.
func (s *Service) homeFor(id ID) *Home {
	home := id.Home()
	if home == s.home.self {
		return s.home
	}
	return s.former[home]
}

// HandleFinish answers a peer's, or the own origin's, FinishRequest.
func (s *Service) HandleFinish(r FinishRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	id, ok := ParseID(r.ID)
	home := s.homeFor(id)
	var changed bool
	switch {
	case !ok:
		changed = s.keeper.Finish(r, now)
	case home != nil:
		changed = home.Finish(r, now)
	case r.Result == ResultAnswered:
		changed = s.copies.Finish(r, now)
	}
	if changed {
		s.wake(r.ID)
	}
}

// HandleLookup answers a peer's, or the own origin's, LookupRequest. It waits
// for a running request up to r.Wait.
func (s *Service) HandleLookup(ctx context.Context, r LookupRequest) LookupReply {
	deadline := time.Now().Add(r.Wait)
	for {
		reply, w := s.lookupOrSubscribe(r, deadline)
		if w == nil {
			return reply
		}
		if !wait(ctx, w.changed, time.Until(deadline)) {
			s.unsubscribe(r.ID, w)
			return reply
		}
	}
}

func wait(ctx context.Context, done <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}

// lookupOrSubscribe returns the reply, and the waiters that the lookup joined
// if it should wait for a change of the id.
func (s *Service) lookupOrSubscribe(r LookupRequest, deadline time.Time) (LookupReply, *waiters) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	reply := s.lookupLocked(r, now)
	if reply.Verdict != Running || !now.Before(deadline) || s.waiterCount >= s.cfg.MaxWaiters {
		return reply, nil
	}
	w := s.waiting[r.ID]
	if w == nil {
		w = &waiters{changed: make(chan struct{})}
		s.waiting[r.ID] = w
	}
	w.count++
	s.waiterCount++
	return reply, w
}

// unsubscribe ends the wait of one lookup that saw no change.
func (s *Service) unsubscribe(id string, w *waiters) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting[id] != w {
		return
	}
	w.count--
	s.waiterCount--
	if w.count == 0 {
		delete(s.waiting, id)
	}
}

func (s *Service) lookupLocked(r LookupRequest, now time.Time) LookupReply {
	id, ok := ParseID(r.ID)
	home := s.homeFor(id)
	switch {
	case !ok:
		return s.keeper.Lookup(r, now)
	case home != nil:
		return home.Lookup(id, r, now)
	default:
		return s.lookupCopy(id, r, now)
	}
}

// lookupCopy looks up an id that this incarnation does not decide on. If it is
// one of a former incarnation, nobody can vouch that it did not run.
func (s *Service) lookupCopy(id ID, r LookupRequest, now time.Time) LookupReply {
	reply := s.copies.Lookup(r, now)
	if reply.Verdict == Absent && id.Daemon == s.cfg.Self.Name {
		reply.Verdict = Unknown
	}
	return reply
}

func (s *Service) wake(id string) {
	if w, ok := s.waiting[id]; ok {
		close(w.changed)
		s.waiterCount -= w.count
		delete(s.waiting, id)
	}
}

// OriginGone tells that a daemon incarnation ended: what it was running is
// unknown from now on, and lookups that wait for it return.
func (s *Service) OriginGone(origin dispatch.DaemonID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	keepers := []*Keeper{s.keeper}
	for _, h := range s.homes() {
		keepers = append(keepers, h.keeper)
	}
	for _, k := range keepers {
		for _, id := range k.OriginGone(origin) {
			s.wake(id)
		}
	}
}

// Await waits up to d for the end of a request that another token is running.
// The verdict is Answered, Absent if that token ended without running, so that
// the claim may begin again, or Unknown.
func (s *Service) Await(ctx context.Context, c *Claim, d time.Duration) Decision {
	return s.survey(ctx, c, d)
}

// survey looks an id up at all its deciders, each of which waits up to d while
// the request is running.
func (s *Service) survey(ctx context.Context, c *Claim, d time.Duration) Decision {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sets := s.deciders(c.ID)
	all := union(sets)
	ch := make(chan vote, len(all))
	for _, daemon := range all {
		go func() {
			reply, err := s.lookup(ctx, daemon, LookupRequest{ID: c.ID, Digest: c.Digest, Wait: max(0, d)})
			ch <- vote{daemon: daemon, reply: BeginReply{Verdict: reply.Verdict, Answer: reply.Answer}, err: err}
		}()
	}
	votes := make([]vote, 0, len(all))
	absent := func(r BeginReply) bool { return r.Verdict == Absent }
	for range all {
		v := <-ch
		if v.err == nil && v.reply.Verdict == Answered {
			return Decision{Verdict: Answered, Answer: v.reply.Answer}
		}
		votes = append(votes, v)
		if majority(sets, votes, absent) {
			return Decision{Verdict: Absent}
		}
	}
	return Decision{Verdict: Unknown}
}

// deciders returns the sets of daemons of which a majority each decides on id.
func (s *Service) deciders(id string) [][]string {
	if p, ok := ParseID(id); ok {
		return [][]string{{p.Daemon}}
	}
	return s.members.keepers(id, s.cfg.Keeper.Retention, time.Now())
}
