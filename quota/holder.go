package quota

import (
	"sort"
	"sync"
	"time"
)

// reportDivisor sets the report threshold: a count is reported again once it
// changed by its reported value divided by this.
const reportDivisor = 8

// reportEvery is the number of demands after which a smaller change is reported.
const reportEvery = 8

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
	// endless disables the lease, for tests of the checkers.
	endless bool

	mu       sync.Mutex
	ended    bool
	leaseEnd time.Duration
	leased   bool
	index    uint64
	teams    map[string]*holding
	exchange exchange
}

// exchange tracks what a holder and the newest balancer know of each other.
type exchange struct {
	epoch     uint64
	have      uint64 // newest renewal of the epoch
	sent      uint64 // newest demand
	confirmed uint64 // newest demand that the balancer confirmed
}

// holding is the state of one team at a holder.
type holding struct {
	granted  uint64
	returned uint64
	target   uint64 // of returned units
	running  int64
	waiting  int64
	frozen   bool
	// reported is the demand as last reported, changed the demand that first did.
	reported TeamDemand
	changed  uint64
}

// idle returns the units that nothing uses.
func (h *holding) idle() int64 { return int64(h.granted-h.returned) - h.running }

// handBack returns idle units as far as the leader asked for them.
func (h *holding) handBack() {
	n := h.idle()
	if !h.frozen {
		n = min(n, int64(h.target)-int64(h.returned))
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
		teams:  make(map[string]*holding),
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
	t.handBack()
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
	if h.endless {
		return true
	}
	return !h.ended && h.leased && h.clock() < h.leaseEnd
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
	h.leased = true
	newest := r.Index >= h.index
	h.index = max(h.index, r.Index)
	h.exchange.confirm(r)
	for i := range r.Teams {
		h.renewTeam(&r.Teams[i], newest)
	}
	return true
}

func (h *Holder) renewTeam(r *Holding, newest bool) {
	t := h.team(r.Team)
	t.granted = max(t.granted, r.Granted)
	t.target = max(t.target, r.ReturnTarget)
	if newest {
		t.frozen = r.Frozen
	}
	t.handBack()
}

// confirm takes note of a renewal. A newer balancer begins anew.
func (e *exchange) confirm(r *Renewal) {
	if r.Epoch > e.epoch {
		*e = exchange{epoch: r.Epoch, sent: e.sent}
	}
	if r.Epoch == e.epoch {
		e.have = max(e.have, r.Seq)
		e.confirmed = max(e.confirmed, r.Reported)
	}
}

// Demand reports the teams whose demand changed since the report that the
// balancer confirmed, in order of name.
func (h *Holder) Demand() Demand {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.exchange.sent++
	d := Demand{Zone: h.zone, Term: h.term, Seq: h.exchange.sent, Epoch: h.exchange.epoch, Have: h.exchange.have}
	for name, t := range h.teams {
		t.report(name, d.Seq)
		if t.changed > h.exchange.confirmed {
			d.Teams = append(d.Teams, t.reported)
		}
	}
	sort.Slice(d.Teams, func(i, j int) bool { return d.Teams[i].Team < d.Teams[j].Team })
	return d
}

// report updates the reported demand if it changed enough to matter, or some
// time ago.
func (h *holding) report(team string, seq uint64) {
	now := TeamDemand{Team: team, Running: h.running, Waiting: h.waiting, Returned: h.returned}
	old := h.reported
	matters := h.changed == 0 || old.Returned != now.Returned ||
		differs(old.Running, now.Running) || differs(old.Waiting, now.Waiting)
	due := old != now && seq-h.changed >= reportEvery
	if !matters && !due {
		return
	}
	h.reported = now
	h.changed = seq
}

// differs reports whether a count changed by the report threshold, or became or
// ceased to be zero. Counts below the threshold's divisor are reported exactly.
func differs(old, now int64) bool {
	diff := max(old-now, now-old)
	return diff > 0 && (diff*reportDivisor >= old || now == 0)
}

func (h *Holder) team(name string) *holding {
	t, ok := h.teams[name]
	if !ok {
		t = &holding{}
		h.teams[name] = t
	}
	return t
}
