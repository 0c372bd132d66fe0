package record

import "time"

// BeginAsFirst ends the abstention of a daemon of which no former incarnation
// existed. Call it only when that is certain, for example because a replicated
// registry of daemons had no entry of this name before.
//
// An incarnation that the registry never learned of must not have voted either:
// set Config.AwaitRegistration, and call Registered in place of BeginAsFirst.
func (s *Service) BeginAsFirst() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beginAsFirst()
}

// beginAsFirst must be called with the lock held.
func (s *Service) beginAsFirst() {
	s.keeper.abstainUntil = time.Time{}
	s.inheritUntil = time.Time{}
}

// Registered tells that the registry of daemons holds this incarnation, and
// whether it is the first of its name there. Until then a service with
// AwaitRegistration abstains, however long it has been running. It may be
// called again; a call that tells first counts at any time, since a repeated
// registration is not told first.
func (s *Service) Registered(first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keeper.unregistered = false
	if first {
		s.beginAsFirst()
	}
}
