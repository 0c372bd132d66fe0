package control

import "time"

// Clock gives a leader its cluster time. Cluster time never runs ahead of real
// time: it continues from the newest time in the log, and does not count the
// time between leaders.
type Clock struct {
	base  time.Duration
	start time.Duration
	mono  func() time.Duration
}

// NewClock returns the clock of a new leader. stateNow is State.Now once the
// leader has applied every entry of earlier terms; mono is a monotonic clock
// that counts while the process is stopped.
func NewClock(stateNow time.Duration, mono func() time.Duration) *Clock {
	return &Clock{base: stateNow, start: mono(), mono: mono}
}

// Now returns the cluster time.
func (c *Clock) Now() time.Duration { return c.base + c.mono() - c.start }

// Stamp sets the time of a command that the leader is about to propose. applied
// is State.Index, read before the call: the clock is read after it, so that the
// stamp is no older than the newest entry that it knows.
func (c *Clock) Stamp(cmd *Command, applied uint64, wall time.Time) {
	cmd.Applied = applied
	cmd.At = c.Now()
	cmd.UnixMilli = wall.UnixMilli()
}
