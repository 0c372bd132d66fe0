package replay

import (
	"magnoliastand.example/api"
	"magnoliastand.example/placement"
)

// Parameters of the placement.
const (
	quickReserve = 0.25
	longReserve  = 0.25
	// headLength is the number of waiting tasks per team and class that are passed
	// to one placement.
	headLength = 8
)

// teamState holds the running and waiting tasks of one team in one pool.
type teamState struct {
	quick, long *placement.Backlog
	jobs        map[string]*job
	// Total size of running and waiting tasks in instances, by estimated and by
	// actual size.
	estimatedUse, estimatedWaiting float64
	actualUse, actualWaiting       float64
	estimates                      map[string]float64
}

// serviceState is the state of one service and its pool.
type serviceState struct {
	name    string
	teams   []*teamState
	ledger  *placement.Ledger
	workers []*worker
	open    []bool
	full    bool
	// needsPlacement is set when a task arrives or ends or a worker changes.
	needsPlacement bool
	quickRunning   int
	longRunning    int
	// arrivedWork is the estimated work that arrived since the last plan, in
	// instance milliseconds.
	arrivedWork float64
}

func newServices(sc *scenario) []*serviceState {
	var out []*serviceState
	for _, s := range sc.services {
		st := &serviceState{name: s.name, ledger: placement.NewLedger()}
		for range teams {
			st.teams = append(st.teams, &teamState{
				quick: placement.NewBacklog(), long: placement.NewBacklog(),
				jobs: map[string]*job{}, estimates: map[string]float64{},
			})
		}
		out = append(out, st)
	}
	return out
}

func (t *teamState) backlog(c api.Class) *placement.Backlog {
	if c == api.ClassLong {
		return t.long
	}
	return t.quick
}

// enqueue adds a job to the waiting tasks. Est and actual are its estimated and
// actual size in instances.
func (s *serviceState) enqueue(j *job, est, actual float64) {
	t := s.teams[j.team]
	if !t.backlog(j.Class).Push(j.Task) {
		return
	}
	s.needsPlacement = true
	t.jobs[j.ID] = j
	t.estimates[j.ID] = est
	t.estimatedWaiting += est
	t.actualWaiting += actual
}

// dequeue removes a job that starts or was cancelled from the totals of waiting
// tasks. The caller removes it from the backlog.
func (s *serviceState) dequeue(j *job, actual float64) {
	t := s.teams[j.team]
	t.estimatedWaiting -= t.estimates[j.ID]
	t.actualWaiting -= actual
	delete(t.jobs, j.ID)
	delete(t.estimates, j.ID)
}

// teamUses returns the usage and demand of each team as fractions of the pool.
func (s *serviceState) teamUses(withDebts bool) []placement.TeamUse {
	size := float64(max(len(s.workers), 1))
	out := make([]placement.TeamUse, len(s.teams))
	for n, t := range s.teams {
		out[n] = placement.TeamUse{
			Team: teams[n].name, Share: teams[n].share,
			Use: t.estimatedUse / size, Demand: (t.estimatedUse + t.estimatedWaiting) / size,
		}
		if withDebts {
			out[n].Debt = s.ledger.Debt(teams[n].name)
		}
	}
	return out
}

// waitingTasks returns the number of waiting tasks of all teams.
func (s *serviceState) waitingTasks() int {
	n := 0
	for _, t := range s.teams {
		n += t.quick.Len() + t.long.Len()
	}
	return n
}

// placementInput returns the input of a placement for the service.
func (s *serviceState) placementInput(p *Policy, e *placement.Estimator) placement.Input {
	in := placement.Input{
		Workers:   make([]placement.Worker, 0, len(s.workers)),
		Teams:     make([]placement.TeamQueue, 0, len(s.teams)),
		Order:     p.order,
		Estimator: e,
		Classes: placement.Classes{
			QuickReserve: quickReserve, LongReserve: longReserve,
			QuickRunning: s.quickRunning, LongRunning: s.longRunning,
		},
	}
	for n, w := range s.workers {
		in.Workers = append(in.Workers, placement.Worker{
			ID: w.id, Zone: w.zone, Rack: w.rack, Capacity: w.capacity, Used: w.used, Open: s.open[n],
		})
	}
	for n, u := range s.teamUses(p.fairShare) {
		t := s.teams[n]
		q := placement.TeamQueue{TeamUse: u, Limit: -1, Quick: t.quick.Head(headLength), Long: t.long.Head(headLength)}
		q.Oldest = never
		for _, head := range [][]placement.Task{q.Quick, q.Long} {
			if len(head) > 0 {
				q.Oldest = min(q.Oldest, head[0].Submitted)
			}
		}
		in.Teams = append(in.Teams, q)
	}
	return in
}
