package fairshare

import (
	"container/heap"
	"time"
)

// minWeight replaces weights that are not positive, so that a decision never
// divides by zero.
const minWeight = 1e-6

// Order decides which team starts next on a set of equal slots.
//
// Each team has a virtual time: the slot-seconds it received, divided by its
// weight. What runs counts at its expected cost until Finish replaces the
// expectation by the actual time. The system's virtual time advances by the
// finished slot-seconds divided by the weights of all active teams, which is
// the rate at which an exactly fair system would serve each of them. Next
// returns the waiting team with the least virtual time.
//
// Two bounds keep the past from dominating the present. A team that becomes
// active starts at most Credit slot-seconds behind the system's virtual time,
// so that idle time earns no further credit. A team that received more than
// its share owes at most the cost of its last finished run.
type Order struct {
	credit float64 // slot-seconds
	now    float64 // virtual time of the system, slot-seconds per weight
	active float64 // sum of the weights of active teams
	teams  map[string]*member
	ready  memberHeap
	seq    uint64
}

// member is the state of one team in an Order.
type member struct {
	name    string
	weight  float64
	virtual float64 // finished slot-seconds per weight, bounded
	charge  float64 // expected slot-seconds of what runs
	running int
	waiting bool
	turn    uint64 // breaks ties: the least recently started team goes first
	index   int    // position in the heap, -1 when outside
}

func (m *member) key() float64 { return m.virtual + m.charge/m.weight }

func (m *member) isActive() bool { return m.waiting || m.running > 0 }

// NewOrder returns an empty order. Credit bounds what a team that returns from
// idle may be behind, in slot time; zero gives no credit.
func NewOrder(credit time.Duration) *Order {
	return &Order{
		credit: credit.Seconds(),
		teams:  make(map[string]*member),
	}
}

// Len returns the number of teams known.
func (o *Order) Len() int { return len(o.teams) }

// ActiveWeight returns the sum of the weights of teams that wait or run.
func (o *Order) ActiveWeight() float64 { return o.active }

// SetWeight adds a team or changes its weight. Weights that are not positive
// become a very small positive weight.
func (o *Order) SetWeight(team string, weight float64) {
	if !(weight > minWeight) {
		weight = minWeight
	}
	m, ok := o.teams[team]
	if !ok {
		o.teams[team] = &member{name: team, weight: weight, virtual: o.now, index: -1}
		return
	}
	if m.isActive() {
		o.active += weight - m.weight
	}
	// The lead or debt is kept in slot-seconds.
	m.virtual = o.now + (m.virtual-o.now)*m.weight/weight
	m.weight = weight
	o.fix(m)
}

// Remove forgets a team. The caller removes only teams that neither wait nor run.
func (o *Order) Remove(team string) {
	m, ok := o.teams[team]
	if !ok {
		return
	}
	if m.index >= 0 {
		heap.Remove(&o.ready, m.index)
	}
	if m.isActive() {
		o.active -= m.weight
	}
	delete(o.teams, team)
}

// SetWaiting tells whether the team has work that may start now. Unknown teams
// are ignored.
func (o *Order) SetWaiting(team string, waiting bool) {
	m, ok := o.teams[team]
	if !ok || m.waiting == waiting {
		return
	}
	if !waiting {
		m.waiting = false
		heap.Remove(&o.ready, m.index)
		o.deactivate(m)
		return
	}
	o.activate(m)
	m.waiting = true
	// A team that could not start anything earns no further credit either.
	m.virtual = max(m.virtual, o.now-o.credit/m.weight)
	heap.Push(&o.ready, m)
}

// Next returns the waiting team that goes next. It reports false when no team
// waits.
func (o *Order) Next() (string, bool) {
	if len(o.ready) == 0 {
		return "", false
	}
	return o.ready[0].name, true
}

// Start charges the team for one slot that it occupies for about expected.
func (o *Order) Start(team string, expected time.Duration) {
	m, ok := o.teams[team]
	if !ok {
		return
	}
	o.activate(m)
	m.running++
	m.charge += expected.Seconds()
	o.seq++
	m.turn = o.seq
	o.fix(m)
}

// Finish ends what Start began. Expected is the value given to Start, actual
// the time that the slot was occupied.
func (o *Order) Finish(team string, expected, actual time.Duration) {
	m, ok := o.teams[team]
	if !ok || m.running == 0 {
		return
	}
	m.running--
	m.charge -= expected.Seconds()
	if m.running == 0 {
		m.charge = 0
	}
	cost := max(actual.Seconds(), 0)
	m.virtual += cost / m.weight
	o.now += cost / max(o.active, minWeight)
	m.virtual = min(m.virtual, o.now+cost/m.weight)
	o.fix(m)
	o.deactivate(m)
}

// activate counts the team's weight if it was inactive.
func (o *Order) activate(m *member) {
	if m.isActive() {
		return
	}
	o.active += m.weight
	m.virtual = max(m.virtual, o.now-o.credit/m.weight)
}

// deactivate stops counting the team's weight if it has become inactive.
func (o *Order) deactivate(m *member) {
	if m.isActive() {
		return
	}
	o.active -= m.weight
	if o.active < minWeight {
		o.active = 0
	}
}

func (o *Order) fix(m *member) {
	if m.index >= 0 {
		heap.Fix(&o.ready, m.index)
	}
}

// memberHeap orders waiting teams by virtual time.
type memberHeap []*member

func (h memberHeap) Len() int { return len(h) }

func (h memberHeap) Less(i, j int) bool {
	a, b := h[i].key(), h[j].key()
	if a != b {
		return a < b
	}
	if h[i].turn != h[j].turn {
		return h[i].turn < h[j].turn
	}
	return h[i].name < h[j].name
}

func (h memberHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *memberHeap) Push(x any) {
	m := x.(*member)
	m.index = len(*h)
	*h = append(*h, m)
}

// Pop implements heap.Interface.
func (h *memberHeap) Pop() any {
	old := *h
	m := old[len(old)-1]
	old[len(old)-1] = nil
	m.index = -1
	*h = old[:len(old)-1]
	return m
}
