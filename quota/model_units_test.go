package quota

import "time"

// unitInState returns the n-th unit in a state, modulo their number, or nil if
// there is none.
func (m *model) unitInState(s unitState, n int) *unit {
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

// deliver delivers a grant to an origin, after any delay.
func (m *model) deliver(n, o int) {
	u := m.unitInState(inFlight, n)
	if u == nil {
		return
	}
	to := m.origins[o]
	fresh := m.now < to.freshUntil || m.originChecksDisabled
	newest := to.terms[u.zone] == u.term || m.originChecksDisabled
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
	u := m.unitInState(received, n)
	if u == nil {
		return
	}
	if !u.alive || m.now > u.startUntil {
		u.state = ended
		m.release(u)
		return
	}
	u.state = running
	// The run time is measured on a clock that may run slow by the drift bound.
	u.end = m.now + time.Duration(float64(u.run)*(1+1.0/DriftDivisor))
	m.started++
}

func (m *model) finish(n int) {
	u := m.unitInState(running, n)
	if n%3 == 0 {
		u = m.unitInState(ended, n)
	}
	if u == nil {
		return
	}
	u.state = ended
	if u.alive {
		m.release(u)
	}
}

// release releases the unit at the arbiter that counts it.
func (m *model) release(u *unit) {
	if !u.released {
		u.released = true
		u.owner.Release(modelTeam)
	}
}
