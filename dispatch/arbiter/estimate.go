package arbiter

import (
	"time"

	"magnoliastand.example/api"
)

const (
	// maxWaitFraction is the largest admissible expected wait of an ask as a
	// fraction of its wait limit. The start rate of a team varies with the load
	// of the others, so with the full limit many asks would wait and then time
	// out.
	maxWaitFraction = 0.85
	// meanWindow is the number of observations that a moving mean spans.
	meanWindow = 32
	// initialRunTime is the run time assumed before any has been observed.
	initialRunTime = 50 * time.Millisecond
	// minRetryAfter is the lower bound of the retry delay in a refusal.
	minRetryAfter = 100 * time.Millisecond
	// minShare is the lower bound of a team's share, which is used as a divisor.
	minShare = 1e-6
)

// observeRun adds a run time to the queue's moving mean.
func (q *queue) observeRun(d time.Duration) {
	q.runTime = movingMean(q.runTime, d)
}

// movingMean adds an observation to a mean. A zero mean has no observations.
func movingMean(mean, d time.Duration) time.Duration {
	if mean == 0 {
		return max(d, 1)
	}
	return max(mean+(d-mean)/meanWindow, 1)
}

// expectedRun returns the run time charged to a team when a request starts.
func (q *queue) expectedRun() time.Duration {
	if q.runTime == 0 {
		return initialRunTime
	}
	return q.runTime
}

// expectedWait estimates how long a new ask of the team would wait behind the
// team's other asks in the queue, from their start rate since the team last had
// no asks waiting there. Until two have started, it assumes that all slots serve
// the team, so that no ask is refused that could have started. It returns zero
// if there is no basis for an estimate.
func (a *Arbiter) expectedWait(q *queue, teamName string) time.Duration {
	tq, ok := q.teamQueues[teamName]
	if !ok || tq.count == 0 || a.recovery.pending {
		return 0
	}
	if tq.startInterval > 0 {
		return time.Duration(tq.count) * tq.startInterval
	}
	slots := a.slotsFor(q.svc, q.class)
	if slots == 0 {
		return 0
	}
	return time.Duration(tq.count) * q.runTime / time.Duration(slots)
}

// slotsFor returns the maximum number of slots that the class may occupy.
func (a *Arbiter) slotsFor(s *service, c *class) int {
	if c.name == api.ClassLong {
		return s.capacity - a.quickReserve(s)
	}
	if s.long.waiting > 0 {
		return s.capacity - a.longReserve(s)
	}
	return s.capacity
}

// drainTime estimates how long the queue's waiting asks take to run.
func (a *Arbiter) drainTime(q *queue) time.Duration {
	slots := a.slotsFor(q.svc, q.class)
	if slots == 0 {
		return a.opts.EndpointGrace
	}
	d := time.Duration(q.waiting) * q.expectedRun() / time.Duration(slots)
	return max(d, minRetryAfter)
}
