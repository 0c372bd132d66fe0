package origin

import (
	"math/rand/v2"
	"sync"
	"time"
)

// retryBudget is a token bucket for retries that is refilled by first attempts,
// so that retries remain a bounded share of all attempts even if every attempt
// fails.
type retryBudget struct {
	policy Retry
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget(r Retry) *retryBudget { return &retryBudget{policy: r, tokens: r.Burst} }

// deposit adds the retries that a first attempt contributes.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.policy.Ratio, b.policy.Burst)
}

// take takes one retry from the budget. It reports false if none is left.
func (b *retryBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// backoff returns the delay before attempt n+1, with jitter.
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
