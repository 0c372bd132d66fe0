package arbiter

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"magnoliastand.example/api"
	"magnoliastand.example/dispatch"
	"magnoliastand.example/dispatch/endpoint"
)

// chooser makes the random choices of a run: n returns a value in [0, k).
type chooser interface{ n(k int) int }

// Sizes and times of the simulated zone.
const (
	worldEndpoints  = 3
	worldSlots      = 2
	worldTeams      = 2
	worldLimit      = 3 // units of each team for each term
	worldLongestRun = 3 * time.Second
	worldRenewal    = time.Second
	worldStep       = 50 * time.Millisecond
)

// process is one endpoint process with what really runs in it.
type process struct {
	id          string
	incarnation int
	alive       bool
	silent      bool // cut off: runs on, but its announcements are lost
	state       api.EndpointState
	running     map[*work]struct{}
	announceAt  time.Time
	told        api.EndpointState // latest state that the zone was told
}

// work is a request that an endpoint process really runs.
type work struct {
	grant  dispatch.Grant
	endsAt time.Time
}

// holding is a grant at its origin.
type holding struct {
	grant     dispatch.Grant
	startBy   time.Time
	startedAt time.Time
	proc      *process
	work      *work
}

// entry is an origin with its asks, grants and the messages on their way to it.
type entry struct {
	id       dispatch.DaemonID
	alive    bool
	term     uint64 // latest term that it declared to
	asks     map[string]dispatch.Ask
	held     []*holding
	unknown  []*holding // released with an unknown outcome, may be running
	used     map[dispatch.GrantID]bool
	inbox    []delivery
	declares time.Time
}

type delivery struct {
	grant dispatch.Grant
	at    time.Time
}

// world drives an arbiter, its successors, origins and endpoint processes, and
// knows what really runs. It records the first breach.
type world struct {
	choose  chooser
	off     protections
	now     time.Time
	term    uint64
	doc     api.Document
	reg     *endpoint.Registry
	arb     *Arbiter
	procs   []*process
	entries []*entry
	open    map[askKey]dispatch.GrantID // asks that have not ended; zero id while they wait
	nextID  int
	breach  string
	granted int
	refused int
}

func newWorld(choose chooser, off protections) *world {
	w := &world{
		choose: choose,
		off:    off,
		now:    epoch,
		reg:    endpoint.NewRegistry(endpoint.Options{}),
		open:   make(map[askKey]dispatch.GrantID),
	}
	w.doc = worldDocument()
	for i := range worldEndpoints {
		p := &process{id: fmt.Sprint("e", i), alive: true, state: api.EndpointReady}
		p.running = make(map[*work]struct{})
		w.procs = append(w.procs, p)
	}
	for range 2 {
		w.addEntry()
	}
	w.start(Recovery{Complete: true})
	w.pass(worldRenewal)
	return w
}

func worldDocument() api.Document {
	doc := testDocument(worldSlots, api.Team{Name: "t0", Share: 1}, api.Team{Name: "t1", Share: 3})
	doc.Services[0].LongestRun = api.Duration(worldLongestRun)
	return doc
}

func (w *world) fail(format string, args ...any) {
	if w.breach == "" {
		w.breach = fmt.Sprintf("%s: %s", w.now.Sub(epoch), fmt.Sprintf(format, args...))
	}
}

func (w *world) addEntry() {
	w.nextID++
	w.entries = append(w.entries, &entry{
		id:    dispatch.DaemonID{Name: "entry", Incarnation: fmt.Sprint(w.nextID)},
		alive: true,
		term:  w.term,
		asks:  make(map[string]dispatch.Ask),
		used:  make(map[dispatch.GrantID]bool),
	})
}

func (w *world) start(rec Recovery) {
	w.term++
	opts := Options{Zone: "oita", Term: w.term, Recovery: rec}
	limiter := &counter{used: make(map[string]int), breach: func(s string) { w.fail("%s", s) }}
	w.arb = newArbiter(w.now, opts, w.off, NewConfig(w.doc), w.reg, limiter)
}

// pass lets time pass in small steps.
func (w *world) pass(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(worldStep)
		for _, p := range w.procs {
			w.runProcess(p)
		}
		for _, e := range w.entries {
			if e.alive {
				w.runEntry(e)
			}
		}
		w.handle(w.arb.Tick(w.now))
		w.check()
	}
}

func (w *world) runProcess(p *process) {
	if !p.alive {
		return
	}
	for job := range p.running {
		if !job.endsAt.After(w.now) {
			delete(p.running, job)
		}
	}
	if p.silent || w.now.Before(p.announceAt) {
		return
	}
	p.announceAt = w.now.Add(worldRenewal)
	a := announce(fmt.Sprint(p.incarnation), worldSlots)
	a.State = p.state
	a.Running = len(p.running)
	if _, err := w.reg.Announce(w.now, p.id, a); err != nil {
		w.fail("announcement: %v", err)
	}
	p.told = p.state
}

// runEntry does what an origin owes: it declares, takes grants, starts in
// time, and releases what has ended.
func (w *world) runEntry(e *entry) {
	if e.term < w.term && !w.now.Before(e.declares) {
		w.declare(e)
	}
	due := slices.Clone(e.inbox)
	e.inbox = slices.DeleteFunc(e.inbox, func(d delivery) bool { return !d.at.After(w.now) })
	for _, d := range due {
		if !d.at.After(w.now) {
			w.receive(e, d.grant)
		}
	}
	for _, h := range slices.Clone(e.held) {
		w.runHolding(e, h)
	}
}

// declaration lists what the origin holds or gave up without an answer.
func (e *entry) declaration(now time.Time) dispatch.Declaration {
	d := dispatch.Declaration{Origin: e.id}
	for _, h := range append(slices.Clone(e.held), e.unknown...) {
		held := dispatch.HeldGrant{Grant: h.grant, Started: h.work != nil}
		if held.Started {
			held.Running = now.Sub(h.startedAt)
		}
		d.Held = append(d.Held, held)
	}
	return d
}

func (w *world) declare(e *entry) {
	d := e.declaration(w.now)
	e.term = w.term
	for key := range w.open {
		// What the origin no longer wants ended with the earlier arbiter.
		if _, ok := e.asks[key.requestID]; !ok && key.origin == e.id {
			delete(w.open, key)
		}
	}
	w.handle(w.arb.Declare(w.now, d))
	for _, id := range slices.Sorted(maps.Keys(e.asks)) {
		w.ask(e, e.asks[id])
	}
}

func (w *world) receive(e *entry, g dispatch.Grant) {
	if g.ID.Term < e.term || e.used[g.ID] {
		return
	}
	e.used[g.ID] = true
	if _, ok := e.asks[g.RequestID]; !ok {
		w.release(e, g, dispatch.OutcomeUnused, 0)
		return
	}
	delete(e.asks, g.RequestID)
	e.held = append(e.held, &holding{grant: g, startBy: w.now.Add(g.StartWithin)})
}

func (w *world) runHolding(e *entry, h *holding) {
	switch {
	case h.work == nil && w.now.After(h.startBy):
		w.drop(e, h, dispatch.OutcomeUnused)
	case h.work == nil && w.choose.n(2) == 0:
		w.begin(e, h)
	case h.work != nil && !w.runs(h):
		w.end(e, h)
	}
}

func (w *world) runs(h *holding) bool {
	_, ok := h.proc.running[h.work]
	return ok
}

// begin sends the request to whatever process listens at the endpoint now.
func (w *world) begin(e *entry, h *holding) {
	i := slices.IndexFunc(w.procs, func(p *process) bool { return p.id == h.grant.Endpoint })
	p := w.procs[i]
	if !p.alive {
		w.drop(e, h, dispatch.OutcomeUnused)
		return
	}
	h.proc = p
	h.startedAt = w.now
	run := time.Duration(1+w.choose.n(int(worldLongestRun/worldStep))) * worldStep
	if w.choose.n(3) > 0 {
		run = worldStep
	}
	h.work = &work{grant: h.grant, endsAt: w.now.Add(run)}
	p.running[h.work] = struct{}{}
}

// end releases a grant whose work is not running any more.
func (w *world) end(e *entry, h *holding) {
	outcome := dispatch.OutcomeAnswered
	if w.now.Before(h.work.endsAt) {
		outcome = dispatch.OutcomeUnknown
	}
	w.drop(e, h, outcome)
}

func (w *world) drop(e *entry, h *holding, outcome dispatch.Outcome) {
	e.held = slices.DeleteFunc(e.held, func(other *holding) bool { return other == h })
	elapsed := time.Duration(0)
	if h.work != nil {
		elapsed = w.now.Sub(h.startedAt)
	}
	if outcome == dispatch.OutcomeUnknown {
		e.unknown = append(e.unknown, h)
	}
	w.release(e, h.grant, outcome, elapsed)
}

func (w *world) release(e *entry, g dispatch.Grant, outcome dispatch.Outcome, elapsed time.Duration) {
	lost := w.choose.n(20) == 0
	if e.alive && e.term == w.term && !lost {
		w.handle(w.arb.Release(w.now, dispatch.Release{Grant: g.ID, Outcome: outcome, Elapsed: elapsed}))
	}
}

func (w *world) ask(e *entry, ask dispatch.Ask) {
	key := askKey{ask.RequestID, e.id}
	e.asks[ask.RequestID] = ask
	w.open[key] = dispatch.GrantID{}
	w.handle(w.arb.Ask(w.now, ask))
}

// handle delivers events and checks that each ask ends once.
func (w *world) handle(events []Event) {
	for _, ev := range events {
		switch ev := ev.(type) {
		case Granted:
			w.handleGranted(ev)
		case Refused:
			w.handleRefused(ev)
		}
	}
}

func (w *world) handleRefused(ev Refused) {
	w.refused++
	e := w.find(ev.Origin)
	if e == nil {
		return // the arbiter was not told that the origin is lost
	}
	key := askKey{ev.RequestID, ev.Origin}
	if id, ok := w.open[key]; !ok || id != (dispatch.GrantID{}) {
		w.fail("refusal of %s, which does not wait", ev.RequestID)
	}
	delete(w.open, key)
	delete(e.asks, ev.RequestID)
}

func (w *world) handleGranted(ev Granted) {
	w.granted++
	if p := w.procs[slices.IndexFunc(w.procs, func(p *process) bool { return p.id == ev.Grant.Endpoint })]; p.told == api.EndpointLeaving {
		w.fail("grant on %s, which is leaving", p.id)
	}
	e := w.find(ev.Origin)
	if e == nil {
		return
	}
	key := askKey{ev.Grant.RequestID, ev.Origin}
	if id, ok := w.open[key]; !ok || id != (dispatch.GrantID{}) {
		w.fail("grant for %s, which does not wait", ev.Grant.RequestID)
	}
	w.open[key] = ev.Grant.ID
	if w.choose.n(10) == 0 {
		return // lost on its way
	}
	delay := time.Duration(w.choose.n(3)) * worldStep
	e.inbox = append(e.inbox, delivery{ev.Grant, w.now.Add(delay)})
}

func (w *world) find(id dispatch.DaemonID) *entry {
	for _, e := range w.entries {
		if e.id == id && e.alive {
			return e
		}
	}
	return nil
}

// check compares what really runs with the bounds.
func (w *world) check() {
	type unit struct {
		term uint64
		team string
	}
	units := make(map[unit]int)
	for _, p := range w.procs {
		if len(p.running) > worldSlots {
			w.fail("%d requests run on %s with %d slots", len(p.running), p.id, worldSlots)
		}
		for job := range p.running {
			if job.grant.Team != "" {
				units[unit{job.grant.ID.Term, job.grant.Team}]++
			}
		}
	}
	for u, n := range units {
		if n > worldLimit {
			w.fail("%d requests of %s granted in term %d run, limit %d", n, u.team, u.term, worldLimit)
		}
	}
}
