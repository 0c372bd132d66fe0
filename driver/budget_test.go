package driver_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"magnoliastand.example/platform"
	"magnoliastand.example/workload"
)

// lostStop loses the first stop and carries out the others.
type lostStop struct {
	*platform.Client
	stops atomic.Int64
}

func (h *lostStop) Stop(ctx context.Context, e platform.Endpoint, task workload.TaskRef, run int64, fence uint64) error {
	if h.stops.Add(1) > 1 {
		return h.Client.Stop(ctx, e, task, run, fence)
	}
	<-ctx.Done()
	return errLost
}

// AVAIL: the stop that evacuates a run got lost, another task of its step went away with a worker
// that drained, and the stop was repeated without regard to the budget. Seen on tiered-perth-grown
// in deploy/days/leader-twice.toml varied with seed 905449320688.
func TestEvacuationIsNotRepeatedBeyondBudget(t *testing.T) {
	w := newTestEnv(t)
	w.lease = 10 * time.Second
	h := &lostStop{Client: w.client}
	w.orders = h
	service := newLastingFleet(t, w, 2)
	w.submitLasting(2)
	w.waitFor("tasks at work", func() bool { return w.runningOn(service, "m0")+w.runningOn(service, "m1") == 2 })
	w.startWave(1, "m0")
	w.waitFor("evacuation ordered", func() bool { return h.stops.Load() > 0 })
	var evacuated, leaving string
	for _, m := range service.Snapshot() {
		if m.Name == "m0" {
			evacuated = m.Worker
		} else {
			leaving = m.Worker
		}
	}
	w.mu.Lock()
	draining := w.workers[leaving]
	w.mu.Unlock()
	draining.Drain()
	w.waitFor("task of the draining worker ended", func() bool { return w.runningOn(service, "m1") == 0 })
	time.Sleep(2 * time.Second) // the stop would be repeated
	for _, r := range w.history() {
		if r.Worker == evacuated && r.How == "stopped" {
			t.Errorf("task %s was stopped while the other one of its step is away and one may be", r.Task)
		}
	}
}
