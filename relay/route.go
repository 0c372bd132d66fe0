package relay

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"magnoliastand.example/platform"
)

const (
	// probeInterval is the time between two checks of an agent.
	probeInterval = 500 * time.Millisecond
	// probeTimeout bounds one check: some round trips between zones, and a
	// daemon that stands still for a tenth of a second.
	probeTimeout = 300 * time.Millisecond
	// agentFresh is how long an answered check counts: two may be lost.
	agentFresh = 1500 * time.Millisecond
	// suspectTime is how long an agent gets no orders after one was left without an outcome.
	suspectTime = 2 * time.Second
	// detourTime is how long a worker that an agent could not reach is called
	// on another path.
	detourTime = 5 * time.Second
)

// agentLink is what a Relay knows of one agent.
type agentLink struct {
	peer  Peer
	batch *batcher[*order]
	// heard is when a check was last answered, suspectUntil when the agent may
	// get orders again.
	heard, suspectUntil time.Time
	usable              bool
}

// detour leads past the first paths to a worker.
type detour struct {
	skip  int
	until time.Time
}

// Run keeps track of the agents until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	r.mu.Lock()
	clear(r.agents) // what an earlier lead knew of them is old
	r.mu.Unlock()
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		r.refresh()
		r.probe(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// refresh follows the list of peers.
func (r *Relay) refresh() {
	peers := r.cfg.Peers()
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := map[string]bool{}
	for _, p := range peers {
		if p.Name == r.cfg.Self.Name {
			continue
		}
		listed[p.Name] = true
		if known := r.agents[p.Name]; known == nil || known.peer != p {
			r.agents[p.Name] = r.newAgentLink(p)
		}
	}
	for name := range r.agents {
		if !listed[name] {
			delete(r.agents, name)
		}
	}
	now := time.Now()
	for id, d := range r.detours {
		if now.After(d.until) {
			delete(r.detours, id)
		}
	}
}

func (r *Relay) newAgentLink(p Peer) *agentLink {
	return &agentLink{peer: p, batch: newBatcher(func(items []*order) {
		r.cfg.Link.Notify(p.Name, methodOrders, orders{SentAt: bootTime(), Orders: items})
	})}
}

// probe checks all agents at once.
func (r *Relay) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, a := range r.known() {
		wg.Go(func() {
			err := r.cfg.Link.Call(ctx, a.peer.Name, methodProbe, check{SentAt: bootTime()}, nil)
			r.probed(a, err)
		})
	}
	wg.Wait()
}

func (r *Relay) known() []*agentLink {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]*agentLink, 0, len(r.agents))
	for _, a := range r.agents {
		out = append(out, a)
	}
	return out
}

// probed takes the outcome of a check and notes whether the agent may get orders.
func (r *Relay) probed(a *agentLink, err error) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		a.heard = now
	}
	r.setUsable(a, now.Sub(a.heard) < agentFresh && now.After(a.suspectUntil), err)
}

func (r *Relay) setUsable(a *agentLink, usable bool, err error) {
	if a.usable == usable {
		return
	}
	a.usable = usable
	r.cfg.Log.Info().Err(err).Str("agent", a.peer.Name).Bool("usable", usable).Msg("agent for orders changed")
}

// suspect bars an agent that left an order without an outcome.
func (r *Relay) suspect(a *agentLink) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.suspectUntil = time.Now().Add(suspectTime)
	r.setUsable(a, false, ErrNoAnswer)
}

// path is one way to a worker; without an agent it is the direct one.
type path struct {
	agent *agentLink
	rank  int
	hash  uint64
}

func (p path) compare(o path) int {
	return cmp.Or(cmp.Compare(p.rank, o.rank), cmp.Compare(p.hash, o.hash))
}

// route returns the agent for a worker, or nil for a direct call. Agents in the
// worker's zone come first, then this daemon if it is in that zone, then other agents.
func (r *Relay) route(e platform.Endpoint) *agentLink {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d, ok := r.detours[e.ID]; ok && time.Now().Before(d.until) {
		paths := r.sortedPaths(e)
		return paths[d.skip%len(paths)].agent
	}
	best := r.directPath(e)
	for _, a := range r.agents {
		if p, ok := r.pathThrough(a, e); ok && p.compare(best) < 0 {
			best = p
		}
	}
	return best.agent
}

func (r *Relay) directPath(e platform.Endpoint) path {
	if r.cfg.Self.Zone == e.Zone {
		return path{rank: 1}
	}
	return path{rank: 3}
}

// pathThrough returns the path through an agent that gets orders. The order among
// equals is stable by worker, so that connections are used again.
func (r *Relay) pathThrough(a *agentLink, e platform.Endpoint) (path, bool) {
	if !a.usable || !r.cfg.Link.Connected(a.peer.Name) {
		return path{}, false
	}
	p := path{agent: a, rank: 2, hash: xxhash.Sum64String(a.peer.Name + e.ID)}
	if a.peer.Zone == e.Zone {
		p.rank = 0
	}
	return p, true
}

// sortedPaths returns the ways to a worker, best first.
func (r *Relay) sortedPaths(e platform.Endpoint) []path {
	list := []path{r.directPath(e)}
	for _, a := range r.agents {
		if p, ok := r.pathThrough(a, e); ok {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, path.compare)
	return list
}

// noteOutcome counts an order and leads a worker that could not be reached over
// the next path.
func (r *Relay) noteOutcome(e platform.Endpoint, used *agentLink, out *outcome) {
	r.cfg.Metrics.count(used, out)
	if out.Failure != noAnswer && out.Failure != notSent {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	next := slices.IndexFunc(r.sortedPaths(e), func(p path) bool { return p.agent == used }) + 1
	before := r.detours[e.ID]
	r.detours[e.ID] = detour{skip: next, until: time.Now().Add(detourTime)}
	if before.skip == next {
		return
	}
	agent := pathDirect
	if used != nil {
		agent = used.peer.Name
	}
	r.cfg.Log.Info().Str("worker", e.ID).Str("path", agent).Stringer("outcome", out.Failure).Str("detail", out.Detail).
		Int("next", next).Msg("worker is called on another path")
}
