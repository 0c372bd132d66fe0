package endpoint

// State is the registry's view of an endpoint.
type State string

// States of an endpoint.
const (
	// StateReady means that the endpoint may receive requests.
	StateReady State = "ready"
	// StateLeaving means that the endpoint finishes its running requests and
	// receives no new ones.
	StateLeaving State = "leaving"
	// StateLapsed means that the endpoint did not renew its lease.
	StateLapsed State = "lapsed"
	// StateEjected means that requests to the endpoint failed and that its
	// back-off has not passed.
	StateEjected State = "ejected"
	// StateGone means that the endpoint has been absent for long or has not
	// announced itself yet. The entry is kept until peers have learned of the
	// absence.
	StateGone State = "gone"
)

// event triggers a state transition of an endpoint.
type event uint8

const (
	eventAnnouncedReady event = iota + 1
	eventAnnouncedLeaving
	eventRestarted // a new incarnation announced itself as ready
	eventLeaseLapsed
	eventEjected
	eventBackoffPassed
	eventForgotten
)

// nextState is the transition function of State. For an event that does not
// apply, it returns the state unchanged and false.
func nextState(s State, ev event) (State, bool) {
	switch s {
	case StateReady:
		return nextFromReady(ev)
	case StateLeaving:
		return nextFromLeaving(ev)
	case StateEjected:
		return nextFromEjected(ev)
	case StateLapsed, StateGone:
		return nextFromAbsent(s, ev)
	}
	return s, false
}

func nextFromReady(ev event) (State, bool) {
	switch ev {
	case eventAnnouncedReady, eventRestarted:
		return StateReady, true
	case eventAnnouncedLeaving:
		return StateLeaving, true
	case eventLeaseLapsed:
		return StateLapsed, true
	case eventEjected:
		return StateEjected, true
	case eventBackoffPassed, eventForgotten:
	}
	return StateReady, false
}

func nextFromLeaving(ev event) (State, bool) {
	switch ev {
	case eventAnnouncedReady, eventRestarted:
		return StateReady, true
	case eventAnnouncedLeaving:
		return StateLeaving, true
	case eventLeaseLapsed:
		return StateLapsed, true
	case eventEjected, eventBackoffPassed, eventForgotten:
	}
	return StateLeaving, false
}

func nextFromEjected(ev event) (State, bool) {
	switch ev {
	case eventAnnouncedReady:
		return StateEjected, true
	case eventRestarted, eventBackoffPassed:
		return StateReady, true
	case eventAnnouncedLeaving:
		return StateLeaving, true
	case eventLeaseLapsed:
		return StateLapsed, true
	case eventEjected, eventForgotten:
	}
	return StateEjected, false
}

func nextFromAbsent(s State, ev event) (State, bool) {
	switch ev {
	case eventAnnouncedReady, eventRestarted:
		return StateReady, true
	case eventAnnouncedLeaving:
		return StateLeaving, true
	case eventForgotten:
		return StateGone, s == StateLapsed
	case eventLeaseLapsed, eventEjected, eventBackoffPassed:
	}
	return s, false
}
