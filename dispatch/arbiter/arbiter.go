package arbiter

import (
	"time"

	"magnoliastand.example/dispatch"
	"magnoliastand.example/dispatch/endpoint"
)

// askKey identifies an ask: the same request may be asked for by another origin.
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

	now      time.Time
	services map[string]*service
	queues   map[string]*queue
	teams    map[string]*team
	slots    map[string]*slots
	asks     map[askKey]*waiter
	grants   map[dispatch.GrantID]*grant
	held     map[askKey]*grant // grants that a repeated ask gets again
	peers    map[string]*peer

	deadlines       indexHeap[*waiter]
	ends            indexHeap[*grant]
	recovery        recovery
	registryVersion uint64
	seq             uint64 // of grants
	arrivals        uint64 // of asks
	waiting         int
	forwarded       int

	byName  []*service // services in the order of their names
	blocked []*team    // teams that the limiter gave no unit

	dirty   []*service     // services to serve before the input returns
	skipped []*teamBacklog // lines put aside while a service is served
	events  []Event
}

// New returns an arbiter that starts its term at now. The registry is read,
// advanced and told outcomes by the arbiter; announcements and feeds go to the
// registry directly, followed by Tick or any other input.
func New(now time.Time, opts Options, cfg *Config, reg *endpoint.Registry, limiter Limiter) *Arbiter {
	return newArbiter(now, opts, mutations{}, cfg, reg, limiter)
}

func newArbiter(now time.Time, opts Options, mut mutations, cfg *Config, reg *endpoint.Registry, limiter Limiter) *Arbiter {
	a := &Arbiter{
		opts:      opts.withDefaults(),
		mutations: mut,
		reg:       reg,
		limiter:   limiter,
		now:       now,
		services:  make(map[string]*service),
		queues:    make(map[string]*queue),
		teams:     make(map[string]*team),
		slots:     make(map[string]*slots),
		asks:      make(map[askKey]*waiter),
		grants:    make(map[dispatch.GrantID]*grant),
		held:      make(map[askKey]*grant),
		peers:     make(map[string]*peer),
	}
	a.recovery = newRecovery(now, a.opts)
	a.applyConfig(cfg)
	a.sync()
	return a
}

// Term returns the arbiter's term.
func (a *Arbiter) Term() uint64 { return a.opts.Term }

// Stats counts what the arbiter holds.
type Stats struct {
	// Waiting is the number of asks that wait for a slot.
	Waiting int
	// Forwarded is the number of asks that another zone was asked to grant.
	Forwarded int
	// Granted is the number of grants whose requests may be running.
	Granted int
	// UnknownSlots is the number of slots that an earlier term may have granted.
	UnknownSlots int
}

// Stats returns the present counts.
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

// Tick lets time pass: asks whose patience ended are refused, grants past their
// longest run are freed, teams at their limit are tried again. Call it at
// NextWake and at least every half of Margin: a gap longer than Margin is taken
// for a stall of the process. The events of this and of every other
// input are valid until the next input.
func (a *Arbiter) Tick(now time.Time) []Event {
	a.begin(now)
	a.tickRecovery()
	for _, s := range a.byName {
		a.endAsksWithoutEndpoint(s)
	}
	blocked := a.blocked
	a.blocked = nil
	for _, t := range blocked {
		a.unblock(t)
	}
	return a.finish()
}

// NextWake returns when the next deadline or lease ends; zero means never. It
// may be earlier than needed.
func (a *Arbiter) NextWake() time.Time {
	wake := a.reg.NextWake()
	if a.deadlines.len() > 0 {
		wake = earliest(wake, a.deadlines.first().deadline)
	}
	if a.ends.len() > 0 {
		wake = earliest(wake, a.ends.first().endsAt)
	}
	return wake
}

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// begin starts an input: it applies the time and what the registry learned.
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
	for a.ends.len() > 0 && !a.ends.first().endsAt.After(a.now) {
		gr := a.ends.first()
		a.endGrant(gr, a.now.Sub(gr.grantedAt))
	}
}

// finish ends an input: it serves what the input made possible.
func (a *Arbiter) finish() []Event {
	a.sync()
	for len(a.dirty) > 0 {
		s := a.nextDirty()
		s.dirty = false
		a.serve(s)
	}
	return a.events
}

// nextDirty takes the service to serve next: the first by name, so that equal
// inputs give equal events.
func (a *Arbiter) nextDirty() *service {
	first := 0
	for i, s := range a.dirty {
		if s.name < a.dirty[first].name {
			first = i
		}
	}
	s := a.dirty[first]
	last := len(a.dirty) - 1
	a.dirty[first] = a.dirty[last]
	a.dirty[last] = nil
	a.dirty = a.dirty[:last]
	return s
}

// touch marks a service to be served before the input returns.
func (a *Arbiter) markDirty(s *service) {
	if s != nil && !s.dirty {
		s.dirty = true
		a.dirty = append(a.dirty, s)
	}
}

func (a *Arbiter) emit(ev Event) { a.events = append(a.events, ev) }
