package driver

import "time"

const (
	// stallTime is how long a run may show no progress, beyond the time that one
	// percent of it takes.
	stallTime = 700 * time.Millisecond
	// stallPercents is how many times the duration of one percent is waited for.
	stallPercents = 3
	// maxMoves bounds how often a task is moved for its progress, so that a wrong
	// estimate costs little.
	maxMoves = 2
	// stallBlame is the weight of a stalled run against its worker.
	stallBlame = 2
)

// progress is what the lists of a worker tell of one run.
type progress struct {
	percent int
	// risenAt is when the percentage last rose.
	risenAt time.Time
}

// note takes a reading.
func (p *progress) note(percent int, now time.Time) {
	if percent > p.percent || p.risenAt.IsZero() {
		p.percent, p.risenAt = percent, now
	}
}

// stalled reports whether a run of the given age and expected duration stands still.
func (p *progress) stalled(age, expected time.Duration, now time.Time) bool {
	perPercent := expected / 100
	if p.percent > 0 {
		perPercent = max(perPercent, age/time.Duration(p.percent))
	}
	return now.Sub(p.risenAt) > stallTime+stallPercents*perPercent
}

// watchProgress moves a run that stands still. Tasks that last have no end to
// wait for. A run that is merely slow stays: estimates are too rough to tell a
// slow worker from a long task.
func (d *Driver) watchProgress(s *session, r *run, percent int, now time.Time) {
	step := r.step()
	if step.LongRunning || step.Gang || r.stopping || r.phase != phaseStarted || step.Estimate == 0 {
		return
	}
	r.progress.note(percent, now)
	expected := time.Duration(step.Estimate) * time.Millisecond
	if d.moves[r.ref] >= maxMoves || !r.progress.stalled(now.Sub(r.confirmedAt), expected, now) {
		return
	}
	d.moves[r.ref]++
	d.failedOn[r.ref] = r.worker
	s.blameFor(stallBlame, now)
	d.cfg.Metrics.Decisions.WithLabelValues("move-task", "stands still").Inc()
	d.stopRun(r, "stands still")
}
