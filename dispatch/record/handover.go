package record

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// HandOverPeers carries hand-overs to other daemons by their configured name.
type HandOverPeers interface {
	Hold(ctx context.Context, daemon string, r HoldRequest) error
	Inherit(ctx context.Context, daemon string, r InheritRequest) (InheritReply, error)
}

// HoldRequest hands one part to a peer. The parts of one incarnation arrive in
// order; the peer offers them to a successor only after the last one.
type HoldRequest struct {
	Daemon      string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	Index       int    `cbor:"3,keyasint"`
	Last        bool   `cbor:"4,keyasint,omitempty"`
	Part        Part   `cbor:"5,keyasint"`
}

// InheritRequest asks a peer for one part of what a former incarnation handed over.
type InheritRequest struct {
	Daemon string `cbor:"1,keyasint"`
	// Incarnation is the successor's. The first one to ask is the only one served.
	Incarnation string `cbor:"2,keyasint"`
	Index       int    `cbor:"3,keyasint"`
}

// InheritReply answers an InheritRequest.
type InheritReply struct {
	Found bool `cbor:"1,keyasint"`
	Last  bool `cbor:"2,keyasint,omitempty"`
	Part  Part `cbor:"3,keyasint"`
}

// heldEstate is what a stopped daemon handed over.
type heldEstate struct {
	incarnation string
	parts       []Part
	complete    bool
	received    time.Time
	// heir is the incarnation that claimed it, if any.
	heir string
}

// Causes of failed hand-overs.
var (
	ErrNoHeir     = errors.New("no peer took the records")
	ErrNoEstate   = errors.New("no peer holds records of a former incarnation")
	errPartOrder  = errors.New("part out of order")
	errPartsBound = errors.New("too many parts")
)

// handOverWindow is the share of the retention within which a hand-over must be
// claimed after it was received, and half of it the share within which it must
// be handed. A later incarnation that abstained instead votes no earlier than
// one retention after the seal, so never while a claim is still possible.
const handOverWindow = 2

// HandOver ends this daemon's part in deciding and gives its records to one
// peer, from which the next incarnation can claim them. Call it after the
// origin is drained. From then on this daemon permits no start.
//
// At most one peer may hold the whole: once the last part was sent to a peer,
// no other is tried, whatever the reply.
func (s *Service) HandOver(ctx context.Context, peers HandOverPeers) error {
	s.flush(ctx)
	parts := s.seal()
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Keeper.Retention/(2*handOverWindow))
	defer cancel()
	for _, daemon := range s.members.copies(s.cfg.Self.Name, s.cfg.Self.Name, maxHeirs) {
		committed, err := s.handTo(ctx, peers, daemon, parts)
		if err == nil || committed {
			return err
		}
	}
	return ErrNoHeir
}

// flush waits for the reports of finished requests that are under way.
func (s *Service) flush(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		s.finishing.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

const (
	// maxHeirs bounds the peers that are tried.
	maxHeirs = 5
	// inheritTries bounds how often one part is asked for.
	inheritTries = 3
	// inheritPause is the time between asking silent peers again.
	inheritPause = 250 * time.Millisecond
)

func (s *Service) seal() []Part {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sealed = true
	now := time.Now()
	parts := s.home.export(now, s.cfg.Keeper.Retention)
	for _, h := range s.former {
		if left := h.ends.Sub(now); left > 0 {
			parts = append(parts, h.export(now, left)...)
		}
	}
	return append(parts, s.keeper.export(nil, now)...)
}

// handTo sends all parts to one peer. Committed tells that the last one was sent.
func (s *Service) handTo(ctx context.Context, peers HandOverPeers, daemon string, parts []Part) (committed bool, err error) {
	for i, part := range parts {
		r := HoldRequest{
			Daemon: s.cfg.Self.Name, Incarnation: s.cfg.Self.Incarnation,
			Index: i, Last: i == len(parts)-1, Part: part,
		}
		if err := s.hold(ctx, peers, daemon, r); err != nil {
			return r.Last, errors.Wrapf(err, "hand part %d to %s", i, daemon)
		}
	}
	return true, nil
}

func (s *Service) hold(ctx context.Context, peers HandOverPeers, daemon string, r HoldRequest) error {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	return peers.Hold(ctx, daemon, r)
}

// HandleHold takes one part of a peer's hand-over.
func (s *Service) HandleHold(r HoldRequest) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sealed {
		return ErrNoHeir
	}
	s.dropStaleEstates()
	e := s.held[r.Daemon]
	if r.Index == 0 && (e == nil || e.incarnation != r.Incarnation) {
		e = &heldEstate{incarnation: r.Incarnation}
		s.held[r.Daemon] = e
	}
	switch {
	case e == nil || e.incarnation != r.Incarnation || e.complete || r.Index != len(e.parts):
		return errPartOrder
	case r.Index >= maxHeldParts:
		delete(s.held, r.Daemon)
		return errPartsBound
	}
	e.parts = append(e.parts, r.Part)
	e.received = time.Now()
	e.complete = r.Last
	return nil
}

func (s *Service) dropStaleEstates() {
	for daemon, e := range s.held {
		if len(e.parts) > 0 && time.Since(e.received) > s.cfg.Keeper.Retention/handOverWindow {
			delete(s.held, daemon)
		}
	}
}

// HandleInherit gives one part to the successor that asked first.
func (s *Service) HandleInherit(r InheritRequest) InheritReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropStaleEstates()
	e := s.held[r.Daemon]
	if e == nil || !e.complete || e.incarnation == r.Incarnation {
		return InheritReply{}
	}
	if e.heir != "" && e.heir != r.Incarnation {
		return InheritReply{}
	}
	if r.Index < 0 || r.Index >= len(e.parts) {
		return InheritReply{}
	}
	e.heir = r.Incarnation
	return InheritReply{Found: true, Last: r.Index == len(e.parts)-1, Part: e.parts[r.Index]}
}

// Inherit claims what the former incarnation of this daemon handed over. The
// daemon abstains no longer than that one would have. Call it once, after the
// start and SetMembers; without it, or when it fails, the daemon abstains for
// the retention as after a crash. It asks until every candidate replied, ctx
// ended, or hand-overs can be claimed no longer.
func (s *Service) Inherit(ctx context.Context, peers HandOverPeers) error {
	defer s.endInheritance()
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Keeper.Retention/handOverWindow)
	defer cancel()
	candidates := s.members.copies(s.cfg.Self.Name, s.cfg.Self.Name, maxHeirs)
	for {
		parts, silent, err := s.claimFromAny(ctx, peers, candidates)
		switch {
		case err != nil:
			return err
		case parts != nil:
			s.adopt(parts)
			return nil
		case len(silent) == 0 || !sleep(ctx, inheritPause):
			return ErrNoEstate
		}
		candidates = silent
	}
}

// claimFromAny returns the parts of the first candidate that holds some, or the
// candidates that gave no reply.
func (s *Service) claimFromAny(ctx context.Context, peers HandOverPeers, candidates []string) (parts []Part, silent []string, err error) {
	for _, daemon := range candidates {
		first, err := s.inherit(ctx, peers, daemon, 0)
		switch {
		case err != nil:
			silent = append(silent, daemon)
		case first.Found:
			parts, err := s.claimRest(ctx, peers, daemon, first)
			return parts, nil, err
		}
	}
	return nil, silent, nil
}

func (s *Service) endInheritance() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inheritUntil = time.Time{}
}

// claimRest claims the parts after the first. An error ends the claim for good.
func (s *Service) claimRest(ctx context.Context, peers HandOverPeers, daemon string, reply InheritReply) ([]Part, error) {
	parts := []Part{reply.Part}
	for !reply.Last {
		var err error
		reply, err = s.inherit(ctx, peers, daemon, len(parts))
		if err != nil {
			return nil, errors.Wrapf(err, "claim part %d from %s", len(parts), daemon)
		}
		if !reply.Found {
			return nil, errors.Wrapf(errPartOrder, "claim part %d from %s", len(parts), daemon)
		}
		parts = append(parts, reply.Part)
	}
	return parts, nil
}

// inherit asks for one part. A lost reply is asked for again: the peer serves
// the same incarnation as often as it asks.
func (s *Service) inherit(ctx context.Context, peers HandOverPeers, daemon string, index int) (reply InheritReply, err error) {
	r := InheritRequest{Daemon: s.cfg.Self.Name, Incarnation: s.cfg.Self.Incarnation, Index: index}
	for range inheritTries {
		reply, err = s.inheritOnce(ctx, peers, daemon, r)
		if err == nil || ctx.Err() != nil {
			break
		}
	}
	return reply, err
}

func (s *Service) inheritOnce(ctx context.Context, peers HandOverPeers, daemon string, r InheritRequest) (InheritReply, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	return peers.Inherit(ctx, daemon, r)
}

func (s *Service) adopt(parts []Part) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.keeper.abstainUntil = time.Time{}
	for _, p := range parts {
		if p.Home == nil {
			s.keeper.adopt(p.Entries, now)
			s.keeper.abstainFor(p.AbstainLeft, now)
			continue
		}
		h := s.former[p.Home.Home]
		if h == nil {
			h = adoptHome(p.Home, s.cfg.Keeper)
			h.ends = now.Add(p.Home.Left)
			s.former[p.Home.Home] = h
		}
		h.keeper.adopt(p.Entries, now)
	}
}
