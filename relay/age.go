package relay

import (
	"time"

	"golang.org/x/sys/unix"

	"magnoliastand.example/peerlink"
)

// maxAge is how old an order may be when an agent takes it up: far above a batch and a
// round trip between zones, below the leader's wait for an outcome.
const maxAge = 500 * time.Millisecond

// bootTime reads a clock that also counts while the machine is suspended, from an
// arbitrary start.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // the clock exists on every supported kernel
	}
	return time.Duration(ts.Nano())
}

// driftDivisor lets the difference of two clocks grow by a thousandth, ten times what
// the quartz of a machine drifts.
const driftDivisor = 1000

// senderClock relates the clock of a leader's process to the agent's own. The
// smallest difference seen, and what the clocks may have drifted since, stands for
// a message without delay.
type senderClock struct {
	offset, seen time.Duration
	known        bool
}

// age returns how much longer a message took than the fastest one.
func (c *senderClock) age(sentAt, now time.Duration) time.Duration {
	offset := now - sentAt
	c.offset += (now - c.seen) / driftDivisor
	c.seen = now
	if !c.known || offset < c.offset {
		c.offset, c.known = offset, true
	}
	return offset - c.offset
}

// sender names the process that sends, since its clock starts anew with its machine.
type sender struct{ name, incarnation string }

// age returns the age of a message at the agent. Checks carry the time as well, so
// that a leader's clock is known before its first order.
func (a *Agent) age(from peerlink.Identity, sentAt time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	key := sender{from.Name, from.Incarnation}
	c := a.clocks[key]
	if c == nil {
		c = &senderClock{}
		a.clocks[key] = c
	}
	return c.age(sentAt, a.now())
}
