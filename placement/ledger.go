package placement

import "math"

// Time constants of a ledger, in milliseconds.
const (
	// debtTimeConstant is the time constant of the exponential decay of debts.
	debtTimeConstant Millis = 5 * 60_000
	// debtSettleTime is the time over which a debt is settled.
	debtSettleTime Millis = 10_000
)

// Ledger tracks the usage of each team of a pool beyond its entitlement while
// the pool is full. The order of teams takes these debts into account, so that
// usage converges to the shares over time although tasks are indivisible. A
// Ledger is not safe for concurrent use.
type Ledger struct {
	lastUpdate Millis
	debt       map[string]float64
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{debt: map[string]float64{}} }

// Account updates the debts for the time since the previous call from the
// current usage and demand of the teams. Full is set if tasks are waiting for
// capacity.
func (l *Ledger) Account(now Millis, teams []TeamUse, full bool) {
	elapsed := float64(now - l.lastUpdate)
	l.lastUpdate = now
	retained := math.Exp(-elapsed / float64(debtTimeConstant))
	capacity := 0.0
	for n := range teams {
		l.debt[teams[n].Team] *= retained
		capacity += teams[n].Use
	}
	if !full {
		return
	}
	for n, entitled := range Entitlements(capacity, teams) {
		l.debt[teams[n].Team] += (teams[n].Use - entitled) * elapsed / float64(debtSettleTime)
	}
}

// Debt returns the usage to charge to the team in addition to its current usage.
func (l *Ledger) Debt(team string) float64 { return l.debt[team] }
