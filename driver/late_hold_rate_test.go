package driver_test

import (
	"testing"
	"time"

	"magnoliastand.example/platform/platformtest"
	"magnoliastand.example/workload"
)

// A worker with a run at work was held 20 times a second while an end was kept from being
// acknowledged, since it does not delay its reply while it lists ends.
func TestHeldEndDoesNotRaiseHoldRate(t *testing.T) {
	for name, fault := range map[string]func(*platformtest.Worker){
		"late start":  func(s *platformtest.Worker) { s.SetFaults(platformtest.Faults{LoseStarts: 1}) },
		"foreign row": func(s *platformtest.Worker) { s.AddForeignEnd() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestEnv(t)
			w.lease = 10 * time.Second
			worker := w.startWithWorker(20 * time.Millisecond)
			fault(worker)
			w.submit(jobID(0), step(1))
			w.waitFor("job completed", func() bool { return w.state(jobID(0)) == workload.JobCompleted })
			worker.RunTime = time.Hour
			long := step(1)
			long.Estimate = time.Hour.Milliseconds()
			w.submit(jobID(1), long)
			w.waitFor("long task started", func() bool { return len(w.historyOf(jobID(1))) == 1 })
			holds := worker.Holds()
			time.Sleep(1500 * time.Millisecond)
			if n := worker.Holds() - holds; n > 15 {
				t.Errorf("%d holds in 1.5 s", n)
			}
		})
	}
}
