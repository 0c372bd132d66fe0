package arbiter

import (
	"magnoliastand.example/dispatch"
)

// Event is an output of the arbiter: Granted, Refused, Forward or ForwardCancel.
type Event interface{ event() }

// Granted gives an origin the slot it asked for.
type Granted struct {
	Origin dispatch.DaemonID
	Grant  dispatch.Grant
}

// Refused ends an ask without a slot.
type Refused struct {
	RequestID string
	Origin    dispatch.DaemonID
	Refusal   dispatch.Refusal
}

// Forward passes an ask on to the arbiter of another zone, which answers its
// origin directly.
type Forward struct {
	Ask  dispatch.Ask
	Zone string
}

// ForwardCancel takes back an ask that was passed on to Zone.
type ForwardCancel struct {
	RequestID string
	Origin    dispatch.DaemonID
	Zone      string
}

func (Granted) event()       {}
func (Refused) event()       {}
func (Forward) event()       {}
func (ForwardCancel) event() {}
