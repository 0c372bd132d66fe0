package arbiter

import (
	"magnoliastand.example/dispatch"
)

// Event is an output of the arbiter: Granted, Refused, Forward or ForwardCancel.
type Event interface{ event() }

// Granted grants an origin the slot it asked for.
type Granted struct {
	Origin dispatch.DaemonID
	Grant  dispatch.Grant
}

// Refused ends an ask without granting a slot.
type Refused struct {
	RequestID string
	Origin    dispatch.DaemonID
	Refusal   dispatch.Refusal
}

// Forward sends an ask to the arbiter of another zone, which answers the origin
// directly.
type Forward struct {
	Ask  dispatch.Ask
	Zone string
}

// ForwardCancel cancels an ask that was forwarded to Zone.
type ForwardCancel struct {
	RequestID string
	Origin    dispatch.DaemonID
	Zone      string
}

func (Granted) event()       {}
func (Refused) event()       {}
func (Forward) event()       {}
func (ForwardCancel) event() {}
