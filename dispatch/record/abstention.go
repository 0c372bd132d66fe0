package record

import "time"

// BeginAsFirst ends the abstention of a daemon that has no previous
// incarnation. Call it only when that is certain, for example because a
// replicated registry of daemons had no entry with this name.
//
// An incarnation that never registered must not have voted either: set
// Config.AwaitRegistration, and call Registered instead of BeginAsFirst.
func (s *Service) BeginAsFirst() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beginAsFirst()
}

// beginAsFirst must be called with s.mu held.
func (s *Service) beginAsFirst() {
	s.acceptor.abstainUntil = time.Time{}
	s.claimDeadline = time.Time{}
}

// Registered reports that the registry of daemons contains this incarnation,
// and whether it is the first with its name. Until then a service with
// AwaitRegistration abstains, however long it has been running. Registered may
// be called more than once; a call with first set takes effect at any time,
// because the registry does not report a repeated registration as first.
func (s *Service) Registered(first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acceptor.unregistered = false
	if first {
		s.beginAsFirst()
	}
}
