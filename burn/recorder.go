// Package burn measures service-level objectives: how fast each queue uses up
// its error budget. A Recorder counts answered and late requests over sliding
// windows on one daemon; snapshots of many daemons merge into a Report.
package burn

import (
	"sync"
	"time"
)

// Windows over which burn rates are computed.
const (
	WindowFast     = 5 * time.Minute
	WindowHour     = time.Hour
	WindowHalfDay  = 6 * time.Hour
	WindowThreeDay = 72 * time.Hour
)

// Windows lists the report's windows, shortest first.
func Windows() []time.Duration {
	return []time.Duration{WindowFast, WindowHour, WindowHalfDay, WindowThreeDay}
}

const (
	fineBucket   = 10 * time.Second
	fineBuckets  = int(WindowHour / fineBucket)
	coarseBucket = 10 * time.Minute
	coarseCount  = int(WindowThreeDay / coarseBucket)
	// MaxQueues bounds the queues that a recorder follows.
	MaxQueues = 2048
)

// Counts are the requests of one window. A request is good when its whole
// answer came back within the queue's latency objective; refused requests and
// unknown outcomes are counted and not good.
type Counts struct {
	Good  uint64 `json:"good" cbor:"1,keyasint"`
	Total uint64 `json:"total" cbor:"2,keyasint"`
}

func (c *Counts) add(o Counts) {
	c.Good += o.Good
	c.Total += o.Total
}

// ring holds counts in buckets of one width. Buckets are reused in a circle;
// start tells which period a bucket holds.
type ring struct {
	width   time.Duration
	buckets []bucket
}

type bucket struct {
	start  int64 // number of the period since the epoch
	counts Counts
}

func newRing(width time.Duration, n int) *ring {
	return &ring{width: width, buckets: make([]bucket, n+1)}
}

func (r *ring) add(now time.Time, c Counts) {
	period := now.UnixNano() / int64(r.width)
	b := &r.buckets[period%int64(len(r.buckets))]
	if b.start != period {
		*b = bucket{start: period}
	}
	b.counts.add(c)
}

// sum returns the counts of the periods that began within the window before now.
func (r *ring) sum(now time.Time, window time.Duration) Counts {
	last := now.UnixNano() / int64(r.width)
	first := last - int64(window/r.width) + 1
	var total Counts
	for i := range r.buckets {
		b := &r.buckets[i]
		if b.start >= first && b.start <= last {
			total.add(b.counts)
		}
	}
	return total
}

type queueRings struct {
	fine   *ring
	coarse *ring
	hist   Histogram
}

// Recorder counts the requests of one daemon. It is safe for concurrent use.
type Recorder struct {
	mu     sync.Mutex
	queues map[string]*queueRings
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{queues: make(map[string]*queueRings)}
}

// Record counts one ended request of a queue. Requests of queues beyond
// MaxQueues are not counted.
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
		q = &queueRings{
			fine:   newRing(fineBucket, fineBuckets),
			coarse: newRing(coarseBucket, coarseCount),
		}
		r.queues[queue] = q
	}
	q.fine.add(now, c)
	q.coarse.add(now, c)
	q.hist.Observe(latency)
}

// Snapshot is the state of one daemon's recorder at one moment.
type Snapshot struct {
	Daemon string          `json:"daemon" cbor:"1,keyasint"`
	Queues []QueueSnapshot `json:"queues" cbor:"2,keyasint"`
}

// QueueSnapshot holds one queue's counts, one for each of Windows.
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

func (q *queueRings) snapshot(now time.Time, name string) QueueSnapshot {
	s := QueueSnapshot{Queue: name, Histogram: q.hist}
	for _, w := range Windows() {
		source := q.fine
		if w > WindowHour {
			source = q.coarse
		}
		s.Windows = append(s.Windows, source.sum(now, w))
	}
	return s
}
