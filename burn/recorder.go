// Package burn measures service-level objectives as error budget burn rates per
// queue. A Recorder counts good and total requests over sliding windows on one
// daemon; NewReport merges the snapshots of many daemons into a Report.
package burn

import (
	"sync"
	"time"
)

// Time windows over which burn rates are computed.
const (
	WindowFiveMinutes = 5 * time.Minute
	WindowOneHour     = time.Hour
	WindowSixHours    = 6 * time.Hour
	WindowThreeDays   = 72 * time.Hour
)

// Windows returns the windows of a report, shortest first.
func Windows() []time.Duration {
	return []time.Duration{WindowFiveMinutes, WindowOneHour, WindowSixHours, WindowThreeDays}
}

const (
	fineBucketWidth   = 10 * time.Second
	fineBucketCount   = int(WindowOneHour / fineBucketWidth)
	coarseBucketWidth = 10 * time.Minute
	coarseBucketCount = int(WindowThreeDays / coarseBucketWidth)
	// MaxQueues is the maximum number of queues that a recorder counts.
	MaxQueues = 2048
)

// Counts holds the number of requests in one window. A request is good if its
// complete response arrived within the queue's latency objective. Rejected
// requests and requests with an unknown outcome are in Total but not in Good.
type Counts struct {
	Good  uint64 `json:"good" cbor:"1,keyasint"`
	Total uint64 `json:"total" cbor:"2,keyasint"`
}

func (c *Counts) add(o Counts) {
	c.Good += o.Good
	c.Total += o.Total
}

// ring is a ring buffer of counts, with one bucket per period of fixed width.
type ring struct {
	width   time.Duration
	buckets []bucket
}

type bucket struct {
	period int64 // number of periods since the Unix epoch
	counts Counts
}

func newRing(width time.Duration, n int) *ring {
	return &ring{width: width, buckets: make([]bucket, n+1)}
}

func (r *ring) add(now time.Time, c Counts) {
	period := now.UnixNano() / int64(r.width)
	b := &r.buckets[period%int64(len(r.buckets))]
	if b.period != period {
		*b = bucket{period: period}
	}
	b.counts.add(c)
}

// sum returns the total of the periods that started within the window before now.
func (r *ring) sum(now time.Time, window time.Duration) Counts {
	last := now.UnixNano() / int64(r.width)
	first := last - int64(window/r.width) + 1
	var total Counts
	for i := range r.buckets {
		b := &r.buckets[i]
		if b.period >= first && b.period <= last {
			total.add(b.counts)
		}
	}
	return total
}

type queueCounters struct {
	fine      *ring
	coarse    *ring
	latencies Histogram
}

// Recorder counts the requests on one daemon. It is safe for concurrent use.
type Recorder struct {
	mu     sync.Mutex
	queues map[string]*queueCounters
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{queues: make(map[string]*queueCounters)}
}

// Record counts one finished request of a queue. Once MaxQueues queues are
// counted, requests of other queues are ignored.
func (r *Recorder) Record(now time.Time, queue string, latency time.Duration, good bool) {
	c := Counts{Total: 1}
	if good {
		c.Good = 1
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.queues[queue]
	if q == nil {
		if len(r.queues) >= MaxQueues {
			return
		}
		q = &queueCounters{
			fine:   newRing(fineBucketWidth, fineBucketCount),
			coarse: newRing(coarseBucketWidth, coarseBucketCount),
		}
		r.queues[queue] = q
	}
	q.fine.add(now, c)
	q.coarse.add(now, c)
	q.latencies.Observe(latency)
}

// Snapshot is the state of one daemon's recorder at one point in time.
type Snapshot struct {
	Daemon string          `json:"daemon" cbor:"1,keyasint"`
	Queues []QueueSnapshot `json:"queues" cbor:"2,keyasint"`
}

// QueueSnapshot holds the counts of one queue, with one entry for each of Windows.
type QueueSnapshot struct {
	Queue     string    `json:"queue" cbor:"1,keyasint"`
	Windows   []Counts  `json:"windows" cbor:"2,keyasint"`
	Histogram Histogram `json:"histogram" cbor:"3,keyasint"`
}

// Snapshot returns the counts of all queues.
func (r *Recorder) Snapshot(now time.Time, daemon string) Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Snapshot{Daemon: daemon}
	for name, q := range r.queues {
		s.Queues = append(s.Queues, q.snapshot(now, name))
	}
	return s
}

func (q *queueCounters) snapshot(now time.Time, name string) QueueSnapshot {
	s := QueueSnapshot{Queue: name, Histogram: q.latencies}
	for _, w := range Windows() {
		source := q.fine
		if w > WindowOneHour {
			source = q.coarse
		}
		s.Windows = append(s.Windows, source.sum(now, w))
	}
	return s
}
