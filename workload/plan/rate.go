package plan

import (
	"cmp"
	"slices"

	"magnoliastand.example/workload"
)

// RateWindow is the time in milliseconds over which jobs are counted against their team's
// contracted rate: a team may submit the jobs of this time at once.
const RateWindow workload.Millis = 2000

// Rates tells which jobs their teams submit beyond their contracted rate, Team.Weight
// jobs per second. The jobs within the rate are the first ones: a team that submits many
// times its rate keeps the jobs of its rate, and only the others are beyond it. The zero value
// is ready for use.
type Rates struct {
	teams  map[string]teamRate
	beyond map[string]bool
}

// teamRate counts a team's jobs within its rate. The count decreases at the contracted rate.
type teamRate struct {
	jobs float64
	at   workload.Millis
}

// Add records an accepted job and reports whether it is beyond its team's rate. Jobs
// are added in the order of their submission. A team without a weight, or without
// an entry in the document, has no contracted rate.
func (r *Rates) Add(state *workload.State, j *workload.Job) bool {
	t, ok := state.Team(j.Team)
	if !ok || t.Weight <= 0 {
		return false
	}
	if r.teams == nil {
		r.teams, r.beyond = map[string]teamRate{}, map[string]bool{}
	}
	beyond, next := r.count(t, j.Submitted)
	if beyond {
		r.beyond[j.ID] = true
		return true
	}
	r.teams[t.Name] = next
	return false
}

// Exceeds reports whether one more job of a team would be beyond its rate.
func (r *Rates) Exceeds(state *workload.State, team string, now workload.Millis) bool {
	t, ok := state.Team(team)
	if !ok || t.Weight <= 0 {
		return false
	}
	beyond, _ := r.count(t, now)
	return beyond
}

// count returns whether one more job is beyond the team's rate, and the count with it.
func (r *Rates) count(t *workload.Team, at workload.Millis) (beyond bool, next teamRate) {
	c := r.teams[t.Name]
	left := max(0, c.jobs-t.Weight*float64(max(0, at-c.at))/1000)
	// A team whose rate is below one job in the window may submit one.
	most := max(1, t.Weight*float64(RateWindow)/1000)
	return left+1 > most, teamRate{jobs: left + 1, at: max(at, c.at)}
}

// Beyond reports whether a job was recorded as beyond its team's rate.
func (r *Rates) Beyond(job string) bool { return r.beyond[job] }

// Retain removes the jobs that are not in the state's active ones.
func (r *Rates) Retain(active map[string]*workload.Job) {
	for id := range r.beyond {
		if active[id] == nil {
			delete(r.beyond, id)
		}
	}
}

// NewRates returns the rates that follow from the jobs of a state, for the first plan after a
// change of leader.
func NewRates(state *workload.State) *Rates {
	jobs := make([]*workload.Job, 0, len(state.Jobs()))
	for _, j := range state.Jobs() {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *workload.Job) int {
		return cmp.Or(cmp.Compare(a.Submitted, b.Submitted), cmp.Compare(a.ID, b.ID))
	})
	r := &Rates{}
	for _, j := range jobs {
		r.Add(state, j)
	}
	return r
}
