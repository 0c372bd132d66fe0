package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"magnoliastand.example/platform"
	"magnoliastand.example/workload"
)

// maxOrders bounds the orders that a daemon has under way at workers, so that a
// burst of starts does not hold up the log's heartbeats: a call takes a few
// milliseconds, so this allows some thousand a second.
const maxOrders = 48

// limited makes calls of which at most maxOrders are under way. Holds are not
// counted: each worker has at most one.
type limited struct {
	platform.Workers
	slots chan struct{}
}

func newLimited(w platform.Workers) *limited {
	return &limited{Workers: w, slots: make(chan struct{}, maxOrders)}
}

// enter waits for a slot, at most as long as the call itself may take. The time
// limit of the returned context counts from then.
func (l *limited) enter(ctx context.Context) (context.Context, func(), error) {
	deadline, bounded := ctx.Deadline()
	timeout := time.Until(deadline)
	select {
	case l.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, nil, errors.Wrap(platform.ErrNotSent, "too many orders under way")
	}
	leave := func() { <-l.slots }
	if !bounded {
		return ctx, leave, nil
	}
	// The caller's cancellation by its deadline must not cut a call that waited for its slot.
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.Canceled) {
			cancel()
		}
	})
	return callCtx, func() { stop(); cancel(); leave() }, nil
}

// Start implements platform.Workers.
func (l *limited) Start(ctx context.Context, e platform.Endpoint, o *platform.StartOrder) (workload.Millis, error) {
	ctx, leave, err := l.enter(ctx)
	if err != nil {
		return 0, err
	}
	defer leave()
	return l.Workers.Start(ctx, e, o)
}

// Stop implements platform.Workers.
func (l *limited) Stop(ctx context.Context, e platform.Endpoint, task workload.TaskRef, run int64, fence uint64) error {
	ctx, leave, err := l.enter(ctx)
	if err != nil {
		return err
	}
	defer leave()
	return l.Workers.Stop(ctx, e, task, run, fence)
}

// Pace implements platform.Workers.
func (l *limited) Pace(ctx context.Context, e platform.Endpoint, task workload.TaskRef, run int64, percent int, fence uint64) error {
	ctx, leave, err := l.enter(ctx)
	if err != nil {
		return err
	}
	defer leave()
	return l.Workers.Pace(ctx, e, task, run, percent, fence)
}
