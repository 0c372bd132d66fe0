package driver_test

import (
	"strings"
	"testing"
	"time"

	"magnoliastand.example/platform/platformtest"
	"magnoliastand.example/workload"
)

// putColdDocument replaces the document by one whose pool has slow workers: those take one start in
// 1,000 s, so that a test sees a second one only after a fault.
func (w *testEnv) putColdDocument(fields string) {
	w.t.Helper()
	cold := strings.NewReplacer(`"version":1`, `"version":2`, `{"name":"p"}`, `{"name":"p",`+fields+`}`).Replace(document)
	if err := w.current().PutDocument(w.t.Context(), []byte(cold)); err != nil {
		w.t.Fatal(err)
	}
}

// startsAfter submits a job of three tasks and returns how many runs the worker has begun after a
// pause.
func (w *testEnv) startsAfter(s *platformtest.Worker, job string, pause time.Duration) int {
	w.t.Helper()
	w.submit(job, step(3))
	time.Sleep(pause)
	return len(s.History())
}

// Guards against starts on a worker that announces to be slow beyond the pace of its pool, and against
// a pace that outlives the announcement.
func TestAnnouncedColdWorkerIsStartedOnAtItsPace(t *testing.T) {
	w := newTestEnv(t)
	w.startLeader()
	w.putDocument()
	w.putColdDocument(`"cold_per_s":0.001`)
	s := w.workerOf(&platformtest.Worker{ID: "w1", Pool: "p", RunTime: 5 * time.Millisecond, Cold: 1500 * time.Millisecond})
	w.waitFor("worker registered", func() bool { return w.workerCount() == 1 })
	w.submit(jobID(0), step(3))
	w.waitFor("job completed", func() bool { return w.state(jobID(0)) == workload.JobCompleted })
	runs, slow := s.History(), 0
	for _, r := range runs {
		// The last announcement within the slow time says until when it lasts.
		if r.Begun.Before(time.UnixMilli(s.Born()).Add(s.Cold - 100*time.Millisecond)) {
			slow++
		}
	}
	if slow > 1 || len(runs) != 3 {
		t.Errorf("%d of %d runs began while the worker was slow, one is allowed", slow, len(runs))
	}
}

// Guards against starts on the workers of a zone at full pace after its evacuation, under this leader
// or the next one, which does not know what was started last.
func TestWorkersAreColdAfterEvacuation(t *testing.T) {
	w := newTestEnv(t)
	w.startLeader()
	w.putDocument()
	w.putColdDocument(`"cold_start_s":3600,"cold_per_s":0.001`)
	s := w.zoneWorker("w1", "north", &platformtest.Worker{})
	w.submit(jobID(0), step(3))
	w.waitFor("job completed before the evacuation", func() bool { return w.state(jobID(0)) == workload.JobCompleted })
	before := len(s.History())
	w.orderZone("north", false)
	w.orderZone("north", true)
	if n := w.startsAfter(s, jobID(1), 500*time.Millisecond) - before; n > 1 {
		t.Errorf("%d starts on the slow worker", n)
	}
	before = len(s.History())
	w.startLeader()
	if n := w.startsAfter(s, jobID(2), 500*time.Millisecond) - before; n > 0 {
		t.Errorf("%d starts on the slow worker by the next leader", n)
	}
	w.zoneWorker("w2", "south", &platformtest.Worker{})
	w.waitFor("jobs completed on the warm worker", func() bool {
		return w.state(jobID(1)) == workload.JobCompleted && w.state(jobID(2)) == workload.JobCompleted
	})
}
