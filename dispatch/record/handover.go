package record

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"magnoliastand.example/clock"
)

// HandOverPeers sends hand-over messages to other daemons by their configured
// name.
type HandOverPeers interface {
	Hold(ctx context.Context, daemon string, r HoldRequest) error
	Inherit(ctx context.Context, daemon string, r InheritRequest) (InheritReply, error)
}

// HoldRequest sends one part to a peer. The parts of one incarnation arrive in
// order. The peer offers them to a successor only after the last one.
type HoldRequest struct {
	Daemon      string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	Index       int    `cbor:"3,keyasint"`
	Last        bool   `cbor:"4,keyasint,omitempty"`
	Part        Part   `cbor:"5,keyasint"`
}

// InheritRequest asks a peer for one part of what a previous incarnation handed
// over.
type InheritRequest struct {
	Daemon string `cbor:"1,keyasint"`
	// Incarnation identifies the successor. Only the first one to ask is
	// served.
	Incarnation string `cbor:"2,keyasint"`
	Index       int    `cbor:"3,keyasint"`
}

// InheritReply is the reply to an InheritRequest.
type InheritReply struct {
	Found bool `cbor:"1,keyasint"`
	Last  bool `cbor:"2,keyasint,omitempty"`
	Part  Part `cbor:"3,keyasint"`
}

// storedHandOver holds the records that a stopped daemon handed over.
type storedHandOver struct {
	incarnation string
	parts       []Part
	complete    bool
	received    time.Time
	// claimant is the incarnation that claimed the records, if any.
	claimant string
}

// Errors of hand-overs.
var (
	ErrHandOverRefused = errors.New("hand-over not accepted")
	ErrNoHandOver      = errors.New("no peer holds records of a previous incarnation")
	errPartOrder       = errors.New("hand-over part out of order")
	errTooManyParts    = errors.New("hand-over has too many parts")
)

// claimWindowDivisor sets the times of a hand-over. It must be claimed within
// Retention/claimWindowDivisor after it was received and must be sent within
// half of that. A later incarnation that abstains instead votes no earlier than
// one Retention after the seal, so it never votes while a claim is still
// possible.
const claimWindowDivisor = 2

// HandOver permanently stops this daemon from permitting starts and sends its
// records to one peer, where the next incarnation can claim them. Call it after
// the origin is drained.
//
// At most one peer may hold all records: once the last part was sent to a peer,
// no other is tried, whatever the reply.
func (s *Service) HandOver(ctx context.Context, peers HandOverPeers) error {
	s.awaitPendingReports(ctx)
	parts := s.seal()
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Store.Retention/(2*claimWindowDivisor))
	defer cancel()
	for _, daemon := range s.members.copyHolders(s.cfg.Self.Name, s.cfg.Self.Name, maxHandOverPeers) {
		committed, err := s.sendParts(ctx, peers, daemon, parts)
		if err == nil || committed {
			return err
		}
	}
	return ErrHandOverRefused
}

// awaitPendingReports waits until the reports of finished requests have been
// sent or ctx ends.
func (s *Service) awaitPendingReports(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		s.pendingReports.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

const (
	// maxHandOverPeers limits the number of peers that are tried.
	maxHandOverPeers = 5
	// maxClaimAttempts limits how often one part is requested.
	maxClaimAttempts = 3
	// claimRetryInterval is the pause before peers that did not reply are asked
	// again.
	claimRetryInterval = 250 * time.Millisecond
)

func (s *Service) seal() []Part {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sealed = true
	now := clock.Now()
	parts := s.home.export(now, s.cfg.Store.Retention)
	for _, h := range s.former {
		if left := h.expires.Sub(now); left > 0 {
			parts = append(parts, h.export(now, left)...)
		}
	}
	return append(parts, s.acceptor.export(nil, now)...)
}

// sendParts sends all parts to one peer. The result committed reports whether
// the last part was sent.
func (s *Service) sendParts(ctx context.Context, peers HandOverPeers, daemon string, parts []Part) (committed bool, err error) {
	for i, part := range parts {
		r := HoldRequest{
			Daemon: s.cfg.Self.Name, Incarnation: s.cfg.Self.Incarnation,
			Index: i, Last: i == len(parts)-1, Part: part,
		}
		if err := s.hold(ctx, peers, daemon, r); err != nil {
			return r.Last, errors.Wrapf(err, "send hand-over part %d to %s", i, daemon)
		}
	}
	return true, nil
}

func (s *Service) hold(ctx context.Context, peers HandOverPeers, daemon string, r HoldRequest) error {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	return peers.Hold(ctx, daemon, r)
}

// HandleHold stores one part of a peer's hand-over.
func (s *Service) HandleHold(r HoldRequest) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sealed {
		return ErrHandOverRefused
	}
	s.dropExpiredHandOvers()
	e := s.handOvers[r.Daemon]
	if r.Index == 0 && (e == nil || e.incarnation != r.Incarnation) {
		e = &storedHandOver{incarnation: r.Incarnation}
		s.handOvers[r.Daemon] = e
	}
	switch {
	case e == nil || e.incarnation != r.Incarnation || e.complete || r.Index != len(e.parts):
		return errPartOrder
	case r.Index >= maxHeldParts:
		delete(s.handOvers, r.Daemon)
		return errTooManyParts
	}
	e.parts = append(e.parts, r.Part)
	e.received = clock.Now()
	e.complete = r.Last
	return nil
}

func (s *Service) dropExpiredHandOvers() {
	for daemon, e := range s.handOvers {
		if len(e.parts) > 0 && clock.Since(e.received) > s.cfg.Store.Retention/claimWindowDivisor {
			delete(s.handOvers, daemon)
		}
	}
}

// HandleInherit returns one part to the successor that asked first.
func (s *Service) HandleInherit(r InheritRequest) InheritReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropExpiredHandOvers()
	e := s.handOvers[r.Daemon]
	if e == nil || !e.complete || e.incarnation == r.Incarnation {
		return InheritReply{}
	}
	if e.claimant != "" && e.claimant != r.Incarnation {
		return InheritReply{}
	}
	if r.Index < 0 || r.Index >= len(e.parts) {
		return InheritReply{}
	}
	e.claimant = r.Incarnation
	return InheritReply{Found: true, Last: r.Index == len(e.parts)-1, Part: e.parts[r.Index]}
}

// Inherit claims the records that the previous incarnation of this daemon
// handed over. After a claim the daemon abstains no longer than that
// incarnation would have. Call it once, after the start and SetMembers. Without
// it, or when it fails, the daemon abstains for the retention as after a crash.
// It asks until every candidate has replied, ctx ends, or hand-overs can no
// longer be claimed.
func (s *Service) Inherit(ctx context.Context, peers HandOverPeers) error {
	defer s.endClaimWindow()
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Store.Retention/claimWindowDivisor)
	defer cancel()
	candidates := s.members.copyHolders(s.cfg.Self.Name, s.cfg.Self.Name, maxHandOverPeers)
	for {
		parts, unanswered, err := s.claimFromAny(ctx, peers, candidates)
		switch {
		case err != nil:
			return err
		case parts != nil:
			s.importParts(parts)
			return nil
		case len(unanswered) == 0 || !sleep(ctx, claimRetryInterval):
			return ErrNoHandOver
		}
		candidates = unanswered
	}
}

// claimFromAny returns the parts of the first candidate that has some, or the
// candidates that did not reply.
func (s *Service) claimFromAny(ctx context.Context, peers HandOverPeers, candidates []string) (parts []Part, unanswered []string, err error) {
	for _, daemon := range candidates {
		first, err := s.claimPart(ctx, peers, daemon, 0)
		switch {
		case err != nil:
			unanswered = append(unanswered, daemon)
		case first.Found:
			parts, err := s.claimRest(ctx, peers, daemon, first)
			return parts, nil, err
		}
	}
	return nil, unanswered, nil
}

func (s *Service) endClaimWindow() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.claimDeadline = time.Time{}
}

// claimRest claims the parts after the first. An error ends the claim permanently.
func (s *Service) claimRest(ctx context.Context, peers HandOverPeers, daemon string, reply InheritReply) ([]Part, error) {
	parts := []Part{reply.Part}
	for !reply.Last {
		var err error
		reply, err = s.claimPart(ctx, peers, daemon, len(parts))
		if err != nil {
			return nil, errors.Wrapf(err, "claim hand-over part %d from %s", len(parts), daemon)
		}
		if !reply.Found {
			return nil, errors.Wrapf(errPartOrder, "claim hand-over part %d from %s", len(parts), daemon)
		}
		parts = append(parts, reply.Part)
	}
	return parts, nil
}

// claimPart requests one part. It may repeat the request after a lost reply
// because the peer serves the same incarnation any number of times.
func (s *Service) claimPart(ctx context.Context, peers HandOverPeers, daemon string, index int) (reply InheritReply, err error) {
	r := InheritRequest{Daemon: s.cfg.Self.Name, Incarnation: s.cfg.Self.Incarnation, Index: index}
	for range maxClaimAttempts {
		reply, err = s.claimPartOnce(ctx, peers, daemon, r)
		if err == nil || ctx.Err() != nil {
			break
		}
	}
	return reply, err
}

func (s *Service) claimPartOnce(ctx context.Context, peers HandOverPeers, daemon string, r InheritRequest) (InheritReply, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	return peers.Inherit(ctx, daemon, r)
}

func (s *Service) importParts(parts []Part) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	s.acceptor.abstainUntil = time.Time{}
	for _, p := range parts {
		if p.Home == nil {
			s.acceptor.importEntries(p.Entries, now)
			s.acceptor.abstainFor(p.AbstainLeft, now)
			continue
		}
		h := s.former[p.Home.Home]
		if h == nil {
			h = importHome(p.Home, s.cfg.Store)
			h.expires = now.Add(p.Home.Left)
			s.former[p.Home.Home] = h
		}
		h.store.importEntries(p.Entries, now)
	}
}
