package driver_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"

	"magnoliastand.example/invariant"
	"magnoliastand.example/platform"
	"magnoliastand.example/platform/platformtest"
	"magnoliastand.example/workload"
)

// assignmentOf returns the assignment in a batch of a task of the given step, or
// nil.
func assignmentOf(b *workload.Batch, step int) *workload.Assign {
	for i := range b.Commands {
		if a := b.Commands[i].Assign; a != nil && a.Task.Step == step {
			return a
		}
	}
	return nil
}

// ends returns how many runs ended with an outcome.
func (w *testEnv) ends(o workload.Outcome) float64 {
	return testutil.ToFloat64(w.metrics.Ends.WithLabelValues(o.String()))
}

// TestNoOrderWithoutLease lets the lease of the leader end while an assignment is
// being committed, as after a pause of the process. The start order must not be
// sent; the task starts once the leader is certain again.
func TestNoOrderWithoutLease(t *testing.T) {
	w := newTestEnv(t)
	w.log.committing = func(b *workload.Batch) {
		if a := assignmentOf(b, 0); a != nil && a.Run == 1 {
			w.log.leaseLost.Store(true)
		}
	}
	w.startWithWorker(10 * time.Millisecond)
	w.submit(jobID(0), step(1))
	w.waitFor("the first run ended, or began", func() bool { return w.ends(workload.OutcomeNotRun) > 0 || len(w.history()) > 0 })
	if runs := w.history(); len(runs) != 0 {
		t.Errorf("%d runs begun by a leader without a lease", len(runs))
	}
	w.log.leaseLost.Store(false)
	w.waitFor("job completed", func() bool { return w.state(jobID(0)) == workload.JobCompleted })
	if runs := w.history(); len(runs) != 1 || runs[0].Number < 2 {
		t.Errorf("runs %+v, want one later than the first", runs)
	}
}

// pausingWorkers loses the first start, and with it the lease, as when the process is paused
// until its successor leads. It counts the starts.
type pausingWorkers struct {
	*platform.Client
	log    *memoryLog
	starts atomic.Int64
}

func (p *pausingWorkers) Start(ctx context.Context, e platform.Endpoint, o *platform.StartOrder) (workload.Millis, error) {
	if p.starts.Add(1) == 1 {
		p.log.leaseLost.Store(true)
		return 0, context.DeadlineExceeded
	}
	return p.Client.Start(ctx, e, o)
}

// TestStartIsNotRepeatedWithoutLease guards against a start that is repeated after a pause of the
// process, when another leader may have started the task elsewhere.
func TestStartIsNotRepeatedWithoutLease(t *testing.T) {
	w := newTestEnv(t)
	workers := &pausingWorkers{Client: w.client, log: w.log}
	w.orders = workers
	w.startWithWorker(10 * time.Millisecond)
	w.submit(jobID(0), step(1))
	outcomes := func(outcome string) float64 {
		return testutil.ToFloat64(w.metrics.Orders.WithLabelValues("start", outcome))
	}
	w.waitFor("start settled", func() bool { return outcomes("no-answer")+outcomes("ok") > 0 })
	if n := workers.starts.Load(); n != 1 {
		t.Errorf("%d starts sent, want the one under the lease", n)
	}
	w.log.leaseLost.Store(false)
	w.waitFor("job completed", func() bool { return w.state(jobID(0)) == workload.JobCompleted })
}

// TestNoUpkeepWithoutLease guards against an upkeep that is ordered after a pause of the process:
// where the machine service checks no fencing tokens, nothing else holds it back.
func TestNoUpkeepWithoutLease(t *testing.T) {
	w := newTestEnv(t)
	var withheld atomic.Bool
	w.log.committing = func(b *workload.Batch) {
		for i := range b.Commands {
			if b.Commands[i].OrderUpkeep != nil && withheld.CompareAndSwap(false, true) {
				w.log.leaseLost.Store(true)
			}
		}
	}
	service := newFleet(t, w, 3)
	if err := w.current().StartWave(t.Context(), &workload.Wave{ID: 1, Instances: []string{"m0"}, MaxDown: 1}, 60_000); err != nil {
		t.Fatal(err)
	}
	outcomes := func(outcome string) float64 {
		return testutil.ToFloat64(w.metrics.Orders.WithLabelValues("upkeep", outcome))
	}
	w.waitFor("upkeep withheld, or ordered", func() bool { return outcomes("not-sent")+outcomes("ok") > 0 })
	for _, m := range service.Snapshot() {
		if len(m.Upkeeps) > 0 {
			t.Errorf("%s was taken down by a leader without a lease", m.Name)
		}
	}
	w.log.leaseLost.Store(false)
	w.waitFor("wave completed", func() (done bool) {
		w.log.read(func(s *workload.State) { done = s.Waves()[1].Completed() })
		return done
	})
}

// TestNoOrderForJobThatFailedMeanwhile fails a job while the assignment of another
// of its tasks, which needs a worker that joins late, is being committed. That
// task must not start any more.
func TestNoOrderForJobThatFailedMeanwhile(t *testing.T) {
	w := newTestEnv(t)
	committing, release := make(chan struct{}), make(chan struct{})
	w.log.committing = func(b *workload.Batch) {
		if assignmentOf(b, 1) != nil {
			close(committing)
			<-release
		}
	}
	w.startLeader()
	w.putDocument()
	failing := w.worker("w1", "p", time.Hour) // the test ends its runs
	w.waitFor("worker registered", func() bool { return w.workerCount() == 1 })
	first, elsewhere := step(1), step(1)
	first.Estimate = workload.Millis(time.Hour / time.Millisecond) // no progress is expected
	elsewhere.Requires = "b"
	w.submit(jobID(0), first, elsewhere)
	const attempts = 3
	for n := range attempts {
		w.waitFor("attempt begun", func() bool { return len(failing.History()) == n+1 })
		if n < attempts-1 {
			failing.EndAll("failed")
			w.waitFor("attempt failed", func() bool { return w.ends(workload.OutcomeFailed) == float64(n+1) })
		}
	}
	other := w.workerOf(&platformtest.Worker{ID: "w2", Pool: "p", RunTime: 10 * time.Millisecond, Labels: []string{"b"}})
	<-committing
	failing.EndAll("failed")
	w.waitFor("the last attempt failed", func() bool { return w.ends(workload.OutcomeFailed) == attempts })
	close(release)
	w.waitFor("job failed", func() bool { return w.state(jobID(0)) == workload.JobFailed })
	w.waitFor("the other task ended, or began", func() bool {
		return w.ends(workload.OutcomeNotRun) > 0 || len(other.History()) > 0
	})
	if runs := other.History(); len(runs) != 0 {
		t.Errorf("runs %+v of a job that had failed", runs)
	}
}

// TestPanicStopsDriverNotProcess makes an event, and a call to a worker, panic. The
// driver stops; the next one, started from the committed state, completes the job.
func TestPanicStopsDriverNotProcess(t *testing.T) {
	for _, where := range []string{"event", "call"} {
		t.Run(where, func(t *testing.T) {
			w := newTestEnv(t)
			w.panics = 1
			if where == "call" {
				var panicked atomic.Bool
				w.startFault = func(_ int64, err error) error {
					if panicked.CompareAndSwap(false, true) {
						panic("start")
					}
					return err
				}
			}
			w.startWithWorker(10 * time.Millisecond)
			failed := w.current()
			w.submit(jobID(0), step(2))
			w.log.panics.Store(where == "event")
			w.waitFor("driver stopped", failed.Panicked)
			<-failed.Done()
			w.startLeader()
			w.waitFor("job completed", func() bool { return w.state(jobID(0)) == workload.JobCompleted })
			w.checkConsistency()
		})
	}
}

// lostOrders loses the first start of a run and the stops of it until pass is set. begin
// carries out the start.
type lostOrders struct {
	*platform.Client
	mu    sync.Mutex
	begin func()
	stops atomic.Int64
	pass  atomic.Bool
}

func (h *lostOrders) Start(ctx context.Context, e platform.Endpoint, o *platform.StartOrder) (workload.Millis, error) {
	h.mu.Lock()
	h.begin = func() {
		late, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, _ = h.Client.Start(late, e, o)
	}
	h.mu.Unlock()
	<-ctx.Done()
	return 0, errLost
}

func (h *lostOrders) Stop(ctx context.Context, e platform.Endpoint, task workload.TaskRef, run int64, fence uint64) error {
	h.stops.Add(1)
	if h.pass.Load() {
		return h.Client.Stop(ctx, e, task, run, fence)
	}
	<-ctx.Done()
	return errLost
}

// A start without an answer is carried out after the leader has begun to void it, and before
// a stop has reached the worker. The run must go on: stopping it would end a task that is at
// work, without regard to its availability budget.
func TestRunThatBeganBeforeItsVoidGoesOn(t *testing.T) {
	w := newTestEnv(t)
	w.lease = 10 * time.Second
	h := &lostOrders{Client: w.client}
	w.orders = h
	w.startLeader()
	w.putDocument()
	w1 := w.workerOf(&platformtest.Worker{ID: "w1", Pool: "p", RunTime: time.Hour, Lasting: true})
	w.waitFor("worker registered", func() bool { return w.workerCount() == 1 })
	serving := step(1)
	serving.LongRunning, serving.MaxUnavailable = true, 1
	w.submit(jobID(0), serving)
	w.waitFor("stop under way", func() bool { return h.stops.Load() > 0 })
	h.mu.Lock()
	begin := h.begin
	h.mu.Unlock()
	begin()
	holds := w1.Holds()
	w.waitFor("the run is listed", func() bool { return w1.Holds() >= holds+2 })
	h.pass.Store(true)
	time.Sleep(1500 * time.Millisecond) // stops would be repeated
	if runs := w1.History(); len(runs) != 1 || !runs[0].Ended.IsZero() {
		t.Errorf("runs %+v, want one that goes on", runs)
	}
}

// The log rejects an assignment that the driver's copy of the state took: a task that the
// log has on one worker must not be started on another one, whose end of it counts nowhere.
func TestRejectedCommandStopsDriver(t *testing.T) {
	before := invariant.SetSink(func(invariant.Breach) {}) // as in the program, a breach is no panic
	t.Cleanup(func() { invariant.SetSink(before) })
	w := newTestEnv(t)
	w.lease = 6 * time.Second // no lease lapses before the end is acknowledged
	other := map[string]string{"w1": "w2", "w2": "w1"}
	var once sync.Once
	w.log.committing = func(b *workload.Batch) {
		if a := assignmentOf(b, 0); a != nil {
			once.Do(func() {
				c := *a
				c.Worker = other[a.Worker]
				w.log.read(func(s *workload.State) {
					c.Incarnation = s.Workers()[c.Worker].Incarnation
					if err := s.ApplyOne(&workload.Command{Assign: &c}, 0); err != nil {
						t.Error(err)
					}
				})
			})
		}
	}
	w.startLeader()
	w.putDocument()
	w.worker("w1", "p", 20*time.Millisecond)
	w.worker("w2", "p", 20*time.Millisecond)
	w.waitFor("workers registered", func() bool { return w.workerCount() == 2 })
	first := w.current()
	w.submit(jobID(0), step(1))
	w.waitFor("driver stopped, or end acknowledged", func() bool {
		select {
		case <-first.Done():
			return true
		default:
		}
		runs := w.history()
		return len(runs) > 0 && runs[0].Noted
	})
	w.startLeader()
	w.waitFor("job completed", func() bool { return w.state(jobID(0)) == workload.JobCompleted })
	w.checkConsistency()
	if runs := w.history(); len(runs) != 1 {
		t.Errorf("%d runs of one task", len(runs))
	}
}
