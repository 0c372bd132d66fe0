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
	now := time.Now()
	id, ok := ParseID(r.ID)
	if !ok {
		return s.keeper.Begin(r, now)
	}
	return s.home.Begin(id, r, now)
}

// HandleFinish answers a peer's, or the own origin's, FinishRequest.
func (s *Service) HandleFinish(r FinishRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	id, ok := ParseID(r.ID)
	var changed bool
	switch {
	case !ok:
		changed = s.keeper.Finish(r, now)
	case id.Home() == s.home.self:
		changed = s.home.Finish(r, now)
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
		reply, done := s.lookupOrSubscribe(r, deadline)
		if done == nil {
			return reply
		}
		waited := wait(ctx, done, time.Until(deadline))
		s.mu.Lock()
		s.waiters--
		s.mu.Unlock()
		if !waited {
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

// lookupOrSubscribe returns the reply, and a channel closed at the next change
// of the id if the lookup should wait for it.
func (s *Service) lookupOrSubscribe(r LookupRequest, deadline time.Time) (LookupReply, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	reply := s.lookupLocked(r, now)
	if reply.Verdict != Running || !now.Before(deadline) || s.waiters >= s.cfg.MaxWaiters {
		return reply, nil
	}
	ch := s.finished[r.ID]
	if ch == nil {
		ch = make(chan struct{})
		s.finished[r.ID] = ch
	}
	s.waiters++
	return reply, ch
}

func (s *Service) lookupLocked(r LookupRequest, now time.Time) LookupReply {
	id, ok := ParseID(r.ID)
	switch {
	case !ok:
		return s.keeper.Lookup(r, now)
	case id.Home() == s.home.self:
		return s.home.Lookup(id, r, now)
	default:
		return s.copies.Lookup(r, now)
	}
}

func (s *Service) wake(id string) {
	if ch, ok := s.finished[id]; ok {
		close(ch)
		delete(s.finished, id)
	}
}

// OriginGone tells that a daemon incarnation ended: what it was running is
// unknown from now on, and lookups that wait for it return.
func (s *Service) OriginGone(origin dispatch.DaemonID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range []*Keeper{s.keeper, s.home.keeper} {
		for _, id := range k.OriginGone(origin) {
			s.wake(id)
		}
	}
}

// Await waits up to d for the answer of a request that another token is
// running. It returns nil if the outcome stays unknown.
func (s *Service) Await(ctx context.Context, c *Claim, d time.Duration) *Answer {
	deadline := time.Now().Add(d)
	for _, daemon := range s.deciders(c.ID) {
		r := LookupRequest{ID: c.ID, Digest: c.Digest, Wait: max(0, time.Until(deadline))}
		reply, err := s.lookup(ctx, daemon, r)
		if err == nil && reply.Verdict == Answered {
			return reply.Answer
		}
		if ctx.Err() != nil {
			return nil
		}
	}
	return nil
}

func (s *Service) deciders(id string) []string {
	if p, ok := ParseID(id); ok {
		return []string{p.Daemon}
	}
	return union(s.members.keepers(id, s.cfg.Keeper.Retention, time.Now()))
}
