package endpoint

import "time"

// Advance applies what the passing of time brings: lapsed leases, the end of
// back-offs, and removal of endpoints long gone. It costs two comparisons while
// nothing is due. Call it at least every half of Reorder: a longer gap is taken
// for a stall of the process.
func (r *Registry) Advance(now time.Time) {
	r.clock.advance(now, r.opts.Reorder)
	if r.wakeAt.IsZero() || now.Before(r.wakeAt) {
		return
	}
	r.wakeAt = time.Time{}
	for _, e := range r.entries {
		r.advance(now, e)
	}
	for source, heard := range r.sources {
		if now.Sub(heard) > r.opts.ForgetAfter+r.opts.Lease {
			delete(r.sources, source)
		}
	}
}

// NextWake returns when Advance next has something to do; zero means never.
// It may be earlier than needed.
func (r *Registry) NextWake() time.Time { return r.wakeAt }

func (r *Registry) advance(now time.Time, e *entry) {
	before := e.State
	switch e.State {
	case StateReady, StateLeaving, StateEjected:
		r.advanceLive(now, e)
	case StateLapsed:
		if !now.Before(e.since.Add(r.opts.ForgetAfter)) {
			r.move(now, e, eventForgotten)
		}
	case StateGone:
		if !now.Before(e.since.Add(r.opts.ForgetAfter)) {
			r.remove(e)
			return
		}
	}
	if e.State != before {
		r.touch(e)
	}
	r.wakeBefore(r.dueAt(e))
}

func (r *Registry) advanceLive(now time.Time, e *entry) {
	if !now.Before(r.expires(e)) {
		r.move(now, e, eventLeaseLapsed)
		return
	}
	if e.State == StateEjected && !now.Before(e.retryAt) {
		r.move(now, e, eventBackoffPassed)
	}
}

// dueAt returns when the entry next changes by itself.
func (r *Registry) dueAt(e *entry) time.Time {
	switch e.State {
	case StateLapsed, StateGone:
		return e.since.Add(r.opts.ForgetAfter)
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
