package workload_test

import (
	"encoding/json"
	"testing"

	"magnoliastand.example/workload"
)

// FuzzApplyAndRestore decodes and applies arbitrary batches. The state must remain
// consistent, and its snapshot must restore to the same snapshot.
func FuzzApplyAndRestore(f *testing.F) {
	document, err := json.Marshal(workload.Document{
		Version: 1, Pools: []workload.Pool{{Name: "p"}}, Teams: []workload.Team{{Name: "t"}},
		Queues: []workload.Queue{{Name: "q", Pool: "p", MaxAttempts: 2, Stretch: 1, Target: 100}},
	})
	if err != nil {
		f.Fatal(err)
	}
	task := workload.TaskRef{Job: "j"}
	commands := []workload.Command{
		{PutDocument: &workload.PutDocument{Raw: document}},
		{Register: &workload.Worker{ID: "w", Incarnation: 1, Pool: "p", Address: "a", Capacity: workload.Size{Processors: 8, MemoryMB: 8}}},
		{Submit: &workload.Submit{ID: "j", Queue: "q", Team: "t", Spec: workload.Spec{Repeat: 1, Steps: []workload.Step{
			{Count: 2, Need: workload.Size{Processors: 1, MemoryMB: 1}, Estimate: 10}, {Count: 1, After: []int{0}},
		}}}},
		{Assign: &workload.Assign{Task: task, Run: 1, Worker: "w", Incarnation: 1}},
		{Begin: &workload.Begin{Job: "j"}},
		{End: &workload.End{Task: task, Run: 1, Worker: "w", Incarnation: 1, Outcome: workload.OutcomeDone, Number: 1}},
		{Cancel: &workload.Cancel{ID: "j"}},
		{MarkWorkerLost: &workload.MarkWorkerLost{Worker: "w", Incarnation: 1}},
		{MarkWorkerLost: &workload.MarkWorkerLost{Worker: "w", Incarnation: 2, Departed: true}},
		{Register: &workload.Worker{ID: "w", Incarnation: 3, Pool: "p", Address: "a", Capacity: workload.Size{Processors: 8, MemoryMB: 8}}},
		{Submit: &workload.Submit{ID: "k", Queue: "q", Team: "t", Spec: workload.Spec{Repeat: 1, Steps: []workload.Step{{Count: 2, Gang: true}}}}},
		{Assign: &workload.Assign{Task: workload.TaskRef{Job: "k"}, Run: 1, Worker: "w", Incarnation: 3}},
		{MoveRuns: &workload.MoveRuns{Worker: "w", From: 3, To: 4, Tasks: []workload.TaskRef{{Job: "k"}}}},
		{Register: &workload.Worker{ID: "w", Incarnation: 5, Pool: "p", Address: "a", Capacity: workload.Size{Processors: 8, MemoryMB: 8}}},
		{End: &workload.End{Task: workload.TaskRef{Job: "k"}, Run: 1, Worker: "w", Incarnation: 5, Outcome: workload.OutcomeFailed, Settles: true}},
		{End: &workload.End{Task: workload.TaskRef{Job: "k"}, Run: 1, Worker: "w", Incarnation: 5, Outcome: workload.OutcomeDone, Settles: true}},
		{EvacuateZone: &workload.EvacuateZone{Zone: "z"}},
		{EvacuateZone: &workload.EvacuateZone{Zone: "z", Finish: true}},
	}
	for n := range commands {
		data, err := workload.EncodeBatch(&workload.Batch{Now: 5, Commands: commands[:n+1]})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, []byte{})
	}
	f.Fuzz(func(t *testing.T, batch, snapshot []byte) {
		s := workload.New(decodeJSONDocument)
		if s.Restore(snapshot) != nil {
			s = workload.New(decodeJSONDocument)
		}
		if b, err := workload.DecodeBatch(batch); err == nil {
			s.Apply(b)
		}
		s.CheckAll()
		first, err := s.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		restored := workload.New(decodeJSONDocument)
		if err := restored.Restore(first); err != nil {
			t.Fatalf("own snapshot rejected: %v", err)
		}
		second, err := restored.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if string(first) != string(second) {
			t.Errorf("snapshot %x restores to %x", first, second)
		}
	})
}
