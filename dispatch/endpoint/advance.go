package endpoint

import "time"

// Advance applies the transitions that are due at now: expired leases, ended
// back-offs and the removal of endpoints that are gone. It costs two comparisons
// while nothing is due. It must be called at least every half of Reorder, since a
// gap longer than Reorder is treated as a stall of the process.
func (r *Registry) Advance(now time.Time) {
	r.stalls.advance(now, r.opts.Reorder)
	if r.nextDue.IsZero() || now.Before(r.nextDue) {
		return
	}
	r.nextDue = time.Time{}
	for _, e := range r.entries {
		r.advance(now, e)
	}
	for source, heard := range r.sources {
		if now.Sub(heard) > r.opts.ForgetAfter+r.opts.Lease {
			delete(r.sources, source)
		}
	}
}

// NextWake returns when Advance must be called next, or zero if nothing is
// scheduled. It may be earlier than needed.
func (r *Registry) NextWake() time.Time { return r.nextDue }

func (r *Registry) advance(now time.Time, e *entry) {
	before := e.State
	switch e.State {
	case StateReady, StateLeaving, StateEjected:
		r.advanceLive(now, e)
	case StateLapsed:
		if !now.Before(e.stateSince.Add(r.opts.ForgetAfter)) {
			r.transition(now, e, eventForgotten)
		}
	case StateGone:
		if !now.Before(e.stateSince.Add(r.opts.ForgetAfter)) {
			r.remove(e)
			return
		}
	}
	if e.State != before {
		r.bumpVersion(e)
	}
	r.scheduleBy(r.dueAt(e))
}

func (r *Registry) advanceLive(now time.Time, e *entry) {
	if !now.Before(r.expires(e)) {
		r.transition(now, e, eventLeaseLapsed)
		return
	}
	if e.State == StateEjected && !now.Before(e.retryAt) {
		r.transition(now, e, eventBackoffPassed)
	}
}

// dueAt returns the time of the entry's next timed transition.
func (r *Registry) dueAt(e *entry) time.Time {
	switch e.State {
	case StateLapsed, StateGone:
		return e.stateSince.Add(r.opts.ForgetAfter)
	case StateEjected:
		return minTime(r.expires(e), e.retryAt)
	case StateReady, StateLeaving:
	}
	return r.expires(e)
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
