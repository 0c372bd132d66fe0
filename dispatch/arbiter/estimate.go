package arbiter

import (
	"time"

	"magnoliastand.example/api"
)

const (
	// patiencePart is the part of its patience that an ask's expected wait may
	// take. The rate at which a team's asks start varies with what the others
	// ask, so at the whole of it many asks would wait in vain.
	maxWaitFraction = 0.85
	// meanWeight is the number of observations that a moving mean spans.
	meanWindow = 32
	// firstRunTime is charged for a start before any slot time was observed.
	initialRunTime = 50 * time.Millisecond
	// minRetryAfter is the least time after which a refused caller is told to retry.
	minRetryAfter = 100 * time.Millisecond
	// minShare replaces shares that are not positive.
	minShare = 1e-6
)

// observeRun takes one slot time into the queue's moving mean.
func (q *queue) observeRun(d time.Duration) {
	q.runTime = movingMean(q.runTime, d)
}

// movingMean takes one observation into a mean, where zero means none so far.
func movingMean(mean, d time.Duration) time.Duration {
	if mean == 0 {
		return max(d, 1)
	}
	return max(mean+(d-mean)/meanWindow, 1)
}

// expectedRun returns the slot time that a start is charged with.
func (q *queue) expectedRun() time.Duration {
	if q.runTime == 0 {
		return initialRunTime
	}
	return q.runTime
}

// expectedWait estimates how long a new ask of the team would wait behind the
// team's own asks in the queue, at the rate at which these have started since
// the first of them began to wait. Before two have started it assumes that all
// slots serve them, so that nothing is refused that could have started. It is
// zero while there is nothing to judge by.
func (a *Arbiter) expectedWait(q *queue, teamName string) time.Duration {
	tq, ok := q.teamQueues[teamName]
	if !ok || tq.count == 0 || a.recovery.pending {
		return 0
	}
	if tq.interval > 0 {
		return time.Duration(tq.count) * tq.interval
	}
	slots := a.slotsFor(q.svc, q.class)
	if slots == 0 {
		return 0
	}
	return time.Duration(tq.count) * q.runTime / time.Duration(slots)
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
	d := time.Duration(q.waiting) * q.expectedRun() / time.Duration(slots)
	return max(d, minRetryAfter)
}
