package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"magnoliastand.example/api"
	"magnoliastand.example/clock"
	"magnoliastand.example/dispatch"
	"magnoliastand.example/dispatch/arbiter"
	"magnoliastand.example/dispatch/endpoint"
	"magnoliastand.example/peerlink"
)

// waiterKey identifies an ask that waits for its outcome.
type waiterKey struct {
	requestID string
	origin    dispatch.DaemonID
}

// askOutcome ends a waiting ask. A zero outcome means that the arbiter's term ended.
type askOutcome struct {
	grant   *dispatch.Grant
	refusal *dispatch.Refusal
}

// waitingAsk is an ask whose handler waits for its outcome.
type waitingAsk struct {
	team string
	// outcome takes one value.
	outcome chan askOutcome
}

// limiterHandle is the arbiter's part of the teams' limits for one term.
type limiterHandle interface {
	arbiter.Limiter
	// SetWaiting records how many asks of a team wait.
	SetWaiting(team string, n int64)
	// End ends the term: nothing can be acquired from now on.
	End()
}

// arbiterHost owns the registry of endpoints and, while this daemon is its
// zone's arbiter, the arbiter. It serialises all access to both.
type arbiterHost struct {
	zone string
	link *peerlink.Node
	log  zerolog.Logger
	// newLimiter returns the limiter of a new term.
	newLimiter func(term uint64) limiterHandle
	// arbiterOf returns the arbiters of other zones.
	arbiterOf func(zone string) (arbiterRef, bool)
	// evacuated reports whether the zone is evacuated by the view in force.
	evacuated func() bool

	mu      sync.Mutex
	reg     *endpoint.Registry
	cfg     *arbiter.Config
	arb     *arbiter.Arbiter
	limiter limiterHandle
	waiters map[waiterKey]*waitingAsk
	// waitingOf counts the waiting asks of each team.
	waitingOf map[string]int64
	// delivered holds grants whose origin may still say that it did not take them.
	delivered map[waiterKey]dispatch.GrantID
	taken     map[dispatch.GrantID]waiterKey
	forwards  map[waiterKey]context.CancelFunc
	// unclaimed holds grants that nobody waited for, until they are released.
	unclaimed []waiterKey
	// withheld is set while the zone is evacuated; withheldAsks counts the asks made
	// or waiting meanwhile.
	withheld     bool
	withheldAsks uint64
}

func newArbiterHost(zone string, link *peerlink.Node, log zerolog.Logger) *arbiterHost {
	h := &arbiterHost{
		zone: zone,
		link: link,
		log:  log,
		reg:  endpoint.NewRegistry(endpoint.Options{}),
		cfg:  arbiter.NewConfig(api.Document{}),
	}
	h.clear()
	h.register()
	return h
}

// clear drops what belongs to one term. The lock is held, or not yet shared.
func (h *arbiterHost) clear() {
	h.waiters = make(map[waiterKey]*waitingAsk)
	h.waitingOf = make(map[string]int64)
	h.delivered = make(map[waiterKey]dispatch.GrantID)
	h.taken = make(map[dispatch.GrantID]waiterKey)
	h.forwards = make(map[waiterKey]context.CancelFunc)
}

// setDocument puts a new document in force.
func (h *arbiterHost) setDocument(doc api.Document) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cfg = arbiter.NewConfig(doc)
	if h.arb != nil {
		h.deliver(h.arb.SetConfig(clock.Now(), h.cfg))
	}
}

// updateEvacuation applies the evacuation of the zone, or its end, by the view in force.
func (h *arbiterHost) updateEvacuation() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.readEvacuation() || h.arb == nil {
		return
	}
	for team := range h.waitingOf {
		h.reportWaiting(team)
	}
	h.deliver(h.arb.SetEvacuated(clock.Now(), h.withheld))
}

// readEvacuation updates withheld and reports whether it changed. The lock is held.
func (h *arbiterHost) readEvacuation() bool {
	before := h.withheld
	h.withheld = h.evacuated()
	if h.withheld && !before {
		h.withheldAsks += uint64(len(h.waiters))
	}
	return h.withheld != before
}

// withheldAskCount returns the number of asks that got no slot of this zone because it
// was evacuated.
func (h *arbiterHost) withheldAskCount() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.withheldAsks
}

// start begins a term. Recovery tells what earlier terms may have left.
func (h *arbiterHost) start(term uint64, recovery arbiter.Recovery) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopLocked()
	now := clock.Now()
	h.readEvacuation()
	h.limiter = h.newLimiter(term)
	h.reg.ShareLoad(now.Add(recoveryShareLoad))
	h.arb = arbiter.New(now, arbiter.Options{Zone: h.zone, Term: term, Recovery: recovery, Evacuated: h.withheld}, h.cfg, h.reg, h.limiter)
}

// recoveryShareLoad is how long after a change of arbiter every announcement
// is passed on with its load.
const recoveryShareLoad = 10 * time.Second

// follow notes that another daemon became arbiter.
func (h *arbiterHost) follow() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopLocked()
	h.reg.ShareLoad(clock.Now().Add(recoveryShareLoad))
}

// stopLocked ends the term: asks that wait are told that the arbiter is lost.
func (h *arbiterHost) stopLocked() {
	if h.arb == nil {
		return
	}
	h.arb = nil
	h.limiter.End()
	for _, w := range h.waiters {
		w.outcome <- askOutcome{}
	}
	for _, cancel := range h.forwards {
		cancel()
	}
	h.clear()
}

// isArbiter reports whether this daemon is the zone's arbiter.
func (h *arbiterHost) isArbiter() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.arb != nil
}

// termLocked returns the term of the running arbiter, or 0.
func (h *arbiterHost) termLocked() uint64 {
	if h.arb == nil {
		return 0
	}
	return h.arb.Term()
}

// run lets time pass for the arbiter until ctx ends.
func (h *arbiterHost) run(ctx context.Context) {
	ticker := time.NewTicker(arbiterTick)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			h.tick(clock.Now())
		case <-ctx.Done():
			h.mu.Lock()
			h.stopLocked()
			h.mu.Unlock()
			return
		}
	}
}

func (h *arbiterHost) tick(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.arb == nil {
		h.reg.Advance(now)
		return
	}
	h.deliver(h.arb.Tick(now))
}

// ask waits for the outcome of one ask. It returns errNotArbiter when the term
// is not the running one or ends meanwhile, and the error of ctx when the
// origin gave up; a grant made meanwhile is then released unused.
func (h *arbiterHost) ask(ctx context.Context, term uint64, ask dispatch.Ask) (askReply, error) {
	key := waiterKey{ask.RequestID, ask.Origin}
	w := &waitingAsk{team: ask.Team, outcome: make(chan askOutcome, 1)}
	h.mu.Lock()
	if h.arb == nil || h.arb.Term() != term {
		h.mu.Unlock()
		return askReply{}, errNotArbiter
	}
	h.end(key, askOutcome{})
	h.addWaiter(key, w)
	if h.withheld {
		h.withheldAsks++
	}
	h.deliver(h.arb.Ask(clock.Now(), ask))
	h.mu.Unlock()
	select {
	case out := <-w.outcome:
		if out.grant == nil && out.refusal == nil {
			return askReply{}, errNotArbiter
		}
		return askReply{Grant: out.grant, Refusal: out.refusal}, nil
	case <-ctx.Done():
		h.giveUp(key, w)
		return askReply{}, ctx.Err()
	}
}

// addWaiter enters a waiting ask. The lock is held.
func (h *arbiterHost) addWaiter(key waiterKey, w *waitingAsk) {
	h.waiters[key] = w
	h.countWaiting(w.team, 1)
}

// removeWaiter forgets a waiting ask. The lock is held.
func (h *arbiterHost) removeWaiter(key waiterKey) {
	if w, ok := h.waiters[key]; ok {
		delete(h.waiters, key)
		h.countWaiting(w.team, -1)
	}
}

func (h *arbiterHost) countWaiting(team string, n int64) {
	if team == "" {
		return
	}
	h.waitingOf[team] += n
	h.reportWaiting(team)
	if h.waitingOf[team] == 0 {
		delete(h.waitingOf, team)
	}
}

// reportWaiting tells the limiter how many asks of a team wait. An evacuated zone
// starts none of them and needs no units of the team's limit for them.
func (h *arbiterHost) reportWaiting(team string) {
	n := h.waitingOf[team]
	if h.withheld {
		n = 0
	}
	h.limiter.SetWaiting(team, n)
}

// giveUp ends an ask whose handler is gone, unless a repeated ask took its place.
func (h *arbiterHost) giveUp(key waiterKey, w *waitingAsk) {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case out := <-w.outcome:
		if out.grant != nil {
			h.releaseUnused(key)
		}
		return
	default:
	}
	if h.waiters[key] == w {
		h.cancelLocked(key)
	}
}

// cancel takes back an ask, or the grant that it led to and its origin did not take.
func (h *arbiterHost) cancel(n cancelNotice) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.termLocked() != n.Term {
		return
	}
	key := waiterKey{n.RequestID, n.Origin}
	if w := h.waiters[key]; w != nil {
		w.outcome <- askOutcome{}
		h.cancelLocked(key)
		return
	}
	h.releaseUnused(key)
}

func (h *arbiterHost) cancelLocked(key waiterKey) {
	h.removeWaiter(key)
	if h.arb != nil {
		h.deliver(h.arb.Cancel(clock.Now(), key.requestID, key.origin))
	}
}

func (h *arbiterHost) releaseUnused(key waiterKey) {
	id, ok := h.delivered[key]
	if !ok || h.arb == nil {
		return
	}
	h.releaseLocked(dispatch.Release{Grant: id, Outcome: dispatch.OutcomeUnused})
}

func (h *arbiterHost) releaseLocked(r dispatch.Release) {
	if key, ok := h.taken[r.Grant]; ok {
		delete(h.taken, r.Grant)
		delete(h.delivered, key)
	}
	h.deliver(h.arb.Release(clock.Now(), r))
}

// release applies a declaration and releases. It returns errNotArbiter when
// the term is not the running one.
func (h *arbiterHost) release(r releaseRequest) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.arb == nil || h.arb.Term() != r.Term {
		return errNotArbiter
	}
	if r.Declaration != nil {
		h.deliver(h.arb.Declare(clock.Now(), *r.Declaration))
	}
	for _, rel := range r.Releases {
		h.releaseLocked(rel)
	}
	return nil
}

// originLost tells the arbiter that a daemon incarnation has ended.
func (h *arbiterHost) originLost(id dispatch.DaemonID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.arb != nil {
		h.deliver(h.arb.OriginLost(clock.Now(), id))
	}
}

// deliver carries out the arbiter's events. The lock is held.
func (h *arbiterHost) deliver(events []arbiter.Event) {
	// The events are valid until the next input, which a release is.
	defer h.releaseUnclaimed()
	for _, ev := range events {
		switch e := ev.(type) {
		case arbiter.Granted:
			h.deliverGrant(e)
		case arbiter.Refused:
			h.end(waiterKey{e.RequestID, e.Origin}, askOutcome{refusal: &e.Refusal})
		case arbiter.Forward:
			h.forward(e)
		case arbiter.ForwardCancel:
			h.cancelForward(waiterKey{e.RequestID, e.Origin})
		}
	}
}

func (h *arbiterHost) deliverGrant(e arbiter.Granted) {
	key := waiterKey{e.Grant.RequestID, e.Origin}
	h.delivered[key] = e.Grant.ID
	h.taken[e.Grant.ID] = key
	if !h.end(key, askOutcome{grant: &e.Grant}) {
		// Nobody waits: the ask was given up between two inputs.
		h.unclaimed = append(h.unclaimed, key)
	}
}

// releaseUnclaimed returns grants that nobody waited for. The lock is held.
func (h *arbiterHost) releaseUnclaimed() {
	for len(h.unclaimed) > 0 {
		key := h.unclaimed[0]
		h.unclaimed = h.unclaimed[1:]
		h.releaseUnused(key)
	}
}

func (h *arbiterHost) end(key waiterKey, out askOutcome) bool {
	w, ok := h.waiters[key]
	if !ok {
		return false
	}
	h.removeWaiter(key)
	w.outcome <- out
	return true
}

// status returns what the arbiter holds; nil when this daemon is not the arbiter.
func (h *arbiterHost) status() *SlotStatus {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.arb == nil {
		return nil
	}
	st := h.arb.Stats()
	out := &SlotStatus{Waiting: st.Waiting, Forwarded: st.Forwarded, Granted: st.Granted, Unknown: st.UnknownSlots}
	if a, ok := h.limiter.(*allotment); ok {
		out.Leased = a.Leased()
		out.Teams = a.teamStatus()
	}
	return out
}
