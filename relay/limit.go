package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"magnoliastand.example/clock"
	"magnoliastand.example/platform"
	"magnoliastand.example/workload"
)

// maxConcurrentCalls limits the concurrent calls of a daemon to workers, so that
// a burst of starts does not delay the heartbeats of the consensus log. A call
// takes a few milliseconds, so the limit allows several thousand calls per second.
const maxConcurrentCalls = 48

// limiter limits the concurrent calls of Start, Stop and Pace to
// maxConcurrentCalls. Holds are not limited, since each worker has at most one.
type limiter struct {
	platform.Workers
	slots chan struct{}
}

func newLimiter(w platform.Workers) *limiter {
	return &limiter{Workers: w, slots: make(chan struct{}, maxConcurrentCalls)}
}

// acquire waits for a slot, at most until the deadline of ctx. The returned
// context grants the call the same time limit again, starting with the slot. The
// returned function releases the slot. A call whose slot comes later, because the
// process was paused or the machine suspended while it waited, is not made: its
// worker may have restarted since.
func (l *limiter) acquire(ctx context.Context) (context.Context, func(), error) {
	begun := clock.Now()
	deadline, bounded := ctx.Deadline()
	timeout := time.Until(deadline)
	select {
	case l.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, nil, errors.Wrap(platform.ErrNotSent, "too many concurrent orders")
	}
	release := func() { <-l.slots }
	if !bounded {
		return ctx, release, nil
	}
	if waited := clock.Since(begun); waited >= timeout {
		release()
		return nil, nil, errors.Wrapf(platform.ErrNotSent, "waited %s for a slot", waited)
	}
	// The deadline of ctx must not interrupt a call that had to wait for its
	// slot; explicit cancellation still does.
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.Canceled) {
			cancel()
		}
	})
	return callCtx, func() { stop(); cancel(); release() }, nil
}

// Start implements platform.Workers.
func (l *limiter) Start(ctx context.Context, e platform.Endpoint, o *platform.StartOrder) (workload.Millis, error) {
	ctx, release, err := l.acquire(ctx)
	if err != nil {
		return 0, err
	}
	defer release()
	return l.Workers.Start(ctx, e, o)
}

// Stop implements platform.Workers.
func (l *limiter) Stop(ctx context.Context, e platform.Endpoint, task workload.TaskRef, run int64, fence uint64) error {
	ctx, release, err := l.acquire(ctx)
	if err != nil {
		return err
	}
	defer release()
	return l.Workers.Stop(ctx, e, task, run, fence)
}

// Pace implements platform.Workers.
func (l *limiter) Pace(ctx context.Context, e platform.Endpoint, task workload.TaskRef, run int64, percent int, fence uint64) error {
	ctx, release, err := l.acquire(ctx)
	if err != nil {
		return err
	}
	defer release()
	return l.Workers.Pace(ctx, e, task, run, percent, fence)
}
