package endpoint

// State is the registry's view of an endpoint.
type State string

// States of an endpoint: a closed list.
const (
	// StateReady endpoints may be given work.
	StateReady State = "ready"
	// StateLeaving endpoints finish what runs and get nothing new.
	StateLeaving State = "leaving"
	// StateLapsed endpoints let their lease pass without a word.
	StateLapsed State = "lapsed"
	// StateEjected endpoints failed all they got and wait for a trial.
	StateEjected State = "ejected"
	// StateGone endpoints are forgotten once peers have been told.
	StateGone State = "gone"
)

// event is what moves an endpoint from one state to another.
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

// next is the only transition function of State. It reports false, with the
// state unchanged, for an event that does not apply.
func next(s State, ev event) (State, bool) {
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
