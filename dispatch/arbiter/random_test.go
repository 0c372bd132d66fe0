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

// The random tests run with a fixed seed, which the flag overrides.
var _ = flag.Set("rapid.seed", "1")

// drawn chooses by rapid, which shrinks a failing run.
type drawn struct{ t *rapid.T }

func (d drawn) n(k int) int { return rapid.IntRange(0, k-1).Draw(d.t, "n") }

// seeded chooses by a seeded generator.
type seeded struct{ rnd *rand.Rand }

func (s seeded) n(k int) int { return s.rnd.IntN(k) }

// counter is a Limiter with the same limit for each team.
type counter struct {
	limit  int
	used   map[string]int
	breach func(string)
}

func (c *counter) Acquire(team string) bool {
	if c.used[team] >= c.limit {
		return false
	}
	c.used[team]++
	return true
}

func (c *counter) Adopt(team string, units int64) { c.used[team] += int(units) }

func (c *counter) Release(team string) {
	c.used[team]--
	if c.used[team] < 0 {
		c.breach("unit returned twice")
	}
}

// act takes one random action.
func (w *world) act() {
	alive := slices.DeleteFunc(slices.Clone(w.entries), func(e *entry) bool { return !e.alive })
	e := alive[w.choose.n(len(alive))]
	p := w.procs[w.choose.n(len(w.procs))]
	switch w.choose.n(21) {
	case 0, 1, 2, 3, 4, 5:
		w.newAsk(e)
	case 6:
		w.repeatAsk(e)
	case 7:
		w.cancel(e)
	case 8:
		w.kill(p)
	case 9:
		p.silent = !p.silent
	case 10:
		w.leave(p)
	case 11:
		w.timeout(e)
	case 12:
		w.loseEntry(e)
	case 13:
		if w.choose.n(6) == 0 {
			w.succeed()
		}
	case 14:
		w.reconnect(e)
	case 15:
		if w.choose.n(3) == 0 {
			w.stop()
		}
	case 16:
		if w.choose.n(3) == 0 {
			w.reconfigure()
		}
	default:
		steps := []int{1, 1, 1, 2, 2, 4, 4, 20, 80}
		w.pass(time.Duration(steps[w.choose.n(len(steps))]) * worldStep)
	}
}

func (w *world) newAsk(e *entry) {
	if !e.alive || e.term != w.term {
		return
	}
	w.nextID++
	ask := dispatch.Ask{
		RequestID: fmt.Sprint("r", w.nextID),
		Origin:    e.id,
		Queue:     []string{"quote", "reconcile", "open"}[w.choose.n(3)],
		Patience:  time.Duration(1+w.choose.n(50)) * 100 * time.Millisecond,
	}
	if ask.Queue != "open" {
		ask.Team = fmt.Sprint("t", w.choose.n(worldTeams))
	}
	if w.choose.n(4) == 0 {
		ask.Exclude = []string{"e0"}
	}
	w.ask(e, ask)
}

func (w *world) anyAsk(e *entry) (dispatch.Ask, bool) {
	ids := slices.Sorted(maps.Keys(e.asks))
	if len(ids) == 0 || !e.alive || e.term != w.term {
		return dispatch.Ask{}, false
	}
	return e.asks[ids[w.choose.n(len(ids))]], true
}

func (w *world) repeatAsk(e *entry) {
	if ask, ok := w.anyAsk(e); ok {
		w.ask(e, ask)
	}
}

func (w *world) cancel(e *entry) {
	ask, ok := w.anyAsk(e)
	if !ok {
		return
	}
	delete(e.asks, ask.RequestID)
	delete(w.open, askKey{ask.RequestID, e.id})
	w.handle(w.arb.Cancel(w.now, ask.RequestID, e.id))
}

// kill ends an endpoint process with all it runs, or starts the next one.
func (w *world) kill(p *process) {
	p.alive = !p.alive
	clear(p.running)
	if p.alive {
		p.incarnation++
		p.silent = false
		p.state = api.EndpointReady
		p.announceAt = w.now.Add(time.Duration(w.choose.n(20)) * worldStep)
	}
}

func (w *world) leave(p *process) {
	p.state = api.EndpointLeaving
	if w.choose.n(2) == 0 {
		p.state = api.EndpointReady
	}
	p.announceAt = w.now
}

// timeout lets an origin give up on a request that goes on running.
func (w *world) timeout(e *entry) {
	for _, h := range e.held {
		if h.work != nil {
			w.drop(e, h, dispatch.OutcomeUnknown)
			return
		}
	}
}

// loseEntry ends an origin. The arbiter may learn of it.
func (w *world) loseEntry(e *entry) {
	if !e.alive || w.choose.n(3) > 0 {
		return
	}
	e.alive = false
	for key := range w.open {
		if key.origin == e.id {
			delete(w.open, key)
		}
	}
	if w.choose.n(2) == 0 {
		w.handle(w.arb.OriginLost(w.now, e.id))
	}
	w.addEntry()
}

// reconnect breaks an origin's link, with what is on its way, and makes it anew.
func (w *world) reconnect(e *entry) {
	if e.term != w.term {
		return
	}
	e.inbox = nil
	w.handle(w.arb.Reconnected(w.now, e.declaration(w.now)))
	w.askAll(e)
}

// stop stops the arbiter's process for a while. What it was sending leaves late,
// and what reaches it waits.
func (w *world) stop() {
	d := time.Duration(2+w.choose.n(80)) * worldStep
	for _, e := range w.entries {
		for i := range e.inbox {
			e.inbox[i].at = e.inbox[i].at.Add(d)
		}
	}
	w.stopped = true
	w.pass(d)
	w.stopped = false
	buffered := w.buffer
	w.buffer = nil
	for _, message := range buffered {
		message()
	}
	w.handle(w.arb.Tick(w.now))
}

// reconfigure puts one of several documents in force.
func (w *world) reconfigure() {
	w.doc = w.document()
	svc := &w.doc.Services[0]
	switch w.choose.n(6) {
	case 4:
		w.doc.Services = nil
	case 0:
		svc.SlotsPerEndpoint = 1
	case 1:
		w.doc.Teams = w.doc.Teams[:1]
	case 2:
		svc.Queues = svc.Queues[:2]
	case 3:
		svc.Queues[1].Class = api.ClassLong
	}
	w.handle(w.arb.SetConfig(w.now, NewConfig(w.doc)))
}

// succeed replaces the arbiter by one of the next term.
func (w *world) succeed() {
	rec := Recovery{Complete: w.choose.n(2) == 0, LongestRun: worldLongestRun}
	for _, e := range w.entries {
		e.declares = w.now.Add(time.Duration(w.choose.n(60)) * worldStep)
		if rec.Complete || e.alive {
			rec.Origins = append(rec.Origins, e.id)
		}
	}
	if w.choose.n(2) == 0 {
		// The successor knows the endpoints from a peer's feed.
		reg := endpoint.NewRegistry(endpoint.Options{})
		if err := reg.Merge(w.now, "peer", w.reg.Changes(w.now, 0)); err != nil {
			w.fail("merge: %v", err)
		}
		w.reg = reg
	}
	w.start(rec)
	for _, e := range w.entries {
		if !e.alive {
			w.handle(w.arb.OriginLost(w.now, e.id))
		}
	}
}

// run takes steps random actions, lets all patience end, and returns the first
// breach.
func run(w *world, steps int) string {
	old := invariant.SetSink(func(b invariant.Breach) { w.fail("%s: %s", b.Invariant, b.Detail) })
	defer func() { invariant.SetSink(old) }()
	for range steps {
		w.act()
		w.check()
		if w.breach != "" {
			return w.breach
		}
	}
	for _, p := range w.procs {
		p.alive, p.silent, p.state = true, false, api.EndpointReady
	}
	w.doc = w.document()
	w.handle(w.arb.SetConfig(w.now, NewConfig(w.doc)))
	w.pass(12 * time.Second)
	for key, id := range w.open {
		if id == (dispatch.GrantID{}) {
			w.fail("ask %s never ended", key.requestID)
		}
	}
	if st := w.arb.Stats(); st != (Stats{}) {
		w.fail("after everything ended: %+v", st)
	}
	for team, n := range w.limiter.used {
		if n != 0 {
			w.fail("after everything ended, %d units of %s are held", n, team)
		}
	}
	return w.breach
}

// TestRandomRuns runs random schedules of asks, cancellations, restarts,
// silences, drains, timeouts, lost origins and successions, with the truth
// about running work beside the arbiter.
func TestRandomRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if breach := run(newWorld(drawn{t}, mutations{}), 60); breach != "" {
			t.Fatal(breach)
		}
	})
}

func TestLongRandomRuns(t *testing.T) {
	granted, refused, terms := 0, 0, uint64(0)
	for seed := range uint64(300) {
		w := newWorld(seeded{rand.New(rand.NewPCG(seed, 1))}, mutations{})
		if breach := run(w, 500); breach != "" {
			t.Errorf("seed %d: %s", seed, breach)
		}
		granted += w.granted
		refused += w.refused
		terms += w.term
	}
	t.Logf("%d grants, %d refusals, %d terms", granted, refused, terms)
}

// TestProtectionsMatter takes out one protection at a time and expects that
// some seed breaches what must hold.
func TestProtectionsMatter(t *testing.T) {
	cases := []struct {
		name string
		mut  mutations
	}{
		{"the limiter is not asked", mutations{ignoreLimit: true}},
		{"unknown outcome frees the unit", mutations{freeUnitOnUnknown: true}},
		{"leaving endpoints get work", mutations{leavingGetsWork: true}},
		{"unknown outcome frees the slot", mutations{freeOnUnknown: true}},
		{"lost origin frees its slots", mutations{freeOnOriginLost: true}},
		{"restart frees every slot", mutations{freeOnRestart: true}},
		{"successor assumes free slots", mutations{assumeFree: true}},
		{"stops are not noticed", mutations{ignoreStalls: true}},
		{"slots are not counted", mutations{ignoreSlots: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(400) {
				w := newWorld(seeded{rand.New(rand.NewPCG(seed, 2))}, c.mut)
				if breach := run(w, 400); breach != "" {
					t.Logf("seed %d: %s", seed, breach)
					return
				}
			}
			t.Error("no breach was found")
		})
	}
}
