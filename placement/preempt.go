package placement

import (
	"cmp"
	"slices"
)

// Parameters of preemption.
const (
	// preemptStageTime is the duration of a stage before the next one starts, in
	// milliseconds.
	preemptStageTime Millis = 2_000
	// shortfallTolerance is the fraction of its entitlement that a team may be
	// short of before tasks of other teams are preempted.
	shortfallTolerance = 0.4
)

// Stage is the progress of the preemption of a task.
type Stage int

// Stages of a preemption, in order.
const (
	NotPreempted Stage = iota
	Checkpoint
	Throttle
	Stop
)

// Running is a task on a worker.
type Running struct {
	Task    Task
	Worker  string
	Size    Size
	Started Millis
	// Stage is the current stage of preemption, reached at StageSince.
	Stage      Stage
	StageSince Millis
}

// Preemption is a request to a worker to advance a running task to a stage of
// preemption.
type Preemption struct {
	TaskID string
	Worker string
	Stage  Stage
}

// Preempt returns the preemptions that bring teams with waiting tasks closer to
// their entitlement. Only idempotent tasks of teams above their entitlement are
// chosen, most recently started first. Total is the capacity of the pool. The
// usage and demand of teams are fractions of it.
func Preempt(teams []TeamUse, running []Running, total Size, now Millis) []Preemption {
	var out []Preemption
	// The capacity in use is what is divided among the teams.
	capacity := 0.0
	for n := range teams {
		capacity += teams[n].Use
	}
	entitled := Entitlements(capacity, teams)
	shortfall := 0.0
	excess := map[string]float64{}
	for n := range teams {
		gap := entitled[n] - teams[n].Use
		if gap > shortfallTolerance*entitled[n] {
			shortfall += gap
		}
		if gap < 0 {
			excess[teams[n].Team] = -gap
		}
	}
	for n := range running {
		r := &running[n]
		if r.Stage == NotPreempted {
			continue
		}
		size := r.Size.DominantShare(total)
		shortfall -= size
		excess[r.Task.Team] -= size
		if r.Stage < Stop && now-r.StageSince >= preemptStageTime {
			out = append(out, Preemption{r.Task.ID, r.Worker, r.Stage + 1})
		}
	}
	for _, r := range victims(running) {
		size := r.Size.DominantShare(total)
		if shortfall < size || excess[r.Task.Team] < size {
			continue
		}
		shortfall -= size
		excess[r.Task.Team] -= size
		out = append(out, Preemption{r.Task.ID, r.Worker, Checkpoint})
	}
	return out
}

// victims returns the tasks that may be preempted, most recently started first.
func victims(running []Running) []*Running {
	var out []*Running
	for n := range running {
		r := &running[n]
		if r.Task.Idempotent && r.Stage == NotPreempted {
			out = append(out, r)
		}
	}
	slices.SortStableFunc(out, func(a, b *Running) int {
		return cmp.Or(cmp.Compare(b.Started, a.Started), cmp.Compare(a.Task.ID, b.Task.ID))
	})
	return out
}
