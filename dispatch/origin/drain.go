package origin

import (
	"context"
	"time"

	"magnoliastand.example/clock"
	"magnoliastand.example/dispatch"
	"magnoliastand.example/dispatch/request"
	"magnoliastand.example/invariant"
)

// heldGrant is a grant that has not been released.
type heldGrant struct {
	grant dispatch.Grant
	// started is when the first byte was sent, or zero if none was.
	started time.Time
}

func (o *Origin) addHeld(g dispatch.Grant) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.held[g.ID] = &heldGrant{grant: g}
}

func (o *Origin) markStarted(id dispatch.GrantID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if h, ok := o.held[id]; ok {
		h.started = clock.Now()
	}
}

// release returns a grant to its arbiter.
func (o *Origin) release(g dispatch.Grant, outcome dispatch.Outcome, elapsed time.Duration) {
	o.mu.Lock()
	delete(o.held, g.ID)
	o.mu.Unlock()
	o.cfg.Slots.Release(dispatch.Release{Grant: g.ID, Outcome: outcome, Elapsed: elapsed})
}

// Held returns the grants in use, for the declaration to a new arbiter.
func (o *Origin) Held() dispatch.Declaration {
	o.mu.Lock()
	defer o.mu.Unlock()
	d := dispatch.Declaration{Origin: o.cfg.Self, Held: make([]dispatch.HeldGrant, 0, len(o.held))}
	now := clock.Now()
	for _, h := range o.held {
		g := dispatch.HeldGrant{Grant: h.grant}
		if !h.started.IsZero() {
			g.Started = true
			g.Running = now.Sub(h.started)
		}
		d.Held = append(d.Held, g)
	}
	return d
}

// AbortedRequest identifies a request that is aborted by a shutdown.
type AbortedRequest struct {
	ID    string
	Queue string
	State request.State
}

// Drain refuses new requests and waits until those in flight have ended. If ctx
// is done first, it returns the requests still in flight, which are aborted when
// the process exits. It returns nil if there are none.
func (o *Origin) Drain(ctx context.Context) []AbortedRequest {
	o.mu.Lock()
	o.draining = true
	o.signalIdle()
	o.mu.Unlock()
	select {
	case <-o.idle:
		return nil
	case <-ctx.Done():
	}
	aborted := o.inFlightRequests()
	invariant.Check(len(aborted) == 0 || ctx.Err() != nil, invariant.ShutdownCutsNothing,
		"%d requests aborted within the grace period", len(aborted))
	return aborted
}

func (o *Origin) inFlightRequests() []AbortedRequest {
	o.mu.Lock()
	defer o.mu.Unlock()
	var requests []AbortedRequest
	for c := range o.calls {
		requests = append(requests, AbortedRequest{ID: c.claim.ID, Queue: c.r.Queue, State: c.state()})
	}
	return requests
}
