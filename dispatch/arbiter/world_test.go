package arbiter

import (
	"fmt"
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
	worldTeams      = 2
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
	choose    chooser
	slots     int // of each endpoint
	limit     int // units of each team for each term
	mutations mutations
	now       time.Time
	term      uint64
	doc       api.Document
	reg       *endpoint.Registry
	arb       *Arbiter
	limiter   *counter
	procs     []*process
	entries   []*entry
	open      map[askKey]dispatch.GrantID // asks that have not ended; zero id while they wait
	nextID    int
	stopped   bool     // the arbiter's process is stopped
	buffer    []func() // what reaches it meanwhile
	breach    string
	granted   int
	refused   int
}

func newWorld(choose chooser, mut mutations) *world {
	w := &world{
		choose:    choose,
		slots:     1 + choose.n(3),
		limit:     1 + choose.n(3),
		mutations: mut,
		now:       epoch,
		reg:       endpoint.NewRegistry(endpoint.Options{}),
		open:      make(map[askKey]dispatch.GrantID),
	}
	w.doc = w.document()
	for i := range 2 + choose.n(4) {
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

func (w *world) document() api.Document {
	doc := testDocument(w.slots, api.Team{Name: "t0", Share: 1}, api.Team{Name: "t1", Share: 3})
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
	w.limiter = &counter{limit: w.limit, used: make(map[string]int), breach: func(s string) { w.fail("%s", s) }}
	w.arb = newArbiter(w.now, opts, w.mutations, NewConfig(w.doc), w.reg, w.limiter)
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
		if !w.stopped {
			w.handle(w.arb.Tick(w.now))
		}
		w.check()
	}
}

// send passes a message to the arbiter's process.
func (w *world) send(message func()) {
	if w.stopped {
		w.buffer = append(w.buffer, message)
		return
	}
	message()
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
	a := announce(fmt.Sprint(p.incarnation), w.slots)
	a.State = p.state
	a.Running = len(p.running)
	w.send(func() {
		if _, err := w.reg.Announce(w.now, p.id, a); err != nil {
			w.fail("announcement: %v", err)
		}
		p.told = a.State
	})
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
		if len(p.running) > w.slots {
			w.fail("%d requests run on %s with %d slots", len(p.running), p.id, w.slots)
		}
		for job := range p.running {
			if job.grant.Team != "" {
				units[unit{job.grant.ID.Term, job.grant.Team}]++
			}
		}
	}
	for u, n := range units {
		if n > w.limit {
			w.fail("%d requests of %s granted in term %d run, limit %d", n, u.team, u.term, w.limit)
		}
	}
}
