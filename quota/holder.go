package quota

import (
	"sort"
	"sync"
	"time"
)

// reportThresholdDivisor sets the report threshold: a count is reported again once it
// changed by its reported value divided by this.
const reportThresholdDivisor = 8

// reportInterval is the number of demands after which a smaller change is reported.
const reportInterval = 8

// Clock returns the monotonic time since an arbitrary start. It counts while
// the process is stopped.
type Clock func() time.Duration

// Holder admits work of teams against the units that one arbiter term holds. It
// is safe for concurrent use. A new term needs a new Holder.
type Holder struct {
	zone   string
	term   uint64
	bounds Bounds
	clock  Clock
	// leaseExpiryDisabled disables the lease, for tests of the checkers.
	leaseExpiryDisabled bool

	mu          sync.Mutex
	ended       bool
	leaseEnd    time.Duration
	renewed     bool
	newestIndex uint64
	teams       map[string]*teamHolding
	exchange    exchange
}

// exchange tracks what a holder and the newest balancer know of each other.
type exchange struct {
	epoch           uint64
	appliedRenewal  uint64 // newest renewal of the epoch
	sentDemand      uint64 // newest demand
	confirmedDemand uint64 // newest demand that the balancer confirmed
}

// teamHolding is the state of one team at a holder.
type teamHolding struct {
	granted      uint64
	returned     uint64
	returnTarget uint64 // of returned units
	running      int64
	waiting      int64
	frozen       bool
	// reported is the demand as last reported, changed the demand that first did.
	reported  TeamDemand
	changedIn uint64
}

// idle returns the units that nothing uses.
func (h *teamHolding) idle() int64 { return int64(h.granted-h.returned) - h.running }

// returnIdle returns idle units as far as the leader asked for them.
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

// Acquire takes one unit of team for one piece of work. It reports false if no
// unit is idle or the lease has lapsed; the clock is read after any pause of
// the process before the call. The caller starts the work within
// Bounds.StartWithin of the grant's receipt or releases the unit.
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

// Release frees one unit of team. The caller calls it once for each Acquire or
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

// Adopt counts units of ended terms of the zone that an origin declared as
// running. They occupy units of this term, which Transfer brings.
func (h *Holder) Adopt(team string, units int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.team(team).running += max(units, 0)
}

// SetWaiting records how many requests of team could start if units were held.
func (h *Holder) SetWaiting(team string, n int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.team(team).waiting = max(n, 0)
}

// Leased reports whether the lease covers this moment.
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

// End ends the holder: nothing can be acquired from now on.
func (h *Holder) End() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended = true
}

// Idle returns the idle units of team.
func (h *Holder) Idle(team string) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if t, ok := h.teams[team]; ok {
		return max(t.idle(), 0)
	}
	return 0
}

// Renew applies the leader's answer to a demand that was sent at askedAt, on
// the holder's clock. Answers of other terms are ignored; repeated and
// reordered answers change nothing. It reports whether the answer was used.
func (h *Holder) Renew(r *Renewal, askedAt time.Duration) bool {
	if r.Zone != h.zone || r.Term != h.term {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaseEnd = max(h.leaseEnd, askedAt+h.bounds.holderLease())
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

// recordRenewal takes note of a renewal. A newer balancer begins anew.
func (e *exchange) recordRenewal(r *Renewal) {
	if r.Epoch > e.epoch {
		*e = exchange{epoch: r.Epoch, sentDemand: e.sentDemand}
	}
	if r.Epoch == e.epoch {
		e.appliedRenewal = max(e.appliedRenewal, r.Seq)
		e.confirmedDemand = max(e.confirmedDemand, r.ConfirmedDemand)
	}
}

// Demand reports the teams whose demand changed since the report that the
// balancer confirmed, in order of name.
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

// updateReport updates the reported demand if it changed enough to matter, or some
// time ago.
func (h *teamHolding) updateReport(team string, seq uint64) {
	now := TeamDemand{Team: team, Running: h.running, Waiting: h.waiting, Returned: h.returned}
	old := h.reported
	matters := h.changedIn == 0 || old.Returned != now.Returned ||
		significantChange(old.Running, now.Running) || significantChange(old.Waiting, now.Waiting)
	due := old != now && seq-h.changedIn >= reportInterval
	if !matters && !due {
		return
	}
	h.reported = now
	h.changedIn = seq
}

// significantChange reports whether a count changed by the report threshold, or became or
// ceased to be zero. Counts below the threshold's divisor are reported exactly.
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

// TeamUnits is what a holder has of one team.
type TeamUnits struct {
	Team string
	// Running units are in use, Idle ones can be acquired, Waiting is what
	// SetWaiting recorded.
	Running, Idle, Waiting int64
	// Frozen tells that the team holds more units than its limit.
	Frozen bool
}

// Teams lists what the holder has, in order of the teams' names.
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
