package driver

import (
	"testing"

	"magnoliastand.example/workload"
)

// TestEndBetweenOrdersKeepsCheckpointOfGang guards against the end of one member, committed
// before another one is ordered, that changes the checkpoint from which the other one starts.
func TestEndBetweenOrdersKeepsCheckpointOfGang(t *testing.T) {
	d, state := driverOfOneRun(t)
	apply := func(c workload.Command) {
		t.Helper()
		if err := state.ApplyOne(&c, 0); err != nil {
			t.Fatal(err)
		}
	}
	size := workload.Size{Processors: 1, MemoryMB: 1}
	apply(workload.Command{Register: &workload.Worker{
		ID: "v", Incarnation: 1, Pool: "p", Address: "b", Capacity: workload.Size{Processors: 2, MemoryMB: 2},
	}})
	apply(workload.Command{Submit: &workload.Submit{ID: "g", Queue: "q", Spec: workload.Spec{
		Repeat: 1, Steps: []workload.Step{{Count: 2, Need: size, Gang: true}},
	}}})
	ref := func(i int) workload.TaskRef { return workload.TaskRef{Job: "g", Index: i} }
	assign := func(run int64) {
		for i := range 2 {
			d.assign(&workload.Assign{Task: ref(i), Run: run, Worker: "v", Incarnation: 1})
		}
	}
	assign(1)
	d.endRun(d.runs[ref(0)], workload.OutcomeStopped, "a", 1, "test")
	d.endRun(d.runs[ref(1)], workload.OutcomeStopped, "b", 2, "test")
	assign(2)
	first, second := d.runs[ref(0)], d.runs[ref(1)]
	if first.checkpoint != "b" || second.checkpoint != "b" {
		t.Errorf("checkpoints %q and %q, want that of the last end, b", first.checkpoint, second.checkpoint)
	}
	d.endRun(first, workload.OutcomeStopped, "c", 3, "test")
	if second.checkpoint != "b" {
		t.Errorf("the other member starts from %q after the end, want b", second.checkpoint)
	}
}

// TestGangOfOlderBuildHasOneCheckpoint guards against members that start from different
// checkpoints because an older build stored one for each of them.
func TestGangOfOlderBuildHasOneCheckpoint(t *testing.T) {
	_, state := driverOfOneRun(t)
	size := workload.Size{Processors: 1, MemoryMB: 1}
	ref := func(i int) workload.TaskRef { return workload.TaskRef{Job: "g", Index: i} }
	commands := []workload.Command{
		{Register: &workload.Worker{ID: "v", Incarnation: 1, Pool: "p", Address: "b", Capacity: workload.Size{Processors: 2, MemoryMB: 2}}},
		{Submit: &workload.Submit{ID: "g", Queue: "q", Spec: workload.Spec{Repeat: 1, Steps: []workload.Step{{Count: 2, Need: size, Gang: true}}}}},
	}
	for i, checkpoint := range []string{"", "b"} {
		commands = append(commands,
			workload.Command{Assign: &workload.Assign{Task: ref(i), Run: 1, Worker: "v", Incarnation: 1}},
			workload.Command{End: &workload.End{Task: ref(i), Run: 1, Worker: "v", Incarnation: 1, Outcome: workload.OutcomeStopped, Checkpoint: checkpoint}})
	}
	for _, c := range commands {
		if err := state.ApplyOne(&c, 0); err != nil {
			t.Fatal(err)
		}
	}
	if _, own := state.TaskOf(ref(0)); own.Checkpoint != "" {
		t.Errorf("an entry of an older build stored %q for another member", own.Checkpoint)
	}
	if a, b := state.CheckpointOf(ref(0)), state.CheckpointOf(ref(1)); a != "b" || b != "b" {
		t.Errorf("checkpoints %q and %q, want b", a, b)
	}
}
