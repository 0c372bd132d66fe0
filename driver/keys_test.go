package driver_test

import (
	"strings"
	"testing"
	"time"

	"magnoliastand.example/workload"
)

// TestCancelNeedsKeyOfTeam guards against a job that is cancelled with the key of another
// team, and against a submission under an id that another team uses.
func TestCancelNeedsKeyOfTeam(t *testing.T) {
	w := newTestEnv(t)
	w.startWithWorker(time.Hour)
	keyed := strings.NewReplacer(`"version":1`, `"version":2`, `"max_attempts":3,"stretch":2,"public":true},`, `"max_attempts":3,"stretch":2},`,
		`"tenants":[]`, `"tenants":[{"name":"a","api_keys":["ka"]},{"name":"b","api_keys":["kb"]}]`).Replace(document)
	if err := w.current().PutDocument(t.Context(), []byte(keyed)); err != nil {
		t.Fatal(err)
	}
	ask := func(verb workload.Verb, key string) workload.Answer {
		t.Helper()
		r := &workload.Request{Verb: verb, Host: "h", Path: "/q/" + jobID(0), Key: key}
		if verb == workload.VerbSubmit {
			r.Spec = &workload.Spec{Payload: "p", Repeat: 1, Steps: []workload.Step{step(1)}}
		}
		resp, err := w.current().Serve(t.Context(), r)
		if err != nil {
			t.Fatal(err)
		}
		return resp.Answer
	}
	for _, tc := range []struct {
		verb workload.Verb
		key  string
		want workload.Answer
	}{
		{workload.VerbSubmit, "", workload.AnswerUnknownKey},
		{workload.VerbSubmit, "ka", workload.AnswerOK},
		{workload.VerbSubmit, "kb", workload.AnswerMalformed},
		{workload.VerbCancel, "kb", workload.AnswerNoJob},
	} {
		if got := ask(tc.verb, tc.key); got != tc.want {
			t.Errorf("%s with key %q: %s, want %s", tc.verb, tc.key, got, tc.want)
		}
	}
	if got := w.state(jobID(0)); got.Finished() {
		t.Errorf("job is %s after the cancellation by another team", got)
	}
	if got := ask(workload.VerbCancel, "ka"); got != workload.AnswerOK || w.state(jobID(0)) != workload.JobCancelled {
		t.Errorf("cancellation by its team: %s, job is %s", got, w.state(jobID(0)))
	}
}
