package quota

import "time"

// Composite steps reach states that single steps rarely do.

// round is a fault-free round of renewals, planning, commits and vouching.
func (m *model) round() {
	for range 2 {
		for z := range modelZones {
			m.current[zoneName(z)].SetWaiting(modelTeam, int64(1+z))
			m.renew(m.current[zoneName(z)], false)
		}
		m.plan()
		m.commitAll()
	}
	for _, o := range m.origins {
		m.vouch(o)
	}
}

// saturate lets every current arbiter start all that it may.
func (m *model) saturate() {
	m.round()
	for z := range modelZones {
		for range 6 {
			m.acquire(m.current[zoneName(z)])
		}
	}
	for range 3 * modelZones {
		m.deliver(0, m.rng.IntN(modelOrigins))
	}
	for range 2 * modelZones {
		m.start(0)
	}
}

// slowAssign commits an assignment and a command of before long after their
// proposal; the old arbiter works until the commit.
func (m *model) slowAssign(zone string) {
	m.propose(entry{zone: zone})
	m.propose(entry{})
	m.advance(9 * time.Second)
	m.renew(m.current[zone], false)
	m.vouch(m.origins[0])
	m.acquire(m.current[zone])
	m.deliver(0, 0)
	m.start(0)
	m.commitAll()
	m.round()
}

// failover replaces an arbiter, and lets the old one go on until its lease ends.
func (m *model) failover(zone string, n int) {
	old := m.current[zone]
	m.propose(entry{zone: zone})
	m.commitAll()
	m.propose(entry{})
	m.commitAll()
	m.advance(time.Duration(n%4) * 900 * time.Millisecond)
	m.acquire(old)
	m.deliver(0, n%modelOrigins)
	m.start(0)
	m.advance(time.Duration(n%3) * 1600 * time.Millisecond)
	m.propose(entry{})
	m.commitAll()
	m.declare(zone)
	if n := len(m.past); n > 0 { // the proposal is repeated
		m.propose(entry{cmd: m.past[n-1]})
	}
	m.commitAll()
}

// loseOrigin fails a zone over after one of two busy origins died.
func (m *model) loseOrigin(zone string) {
	m.saturate()
	m.killOrigin(0)
	m.failover(zone, 2)
	m.saturate()
}

// lowerRun lowers the longest run time while work under the old one runs.
func (m *model) lowerRun() {
	limit := m.ledger.Limit(modelTeam)
	m.propose(entry{limit: &limit, run: 10 * time.Second})
	m.commitAll()
	m.saturate()
	m.propose(entry{limit: &limit, run: 2 * time.Second})
	m.commitAll()
}
