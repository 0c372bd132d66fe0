package driver_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"

	"magnoliastand.example/platform"
	"magnoliastand.example/platform/platformtest"
	"magnoliastand.example/workload"
)

// quickReturn is how long a crashed worker is away.
const quickReturn = 300 * time.Millisecond

// crashingFleet starts workers that crash when a task of the given kind begins and come
// back after a pause.
func (w *testEnv) crashingFleet(workers int, mode restart, pause time.Duration, crashes func(task string) bool) {
	w.t.Helper()
	for n := range workers {
		w.workerOf(&platformtest.Worker{
			ID: fmt.Sprint("w", n), Pool: "p", RunTime: 60 * time.Millisecond, Crashes: crashes,
			OnCrash: w.restartAfterCrash(mode, pause),
		})
	}
	w.waitFor("workers registered", func() bool { return w.workerCount() == workers })
}

// checkCrashes checks that no task took down worker after worker, and returns the number
// of starts of tasks that crashed their worker.
func (w *testEnv) checkCrashes() int {
	w.t.Helper()
	w.checkConsistency()
	runs := w.history()
	for _, breach := range platformtest.CrashLoops(runs) {
		w.t.Error(breach)
	}
	n := 0
	for i := range runs {
		if runs[i].How == "crashed" {
			n++
		}
	}
	return n
}

// waitForGivenUp waits until a job has failed or one of its tasks has broken the promise of
// checkCrashes.
func (w *testEnv) waitForGivenUp(job string) {
	w.t.Helper()
	w.waitFor("job finished", func() bool {
		return w.state(job).Finished() || len(platformtest.CrashLoops(w.history())) > 0
	})
	if got := w.state(job); got != workload.JobFailed {
		w.t.Errorf("job is %s", got)
	}
	w.checkCrashes()
}

// taskZeroOf returns a function that picks the first task of a job.
func taskZeroOf(job string) func(string) bool {
	return func(task string) bool { return task == job+".0.0.0" }
}

// A task crashes each worker that starts it. It must be given up after a few workers, and
// the jobs beside it must not be.
func TestCrashingTaskIsGivenUp(t *testing.T) {
	for mode, name := range map[restart]string{sameID: "restart in place", newID: "other id"} {
		t.Run(name, func(t *testing.T) {
			w := newTestEnv(t)
			w.startLeader()
			w.putDocument()
			w.crashingFleet(4, mode, quickReturn, taskZeroOf(jobID(0)))
			w.submit(jobID(0), step(3))
			for n := 1; n < 8; n++ {
				w.submit(jobID(n), step(2))
			}
			for n := range 8 {
				w.waitFor("job finished", func() bool { return w.state(jobID(n)).Finished() })
				want := workload.JobCompleted
				if n == 0 {
					want = workload.JobFailed
				}
				if got := w.state(jobID(n)); got != want {
					t.Errorf("job %d is %s, want %s", n, got, want)
				}
			}
			if n := w.checkCrashes(); n > 5 {
				t.Errorf("%d workers crashed under one task", n)
			}
		})
	}
}

// The count of crashes must survive a change of leader after each of them.
func TestCrashesAreCountedOverLeaderChanges(t *testing.T) {
	w := newTestEnv(t)
	w.startLeader()
	w.putDocument()
	w.crashingFleet(4, newID, quickReturn, taskZeroOf(jobID(0)))
	w.submit(jobID(0), step(2))
	for crashes := 1; !w.state(jobID(0)).Finished(); crashes++ {
		w.waitFor("next crash", func() bool {
			n := 0
			for _, r := range w.history() {
				if strings.HasPrefix(r.Task, jobID(0)+".0.0.0") {
					n++
				}
			}
			return n >= crashes || w.state(jobID(0)).Finished()
		})
		w.startLeader()
	}
	if got := w.state(jobID(0)); got != workload.JobFailed {
		t.Errorf("job is %s", got)
	}
	if n := w.checkCrashes(); n > 5 {
		t.Errorf("%d workers crashed under one task", n)
	}
}

// A worker restarts in place after a crash, and the leader is lost between its registration
// and the end of the runs that it had. The crash must count all the same.
func TestCrashBeforeMoveCountsOverLeaderChange(t *testing.T) {
	w := newTestEnv(t)
	var moved atomic.Bool
	w.log.committing = func(b *workload.Batch) {
		for _, c := range b.Commands {
			switch {
			case c.MoveRuns != nil:
				moved.Store(true)
			case c.End != nil && c.End.Outcome != workload.OutcomeDone && moved.CompareAndSwap(true, false):
				w.startLeader() // the batch is not committed
			}
		}
	}
	w.startLeader()
	w.putDocument()
	w.crashingFleet(4, sameID, quickReturn, taskZeroOf(jobID(0)))
	w.submit(jobID(0), step(1))
	w.waitForGivenUp(jobID(0))
}

// unheldWorkers answers no holds of a worker for some time after its crash.
type unheldWorkers struct {
	*platform.Client
	mu    sync.Mutex
	until map[string]time.Time
}

func (h *unheldWorkers) Hold(ctx context.Context, e platform.Endpoint, o *platform.HoldOrder) (*platform.Lists, error) {
	h.mu.Lock()
	unheld := time.Now().Before(h.until[e.ID])
	h.mu.Unlock()
	if unheld {
		return nil, errLost
	}
	return h.Client.Hold(ctx, e, o)
}

// A worker restarts in place after a crash and registers, but answers no hold until its
// lease is over. That it is back later must not undo the crash before its restart.
func TestCrashBeforeMoveCountsOfUnheldWorker(t *testing.T) {
	w := newTestEnv(t)
	h := &unheldWorkers{Client: w.client, until: map[string]time.Time{}}
	w.orders = h
	w.startLeader()
	w.putDocument()
	comeBack := w.restartAfterCrash(sameID, quickReturn)
	for n := range 4 {
		w.workerOf(&platformtest.Worker{
			ID: fmt.Sprint("w", n), Pool: "p", RunTime: 60 * time.Millisecond, Crashes: taskZeroOf(jobID(0)),
			OnCrash: func(s *platformtest.Worker) {
				h.mu.Lock()
				h.until[s.ID] = time.Now().Add(2500 * time.Millisecond)
				h.mu.Unlock()
				comeBack(s)
			},
		})
	}
	w.waitFor("workers registered", func() bool { return w.workerCount() == 4 })
	w.submit(jobID(0), step(1))
	w.waitForGivenUp(jobID(0))
}

// Workers that fall silent for longer than their lease, again and again, did not crash
// under their tasks: no job may be given up.
func TestSilentWorkersBlameNoTask(t *testing.T) {
	w := newTestEnv(t)
	w.startLeader()
	w.putDocument()
	var fleet []*platformtest.Worker
	for n := range 2 {
		fleet = append(fleet, w.worker(fmt.Sprint("w", n), "p", 30*time.Millisecond))
	}
	w.waitFor("workers registered", func() bool { return w.workerCount() == 2 })
	for round := range 3 {
		task := step(4)
		w.submit(jobID(round), task)
		for _, s := range fleet {
			s.SetFaults(platformtest.Faults{Silent: true})
		}
		time.Sleep(4500 * time.Millisecond)
		for _, s := range fleet {
			s.SetFaults(platformtest.Faults{})
		}
		w.waitFor("job completed", func() bool { return w.state(jobID(round)) == workload.JobCompleted })
	}
	w.checkConsistency()
}

// A task of a job that serves under an availability budget is given up. The other tasks
// must not be stopped, since that would exceed the budget, also by a new leader, until the
// job is cancelled.
func TestFailedJobServesOnUntilCancelled(t *testing.T) {
	w := newTestEnv(t)
	w.startLeader()
	w.putDocument()
	for n := range 4 {
		w.workerOf(&platformtest.Worker{
			ID: fmt.Sprint("w", n), Pool: "p", RunTime: time.Hour, Lasting: true, Crashes: taskZeroOf(jobID(0)),
			OnCrash: w.restartAfterCrash(newID, 300*time.Millisecond),
		})
	}
	w.waitFor("workers registered", func() bool { return w.workerCount() == 4 })
	serving := step(3)
	serving.LongRunning, serving.MaxUnavailable, serving.AntiAffinity = true, 1, 1
	w.submit(jobID(0), serving)
	w.waitFor("job failed", func() bool { return w.state(jobID(0)) == workload.JobFailed })
	stopped := func() (n, atWork int) {
		for _, r := range w.history() {
			switch {
			case r.How == "stopped" && !strings.HasSuffix(r.Task, ".0"):
				n++
			case r.Ended.IsZero():
				atWork++
			}
		}
		return n, atWork
	}
	w.startLeader()
	time.Sleep(time.Second)
	if n, atWork := stopped(); n != 0 || atWork != 2 {
		t.Errorf("%d tasks stopped, %d at work", n, atWork)
	}
	if resp := w.request(workload.VerbCancel, jobID(0)); resp.Answer != workload.AnswerOK {
		t.Fatal(resp.Answer)
	}
	w.waitFor("all runs stopped", func() bool { _, atWork := stopped(); return atWork == 0 })
	w.checkCrashes()
}

// The tasks of a job are spread over all workers of a rack, and each crashes its worker, so
// that the whole rack falls silent at once. The crashes must count: taken for a loss of the
// rack without a limit, they let the tasks crash its workers for ever.
func TestCrashesOfWholeRackAreCounted(t *testing.T) {
	w := newTestEnv(t)
	w.startLeader()
	w.putDocument()
	w.crashingFleet(4, sameID, quickReturn, func(string) bool { return true })
	spread := step(4)
	spread.AntiAffinity = 1
	w.submit(jobID(0), spread)
	w.waitForGivenUp(jobID(0))
}

// A task crashes workers that come back only after their leases are over. Its starts must
// not go on while it is open which of the silent workers have crashed under it.
func TestCrashesOfSlowlyRestartingWorkers(t *testing.T) {
	gang := step(2)
	gang.Gang = true
	for name, task := range map[string]workload.Step{"task": step(1), "gang": gang} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestEnv(t)
			w.startLeader()
			w.putDocument()
			w.crashingFleet(8, newID, 8*time.Second, taskZeroOf(jobID(0)))
			w.submit(jobID(0), task)
			w.waitForGivenUp(jobID(0))
			if n := testutil.ToFloat64(w.metrics.Crashes); n < 3 {
				t.Errorf("%g crashes of workers in the metrics of a task that was given up", n)
			}
		})
	}
}

// One worker crashes by itself soon after each start and comes back without runs, so that
// tasks that are tried apart or alone go there again. No job may be failed for it while
// other workers are sound.
func TestCrashesOfOneWorkerBlameNoTask(t *testing.T) {
	for mode, name := range map[restart]string{sameID: "restart in place", newID: "other id"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const jobs, runTime = 40, 400 * time.Millisecond
			w := newTestEnv(t)
			w.startLeader()
			w.putDocument()
			w.workerOf(&platformtest.Worker{
				ID: "w0", Pool: "p", RunTime: runTime, Crashes: func(string) bool { return true },
				OnCrash: w.restartAfterCrash(mode, quickReturn),
			})
			for n := 1; n < 4; n++ {
				w.worker(fmt.Sprint("w", n), "p", runTime)
			}
			w.waitFor("workers registered", func() bool { return w.workerCount() == 4 })
			for n := range jobs {
				w.submit(jobID(n), step(2))
				time.Sleep(50 * time.Millisecond)
			}
			for n := range jobs {
				w.waitFor("job finished", func() bool { return w.state(jobID(n)).Finished() })
				if got := w.state(jobID(n)); got != workload.JobCompleted {
					t.Errorf("job %d is %s", n, got)
				}
			}
			w.checkConsistency()
		})
	}
}

// An announcement of a crashed worker arrives late, after its runs were given up and before
// its successor registers. It does not show that the worker lives: the crash must count.
func TestLateAnnouncementDoesNotUndoCrash(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t)
	w.startLeader()
	w.putDocument()
	comeBack := w.restartAfterCrash(newID, 6*time.Second)
	for n := range 8 {
		w.workerOf(&platformtest.Worker{
			ID: fmt.Sprint("w", n), Pool: "p", RunTime: 60 * time.Millisecond, Crashes: taskZeroOf(jobID(0)),
			OnCrash: func(s *platformtest.Worker) {
				time.AfterFunc(5*time.Second, func() { _ = s.Announce(w.controlAddress()) })
				comeBack(s)
			},
		})
	}
	w.waitFor("workers registered", func() bool { return w.workerCount() == 8 })
	w.submit(jobID(0), step(1))
	w.waitForGivenUp(jobID(0))
}

// BUDGET: a task that crashed its workers after some seconds of work was started without end:
// only crashes soon after a start counted, although the task was alone each time.
func TestTaskThatCrashesLateAndAloneIsGivenUp(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t)
	w.startLeader()
	w.putDocument()
	for n := range 3 {
		w.workerOf(&platformtest.Worker{
			ID: fmt.Sprint("w", n), Pool: "p", RunTime: time.Minute, Crashes: taskZeroOf(jobID(0)), CrashDelay: 5500 * time.Millisecond,
			OnCrash: w.restartAfterCrash(newID, quickReturn),
		})
	}
	w.waitFor("workers registered", func() bool { return w.workerCount() == 3 })
	w.submit(jobID(0), step(1))
	w.waitForGivenUp(jobID(0))
}

// A lasting task loses its worker to other causes, three times soon after a start. It works
// for long between them, which shows that it crashes no worker: its job must not be failed.
func TestOutlivedStartEndsCountOfCrashes(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t)
	w.startLeader()
	w.putDocument()
	for n := range 2 {
		w.workerOf(&platformtest.Worker{ID: fmt.Sprint("w", n), Pool: "p", RunTime: time.Hour, Lasting: true})
	}
	w.waitFor("workers registered", func() bool { return w.workerCount() == 2 })
	task := step(1)
	task.LongRunning = true
	w.submit(jobID(0), task)
	comeBack := w.restartAfterCrash(newID, quickReturn)
	for round := range 3 {
		for _, lived := range []time.Duration{300 * time.Millisecond, 11 * time.Second} {
			var on *platformtest.Worker
			w.waitFor("run at work", func() bool {
				on = w.workerAtWork()
				return on != nil || w.state(jobID(0)).Finished()
			})
			if on == nil {
				t.Fatalf("job is %s in round %d", w.state(jobID(0)), round)
			}
			time.Sleep(lived)
			on.Crash()
			comeBack(on)
		}
	}
	w.checkConsistency()
}

// workerAtWork returns a worker that has a run, or nil.
func (w *testEnv) workerAtWork() *platformtest.Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.all {
		if slices.ContainsFunc(s.History(), func(r platformtest.Run) bool { return r.Ended.IsZero() }) {
			return s
		}
	}
	return nil
}
