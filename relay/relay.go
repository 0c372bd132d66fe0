package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"magnoliastand.example/peerlink"
	"magnoliastand.example/platform"
	"magnoliastand.example/workload"
)

// outcomeMargin is how long an outcome may take in addition to the call itself.
// It covers two batch intervals, a round trip between zones and a daemon pause of
// 100 ms.
const outcomeMargin = 200 * time.Millisecond

// ErrNoAnswer means that an order may have been executed, or may still be
// executed later.
var ErrNoAnswer = errors.New("relay: no answer")

// Link exchanges messages with other daemons; see peerlink.Node.
type Link interface {
	Call(ctx context.Context, peer, method string, req, resp any) error
	Notify(peer, method string, req any)
	Connected(peer string) bool
	Handle(method string, h peerlink.CallHandler)
	HandleNotify(method string, h peerlink.NotifyHandler)
}

// Peer is a daemon that may execute orders.
type Peer struct {
	Name, Zone string
}

// Config holds the settings of a Relay.
type Config struct {
	Link Link
	// Direct calls workers from this daemon.
	Direct platform.Workers
	// Self describes this daemon.
	Self Peer
	// Peers returns the daemons that run an Agent. It may include this one.
	Peers   func() []Peer
	Metrics *Metrics
	Log     zerolog.Logger
}

// Relay implements platform.Workers using the agents of other daemons. The time
// limit of the context applies to the call from the agent to the worker. Since
// the order may wait as long again for a slot at the agent, the Relay waits for
// the outcome for up to twice that time plus outcomeMargin. It is safe for
// concurrent use.
type Relay struct {
	cfg    Config
	direct platform.Workers

	mu       sync.Mutex
	seq      uint64
	pending  map[uint64]chan *outcome
	agents   map[string]*agentLink
	reroutes map[string]reroute
}

// New returns a Relay and registers its handler on the link. Workers are called
// directly until Run has found agents.
func New(cfg Config) *Relay {
	r := &Relay{
		cfg: cfg, direct: newLimiter(cfg.Direct), seq: rand.Uint64() >> 1, // random, so that outcomes for an earlier process match no pending order
		pending: map[uint64]chan *outcome{}, agents: map[string]*agentLink{}, reroutes: map[string]reroute{},
	}
	cfg.Link.HandleNotify(methodOutcomes, r.handleOutcomes)
	return r
}

// Start implements platform.Workers.
func (r *Relay) Start(ctx context.Context, e platform.Endpoint, o *platform.StartOrder) (workload.Millis, error) {
	out, err := r.do(ctx, &order{Worker: e, Start: o})
	return out.Clock, err
}

// Stop implements platform.Workers.
func (r *Relay) Stop(ctx context.Context, e platform.Endpoint, task workload.TaskRef, run int64, fence uint64) error {
	_, err := r.do(ctx, &order{Worker: e, Stop: &stopOrder{Task: task, Run: run, Fence: fence}})
	return err
}

// Pace implements platform.Workers.
func (r *Relay) Pace(ctx context.Context, e platform.Endpoint, task workload.TaskRef, run int64, percent int, fence uint64) error {
	_, err := r.do(ctx, &order{Worker: e, Pace: &paceOrder{Task: task, Run: run, Percent: percent, Fence: fence}})
	return err
}

// Hold implements platform.Workers.
func (r *Relay) Hold(ctx context.Context, e platform.Endpoint, o *platform.HoldOrder) (*platform.Lists, error) {
	out, err := r.do(ctx, &order{Worker: e, Hold: o})
	return out.Lists, err
}

// RaiseFence implements platform.Workers.
func (r *Relay) RaiseFence(ctx context.Context, e platform.Endpoint, fence uint64) error {
	return r.direct.RaiseFence(ctx, e, fence)
}

// do executes an order through the agent chosen for the worker, or directly if
// there is none.
func (r *Relay) do(ctx context.Context, o *order) (*outcome, error) {
	agent := r.route(o.Worker)
	if agent == nil {
		out := o.execute(ctx, r.direct)
		r.recordOutcome(o.Worker, nil, out)
		return out, out.err()
	}
	out := r.send(ctx, agent, o)
	r.recordOutcome(o.Worker, agent, out)
	err := out.err()
	if err == nil && o.Hold != nil && out.Lists == nil {
		err = errors.Wrap(ErrNoAnswer, "outcome of a hold has no lists")
	}
	return out, err
}

// send sends an order to an agent and waits for its outcome.
func (r *Relay) send(ctx context.Context, agent *agentLink, o *order) *outcome {
	deadline, _ := ctx.Deadline()
	timeout := time.Until(deadline)
	if timeout <= 0 {
		return &outcome{Failure: notSent, Detail: "no time left"}
	}
	o.Timeout = max(timeout.Milliseconds(), 1)
	ch := make(chan *outcome, 1)
	r.mu.Lock()
	r.seq++
	o.Seq = r.seq
	r.pending[o.Seq] = ch
	r.mu.Unlock()
	agent.batch.add(o)
	timer := time.NewTimer(2*timeout + outcomeMargin)
	defer timer.Stop()
	done := ctx.Done()
	for {
		select {
		case out := <-ch:
			return out
		case <-timer.C:
			r.removePending(o.Seq)
			r.markSuspect(agent)
			return &outcome{Failure: noAnswer, Detail: "no outcome from " + agent.peer.Name}
		case <-done:
			// The deadline applies to the call from the agent to the worker, so
			// only cancellation ends the wait here.
			if errors.Is(ctx.Err(), context.DeadlineExceeded) {
				done = nil
				continue
			}
			r.removePending(o.Seq)
			return &outcome{Failure: noAnswer, Detail: ctx.Err().Error()}
		}
	}
}

func (r *Relay) removePending(seq uint64) {
	r.mu.Lock()
	delete(r.pending, seq)
	r.mu.Unlock()
}

// handleOutcomes delivers a batch of outcomes to the callers that wait for them.
func (r *Relay) handleOutcomes(from peerlink.Identity, payload []byte) {
	var batch []*outcome
	if err := decMode.Unmarshal(payload, &batch); err != nil {
		r.cfg.Log.Warn().Err(err).Str("peer", from.Name).Msg("cannot decode batch of outcomes")
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range batch {
		if o == nil {
			continue
		}
		if ch := r.pending[o.Seq]; ch != nil {
			delete(r.pending, o.Seq)
			ch <- o
		}
	}
}
