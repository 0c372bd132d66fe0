package driver_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"magnoliastand.example/platform"
	"magnoliastand.example/platform/platformtest"
	"magnoliastand.example/workload"
)

// tailWorkers lists a tail latency for the serving task, step 0, and loses the first order that
// raises the pace of the filling one.
type tailWorkers struct {
	*platform.Client
	mu sync.Mutex
	// tail is the tail latency in percent of its target.
	tail int64
	// inForce is the pace of the filling run, late the one that was lost and lowered the one
	// that was ordered next; 0 before.
	inForce, late, lowered int
}

func (h *tailWorkers) Hold(ctx context.Context, e platform.Endpoint, o *platform.HoldOrder) (*platform.Lists, error) {
	l, err := h.Client.Hold(ctx, e, o)
	if err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range l.Running {
		if l.Running[i].Task.Step == 0 {
			l.Running[i].Tail = h.tail
		}
	}
	return l, nil
}

func (h *tailWorkers) Pace(ctx context.Context, _ platform.Endpoint, _ workload.TaskRef, _ int64, percent int, _ uint64) error {
	h.mu.Lock()
	lost := h.late == 0 && percent > h.inForce
	switch {
	case lost:
		h.late, h.tail = percent, 90
	case h.late == 0: // slowed down at first
		h.inForce, h.tail = percent, 10
	case percent < h.late && h.lowered == 0: // slowed down again
		h.inForce, h.lowered, h.tail = percent, percent, 70
	default:
		h.inForce = percent
	}
	h.mu.Unlock()
	if lost {
		<-ctx.Done()
		return errLost
	}
	return nil
}

// HARM: an order that raised the pace of a filling run was carried out seconds after it had been
// given up and the pace lowered again; the serving task beside it stayed slow.
func TestLateRaiseOfPaceIsCorrected(t *testing.T) {
	w := newTestEnv(t)
	w.lease = 10 * time.Second
	h := &tailWorkers{Client: w.client, tail: 90, inForce: 100}
	w.orders = h
	w.startLeader()
	w.putDocument()
	w.workerOf(&platformtest.Worker{ID: "w1", Pool: "p", RunTime: time.Hour, Lasting: true})
	w.waitFor("worker registered", func() bool { return w.workerCount() == 1 })
	serving, filling := step(1), step(1)
	serving.LongRunning, serving.TailTarget = true, 100
	filling.LongRunning, filling.Fills = true, true
	w.submit(jobID(0), serving, filling)
	read := func() (inForce, late, lowered int) {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.inForce, h.late, h.lowered
	}
	w.waitFor("pace raised, lost and lowered", func() bool { _, _, lowered := read(); return lowered > 0 })
	time.Sleep(1500 * time.Millisecond) // the lost order is given up
	h.mu.Lock()
	h.inForce = h.late
	h.mu.Unlock()
	w.waitFor("pace lowered again", func() bool { inForce, _, lowered := read(); return inForce == lowered })
}
