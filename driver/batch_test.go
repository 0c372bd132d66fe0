package driver

import (
	"strings"
	"testing"

	"magnoliastand.example/workload"
)

// TestEntryKeepsMoveAndRegistrationTogether guards against an entry that ends between the move
// of runs to a worker's next incarnation and the registration of that, and against commands
// in one entry that were applied with different times.
func TestEntryKeepsMoveAndRegistrationTogether(t *testing.T) {
	d, _ := driverOfOneRun(t)
	submit := workload.Command{Submit: &workload.Submit{ID: "k", Queue: "q", Spec: workload.Spec{
		Payload: strings.Repeat("x", 1000), Repeat: 1, Steps: []workload.Step{{Count: 1}},
	}}}
	move := workload.Command{MoveRuns: &workload.MoveRuns{Worker: "w", From: 1, To: 2}}
	register := workload.Command{Register: &workload.Worker{ID: "w", Incarnation: 2, Pool: "p", Address: "a"}}
	for _, c := range []workload.Command{submit, move, register} {
		if err := d.apply(c, nil); err != nil {
			t.Fatal(err)
		}
	}
	if n := d.entryLength(); n != 3 {
		t.Errorf("an entry takes %d commands, want all 3", n)
	}
	d.pending[0].size = workload.MaxCommandBytes - d.pending[1].size
	if n := d.entryLength(); n != 1 {
		t.Errorf("an entry takes %d commands, want the first only", n)
	}
	d.pending[0].size, d.pending[0].at = 1000, d.pending[0].at-1
	if n := d.entryLength(); n != 1 {
		t.Errorf("an entry takes %d commands with different times", n)
	}
}
