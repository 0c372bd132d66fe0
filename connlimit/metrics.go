package connlimit

import (
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

type metrics struct {
	closed *prometheus.CounterVec
	// unreported counts by listener and reason since the last line, reported is its time.
	unreported map[[2]string]int
	reported   time.Time
}

func newMetrics(g *Guard, registry prometheus.Registerer) *metrics {
	m := &metrics{unreported: make(map[[2]string]int), closed: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "magnoliastand_connections_closed_total",
		Help: "Connections closed and requests rejected because of a limit."}, []string{"listener", "reason"})}
	open := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "magnoliastand_connections", Help: "Open inbound connections."}, func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return float64(len(g.conns))
	})
	used := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "magnoliastand_connections_bytes", Help: "Memory charged to inbound connections."}, func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return float64(g.used)
	})
	if registry != nil {
		registry.MustRegister(m.closed, open, used)
	}
	return m
}

func (m *metrics) add(listener, reason string) {
	m.closed.WithLabelValues(listener, reason).Inc()
	m.unreported[[2]string{listener, reason}]++
}

// report logs one line per listener and reason and interval.
func (m *metrics) report(now time.Time, log zerolog.Logger) {
	if len(m.unreported) == 0 || now.Sub(m.reported) < reportInterval {
		return
	}
	m.reported = now
	for key, n := range m.unreported {
		log.Warn().Str("listener", key[0]).Str("reason", key[1]).Int("count", n).Msg("connections closed or requests rejected by a limit")
	}
	clear(m.unreported)
}
