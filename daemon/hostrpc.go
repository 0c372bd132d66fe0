package daemon

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"magnoliastand.example/api"
	"magnoliastand.example/clock"
	"magnoliastand.example/dispatch/endpoint"
	"magnoliastand.example/peerlink"
)

// errNotArbiter means that a call named a term that is not running here.
var errNotArbiter = &peerlink.RemoteError{Code: codeNotArbiter, Detail: "this daemon is not the arbiter of that term"}

// decodeMessage decodes the payload of a call or notification.
func decodeMessage(payload []byte, v any) error {
	return errors.Wrap(cbor.Unmarshal(payload, v), "message of a peer")
}

// register installs the handlers of the host.
func (h *arbiterHost) register() {
	h.link.Handle(methodAsk, h.handleAsk)
	h.link.Handle(methodRelease, h.handleRelease)
	h.link.Handle(methodFeed, h.handleFeed)
	h.link.HandleNotify(methodCancel, h.handleCancel)
	h.link.HandleNotify(methodSummary, h.handleSummary)
}

func (h *arbiterHost) handleAsk(ctx context.Context, _ peerlink.Identity, payload []byte) (any, error) {
	var r askRequest
	if err := decodeMessage(payload, &r); err != nil {
		return nil, err
	}
	return h.ask(ctx, r.Term, r.Ask)
}

func (h *arbiterHost) handleRelease(_ context.Context, _ peerlink.Identity, payload []byte) (any, error) {
	var r releaseRequest
	if err := decodeMessage(payload, &r); err != nil {
		return nil, err
	}
	return nil, h.release(r)
}

func (h *arbiterHost) handleCancel(_ peerlink.Identity, payload []byte) {
	var n cancelNotice
	if err := decodeMessage(payload, &n); err == nil {
		h.cancel(n)
	}
}

func (h *arbiterHost) handleFeed(_ context.Context, _ peerlink.Identity, payload []byte) (any, error) {
	var r feedRequest
	if err := decodeMessage(payload, &r); err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reg.Changes(clock.Now(), r.Since), nil
}

// announce takes an endpoint's announcement.
func (h *arbiterHost) announce(id string, a api.Announcement) (api.AnnouncementReply, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := clock.Now()
	reply, err := h.reg.Announce(now, id, a)
	if err != nil {
		return reply, err
	}
	if h.arb != nil {
		h.deliver(h.arb.Tick(now))
	}
	return reply, nil
}

// endpoints lists the zone's endpoints as known here.
func (h *arbiterHost) endpoints() []endpoint.Endpoint {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := make([]endpoint.Endpoint, 0, h.reg.Len())
	for e := range h.reg.All {
		all = append(all, e)
	}
	return all
}

// pullFeed keeps the registry up to date with what endpoints announced to one
// zone peer, until ctx ends.
func (h *arbiterHost) pullFeed(ctx context.Context, peer string) {
	ticker := time.NewTicker(feedInterval)
	defer ticker.Stop()
	var since uint64
	var pulled time.Time
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if !h.isArbiter() && clock.Since(pulled) < restInterval {
			continue
		}
		pulled = clock.Now()
		callCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
		var feed endpoint.Feed
		err := h.link.Call(callCtx, peer, methodFeed, feedRequest{Since: since}, &feed)
		cancel()
		if err != nil {
			since = 0
			continue
		}
		since = feed.Version
		h.mergeFeed(peer, feed)
	}
}

func (h *arbiterHost) mergeFeed(peer string, feed endpoint.Feed) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := clock.Now()
	if err := h.reg.Merge(now, peer, feed); err != nil {
		h.log.Warn().Err(err).Msg("feed of a zone peer")
	}
	if h.arb != nil && len(feed.Changes) > 0 {
		h.deliver(h.arb.Tick(now))
	}
}
