// Package dispatch holds the types that the parts of the request path share:
// an origin asks an arbiter for a slot, the arbiter grants or refuses, and the
// origin releases the grant with its outcome. Its subpackages implement the
// parts; none of them opens a socket except origin, towards endpoints.
package dispatch

import (
	"time"

	"magnoliastand.example/api"
)

// DaemonID names one daemon process: Name is stable over restarts,
// Incarnation differs at each start.
type DaemonID struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
}

// Ask requests a slot for one request. It carries no body.
type Ask struct {
	RequestID string    `cbor:"1,keyasint"`
	Origin    DaemonID  `cbor:"2,keyasint"`
	Queue     string    `cbor:"3,keyasint"`
	Team      string    `cbor:"4,keyasint,omitempty"` // empty on open queues
	Class     api.Class `cbor:"5,keyasint"`
	// Patience bounds the time the request may wait for a slot, counted from
	// receipt by the arbiter. Relative, so that clocks need not agree.
	Patience time.Duration `cbor:"6,keyasint"`
	// Exclude names endpoints that refused or failed an earlier attempt.
	Exclude []string `cbor:"7,keyasint,omitempty"`
	// Hops counts the arbiters of other zones that passed the ask on.
	Hops int `cbor:"8,keyasint,omitempty"`
}

// GrantID identifies a grant: unique over arbiter terms.
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
	// EndpointIncarnation names the endpoint process that the slot belongs to.
	EndpointIncarnation string `cbor:"7,keyasint"`
	// StartWithin bounds the time from receipt of the grant to the first byte
	// towards the endpoint. An origin that misses it must release the grant unused.
	StartWithin time.Duration `cbor:"8,keyasint"`
	// LongestRun bounds the time the slot may be occupied from the first byte on.
	LongestRun time.Duration `cbor:"9,keyasint"`
}

// Outcome is what became of a grant.
type Outcome uint8

// Outcomes of a grant.
const (
	// OutcomeUnused means that no byte was sent to the endpoint.
	OutcomeUnused Outcome = iota + 1
	// OutcomeAnswered means that the whole answer of the endpoint was read.
	OutcomeAnswered
	// OutcomeRefused means that the endpoint said that it did not accept the
	// request, or could not be reached.
	OutcomeRefused
	// OutcomeFailed means that the whole answer says the endpoint failed (status 5xx).
	OutcomeFailed
	// OutcomeUnknown means that bytes were sent and no whole answer came back. The
	// slot and the team's unit stay occupied until LongestRun has passed or the
	// endpoint's incarnation has ended.
	OutcomeUnknown
)

// Release returns a grant to the arbiter that gave it.
type Release struct {
	Grant   GrantID       `cbor:"1,keyasint"`
	Outcome Outcome       `cbor:"2,keyasint"`
	Elapsed time.Duration `cbor:"3,keyasint"`
}

// Refusal is the arbiter's word that it gives no slot. The request did not run
// through this ask.
type Refusal struct {
	Code       api.Code      `cbor:"1,keyasint"`
	Detail     string        `cbor:"2,keyasint"`
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
}

// Error implements error.
func (r *Refusal) Error() string { return string(r.Code) + ": " + r.Detail }

// Declaration is what an origin tells a new arbiter of its zone: the grants it
// still holds, and those it released with an unknown outcome, as started, until
// their longest run has passed. Asks that wait are sent again by the origin.
type Declaration struct {
	Origin DaemonID    `cbor:"1,keyasint"`
	Held   []HeldGrant `cbor:"2,keyasint"`
}

// HeldGrant is a grant that an origin has used and not yet released.
type HeldGrant struct {
	Grant Grant `cbor:"1,keyasint"`
	// Started tells whether bytes went to the endpoint.
	Started bool `cbor:"2,keyasint"`
	// Running is the time since the first byte.
	Running time.Duration `cbor:"3,keyasint"`
}
