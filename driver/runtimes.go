package driver

import "time"

const (
	// runTimesMemory is the total estimated time over which observed run times are
	// averaged; older runs count less.
	runTimesMemory = 100 * time.Second
	// maxRunTimeFactor bounds the correction of estimates in both directions.
	maxRunTimeFactor = 4
)

// runTimes compares the run times of a queue's tasks with their estimates.
type runTimes struct {
	estimated, observed time.Duration
}

// add records a run that is done.
func (r *runTimes) add(estimated, observed time.Duration) {
	if r.estimated > runTimesMemory {
		r.estimated /= 2
		r.observed /= 2
	}
	r.estimated += estimated
	r.observed += observed
}

// factor returns the ratio of run times to estimates, 1 while nothing is known.
func (r *runTimes) factor() float64 {
	if r == nil || r.estimated == 0 {
		return 1
	}
	return min(max(float64(r.observed)/float64(r.estimated), 1.0/maxRunTimeFactor), maxRunTimeFactor)
}

// observeRunTime records a run of a task that is done.
func (d *Driver) observeRunTime(r *run) {
	step := r.step()
	if step.LongRunning || step.Gang || step.Estimate == 0 || r.confirmedAt.IsZero() || r.number > 1 {
		return
	}
	t := d.fleet.runTimes[r.job.Queue]
	if t == nil {
		t = &runTimes{}
		d.fleet.runTimes[r.job.Queue] = t
	}
	t.add(time.Duration(step.Estimate)*time.Millisecond, time.Since(r.confirmedAt))
}
