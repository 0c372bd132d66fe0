package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"magnoliastand.example/clock"
	"magnoliastand.example/dispatch"
	"magnoliastand.example/dispatch/origin"
	"magnoliastand.example/peerlink"
)

// slotClient carries the origin's asks to its zone's arbiter and its releases
// to the arbiters that granted. It implements origin.SlotSource.
type slotClient struct {
	self dispatch.DaemonID
	zone string
	link *peerlink.Node
	host *arbiterHost
	// arbiter returns this zone's arbiter and a channel closed at its change.
	arbiter func() (arbiterRef, <-chan struct{})
	// arbiterOf returns the arbiter of any other zone.
	arbiterOf func(zone string) (arbiterRef, bool)
	// held returns the grants that the origin holds.
	held func() dispatch.Declaration

	ctx context.Context
	wg  sync.WaitGroup
	mu  sync.Mutex
	// accepted holds each grant given to the origin whose request may be running:
	// not released, or released with an unknown outcome within its longest run.
	accepted map[dispatch.GrantID]acceptedGrant
	// declared is the newest term that grants of a zone were declared to.
	declared  map[string]uint64
	releasers map[string]*releaser
}

// acceptedGrant is a grant that this daemon took.
type acceptedGrant struct {
	grant dispatch.Grant
	// unknownSince is when the request of a grant released with an unknown
	// outcome started; zero for grants in use.
	unknownSince time.Time
}

// unknownMargin is added to the longest run of a request of unknown outcome.
const unknownMargin = time.Second

func newSlotClient(ctx context.Context, self dispatch.DaemonID, zone string, link *peerlink.Node, host *arbiterHost) *slotClient {
	return &slotClient{
		self:      self,
		zone:      zone,
		link:      link,
		host:      host,
		ctx:       ctx,
		accepted:  make(map[dispatch.GrantID]acceptedGrant),
		declared:  make(map[string]uint64),
		releasers: make(map[string]*releaser),
	}
}

// Ask implements origin.SlotSource.
func (s *slotClient) Ask(ctx context.Context, ask dispatch.Ask) (dispatch.Grant, error) {
	ref, changed := s.arbiter()
	if ref.Name == "" {
		return dispatch.Grant{}, errors.Wrap(origin.ErrArbiterLost, "no arbiter is known")
	}
	askCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-changed:
			cancel()
		case <-askCtx.Done():
		}
	}()
	reply, err := s.askOne(askCtx, ref, ask)
	if err == nil && reply.Grant != nil {
		return s.accept(ref, reply.Grant)
	}
	if err == nil && reply.Refusal != nil {
		return dispatch.Grant{}, reply.Refusal
	}
	if ctx.Err() != nil {
		return dispatch.Grant{}, ctx.Err()
	}
	if err == nil {
		err = errNotArbiter
	}
	return dispatch.Grant{}, errors.Wrap(origin.ErrArbiterLost, err.Error())
}

// askOne asks one arbiter. When ctx ends first, the arbiter is told that the
// ask, or the grant on its way, is not taken.
func (s *slotClient) askOne(ctx context.Context, ref arbiterRef, ask dispatch.Ask) (askReply, error) {
	if ref.Name == s.self.Name {
		return s.host.ask(ctx, ref.Term, ask)
	}
	var reply askReply
	err := s.link.Call(ctx, ref.Name, methodAsk, askRequest{Term: ref.Term, Ask: ask}, &reply)
	if err != nil && ctx.Err() != nil {
		s.link.Notify(ref.Name, methodCancel, cancelNotice{Term: ref.Term, RequestID: ask.RequestID, Origin: ask.Origin})
	}
	return reply, err
}

// accept takes a grant unless its zone's newer arbiter was already told what
// this daemon holds; such a grant can't be used any more.
func (s *slotClient) accept(ref arbiterRef, g *dispatch.Grant) (dispatch.Grant, error) {
	s.mu.Lock()
	stale := g.ID.Term < s.declared[g.ID.Zone]
	if !stale {
		s.accepted[g.ID] = acceptedGrant{grant: *g}
	}
	s.mu.Unlock()
	if stale {
		return dispatch.Grant{}, errors.Wrapf(origin.ErrArbiterLost, "grant of the old term %d of %s", g.ID.Term, ref.Name)
	}
	return *g, nil
}

// Release implements origin.SlotSource.
func (s *slotClient) Release(r dispatch.Release) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle(r)
	s.releaserOf(r.Grant.Zone).add(r)
}

// settle forgets a released grant, or keeps one whose request may still be
// running. The lock is held.
func (s *slotClient) settle(r dispatch.Release) {
	a, ok := s.accepted[r.Grant]
	if !ok || r.Outcome != dispatch.OutcomeUnknown {
		delete(s.accepted, r.Grant)
		return
	}
	now := clock.Now()
	s.expire(now)
	a.unknownSince = now.Add(-r.Elapsed)
	s.accepted[r.Grant] = a
}

// expire forgets requests of unknown outcome past their longest run. The lock
// is held.
func (s *slotClient) expire(now time.Time) {
	for id, a := range s.accepted {
		if !a.unknownSince.IsZero() && now.Sub(a.unknownSince) > a.grant.LongestRun+unknownMargin {
			delete(s.accepted, id)
		}
	}
}

// releaserOf returns the zone's releaser, starting it if needed. The lock is held.
func (s *slotClient) releaserOf(zone string) *releaser {
	rel := s.releasers[zone]
	if rel == nil {
		rel = &releaser{client: s, zone: zone, wake: make(chan struct{}, 1)}
		s.releasers[zone] = rel
		s.wg.Go(rel.run)
	}
	return rel
}

// arbiterChanged makes the releaser of this zone declare to the new arbiter.
func (s *slotClient) arbiterChanged() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaserOf(s.zone).signal()
}

// declaration lists what this daemon holds of a zone's slots and raises the
// term below which grants are no longer accepted.
func (s *slotClient) declaration(zone string, term uint64) *dispatch.Declaration {
	started := s.held()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.declared[zone] = max(s.declared[zone], term)
	d := &dispatch.Declaration{Origin: s.self}
	running := make(map[dispatch.GrantID]dispatch.HeldGrant, len(started.Held))
	for _, h := range started.Held {
		running[h.Grant.ID] = h
	}
	now := clock.Now()
	s.expire(now)
	for id, a := range s.accepted {
		if id.Zone != zone {
			continue
		}
		h, ok := running[id]
		if !ok {
			h = dispatch.HeldGrant{Grant: a.grant}
		}
		if !a.unknownSince.IsZero() {
			h.Started = true
			h.Running = now.Sub(a.unknownSince)
		}
		d.Held = append(d.Held, h)
	}
	return d
}

func (s *slotClient) currentArbiter(zone string) (arbiterRef, bool) {
	if zone == s.zone {
		ref, _ := s.arbiter()
		return ref, ref.Name != ""
	}
	return s.arbiterOf(zone)
}

// releaser returns the grants of one zone, in order and until the zone's
// arbiter took them.
type releaser struct {
	client *slotClient
	zone   string
	wake   chan struct{}

	mu    sync.Mutex
	queue []dispatch.Release

	declaredTerm uint64 // used by run only
}

func (r *releaser) add(rel dispatch.Release) {
	r.mu.Lock()
	r.queue = append(r.queue, rel)
	r.mu.Unlock()
	r.signal()
}

func (r *releaser) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *releaser) run() {
	for {
		select {
		case <-r.wake:
		case <-r.client.ctx.Done():
			return
		}
		for !r.flush() {
			select {
			case <-time.After(releaseBackoff):
			case <-r.client.ctx.Done():
				return
			}
		}
	}
}

// flush sends what is queued. It reports whether the arbiter took it.
func (r *releaser) flush() bool {
	ref, ok := r.client.currentArbiter(r.zone)
	if !ok {
		return false
	}
	r.mu.Lock()
	batch := r.queue
	r.mu.Unlock()
	req := releaseRequest{Term: ref.Term, Releases: batch}
	if ref.Term != r.declaredTerm {
		req.Declaration = r.client.declaration(r.zone, ref.Term)
	}
	if err := r.send(ref, req); err != nil {
		return false
	}
	r.declaredTerm = ref.Term
	r.mu.Lock()
	r.queue = r.queue[len(batch):]
	if len(r.queue) == 0 {
		r.queue = nil
	}
	more := len(r.queue) > 0
	r.mu.Unlock()
	if more {
		r.signal()
	}
	return true
}

func (r *releaser) send(ref arbiterRef, req releaseRequest) error {
	if ref.Name == r.client.self.Name {
		return r.client.host.release(req)
	}
	ctx, cancel := context.WithTimeout(r.client.ctx, releaseTimeout)
	defer cancel()
	return r.client.link.Call(ctx, ref.Name, methodRelease, req, nil)
}
