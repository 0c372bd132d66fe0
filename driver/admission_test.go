package driver_test

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"

	"magnoliastand.example/workload"
)

// admissionDocument has two queues of one pool with different priorities.
const admissionDocument = `{"version":2,"routes":[
 {"name":"q","host":"h","path_prefix":"/q/","service":"p","timeout_ms":3000,"target_latency_ms":600,"max_attempts":3,"stretch":2,"public":true},
 {"name":"patient","host":"h","path_prefix":"/patient/","service":"p","timeout_ms":3000,"target_latency_ms":600,"max_attempts":3,
 "stretch":2,"priority":1,"public":true}],
 "services":[{"name":"p"},{"name":"spare","standby":true}],"tenants":[]}`

// TestImpossibleJobIsRejected fails if a job that certainly cannot be done in time is accepted,
// if one is rejected while nothing waits, or if a repeated submission of an accepted job or a timed
// one is rejected.
func TestImpossibleJobIsRejected(t *testing.T) {
	w := newTestEnv(t)
	w.startWithWorker(time.Minute)
	if err := w.current().PutDocument(t.Context(), []byte(admissionDocument)); err != nil {
		t.Fatal(err)
	}
	long := step(4)
	long.Estimate = 60_000
	w.submit(jobID(0), long)
	w.waitFor("first job assigned", func() bool {
		assigned := 0
		w.log.read(func(s *workload.State) {
			if j, ok := s.Job(jobID(0)); ok {
				assigned = j.Assigned()
			}
		})
		return assigned == 4
	})
	if resp := w.requestAt("/patient/", workload.VerbSubmit, jobID(1), step(1)); resp.Answer != workload.AnswerOK {
		t.Errorf("answer %s while nothing waits", resp.Answer)
	}
	for i := range 4 {
		w.submit(jobID(10+i), long)
	}
	tries := 0
	w.waitFor("rejection", func() bool { // the backlog is known after the next plan
		tries++
		resp := w.requestAt("/patient/", workload.VerbSubmit, jobID(100+tries), step(1))
		if resp.Answer == workload.AnswerNotRun && (resp.RetryAfter < 1000 || resp.RetryAfter >= 20_000) {
			t.Errorf("retry after %d ms", resp.RetryAfter)
		}
		return resp.Answer == workload.AnswerNotRun
	})
	if resp := w.requestAt("/patient/", workload.VerbSubmit, jobID(1), step(1)); resp.Answer != workload.AnswerOK {
		t.Errorf("answer %s to a repeated submission", resp.Answer)
	}
	timed := &workload.Request{
		Verb: workload.VerbSubmit, Host: "h", Path: "/patient/" + jobID(3),
		Spec: &workload.Spec{Repeat: 1, StartAt: time.Now().Add(time.Hour).UnixMilli(), Steps: []workload.Step{step(1)}},
	}
	if resp, err := w.current().Serve(t.Context(), timed); err != nil || resp.Answer != workload.AnswerOK {
		t.Errorf("answer %s to a timed job, error %v", resp.Answer, err)
	}
	w.submit(jobID(4), long)
	if n := testutil.ToFloat64(w.metrics.Decisions.WithLabelValues("rejected", "backlog")); n < 1 {
		t.Errorf("%g rejections counted", n)
	}
	if n := testutil.ToFloat64(w.metrics.Decisions.WithLabelValues("rejected_possible", "backlog")); n != 0 {
		t.Errorf("%g rejections counted as possible while jobs wait", n)
	}
	// The queue's objective is 700 ms; the job of /patient/ that waits loses its value.
	w.waitFor("missed job counted", func() bool {
		return testutil.ToFloat64(w.metrics.Decisions.WithLabelValues("missed", "accepted")) >= 1
	})
}
