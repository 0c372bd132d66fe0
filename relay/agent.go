package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"magnoliastand.example/peerlink"
	"magnoliastand.example/platform"
)

// maxCarried bounds the orders that an agent carries out at a time, holds included:
// some seconds of the expected peak. Further ones are answered as not sent.
const maxCarried = 4096

// Agent carries out orders for whichever daemon leads. Orders that were long on
// their way, because this daemon stood still or a link was cut, are not carried out:
// the worker may have started anew under its id and would take them for its own.
type Agent struct {
	link   Link
	orders platform.Workers
	log    zerolog.Logger
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	draining atomic.Bool
	carried  atomic.Int64
	mu       sync.Mutex
	replies  map[string]*batcher[*outcome]
	clocks   map[sender]*senderClock
	now      func() time.Duration
}

// NewAgent returns an agent and registers its handlers on the link.
func NewAgent(link Link, orders platform.Workers, log zerolog.Logger) *Agent {
	ctx, cancel := context.WithCancel(context.Background())
	a := &Agent{
		link: link, orders: newLimited(orders), log: log, ctx: ctx, cancel: cancel,
		replies: map[string]*batcher[*outcome]{}, clocks: map[sender]*senderClock{}, now: bootTime,
	}
	link.HandleNotify(methodOrders, a.take)
	link.Handle(methodProbe, a.probe)
	return a
}

// probe answers a leader's check. A draining agent fails it.
func (a *Agent) probe(_ context.Context, from peerlink.Identity, payload []byte) (any, error) {
	var c check
	if err := decMode.Unmarshal(payload, &c); err != nil {
		return nil, errors.Wrap(err, "check")
	}
	a.age(from, c.SentAt)
	if a.draining.Load() {
		return nil, errors.New("relay: agent is draining")
	}
	return struct{}{}, nil
}

// Drain refuses further orders as not sent and waits until those under way have
// their outcomes, or ctx ends.
func (a *Agent) Drain(ctx context.Context) {
	a.draining.Store(true)
	ticker := time.NewTicker(batchGap)
	defer ticker.Stop()
	for a.carried.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			a.log.Warn().Int64("orders", a.carried.Load()).Msg("agent stops with orders under way")
			return
		}
	}
	select {
	case <-time.After(2 * batchGap): // the last outcomes leave with their batch
	case <-ctx.Done():
	}
}

// Close cancels the calls under way and waits for them.
func (a *Agent) Close() {
	a.cancel()
	a.wg.Wait()
}

// take starts the orders of a batch.
func (a *Agent) take(from peerlink.Identity, payload []byte) {
	var batch orders
	if err := decMode.Unmarshal(payload, &batch); err != nil {
		a.log.Warn().Err(err).Str("peer", from.Name).Msg("batch of orders not readable")
		return
	}
	if a.ctx.Err() != nil {
		return
	}
	replies := a.repliesTo(from.Name)
	for _, o := range batch.Orders {
		if a.carried.Add(1) > maxCarried || a.draining.Load() {
			a.carried.Add(-1)
			replies.add(&outcome{Seq: o.Seq, Failure: notSent, Detail: "agent is full or draining"})
			continue
		}
		a.wg.Go(func() {
			defer a.carried.Add(-1)
			if age := a.age(from, batch.SentAt); age > maxAge {
				replies.add(&outcome{Seq: o.Seq, Failure: notSent, Detail: "reached the agent " + age.String() + " late"})
				return
			}
			ctx, cancel := context.WithTimeout(a.ctx, time.Duration(o.Timeout)*time.Millisecond)
			defer cancel()
			replies.add(o.carryOut(ctx, a.orders))
		})
	}
}

// repliesTo returns the batcher of the outcomes for a daemon.
func (a *Agent) repliesTo(peer string) *batcher[*outcome] {
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.replies[peer]
	if b == nil {
		b = newBatcher(func(items []*outcome) { a.link.Notify(peer, methodOutcomes, items) })
		a.replies[peer] = b
	}
	return b
}
