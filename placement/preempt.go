package placement

import (
	"cmp"
	"slices"
)

// Timing and bounds of preemption.
const (
	// preemptStage is how long each stage lasts before the next, in milliseconds.
	preemptStage Millis = 2_000
	// shortfallTolerance is the fraction of its entitlement that a team may lack
	// before others are preempted for it.
	shortfallTolerance = 0.4
)

// Stage is how far the preemption of a task went.
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
	// Stage and StageSince tell how far its preemption went.
	Stage      Stage
	StageSince Millis
}

// Preemption asks a worker to take a running task to the next stage.
type Preemption struct {
	TaskID string
	Worker string
	Stage  Stage
}

// Preempt returns the preemptions that bring teams with waiting tasks to their
// entitlement. Only idempotent tasks of teams above theirs are chosen, the
// latest started first. Total is the capacity of the pool; teams hold use and
// demand as fractions of it.
func Preempt(teams []TeamUse, running []Running, total Size, now Millis) []Preemption {
	var out []Preemption
	// What is in use now is what the teams can divide.
	capacity := 0.0
	for n := range teams {
		capacity += teams[n].Use
	}
	entitled := Entitlements(capacity, teams)
	missing := 0.0
	excess := map[string]float64{}
	for n := range teams {
		gap := entitled[n] - teams[n].Use
		if gap > shortfallTolerance*entitled[n] {
			missing += gap
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
		size := r.Size.Dominant(total)
		missing -= size
		excess[r.Task.Team] -= size
		if r.Stage < Stop && now-r.StageSince >= preemptStage {
			out = append(out, Preemption{r.Task.ID, r.Worker, r.Stage + 1})
		}
	}
	for _, r := range victims(running) {
		size := r.Size.Dominant(total)
		if missing < size || excess[r.Task.Team] < size {
			continue
		}
		missing -= size
		excess[r.Task.Team] -= size
		out = append(out, Preemption{r.Task.ID, r.Worker, Checkpoint})
	}
	return out
}

// victims returns the tasks that may be preempted, latest started first.
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
