package origin

import (
	"sync"
	"time"
)

const (
	// runTimeWeight is the weight of the latest sample in the moving average.
	runTimeWeight = 0.05
	// reserveFactor is the time reserved before a deadline as a multiple of the
	// mean run time.
	reserveFactor = 1.5
	// maxReserveShare is the largest share of the remaining time that is reserved.
	maxReserveShare = 0.5
)

// runTimes holds an exponential moving average of the run time of each queue's
// answered attempts. It is safe for concurrent use.
type runTimes struct {
	mu    sync.Mutex
	means map[string]float64 // in nanoseconds
}

func newRunTimes() *runTimes { return &runTimes{means: make(map[string]float64)} }

// observe adds the run time of an answered attempt.
func (r *runTimes) observe(queue string, elapsed time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	mean, ok := r.means[queue]
	if !ok {
		mean = float64(elapsed)
	}
	r.means[queue] = mean + runTimeWeight*(float64(elapsed)-mean)
}

// reserve returns how much of the time left a request of the queue needs to run.
// A request that gets no slot before this reserve begins is refused, since it is
// unlikely to finish before its deadline.
func (r *runTimes) reserve(queue string, left time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(min(reserveFactor*r.means[queue], maxReserveShare*float64(max(left, 0))))
}
