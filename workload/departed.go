package workload

// departedMemory is how long a departed worker is remembered, in milliseconds. It
// exceeds the time that an announcement can be under way: the time limits of the
// daemons that forward it and a pause of one of them.
const departedMemory = 30_000

// departure is an incarnation of a worker that has departed.
type departure struct {
	_           struct{} `cbor:",toarray"`
	Worker      string
	Incarnation Millis
	// At is the leader's clock at the departure.
	At Millis
}

// HasDeparted reports whether an incarnation of a worker, or a later one, departed
// within departedMemory. An announcement of it was delayed.
func (s *State) HasDeparted(worker string, incarnation Millis) bool {
	last, ok := s.departed[worker]
	return ok && incarnation <= last
}

// addDeparture remembers a departure and forgets those that are too old.
func (s *State) addDeparture(d departure) {
	old := 0
	for old < len(s.departures) && s.departures[old].At < d.At-departedMemory {
		if e := &s.departures[old]; s.departed[e.Worker] == e.Incarnation {
			delete(s.departed, e.Worker)
		}
		old++
	}
	s.departures = append(s.departures[old:], d)
	s.departed[d.Worker] = max(s.departed[d.Worker], d.Incarnation)
}
