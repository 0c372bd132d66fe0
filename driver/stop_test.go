package driver

import (
	"context"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"magnoliastand.example/platform"
	"magnoliastand.example/workload"
)

// stopRecorder passes on the stops it receives, which get no answer.
type stopRecorder struct {
	platform.Workers
	stops chan workload.TaskRef
}

func (c stopRecorder) Stop(_ context.Context, _ platform.Endpoint, task workload.TaskRef, _ int64, _ uint64) error {
	c.stops <- task
	return context.DeadlineExceeded
}

// stopEnv is a driver without an event loop that tracks three runs of a long-running step of
// which one may be unavailable, each available on a worker of its own.
type stopEnv struct {
	*Driver
	job   *workload.Job
	runs  []*run
	stops chan workload.TaskRef
}

func newStopEnv(t *testing.T) *stopEnv {
	t.Helper()
	const tasks = 3
	e := &stopEnv{stops: make(chan workload.TaskRef, 10)}
	e.Driver = New(Config{
		Term: 1, State: workload.New(platform.DecodeDocument), Log: leadingLog{}, Workers: stopRecorder{stops: e.stops},
		Metrics: NewMetrics(prometheus.NewRegistry()), Logger: zerolog.Nop(),
	})
	t.Cleanup(func() { e.cancel(); e.wg.Wait() })
	e.job = &workload.Job{
		ID: "j", Spec: workload.Spec{Steps: []workload.Step{{Count: tasks, LongRunning: true, MaxUnavailable: 1}}},
		Tasks: [][][]workload.Task{{make([]workload.Task, tasks)}},
	}
	for i, worker := range []string{"w0", "w1", "w2"} {
		e.sessions[worker] = e.newSession(&workload.Worker{ID: worker})
		r := &run{
			ref: workload.TaskRef{Job: e.job.ID, Index: i}, number: 1, worker: worker, job: e.job, phase: phaseStarted, percent: fullPace,
			seen: time.Now(),
		}
		e.runs = append(e.runs, r)
		e.Driver.runs[r.ref] = r
	}
	return e
}

// sent returns how many stops of a run were sent since the last call, and handles their results.
func (e *stopEnv) sent(t *testing.T, r *run) int {
	t.Helper()
	n := 0
	if r.stopInFlight {
		(<-e.inbox)()
		if ref := <-e.stops; ref != r.ref {
			t.Errorf("stop of %s, want %s", ref, r.ref)
		}
		n++
	}
	if len(e.stops) > 0 {
		t.Errorf("%d further stops", len(e.stops))
	}
	return n
}

// retry lets the time between two stops pass.
func (e *stopEnv) retry(r *run) {
	r.stopSent = r.stopSent.Add(-2 * stopRetry)
	e.retryRuns(time.Now())
}

// AVAIL: a voluntary stop without an answer was repeated after another task of the step had
// become unavailable.
func TestVoluntaryStopIsWithdrawnBeyondBudget(t *testing.T) {
	e := newStopEnv(t)
	r, other, third := e.runs[0], e.runs[1], e.runs[2]
	if !e.displaceRun(r, "evacuated") || e.sent(t, r) != 1 {
		t.Fatal("not stopped within the budget")
	}
	e.retry(r)
	if e.sent(t, r) != 1 || !r.stopping {
		t.Error("a stop without an answer was not repeated within the budget")
	}
	other.percent = 0
	e.retry(r)
	if e.sent(t, r) != 0 || r.stopping {
		t.Error("the stop was repeated beyond the budget, or not withdrawn")
	}
	other.percent = fullPace
	if e.displaceRun(third, "evacuated") {
		t.Error("another task was stopped although the withdrawn stop may yet be carried out")
	}
	r.stopSent = time.Now().Add(-lateOrderTime)
	if !e.displaceRun(third, "evacuated") || e.sent(t, third) != 1 {
		t.Error("no other task can be stopped once the withdrawn stop is void")
	}
}

// AVAIL: a stop that was decided while the start had no answer was sent with that answer,
// whatever had happened to the other tasks meanwhile.
func TestStopAfterStartAnswerNeedsBudget(t *testing.T) {
	e := newStopEnv(t)
	r := e.runs[0]
	r.phase, r.sending = phaseOrdered, true
	if !e.displaceRun(r, "evacuated") || e.sent(t, r) != 1 {
		t.Fatal("not stopped within the budget")
	}
	r.stopSent = r.stopSent.Add(-2 * stopRetry)
	e.runs[1].percent = 0
	e.startAnswered(r, e.sessions[r.worker], 0, context.DeadlineExceeded)
	if e.sent(t, r) != 0 || r.stopping {
		t.Error("the stop was sent beyond the budget, or not withdrawn")
	}
}

// An acknowledged stop that was withdrawn would count the run as available again while it ends.
func TestAcknowledgedStopIsNotWithdrawn(t *testing.T) {
	e := newStopEnv(t)
	r := e.runs[0]
	if !e.displaceRun(r, "evacuated") || e.sent(t, r) != 1 {
		t.Fatal("not stopped within the budget")
	}
	r.stopAcked = time.Now()
	e.runs[1].percent = 0
	e.retry(r)
	if e.sent(t, r) != 0 || !r.stopping {
		t.Error("the stop was repeated beyond the budget, or withdrawn")
	}
	e.runs[1].percent = fullPace
	e.retry(r)
	if e.sent(t, r) != 1 {
		t.Error("the stop was not repeated within the budget")
	}
}

// A run that is first stopped to empty its instance and then cancelled would run on if its stop
// still waited for the budget.
func TestRequiredStopNeedsNoBudget(t *testing.T) {
	e := newStopEnv(t)
	r := e.runs[0]
	if !e.displaceRun(r, "evacuated") || e.sent(t, r) != 1 {
		t.Fatal("not stopped within the budget")
	}
	e.runs[1].percent = 0
	e.stopRun(r, "cancelled")
	e.retry(r)
	if e.sent(t, r) != 1 || !r.stopping {
		t.Error("the stop of a cancelled run waits for the budget")
	}
}
