package relay

import (
	"context"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"magnoliastand.example/clock"
	"magnoliastand.example/peerlink"
	"magnoliastand.example/platform"
)

// maxInFlight is the number of orders, holds included, that an agent accepts at
// the same time. It corresponds to several seconds of orders at the expected peak
// rate. The agent reports further orders as not sent.
const maxInFlight = 4096

// Agent executes orders for whichever daemon is the leader. It rejects orders that
// were delayed for long because this daemon was paused or a link was
// interrupted: the worker may have restarted under the same ID, and its new
// incarnation would accept orders meant for the old one.
type Agent struct {
	link    Link
	workers platform.Workers
	log     zerolog.Logger
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	// closeMu orders Close against the batches that are being accepted. closed is
	// set by Close; no order is accepted afterwards.
	closeMu sync.RWMutex
	closed  bool

	draining     atomic.Bool
	inFlight     atomic.Int64
	mu           sync.Mutex
	replies      map[string]*batcher[*outcome]
	senderClocks map[sender]*senderClock
	now          func() time.Duration
}

// NewAgent returns an Agent and registers its handlers on the link.
func NewAgent(link Link, workers platform.Workers, log zerolog.Logger) *Agent {
	ctx, cancel := context.WithCancel(context.Background())
	a := &Agent{
		link: link, workers: newLimiter(workers), log: log, ctx: ctx, cancel: cancel,
		replies: map[string]*batcher[*outcome]{}, senderClocks: map[sender]*senderClock{}, now: clock.Boot,
	}
	link.HandleNotify(methodOrders, a.handleOrders)
	link.Handle(methodProbe, a.handleProbe)
	return a
}

// handleProbe answers a leader's probe. It fails if the agent is draining.
func (a *Agent) handleProbe(_ context.Context, from peerlink.Identity, payload []byte) (any, error) {
	var c probeRequest
	if err := decMode.Unmarshal(payload, &c); err != nil {
		return nil, errors.Wrap(err, "decode probe")
	}
	a.messageDelay(from, c.SentAt)
	if a.draining.Load() {
		return nil, errors.New("relay: agent is draining")
	}
	return struct{}{}, nil
}

// Drain makes the agent report further orders as not sent, and waits until the
// outcomes of those in progress are sent or ctx is done.
func (a *Agent) Drain(ctx context.Context) {
	a.draining.Store(true)
	ticker := time.NewTicker(batchInterval)
	defer ticker.Stop()
	for a.inFlight.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			a.log.Warn().Int64("orders", a.inFlight.Load()).Msg("agent stopped with orders in progress")
			return
		}
	}
	select {
	case <-time.After(2 * batchInterval): // the batch with the last outcomes is sent
	case <-ctx.Done():
	}
}

// Close cancels the calls in progress and waits for them to return. Orders that
// arrive later are dropped.
func (a *Agent) Close() {
	a.closeMu.Lock()
	a.closed = true
	a.closeMu.Unlock()
	a.cancel()
	a.wg.Wait()
}

// handleOrders starts executing the orders of a batch.
func (a *Agent) handleOrders(from peerlink.Identity, payload []byte) {
	var batch orderBatch
	if err := decMode.Unmarshal(payload, &batch); err != nil {
		a.log.Warn().Err(err).Str("peer", from.Name).Msg("cannot decode batch of orders")
		return
	}
	a.closeMu.RLock()
	defer a.closeMu.RUnlock()
	if a.closed {
		return
	}
	replies := a.replyBatcher(from.Name)
	for _, o := range batch.Orders {
		if o == nil {
			a.log.Warn().Str("peer", from.Name).Msg("batch with an empty order; the order is dropped")
			continue
		}
		if a.inFlight.Add(1) > maxInFlight || a.draining.Load() {
			a.inFlight.Add(-1)
			replies.add(&outcome{Seq: o.Seq, Failure: notSent, Detail: "agent is full or draining"})
			continue
		}
		a.wg.Go(func() {
			defer a.inFlight.Add(-1)
			if delay := a.messageDelay(from, batch.SentAt); delay > maxOrderAge {
				replies.add(&outcome{Seq: o.Seq, Failure: notSent, Detail: "reached the agent " + delay.String() + " late"})
				return
			}
			ctx, cancel := context.WithTimeout(a.ctx, time.Duration(o.Timeout)*time.Millisecond)
			defer cancel()
			replies.add(a.execute(ctx, o))
		})
	}
}

// execute calls the worker of an order. A call that panics may have reached the
// worker.
func (a *Agent) execute(ctx context.Context, o *order) (out *outcome) {
	defer func() {
		if cause := recover(); cause != nil {
			a.log.Error().Str("worker", o.Worker.ID).Interface("cause", cause).Bytes("stack", debug.Stack()).
				Msg("order panicked; its outcome is unknown")
			out = &outcome{Seq: o.Seq, Failure: noAnswer, Detail: "order panicked"}
		}
	}()
	return o.execute(ctx, a.workers)
}

// replyBatcher returns the batcher that sends outcomes to a daemon.
func (a *Agent) replyBatcher(peer string) *batcher[*outcome] {
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.replies[peer]
	if b == nil {
		b = newBatcher(func(items []*outcome) { a.link.Notify(peer, methodOutcomes, items) })
		a.replies[peer] = b
	}
	return b
}
