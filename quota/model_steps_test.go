package quota

import "time"

// Composite steps reach states that single steps rarely reach.

// round runs renewals, plans, commits and configuration refreshes without faults.
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
		m.refreshOrigin(o)
	}
}

// startAllUnits lets every current arbiter start as many units as it can.
func (m *model) startAllUnits() {
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

// delayedAssign commits an assignment and a command long after both were proposed.
// The old arbiter continues to start work until the commit.
func (m *model) delayedAssign(zone string) {
	m.propose(entry{zone: zone})
	m.propose(entry{})
	m.advance(9 * time.Second)
	m.renew(m.current[zone], false)
	m.refreshOrigin(m.origins[0])
	m.acquire(m.current[zone])
	m.deliver(0, 0)
	m.start(0)
	m.commitAll()
	m.round()
}

// failover replaces an arbiter. The old arbiter continues until its lease expires.
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
	m.collectDeclarations(zone)
	if n := len(m.proposed); n > 0 { // propose the command again
		m.propose(entry{cmd: m.proposed[n-1]})
	}
	m.commitAll()
}

// failoverAfterOriginLoss fails over a zone after one of two busy origins was lost.
func (m *model) failoverAfterOriginLoss(zone string) {
	m.startAllUnits()
	m.killOrigin(0)
	m.failover(zone, 2)
	m.startAllUnits()
}

// lowerLongestRun lowers the longest run time while work with the old one runs.
func (m *model) lowerLongestRun() {
	limit := m.ledger.Limit(modelTeam)
	m.propose(entry{limit: &limit, run: 10 * time.Second})
	m.commitAll()
	m.startAllUnits()
	m.propose(entry{limit: &limit, run: 2 * time.Second})
	m.commitAll()
}
