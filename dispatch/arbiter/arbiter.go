package arbiter

import (
	"time"

	"magnoliastand.example/dispatch"
	"magnoliastand.example/dispatch/endpoint"
)

// askKey identifies an ask. It includes the origin because several origins may
// ask for the same request.
type askKey struct {
	requestID string
	origin    dispatch.DaemonID
}

// Arbiter grants the slots of one availability zone. It is not safe for
// concurrent use.
type Arbiter struct {
	opts      Options
	mutations mutations
	cfg       *Config
	reg       *endpoint.Registry
	limiter   Limiter

	now        time.Time
	services   map[string]*service
	queues     map[string]*queue
	teams      map[string]*team
	slots      map[string]*endpointSlots
	asks       map[askKey]*waiter
	grants     map[dispatch.GrantID]*grant
	resendable map[askKey]*grant // grants to resend when the ask is repeated
	peers      map[string]*peer

	deadlines       indexHeap[*waiter]
	grantEnds       indexHeap[*grant]
	recovery        recovery
	registryVersion uint64
	seq             uint64 // sequence number of the latest grant
	arrivals        uint64 // sequence number of the latest ask
	evacuated       bool   // no slot is granted
	waiting         int
	forwarded       int

	byName       []*service // services sorted by name
	blockedTeams []*team    // teams for which the limiter had no free unit

	dirtyServices []*service     // services to serve before the input returns
	skipped       []*teamBacklog // backlogs with no usable slot, excluded while a service is served
	events        []Event
}

// New returns an arbiter that starts its term at now. The arbiter reads and
// advances the registry and reports outcomes to it. The caller applies
// announcements and feeds to the registry directly, followed by Tick or any
// other input.
func New(now time.Time, opts Options, cfg *Config, reg *endpoint.Registry, limiter Limiter) *Arbiter {
	return newArbiter(now, opts, mutations{}, cfg, reg, limiter)
}

func newArbiter(now time.Time, opts Options, mut mutations, cfg *Config, reg *endpoint.Registry, limiter Limiter) *Arbiter {
	a := &Arbiter{
		opts:       opts.withDefaults(),
		mutations:  mut,
		reg:        reg,
		limiter:    limiter,
		evacuated:  opts.Evacuated,
		now:        now,
		services:   make(map[string]*service),
		queues:     make(map[string]*queue),
		teams:      make(map[string]*team),
		slots:      make(map[string]*endpointSlots),
		asks:       make(map[askKey]*waiter),
		grants:     make(map[dispatch.GrantID]*grant),
		resendable: make(map[askKey]*grant),
		peers:      make(map[string]*peer),
	}
	a.recovery = newRecovery(now, a.opts)
	a.applyConfig(cfg)
	a.sync()
	return a
}

// Term returns the arbiter's term.
func (a *Arbiter) Term() uint64 { return a.opts.Term }

// Stats holds the current numbers of asks, grants and unknown slots.
type Stats struct {
	// Waiting is the number of asks that wait for a slot.
	Waiting int
	// Forwarded is the number of asks forwarded to another zone.
	Forwarded int
	// Granted is the number of grants whose requests may be running.
	Granted int
	// UnknownSlots is the number of slots that an earlier term may have granted.
	UnknownSlots int
}

// Stats returns the current counts.
func (a *Arbiter) Stats() Stats {
	st := Stats{
		Waiting:   a.waiting,
		Forwarded: a.forwarded,
		Granted:   len(a.grants),
	}
	for _, sl := range a.slots {
		st.UnknownSlots += sl.unknown
	}
	return st
}

// Tick advances the time: it refuses asks whose wait limit has expired, ends
// grants past their longest run, and retries teams at their limit. Call it at
// NextWake and at least every half of Margin: a gap longer than Margin is
// treated as a suspension of the process. The events returned by this and every
// other input are valid until the next input.
func (a *Arbiter) Tick(now time.Time) []Event {
	a.begin(now)
	a.tickRecovery()
	for _, s := range a.byName {
		a.endAsksWithoutEndpoint(s)
	}
	blocked := a.blockedTeams
	a.blockedTeams = nil
	for _, t := range blocked {
		a.unblock(t)
	}
	return a.finish()
}

// NextWake returns the time of the next deadline or lease expiry, or zero if
// there is none. It may be earlier than needed.
func (a *Arbiter) NextWake() time.Time {
	wake := a.reg.NextWake()
	if a.deadlines.len() > 0 {
		wake = earliest(wake, a.deadlines.first().deadline)
	}
	if a.grantEnds.len() > 0 {
		wake = earliest(wake, a.grantEnds.first().endsAt)
	}
	return wake
}

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// begin starts an input: it applies the current time and registry updates.
func (a *Arbiter) begin(now time.Time) {
	before := a.now
	if now.After(a.now) {
		a.now = now
	}
	if a.now.Sub(before) > a.opts.Margin {
		a.handleStall(before)
	}
	clear(a.events)
	a.events = a.events[:0]
	a.sync()
	for a.deadlines.len() > 0 && !a.deadlines.first().deadline.After(a.now) {
		a.expireAsk(a.deadlines.first())
	}
	for a.grantEnds.len() > 0 && !a.grantEnds.first().endsAt.After(a.now) {
		gr := a.grantEnds.first()
		a.endGrant(gr, a.now.Sub(gr.grantedAt))
	}
}

// finish ends an input: it serves the services that the input marked dirty.
func (a *Arbiter) finish() []Event {
	a.sync()
	for len(a.dirtyServices) > 0 {
		s := a.nextDirty()
		s.dirty = false
		a.serve(s)
	}
	return a.events
}

// nextDirty removes and returns the first dirty service by name, so that equal
// inputs produce equal events.
func (a *Arbiter) nextDirty() *service {
	first := 0
	for i, s := range a.dirtyServices {
		if s.name < a.dirtyServices[first].name {
			first = i
		}
	}
	s := a.dirtyServices[first]
	last := len(a.dirtyServices) - 1
	a.dirtyServices[first] = a.dirtyServices[last]
	a.dirtyServices[last] = nil
	a.dirtyServices = a.dirtyServices[:last]
	return s
}

// markDirty schedules a service to be served before the input returns.
func (a *Arbiter) markDirty(s *service) {
	if s != nil && !s.dirty {
		s.dirty = true
		a.dirtyServices = append(a.dirtyServices, s)
	}
}

func (a *Arbiter) emit(ev Event) { a.events = append(a.events, ev) }
