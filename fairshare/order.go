package fairshare

import (
	"container/heap"
	"time"
)

// minWeight replaces weights that are not positive, to avoid division by zero.
const minWeight = 1e-6

// Order decides which team starts the next run on a set of identical slots.
//
// Each team has a virtual time: the slot-seconds it has received, divided by its
// weight. Current runs count at their expected cost until Finish replaces it by
// the actual cost. The system's virtual time advances by the finished slot-seconds
// divided by the sum of the weights of all active teams, which is the rate at which
// an ideal fair scheduler would serve each of them. Next returns the waiting team
// with the lowest virtual time.
//
// Two bounds limit the influence of past usage. A team that becomes active starts
// at most credit slot-seconds behind the system's virtual time, so that idle time
// earns no further credit. A team that received more than its share is at most the
// cost of its last finished run ahead of the system's virtual time.
type Order struct {
	credit       float64 // slot-seconds
	now          float64 // virtual time of the system, slot-seconds per weight
	activeWeight float64 // sum of the weights of active teams
	teams        map[string]*teamState
	ready        teamHeap
	seq          uint64
}

// teamState is the scheduling state of one team in an Order.
type teamState struct {
	name         string
	weight       float64
	virtual      float64 // finished slot-seconds per weight, bounded
	expectedCost float64 // expected slot-seconds of current runs
	running      int
	waiting      bool
	lastStart    uint64 // breaks ties: the least recently started team goes first
	index        int    // position in the heap, or -1 if the team is not waiting
}

func (m *teamState) key() float64 { return m.virtual + m.expectedCost/m.weight }

func (m *teamState) isActive() bool { return m.waiting || m.running > 0 }

// NewOrder returns an Order without teams. credit is the maximum slot time by which
// a team that becomes active may be behind; zero gives no credit.
func NewOrder(credit time.Duration) *Order {
	return &Order{
		credit: credit.Seconds(),
		teams:  make(map[string]*teamState),
	}
}

// Len returns the number of teams.
func (o *Order) Len() int { return len(o.teams) }

// ActiveWeight returns the sum of the weights of teams that are waiting or running.
func (o *Order) ActiveWeight() float64 { return o.activeWeight }

// SetWeight adds a team or changes its weight. Weights that are not positive are
// replaced by minWeight.
func (o *Order) SetWeight(team string, weight float64) {
	if !(weight > minWeight) {
		weight = minWeight
	}
	m, ok := o.teams[team]
	if !ok {
		o.teams[team] = &teamState{name: team, weight: weight, virtual: o.now, index: -1}
		return
	}
	if m.isActive() {
		o.activeWeight += weight - m.weight
	}
	// The distance from the system's virtual time is preserved in slot-seconds.
	m.virtual = o.now + (m.virtual-o.now)*m.weight/weight
	m.weight = weight
	o.fixHeap(m)
}

// Remove removes a team. The team must be neither waiting nor running.
func (o *Order) Remove(team string) {
	m, ok := o.teams[team]
	if !ok {
		return
	}
	if m.index >= 0 {
		heap.Remove(&o.ready, m.index)
	}
	if m.isActive() {
		o.activeWeight -= m.weight
	}
	delete(o.teams, team)
}

// SetWaiting sets whether the team has work that may start now. Unknown teams are
// ignored.
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
	// A team that was running but had nothing to start earns no further credit either.
	m.virtual = max(m.virtual, o.now-o.credit/m.weight)
	heap.Push(&o.ready, m)
}

// Next returns the waiting team that starts next, or false if no team is waiting.
func (o *Order) Next() (string, bool) {
	if len(o.ready) == 0 {
		return "", false
	}
	return o.ready[0].name, true
}

// Start records that the team occupies a slot and charges it the expected duration.
func (o *Order) Start(team string, expected time.Duration) {
	m, ok := o.teams[team]
	if !ok {
		return
	}
	o.activate(m)
	m.running++
	m.expectedCost += expected.Seconds()
	o.seq++
	m.lastStart = o.seq
	o.fixHeap(m)
}

// Finish ends a run recorded by Start. expected is the value that was passed to
// Start, actual the time for which the slot was occupied.
func (o *Order) Finish(team string, expected, actual time.Duration) {
	m, ok := o.teams[team]
	if !ok || m.running == 0 {
		return
	}
	m.running--
	m.expectedCost -= expected.Seconds()
	if m.running == 0 {
		m.expectedCost = 0
	}
	cost := max(actual.Seconds(), 0)
	m.virtual += cost / m.weight
	o.now += cost / max(o.activeWeight, minWeight)
	m.virtual = min(m.virtual, o.now+cost/m.weight)
	o.fixHeap(m)
	o.deactivate(m)
}

// activate adds the team's weight to the active weight if the team was inactive. It
// is called before the team starts to wait or run.
func (o *Order) activate(m *teamState) {
	if m.isActive() {
		return
	}
	o.activeWeight += m.weight
	m.virtual = max(m.virtual, o.now-o.credit/m.weight)
}

// deactivate subtracts the team's weight from the active weight if the team has
// become inactive.
func (o *Order) deactivate(m *teamState) {
	if m.isActive() {
		return
	}
	o.activeWeight -= m.weight
	if o.activeWeight < minWeight {
		o.activeWeight = 0
	}
}

func (o *Order) fixHeap(m *teamState) {
	if m.index >= 0 {
		heap.Fix(&o.ready, m.index)
	}
}

// teamHeap is a heap of the waiting teams, ordered by virtual time.
type teamHeap []*teamState

func (h teamHeap) Len() int { return len(h) }

func (h teamHeap) Less(i, j int) bool {
	a, b := h[i].key(), h[j].key()
	if a != b {
		return a < b
	}
	if h[i].lastStart != h[j].lastStart {
		return h[i].lastStart < h[j].lastStart
	}
	return h[i].name < h[j].name
}

func (h teamHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *teamHeap) Push(x any) {
	m := x.(*teamState)
	m.index = len(*h)
	*h = append(*h, m)
}

// Pop implements heap.Interface.
func (h *teamHeap) Pop() any {
	old := *h
	m := old[len(old)-1]
	old[len(old)-1] = nil
	m.index = -1
	*h = old[:len(old)-1]
	return m
}
