package daemon

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"

	"magnoliastand.example/api"
	"magnoliastand.example/burn"
	"magnoliastand.example/dispatch"
	"magnoliastand.example/invariant"
	"magnoliastand.example/peerlink"
)

// metrics counts what the daemon does. Labels are bounded by the document's
// queues and by closed lists.
type metrics struct {
	registry *prometheus.Registry
	accepted *prometheus.CounterVec
	ended    *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	attempts *prometheus.CounterVec
	breaches *prometheus.CounterVec
	// workerCrashes and jobsParked are counted by the leader.
	workerCrashes prometheus.Counter
	jobsParked    prometheus.Counter

	log       zerolog.Logger
	burn      *burn.Recorder
	objective func(queue string) (api.QueueObjective, bool)
}

// metricsNamespace prefixes every metric.
const metricsNamespace = "magnoliastand"

func newMetrics(log zerolog.Logger, registry *prometheus.Registry, objective func(string) (api.QueueObjective, bool)) *metrics {
	m := &metrics{
		registry: registry,
		accepted: counterVec("requests_accepted_total", "Requests accepted for a queue.", "queue"),
		ended:    counterVec("requests_ended_total", "Requests ended, by run state and problem code.", "queue", "run", "code"),
		attempts: counterVec("attempts_total", "Attempts sent to endpoints, by outcome.", "queue", "outcome"),
		breaches: counterVec("invariant_breaches_total", "Breaches of invariants.", "invariant"),

		workerCrashes: counter("job_worker_crashes_total", "Restarts of workers that had jobs on them."),
		jobsParked:    counter("jobs_parked_total", "Jobs parked because they kept failing or crashing workers."),

		log:       log,
		burn:      burn.NewRecorder(),
		objective: objective,
	}
	m.latency = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: metricsNamespace,
		Name:      "request_duration_seconds",
		Help:      "Time from receipt of a request to its end.",
		Buckets:   prometheus.ExponentialBuckets(0.001, 2, 16),
	}, []string{"queue"})
	m.registry.MustRegister(m.accepted, m.ended, m.latency, m.attempts, m.breaches, m.workerCrashes, m.jobsParked,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: metricsNamespace, Name: name, Help: help})
}

func counterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: metricsNamespace, Name: name, Help: help}, labels)
}

// Accepted implements origin.Metrics.
func (m *metrics) Accepted(queue string) { m.accepted.WithLabelValues(queue).Inc() }

// Ended implements origin.Metrics.
func (m *metrics) Ended(queue string, run api.Run, code api.Code, latency time.Duration) {
	objective, known := m.objective(queue)
	if !known {
		queue = "unknown"
	}
	m.ended.WithLabelValues(queue, string(run), string(code)).Inc()
	m.latency.WithLabelValues(queue).Observe(latency.Seconds())
	if known && !callersFault(code) {
		good := code == "" && (objective.Latency == 0 || latency <= objective.Latency.Std())
		m.burn.Record(time.Now(), queue, latency, good)
	}
	if code != "" {
		m.log.Debug().Str("queue", queue).Str("code", string(code)).Str("run", string(run)).Msg("request refused")
	}
}

// callersFault reports whether a refusal is due to the request itself and does
// not count against the objective.
func callersFault(code api.Code) bool {
	switch code {
	case api.CodeKeyRequired, api.CodeKeyInvalid, api.CodeUnknownQueue, api.CodeBodyTooLarge,
		api.CodeInvalidField, api.CodeRequestMismatch, api.CodeTeamLimit:
		return true
	default:
		return false
	}
}

// Attempted implements origin.Metrics.
func (m *metrics) Attempted(queue string, outcome dispatch.Outcome, _ time.Duration) {
	m.attempts.WithLabelValues(queue, outcomeName(outcome)).Inc()
}

func outcomeName(o dispatch.Outcome) string {
	switch o {
	case dispatch.OutcomeUnused:
		return "unused"
	case dispatch.OutcomeAnswered:
		return "answered"
	case dispatch.OutcomeRefused:
		return "refused"
	case dispatch.OutcomeFailed:
		return "failed"
	default:
		return "unknown"
	}
}

// watchLink exports the counts of the peer links.
func (m *metrics) watchLink(link *peerlink.Node) {
	gauge := func(name, help string, value func(peerlink.StatsSnapshot) int64) {
		m.counterFunc(name, help, func() float64 { return float64(value(link.Stats())) })
	}
	gauge("peer_sent_bytes_total", "Bytes of frames sent to peers.", func(s peerlink.StatsSnapshot) int64 { return s.BytesSent })
	gauge("peer_received_bytes_total", "Bytes of frames received from peers.", func(s peerlink.StatsSnapshot) int64 { return s.BytesReceived })
	gauge("peer_sent_frames_total", "Frames sent to peers.", func(s peerlink.StatsSnapshot) int64 { return s.FramesSent })
	gauge("peer_dropped_frames_total", "Frames dropped because a send queue was full.", func(s peerlink.StatsSnapshot) int64 { return s.FramesDropped })
	gauge("peers_refused_total", "Links refused in the hello.", func(s peerlink.StatsSnapshot) int64 { return s.PeersRefused })
}

// gauge exports a value computed at each scrape.
func (m *metrics) gauge(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: metricsNamespace, Name: name, Help: help,
	}, value))
}

// counterFunc exports a count kept elsewhere.
func (m *metrics) counterFunc(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: metricsNamespace, Name: name, Help: help,
	}, value))
}

// handler serves the metrics in the text format.
func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// sink returns the receiver of invariant breaches. It logs and counts each
// breach and calls stop, if set.
func (m *metrics) sink(stop func(invariant.Breach)) invariant.Sink {
	return func(b invariant.Breach) {
		m.log.Error().Str("invariant", string(b.Invariant)).Str("detail", b.Detail).Msg("invariant breached")
		m.breaches.WithLabelValues(string(b.Invariant)).Inc()
		if stop != nil {
			stop(b)
		}
	}
}
