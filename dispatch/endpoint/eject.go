package endpoint

import (
	"time"

	"magnoliastand.example/dispatch"
)

// Observe records the outcome of a request sent to the endpoint. Outcomes for an
// incarnation other than the current one are ignored.
func (r *Registry) Observe(now time.Time, id, incarnation string, outcome dispatch.Outcome) {
	e, ok := r.entries[id]
	if !ok || e.Announcement.Incarnation != incarnation {
		return
	}
	switch outcome {
	case dispatch.OutcomeAnswered:
		r.observeSuccess(now, e)
	case dispatch.OutcomeRefused, dispatch.OutcomeFailed, dispatch.OutcomeUnknown:
		r.observeFailure(now, e)
	case dispatch.OutcomeUnused:
	}
}

func (r *Registry) observeSuccess(now time.Time, e *entry) {
	e.lastSuccessAt = now
	e.failures = 0
	e.recovering = false
	if !e.Probation {
		// A success more than one back-off period after the back-off ended resets it.
		if e.backoff > 0 && now.Sub(e.retryAt) > e.backoff {
			e.backoff = 0
		}
		return
	}
	e.Probation = false
	r.bumpVersion(e)
}

func (r *Registry) observeFailure(now time.Time, e *entry) {
	if e.failures == 0 {
		e.firstFailureAt = now
	}
	e.failures++
	due := e.Probation || e.failures >= r.opts.EjectAfter
	if !due || e.State != StateReady || !r.mayEject(e) {
		return
	}
	r.transition(now, e, eventEjected)
	e.recovering = true
	e.failures = 0
	e.backoff = min(max(2*e.backoff, r.opts.MinBackoff), r.opts.MaxBackoff)
	e.retryAt = now.Add(e.backoff)
	r.scheduleBy(e.retryAt)
	r.bumpVersion(e)
}

// mayEject reports whether another endpoint of the service has succeeded since
// the first of e's consecutive failures, and whether MaxEjectedShare allows one
// more ejection.
func (r *Registry) mayEject(e *entry) bool {
	live, ejected := 0, 0
	peerSucceeded := false
	for _, other := range r.entries {
		if other.Announcement.Service != e.Announcement.Service {
			continue
		}
		switch other.State {
		case StateEjected:
			ejected++
			live++
		case StateReady:
			live++
			peerSucceeded = peerSucceeded || other != e && !other.lastSuccessAt.Before(e.firstFailureAt)
		case StateLeaving, StateLapsed, StateGone:
		}
	}
	return peerSucceeded && ejected+1 <= int(r.opts.MaxEjectedShare*float64(live))
}
