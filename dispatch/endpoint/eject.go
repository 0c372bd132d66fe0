package endpoint

import (
	"time"

	"magnoliastand.example/dispatch"
)

// Observe records what became of a request that the endpoint was given. Words
// about another incarnation than the present one are ignored.
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
	e.okAt = now
	e.failures = 0
	e.onTrial = false
	if !e.Probation {
		// A healthy stretch as long as the back-off forgives the ejection.
		if e.backoff > 0 && now.Sub(e.retryAt) > e.backoff {
			e.backoff = 0
		}
		return
	}
	e.Probation = false
	r.touch(e)
}

func (r *Registry) observeFailure(now time.Time, e *entry) {
	if e.failures == 0 {
		e.failedAt = now
	}
	e.failures++
	due := e.Probation || e.failures >= r.opts.EjectAfter
	if !due || e.State != StateReady || !r.mayEject(e) {
		return
	}
	r.move(now, e, eventEjected)
	e.onTrial = true
	e.failures = 0
	e.backoff = min(max(2*e.backoff, r.opts.MinBackoff), r.opts.MaxBackoff)
	e.retryAt = now.Add(e.backoff)
	r.wakeBefore(e.retryAt)
	r.touch(e)
}

// mayEject reports whether another endpoint of the service succeeded while e
// failed, and whether the cap leaves room for one more ejection.
func (r *Registry) mayEject(e *entry) bool {
	live, ejected := 0, 0
	peerOK := false
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
			peerOK = peerOK || other != e && !other.okAt.Before(e.failedAt)
		case StateLeaving, StateLapsed, StateGone:
		}
	}
	return peerOK && ejected+1 <= int(r.opts.MaxEjectedShare*float64(live))
}
