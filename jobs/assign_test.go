package jobs_test

import (
	"testing"

	"magnoliastand.example/jobs"
)

// TestJobThatMayHaveRunIsNotAssigned restores a snapshot in which a job waits that
// is not idempotent and may have run, as an earlier build could have left it. It
// must not be assigned, whoever planned that.
func TestJobThatMayHaveRunIsNotAssigned(t *testing.T) {
	faulty := jobs.New()
	faulty.Disable(jobs.RerunCheck)
	sc := &scenario{state: faulty}
	apply := func(s *jobs.State, c jobs.Change) *jobs.ChangeResult {
		t.Helper()
		sc.now++
		return &s.Apply(jobs.Command{At: sc.now, Changes: []jobs.Change{c}}).Changes[0]
	}
	change := func(cmd, line string) jobs.Change {
		t.Helper()
		c, ok := sc.change(cmd, rowsOf(line)[0])
		if !ok {
			t.Fatalf("unknown directive %q", cmd)
		}
		return c
	}
	for _, c := range []jobs.Change{
		{SetTeams: &jobs.SetTeams{Teams: []jobs.Team{{Name: "a", Share: 1, Limit: 20}}}},
		change("heartbeat", "w1 cores=4 mb=8000"), change("heartbeat", "w2 cores=4 mb=8000"),
		change("submit", "a:one cores=1"), change("assign", "a:one on=w1 epoch=0"), change("lose", "w1"),
		change("heartbeat", "w2 cores=4 mb=8000"),
	} {
		if c.Lose != nil {
			sc.now += 30_000 // the lease of the worker is over
		}
		if r := apply(faulty, c); r.Refused != "" {
			t.Fatalf("%s: %s", r.Refused, r.Detail)
		}
	}
	image, err := faulty.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	s := jobs.New()
	if err := s.Restore(image); err != nil {
		t.Fatal(err)
	}
	j := s.View().Job("a:one")
	if j.State != jobs.Accepted || !j.MayHaveRun {
		t.Fatalf("job is %s, may have run %t; the test needs one that waits and may have run", j.State, j.MayHaveRun)
	}
	if r := apply(s, jobs.Change{Assign: &jobs.Assign{ID: "a:one", Worker: "w2", IfEpoch: j.Epoch}}); r.Refused != jobs.CodeMayHaveRun {
		t.Errorf("assignment: refused %q %s, want %s", r.Refused, r.Detail, jobs.CodeMayHaveRun)
	}
}
