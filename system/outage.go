package system

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"magnoliastand.example/clock"
)

const (
	// outageLogInterval is the minimum interval between log lines on requests that no
	// leader served. The metrics count all of them.
	outageLogInterval = 5 * time.Second
	// outageGap is the time without a request that no leader served after which an
	// outage is over if the leader has confirmed its leadership meanwhile: an edge
	// without requests sees no response that ends it.
	outageGap = 2 * time.Second
)

// outage records since when no leader has served a request of this edge, and what became
// of the requests. The zero value is ready for use. It is safe for concurrent use.
type outage struct {
	// active makes responses cheap while there is no outage.
	active                            atomic.Bool
	held, rejected, unknown, resolved atomic.Int64

	mu          sync.Mutex
	since       time.Time
	lastFailure time.Time
	nextLog     time.Time
}

// register registers the metrics.
func (o *outage) register(registry prometheus.Registerer) {
	for _, c := range []struct {
		name, help string
		value      *atomic.Int64
	}{
		{"magnoliastand_edge_held_requests_total", "Requests held because no leader responded.", &o.held},
		{"magnoliastand_edge_unsent_rejections_total", "Requests rejected without having been sent.", &o.rejected},
		{"magnoliastand_edge_unknown_outcomes_total", "Requests that were answered with an unknown outcome.", &o.unknown},
		{"magnoliastand_edge_resolved_outcomes_total",
			"Requests that a leader answered after an attempt with an unknown outcome.", &o.resolved},
	} {
		registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: c.name, Help: c.help},
			func() float64 { return float64(c.value.Load()) }))
	}
}

// failed records that no leader could serve a request at a time, after the given
// silence. leaderConfirmed is whether the leader has confirmed its leadership within
// outageGap.
func (o *outage) failed(now time.Time, silence time.Duration, leaderConfirmed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.since.IsZero() || leaderConfirmed && now.Sub(o.lastFailure) > outageGap {
		o.since = now.Add(-silence)
	}
	o.lastFailure = now
	o.active.Store(true)
}

// ended records that a leader has served a request.
func (o *outage) ended() {
	if !o.active.Load() {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.since = time.Time{}
	o.active.Store(false)
}

// elapsed returns how long the outage has lasted, or 0 if there is none.
func (o *outage) elapsed(now time.Time) time.Duration {
	if !o.active.Load() {
		return 0
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.since.IsZero() {
		return 0
	}
	return max(now.Sub(o.since), 0)
}

// report writes the numbers of requests that no leader served, at most once per
// outageLogInterval.
func (o *outage) report(now time.Time, leader, reason string, log *zerolog.Logger) {
	o.mu.Lock()
	due := !now.Before(o.nextLog)
	if due {
		o.nextLog = now.Add(outageLogInterval)
	}
	o.mu.Unlock()
	if due {
		log.Warn().Str("leader", leader).Dur("outage", o.elapsed(now)).Int64("held", o.held.Load()).
			Int64("rejected", o.rejected.Load()).Int64("unknown", o.unknown.Load()).Int64("resolved", o.resolved.Load()).
			Str("reason", reason).Msg("no leader responds")
	}
}

// retryAfter returns when a caller that is rejected now should come back.
func (o *outage) retryAfter(minimum time.Duration) time.Duration {
	return retryAfter(minimum, o.elapsed(clock.Now()), rand.Int64N)
}
