package replay

import (
	"magnoliastand.example/api"
	"magnoliastand.example/placement"
)

// Parameters of the placement in replays.
const (
	quickReserve = 0.25
	longReserve  = 0.25
	// headLength is how many waiting tasks of a team are shown to a placement.
	headLength = 8
)

// teamState is what one team has running and waiting in one pool.
type teamState struct {
	quick, long *placement.Backlog
	jobs        map[string]*job
	// Sums in busy instances, by estimate and by true size.
	useEst, waitEst   float64
	useTrue, waitTrue float64
	est               map[string]float64
}

// serviceState is one service with its pool.
type serviceState struct {
	name    string
	teams   []*teamState
	ledger  *placement.Ledger
	workers []*worker
	open    []bool
	full    bool
	// dirty is set when a task arrived or ended or a worker changed.
	dirty bool
	quick int
	long  int
	// arrived is the estimated work since the last plan, in instance milliseconds.
	arrived float64
}

func newServices(sc *scenario) []*serviceState {
	var out []*serviceState
	for _, s := range sc.services {
		st := &serviceState{name: s.name, ledger: placement.NewLedger()}
		for range teams {
			st.teams = append(st.teams, &teamState{
				quick: placement.NewBacklog(), long: placement.NewBacklog(),
				jobs: map[string]*job{}, est: map[string]float64{},
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

// push makes a job wait. Est is its estimated size in instances.
func (s *serviceState) push(j *job, est, actual float64) {
	t := s.teams[j.team]
	if !t.backlog(j.Class).Push(j.Task) {
		return
	}
	s.dirty = true
	t.jobs[j.ID] = j
	t.est[j.ID] = est
	t.waitEst += est
	t.waitTrue += actual
}

// drop takes a waiting job out, because it starts or was cancelled.
func (s *serviceState) drop(j *job, actual float64) {
	t := s.teams[j.team]
	t.waitEst -= t.est[j.ID]
	t.waitTrue -= actual
	delete(t.jobs, j.ID)
	delete(t.est, j.ID)
}

// uses returns the teams as the placement sees them, as fractions of the pool.
func (s *serviceState) uses(debts bool) []placement.TeamUse {
	size := float64(max(len(s.workers), 1))
	out := make([]placement.TeamUse, len(s.teams))
	for n, t := range s.teams {
		out[n] = placement.TeamUse{
			Team: teams[n].name, Share: teams[n].share,
			Use: t.useEst / size, Demand: (t.useEst + t.waitEst) / size,
		}
		if debts {
			out[n].Debt = s.ledger.Debt(teams[n].name)
		}
	}
	return out
}

// waiting returns the number of waiting tasks.
func (s *serviceState) waiting() int {
	n := 0
	for _, t := range s.teams {
		n += t.quick.Len() + t.long.Len()
	}
	return n
}

// input returns the placement's input.
func (s *serviceState) input(p *Policy, e *placement.Estimator) placement.Input {
	in := placement.Input{
		Workers:   make([]placement.Worker, 0, len(s.workers)),
		Teams:     make([]placement.TeamQueue, 0, len(s.teams)),
		Order:     p.order,
		Estimator: e,
		Classes: placement.Classes{
			QuickReserve: quickReserve, LongReserve: longReserve,
			QuickRunning: s.quick, LongRunning: s.long,
		},
	}
	for n, w := range s.workers {
		in.Workers = append(in.Workers, placement.Worker{
			ID: w.id, Zone: w.zone, Rack: w.rack, Capacity: w.capacity, Used: w.used, Open: s.open[n],
		})
	}
	for n, u := range s.uses(p.shares) {
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
