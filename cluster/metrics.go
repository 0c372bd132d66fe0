package cluster

import "github.com/prometheus/client_golang/prometheus"

// Metrics holds the metrics of a Member.
type Metrics struct {
	// StorageFailed is 1 while the storage of the log can't be written, else 0.
	StorageFailed prometheus.Gauge
}

// NewMetrics creates the metrics and registers them with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{StorageFailed: prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "magnoliastand_log_storage_failed", Help: "1 while the storage of the replicated log can't be written."})}
	r.MustRegister(m.StorageFailed)
	return m
}
