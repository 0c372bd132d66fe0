package driver

import "github.com/prometheus/client_golang/prometheus"

// Metrics holds the metrics shared by all drivers of a process.
type Metrics struct {
	// Orders counts orders to workers by kind and outcome.
	Orders *prometheus.CounterVec
	// Ends counts ends of runs by outcome.
	Ends *prometheus.CounterVec
	// SupersededEnds counts listed ends of runs that were not current, by outcome.
	SupersededEnds *prometheus.CounterVec
	// Crashes counts workers that crashed under runs, GivenUp the tasks that were given
	// up for it.
	Crashes, GivenUp prometheus.Counter
	// WithheldStarts counts starts that were decided on and withheld because the zone of
	// their worker is evacuated.
	WithheldStarts prometheus.Counter
	// Decisions counts other decisions by kind and reason.
	Decisions *prometheus.CounterVec
	// CommitSeconds measures the time from a proposal to its commit.
	CommitSeconds prometheus.Histogram
	// StartDelaySeconds measures the time from a job's submission to the order
	// of its first run.
	StartDelaySeconds prometheus.Histogram
	// EventLagSeconds is how long the latest sampled event waited for the driver.
	EventLagSeconds prometheus.Gauge
	// Panics counts drivers that stopped because an event or a call panicked.
	Panics prometheus.Counter
}

// NewMetrics creates the metrics and registers them with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		Orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "magnoliastand_orders_total", Help: "Orders to workers."}, []string{"kind", "outcome"}),
		Ends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "magnoliastand_run_ends_total", Help: "Ends of runs."}, []string{"outcome"}),
		SupersededEnds: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "magnoliastand_superseded_run_ends_total", Help: "Listed ends of runs that were not current."}, []string{"outcome"}),
		Crashes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "magnoliastand_worker_crashes_total", Help: "Workers that crashed under their runs."}),
		GivenUp: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "magnoliastand_tasks_given_up_total", Help: "Tasks given up because workers crashed under them."}),
		WithheldStarts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "magnoliastand_zone_withheld_starts_total", Help: "Starts withheld because the zone of their worker is evacuated."}),
		Decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "magnoliastand_decisions_total", Help: "Decisions of the leader."}, []string{"kind", "reason"}),
		CommitSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "magnoliastand_commit_seconds", Help: "Time from a proposal to its commit.",
			Buckets: prometheus.ExponentialBuckets(0.002, 2, 12)}),
		StartDelaySeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "magnoliastand_start_delay_seconds", Help: "Time from a submission to the first order.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 12)}),
		EventLagSeconds: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "magnoliastand_event_lag_seconds", Help: "Time that the latest sampled event waited for the leader."}),
		Panics: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "magnoliastand_driver_panics_total", Help: "Drivers stopped by a panic."}),
	}
	r.MustRegister(m.Orders, m.Ends, m.SupersededEnds, m.Crashes, m.GivenUp, m.WithheldStarts, m.Decisions, m.CommitSeconds, m.StartDelaySeconds, m.EventLagSeconds, m.Panics)
	return m
}
