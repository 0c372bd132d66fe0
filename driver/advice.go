package driver

import (
	"cmp"
	"context"
	"slices"
	"time"

	"magnoliastand.example/platform"
	"magnoliastand.example/workload"
	"magnoliastand.example/workload/plan"
)

const (
	// adviceTimeout bounds a call to the advice service, whose response time has
	// a fixed part and a part per worker.
	adviceTimeout = 5 * time.Second
	// adviceWorkers is the maximum number of workers in one call.
	adviceWorkers = 100
	// maxAdviceCalls bounds the calls under way. The service handles one call at a time for
	// each caller and queues a few; a second one keeps it busy while a reply is read.
	maxAdviceCalls = 2
	// adviceRetry is the delay after a failed call, or after a reply that says nothing about
	// a worker.
	adviceRetry = 300 // milliseconds
	// ticketMargin is how long before its expiry a ticket is no longer used for new
	// assignments, so that it is still valid when the start order arrives.
	ticketMargin = 200 // milliseconds
)

// advice holds the advice service's responses for one step.
type advice struct {
	asked bool
	// order is the number of the last call for the step among all calls; 0 if there was none.
	order   int64
	retryAt workload.Millis
	answers map[string]answer // by worker
	// validUntil is the latest expiry of a ticket in answers.
	validUntil workload.Millis
}

// answer is what the advice service has said about one incarnation of a worker.
type answer struct {
	incarnation workload.Millis
	// ticket is empty if the worker got none.
	ticket string
	// until is when the worker is queried again; 0 means not during its incarnation.
	until workload.Millis
}

// query names an incarnation of a worker in a call.
type query struct {
	worker      string
	incarnation workload.Millis
}

// ticket returns the ticket of a worker's current incarnation, or "".
func (a *advice) ticket(w *workload.Worker, now workload.Millis) string {
	if k, ok := a.answers[w.ID]; ok && k.incarnation == w.Incarnation && now < k.until {
		return k.ticket
	}
	return ""
}

// lacks reports whether a worker has to be queried: there is no response for its
// incarnation, or its ticket has expired.
func (a *advice) lacks(w *workload.Worker, now workload.Millis) bool {
	k, ok := a.answers[w.ID]
	return !ok || k.incarnation != w.Incarnation || k.until != 0 && now >= k.until
}

// record stores a reply to the query of workers. Those that are missing in a reply with
// unreadable rows may be in one of these, and are queried again later.
func (a *advice) record(asked []query, reply platform.Advice, validFor, now workload.Millis) {
	if a.answers == nil {
		a.answers = map[string]answer{}
	}
	// The margin is smaller than the lifetime, so that no ticket has expired on arrival.
	until := now + validFor - min(ticketMargin, validFor/2)
	for _, q := range asked {
		k := answer{incarnation: q.incarnation, ticket: reply.Tickets[q.worker]}
		switch {
		case k.ticket != "":
			k.until = until
			a.validUntil = max(a.validUntil, until)
		case reply.Unreadable > 0:
			k.until = now + adviceRetry
		}
		a.answers[q.worker] = k
	}
}

// nextQuery returns the workers to query in one call, at most adviceWorkers. The response
// time grows with their number, so workers without room are queried only if none with
// room is left to query.
func (a *advice) nextQuery(workers []*workload.Worker, hasRoom func(*workload.Worker) bool, now workload.Millis) []query {
	var with, without []query
	for _, w := range workers {
		if w.Draining || w.Lost || !a.lacks(w, now) {
			continue
		}
		q := query{worker: w.ID, incarnation: w.Incarnation}
		if hasRoom(w) {
			with = append(with, q)
		} else {
			without = append(without, q)
		}
	}
	if len(with) == 0 {
		with = without
	}
	return with[:min(len(with), adviceWorkers)]
}

// tickets implements plan.Input.Tickets. Until a worker has a ticket, a step counts as not
// answered as long as a worker of its pool is left to query.
func (d *Driver) tickets(step workload.TaskRef) (plan.Tickets, bool) {
	now := nowMillis()
	a := d.advice[step]
	if a == nil {
		a = &advice{}
		d.advice[step] = a
	}
	if now >= a.validUntil && d.isLeftToQuery(step, a, now) {
		return nil, false
	}
	return func(w *workload.Worker) string { return a.ticket(w, now) }, true
}

func (d *Driver) isLeftToQuery(step workload.TaskRef, a *advice, now workload.Millis) bool {
	j, _ := d.state.TaskOf(step)
	return slices.ContainsFunc(d.state.PoolWorkers(d.state.PoolOf(j)), func(w *workload.Worker) bool {
		return !w.Draining && !w.Lost && a.lacks(w, now)
	})
}

// ticketOf returns the ticket for starting a run, or "" if none is required. A ticket that
// has come within ticketMargin of its expiry since the assignment is still used.
func (d *Driver) ticketOf(r *run) string {
	a := d.advice[stepOf(r.ref)]
	if a == nil || a.answers[r.worker].incarnation != r.incarnation {
		return ""
	}
	return a.answers[r.worker].ticket
}

func stepOf(r workload.TaskRef) workload.TaskRef {
	r.Index = 0
	return r
}

// dropTicket discards the ticket of a worker that rejected it.
func (d *Driver) dropTicket(r *run) {
	if a := d.advice[stepOf(r.ref)]; a != nil && a.answers[r.worker].incarnation == r.incarnation {
		delete(a.answers, r.worker)
	}
}

// askAdvice requests tickets for steps with tasks that could not be placed. Steps that
// were queried longest ago come first, so that one with many workers delays no other.
func (d *Driver) askAdvice(steps []workload.TaskRef) {
	for i := range steps {
		steps[i] = stepOf(steps[i])
		if d.advice[steps[i]] == nil {
			d.advice[steps[i]] = &advice{}
		}
	}
	slices.SortStableFunc(steps, func(x, y workload.TaskRef) int { return cmp.Compare(d.advice[x].order, d.advice[y].order) })
	now := nowMillis()
	for _, step := range steps {
		if d.adviceCalls >= maxAdviceCalls {
			return // the reply to a call causes the next plan
		}
		a := d.advice[step]
		switch {
		case a.asked || d.cfg.AdviceAddress == "":
		case now < a.retryAt:
			d.planBy(a.retryAt)
		default:
			d.queryStep(step, a, now)
		}
	}
}

// planBy plans again at a time, if no plan is due earlier.
func (d *Driver) planBy(at workload.Millis) {
	if d.planAt == 0 || at < d.planAt {
		d.planAt = at
	}
}

// queryStep calls the advice service for the workers of a step that it has not answered.
func (d *Driver) queryStep(ref workload.TaskRef, a *advice, now workload.Millis) {
	j, _ := d.state.TaskOf(ref)
	q, ok := d.state.QueueOf(j)
	if !ok || q.Advice == nil {
		return
	}
	step := &j.Spec.Steps[ref.Step]
	at := time.Now()
	asked := a.nextQuery(d.state.PoolWorkers(q.Pool), func(w *workload.Worker) bool {
		c := d.condition(w.ID, at)
		return c.Usable && !c.Closed && (step.Requires == "" || slices.Contains(w.Labels, step.Requires)) &&
			d.state.Reserved(w.ID).Add(step.Reserved()).Fits(w.Capacity)
	}, now)
	if len(asked) == 0 {
		d.planAtExpiry(a)
		return
	}
	workers := make([]string, len(asked))
	for i := range asked {
		workers[i] = asked[i].worker
	}
	validFor := q.Advice.ValidFor
	d.adviceOrder++
	d.adviceCalls++
	a.asked, a.order = true, d.adviceOrder
	d.async(func() {
		ctx, cancel := context.WithTimeout(d.ctx, adviceTimeout)
		defer cancel()
		reply, err := d.cfg.Advisor.Advise(ctx, d.cfg.AdviceAddress, ref, workers)
		d.postReply(func() {
			d.adviceCalls--
			a.asked, d.needsPlan = false, true
			if err != nil {
				a.retryAt = nowMillis() + adviceRetry
				d.cfg.Logger.Warn().Err(err).Str("step", ref.String()).Int("workers", len(workers)).Msg("advice request failed")
				return
			}
			a.record(asked, reply, validFor, nowMillis())
		})
	})
}

// planAtExpiry plans again once a response for a step expires: workers about which an
// unreadable reply said nothing, or whose ticket expires, are then queried again.
func (d *Driver) planAtExpiry(a *advice) {
	for _, k := range a.answers {
		if k.until != 0 {
			d.planBy(max(k.until, nowMillis()+1))
		}
	}
}
