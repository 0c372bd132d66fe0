package quota

import (
	"sort"
	"sync"
	"time"
)

// reportThresholdDivisor sets the report threshold: a count is reported again once
// it differs by at least its last reported value divided by this.
const reportThresholdDivisor = 8

// reportInterval is the number of demands after which a change below the threshold
// is reported too.
const reportInterval = 8

// Clock returns the monotonic time since an arbitrary start. It continues while
// the process is stopped.
type Clock func() time.Duration

// Holder admits the work of teams against the units that one arbiter term holds.
// It is safe for concurrent use. A new term needs a new Holder.
type Holder struct {
	zone   string
	term   uint64
	bounds Bounds
	clock  Clock
	// leaseExpiryDisabled skips the lease check, so that tests can verify that
	// their checker detects the violation.
	leaseExpiryDisabled bool

	mu          sync.Mutex
	ended       bool
	leaseEnd    time.Duration
	renewed     bool
	newestIndex uint64
	teams       map[string]*teamHolding
	exchange    exchange
}

// exchange tracks which demands and renewals a holder and the newest balancer have
// confirmed to each other.
type exchange struct {
	epoch           uint64
	appliedRenewal  uint64 // Seq of the newest renewal of the epoch
	sentDemand      uint64 // Seq of the newest demand
	confirmedDemand uint64 // Seq of the newest demand that the balancer confirmed
}

// teamHolding is the state of one team at a holder.
type teamHolding struct {
	granted      uint64
	returned     uint64
	returnTarget uint64 // total units to return
	running      int64
	waiting      int64
	frozen       bool
	// reported is the last reported demand of the team, and changedIn the Seq of
	// the demand in which it last changed.
	reported  TeamDemand
	changedIn uint64
}

// idle returns the number of held units that are not in use.
func (h *teamHolding) idle() int64 { return int64(h.granted-h.returned) - h.running }

// returnIdle returns idle units up to the return target, or all of them while the
// team is frozen.
func (h *teamHolding) returnIdle() {
	n := h.idle()
	if !h.frozen {
		n = min(n, int64(h.returnTarget)-int64(h.returned))
	}
	if n > 0 {
		h.returned += uint64(n)
	}
}

// NewHolder returns a holder without a lease.
func NewHolder(zone string, term uint64, b Bounds, clock Clock) *Holder {
	return &Holder{
		zone:   zone,
		term:   term,
		bounds: b,
		clock:  clock,
		teams:  make(map[string]*teamHolding),
	}
}

// Acquire takes one unit of team for one request or task. It returns false if no
// unit is idle or the lease has expired. The clock is read inside the call, so a
// pause of the process before the call is accounted for. The caller starts the
// work within Bounds.StartWithin of receipt of the grant or releases the unit.
func (h *Holder) Acquire(team string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	t, ok := h.teams[team]
	if !ok || !h.leasedLocked() || t.idle() <= 0 {
		return false
	}
	t.running++
	return true
}

// Release frees one unit of team. It must be called once for each acquired or
// adopted unit, and only when the work can no longer be running.
func (h *Holder) Release(team string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t, ok := h.teams[team]
	if !ok || t.running == 0 {
		return
	}
	t.running--
	t.returnIdle()
}

// Adopt records units of the zone's ended terms that an origin declared as
// running. They occupy units of this term, which a Transfer assigns to it.
func (h *Holder) Adopt(team string, units int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.team(team).running += max(units, 0)
}

// SetWaiting records how many requests of team only lack a unit to start.
func (h *Holder) SetWaiting(team string, n int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.team(team).waiting = max(n, 0)
}

// Leased reports whether the lease is valid now.
func (h *Holder) Leased() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leasedLocked()
}

func (h *Holder) leasedLocked() bool {
	if h.leaseExpiryDisabled {
		return true
	}
	return !h.ended && h.renewed && h.clock() < h.leaseEnd
}

// End ends the holder: later calls of Acquire fail.
func (h *Holder) End() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended = true
}

// Idle returns the number of idle units of team.
func (h *Holder) Idle(team string) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if t, ok := h.teams[team]; ok {
		return max(t.idle(), 0)
	}
	return 0
}

// Renew applies the renewal that answers a demand sent at sentAt on the holder's
// clock. It ignores renewals of other terms and reports whether it applied r.
// Renewals may be repeated or reordered.
func (h *Holder) Renew(r *Renewal, sentAt time.Duration) bool {
	if r.Zone != h.zone || r.Term != h.term {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaseEnd = max(h.leaseEnd, sentAt+h.bounds.holderLease())
	h.renewed = true
	newest := r.Index >= h.newestIndex
	h.newestIndex = max(h.newestIndex, r.Index)
	h.exchange.recordRenewal(r)
	for i := range r.Teams {
		h.renewTeam(&r.Teams[i], newest)
	}
	return true
}

func (h *Holder) renewTeam(r *TeamRenewal, newest bool) {
	t := h.team(r.Team)
	t.granted = max(t.granted, r.Granted)
	t.returnTarget = max(t.returnTarget, r.ReturnTarget)
	if newest {
		t.frozen = r.Frozen
	}
	t.returnIdle()
}

// recordRenewal updates the exchange from a renewal. A newer balancer resets it.
func (e *exchange) recordRenewal(r *Renewal) {
	if r.Epoch > e.epoch {
		*e = exchange{epoch: r.Epoch, sentDemand: e.sentDemand}
	}
	if r.Epoch == e.epoch {
		e.appliedRenewal = max(e.appliedRenewal, r.Seq)
		e.confirmedDemand = max(e.confirmedDemand, r.ConfirmedDemand)
	}
}

// Demand returns the next demand, with the teams whose demand changed since the
// one that the balancer confirmed, sorted by name.
func (h *Holder) Demand() Demand {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.exchange.sentDemand++
	d := Demand{Zone: h.zone, Term: h.term, Seq: h.exchange.sentDemand, Epoch: h.exchange.epoch, AppliedRenewal: h.exchange.appliedRenewal}
	for name, t := range h.teams {
		t.updateReport(name, d.Seq)
		if t.changedIn > h.exchange.confirmedDemand {
			d.Teams = append(d.Teams, t.reported)
		}
	}
	sort.Slice(d.Teams, func(i, j int) bool { return d.Teams[i].Team < d.Teams[j].Team })
	return d
}

// updateReport updates the reported demand if the change is significant or
// reportInterval demands have passed since the last update.
func (h *teamHolding) updateReport(team string, seq uint64) {
	now := TeamDemand{Team: team, Running: h.running, Waiting: h.waiting, Returned: h.returned}
	old := h.reported
	significant := h.changedIn == 0 || old.Returned != now.Returned ||
		significantChange(old.Running, now.Running) || significantChange(old.Waiting, now.Waiting)
	due := old != now && seq-h.changedIn >= reportInterval
	if !significant && !due {
		return
	}
	h.reported = now
	h.changedIn = seq
}

// significantChange reports whether a count changed by at least the report
// threshold, or changed from or to zero. For counts up to reportThresholdDivisor
// every change is significant.
func significantChange(old, now int64) bool {
	diff := max(old-now, now-old)
	return diff > 0 && (diff*reportThresholdDivisor >= old || now == 0)
}

func (h *Holder) team(name string) *teamHolding {
	t, ok := h.teams[name]
	if !ok {
		t = &teamHolding{}
		h.teams[name] = t
	}
	return t
}

// TeamUnits is the state of one team at a holder.
type TeamUnits struct {
	Team string
	// Running is the number of units in use, Idle the number that can be acquired,
	// and Waiting the number of requests that SetWaiting recorded.
	Running, Idle, Waiting int64
	// Frozen reports whether the team holds more units than its limit.
	Frozen bool
}

// Teams returns the state of all teams, sorted by name.
func (h *Holder) Teams() []TeamUnits {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := make([]TeamUnits, 0, len(h.teams))
	for name, t := range h.teams {
		list = append(list, TeamUnits{Team: name, Running: t.running, Idle: max(t.idle(), 0), Waiting: t.waiting, Frozen: t.frozen})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Team < list[j].Team })
	return list
}
