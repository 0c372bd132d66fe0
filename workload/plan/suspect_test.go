package plan_test

import (
	"fmt"
	"testing"

	"magnoliastand.example/workload"
	"magnoliastand.example/workload/plan"
)

// planSuspects plans with suspicions from the state.
func (w *fixture) planSuspects(trials int) plan.Plan {
	return plan.Tasks(&plan.Input{
		CrashedAt: func(task workload.TaskRef, address string) bool { return w.crashedAt[task.Job] == address },
		State:     w.state, Condition: func(id string) plan.Condition { return w.conditions[id] },
		Tickets:   func(workload.TaskRef) (plan.Tickets, bool) { return nil, false },
		NotBefore: func(workload.TaskRef) workload.Millis { return 0 },
		FailedOn:  func(workload.TaskRef) string { return "" },
		Suspicion: func(ref workload.TaskRef) workload.Suspicion {
			j, _ := w.state.TaskOf(ref)
			return j.SuspicionOf(ref)
		},
		Trials: func(string) int { return trials },
	})
}

// crash counts crashes just after the start under tasks of a job, each on a worker of its
// own.
func (w *fixture) crash(job string, tasks, times int) {
	w.t.Helper()
	for run := int64(1); run <= int64(times); run++ {
		for i := range tasks {
			ref := workload.TaskRef{Job: job, Index: i}
			w.apply(workload.Command{Register: &workload.Worker{ID: "gone", Incarnation: 1, Pool: "p", Address: "gone", Capacity: workload.Size{Processors: 100, MemoryMB: 100}}}, 0)
			w.apply(workload.Command{Assign: &workload.Assign{Task: ref, Run: run, Worker: "gone", Incarnation: 1}}, 0)
			w.apply(workload.Command{MarkWorkerLost: &workload.MarkWorkerLost{Worker: "gone", Incarnation: 1}}, 0)
			w.apply(workload.Command{Crash: &workload.Crash{Worker: "gone", Incarnation: 1, Runs: []workload.CrashedRun{{Task: ref, Run: run, Fresh: true}}}}, 0)
		}
	}
}

// workersOf returns the workers to which a plan assigns the tasks of a job.
func workersOf(p plan.Plan, job string) []string {
	var out []string
	for _, a := range p.Assign {
		if a.Task.Job == job {
			out = append(out, a.Worker)
		}
	}
	return out
}

// Tasks whose worker crashed just after their start must not be packed on one worker again,
// where they would crash together once more.
func TestSuspectsAreKeptApart(t *testing.T) {
	w := newFixture(t, workload.Size{})
	for n := range 3 {
		w.addWorker(fmt.Sprint("w", n), 8)
	}
	w.addJob("a", "q", 0, step(4, 1))
	w.crash("a", 4, 1)
	w.addJob("b", "q", 0, step(2, 1))
	p := w.planSuspects(0)
	got := workersOf(p, "a")
	if len(got) != 2 || got[0] == got[1] {
		t.Errorf("suspected tasks on %v, want two workers", got)
	}
	if len(workersOf(p, "b")) != 2 {
		t.Error("other tasks wait for suspected ones")
	}
	if p.Wake == 0 {
		t.Error("the waiting suspects are not planned again")
	}
	if n := len(workersOf(w.planSuspects(2), "a")); n != 0 {
		t.Errorf("%d more suspected tasks of one job are tried", n)
	}
}

// A suspected task goes where the fewest tasks run, not where most do.
func TestSuspectGoesToEmptiestWorker(t *testing.T) {
	w := newFixture(t, workload.Size{})
	w.addWorker("w0", 8)
	w.addJob("a", "q", 0, step(2, 1))
	w.applyPlan(w.planSuspects(0))
	w.addWorker("w1", 8)
	w.addJob("b", "q", 0, step(1, 1))
	w.crash("b", 1, 1)
	if got := workersOf(w.planSuspects(0), "b"); len(got) != 1 || got[0] != "w1" {
		t.Errorf("suspected task on %v, want the worker without runs", got)
	}
}

// A task under which two workers crashed runs alone: on a worker without runs, which takes
// no other task, or it waits while the emptiest worker is kept free for it.
func TestIsolatedTaskRunsAlone(t *testing.T) {
	w := newFixture(t, workload.Size{})
	w.addWorker("w0", 8)
	w.addJob("a", "q", 0, step(1, 1))
	w.applyPlan(w.planSuspects(0))
	w.addWorker("w1", 8)
	w.addJob("b", "q", 0, step(1, 1))
	w.crash("b", 1, 2)
	w.addJob("c", "q", 0, step(9, 1))
	p := w.planSuspects(0)
	if got := workersOf(p, "b"); len(got) != 1 || got[0] != "w1" {
		t.Fatalf("isolated task on %v", got)
	}
	for _, worker := range workersOf(p, "c") {
		if worker == "w1" {
			t.Fatal("a task is planned beside the isolated one")
		}
	}
	w.conditions["w1"] = plan.Condition{Usable: true, Closed: true, Trial: true}
	if got := workersOf(w.planSuspects(0), "b"); len(got) != 0 {
		t.Fatalf("isolated task on %v, beside another one or on a busy worker", got)
	}
	delete(w.conditions, "w1")
	if got := workersOf(w.planSuspects(0), "c"); len(got) != 0 {
		t.Error("the emptiest worker is not kept free for the isolated task")
	}
}

// All crashes under a task were at one address, whose worker may be at fault and is empty
// again. The task is tried elsewhere, alone or beside a few others, or waits.
func TestTaskIsTriedAwayFromItsCrashes(t *testing.T) {
	w := newFixture(t, workload.Size{})
	w.crashedAt = map[string]string{"a": "w0", "b": "w0"}
	w.addWorker("w1", 8)
	w.addJob("c", "q", 0, step(1, 1))
	w.applyPlan(w.planSuspects(0))
	w.addWorker("w0", 8)
	w.addJob("a", "q", 0, step(1, 1))
	w.crash("a", 1, 2)
	p := w.planSuspects(0)
	if got := workersOf(p, "a"); len(got) != 0 || p.Wake == 0 {
		t.Errorf("isolated task on %v, planned again at %d", got, p.Wake)
	}
	w.addJob("b", "q", 0, step(1, 1))
	w.crash("b", 1, 1)
	w.addWorker("w2", 8)
	p = w.planSuspects(0)
	if got := workersOf(p, "a"); len(got) != 1 || got[0] != "w2" {
		t.Errorf("isolated task on %v", got)
	}
	if got := workersOf(p, "b"); len(got) != 1 || got[0] != "w1" {
		t.Errorf("suspected task on %v", got)
	}
}
