package arbiter

import (
	"fmt"
	"slices"
	"time"

	"magnoliastand.example/api"
	"magnoliastand.example/dispatch"
	"magnoliastand.example/dispatch/endpoint"
)

// randomSource makes the random choices of a run: intN returns a value in [0, k).
type randomSource interface{ intN(k int) int }

// Parameters of the simulated zone.
const (
	simTeams            = 2
	simLongestRun       = 3 * time.Second
	simAnnounceInterval = time.Second
	simStep             = 50 * time.Millisecond
)

// process is an endpoint process with its running requests.
type process struct {
	id            string
	incarnation   int
	alive         bool
	partitioned   bool // keeps running, but its announcements are lost
	state         api.EndpointState
	running       map[*runningRequest]struct{}
	announceAt    time.Time
	reportedState api.EndpointState // latest announced state received by the zone
}

// runningRequest is a request running in an endpoint process.
type runningRequest struct {
	grant  dispatch.Grant
	endsAt time.Time
}

// heldGrant is a grant held by its origin.
type heldGrant struct {
	grant     dispatch.Grant
	startBy   time.Time
	startedAt time.Time
	process   *process
	request   *runningRequest
}

// simOrigin is an origin with its asks, its grants and the messages in transit to
// it.
type simOrigin struct {
	id        dispatch.DaemonID
	alive     bool
	term      uint64 // latest term that it declared to
	asks      map[string]dispatch.Ask
	held      []*heldGrant
	unknown   []*heldGrant // released with an unknown outcome, may be running
	used      map[dispatch.GrantID]bool
	inbox     []delivery
	declareAt time.Time
}

type delivery struct {
	grant dispatch.Grant
	at    time.Time
}

// simulation drives an arbiter, its successors, origins and endpoint processes,
// and tracks the requests that are really running. It records the first breach.
type simulation struct {
	random    randomSource
	slots     int // per endpoint
	limit     int // units per team and term
	mutations mutations
	now       time.Time
	term      uint64
	doc       api.Document
	reg       *endpoint.Registry
	arb       *Arbiter
	limiter   *countingLimiter
	processes []*process
	origins   []*simOrigin
	pending   map[askKey]dispatch.GrantID // asks that have not ended, with a zero id while waiting
	nextID    int
	suspended bool     // the arbiter's process is suspended
	buffer    []func() // messages that arrive during the suspension
	evacuated bool     // the arbiter's zone is evacuated
	breach    string
	granted   int
	refused   int
}

func newSimulation(random randomSource, mut mutations) *simulation {
	sim := &simulation{
		random:    random,
		slots:     1 + random.intN(3),
		limit:     1 + random.intN(3),
		mutations: mut,
		now:       epoch,
		reg:       endpoint.NewRegistry(endpoint.Options{}),
		pending:   make(map[askKey]dispatch.GrantID),
	}
	sim.doc = sim.document()
	for i := range 2 + random.intN(4) {
		p := &process{id: fmt.Sprint("e", i), alive: true, state: api.EndpointReady}
		p.running = make(map[*runningRequest]struct{})
		sim.processes = append(sim.processes, p)
	}
	for range 2 {
		sim.addOrigin()
	}
	sim.start(Recovery{OriginsComplete: true})
	sim.advance(simAnnounceInterval)
	return sim
}

func (sim *simulation) document() api.Document {
	doc := testDocument(sim.slots, api.Team{Name: "t0", Share: 1}, api.Team{Name: "t1", Share: 3})
	doc.Services[0].LongestRun = api.Duration(simLongestRun)
	return doc
}

func (sim *simulation) recordBreach(format string, args ...any) {
	if sim.breach == "" {
		sim.breach = fmt.Sprintf("%s: %s", sim.now.Sub(epoch), fmt.Sprintf(format, args...))
	}
}

func (sim *simulation) addOrigin() {
	sim.nextID++
	sim.origins = append(sim.origins, &simOrigin{
		id:    dispatch.DaemonID{Name: "entry", Incarnation: fmt.Sprint(sim.nextID)},
		alive: true,
		term:  sim.term,
		asks:  make(map[string]dispatch.Ask),
		used:  make(map[dispatch.GrantID]bool),
	})
}

func (sim *simulation) start(rec Recovery) {
	sim.term++
	opts := Options{Zone: "oita", Term: sim.term, Recovery: rec, Evacuated: sim.evacuated}
	sim.limiter = &countingLimiter{limit: sim.limit, used: make(map[string]int), breach: func(s string) { sim.recordBreach("%s", s) }}
	sim.arb = newArbiter(sim.now, opts, sim.mutations, NewConfig(sim.doc), sim.reg, sim.limiter)
}

// advance advances the time by d in steps of simStep.
func (sim *simulation) advance(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.now = sim.now.Add(simStep)
		for _, p := range sim.processes {
			sim.runProcess(p)
		}
		for _, origin := range sim.origins {
			if origin.alive {
				sim.runOrigin(origin)
			}
		}
		if !sim.suspended {
			sim.handleEvents(sim.arb.Tick(sim.now))
		}
		sim.check()
	}
}

// sendToArbiter delivers a message to the arbiter's process, or buffers it while
// the process is suspended.
func (sim *simulation) sendToArbiter(message func()) {
	if sim.suspended {
		sim.buffer = append(sim.buffer, message)
		return
	}
	message()
}

func (sim *simulation) runProcess(p *process) {
	if !p.alive {
		return
	}
	for job := range p.running {
		if !job.endsAt.After(sim.now) {
			delete(p.running, job)
		}
	}
	if p.partitioned || sim.now.Before(p.announceAt) {
		return
	}
	p.announceAt = sim.now.Add(simAnnounceInterval)
	a := announce(fmt.Sprint(p.incarnation), sim.slots)
	a.State = p.state
	a.Running = len(p.running)
	sim.sendToArbiter(func() {
		if _, err := sim.reg.Announce(sim.now, p.id, a); err != nil {
			sim.recordBreach("announcement: %v", err)
		}
		p.reportedState = a.State
	})
}

// handleEvents delivers events to origins and checks that each ask ends once.
func (sim *simulation) handleEvents(events []Event) {
	for _, ev := range events {
		switch ev := ev.(type) {
		case Granted:
			if sim.evacuated {
				sim.recordBreach("%s was granted a slot in the evacuated zone", ev.Grant.RequestID)
			}
			sim.handleGranted(ev)
		case Refused:
			sim.handleRefused(ev)
		}
	}
}

func (sim *simulation) handleRefused(ev Refused) {
	sim.refused++
	origin := sim.find(ev.Origin)
	if origin == nil {
		return // the arbiter was not notified of the lost origin
	}
	key := askKey{ev.RequestID, ev.Origin}
	if id, ok := sim.pending[key]; !ok || id != (dispatch.GrantID{}) {
		sim.recordBreach("refusal of %s, which is not waiting", ev.RequestID)
	}
	delete(sim.pending, key)
	delete(origin.asks, ev.RequestID)
}

func (sim *simulation) handleGranted(ev Granted) {
	sim.granted++
	if p := sim.processes[slices.IndexFunc(sim.processes, func(p *process) bool { return p.id == ev.Grant.Endpoint })]; p.reportedState == api.EndpointLeaving {
		sim.recordBreach("grant on %s, which is leaving", p.id)
	}
	origin := sim.find(ev.Origin)
	if origin == nil {
		return
	}
	key := askKey{ev.Grant.RequestID, ev.Origin}
	if id, ok := sim.pending[key]; !ok || id != (dispatch.GrantID{}) {
		sim.recordBreach("grant for %s, which is not waiting", ev.Grant.RequestID)
	}
	sim.pending[key] = ev.Grant.ID
	if sim.random.intN(10) == 0 {
		return // the message is lost
	}
	delay := time.Duration(sim.random.intN(3)) * simStep
	origin.inbox = append(origin.inbox, delivery{ev.Grant, sim.now.Add(delay)})
}

func (sim *simulation) find(id dispatch.DaemonID) *simOrigin {
	for _, origin := range sim.origins {
		if origin.id == id && origin.alive {
			return origin
		}
	}
	return nil
}

// check verifies that the running requests are within the slot and team limits.
func (sim *simulation) check() {
	type unit struct {
		term uint64
		team string
	}
	units := make(map[unit]int)
	for _, p := range sim.processes {
		if len(p.running) > sim.slots {
			sim.recordBreach("%d requests running on %s with %d slots", len(p.running), p.id, sim.slots)
		}
		for job := range p.running {
			if job.grant.Team != "" {
				units[unit{job.grant.ID.Term, job.grant.Team}]++
			}
		}
	}
	for u, n := range units {
		if n > sim.limit {
			sim.recordBreach("%d requests of %s granted in term %d are running, limit %d", n, u.team, u.term, sim.limit)
		}
	}
}
