package placement

import "math"

// Parameters of a ledger, in milliseconds.
const (
	// debtDecay is the time constant with which debts are forgotten.
	debtDecay Millis = 5 * 60_000
	// debtHorizon is the time over which a debt is to be settled.
	debtHorizon Millis = 10_000
)

// Ledger tracks for each team of a pool how much it used beyond its
// entitlement while the pool was full. The order of teams settles the debts,
// so that shares come out over time although tasks are not divisible. It is
// not safe for concurrent use.
type Ledger struct {
	last Millis
	debt map[string]float64
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{debt: map[string]float64{}} }

// Account adds the time since the previous call, with the teams' present use
// and demand. Full tells whether tasks waited for want of room.
func (l *Ledger) Account(now Millis, teams []TeamUse, full bool) {
	elapsed := float64(now - l.last)
	l.last = now
	keep := math.Exp(-elapsed / float64(debtDecay))
	capacity := 0.0
	for n := range teams {
		l.debt[teams[n].Team] *= keep
		capacity += teams[n].Use
	}
	if !full {
		return
	}
	for n, entitled := range Entitlements(capacity, teams) {
		l.debt[teams[n].Team] += (teams[n].Use - entitled) * elapsed / float64(debtHorizon)
	}
}

// Debt returns the use that the team should now be charged on top of its own.
func (l *Ledger) Debt(team string) float64 { return l.debt[team] }
