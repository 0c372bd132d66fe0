// Package dispatch defines the types shared by the components of the request
// path: an origin asks an arbiter for a slot, the arbiter grants or refuses it,
// and the origin releases the grant with its outcome. The subpackages implement
// the components. Only package origin opens sockets, to endpoints.
package dispatch

import (
	"time"

	"magnoliastand.example/api"
)

// DaemonID identifies a daemon process: Name is stable across restarts,
// Incarnation differs for each start.
type DaemonID struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
}

// Ask asks for a slot for one request. It does not contain the request body.
type Ask struct {
	RequestID string    `cbor:"1,keyasint"`
	Origin    DaemonID  `cbor:"2,keyasint"`
	Queue     string    `cbor:"3,keyasint"`
	Team      string    `cbor:"4,keyasint,omitempty"` // empty on open queues
	Class     api.Class `cbor:"5,keyasint"`
	// Patience is the maximum time to wait for a slot from receipt by the
	// arbiter. It is relative, so that clocks need not be synchronised.
	Patience time.Duration `cbor:"6,keyasint"`
	// Exclude lists the endpoints that refused or failed an earlier attempt.
	Exclude []string `cbor:"7,keyasint,omitempty"`
	// Hops is the number of arbiters that forwarded the ask to another zone.
	Hops int `cbor:"8,keyasint,omitempty"`
}

// GrantID identifies a grant. It is unique across arbiter terms.
type GrantID struct {
	Zone string `cbor:"1,keyasint"`
	Term uint64 `cbor:"2,keyasint"`
	Seq  uint64 `cbor:"3,keyasint"`
}

// Grant permits the origin to send one request to one endpoint.
type Grant struct {
	ID        GrantID `cbor:"1,keyasint"`
	RequestID string  `cbor:"2,keyasint"`
	Queue     string  `cbor:"3,keyasint"`
	Team      string  `cbor:"4,keyasint,omitempty"`
	Endpoint  string  `cbor:"5,keyasint"`
	Address   string  `cbor:"6,keyasint"`
	// EndpointIncarnation identifies the endpoint process that owns the slot.
	EndpointIncarnation string `cbor:"7,keyasint"`
	// StartWithin is the maximum time from receipt of the grant to the first byte
	// sent to the endpoint. An origin that misses it must release the grant unused.
	StartWithin time.Duration `cbor:"8,keyasint"`
	// LongestRun is the maximum time that the slot may be occupied from the first
	// byte on.
	LongestRun time.Duration `cbor:"9,keyasint"`
}

// Outcome is the result of the use of a grant.
type Outcome uint8

// Outcomes of a grant.
const (
	// OutcomeUnused means that no byte was sent to the endpoint.
	OutcomeUnused Outcome = iota + 1
	// OutcomeAnswered means that the endpoint's complete response was read.
	OutcomeAnswered
	// OutcomeRefused means that the endpoint reported that it did not accept the
	// request, or that it could not be reached.
	OutcomeRefused
	// OutcomeFailed means that a complete response with a 5xx status was read.
	OutcomeFailed
	// OutcomeUnknown means that bytes were sent and no complete response was
	// received. The slot and the team's unit stay occupied until LongestRun has
	// elapsed or the endpoint's incarnation has ended.
	OutcomeUnknown
)

// Release returns a grant to the arbiter that issued it.
type Release struct {
	Grant   GrantID       `cbor:"1,keyasint"`
	Outcome Outcome       `cbor:"2,keyasint"`
	Elapsed time.Duration `cbor:"3,keyasint"`
}

// Refusal is the arbiter's response when it grants no slot. The request did not
// run as a result of this ask.
type Refusal struct {
	Code       api.Code      `cbor:"1,keyasint"`
	Detail     string        `cbor:"2,keyasint"`
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
}

// Error implements error.
func (r *Refusal) Error() string { return string(r.Code) + ": " + r.Detail }

// Declaration is sent by an origin to a new arbiter of its zone. It lists the
// grants that the origin still holds and, as started, those that it released with
// an unknown outcome until their longest run has elapsed. The origin sends its
// waiting asks again separately.
type Declaration struct {
	Origin DaemonID    `cbor:"1,keyasint"`
	Held   []HeldGrant `cbor:"2,keyasint"`
}

// HeldGrant is a grant listed in a Declaration.
type HeldGrant struct {
	Grant Grant `cbor:"1,keyasint"`
	// Started reports whether any byte was sent to the endpoint.
	Started bool `cbor:"2,keyasint"`
	// Running is the time since the first byte.
	Running time.Duration `cbor:"3,keyasint"`
}
