package driver_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"magnoliastand.example/workload"
)

// TestBatchIsSplitByItsSize guards against a batch that exceeds an entry of the log, which
// stopped the driver: submissions of 200 KB that arrive while a batch is being committed.
func TestBatchIsSplitByItsSize(t *testing.T) {
	const jobs = 40
	w := newTestEnv(t)
	held, release := w.heldLog(func(b *workload.Batch) bool { return b.Commands[0].Submit != nil })
	w.startLeader()
	w.putDocument()
	w.worker("w1", "p", 5*time.Millisecond)
	w.waitFor("worker registered", func() bool { return w.workerCount() == 1 })
	large := func(n int) *workload.Request {
		return &workload.Request{Verb: workload.VerbSubmit, Host: "h", Path: "/q/" + jobID(n), Spec: &workload.Spec{
			Payload: strings.Repeat("x", 200_000), Repeat: 1, Steps: []workload.Step{step(1)},
		}}
	}
	d := w.current()
	var wg sync.WaitGroup
	for n := range jobs {
		wg.Go(func() {
			if resp, err := d.Serve(t.Context(), large(n)); err != nil || resp.Answer != workload.AnswerOK {
				t.Errorf("submission %d: %s %v", n, resp.Answer, err)
			}
		})
		if n == 0 {
			<-held
		}
	}
	time.Sleep(100 * time.Millisecond) // for the submissions to be in the batch
	release()
	wg.Wait()
	for n := range jobs {
		w.waitFor("job completed", func() bool { return w.state(jobID(n)) == workload.JobCompleted })
	}
	w.checkConsistency()
}

// TestCommandBeyondEntryIsRejected guards against a document that fits no entry of the log: it
// was applied to the leader's copy of the state, and its proposal stopped the driver.
func TestCommandBeyondEntryIsRejected(t *testing.T) {
	w := newTestEnv(t)
	w.startLeader()
	w.putDocument()
	padded := strings.Replace(document, `"version":1`, `"version":2`, 1) + strings.Repeat(" ", workload.MaxCommandBytes)
	if err := w.current().PutDocument(t.Context(), []byte(padded)); !errors.Is(err, workload.ErrTooLarge) {
		t.Errorf("got %v, want %v", err, workload.ErrTooLarge)
	}
	w.worker("w1", "p", 5*time.Millisecond)
	w.waitFor("worker registered", func() bool { return w.workerCount() == 1 })
	w.submit(jobID(0), step(1))
	w.waitFor("job completed", func() bool { return w.state(jobID(0)) == workload.JobCompleted })
	w.log.read(func(s *workload.State) {
		if s.Version() != 1 {
			t.Errorf("version %d was applied", s.Version())
		}
	})
}
