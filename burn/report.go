package burn

import (
	"sort"
	"time"

	"magnoliastand.example/api"
)

// Status is the alert level of a queue's burn rate.
type Status string

// Alert levels. StatusPage means a burn rate of at least 14.4 times the sustainable
// rate over both five minutes and one hour (2 percent of a 30-day error budget in
// an hour). StatusTicket means at least 6 times over both one and six hours.
const (
	StatusOK     Status = "ok"
	StatusTicket Status = "ticket"
	StatusPage   Status = "page"
	StatusNoData Status = "no-data"
)

const (
	pageRate   = 14.4
	ticketRate = 6.0
)

// Report holds the burn rates of all queues, over all daemons that responded.
type Report struct {
	At     time.Time     `json:"at"`
	Queues []QueueReport `json:"queues"`
	// Daemons lists the daemons whose counts are included.
	Daemons []string `json:"daemons"`
	// Missing lists the daemons that did not respond; their requests are not counted.
	Missing []string `json:"missing"`
}

// QueueReport holds the burn rates of one queue.
type QueueReport struct {
	Service   string       `json:"service"`
	Queue     string       `json:"queue"`
	Latency   api.Duration `json:"objective_latency"`
	Ratio     float64      `json:"objective_ratio"`
	Windows   []WindowBurn `json:"windows"`
	Status    Status       `json:"status"`
	P50       api.Duration `json:"p50"`
	P99       api.Duration `json:"p99"`
	Requests  uint64       `json:"requests"`
	Objective bool         `json:"has_objective"`
}

// WindowBurn is the burn rate over one window. A rate of 1 consumes the error
// budget exactly over the period of the objective.
type WindowBurn struct {
	Window api.Duration `json:"window"`
	Counts
	Rate float64 `json:"rate"`
}

// NewReport merges the snapshots of daemons into one report. Queues are in the
// order of the document.
func NewReport(at time.Time, doc api.Document, snaps []Snapshot, missing []string) Report {
	merged := mergeSnapshots(snaps)
	r := Report{At: at, Missing: append([]string{}, missing...), Daemons: []string{}}
	for _, s := range snaps {
		r.Daemons = append(r.Daemons, s.Daemon)
	}
	sort.Strings(r.Daemons)
	sort.Strings(r.Missing)
	for _, svc := range doc.Services {
		for _, q := range svc.Queues {
			r.Queues = append(r.Queues, newQueueReport(svc.Name, q, merged[q.Name]))
		}
	}
	return r
}

func mergeSnapshots(snaps []Snapshot) map[string]*QueueSnapshot {
	merged := make(map[string]*QueueSnapshot)
	for _, s := range snaps {
		for _, q := range s.Queues {
			m := merged[q.Queue]
			if m == nil {
				m = &QueueSnapshot{Queue: q.Queue, Windows: make([]Counts, len(Windows()))}
				merged[q.Queue] = m
			}
			for i := range min(len(q.Windows), len(m.Windows)) {
				m.Windows[i].add(q.Windows[i])
			}
			m.Histogram.Merge(q.Histogram)
		}
	}
	return merged
}

func newQueueReport(service string, q api.Queue, s *QueueSnapshot) QueueReport {
	r := QueueReport{Service: service, Queue: q.Name, Status: StatusNoData}
	if q.Objective != nil {
		r.Objective = true
		r.Latency = q.Objective.Latency
		r.Ratio = q.Objective.Ratio
	}
	if s == nil {
		s = &QueueSnapshot{Windows: make([]Counts, len(Windows()))}
	}
	for i, w := range Windows() {
		b := WindowBurn{Window: api.Duration(w), Counts: s.Windows[i]}
		b.Rate = burnRate(b.Counts, r.Ratio)
		r.Windows = append(r.Windows, b)
	}
	r.P50 = api.Duration(s.Histogram.Quantile(0.5))
	r.P99 = api.Duration(s.Histogram.Quantile(0.99))
	r.Requests = s.Windows[len(s.Windows)-1].Total
	if r.Objective && r.Requests > 0 {
		r.Status = burnStatus(r.Windows)
	}
	return r
}

// burnRate returns the ratio of the error rate to the error rate that the objective
// allows.
func burnRate(c Counts, ratio float64) float64 {
	if c.Total == 0 || ratio <= 0 || ratio >= 1 {
		return 0
	}
	bad := float64(c.Total-c.Good) / float64(c.Total)
	return bad / (1 - ratio)
}

func burnStatus(w []WindowBurn) Status {
	switch {
	case w[0].Rate >= pageRate && w[1].Rate >= pageRate:
		return StatusPage
	case w[1].Rate >= ticketRate && w[2].Rate >= ticketRate:
		return StatusTicket
	default:
		return StatusOK
	}
}
