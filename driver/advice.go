package driver

import (
	"context"
	"slices"
	"time"

	"magnoliastand.example/workload"
)

const (
	// adviceTimeout bounds a call to the advice service, whose response time has
	// a fixed part and a part per worker.
	adviceTimeout = 5 * time.Second
	// adviceWorkers is the maximum number of workers in one call.
	adviceWorkers = 100
	// adviceRetry is the delay after a failed call.
	adviceRetry = 300 // milliseconds
	// ticketMargin is how long before its expiry a ticket is no longer used.
	ticketMargin = 200 // milliseconds
)

// advice holds the advice service's response for one step.
type advice struct {
	asked   bool
	tickets map[string]string
	until   workload.Millis
	retryAt workload.Millis
}

// tickets implements plan.Input.Tickets.
func (d *Driver) tickets(step workload.TaskRef) (map[string]string, bool) {
	a := d.advice[step]
	if a == nil || a.tickets == nil || nowMillis() >= a.until {
		return nil, false
	}
	return a.tickets, true
}

// ticketOf returns the ticket for starting a run, or "" if none is required.
func (d *Driver) ticketOf(r *run) string {
	tickets, _ := d.tickets(stepOf(r.ref))
	return tickets[r.worker]
}

func stepOf(r workload.TaskRef) workload.TaskRef {
	r.Index = 0
	return r
}

// dropAdvice discards the tickets of a step after a worker rejected one.
func (d *Driver) dropAdvice(r *run) { delete(d.advice, stepOf(r.ref)) }

// askAdvice requests tickets for the workers that may run a step.
func (d *Driver) askAdvice(step workload.TaskRef) {
	step = stepOf(step)
	a := d.advice[step]
	if a == nil {
		a = &advice{}
		d.advice[step] = a
	}
	if a.asked || nowMillis() < a.retryAt || d.cfg.AdviceAddress == "" {
		d.planAt = max(nowMillis(), a.retryAt) + adviceRetry
		return
	}
	j, _ := d.state.TaskOf(step)
	q, ok := d.state.QueueOf(j)
	if !ok || q.Advice == nil {
		return
	}
	var workers []string
	for id, w := range d.state.Workers() {
		if w.Pool == q.Pool && !w.Draining && !w.Lost {
			workers = append(workers, id)
		}
	}
	slices.Sort(workers)
	workers = workers[:min(len(workers), adviceWorkers)]
	validFor := q.Advice.ValidFor
	a.asked = true
	d.async(func() {
		ctx, cancel := context.WithTimeout(d.ctx, adviceTimeout)
		defer cancel()
		tickets, err := d.cfg.Advisor.Advise(ctx, d.cfg.AdviceAddress, step, workers)
		d.postReply(func() {
			a.asked, d.needsPlan = false, true
			if err != nil {
				a.retryAt = nowMillis() + adviceRetry
				d.cfg.Logger.Warn().Err(err).Str("step", step.String()).Msg("advice request failed")
				return
			}
			a.tickets, a.until = tickets, nowMillis()+validFor-ticketMargin
		})
	})
}
