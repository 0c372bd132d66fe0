package origin

import (
	"math/rand/v2"
	"sync"
	"time"
)

// budget is a token bucket for retries that first attempts fill, so that
// retries stay a bounded share of the work also when every attempt fails.
type budget struct {
	policy Retry
	mu     sync.Mutex
	tokens float64
}

func newBudget(r Retry) *budget { return &budget{policy: r, tokens: r.Burst} }

// deposit notes a first attempt.
func (b *budget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.policy.Ratio, b.policy.Burst)
}

// take reports whether a retry is paid for.
func (b *budget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// backoff returns the pause before attempt n+1, with jitter.
func (r Retry) backoff(n int) time.Duration {
	mean := r.BackoffBase
	for i := 1; i < n && mean < r.BackoffMax; i++ {
		mean *= 2
	}
	mean = min(mean, r.BackoffMax)
	if mean <= 0 {
		return 0
	}
	return mean/2 + rand.N(mean)
}
