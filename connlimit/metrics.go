package connlimit

import (
	"maps"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// Reasons for which connections are closed or requests rejected.
const (
	reasonRefused  = "no-room"
	reasonIdle     = "idle"
	reasonStalled  = "stalled"
	reasonSlow     = "slow"
	reasonHeader   = "header"
	reasonBodyTime = "body-timeout"
	reasonBody     = "body-memory"
	reasonWrite    = "write-timeout"
)

// reportInterval is the interval between log lines about one reason.
const reportInterval = 10 * time.Second

// event identifies a counter.
type event struct{ listener, reason string }

// metrics counts under the guard's mutex. It is a collector of its own, because the vectors of
// the library hold a lock while they are read, and the guard's mutex must not be held while
// waiting for it.
type metrics struct {
	guard  *Guard
	counts map[event]int
	// unreported counts since the last log lines, reported is their time.
	unreported map[event]int
	reported   time.Time

	closed, open, used *prometheus.Desc
}

func newMetrics(g *Guard, registry prometheus.Registerer) *metrics {
	m := &metrics{
		guard: g, counts: map[event]int{}, unreported: map[event]int{},
		closed: prometheus.NewDesc("magnoliastand_connections_closed_total",
			"Connections closed and requests rejected because of a limit.", []string{"listener", "reason"}, nil),
		open: prometheus.NewDesc("magnoliastand_connections", "Open inbound connections.", nil, nil),
		used: prometheus.NewDesc("magnoliastand_connections_bytes", "Memory charged to inbound connections.", nil, nil),
	}
	if registry != nil {
		registry.MustRegister(m)
	}
	return m
}

// Describe implements prometheus.Collector.
func (m *metrics) Describe(ch chan<- *prometheus.Desc) {
	ch <- m.closed
	ch <- m.open
	ch <- m.used
}

// Collect implements prometheus.Collector.
func (m *metrics) Collect(ch chan<- prometheus.Metric) {
	m.guard.mu.Lock()
	open, used, counts := m.guard.connections(), m.guard.bytes(), maps.Clone(m.counts)
	m.guard.mu.Unlock()
	ch <- prometheus.MustNewConstMetric(m.open, prometheus.GaugeValue, float64(open))
	ch <- prometheus.MustNewConstMetric(m.used, prometheus.GaugeValue, float64(used))
	for e, n := range counts {
		ch <- prometheus.MustNewConstMetric(m.closed, prometheus.CounterValue, float64(n), e.listener, e.reason)
	}
}

func (m *metrics) add(listener, reason string) {
	e := event{listener, reason}
	m.counts[e]++
	m.unreported[e]++
}

// takeReport returns what is to be logged now: one line per listener, reason and interval.
func (m *metrics) takeReport(now time.Time) map[event]int {
	if len(m.unreported) == 0 || now.Sub(m.reported) < reportInterval {
		return nil
	}
	due := m.unreported
	m.reported, m.unreported = now, map[event]int{}
	return due
}

func report(due map[event]int, log zerolog.Logger) {
	for e, n := range due {
		log.Warn().Str("listener", e.listener).Str("reason", e.reason).Int("count", n).
			Msg("connections closed or requests rejected by a limit")
	}
}
