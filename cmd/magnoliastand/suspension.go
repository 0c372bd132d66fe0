package main

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"magnoliastand.example/clock"
)

// logSuspensions logs each suspension of the machine until ctx ends: whatever this daemon
// held by a lease has run out meanwhile.
func logSuspensions(ctx context.Context, log zerolog.Logger) {
	go clock.Watch(ctx, func(suspended time.Duration) {
		log.Warn().Dur("suspended", suspended).Msg("machine was suspended")
	})
}

// newSuspensionMetric returns a counter of the time for which the machine was suspended.
func newSuspensionMetric() prometheus.Collector {
	return prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "magnoliastand_suspended_seconds_total", Help: "Time for which the machine was suspended since the start of the process.",
	}, func() float64 { return clock.Suspended().Seconds() })
}
