package arbiter

import (
	"time"

	"magnoliastand.example/api"
)

const (
	// earlyRefusalFactor is how many times its patience an ask's expected wait
	// may be before it is refused at once.
	earlyRefusalFactor = 2
	// runTimeWeight is the number of observations that the moving mean of slot
	// times spans.
	runTimeWeight = 16
	// firstRunTime is charged for a start before any slot time was observed.
	firstRunTime = 50 * time.Millisecond
	// minRetryAfter is the least time after which a refused caller is told to retry.
	minRetryAfter = 100 * time.Millisecond
	// minShare replaces shares that are not positive.
	minShare = 1e-6
)

// observeRun takes one slot time into the class's moving mean.
func (c *class) observeRun(d time.Duration) {
	if c.runTime == 0 {
		c.runTime = max(d, 1)
		return
	}
	c.runTime += (d - c.runTime) / runTimeWeight
}

// expectedRun returns the slot time that a start is charged with.
func (c *class) expectedRun() time.Duration {
	if c.runTime == 0 {
		return firstRunTime
	}
	return c.runTime
}

// expectedWait estimates how long a new ask of the team would wait behind the
// team's own asks, at the rate that its share of the slots gives it now. It is
// zero while the service or the class has nothing to judge by.
func (a *Arbiter) expectedWait(q *queue, teamName string) time.Duration {
	c := q.class
	l, ok := c.lines[teamName]
	if !ok || l.waiting == 0 || c.runTime == 0 || a.recovery.pending {
		return 0
	}
	slots := a.slotsFor(q.svc, c)
	if slots == 0 {
		return 0
	}
	part := 1.0
	if active := c.order.ActiveWeight(); active > 0 {
		part = min(l.team.weight/active, 1)
	}
	rate := float64(slots) * max(part, minShare) / c.runTime.Seconds()
	return time.Duration(float64(l.waiting) / rate * float64(time.Second))
}

// slotsFor returns the most slots that the class may occupy.
func (a *Arbiter) slotsFor(s *service, c *class) int {
	if c.name == api.ClassLong {
		return s.capacity - a.quickReserve(s)
	}
	if s.long.waiting > 0 {
		return s.capacity - a.longReserve(s)
	}
	return s.capacity
}

// drainTime estimates when a full queue has room again.
func (a *Arbiter) drainTime(q *queue) time.Duration {
	slots := a.slotsFor(q.svc, q.class)
	if slots == 0 {
		return a.opts.EndpointGrace
	}
	d := time.Duration(q.waiting) * q.class.expectedRun() / time.Duration(slots)
	return max(d, minRetryAfter)
}
