package system

import (
	"testing"

	"magnoliastand.example/platform"
	"magnoliastand.example/workload"
)

// TestStateNeedsKeyOfTeam guards against a job whose state is read with the key of another team.
func TestStateNeedsKeyOfTeam(t *testing.T) {
	s := workload.New(platform.DecodeDocument)
	const document = `{"version":1,"routes":[{"name":"q","host":"h","path_prefix":"/q/","service":"p","timeout_ms":1000}],
 "services":[{"name":"p"}],"tenants":[{"name":"a","api_keys":["ka"]},{"name":"b","api_keys":["kb"]}]}`
	const id = "0123456789abcdef"
	for _, c := range []workload.Command{
		{PutDocument: &workload.PutDocument{Raw: []byte(document)}},
		{Submit: &workload.Submit{ID: id, Queue: "q", Team: "a", Spec: workload.Spec{Repeat: 1, Steps: []workload.Step{{Count: 1}}}}},
	} {
		if err := s.ApplyOne(&c, 1); err != nil {
			t.Fatal(err)
		}
	}
	for key, want := range map[string]workload.Answer{
		"ka": workload.AnswerOK, "kb": workload.AnswerNoJob, "": workload.AnswerUnknownKey,
	} {
		if got := readJob(s, &workload.Request{Verb: workload.VerbState, Host: "h", Path: "/q/" + id, Key: key}); got.Answer != want {
			t.Errorf("key %q: %s, want %s", key, got.Answer, want)
		}
	}
}
