package plan_test

import (
	"fmt"
	"testing"

	"magnoliastand.example/workload"
	"magnoliastand.example/workload/plan"
)

// evacuated marks instances as those of an evacuated zone.
func evacuated(instances []plan.PoolInstance) []plan.PoolInstance {
	for i := range instances {
		instances[i].Name += "-evacuated"
		instances[i].Evacuated, instances[i].Ready = true, false
	}
	return instances
}

// Guards against a pool whose instances in an evacuated zone count as capacity, against such
// instances that another pool takes, and against ones that are returned before they are replaced.
func TestMovesReplaceEvacuatedInstances(t *testing.T) {
	const settle = 1000
	standby := plan.PoolDemand{Standby: true}
	cases := map[string]struct {
		pools     map[string]plan.PoolDemand
		instances []plan.PoolInstance
		want      map[string]int // moves by "from>to"
	}{
		"lost capacity is replaced at once": {
			map[string]plan.PoolDemand{"p": demand(150, 0), "s": standby},
			append(append(makeInstances("p", 1, 0, false), evacuated(makeInstances("p", 2, 0, false))...), makeInstances("s", 5, 0, true)...),
			map[string]int{"s>p": 2}},
		"no evacuated donor": {
			map[string]plan.PoolDemand{"p": demand(90, 135), "q": demand(0, 0), "s": standby},
			append(append(makeInstances("p", 1, 0, false), evacuated(makeInstances("q", 3, settle, true))...), evacuated(makeInstances("s", 2, 0, true))...),
			map[string]int{}},
		"idle evacuated instances return once they are replaced": {
			map[string]plan.PoolDemand{"p": demand(50, 0), "s": standby},
			append(makeInstances("p", 2, 0, false), evacuated(makeInstances("p", 2, settle, true))...), map[string]int{"p>s": 2}},
		"idle evacuated instances stay while none replaces them": {
			map[string]plan.PoolDemand{"p": demand(50, 0), "s": standby},
			append(makeInstances("p", 1, 0, false), evacuated(makeInstances("p", 2, settle, true))...), map[string]int{}},
		"busy evacuated instances stay": {
			map[string]plan.PoolDemand{"p": demand(50, 0), "s": standby},
			append(makeInstances("p", 2, 0, false), evacuated(makeInstances("p", 2, settle, false))...), map[string]int{}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			got := map[string]int{}
			for _, m := range plan.Moves(&plan.PoolInput{Pools: tc.pools, Instances: tc.instances, Settle: settle}) {
				got[m.From+">"+m.To]++
			}
			if fmt.Sprint(got) != fmt.Sprint(tc.want) {
				t.Errorf("moves %v, want %v", got, tc.want)
			}
		})
	}
}

// Guards against tasks on slow workers while warm ones have room, also away from their data, and
// against tasks that wait for a warm one.
func TestWarmWorkersArePreferred(t *testing.T) {
	w := newFixture(t, workload.Size{})
	w.addWorker("cold", 4, "near")
	w.addWorker("warm", 2, "far")
	w.conditions["cold"] = plan.Condition{Usable: true, Cold: true}
	s := step(3, 1)
	s.DataRack = "near"
	w.addJob("j", "q", 0, s)
	on := map[string]int{}
	for _, a := range w.plan(10).Assign {
		on[a.Worker]++
	}
	if on["warm"] != 2 || on["cold"] != 1 {
		t.Errorf("tasks by worker: %v", on)
	}
}

// Guards against a slow worker that is started on faster than its pool allows, by one plan or by
// several, by single tasks or by a gang, and against tasks that are not planned again in time.
func TestColdWorkerIsStartedOnAtItsPace(t *testing.T) {
	for name, tc := range map[string]struct {
		next     workload.Millis // NextStart of both workers; the plan is made at 1,000
		gang     bool
		tasks    int
		assigned int
		wake     workload.Millis
	}{
		"one on each worker":         {0, false, 5, 2, 1250},
		"not before the next start":  {1100, false, 5, 0, 1100},
		"due now":                    {1000, false, 5, 2, 1250},
		"gang":                       {0, true, 2, 2, 0},
		"gang that has to wait":      {0, true, 3, 0, 1250},
		"gang before the next start": {1100, true, 2, 0, 1100},
	} {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t, workload.Size{})
			for _, id := range []string{"w1", "w2"} {
				w.addWorker(id, 8)
				w.conditions[id] = plan.Condition{Usable: true, Cold: true, NextStart: tc.next, StartInterval: 250}
			}
			s := step(tc.tasks, 1)
			s.Gang = tc.gang
			w.addJob("j", "q", 0, s)
			p := w.plan(1000)
			on := map[string]bool{}
			for _, a := range p.Assign {
				on[a.Worker] = true
			}
			if len(p.Assign) != tc.assigned || len(on) != tc.assigned || p.Wake != tc.wake {
				t.Errorf("%d tasks on %d workers, want %d; next plan at %d, want %d", len(p.Assign), len(on), tc.assigned, p.Wake, tc.wake)
			}
		})
	}
}

// Guards against a gang that is taken back and leaves a slow worker closed to the next job.
func TestGangTakenBackLeavesPace(t *testing.T) {
	w := newFixture(t, workload.Size{})
	w.addWorker("w1", 8)
	w.conditions["w1"] = plan.Condition{Usable: true, Cold: true, StartInterval: 250}
	gang := step(2, 1)
	gang.Gang = true
	w.addJob("a", "q", 0, gang)
	w.addJob("b", "q", 1, step(1, 1))
	if p := w.plan(1000); len(p.Assign) != 1 || p.Assign[0].Task.Job != "b" {
		t.Errorf("%+v", p.Assign)
	}
}
