package arbiter

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"magnoliastand.example/api"
	"magnoliastand.example/dispatch"
	"magnoliastand.example/dispatch/endpoint"
	"magnoliastand.example/invariant"
)

// The random tests use a fixed seed unless the flag is given.
var _ = flag.Set("rapid.seed", "1")

// rapidSource draws from rapid, which shrinks failing runs.
type rapidSource struct{ t *rapid.T }

func (d rapidSource) intN(k int) int { return rapid.IntRange(0, k-1).Draw(d.t, "n") }

// seededSource draws from a seeded generator.
type seededSource struct{ rnd *rand.Rand }

func (s seededSource) intN(k int) int { return s.rnd.IntN(k) }

// countingLimiter is a Limiter with the same limit for each team.
type countingLimiter struct {
	limit  int
	used   map[string]int
	breach func(string)
}

func (c *countingLimiter) Acquire(team string) bool {
	if c.used[team] >= c.limit {
		return false
	}
	c.used[team]++
	return true
}

func (c *countingLimiter) Adopt(team string, units int64) { c.used[team] += int(units) }

func (c *countingLimiter) Release(team string) {
	c.used[team]--
	if c.used[team] < 0 {
		c.breach("unit released twice")
	}
}

// randomAction performs one random action.
func (sim *simulation) randomAction() {
	alive := slices.DeleteFunc(slices.Clone(sim.origins), func(origin *simOrigin) bool { return !origin.alive })
	origin := alive[sim.random.intN(len(alive))]
	p := sim.processes[sim.random.intN(len(sim.processes))]
	switch sim.random.intN(22) {
	case 0, 1, 2, 3, 4, 5:
		sim.newAsk(origin)
	case 6:
		sim.repeatAsk(origin)
	case 7:
		sim.cancel(origin)
	case 8:
		sim.toggleProcess(p)
	case 9:
		p.partitioned = !p.partitioned
	case 10:
		sim.setLeaving(p)
	case 11:
		sim.abandonRequest(origin)
	case 12:
		sim.loseOrigin(origin)
	case 13:
		if sim.random.intN(6) == 0 {
			sim.startSuccessor()
		}
	case 14:
		sim.reconnect(origin)
	case 15:
		if sim.random.intN(3) == 0 {
			sim.suspend()
		}
	case 16:
		if sim.random.intN(3) == 0 {
			sim.reconfigure()
		}
	case 17:
		if sim.random.intN(2) == 0 {
			sim.evacuated = !sim.evacuated
			sim.handleEvents(sim.arb.SetEvacuated(sim.now, sim.evacuated))
		}
	default:
		steps := []int{1, 1, 1, 2, 2, 4, 4, 20, 80}
		sim.advance(time.Duration(steps[sim.random.intN(len(steps))]) * simStep)
	}
}

func (sim *simulation) newAsk(origin *simOrigin) {
	if !origin.alive || origin.term != sim.term {
		return
	}
	sim.nextID++
	ask := dispatch.Ask{
		RequestID: fmt.Sprint("r", sim.nextID),
		Origin:    origin.id,
		Queue:     []string{"quote", "reconcile", "open"}[sim.random.intN(3)],
		Patience:  time.Duration(1+sim.random.intN(50)) * 100 * time.Millisecond,
	}
	if ask.Queue != "open" {
		ask.Team = fmt.Sprint("t", sim.random.intN(simTeams))
	}
	if sim.random.intN(4) == 0 {
		ask.Exclude = []string{"e0"}
	}
	sim.ask(origin, ask)
}

func (sim *simulation) anyAsk(origin *simOrigin) (dispatch.Ask, bool) {
	ids := slices.Sorted(maps.Keys(origin.asks))
	if len(ids) == 0 || !origin.alive || origin.term != sim.term {
		return dispatch.Ask{}, false
	}
	return origin.asks[ids[sim.random.intN(len(ids))]], true
}

func (sim *simulation) repeatAsk(origin *simOrigin) {
	if ask, ok := sim.anyAsk(origin); ok {
		sim.ask(origin, ask)
	}
}

func (sim *simulation) cancel(origin *simOrigin) {
	ask, ok := sim.anyAsk(origin)
	if !ok {
		return
	}
	delete(origin.asks, ask.RequestID)
	delete(sim.pending, askKey{ask.RequestID, origin.id})
	sim.handleEvents(sim.arb.Cancel(sim.now, ask.RequestID, origin.id))
}

// toggleProcess ends an endpoint process with all its requests, or starts a new
// one in its place.
func (sim *simulation) toggleProcess(p *process) {
	p.alive = !p.alive
	clear(p.running)
	if p.alive {
		p.incarnation++
		p.partitioned = false
		p.state = api.EndpointReady
		p.announceAt = sim.now.Add(time.Duration(sim.random.intN(20)) * simStep)
	}
}

func (sim *simulation) setLeaving(p *process) {
	p.state = api.EndpointLeaving
	if sim.random.intN(2) == 0 {
		p.state = api.EndpointReady
	}
	p.announceAt = sim.now
}

// abandonRequest makes an origin time out on a request that keeps running.
func (sim *simulation) abandonRequest(origin *simOrigin) {
	for _, h := range origin.held {
		if h.request != nil {
			sim.releaseHeld(origin, h, dispatch.OutcomeUnknown)
			return
		}
	}
}

// loseOrigin ends an origin and may notify the arbiter.
func (sim *simulation) loseOrigin(origin *simOrigin) {
	if !origin.alive || sim.random.intN(3) > 0 {
		return
	}
	origin.alive = false
	for key := range sim.pending {
		if key.origin == origin.id {
			delete(sim.pending, key)
		}
	}
	if sim.random.intN(2) == 0 {
		sim.handleEvents(sim.arb.OriginLost(sim.now, origin.id))
	}
	sim.addOrigin()
}

// reconnect drops an origin's link with the messages in transit and
// re-establishes it.
func (sim *simulation) reconnect(origin *simOrigin) {
	if origin.term != sim.term {
		return
	}
	origin.inbox = nil
	sim.handleEvents(sim.arb.OriginReconnected(sim.now, origin.declaration(sim.now)))
	sim.askAll(origin)
}

// suspend suspends the arbiter's process. Its outgoing messages are delayed, and
// incoming messages are buffered until it resumes.
func (sim *simulation) suspend() {
	d := time.Duration(2+sim.random.intN(80)) * simStep
	for _, origin := range sim.origins {
		for i := range origin.inbox {
			origin.inbox[i].at = origin.inbox[i].at.Add(d)
		}
	}
	sim.suspended = true
	sim.advance(d)
	sim.suspended = false
	buffered := sim.buffer
	sim.buffer = nil
	for _, message := range buffered {
		message()
	}
	sim.handleEvents(sim.arb.Tick(sim.now))
}

// reconfigure applies one of several documents.
func (sim *simulation) reconfigure() {
	sim.doc = sim.document()
	svc := &sim.doc.Services[0]
	switch sim.random.intN(6) {
	case 4:
		sim.doc.Services = nil
	case 0:
		svc.SlotsPerEndpoint = 1
	case 1:
		sim.doc.Teams = sim.doc.Teams[:1]
	case 2:
		svc.Queues = svc.Queues[:2]
	case 3:
		svc.Queues[1].Class = api.ClassLong
	}
	sim.handleEvents(sim.arb.SetConfig(sim.now, NewConfig(sim.doc)))
}

// startSuccessor replaces the arbiter by one of the next term.
func (sim *simulation) startSuccessor() {
	rec := Recovery{OriginsComplete: sim.random.intN(2) == 0, LongestRun: simLongestRun}
	for _, origin := range sim.origins {
		origin.declareAt = sim.now.Add(time.Duration(sim.random.intN(60)) * simStep)
		if rec.OriginsComplete || origin.alive {
			rec.Origins = append(rec.Origins, origin.id)
		}
	}
	if sim.random.intN(2) == 0 {
		// The successor learns the endpoints from a peer's feed.
		reg := endpoint.NewRegistry(endpoint.Options{})
		if err := reg.Merge(sim.now, "peer", sim.reg.Changes(sim.now, 0)); err != nil {
			sim.recordBreach("merge: %v", err)
		}
		sim.reg = reg
	}
	sim.start(rec)
	for _, origin := range sim.origins {
		if !origin.alive {
			sim.handleEvents(sim.arb.OriginLost(sim.now, origin.id))
		}
	}
}

// run performs the given number of random actions, waits until all asks have
// expired, and returns the first breach.
func run(sim *simulation, steps int) string {
	old := invariant.SetSink(func(b invariant.Breach) { sim.recordBreach("%s: %s", b.Invariant, b.Detail) })
	defer func() { invariant.SetSink(old) }()
	for range steps {
		sim.randomAction()
		sim.check()
		if sim.breach != "" {
			return sim.breach
		}
	}
	for _, p := range sim.processes {
		p.alive, p.partitioned, p.state = true, false, api.EndpointReady
	}
	sim.doc = sim.document()
	sim.handleEvents(sim.arb.SetConfig(sim.now, NewConfig(sim.doc)))
	sim.evacuated = false
	sim.handleEvents(sim.arb.SetEvacuated(sim.now, false))
	sim.advance(12 * time.Second)
	for key, id := range sim.pending {
		if id == (dispatch.GrantID{}) {
			sim.recordBreach("ask %s has not ended after the last deadline", key.requestID)
		}
	}
	if st := sim.arb.Stats(); st != (Stats{}) {
		sim.recordBreach("after all requests ended: stats %+v, want zero", st)
	}
	for team, n := range sim.limiter.used {
		if n != 0 {
			sim.recordBreach("after all requests ended: %d units of %s are still acquired", n, team)
		}
	}
	return sim.breach
}

// TestRandomRuns checks the invariants under random schedules of asks,
// cancellations, restarts, partitions, drains, time-outs, lost origins, evacuations and
// successions. The simulation tracks the requests that are really running,
// independently of the arbiter.
func TestRandomRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if breach := run(newSimulation(rapidSource{t}, mutations{}), 60); breach != "" {
			t.Fatal(breach)
		}
	})
}

func TestLongRandomRuns(t *testing.T) {
	granted, refused, terms := 0, 0, uint64(0)
	for seed := range uint64(300) {
		sim := newSimulation(seededSource{rand.New(rand.NewPCG(seed, 1))}, mutations{})
		if breach := run(sim, 500); breach != "" {
			t.Errorf("seed %d: %s", seed, breach)
		}
		granted += sim.granted
		refused += sim.refused
		terms += sim.term
	}
	t.Logf("%d grants, %d refusals, %d terms", granted, refused, terms)
}

// TestProtectionsMatter checks that the simulation detects each mutation: with
// the mutation enabled, some seed must breach an invariant.
func TestProtectionsMatter(t *testing.T) {
	cases := []struct {
		name string
		mut  mutations
	}{
		{"the limiter is not consulted", mutations{ignoreLimit: true}},
		{"unknown outcome frees the unit", mutations{freeUnitOnUnknown: true}},
		{"leaving endpoints get work", mutations{leavingGetsWork: true}},
		{"unknown outcome frees the slot", mutations{freeOnUnknown: true}},
		{"lost origin frees its slots", mutations{freeOnOriginLost: true}},
		{"restart frees every slot", mutations{freeOnRestart: true}},
		{"successor assumes free slots", mutations{assumeFree: true}},
		{"suspensions are not detected", mutations{ignoreStalls: true}},
		{"slots are not counted", mutations{ignoreSlots: true}},
		{"evacuations are ignored", mutations{ignoreEvacuation: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(400) {
				sim := newSimulation(seededSource{rand.New(rand.NewPCG(seed, 2))}, c.mut)
				if breach := run(sim, 400); breach != "" {
					t.Logf("seed %d: %s", seed, breach)
					return
				}
			}
			t.Error("no breach was found")
		})
	}
}
