package control

import "time"

// Clock provides cluster time to a leader. Cluster time continues from the newest
// time in the log and does not advance while there is no leader, so it never
// advances faster than real time.
type Clock struct {
	base  time.Duration
	start time.Duration
	mono  func() time.Duration
}

// NewClock returns the clock of a new leader. stateNow is the value of State.Now
// after the leader has applied every entry of earlier terms; mono is a monotonic
// clock that keeps advancing while the process is suspended.
func NewClock(stateNow time.Duration, mono func() time.Duration) *Clock {
	return &Clock{base: stateNow, start: mono(), mono: mono}
}

// Now returns the current cluster time.
func (c *Clock) Now() time.Duration { return c.base + c.mono() - c.start }

// Stamp sets the timestamps of a command that the leader is about to propose.
// The caller reads applied from State.Index before the call: because the clock is
// read afterwards, the timestamp is not older than the entry at that index.
func (c *Clock) Stamp(cmd *Command, applied uint64, wall time.Time) {
	cmd.Applied = applied
	cmd.At = c.Now()
	cmd.UnixMilli = wall.UnixMilli()
}
