package arbiter

import (
	"fmt"
	"slices"
	"time"

	"magnoliastand.example/api"
	"magnoliastand.example/dispatch"
)

// Bounds of the fields of an ask, which bound the memory of one that waits.
const (
	// MaxRequestIDBytes bounds a request id, in bytes.
	MaxRequestIDBytes = 256
	// MaxExclude bounds the endpoints that one ask excludes.
	MaxExclude = 16
)

// Ask asks for a slot. The answer is Granted, Refused or Forward, now or as an
// event of a later input, unless Cancel or OriginLost ends the ask first. An
// ask repeated by its origin keeps its place or gets its grant again.
func (a *Arbiter) Ask(now time.Time, ask dispatch.Ask) []Event {
	a.begin(now)
	key := askKey{ask.RequestID, ask.Origin}
	if w, ok := a.asks[key]; ok && a.repeatAsk(w, ask) {
		return a.finish()
	}
	if gr, ok := a.held[key]; ok && a.resendGrant(gr) {
		return a.finish()
	}
	if refusal := a.handleNewAsk(key, ask); refusal != nil {
		a.emit(Refused{RequestID: ask.RequestID, Origin: ask.Origin, Refusal: *refusal})
	}
	return a.finish()
}

// Cancel ends a waiting ask without an event. A grant already given must be
// released by its origin.
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

// take admits, passes on or refuses a new ask.
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
		return refuse(api.CodeDeadline, 0, "no time is left to wait for a slot")
	}
	return a.route(q, w)
}

// admit checks an ask against the configuration in force.
func (a *Arbiter) admit(ask dispatch.Ask) (*queue, *dispatch.Refusal) {
	if len(ask.RequestID) == 0 || len(ask.RequestID) > MaxRequestIDBytes {
		return nil, refuse(api.CodeInvalidField, 0, fmt.Sprintf("the request id must have 1 to %d bytes", MaxRequestIDBytes))
	}
	if len(ask.Exclude) > MaxExclude {
		return nil, refuse(api.CodeInvalidField, 0, fmt.Sprintf("more than %d endpoints are excluded", MaxExclude))
	}
	q, ok := a.queues[ask.Queue]
	if !ok {
		return nil, refuse(api.CodeUnknownQueue, 0, fmt.Sprintf("there is no queue %q", ask.Queue))
	}
	if ask.Team == "" {
		if !q.cfg.open {
			return nil, refuse(api.CodeKeyRequired, 0, fmt.Sprintf("queue %q needs a team", ask.Queue))
		}
		return q, nil
	}
	if _, ok := a.cfg.teams[ask.Team]; !ok {
		return nil, refuse(api.CodeKeyInvalid, 0, fmt.Sprintf("there is no team %q", ask.Team))
	}
	return q, nil
}

// route lets an admitted ask wait here, passes it on, or refuses it.
func (a *Arbiter) route(q *queue, w *waiter) *dispatch.Refusal {
	s := q.svc
	if !s.hasEndpointFor(w.ask.Exclude, a.slots) {
		if a.forward(s, w) {
			return nil
		}
		if s.ready > 0 || a.now.Sub(s.noEndpointSince) >= a.opts.EndpointGrace {
			return a.noEndpoint(s)
		}
	}
	patience := w.deadline.Sub(a.now)
	wait := a.expectedWait(q, w.ask.Team)
	if wait > a.opts.OverflowWait && a.forward(s, w) {
		return nil
	}
	if wait > time.Duration(maxWaitFraction*float64(patience)) && !a.mutations.noEarlyRefusal {
		detail := fmt.Sprintf("the expected wait of %s is longer than the %s left", wait.Round(time.Millisecond), patience)
		return refuse(api.CodeDeadline, wait, detail)
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

// makeRoom refuses the newest ask of the team that holds most of a full queue
// for its share. It reports false when that is the asking team itself.
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

// askAgain handles an ask that its origin repeats. It reports false when the
// ask is to be taken as a new one.
func (a *Arbiter) repeatAsk(w *waiter, ask dispatch.Ask) bool {
	if w.zone == "" {
		w.ask.Exclude = slices.Clone(ask.Exclude[:min(len(ask.Exclude), MaxExclude)])
		return true
	}
	if ask.Hops > 0 {
		// The other zone did not take it; this time it stays here.
		a.removeAsk(w)
		return false
	}
	a.emitForward(w)
	return true
}

// refuseWaiter ends a waiting ask with a refusal.
func (a *Arbiter) refuseWaiter(w *waiter, r *dispatch.Refusal) {
	a.emit(Refused{RequestID: w.ask.RequestID, Origin: w.ask.Origin, Refusal: *r})
	a.removeAsk(w)
}

// drop forgets an ask.
func (a *Arbiter) removeAsk(w *waiter) {
	delete(a.asks, w.key)
	a.deadlines.remove(w)
	if w.zone != "" {
		a.forwarded--
		return
	}
	a.dequeue(w)
}

// expireAsk ends an ask whose patience has ended.
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
		a.refuseWaiter(w, refuse(api.CodeTeamLimit, minRetryAfter, "the team is at its upper limit"))
	default:
		wait := max(a.expectedWait(w.teamQueue.queue, w.ask.Team), minRetryAfter)
		a.refuseWaiter(w, refuse(api.CodeDeadline, wait, "no slot became free in time"))
	}
}

// resolveEmpty passes on or refuses what waits for a service that has had no
// endpoint for longer than the grace.
func (a *Arbiter) endAsksWithoutEndpoint(s *service) {
	if s.ready > 0 || s.waiting == 0 || a.now.Sub(s.noEndpointSince) < a.opts.EndpointGrace {
		return
	}
	for _, w := range waitersOf(s) {
		if !a.forwardWaiting(s, w) {
			a.refuseWaiter(w, a.noEndpoint(s))
		}
	}
}

// waitersOf lists what waits for the service in order of arrival.
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
	return refuse(api.CodeNoEndpoint, a.opts.EndpointGrace, fmt.Sprintf("no endpoint of service %q can take the request", s.name))
}

func (a *Arbiter) queueFull(q *queue) *dispatch.Refusal {
	return refuse(api.CodeQueueFull, a.drainTime(q), fmt.Sprintf("%d requests wait in queue %q", q.waiting, q.name))
}

func refuse(code api.Code, retryAfter time.Duration, detail string) *dispatch.Refusal {
	return &dispatch.Refusal{Code: code, Detail: detail, RetryAfter: retryAfter}
}
