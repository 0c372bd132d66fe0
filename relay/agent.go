package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"magnoliastand.example/peerlink"
)

// maxCarried bounds the orders that an agent carries out at a time, holds included:
// some seconds of the expected peak. Further ones are answered as not sent.
const maxCarried = 4096

// Agent carries out orders for whichever daemon leads.
type Agent struct {
	link   Link
	orders Orders
	log    zerolog.Logger
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	carried atomic.Int64
	mu      sync.Mutex
	replies map[string]*batcher[*outcome]
}

// NewAgent returns an agent and registers its handlers on the link.
func NewAgent(link Link, orders Orders, log zerolog.Logger) *Agent {
	ctx, cancel := context.WithCancel(context.Background())
	a := &Agent{
		link: link, orders: newLimited(orders), log: log, ctx: ctx, cancel: cancel,
		replies: map[string]*batcher[*outcome]{},
	}
	link.HandleNotify(methodOrders, a.take)
	link.Handle(methodProbe, func(context.Context, peerlink.Identity, []byte) (any, error) { return struct{}{}, nil })
	return a
}

// Close cancels the calls under way and waits for them.
func (a *Agent) Close() {
	a.cancel()
	a.wg.Wait()
}

// take starts the orders of a batch.
func (a *Agent) take(from peerlink.Identity, payload []byte) {
	var batch []*order
	if err := decMode.Unmarshal(payload, &batch); err != nil {
		a.log.Warn().Err(err).Str("peer", from.Name).Msg("batch of orders not readable")
		return
	}
	if a.ctx.Err() != nil {
		return
	}
	replies := a.repliesTo(from.Name)
	for _, o := range batch {
		if a.carried.Add(1) > maxCarried {
			a.carried.Add(-1)
			replies.add(&outcome{Seq: o.Seq, Failure: notSent, Detail: "agent has too many orders under way"})
			continue
		}
		a.wg.Go(func() {
			defer a.carried.Add(-1)
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
