package jobs

// SafetyCheck identifies a safety check that a test can disable.
type SafetyCheck int

// Safety checks of the state.
const (
	NoSafetyCheck SafetyCheck = iota
	RerunCheck
	TeamLimitCheck
	LeaseCheck
	IncarnationCheck
	LateSuccessCheck
	ConfirmationCheck
	EvacuationCheck
)

// Disable disables the given safety check.
func (s *State) Disable(c SafetyCheck) {
	s.opts.ignoreMayHaveRun = c == RerunCheck
	s.opts.ignoreLimit = c == TeamLimitCheck
	s.opts.ignoreLease = c == LeaseCheck
	s.opts.ignorePastIncarnations = c == IncarnationCheck
	s.opts.ignoreConfirmation = c == ConfirmationCheck
	s.opts.ignoreLateSuccess = c == LateSuccessCheck
	s.opts.ignoreEvacuations = c == EvacuationCheck
}
