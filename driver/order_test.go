package driver_test

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"

	"magnoliastand.example/platform/platformtest"
	"magnoliastand.example/workload"
)

// assignmentOf returns the assignment in a batch of the task with the given index,
// or nil.
func assignmentOf(b *workload.Batch, index int) *workload.Assign {
	for i := range b.Commands {
		if a := b.Commands[i].Assign; a != nil && a.Task.Index == index {
			return a
		}
	}
	return nil
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
	w.startLeader()
	w.putDocument()
	w.worker("w1", "p", 10*time.Millisecond)
	w.waitFor("worker registered", func() bool { return w.workerCount() == 1 })
	w.submit(jobID(0), step(1))
	w.waitFor("the first run ended", func() bool {
		return testutil.ToFloat64(w.metrics.Ends.WithLabelValues(workload.OutcomeNotRun.String())) > 0
	})
	if runs := w.history(); len(runs) != 0 {
		t.Errorf("%d runs begun by a leader without a lease", len(runs))
	}
	w.log.leaseLost.Store(false)
	w.waitFor("job completed", func() bool { return w.state(jobID(0)) == workload.JobCompleted })
	if runs := w.history(); len(runs) != 1 || runs[0].Number < 2 {
		t.Errorf("runs %+v, want one later than the first", runs)
	}
}

// TestNoOrderForJobThatFailedMeanwhile fails a job while the assignment of another
// of its tasks is being committed. That task must not start any more.
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
	w.worker("w1", "p", 150*time.Millisecond).SetFaults(platformtest.Faults{FailAll: true})
	w.waitFor("worker registered", func() bool { return w.workerCount() == 1 })
	whole := step(2)
	whole.Need.Processors = 4000
	w.submit(jobID(0), whole)
	failures := func() float64 {
		return testutil.ToFloat64(w.metrics.Ends.WithLabelValues(workload.OutcomeFailed.String()))
	}
	w.waitFor("two runs failed", func() bool { return failures() == 2 })
	other := w.worker("w2", "p", 10*time.Millisecond)
	<-committing
	w.waitFor("the last attempt failed", func() bool { return failures() == 3 })
	close(release)
	w.waitFor("job failed", func() bool { return w.state(jobID(0)) == workload.JobFailed })
	w.waitFor("the other task ended", func() bool {
		return testutil.ToFloat64(w.metrics.Ends.WithLabelValues(workload.OutcomeNotRun.String())) > 0
	})
	if runs := other.History(); len(runs) != 0 {
		t.Errorf("runs %+v of a job that had failed", runs)
	}
}
