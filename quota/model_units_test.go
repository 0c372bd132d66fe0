package quota

import "time"

// choose returns the n-th unit in a state.
func (m *model) choose(s unitState, n int) *unit {
	var found []*unit
	for _, u := range m.units {
		if u.state == s {
			found = append(found, u)
		}
	}
	if len(found) == 0 {
		return nil
	}
	return found[n%len(found)]
}

// deliver brings a grant to an origin, however late.
func (m *model) deliver(n, o int) {
	u := m.choose(inFlight, n)
	if u == nil {
		return
	}
	to := m.origins[o]
	fresh := m.now < to.freshUntil || m.credulous
	newest := to.terms[u.zone] == u.term || m.credulous
	if !fresh || !newest {
		u.state = ended
		m.release(u)
		return
	}
	u.state = received
	u.origin = o
	u.run = min(u.run, to.run)
	u.startUntil = m.now + time.Duration(float64(modelBounds.StartWithin)/to.rate)
}

func (m *model) start(n int) {
	u := m.choose(received, n)
	if u == nil {
		return
	}
	if !u.alive || m.now > u.startUntil {
		u.state = ended
		m.release(u)
		return
	}
	u.state = running
	// The run is bounded on a clock that may be slow.
	u.end = m.now + time.Duration(float64(u.run)*(1+1.0/DriftDivisor))
	m.started++
}

func (m *model) finish(n int) {
	u := m.choose(running, n)
	if n%3 == 0 {
		u = m.choose(ended, n)
	}
	if u == nil {
		return
	}
	u.state = ended
	if u.alive {
		m.release(u)
	}
}

// release tells the arbiter that counts the unit.
func (m *model) release(u *unit) {
	if !u.released {
		u.released = true
		u.owner.Release(modelTeam)
	}
}
