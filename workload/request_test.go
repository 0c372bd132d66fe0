package workload_test

import (
	"encoding/json"
	"testing"

	"magnoliastand.example/workload"
)

// keyedState has two teams with keys, a closed and an open queue, and a job of team "a" in
// each; the open queue has a job of no team as well.
func keyedState(t *testing.T) *workload.State {
	t.Helper()
	s := workload.New(decodeJSONDocument)
	raw, err := json.Marshal(workload.Document{
		Version: 1, Pools: []workload.Pool{{Name: "p"}},
		Queues: []workload.Queue{
			{Name: "closed", Host: "h", Prefix: "/closed/", Pool: "p"},
			{Name: "open", Host: "h", Prefix: "/open/", Pool: "p", Open: true},
		},
		Teams: []workload.Team{{Name: "a", Keys: []string{"ka", "ka2"}}, {Name: "b", Keys: []string{"kb"}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	mustApply(t, s, workload.Command{PutDocument: &workload.PutDocument{Raw: raw}})
	spec := workload.Spec{Repeat: 1, Steps: []workload.Step{{Count: 1, Need: taskSize}}}
	for _, j := range []workload.Submit{
		{ID: "00000000000000c0", Queue: "closed", Team: "a", Spec: spec}, {ID: "00000000000000a0", Queue: "open", Team: "a", Spec: spec},
		{ID: "0000000000000000", Queue: "open", Spec: spec},
	} {
		mustApply(t, s, workload.Command{Submit: &j})
	}
	return s
}

// TestKeyGivesAccessToItsTeamOnly guards against a key that reads or cancels a job of another
// team. Jobs of open queues stay accessible without a key.
func TestKeyGivesAccessToItsTeamOnly(t *testing.T) {
	s := keyedState(t)
	for _, tc := range []struct {
		path, key string
		found     bool
	}{
		{"/closed/00000000000000c0", "ka", true},
		{"/closed/00000000000000c0", "ka2", true},
		{"/closed/00000000000000c0", "kb", false},
		{"/closed/00000000000000a0", "ka", true},
		{"/closed/00000000000000a0", "kb", false},
		{"/closed/0000000000000000", "kb", false},
		{"/closed/00000000000000ff", "ka", false},
		{"/open/00000000000000a0", "", true},
		{"/open/00000000000000a0", "kb", true},
		{"/open/0000000000000000", "kb", true},
		{"/open/00000000000000c0", "ka", true},
		{"/open/00000000000000c0", "kb", false},
		{"/open/00000000000000c0", "", false},
	} {
		target, refusal := s.Resolve(&workload.Request{Verb: workload.VerbState, Host: "h", Path: tc.path, Key: tc.key})
		if refusal != nil {
			t.Fatalf("%s with key %q: %s", tc.path, tc.key, refusal.Reason)
		}
		if j, ok := s.JobFor(&target); ok != tc.found || ok && j.ID != target.Job {
			t.Errorf("%s with key %q: found %v, want %v", tc.path, tc.key, ok, tc.found)
		}
	}
}
