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

// answerMargin is how much longer than the call itself an outcome may take: two
// batches, a round trip between zones and a daemon that stands still for a tenth of a second.
const answerMargin = 200 * time.Millisecond

// ErrNoAnswer leaves open whether an order was carried out, now or later.
var ErrNoAnswer = errors.New("relay: no answer")

// Link carries messages to other daemons; see peerlink.Node.
type Link interface {
	Call(ctx context.Context, peer, method string, req, resp any) error
	Notify(peer, method string, req any)
	Connected(peer string) bool
	Handle(method string, h peerlink.CallHandler)
	HandleNotify(method string, h peerlink.NotifyHandler)
}

// Peer is a daemon that may carry orders.
type Peer struct {
	Name, Zone string
}

// Config holds the settings of a Relay.
type Config struct {
	Link Link
	// Direct makes calls from this daemon.
	Direct platform.Workers
	// Self is this daemon.
	Self Peer
	// Peers returns the daemons that run an Agent; this one may be among them.
	Peers   func() []Peer
	Metrics *Metrics
	Log     zerolog.Logger
}

// Relay implements platform.Workers over the agents of other daemons. A call takes as long
// as its context allows on the worker's side, and up to as long again, and
// answerMargin, on its way. Safe for concurrent use.
type Relay struct {
	cfg    Config
	direct platform.Workers

	mu      sync.Mutex
	seq     uint64
	waiting map[uint64]chan *outcome
	agents  map[string]*agentLink
	detours map[string]detour
}

// New returns a relay and registers its handler on the link. Orders go out
// directly until Run has found agents.
func New(cfg Config) *Relay {
	r := &Relay{
		cfg: cfg, direct: newLimited(cfg.Direct), seq: rand.Uint64() >> 1, // outcomes for an earlier life match nothing
		waiting: map[uint64]chan *outcome{}, agents: map[string]*agentLink{}, detours: map[string]detour{},
	}
	cfg.Link.HandleNotify(methodOutcomes, r.take)
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

// do carries an order out through the agent of the worker, or directly where
// there is none.
func (r *Relay) do(ctx context.Context, o *order) (*outcome, error) {
	agent := r.route(o.Worker)
	if agent == nil {
		out := o.carryOut(ctx, r.direct)
		r.noteOutcome(o.Worker, nil, out)
		return out, out.err()
	}
	out := r.send(ctx, agent, o)
	r.noteOutcome(o.Worker, agent, out)
	err := out.err()
	if err == nil && o.Hold != nil && out.Lists == nil {
		err = errors.Wrap(ErrNoAnswer, "outcome without lists")
	}
	return out, err
}

// send hands an order to an agent and waits for its outcome.
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
	r.waiting[o.Seq] = ch
	r.mu.Unlock()
	agent.batch.add(o)
	timer := time.NewTimer(2*timeout + answerMargin)
	defer timer.Stop()
	done := ctx.Done()
	for {
		select {
		case out := <-ch:
			return out
		case <-timer.C:
			r.forget(o.Seq)
			r.suspect(agent)
			return &outcome{Failure: noAnswer, Detail: "no outcome from " + agent.peer.Name}
		case <-done:
			// The deadline bounds the call at the worker; only a cancelled order is given up.
			if errors.Is(ctx.Err(), context.DeadlineExceeded) {
				done = nil
				continue
			}
			r.forget(o.Seq)
			return &outcome{Failure: noAnswer, Detail: ctx.Err().Error()}
		}
	}
}

func (r *Relay) forget(seq uint64) {
	r.mu.Lock()
	delete(r.waiting, seq)
	r.mu.Unlock()
}

// take hands outcomes to the callers that wait for them.
func (r *Relay) take(from peerlink.Identity, payload []byte) {
	var batch []*outcome
	if err := decMode.Unmarshal(payload, &batch); err != nil {
		r.cfg.Log.Warn().Err(err).Str("peer", from.Name).Msg("batch of outcomes not readable")
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range batch {
		if ch := r.waiting[o.Seq]; ch != nil {
			delete(r.waiting, o.Seq)
			ch <- o
		}
	}
}
