package relay

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"magnoliastand.example/clock"
	"magnoliastand.example/platform"
)

const (
	// probeInterval is the time between two probes of an agent.
	probeInterval = 500 * time.Millisecond
	// probeTimeout is the time limit of a probe. It covers several round trips
	// between zones and a daemon pause of 100 ms.
	probeTimeout = 300 * time.Millisecond
	// probeValidity is how long an agent is usable after a successful probe. It
	// allows for two failed probes.
	probeValidity = 1500 * time.Millisecond
	// suspectDuration is how long an agent receives no orders after it failed to
	// return the outcome of one.
	suspectDuration = 2 * time.Second
	// rerouteDuration is how long a worker is called on another path after an
	// order was not sent or got no answer on the preferred one.
	rerouteDuration = 5 * time.Second
)

// agentLink is the state that a Relay keeps for one agent.
type agentLink struct {
	peer  Peer
	batch *batcher[*order]
	// lastProbe is the time of the last successful probe. The agent receives no
	// orders until suspectUntil.
	lastProbe, suspectUntil time.Time
	usable                  bool
}

// reroute makes orders to a worker skip the first paths in order of preference.
type reroute struct {
	skip  int
	until time.Time
}

// Run updates the list of agents and probes them until ctx is done.
func (r *Relay) Run(ctx context.Context) {
	r.mu.Lock()
	clear(r.agents) // discard stale state from an earlier term as leader
	r.mu.Unlock()
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		r.updateAgents()
		r.probe(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// updateAgents adds and removes agents according to the list of peers, and
// deletes expired reroutes.
func (r *Relay) updateAgents() {
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
	now := clock.Now()
	for id, d := range r.reroutes {
		if now.After(d.until) {
			delete(r.reroutes, id)
		}
	}
}

func (r *Relay) newAgentLink(p Peer) *agentLink {
	return &agentLink{peer: p, batch: newBatcher(func(items []*order) {
		r.cfg.Link.Notify(p.Name, methodOrders, orderBatch{SentAt: clock.Boot(), Orders: items})
	})}
}

// probe probes all agents concurrently.
func (r *Relay) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, a := range r.agentList() {
		wg.Go(func() {
			err := r.cfg.Link.Call(ctx, a.peer.Name, methodProbe, probeRequest{SentAt: clock.Boot()}, nil)
			r.recordProbe(a, err)
		})
	}
	wg.Wait()
}

func (r *Relay) agentList() []*agentLink {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]*agentLink, 0, len(r.agents))
	for _, a := range r.agents {
		out = append(out, a)
	}
	return out
}

// recordProbe records the result of a probe and updates whether the agent is
// usable.
func (r *Relay) recordProbe(a *agentLink, err error) {
	now := clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		a.lastProbe = now
	}
	r.setUsable(a, now.Sub(a.lastProbe) < probeValidity && now.After(a.suspectUntil), err)
}

func (r *Relay) setUsable(a *agentLink, usable bool, err error) {
	if a.usable == usable {
		return
	}
	a.usable = usable
	r.cfg.Log.Info().Err(err).Str("agent", a.peer.Name).Bool("usable", usable).Msg("agent for orders changed")
}

// markSuspect makes an agent unusable for suspectDuration because it did not
// return the outcome of an order.
func (r *Relay) markSuspect(a *agentLink) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.suspectUntil = clock.Now().Add(suspectDuration)
	r.setUsable(a, false, ErrNoAnswer)
}

// path is a way to call a worker: through agent, or directly if agent is nil.
// Paths with a lower rank are preferred.
type path struct {
	agent *agentLink
	rank  int
	hash  uint64
}

func (p path) compare(o path) int {
	return cmp.Or(cmp.Compare(p.rank, o.rank), cmp.Compare(p.hash, o.hash))
}

// route returns the agent for a worker, or nil for a direct call. It prefers
// agents in the worker's zone, then this daemon if it is in that zone, then agents
// in other zones, and last a direct call from another zone.
func (r *Relay) route(e platform.Endpoint) *agentLink {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d, ok := r.reroutes[e.ID]; ok && clock.Now().Before(d.until) {
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

// pathThrough returns the path through an agent, and false if the agent is not
// usable. Paths of equal rank are ordered by a hash of agent and worker, so that
// calls to a worker reuse the same agent's connections.
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

// sortedPaths returns the usable paths to a worker, best first.
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

// recordOutcome counts an order. If the order was not sent or got no answer, it
// reroutes the worker to the next path.
func (r *Relay) recordOutcome(e platform.Endpoint, used *agentLink, out *outcome) {
	r.cfg.Metrics.count(used, out)
	if out.Failure != noAnswer && out.Failure != notSent {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	next := slices.IndexFunc(r.sortedPaths(e), func(p path) bool { return p.agent == used }) + 1
	before := r.reroutes[e.ID]
	r.reroutes[e.ID] = reroute{skip: next, until: clock.Now().Add(rerouteDuration)}
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
