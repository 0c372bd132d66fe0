package quota

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// The model simulates a ledger, a balancer, arbiters, origins and running units,
// with crashes, pauses, partitions, lost and repeated messages, delayed commits,
// leader changes, and clocks that drift within the bound. After each step it
// checks that no team has more units running than the ledger counts, and that
// the ledger counts no more than the limit unless the limit was lowered.

const (
	modelZones   = 3
	modelOrigins = 2
	modelTeam    = "team"
)

var modelBounds = Bounds{Lease: 2 * time.Second, StartWithin: time.Second}

// stepKinds is the number of step kinds in model.apply.
const stepKinds = 44

// step is one random action. A, B and C select its targets and parameters.
type step struct {
	Kind    int
	A, B, C int
}

// generateSteps returns the schedule of n steps for a seed.
func generateSteps(seed uint64, n int) []step {
	rng := rand.New(rand.NewPCG(seed, 2))
	steps := make([]step, n)
	for i := range steps {
		steps[i] = step{Kind: rng.IntN(stepKinds), A: rng.IntN(12), B: rng.IntN(12), C: rng.IntN(6)}
	}
	return steps
}

type entry struct {
	timestamp time.Duration
	applied   uint64
	cmd       Command
	zone      string // set for a term assignment
	limit     *int64
	run       time.Duration
}

type arbiter struct {
	*Holder
	term     uint64
	rate     float64
	declared bool
	run      time.Duration
	delayed  []delayedRenewal
}

type delayedRenewal struct {
	renewal Renewal
	sentAt  time.Duration
}

type origin struct {
	rate       float64
	terms      map[string]uint64
	run        time.Duration
	freshUntil time.Duration // real time
}

type unitState int

const (
	inFlight unitState = iota
	received
	running
	ended
)

type unit struct {
	zone       string
	term       uint64 // of the grant
	state      unitState
	origin     int
	alive      bool // the incarnation of its origin is alive
	run        time.Duration
	startUntil time.Duration
	end        time.Duration
	owner      *arbiter
	released   bool
}

type model struct {
	rng                  *rand.Rand
	now                  time.Duration // real time
	index                uint64
	ledger               *Ledger
	balancer             *Balancer
	leaderBase           time.Duration
	leaderSince          time.Duration
	leaderRate           float64
	pending              []entry
	proposed             []Command
	current              map[string]*arbiter
	arbiters             []*arbiter
	partitioned          map[string]bool
	origins              []*origin
	units                []*unit
	originLost           bool
	started              int
	transfers            int
	leaseExpiryDisabled  bool
	originChecksDisabled bool // origins skip the freshness and term checks
}

func newModel(seed uint64) *model {
	m := &model{
		rng:         rand.New(rand.NewPCG(seed, 1)),
		ledger:      NewLedger(modelBounds),
		balancer:    NewBalancer(1),
		current:     make(map[string]*arbiter),
		partitioned: make(map[string]bool),
	}
	m.leaderRate = m.randomClockRate()
	for range modelOrigins {
		m.origins = append(m.origins, &origin{rate: m.randomClockRate(), terms: make(map[string]uint64)})
	}
	limit := int64(4)
	m.propose(entry{limit: &limit, run: 5 * time.Second})
	for z := range modelZones {
		m.propose(entry{zone: zoneName(z)})
	}
	m.commitAll()
	return m
}

func zoneName(z int) string { return fmt.Sprintf("z%d", z%modelZones) }

// randomClockRate returns a clock rate at the lower end, the middle or the upper
// end of the drift bound.
func (m *model) randomClockRate() float64 {
	return 1 + float64(m.rng.IntN(3)-1)/DriftDivisor
}

func (m *model) clusterTime() time.Duration {
	return m.leaderBase + time.Duration(float64(m.now-m.leaderSince)*m.leaderRate)
}

func (m *model) propose(e entry) {
	e.timestamp = m.clusterTime()
	e.applied = m.index
	m.pending = append(m.pending, e)
}

func (m *model) commit() {
	if len(m.pending) == 0 {
		return
	}
	e := m.pending[0]
	m.pending = m.pending[1:]
	m.index++
	m.ledger.Advance(e.timestamp, e.applied)
	switch {
	case e.zone != "":
		m.assignTerm(e.zone)
	case e.limit != nil:
		m.ledger.SetLimits([]TeamLimit{{Team: modelTeam, Limit: *e.limit}})
		m.ledger.SetLongestRun(e.run, m.index)
	default:
		m.ledger.Apply(&e.cmd)
	}
}

func (m *model) commitAll() {
	for len(m.pending) > 0 {
		m.commit()
	}
}

func (m *model) assignTerm(zone string) {
	term := m.ledger.Term(zone) + 1
	m.ledger.SetTerm(zone, term, m.index)
	a := &arbiter{term: term, rate: m.randomClockRate(), run: m.ledger.runTime.current}
	a.Holder = NewHolder(zone, term, modelBounds, func() time.Duration {
		return time.Duration(float64(m.now) * a.rate)
	})
	a.leaseExpiryDisabled = m.leaseExpiryDisabled
	m.current[zone] = a
	m.arbiters = append(m.arbiters, a)
}

// apply performs one step.
func (m *model) apply(s step) {
	zone := zoneName(s.A)
	switch s.Kind {
	case 0, 1:
		m.advance([]time.Duration{time.Millisecond, 300 * time.Millisecond, 990 * time.Millisecond, 1900 * time.Millisecond, 4 * time.Second, 11 * time.Second}[s.B%6])
	case 2, 3:
		m.commitAll()
	case 4:
		m.commit()
	case 5, 6:
		m.plan()
	case 7, 8, 9:
		m.renew(m.pickArbiter(s.A), s.C%3 == 0)
	case 10:
		a := m.pickArbiter(s.A)
		for _, h := range a.delayed {
			a.Renew(&h.renewal, h.sentAt)
		}
	case 11, 12, 13:
		m.acquire(m.pickArbiter(s.A))
	case 14, 15, 16:
		m.deliver(s.B, s.C%modelOrigins)
	case 17, 18, 19:
		m.start(s.B)
	case 20, 21:
		m.finish(s.B)
	case 22:
		if s.B%2 == 0 {
			m.current[zone].End() // stopped; otherwise it continues without knowing of the new term
		}
		m.propose(entry{zone: zone})
	case 23, 24:
		m.collectDeclarations(zone)
	case 25:
		limit := int64(s.B % 6)
		m.propose(entry{limit: &limit, run: time.Duration(2+s.C%3*4) * time.Second})
	case 26:
		m.changeLeader(s.B%2 == 0)
	case 27:
		m.partitioned[zone] = !m.partitioned[zone]
	case 28, 29, 30:
		m.refreshOrigin(m.origins[s.B%modelOrigins])
	case 31:
		m.killOrigin(s.B % modelOrigins)
	case 32:
		if len(m.proposed) > 0 { // propose an earlier command again
			last := m.proposed[max(0, len(m.proposed)-12):]
			m.propose(entry{cmd: last[s.B%len(last)]})
		}
	case 33, 34:
		m.round()
	case 35, 36, 37:
		m.startAllUnits()
	case 38:
		m.delayedAssign(zone)
	case 39, 40:
		m.failover(zone, s.B)
	case 41:
		m.lowerLongestRun()
	case 42, 43:
		m.failoverAfterOriginLoss(zone)
	}
}

// pickArbiter returns an arbiter, mostly a current one. Arbiters of ended terms
// continue until they learn of the new term.
func (m *model) pickArbiter(n int) *arbiter {
	if n%4 == 0 {
		return m.arbiters[n/4%len(m.arbiters)]
	}
	return m.current[zoneName(n)]
}

func (m *model) advance(d time.Duration) {
	m.now += d
	for _, u := range m.units {
		if u.state == running && m.now >= u.end {
			u.state = ended
		}
	}
}

func (m *model) plan() {
	c := m.balancer.Plan(m.ledger, m.clusterTime())
	m.proposeCommand(c)
}

func (m *model) proposeCommand(c Command) {
	m.proposed = append(m.proposed, c)
	m.propose(entry{cmd: c})
}

func (m *model) renew(a *arbiter, delay bool) {
	if m.partitioned[a.zone] {
		return
	}
	d := a.Demand()
	m.balancer.Report(&d)
	r, ok := m.balancer.Renewal(m.ledger, a.zone, a.term, m.index)
	if !ok {
		return
	}
	a.run = m.ledger.runTime.current
	sentAt := a.clock()
	if delay {
		a.delayed = append(a.delayed, delayedRenewal{r, sentAt})
		return
	}
	a.Renew(&r, sentAt)
}

func (m *model) acquire(a *arbiter) {
	a.SetWaiting(modelTeam, int64(m.rng.IntN(4)))
	if a.Acquire(modelTeam) {
		m.units = append(m.units, &unit{zone: a.zone, term: a.term, owner: a, run: a.run, alive: true})
	}
}

// collectDeclarations lets all live origins declare their units to the zone's
// arbiter, which proposes a transfer.
func (m *model) collectDeclarations(zone string) {
	a := m.current[zone]
	if a.declared || len(m.ledger.Transferable(zone)) == 0 {
		return
	}
	a.declared = true
	var count int64
	for _, u := range m.units {
		held := u.state == running || u.state == received
		if held && u.alive && u.zone == zone && u.owner != a && !u.released {
			u.owner = a
			count++
		}
	}
	a.Adopt(modelTeam, count)
	tr := Transfer{Zone: zone, Term: a.term, Team: modelTeam, Running: count, Complete: !m.originLost}
	m.proposeCommand(Command{Transfers: []Transfer{tr}})
	m.transfers++
}

func (m *model) changeLeader(lose bool) {
	if lose {
		m.pending = nil
	}
	m.commitAll()
	m.leaderBase = m.ledger.now
	m.leaderSince = m.now
	m.leaderRate = m.randomClockRate()
	m.balancer = NewBalancer(m.balancer.epoch + 1)
}

func (m *model) refreshOrigin(o *origin) {
	for z := range modelZones {
		o.terms[zoneName(z)] = m.ledger.Term(zoneName(z))
	}
	o.run = m.ledger.runTime.current
	o.freshUntil = m.now + time.Duration(float64(modelBounds.holderLease())/o.rate)
}

func (m *model) killOrigin(n int) {
	m.originLost = true
	for _, u := range m.units {
		if u.origin == n && (u.state == running || u.state == received) {
			u.alive = false
		}
	}
	m.origins[n] = &origin{rate: m.randomClockRate(), terms: make(map[string]uint64)}
}

// check returns an error if more units run than the ledger counts.
func (m *model) check() error {
	var n int64
	for _, u := range m.units {
		if u.state == running {
			n++
		}
	}
	if out := m.ledger.Outstanding(modelTeam); n > out {
		return fmt.Errorf("%d units run at %s, but the ledger counts %d", n, m.now, out)
	}
	return nil
}
