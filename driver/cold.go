package driver

import (
	"math"
	"time"

	"magnoliastand.example/workload"
	"magnoliastand.example/workload/plan"
)

// coldStarts records in a condition that a worker is slow, and at which pace tasks may be
// started on it. A worker is slow by its own announcement or after the evacuation of its zone. In
// a new term it counts as slow for the same time after its start until it has announced itself.
func (d *Driver) coldStarts(s *session, now time.Time, c *plan.Condition) {
	pool, ok := d.state.Pool(s.worker.Pool)
	if !ok {
		pool = &workload.Pool{}
	}
	since := d.state.EvacuationEnded(s.worker.Zone)
	if !s.announcedAt.After(d.started) {
		since = max(since, s.worker.Incarnation)
	}
	until := s.coldUntil.UnixMilli()
	if since > 0 {
		until = max(until, since+pool.ColdStart)
	}
	c.Cold = now.UnixMilli() < until
	if !c.Cold || pool.ColdStartsPerS <= 0 {
		return
	}
	c.StartInterval = startInterval(pool.ColdStartsPerS)
	if !s.assignedAt.IsZero() {
		c.NextStart = min(s.assignedAt.UnixMilli()+c.StartInterval, until)
	}
}

// startInterval returns the time between two starts, at least a millisecond.
func startInterval(perS float64) workload.Millis {
	const second = 1000 // milliseconds
	return workload.Millis(min(max(math.Ceil(second/perS), 1), workload.MaxDuration))
}
