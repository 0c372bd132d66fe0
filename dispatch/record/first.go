package record

import "time"

// BeginAsFirst ends the abstention of a daemon of which no former incarnation
// existed. Call it only when that is certain, for example because a replicated
// registry of daemons had no entry of this name before.
func (s *Service) BeginAsFirst() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keeper.abstainUntil = time.Time{}
	s.inheritUntil = time.Time{}
}
