package daemon

import (
	"context"
	"slices"
	"time"

	"magnoliastand.example/clock"
	"magnoliastand.example/dispatch"
	"magnoliastand.example/dispatch/arbiter"
	"magnoliastand.example/dispatch/endpoint"
	"magnoliastand.example/peerlink"
)

// forward passes an ask on to another zone's arbiter and answers the waiting
// origin with what comes back. The lock is held.
func (h *arbiterHost) forward(e arbiter.Forward) {
	key := waiterKey{e.Ask.RequestID, e.Ask.Origin}
	if _, ok := h.forwards[key]; ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), e.Ask.Patience+releaseTimeout)
	h.forwards[key] = cancel
	term := h.arb.Term()
	go h.runForward(ctx, cancel, key, term, e)
}

func (h *arbiterHost) runForward(ctx context.Context, cancel context.CancelFunc, key waiterKey, term uint64, e arbiter.Forward) {
	defer cancel()
	var reply askReply
	ref, ok := h.arbiterOf(e.Zone)
	err := error(errNotArbiter)
	if ok {
		err = h.link.Call(ctx, ref.Name, methodAsk, askRequest{Term: ref.Term, Ask: e.Ask}, &reply)
	}
	if err != nil && ok && ctx.Err() != nil {
		h.link.Notify(ref.Name, methodCancel, cancelNotice{Term: ref.Term, RequestID: key.requestID, Origin: key.origin})
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.termLocked() != term {
		return
	}
	delete(h.forwards, key)
	if _, waiting := h.waiters[key]; !waiting {
		return
	}
	if err == nil && reply.Grant != nil {
		h.deliver(h.arb.Cancel(clock.Now(), key.requestID, key.origin))
		h.end(key, askOutcome{grant: reply.Grant})
		return
	}
	h.keepHere(e.Zone, e.Ask, err)
}

// keepHere lets an ask that another zone did not take wait in this zone.
func (h *arbiterHost) keepHere(zone string, ask dispatch.Ask, err error) {
	now := clock.Now()
	if err != nil {
		h.deliver(h.arb.PeerLost(now, zone))
	}
	h.deliver(h.arb.Ask(now, ask))
}

func (h *arbiterHost) cancelForward(key waiterKey) {
	if cancel, ok := h.forwards[key]; ok {
		delete(h.forwards, key)
		cancel()
	}
}

// summary returns the sums of this zone, without services that have neither
// endpoints nor requests here; false when this daemon is not the arbiter.
func (h *arbiterHost) summary() (endpoint.Summary, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.arb == nil {
		return endpoint.Summary{}, false
	}
	sum := h.arb.Summary()
	sum.Services = slices.DeleteFunc(sum.Services, func(s endpoint.ServiceSummary) bool {
		return s.Endpoints == 0 && s.Waiting == 0
	})
	return sum, true
}

// sendSummaries tells the arbiters of other zones, and by report the leader,
// what this zone has, whenever it changed and at each repetition, until ctx ends.
func (h *arbiterHost) sendSummaries(ctx context.Context, zones func() []string, report func(endpoint.Summary)) {
	ticker := time.NewTicker(summaryInterval)
	defer ticker.Stop()
	var last endpoint.Summary
	var sent time.Time
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		sum, ok := h.summary()
		if !ok || slices.Equal(sum.Services, last.Services) && clock.Since(sent) < summaryRepeat {
			continue
		}
		last, sent = sum, clock.Now()
		report(sum)
		for _, zone := range zones() {
			if ref, known := h.arbiterOf(zone); known && zone != h.zone {
				h.link.Notify(ref.Name, methodSummary, summaryNotice{Summary: sum})
			}
		}
	}
}

func (h *arbiterHost) handleSummary(from peerlink.Identity, payload []byte) {
	var n summaryNotice
	if err := decodeMessage(payload, &n); err != nil || n.Summary.Zone != from.Zone {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.arb != nil {
		h.deliver(h.arb.ApplyPeerSummary(clock.Now(), n.Summary))
	}
}
