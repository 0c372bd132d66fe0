package driver_test

import (
	"testing"
	"time"

	"magnoliastand.example/platform/platformtest"
	"magnoliastand.example/workload"
)

// checkGangCheckpoints checks that all members of each run of a job's gang were started from
// the same checkpoint, and returns the number of runs that had one.
func (w *testEnv) checkGangCheckpoints(job string) int {
	w.t.Helper()
	byRun := map[int64]string{}
	for _, r := range w.historyOf(job) {
		if c, ok := byRun[r.Number]; ok && c != r.Checkpoint {
			w.t.Errorf("members of run %d started from checkpoints %q and %q", r.Number, c, r.Checkpoint)
		}
		byRun[r.Number] = r.Checkpoint
	}
	delete(byRun, 1)
	return len(byRun)
}

// TestGangRestartsFromOneCheckpoint guards against members of a gang that are started again
// each from its own checkpoint, also by another leader that takes over between two orders.
func TestGangRestartsFromOneCheckpoint(t *testing.T) {
	for name, changes := range map[string]bool{"same leader": false, "leader change between orders": true} {
		t.Run(name, func(t *testing.T) {
			w := newTestEnv(t)
			const members = 2
			if changes {
				w.startFault = func(n int64, err error) error {
					if n == members+1 && err == nil { // the first order of the second run
						w.startLeader()
					}
					return err
				}
			}
			s := w.startWithWorker(500 * time.Millisecond)
			s.SetFaults(platformtest.Faults{FailAll: true})
			gang := step(members)
			gang.Gang, gang.Checkpointing = true, true
			w.submit(jobID(0), gang)
			// How a run ends is decided when it begins.
			w.waitFor("first run began", func() bool { return len(w.history()) == members })
			s.SetFaults(platformtest.Faults{})
			w.waitFor("job finished", func() bool { return w.state(jobID(0)).Finished() })
			if got := w.state(jobID(0)); got != workload.JobCompleted {
				t.Fatalf("job is %s", got)
			}
			if w.checkGangCheckpoints(jobID(0)) == 0 {
				t.Error("the gang was not started again")
			}
			w.checkConsistency()
		})
	}
}
