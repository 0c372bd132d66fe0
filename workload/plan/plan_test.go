package plan_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"magnoliastand.example/workload"
	"magnoliastand.example/workload/plan"
)

// fixture builds the input of the planner.
type fixture struct {
	t          testing.TB
	state      *workload.State
	conditions map[string]plan.Condition
	// failedOn is the worker on which every task last failed.
	failedOn string
	// crashedAt is the address at which all crashes under the tasks of a job were.
	crashedAt map[string]string
	// remoteFactor is the run time of a task outside the rack of its data.
	remoteFactor float64
	// beyond reports the jobs beyond their team's rate; it may be nil.
	beyond func(job string) bool
}

func decodeJSONDocument(raw []byte) (workload.Document, error) {
	var d workload.Document
	err := json.Unmarshal(raw, &d)
	return d, err
}

func newFixture(t testing.TB, limit workload.Size) *fixture {
	t.Helper()
	w := &fixture{t: t, state: workload.New(decodeJSONDocument), conditions: map[string]plan.Condition{}, remoteFactor: 2}
	raw, err := json.Marshal(workload.Document{
		Version: 1,
		Pools:   []workload.Pool{{Name: "p"}, {Name: "o"}},
		Queues: []workload.Queue{
			{Name: "q", Pool: "p", MaxAttempts: 3, Stretch: 1, Target: 100},
			{Name: "urgent", Pool: "p", Priority: 0, MaxAttempts: 3, Stretch: 1, Target: 100},
			{Name: "patient", Pool: "p", Priority: 1, MaxAttempts: 3, Stretch: 1, Target: 100},
		},
		Teams: []workload.Team{{Name: "t", Limit: limit}},
	})
	if err != nil {
		t.Fatal(err)
	}
	w.apply(workload.Command{PutDocument: &workload.PutDocument{Raw: raw}}, 0)
	return w
}

func (w *fixture) apply(c workload.Command, now workload.Millis) {
	w.t.Helper()
	if err := w.state.ApplyOne(&c, now); err != nil {
		w.t.Fatal(err)
	}
}

func (w *fixture) addWorker(id string, cores int64, labels ...string) {
	w.t.Helper()
	w.apply(workload.Command{Register: &workload.Worker{
		ID: id, Incarnation: 1, Pool: "p", Address: id, Labels: labels,
		Capacity: workload.Size{Processors: cores, MemoryMB: 1000},
	}}, 0)
	w.conditions[id] = plan.Condition{Usable: true}
}

func (w *fixture) addJob(id, queue string, at workload.Millis, steps ...workload.Step) {
	w.t.Helper()
	w.apply(workload.Command{Submit: &workload.Submit{ID: id, Queue: queue, Team: "t", Spec: workload.Spec{Repeat: 1, Steps: steps}}}, at)
}

func (w *fixture) plan(now workload.Millis) plan.Plan {
	return plan.Tasks(&plan.Input{
		State: w.state, Now: now, Condition: func(id string) plan.Condition { return w.conditions[id] },
		Tickets:      func(workload.TaskRef) (plan.Tickets, bool) { return nil, false },
		NotBefore:    func(workload.TaskRef) workload.Millis { return 0 },
		FailedOn:     func(workload.TaskRef) string { return w.failedOn },
		RemoteFactor: w.remoteFactor,
		Beyond:       w.beyond,
	})
}

// applyPlan applies a plan and fails the test if the state rejects an assignment.
func (w *fixture) applyPlan(p plan.Plan) {
	w.t.Helper()
	for i := range p.Assign {
		w.apply(workload.Command{Assign: &p.Assign[i]}, 0)
	}
}

func step(count int, cores int64) workload.Step {
	return workload.Step{Count: count, Need: workload.Size{Processors: cores, MemoryMB: 1}, Estimate: 1000}
}

func assignedJobs(p plan.Plan) []string {
	var out []string
	for _, a := range p.Assign {
		out = append(out, a.Task.Job)
	}
	return out
}

func TestTasksArePacked(t *testing.T) {
	w := newFixture(t, workload.Size{})
	w.addWorker("w1", 8)
	w.addWorker("w2", 8)
	w.addJob("a", "q", 0, step(8, 1))
	p := w.plan(0)
	used := map[string]int{}
	for _, a := range p.Assign {
		used[a.Worker]++
	}
	if len(used) != 1 || len(p.Assign) != 8 {
		t.Errorf("8 single-core tasks were assigned to %v, want all on one worker", used)
	}
}

func TestTaskAvoidsWorkerOnWhichItFailed(t *testing.T) {
	w := newFixture(t, workload.Size{})
	w.addWorker("w1", 8)
	w.addWorker("w2", 8)
	w.failedOn = w.planOneTask(step(1, 1))
	if again := w.planOneTask(step(1, 1)); again == w.failedOn {
		t.Errorf("the task is assigned to %s again", again)
	}
	delete(w.conditions, "w1")
	w.failedOn = "w2"
	if again := w.planOneTask(step(1, 1)); again != "w2" {
		t.Errorf("the task is assigned to %q, want w2, the only usable worker", again)
	}
}

// planOneTask returns the worker to which a job of one task is assigned, or "".
func (w *fixture) planOneTask(s workload.Step) string {
	w.t.Helper()
	if _, known := w.state.Job("one"); !known {
		w.addJob("one", "q", 0, s)
	}
	p := w.plan(0)
	if len(p.Assign) != 1 {
		return ""
	}
	return p.Assign[0].Worker
}

func TestOnTimeJobsStartFirst(t *testing.T) {
	w := newFixture(t, workload.Size{})
	w.addWorker("w1", 1)
	w.addJob("late", "q", 0, step(1, 1))
	w.addJob("on-time", "q", 900, step(1, 1))
	if got := assignedJobs(w.plan(940)); len(got) != 1 || got[0] != "on-time" {
		t.Errorf("started %v", got)
	}
}

func TestPriorityPrecedesDeadline(t *testing.T) {
	w := newFixture(t, workload.Size{})
	w.addWorker("w1", 1)
	w.addJob("patient", "patient", 0, step(1, 1))
	w.addJob("urgent", "urgent", 50, step(1, 1))
	if got := assignedJobs(w.plan(60)); len(got) != 1 || got[0] != "urgent" {
		t.Errorf("started %v", got)
	}
}

func TestTeamLimitBoundsAssignmentsAndWaitingDemand(t *testing.T) {
	w := newFixture(t, workload.Size{Processors: 3})
	w.addWorker("w1", 8)
	w.addJob("a", "q", 0, step(8, 1))
	p := w.plan(0)
	if len(p.Assign) != 3 || len(p.Waiting) != 0 {
		t.Errorf("%d started, waiting %v", len(p.Assign), p.Waiting)
	}
}

// Guards against a job that no worker can run keeping all later jobs of its team from
// starting, as if it used the team's limit.
func TestUnplaceableJobDoesNotUseTeamLimit(t *testing.T) {
	labelled, gang := step(4, 1), step(4, 1)
	labelled.Requires = "absent"
	gang.Gang, gang.Requires = true, "absent"
	for name, unplaceable := range map[string]workload.Step{"label": labelled, "gang": gang, "size": step(1, 4)} {
		w := newFixture(t, workload.Size{Processors: 4})
		w.addWorker("w1", 3)
		w.addWorker("w2", 3)
		w.addJob("a", "q", 0, unplaceable)
		w.addJob("b", "q", 1, step(4, 1))
		p := w.plan(1)
		if got := assignedJobs(p); len(got) != 4 || got[0] != "b" {
			t.Errorf("%s: assigned %v, want the 4 tasks of b", name, got)
		}
		w.applyPlan(p)
	}
}

// Guards against a task that never starts because long-running tasks of its team leave
// less of the limit than it needs, although the team uses less than half of it. A second
// such task has to wait.
func TestTaskStartsWhileTeamUsesHalfOfItsLimit(t *testing.T) {
	w := newFixture(t, workload.Size{Processors: 20})
	w.addWorker("w1", 100)
	w.addJob("lasting", "q", 0, step(1, 9))
	w.applyPlan(w.plan(0))
	w.addJob("a", "q", 1, step(2, 12))
	p := w.plan(1)
	if got := assignedJobs(p); len(got) != 1 || got[0] != "a" {
		t.Fatalf("assigned %v, want one task of a", got)
	}
	w.applyPlan(p)
	if got := assignedJobs(w.plan(2)); len(got) != 0 {
		t.Errorf("assigned %v to a team above its limit", got)
	}
}

// Guards against a task that may start but for which no capacity is requested.
func TestWaitingCountsTaskAdmittedByHalfOfLimit(t *testing.T) {
	w := newFixture(t, workload.Size{Processors: 20})
	w.addWorker("w1", 10)
	w.addJob("lasting", "q", 0, step(1, 9))
	w.applyPlan(w.plan(0))
	w.addJob("a", "q", 1, step(2, 12))
	if got := w.plan(1).Waiting["p"].Processors; got != 12 {
		t.Errorf("%d cores waiting, want the 12 of one task", got)
	}
}

// Guards against a team that requests more capacity than its limit: what runs and what
// waits count together, in whichever order they are planned.
func TestDemandOfTeamIsBoundedByItsLimit(t *testing.T) {
	w := newFixture(t, workload.Size{Processors: 4})
	w.addWorker("w1", 8)
	unplaceable := step(4, 1)
	unplaceable.Requires = "absent"
	w.addJob("a", "q", 0, unplaceable)
	w.addJob("b", "q", 1, step(3, 1))
	p := w.plan(1)
	if got := p.Waiting["p"].Processors; len(p.Assign) != 3 || got != 1 {
		t.Errorf("%d cores assigned and %d waiting, want 3 and 1", len(p.Assign), got)
	}
}

func TestWaitingCountsUnplacedTasks(t *testing.T) {
	w := newFixture(t, workload.Size{})
	w.addWorker("w1", 4)
	w.addJob("a", "q", 0, step(8, 1))
	w.addJob("b", "q", 0, step(2, 2))
	p := w.plan(0)
	if got := p.Waiting["p"].Processors; got != 8 {
		t.Errorf("%d cores waiting, want 8", got)
	}
}

// A task that fits on no worker must not block smaller tasks behind it.
func TestSmallerTasksBypassUnplaceableOnes(t *testing.T) {
	w := newFixture(t, workload.Size{})
	w.addWorker("w1", 4)
	w.addJob("a", "q", 0, step(1, 5))
	w.addJob("b", "q", 1, step(2, 2))
	if got := assignedJobs(w.plan(1)); len(got) != 2 || got[0] != "b" {
		t.Errorf("started %v", got)
	}
}

func TestGangIsAllOrNothing(t *testing.T) {
	w := newFixture(t, workload.Size{})
	w.addWorker("w1", 4)
	gang := step(5, 1)
	gang.Gang = true
	w.addJob("gang", "q", 0, gang)
	w.addJob("single", "q", 1, step(4, 1))
	p := w.plan(1)
	if got := assignedJobs(p); len(got) != 4 || got[0] != "single" {
		t.Errorf("started %v", got)
	}
	w.applyPlan(p)
}

func TestAntiAffinityAndLabels(t *testing.T) {
	w := newFixture(t, workload.Size{})
	w.addWorker("w1", 8, "a", "r1")
	w.addWorker("w2", 8, "b", "r1")
	apart, labelled := step(4, 1), step(1, 1)
	apart.AntiAffinity, labelled.Requires = 1, "b"
	w.addJob("apart", "q", 0, apart)
	w.addJob("labelled", "q", 0, labelled)
	p := w.plan(0)
	perWorker := map[string]int{}
	for _, a := range p.Assign {
		if a.Task.Job == "apart" {
			perWorker[a.Worker]++
		} else if a.Worker != "w2" {
			t.Errorf("labelled task on %s", a.Worker)
		}
	}
	if perWorker["w1"] != 1 || perWorker["w2"] != 1 || len(p.Assign) != 3 {
		t.Errorf("%v, %d assignments", perWorker, len(p.Assign))
	}
	w.applyPlan(p)
}

func TestTasksPreferTheirDataRack(t *testing.T) {
	w := newFixture(t, workload.Size{})
	w.addWorker("w1", 8, "a", "r1")
	w.addWorker("w2", 8, "a", "r2")
	near := step(3, 1)
	near.DataRack = "r2"
	w.addJob("near", "q", 0, near)
	for _, a := range w.plan(0).Assign {
		if a.Worker != "w2" {
			t.Errorf("task on %s", a.Worker)
		}
	}
}

func TestFillingAndServingTasksAreSeparated(t *testing.T) {
	w := newFixture(t, workload.Size{})
	w.addWorker("w1", 8)
	w.addWorker("w2", 8)
	serving, filling := step(1, 2), step(1, 2)
	serving.TailTarget, serving.LongRunning = 50, true
	filling.Fills, filling.LongRunning = true, true
	w.addJob("a-serving", "q", 0, serving)
	w.addJob("b-filling", "q", 0, filling)
	p := w.plan(0)
	if len(p.Assign) != 2 || p.Assign[0].Worker == p.Assign[1].Worker {
		t.Errorf("%+v", p.Assign)
	}
}

func TestLongRunningTasksAvoidLeavingWorkers(t *testing.T) {
	w := newFixture(t, workload.Size{})
	w.addWorker("w1", 8)
	w.addWorker("w2", 8)
	w.conditions["w1"] = plan.Condition{Usable: true, Leaving: true}
	longRunning := step(1, 1)
	longRunning.LongRunning = true
	w.addJob("a-long-running", "q", 0, longRunning)
	w.addJob("b-short", "q", 0, step(1, 8))
	for _, a := range w.plan(0).Assign {
		if want := map[string]string{"a-long-running": "w2", "b-short": "w1"}[a.Task.Job]; a.Worker != want {
			t.Errorf("%s on %s, want %s", a.Task, a.Worker, want)
		}
	}
}

// A team that exceeds its fair share yields to a team within its share, even if its
// own job is due first.
func TestTeamsOverShareWait(t *testing.T) {
	for name, tc := range map[string]struct {
		weights map[string]float64
		want    string
	}{
		"equal weights":           {map[string]float64{"large": 1, "small": 1}, "small"},
		"weight covers the usage": {map[string]float64{"large": 100, "small": 1}, "large"},
		"no weights":              {map[string]float64{}, "large"},
	} {
		w := newFixture(t, workload.Size{})
		raw, err := json.Marshal(workload.Document{
			Version: 2, Pools: []workload.Pool{{Name: "p"}},
			Queues: []workload.Queue{{Name: "q", Pool: "p", MaxAttempts: 3, Stretch: 1, Target: 10_000}},
			Teams:  []workload.Team{{Name: "large", Weight: tc.weights["large"]}, {Name: "small", Weight: tc.weights["small"]}},
		})
		if err != nil {
			t.Fatal(err)
		}
		w.apply(workload.Command{PutDocument: &workload.PutDocument{Raw: raw}}, 0)
		w.addWorker("w1", 8)
		submit := func(id, team string, at workload.Millis, tasks int) {
			w.apply(workload.Command{Submit: &workload.Submit{ID: id, Queue: "q", Team: team, Spec: workload.Spec{
				Repeat: 1, Steps: []workload.Step{step(tasks, 1)},
			}}}, at)
		}
		submit("a", "large", 0, 5)
		submit("b", "small", 0, 1)
		w.applyPlan(w.plan(0))
		submit("c", "large", 1, 2)
		submit("d", "small", 2, 2)
		p := w.plan(2)
		if len(p.Assign) != 2 {
			t.Fatalf("%s: %d assignments, want 2", name, len(p.Assign))
		}
		for _, a := range p.Assign {
			if j, _ := w.state.Job(a.Task.Job); j.Team != tc.want {
				t.Errorf("%s: the capacity went to team %s", name, j.Team)
			}
		}
	}
}

func TestOccurrencesWaitUntilDue(t *testing.T) {
	w := newFixture(t, workload.Size{})
	w.addWorker("w1", 8)
	w.apply(workload.Command{Submit: &workload.Submit{ID: "timed", Queue: "q", Spec: workload.Spec{
		Repeat: 3, StartAt: 1000, Interval: 500, Steps: []workload.Step{step(1, 1)},
	}}}, 0)
	if p := w.plan(900); len(p.Assign) != 0 || p.Wake != 1000 {
		t.Errorf("%+v", p)
	}
	p := w.plan(1500)
	if len(p.Assign) != 2 || p.Wake != 2000 {
		t.Errorf("%+v", p)
	}
}

// makeInstances returns n ready instances of a pool.
func makeInstances(pool string, n int, idle workload.Millis, movable bool) []plan.PoolInstance {
	var out []plan.PoolInstance
	for i := range n {
		out = append(out, plan.PoolInstance{
			Name: fmt.Sprintf("%s%d", pool, i), Pool: pool, Kind: "a", Capacity: workload.Size{Processors: 100, MemoryMB: 100},
			Ready: true, Movable: movable, IdleFor: idle,
		})
	}
	return out
}

func demand(running, waiting int64) plan.PoolDemand {
	return plan.PoolDemand{Running: workload.Size{Processors: running}, Waiting: workload.Size{Processors: waiting}}
}

func TestMovesFollowDemand(t *testing.T) {
	const settle = 1000
	standby := plan.PoolDemand{Standby: true}
	cases := map[string]struct {
		pools     map[string]plan.PoolDemand
		instances []plan.PoolInstance
		want      map[string]int // moves by "from>to"
	}{
		"idle instances move to standby": {
			map[string]plan.PoolDemand{"p": demand(50, 0), "s": standby},
			makeInstances("p", 5, settle, true), map[string]int{"p>s": 3}},
		"instances idle for a short time stay": {
			map[string]plan.PoolDemand{"p": demand(50, 0), "s": standby},
			makeInstances("p", 5, settle-1, true), map[string]int{}},
		"busy instances stay": {
			map[string]plan.PoolDemand{"p": demand(50, 0), "s": standby},
			makeInstances("p", 5, settle, false), map[string]int{}},
		"waiting tasks take standby instances first": {
			map[string]plan.PoolDemand{"p": demand(90, 135), "q": demand(0, 0), "s": standby},
			append(append(makeInstances("p", 1, 0, false), makeInstances("q", 3, settle, true)...), makeInstances("s", 2, 0, true)...),
			map[string]int{"s>p": 2, "q>p": 1, "q>s": 1}},
		"no movable instances": {
			map[string]plan.PoolDemand{"p": demand(90, 500), "q": demand(90, 0), "s": standby},
			append(makeInstances("p", 1, 0, false), makeInstances("q", 2, 0, false)...), map[string]int{}},
		"idle instances stay without a standby pool": {
			map[string]plan.PoolDemand{"p": demand(0, 0), "q": demand(0, 0)},
			makeInstances("p", 5, settle, true), map[string]int{"p>q": 1}},
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

// Instances of a different kind can't replace those of a pool.
func TestMovesRespectInstanceKind(t *testing.T) {
	other := makeInstances("s", 3, 0, true)
	for i := range other {
		other[i].Kind = "b"
	}
	in := &plan.PoolInput{
		Pools:     map[string]plan.PoolDemand{"p": demand(90, 900), "s": {Standby: true}},
		Instances: append(makeInstances("p", 1, 0, false), other...), Settle: 1000,
	}
	if moves := plan.Moves(in); len(moves) != 0 {
		t.Errorf("moves %v", moves)
	}
}

func BenchmarkTasksWithBacklog(b *testing.B) {
	w := &fixture{t: &testing.T{}, state: workload.New(decodeJSONDocument), conditions: map[string]plan.Condition{}, remoteFactor: 2}
	raw, _ := json.Marshal(workload.Document{Version: 1, Pools: []workload.Pool{{Name: "p"}}, Queues: []workload.Queue{{Name: "q", Pool: "p", MaxAttempts: 3, Stretch: 1, Target: 100}}})
	w.apply(workload.Command{PutDocument: &workload.PutDocument{Raw: raw}}, 0)
	for i := range 80 {
		w.addWorker(fmt.Sprint("w", i), 64)
	}
	for i := range 1000 {
		w.addJob(fmt.Sprint("j", i), "q", 0, step(8, 6))
	}
	b.ResetTimer()
	for b.Loop() {
		w.plan(10)
	}
}

// TestRemoteFactorWeighsDataRackAgainstLoad has two workers that are free but for
// the rack of the data, and a nearly full one in that rack. Work away from its
// data is only worth it if it takes little longer there.
func TestRemoteFactorWeighsDataRackAgainstLoad(t *testing.T) {
	for factor, want := range map[float64]string{1: "far", 3: "near"} {
		w := newFixture(t, workload.Size{})
		w.addWorker("far", 4000, "a", "r1")
		w.addWorker("near", 4000, "a", "r2")
		w.conditions["near"] = plan.Condition{Usable: true, Penalty: 2}
		s := step(1, 1000)
		s.DataRack = "r2"
		w.addJob("j", "q", 0, s)
		w.remoteFactor = factor
		p := w.plan(0)
		if len(p.Assign) != 1 || p.Assign[0].Worker != want {
			t.Errorf("factor %g: assigned %+v, want %s", factor, p.Assign, want)
		}
	}
}

// A worker whose capacity has shrunk below what runs on it takes nothing new, in whichever
// dimension it is exceeded, and no more than it offers. It takes work again once it has grown.
func TestShrunkWorkerTakesNoMore(t *testing.T) {
	filling := workload.Step{Count: 1, Need: workload.Size{Processors: 1, MemoryMB: 1}, Fills: true, Estimate: 1000}
	memoryOnly := workload.Step{Count: 1, Need: workload.Size{MemoryMB: 1}, Estimate: 1000}
	for name, shrunk := range map[string]workload.Size{
		"processors": {Processors: 3, MemoryMB: 1000}, "memory": {Processors: 8, MemoryMB: 3}, "both": {Processors: 1, MemoryMB: 1}, "nothing": {},
	} {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t, workload.Size{})
			w.addWorker("w1", 8)
			w.addJob("running", "q", 0, step(4, 1))
			w.applyPlan(w.plan(0))
			resize := func(to workload.Size) {
				changed := *w.state.Workers()["w1"]
				changed.Capacity = to
				w.apply(workload.Command{Register: &changed}, 0)
			}
			resize(shrunk)
			w.addJob("waiting", "q", 0, step(1, 1), filling, memoryOnly)
			p := w.plan(0)
			if len(p.Assign) != 0 {
				t.Errorf("assigned %+v", p.Assign)
			}
			if want := (workload.Size{Processors: 1, MemoryMB: 3}); p.Waiting["p"] != want {
				t.Errorf("waiting %+v, want %+v", p.Waiting["p"], want)
			}
			if n := len(w.state.Runs("w1")); n != 4 {
				t.Errorf("%d of 4 runs go on", n)
			}
			resize(workload.Size{Processors: 8, MemoryMB: 1000})
			if p := w.plan(0); len(p.Assign) != 3 {
				t.Errorf("%d of 3 tasks assigned after the worker has grown", len(p.Assign))
			}
		})
	}
}

// A worker that is over its capacity takes nothing from the free room of its rack. A gang that
// stays in one rack otherwise chooses one with less room.
func TestShrunkWorkerLeavesRackOfGang(t *testing.T) {
	w := newFixture(t, workload.Size{})
	w.addWorker("w1", 8, "a", "r1")
	w.addJob("running", "q", 0, step(8, 1))
	w.applyPlan(w.plan(0))
	shrunk := *w.state.Workers()["w1"]
	shrunk.Capacity.Processors = 1
	w.apply(workload.Command{Register: &shrunk}, 0)
	w.addWorker("w2", 4, "a", "r1")
	w.addWorker("w3", 2, "a", "r2")
	gang := step(4, 1)
	gang.Gang, gang.SameRack = true, true
	w.addJob("gang", "q", 0, gang)
	p := w.plan(0)
	if len(p.Assign) != 4 {
		t.Fatalf("%d of 4 tasks assigned", len(p.Assign))
	}
	for _, a := range p.Assign {
		if a.Worker != "w2" {
			t.Errorf("%s assigned to %s", a.Task, a.Worker)
		}
	}
}

// offering sets the share of its capacity, in percent, that each instance offers.
func offering(instances []plan.PoolInstance, percent int64) []plan.PoolInstance {
	for i := range instances {
		instances[i].Missing = workload.Size{Processors: instances[i].Capacity.Processors * (100 - percent) / 100}
	}
	return instances
}

// Instances whose workers have shrunk don't make up the size of a pool: it would not grow
// although it has no room for its demand.
func TestMovesCountWhatShrunkInstancesOffer(t *testing.T) {
	const settle = 1000
	for name, tc := range map[string]struct {
		percent int64
		want    map[string]int
	}{
		"whole":          {100, map[string]int{}},
		"nearly whole":   {92, map[string]int{}},
		"half":           {50, map[string]int{"s>p": 2}},
		"almost nothing": {1, map[string]int{"s>p": 4}},
	} {
		t.Run(name, func(t *testing.T) {
			got := map[string]int{}
			for _, m := range plan.Moves(&plan.PoolInput{
				Pools:     map[string]plan.PoolDemand{"p": demand(270, 0), "s": {Standby: true}},
				Instances: append(offering(makeInstances("p", 4, 0, false), tc.percent), makeInstances("s", 8, 0, true)...), Settle: settle,
			}) {
				got[m.From+">"+m.To]++
			}
			if fmt.Sprint(got) != fmt.Sprint(tc.want) {
				t.Errorf("moves %v, want %v", got, tc.want)
			}
		})
	}
}

// A shrunk instance that is idle counts for little when others are returned, and is returned
// itself.
func TestShrunkIdleInstancesReturnToStandby(t *testing.T) {
	const settle = 1000
	in := &plan.PoolInput{
		Pools:     map[string]plan.PoolDemand{"p": demand(90, 0), "s": {Standby: true}},
		Instances: append(offering(makeInstances("p", 2, settle, true), 1), makeInstances("p-full", 3, settle, true)...), Settle: settle,
	}
	for i := range in.Instances {
		in.Instances[i].Pool = "p"
	}
	left := map[string]bool{}
	for _, i := range in.Instances {
		left[i.Name] = true
	}
	for _, m := range plan.Moves(in) {
		delete(left, m.Instance)
	}
	if fmt.Sprint(left) != "map[p-full1:true p-full2:true]" && fmt.Sprint(left) != "map[p-full0:true p-full1:true]" {
		t.Errorf("left in the pool: %v, want two whole instances", left)
	}
}
