package jobs

// Protection names one protection that a test turns off.
type Protection int

// Protections of the state.
const (
	NoProtection Protection = iota
	ProtectRun
	ProtectLimit
	ProtectLease
	ProtectPast
)

// TurnOff turns the protection off.
func (s *State) TurnOff(p Protection) {
	s.opts.ignoreRun = p == ProtectRun
	s.opts.ignoreLimit = p == ProtectLimit
	s.opts.ignoreLease = p == ProtectLease
	s.opts.ignorePast = p == ProtectPast
}
