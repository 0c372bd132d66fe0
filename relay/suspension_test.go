package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"magnoliastand.example/clock/clocktest"
	"magnoliastand.example/platform"
)

// blockingWorkers blocks starts until unblock is closed.
type blockingWorkers struct {
	holdCounter
	unblock chan struct{}
	begun   chan struct{}
}

func (w *blockingWorkers) Start(context.Context, platform.Endpoint, *platform.StartOrder) (int64, error) {
	w.begun <- struct{}{}
	<-w.unblock
	return 0, nil
}

// TestOrderIsNotSentAfterSuspension guards against an order that waits for its turn while the
// machine is suspended and is sent seconds later, to a worker that may have restarted.
func TestOrderIsNotSentAfterSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &blockingWorkers{unblock: make(chan struct{}), begun: make(chan struct{}, maxConcurrentCalls+1)}
		l := newLimiter(w)
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		results := make(chan error, maxConcurrentCalls+1)
		order := func() { _, err := l.Start(ctx, platform.Endpoint{}, &platform.StartOrder{}); results <- err }
		for range maxConcurrentCalls {
			go order()
			<-w.begun
		}
		go order()
		synctest.Wait() // until it waits for a slot
		clocktest.Suspend(3 * time.Second)
		close(w.unblock)
		notSent := 0
		for range maxConcurrentCalls + 1 {
			if err := <-results; errors.Is(err, platform.ErrNotSent) {
				notSent++
			}
		}
		if notSent != 1 || len(w.begun) != 0 {
			t.Errorf("%d orders not sent, want the one that waited through the suspension", notSent)
		}
	})
}
