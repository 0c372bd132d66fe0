package endpoint

import "time"

// clock notices that the process stalled. Words that are handled right after a
// stall may have waited in buffers since it began, so they count as heard then.
type clock struct {
	now      time.Time
	stallAt  time.Time // when the latest stall began
	trustAt  time.Time // when words are no longer taken for buffered ones
	distrust bool
}

// advance notes the time. A gap longer than bound is a stall.
func (c *clock) advance(now time.Time, bound time.Duration) {
	if !c.now.IsZero() && now.Sub(c.now) > bound {
		c.stallAt = c.now
		c.trustAt = now.Add(bound)
		c.distrust = true
	}
	if c.distrust && !now.Before(c.trustAt) {
		c.distrust = false
	}
	c.now = now
}

// heard returns when a word that is handled at now was received at the earliest.
func (c *clock) heard(now time.Time) time.Time {
	if c.distrust {
		return c.stallAt
	}
	return now
}
