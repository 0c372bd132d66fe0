package driver

import "time"

const (
	// stallTime is how long a run may show no progress, in addition to the time
	// allowed for stallPercents percent of it.
	stallTime = 700 * time.Millisecond
	// stallPercents is the number of percentage points whose duration is added to
	// stallTime.
	stallPercents = 3
	// maxMoves bounds how often a task is moved for lack of progress, which
	// limits the cost of a wrong estimate.
	maxMoves = 2
	// stallWeight is the weight of a stalled run in its worker's failure score.
	stallWeight = 2
)

// progress tracks the reported progress of one run.
type progress struct {
	percent int
	// risenAt is when the percentage last rose.
	risenAt time.Time
}

// update records a progress report.
func (p *progress) update(percent int, now time.Time) {
	if percent > p.percent || p.risenAt.IsZero() {
		p.percent, p.risenAt = percent, now
	}
}

// stalled reports whether a run of the given age and expected duration has
// stopped making progress.
func (p *progress) stalled(age, expected time.Duration, now time.Time) bool {
	perPercent := expected / 100
	if p.percent > 0 {
		perPercent = max(perPercent, age/time.Duration(p.percent))
	}
	return now.Sub(p.risenAt) > stallTime+stallPercents*perPercent
}

// watchProgress stops a stalled run so that its task is started on another
// worker. Long-running tasks are exempt because they have no end to progress
// towards. Slow runs are left alone: estimates are too rough to distinguish a
// slow worker from a long task.
func (d *Driver) watchProgress(s *session, r *run, percent int, now time.Time) {
	step := r.step()
	if step.LongRunning || step.Gang || r.stopping || r.phase != phaseStarted || step.Estimate == 0 {
		return
	}
	r.progress.update(percent, now)
	expected := time.Duration(step.Estimate) * time.Millisecond
	if d.moves[r.ref] >= maxMoves || !r.progress.stalled(now.Sub(r.confirmedAt), expected, now) {
		return
	}
	d.moves[r.ref]++
	d.failedOn[r.ref] = r.worker
	s.addFailure(stallWeight, now)
	d.cfg.Metrics.Decisions.WithLabelValues("move-task", "stands still").Inc()
	d.stopRun(r, "stands still")
}
