package endpoint

import "time"

// stallDetector detects that the process was stalled. Messages handled right
// after a stall may have been buffered since it began, so they count as received
// at its start.
type stallDetector struct {
	now          time.Time
	stallStart   time.Time // start of the latest stall
	backlogUntil time.Time // until then, messages may have been buffered during the stall
	backlog      bool
}

// advance records the current time. A gap longer than bound is a stall.
func (c *stallDetector) advance(now time.Time, bound time.Duration) {
	if !c.now.IsZero() && now.Sub(c.now) > bound {
		c.stallStart = c.now
		c.backlogUntil = now.Add(bound)
		c.backlog = true
	}
	if c.backlog && !now.Before(c.backlogUntil) {
		c.backlog = false
	}
	c.now = now
}

// receivedAt returns the earliest time at which a message handled at now may have
// been received.
func (c *stallDetector) receivedAt(now time.Time) time.Time {
	if c.backlog {
		return c.stallStart
	}
	return now
}
