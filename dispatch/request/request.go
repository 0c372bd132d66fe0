// Package request defines the states and transitions of a request at its
// origin, and determines what a caller may be told about whether its request
// ran.
//
// "Not run" is true as long as no attempt of the request may have reached an
// endpoint that accepted it. Once the first byte of an attempt was sent, "not
// run" is true again only if the endpoint states that it did not accept the
// attempt.
package request

import (
	"strconv"
	"sync"

	"github.com/pkg/errors"

	"magnoliastand.example/api"
	"magnoliastand.example/invariant"
)

// State is a request's state at its origin.
type State uint8

// States of a request. Answered, Refused and Unknown are final.
const (
	// Received means that the request was read and no decision was made.
	Received State = iota + 1
	// Waiting means that the origin is requesting a slot from an arbiter.
	Waiting
	// Granted means that a slot is held and no byte of this attempt was sent.
	Granted
	// Dispatching means that bytes may have reached an endpoint.
	Dispatching
	// Answered means that the complete answer of an endpoint was received.
	Answered
	// Refused means that the request did not run and will not run.
	Refused
	// Unknown means that the request may have run and no complete answer was
	// received.
	Unknown
)

var stateNames = [...]string{
	"invalid", "received", "waiting", "granted", "dispatching", "answered", "refused", "unknown",
}

func (s State) String() string { return nameOf(stateNames[:], int(s)) }

// Final reports whether s has no outgoing transitions.
func (s State) Final() bool { return s >= Answered }

// Event triggers a state transition of a request.
type Event uint8

// Events of a request.
const (
	// Ask starts the wait for a slot.
	Ask Event = iota + 1
	// Grant is the arbiter's grant of a slot.
	Grant
	// Withdraw returns an unused grant; the request asks again.
	Withdraw
	// Send precedes the first byte sent to an endpoint.
	Send
	// NotAccepted reports that the endpoint stated that it did not accept the
	// attempt.
	NotAccepted
	// Retry starts over after an attempt that may have run. It is allowed for
	// idempotent requests only.
	Retry
	// Answer is the complete answer to the request, from an endpoint or from
	// the record store.
	Answer
	// Refuse ends a request that did not run.
	Refuse
	// EndUnknown ends a request that may have run and has no complete answer.
	EndUnknown
)

var eventNames = [...]string{
	"invalid", "ask", "grant", "withdraw", "send", "not-accepted", "retry", "answer", "refuse", "lose",
}

func (e Event) String() string { return nameOf(eventNames[:], int(e)) }

func nameOf(names []string, i int) string {
	if i < len(names) {
		return names[i]
	}
	return strconv.Itoa(i)
}

// Next returns the state that follows s on e. If e is not allowed in s, it
// returns s and false.
func Next(s State, e Event) (State, bool) {
	switch s {
	case Received:
		return fromReceived(e)
	case Waiting:
		return fromWaiting(e)
	case Granted:
		return fromGranted(e)
	case Dispatching:
		return fromDispatching(e)
	default:
		return s, false
	}
}

func fromReceived(e Event) (State, bool) {
	switch e {
	case Ask:
		return Waiting, true
	case Answer:
		return Answered, true
	case Refuse:
		return Refused, true
	case EndUnknown:
		return Unknown, true
	default:
		return Received, false
	}
}

func fromWaiting(e Event) (State, bool) {
	switch e {
	case Grant:
		return Granted, true
	case Refuse:
		return Refused, true
	case EndUnknown:
		return Unknown, true
	default:
		return Waiting, false
	}
}

func fromGranted(e Event) (State, bool) {
	switch e {
	case Send:
		return Dispatching, true
	case Withdraw:
		return Waiting, true
	case Refuse:
		return Refused, true
	case EndUnknown:
		return Unknown, true
	default:
		return Granted, false
	}
}

func fromDispatching(e Event) (State, bool) {
	switch e {
	case Answer:
		return Answered, true
	case NotAccepted, Retry:
		return Waiting, true
	case EndUnknown:
		return Unknown, true
	default:
		return Dispatching, false
	}
}

// ErrTransition is the cause of errors for events that are not allowed in the
// current state.
var ErrTransition = errors.New("event not allowed in this state")

// ErrMayHaveRun is the cause of errors for a send, retry or refusal that is not
// allowed because an attempt may have run.
var ErrMayHaveRun = errors.New("an earlier attempt may have run")

// Tracker tracks the state of one request. It asserts that a request that may
// have run is never refused as "not run" and that a non-idempotent request
// starts at most once. It is safe for concurrent use.
type Tracker struct {
	id         string
	idempotent bool

	mu       sync.Mutex
	state    State
	attempts int
	// mayHaveRun is set on Retry and EndUnknown, or initially if an earlier
	// attempt may have run. It is never cleared.
	mayHaveRun bool
}

// NewTracker returns a tracker in state Received. The parameter earlier states
// that an attempt through another origin may have run.
func NewTracker(id string, idempotent, earlier bool) *Tracker {
	return &Tracker{id: id, idempotent: idempotent, state: Received, mayHaveRun: earlier}
}

// State returns the current state.
func (t *Tracker) State() State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state
}

// Attempts returns the number of attempts sent.
func (t *Tracker) Attempts() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.attempts
}

// Apply performs the transition for e. On an error the state is unchanged and
// the caller must not act on e: after a failed Send it must not write a byte to
// the endpoint.
func (t *Tracker) Apply(e Event) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	next, ok := Next(t.state, e)
	if !ok {
		return errors.Wrapf(ErrTransition, "%s in state %s", e, t.state)
	}
	if err := t.checkAllowed(e); err != nil {
		return err
	}
	t.recordEffects(e)
	t.state = next
	return nil
}

// checkAllowed checks the conditions that depend on earlier attempts.
func (t *Tracker) checkAllowed(e Event) error {
	switch e {
	case Send:
		if !invariant.Check(t.idempotent || !t.mayHaveRun, invariant.AtMostOnce,
			"request %s: attempt %d after one that may have run", t.id, t.attempts+1) {
			return errors.Wrap(ErrMayHaveRun, "send")
		}
	case Retry:
		if !invariant.Check(t.idempotent, invariant.AtMostOnce,
			"request %s: retry of a non-idempotent request", t.id) {
			return errors.Wrap(ErrMayHaveRun, "retry")
		}
	case Refuse:
		if !invariant.Check(!t.mayHaveRun, invariant.NotRunIsTrue,
			"request %s: refused as not run after an attempt that may have run", t.id) {
			return errors.Wrap(ErrMayHaveRun, "refuse")
		}
	}
	return nil
}

func (t *Tracker) recordEffects(e Event) {
	switch e {
	case Send:
		t.attempts++
	case Retry, EndUnknown:
		t.mayHaveRun = true
	}
}

// End ends a request without an answer: as refused if it cannot have run,
// otherwise as unknown. It returns what the caller may be told. If the request
// has already ended, its state does not change.
func (t *Tracker) End() api.Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.state.Final() {
		return t.run()
	}
	event := Refuse
	if t.mayHaveRun || t.state == Dispatching {
		event = EndUnknown
	}
	next, ok := Next(t.state, event)
	invariant.Check(ok, invariant.NotRunIsTrue, "request %s: %s in state %s", t.id, event, t.state)
	t.recordEffects(event)
	t.state = next
	return t.run()
}

// Run returns what the caller may be told about whether the request ran.
func (t *Tracker) Run() api.Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.run()
}

func (t *Tracker) run() api.Run {
	switch {
	case t.state == Answered:
		return api.RunDone
	case t.mayHaveRun || t.state == Dispatching || t.state == Unknown:
		return api.RunUnknown
	default:
		return api.RunNot
	}
}
