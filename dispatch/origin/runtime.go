package origin

import (
	"sync"
	"time"
)

const (
	// runWeight is the weight of the newest attempt in the mean run time.
	runWeight = 0.05
	// runMargin multiplies the mean run time that is kept free before a deadline.
	runMargin = 1.5
	// maxRunShare bounds the time kept free, as a share of what is left.
	maxRunShare = 0.5
)

// runTimes tracks the mean run time of each queue's attempts. It is safe for
// concurrent use.
type runTimes struct {
	mu    sync.Mutex
	means map[string]float64 // in nanoseconds
}

func newRunTimes() *runTimes { return &runTimes{means: make(map[string]float64)} }

// observe adds the run time of one whole answer.
func (r *runTimes) observe(queue string, elapsed time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	mean, ok := r.means[queue]
	if !ok {
		mean = float64(elapsed)
	}
	r.means[queue] = mean + runWeight*(float64(elapsed)-mean)
}

// reserve returns the part of the time left that a request of the queue needs
// to run, so that it is not started when it can't end in time.
func (r *runTimes) reserve(queue string, left time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(min(runMargin*r.means[queue], maxRunShare*float64(max(left, 0))))
}
