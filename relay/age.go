package relay

import (
	"time"

	"magnoliastand.example/peerlink"
)

// maxOrderAge is the greatest delay with which an agent still executes an order.
// It is far above a batch interval and a round trip between zones, and below the
// time that the leader waits for an outcome.
const maxOrderAge = 500 * time.Millisecond

// driftDivisor limits the assumed drift between two clocks to 1/driftDivisor of
// the elapsed time, ten times the drift of a machine's quartz oscillator.
const driftDivisor = 1000

// senderClock relates the clock of a leader's process to the agent's clock. The
// smallest difference observed so far, plus the drift since, is taken as the
// offset of a message without delay.
type senderClock struct {
	offset, updated time.Duration
	known           bool
}

// delay returns how much longer a message took to arrive than the fastest one.
func (c *senderClock) delay(sentAt, now time.Duration) time.Duration {
	offset := now - sentAt
	c.offset += (now - c.updated) / driftDivisor
	c.updated = now
	if !c.known || offset < c.offset {
		c.offset, c.known = offset, true
	}
	return offset - c.offset
}

// sender identifies a sending process. A restarted process gets a new clock
// offset, since its machine may have rebooted and its clock started again.
type sender struct{ name, incarnation string }

// messageDelay returns the delay of a message to the agent. Probes also carry the
// send time, so that the offset of a leader's clock is known before its first
// order.
func (a *Agent) messageDelay(from peerlink.Identity, sentAt time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	key := sender{from.Name, from.Incarnation}
	c := a.senderClocks[key]
	if c == nil {
		c = &senderClock{}
		a.senderClocks[key] = c
	}
	return c.delay(sentAt, a.now())
}
