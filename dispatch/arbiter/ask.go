package arbiter

import (
	"fmt"
	"slices"
	"time"

	"magnoliastand.example/api"
	"magnoliastand.example/dispatch"
)

// Field limits of an ask, which bound the memory of a waiting one.
const (
	// MaxRequestIDBytes is the maximum length of a request id.
	MaxRequestIDBytes = 256
	// MaxExclude is the maximum number of endpoints that an ask excludes.
	MaxExclude = 16
)

// Ask requests a slot. The result is a Granted, Refused or Forward event of this
// or a later input, unless Cancel or OriginLost ends the ask first. An ask
// repeated by its origin keeps its position or receives its grant again.
func (a *Arbiter) Ask(now time.Time, ask dispatch.Ask) []Event {
	a.begin(now)
	key := askKey{ask.RequestID, ask.Origin}
	if w, ok := a.asks[key]; ok && a.repeatAsk(w, ask) {
		return a.finish()
	}
	if gr, ok := a.resendable[key]; ok && a.resendGrant(gr) {
		return a.finish()
	}
	if refusal := a.handleNewAsk(key, ask); refusal != nil {
		a.emit(Refused{RequestID: ask.RequestID, Origin: ask.Origin, Refusal: *refusal})
	}
	return a.finish()
}

// Cancel removes a waiting ask without an event to its origin. A grant already
// issued must be released by the origin.
func (a *Arbiter) Cancel(now time.Time, requestID string, origin dispatch.DaemonID) []Event {
	a.begin(now)
	w, ok := a.asks[askKey{requestID, origin}]
	if !ok {
		return a.finish()
	}
	if w.zone != "" {
		a.emit(ForwardCancel{RequestID: requestID, Origin: origin, Zone: w.zone})
	}
	a.removeAsk(w)
	return a.finish()
}

// handleNewAsk queues, forwards or refuses a new ask.
func (a *Arbiter) handleNewAsk(key askKey, ask dispatch.Ask) *dispatch.Refusal {
	q, refusal := a.admit(ask)
	if refusal != nil {
		return refusal
	}
	w := &waiter{
		ask:      ask,
		key:      key,
		deadline: a.now.Add(min(ask.Patience, q.cfg.maxWait)),
	}
	if ask.Patience <= 0 {
		return newRefusal(api.CodeDeadline, 0, "no time is left to wait for a slot")
	}
	return a.route(q, w)
}

// admit validates an ask against the current configuration.
func (a *Arbiter) admit(ask dispatch.Ask) (*queue, *dispatch.Refusal) {
	if len(ask.RequestID) == 0 || len(ask.RequestID) > MaxRequestIDBytes {
		return nil, newRefusal(api.CodeInvalidField, 0, fmt.Sprintf("the request id must have 1 to %d bytes", MaxRequestIDBytes))
	}
	if len(ask.Exclude) > MaxExclude {
		return nil, newRefusal(api.CodeInvalidField, 0, fmt.Sprintf("more than %d endpoints are excluded", MaxExclude))
	}
	q, ok := a.queues[ask.Queue]
	if !ok {
		return nil, newRefusal(api.CodeUnknownQueue, 0, fmt.Sprintf("there is no queue %q", ask.Queue))
	}
	if ask.Team == "" {
		if !q.cfg.open {
			return nil, newRefusal(api.CodeKeyRequired, 0, fmt.Sprintf("queue %q needs a team", ask.Queue))
		}
		return q, nil
	}
	if _, ok := a.cfg.teams[ask.Team]; !ok {
		return nil, newRefusal(api.CodeKeyInvalid, 0, fmt.Sprintf("there is no team %q", ask.Team))
	}
	return q, nil
}

// route queues an admitted ask, forwards it to another zone, or refuses it.
func (a *Arbiter) route(q *queue, w *waiter) *dispatch.Refusal {
	s := q.svc
	if !s.hasEndpointFor(w.ask.Exclude, a.slots) {
		if a.forward(s, w) {
			return nil
		}
		if s.ready > 0 || a.now.Sub(s.noEndpointSince) >= a.opts.EndpointGrace || a.withheld() && w.ask.Hops > 0 {
			return a.noEndpoint(s)
		}
	}
	remaining := w.deadline.Sub(a.now)
	wait := a.expectedWait(q, w.ask.Team)
	if wait > a.opts.OverflowWait && a.forward(s, w) {
		return nil
	}
	if wait > time.Duration(maxWaitFraction*float64(remaining)) && !a.mutations.noEarlyRefusal {
		detail := fmt.Sprintf("the expected wait of %s is longer than the %s left", wait.Round(time.Millisecond), remaining)
		return newRefusal(api.CodeDeadline, wait, detail)
	}
	if a.waiting >= a.opts.MaxWaiting || q.waiting >= q.cfg.maxQueued {
		if a.forward(s, w) {
			return nil
		}
		if a.waiting >= a.opts.MaxWaiting || !a.displaceNewest(q, w.ask.Team) {
			return a.queueFull(q)
		}
	}
	a.admitWaiter(q, w)
	return nil
}

func (a *Arbiter) admitWaiter(q *queue, w *waiter) {
	a.arrivals++
	w.arrival = a.arrivals
	a.asks[w.key] = w
	a.deadlines.push(w)
	a.enqueue(q, w)
	a.markDirty(q.svc)
}

// displaceNewest makes room in a full queue by refusing the newest ask of the
// team with the most waiting asks relative to its share. It returns false if
// that is the asking team itself.
func (a *Arbiter) displaceNewest(q *queue, asking string) bool {
	own := 1.0
	if tq, ok := q.teamQueues[asking]; ok {
		own += float64(tq.count)
	}
	most := own / max(a.teamOf(asking).weight, minShare)
	var victim *teamQueue
	for _, tq := range q.teamQueues {
		load := float64(tq.count) / max(tq.backlog.team.weight, minShare)
		if load > most || victim != nil && load == most && tq.backlog.team.name < victim.backlog.team.name {
			most = load
			victim = tq
		}
	}
	if victim == nil {
		return false
	}
	a.refuseWaiter(victim.tail, a.queueFull(q))
	return true
}

// repeatAsk handles an ask repeated by its origin. It returns false if the ask
// has to be handled as a new one.
func (a *Arbiter) repeatAsk(w *waiter, ask dispatch.Ask) bool {
	if w.zone == "" {
		w.ask.Exclude = slices.Clone(ask.Exclude[:min(len(ask.Exclude), MaxExclude)])
		return true
	}
	if ask.Hops > 0 {
		// The other zone did not grant the ask, so it is handled here.
		a.removeAsk(w)
		return false
	}
	a.emitForward(w)
	return true
}

// refuseWaiter refuses and removes a waiting ask.
func (a *Arbiter) refuseWaiter(w *waiter, r *dispatch.Refusal) {
	a.emit(Refused{RequestID: w.ask.RequestID, Origin: w.ask.Origin, Refusal: *r})
	a.removeAsk(w)
}

// removeAsk removes a waiting or forwarded ask without an event.
func (a *Arbiter) removeAsk(w *waiter) {
	delete(a.asks, w.key)
	a.deadlines.remove(w)
	if w.zone != "" {
		a.forwarded--
		return
	}
	a.dequeue(w)
}

// expireAsk ends an ask whose deadline has passed. A forwarded ask is answered by
// the other zone.
func (a *Arbiter) expireAsk(w *waiter) {
	if w.zone != "" {
		a.removeAsk(w)
		return
	}
	s := w.teamQueue.queue.svc
	switch {
	case s.ready == 0:
		a.refuseWaiter(w, a.noEndpoint(s))
	case w.teamQueue.backlog.team.blocked:
		a.refuseWaiter(w, newRefusal(api.CodeTeamLimit, minRetryAfter, "the team is at its upper limit"))
	default:
		wait := max(a.expectedWait(w.teamQueue.queue, w.ask.Team), minRetryAfter)
		a.refuseWaiter(w, newRefusal(api.CodeDeadline, wait, "no slot became free in time"))
	}
}

// endAsksWithoutEndpoint forwards or refuses the asks waiting for a service that
// has had no endpoint for at least EndpointGrace. In an evacuated zone, asks are
// forwarded before, and those of other zones refused.
func (a *Arbiter) endAsksWithoutEndpoint(s *service) {
	expired := a.now.Sub(s.noEndpointSince) >= a.opts.EndpointGrace
	if s.ready > 0 || s.waiting == 0 || !expired && !a.withheld() {
		return
	}
	for _, w := range waitersOf(s) {
		if !a.forwardWaiting(s, w) && (expired || w.ask.Hops > 0) {
			a.refuseWaiter(w, a.noEndpoint(s))
		}
	}
}

// waitersOf returns the asks waiting for the service in order of arrival.
func waitersOf(s *service) []*waiter {
	var all []*waiter
	for _, c := range []*class{s.quick, s.long} {
		for _, bl := range c.backlogs {
			for _, tq := range bl.queues {
				for w := tq.head; w != nil; w = w.next {
					all = append(all, w)
				}
			}
		}
	}
	slices.SortFunc(all, func(x, y *waiter) int { return int(x.arrival) - int(y.arrival) })
	return all
}

func (a *Arbiter) noEndpoint(s *service) *dispatch.Refusal {
	return newRefusal(api.CodeNoEndpoint, a.opts.EndpointGrace, fmt.Sprintf("no endpoint of service %q can take the request", s.name))
}

func (a *Arbiter) queueFull(q *queue) *dispatch.Refusal {
	return newRefusal(api.CodeQueueFull, a.drainTime(q), fmt.Sprintf("%d requests wait in queue %q", q.waiting, q.name))
}

func newRefusal(code api.Code, retryAfter time.Duration, detail string) *dispatch.Refusal {
	return &dispatch.Refusal{Code: code, Detail: detail, RetryAfter: retryAfter}
}
