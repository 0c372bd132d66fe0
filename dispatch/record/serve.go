package record

import (
	"context"
	"time"

	"magnoliastand.example/clock"
	"magnoliastand.example/dispatch"
)

// HandleBegin handles a BeginRequest of a peer.
func (s *Service) HandleBegin(r BeginRequest) BeginReply {
	reply, _ := s.beginLocally(r)
	return reply
}

// beginLocally decides on a BeginRequest. It also returns the time of the
// decision, from which the reply counts RefusedAgo.
func (s *Service) beginLocally(r BeginRequest) (BeginReply, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	return s.beginAt(r, now), now
}

// beginAt must be called with s.mu held.
func (s *Service) beginAt(r BeginRequest, now time.Time) BeginReply {
	if s.sealed {
		return BeginReply{Verdict: Abstain}
	}
	id, ok := ParseID(r.ID)
	if !ok {
		return s.acceptor.Begin(r, now)
	}
	if h := s.homeFor(id); h != nil {
		return h.Begin(id, r, now)
	}
	if id.Daemon == s.cfg.Self.Name && now.Before(s.claimDeadline) {
		return BeginReply{Verdict: Abstain}
	}
	return BeginReply{Verdict: Unknown}
}

// homeFor returns the home of id if this daemon decides on it, or nil.
func (s *Service) homeFor(id ID) *Home {
	home := id.Home()
	if home == s.home.self {
		return s.home
	}
	return s.former[home]
}

// HandleFinish handles a FinishRequest of a peer or of this daemon's origin.
func (s *Service) HandleFinish(r FinishRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	id, ok := ParseID(r.ID)
	home := s.homeFor(id)
	var changed bool
	switch {
	case !ok:
		changed = s.acceptor.Finish(r, now)
	case home != nil:
		changed = home.Finish(r, now)
	case r.Result == ResultAnswered:
		changed = s.copies.Finish(r, now)
	}
	if changed {
		s.notifyWaiters(r.ID)
	}
}

// HandleLookup handles a LookupRequest of a peer or of this daemon's origin. It
// waits up to r.Wait for a running request.
func (s *Service) HandleLookup(ctx context.Context, r LookupRequest) LookupReply {
	deadline := clock.Now().Add(r.Wait)
	for {
		reply, w := s.lookupOrSubscribe(r, deadline)
		if w == nil {
			return reply
		}
		if !waitFor(ctx, w.changed, clock.Until(deadline)) {
			s.unsubscribe(r.ID, w)
			return reply
		}
	}
}

func waitFor(ctx context.Context, done <-chan struct{}, d time.Duration) bool {
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

// lookupOrSubscribe returns the reply. If the lookup should wait for a change
// of the id, it also returns the waiters that the lookup was added to.
func (s *Service) lookupOrSubscribe(r LookupRequest, deadline time.Time) (LookupReply, *waiters) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	reply := s.lookupLocked(r, now)
	if reply.Verdict != Running || !now.Before(deadline) || s.waiterCount >= s.cfg.MaxWaiters {
		return reply, nil
	}
	w := s.waitersByID[r.ID]
	if w == nil {
		w = &waiters{changed: make(chan struct{})}
		s.waitersByID[r.ID] = w
	}
	w.count++
	s.waiterCount++
	return reply, w
}

// unsubscribe removes a lookup that saw no change from w.
func (s *Service) unsubscribe(id string, w *waiters) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waitersByID[id] != w {
		return
	}
	w.count--
	s.waiterCount--
	if w.count == 0 {
		delete(s.waitersByID, id)
	}
}

func (s *Service) lookupLocked(r LookupRequest, now time.Time) LookupReply {
	id, ok := ParseID(r.ID)
	home := s.homeFor(id)
	switch {
	case !ok:
		return s.acceptor.Lookup(r, now)
	case home != nil:
		return home.Lookup(id, r, now)
	default:
		return s.lookupCopy(id, r, now)
	}
}

// lookupCopy looks up an id that this incarnation does not decide on. An id of
// a previous incarnation of this daemon is Unknown unless a copy exists,
// because it may have run.
func (s *Service) lookupCopy(id ID, r LookupRequest, now time.Time) LookupReply {
	reply := s.copies.Lookup(r, now)
	if reply.Verdict == Absent && id.Daemon == s.cfg.Self.Name {
		reply.Verdict = Unknown
	}
	return reply
}

func (s *Service) notifyWaiters(id string) {
	if w, ok := s.waitersByID[id]; ok {
		close(w.changed)
		s.waiterCount -= w.count
		delete(s.waitersByID, id)
	}
}

// OriginGone reports that a daemon incarnation has ended. Its running requests
// become unknown and the lookups that wait for them return.
func (s *Service) OriginGone(origin dispatch.DaemonID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stores := []*Store{s.acceptor}
	for _, h := range s.homes() {
		stores = append(stores, h.store)
	}
	for _, st := range stores {
		for _, id := range st.OriginGone(origin) {
			s.notifyWaiters(id)
		}
	}
}

// Await waits up to d for the end of a request that another token is running.
// The verdict is Answered; Absent if that token ended without running, so that
// the claim may begin again; or Unknown.
func (s *Service) Await(ctx context.Context, c *Claim, d time.Duration) Decision {
	return s.lookupAtDeciders(ctx, c, d)
}

// lookupAtDeciders looks up an id at all its deciders in parallel. Each waits
// up to d while the request is running.
func (s *Service) lookupAtDeciders(ctx context.Context, c *Claim, d time.Duration) Decision {
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

// deciders returns the sets of daemons that decide on id. A decision needs a
// majority in each set.
func (s *Service) deciders(id string) [][]string {
	if p, ok := ParseID(id); ok {
		return [][]string{{p.Daemon}}
	}
	return s.members.acceptors(id, s.cfg.Store.Retention, clock.Now())
}
