package plan_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"magnoliastand.example/workload"
	"magnoliastand.example/workload/plan"
)

// world builds states for the planner.
type world struct {
	t     *testing.T
	state *workload.State
	conds map[string]plan.Condition
	// failedOn is the worker on which every task failed last.
	failedOn string
}

func decode(raw []byte) (workload.Document, error) {
	var d workload.Document
	err := json.Unmarshal(raw, &d)
	return d, err
}

func newWorld(t *testing.T, limit workload.Size) *world {
	t.Helper()
	w := &world{t: t, state: workload.New(decode), conds: map[string]plan.Condition{}}
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
	w.do(workload.Command{PutDocument: &workload.PutDocument{Raw: raw}}, 0)
	return w
}

func (w *world) do(c workload.Command, now workload.Millis) {
	w.t.Helper()
	if err := w.state.ApplyOne(&c, now); err != nil {
		w.t.Fatal(err)
	}
}

func (w *world) worker(id string, cores int64, labels ...string) {
	w.t.Helper()
	w.do(workload.Command{Register: &workload.Worker{
		ID: id, Incarnation: 1, Pool: "p", Address: id, Labels: labels,
		Capacity: workload.Size{Processors: cores, MemoryMB: 1000},
	}}, 0)
	w.conds[id] = plan.Condition{Usable: true}
}

func (w *world) job(id, queue string, at workload.Millis, steps ...workload.Step) {
	w.t.Helper()
	w.do(workload.Command{Submit: &workload.Submit{ID: id, Queue: queue, Team: "t", Spec: workload.Spec{Repeat: 1, Steps: steps}}}, at)
}

func (w *world) plan(now workload.Millis) plan.Plan {
	return plan.Tasks(&plan.Input{
		State: w.state, Now: now, Condition: func(id string) plan.Condition { return w.conds[id] },
		Tickets:   func(workload.TaskRef) (map[string]string, bool) { return nil, false },
		NotBefore: func(workload.TaskRef) workload.Millis { return 0 },
		FailedOn:  func(workload.TaskRef) string { return w.failedOn },
	})
}

// take applies a plan; the state must accept every assignment.
func (w *world) take(p plan.Plan) {
	w.t.Helper()
	for i := range p.Assign {
		w.do(workload.Command{Assign: &p.Assign[i]}, 0)
	}
}

func step(count int, cores int64) workload.Step {
	return workload.Step{Count: count, Need: workload.Size{Processors: cores, MemoryMB: 1}, Estimate: 1000}
}

func jobs(p plan.Plan) []string {
	var out []string
	for _, a := range p.Assign {
		out = append(out, a.Task.Job)
	}
	return out
}

func TestWorkIsPacked(t *testing.T) {
	w := newWorld(t, workload.Size{})
	w.worker("w1", 8)
	w.worker("w2", 8)
	w.job("a", "q", 0, step(8, 1))
	p := w.plan(0)
	used := map[string]int{}
	for _, a := range p.Assign {
		used[a.Worker]++
	}
	if len(used) != 1 || len(p.Assign) != 8 {
		t.Errorf("8 tasks of one core on %v", used)
	}
}

func TestTaskAvoidsTheWorkerOnWhichItFailed(t *testing.T) {
	w := newWorld(t, workload.Size{})
	w.worker("w1", 8)
	w.worker("w2", 8)
	w.failedOn = w.plan1(step(1, 1))
	if again := w.plan1(step(1, 1)); again == w.failedOn {
		t.Errorf("the task goes to %s again", again)
	}
	delete(w.conds, "w1")
	w.failedOn = "w2"
	if again := w.plan1(step(1, 1)); again != "w2" {
		t.Errorf("the task goes to %q, only w2 is there", again)
	}
}

// plan1 returns the worker that a job of one task would go to.
func (w *world) plan1(s workload.Step) string {
	w.t.Helper()
	if _, known := w.state.Job("one"); !known {
		w.job("one", "q", 0, s)
	}
	p := w.plan(0)
	if len(p.Assign) != 1 {
		return ""
	}
	return p.Assign[0].Worker
}

func TestWhatCanBeInTimeStartsFirst(t *testing.T) {
	w := newWorld(t, workload.Size{})
	w.worker("w1", 1)
	w.job("late", "q", 0, step(1, 1))
	w.job("timely", "q", 900, step(1, 1))
	if got := jobs(w.plan(1000)); len(got) != 1 || got[0] != "timely" {
		t.Errorf("started %v", got)
	}
}

func TestPriorityComesBeforeTheObjective(t *testing.T) {
	w := newWorld(t, workload.Size{})
	w.worker("w1", 1)
	w.job("patient", "patient", 0, step(1, 1))
	w.job("urgent", "urgent", 50, step(1, 1))
	if got := jobs(w.plan(60)); len(got) != 1 || got[0] != "urgent" {
		t.Errorf("started %v", got)
	}
}

func TestTeamLimitHoldsBackAndCallsForNoRoom(t *testing.T) {
	w := newWorld(t, workload.Size{Processors: 3})
	w.worker("w1", 8)
	w.job("a", "q", 0, step(8, 1))
	p := w.plan(0)
	if len(p.Assign) != 3 || len(p.Waiting) != 0 {
		t.Errorf("%d started, waiting %v", len(p.Assign), p.Waiting)
	}
}

func TestWaitingCountsWhatFindsNoRoom(t *testing.T) {
	w := newWorld(t, workload.Size{})
	w.worker("w1", 4)
	w.job("a", "q", 0, step(8, 1))
	w.job("b", "q", 0, step(2, 2))
	p := w.plan(0)
	if got := p.Waiting["p"].Processors; got != 8 {
		t.Errorf("%d cores wait, 8 do", got)
	}
}

// A task that fits nowhere must not hide smaller ones behind it.
func TestSmallerTasksPassBigOnes(t *testing.T) {
	w := newWorld(t, workload.Size{})
	w.worker("w1", 4)
	w.job("a", "q", 0, step(1, 5))
	w.job("b", "q", 1, step(2, 2))
	if got := jobs(w.plan(1)); len(got) != 2 || got[0] != "b" {
		t.Errorf("started %v", got)
	}
}

func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	w := newWorld(t, workload.Size{})
	w.worker("w1", 4)
	gang := step(5, 1)
	gang.Gang = true
	w.job("gang", "q", 0, gang)
	w.job("single", "q", 1, step(4, 1))
	p := w.plan(1)
	if got := jobs(p); len(got) != 4 || got[0] != "single" {
		t.Errorf("started %v", got)
	}
	w.take(p)
}

func TestAntiAffinityAndLabels(t *testing.T) {
	w := newWorld(t, workload.Size{})
	w.worker("w1", 8, "a", "r1")
	w.worker("w2", 8, "b", "r1")
	apart, labelled := step(4, 1), step(1, 1)
	apart.AntiAffinity, labelled.Requires = 1, "b"
	w.job("apart", "q", 0, apart)
	w.job("labelled", "q", 0, labelled)
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
	w.take(p)
}

func TestTasksGoToTheirData(t *testing.T) {
	w := newWorld(t, workload.Size{})
	w.worker("w1", 8, "a", "r1")
	w.worker("w2", 8, "a", "r2")
	near := step(3, 1)
	near.DataRack = "r2"
	w.job("near", "q", 0, near)
	for _, a := range w.plan(0).Assign {
		if a.Worker != "w2" {
			t.Errorf("task on %s", a.Worker)
		}
	}
}

func TestFillingAndServingTasksKeepApart(t *testing.T) {
	w := newWorld(t, workload.Size{})
	w.worker("w1", 8)
	w.worker("w2", 8)
	serving, filling := step(1, 2), step(1, 2)
	serving.TailTarget, serving.LongRunning = 50, true
	filling.Fills, filling.LongRunning = true, true
	w.job("a-serving", "q", 0, serving)
	w.job("b-filling", "q", 0, filling)
	p := w.plan(0)
	if len(p.Assign) != 2 || p.Assign[0].Worker == p.Assign[1].Worker {
		t.Errorf("%+v", p.Assign)
	}
}

func TestLastingTasksAvoidLeavingWorkers(t *testing.T) {
	w := newWorld(t, workload.Size{})
	w.worker("w1", 8)
	w.worker("w2", 8)
	w.conds["w1"] = plan.Condition{Usable: true, Leaving: true}
	lasting := step(1, 1)
	lasting.LongRunning = true
	w.job("a-lasting", "q", 0, lasting)
	w.job("b-short", "q", 0, step(1, 8))
	for _, a := range w.plan(0).Assign {
		if want := map[string]string{"a-lasting": "w2", "b-short": "w1"}[a.Task.Job]; a.Worker != want {
			t.Errorf("%s on %s, want %s", a.Task, a.Worker, want)
		}
	}
}

// A team beyond its share waits for one within it, even if its job is due first.
func TestTeamsComeNearTheirShares(t *testing.T) {
	for name, tc := range map[string]struct {
		weights map[string]float64
		want    string
	}{
		"equal shares":             {map[string]float64{"large": 1, "small": 1}, "small"},
		"a share as large as used": {map[string]float64{"large": 100, "small": 1}, "large"},
		"no shares":                {map[string]float64{}, "large"},
	} {
		w := newWorld(t, workload.Size{})
		raw, err := json.Marshal(workload.Document{
			Version: 2, Pools: []workload.Pool{{Name: "p"}},
			Queues: []workload.Queue{{Name: "q", Pool: "p", MaxAttempts: 3, Stretch: 1, Target: 10_000}},
			Teams:  []workload.Team{{Name: "large", Weight: tc.weights["large"]}, {Name: "small", Weight: tc.weights["small"]}},
		})
		if err != nil {
			t.Fatal(err)
		}
		w.do(workload.Command{PutDocument: &workload.PutDocument{Raw: raw}}, 0)
		w.worker("w1", 8)
		submit := func(id, team string, at workload.Millis, tasks int) {
			w.do(workload.Command{Submit: &workload.Submit{ID: id, Queue: "q", Team: team, Spec: workload.Spec{
				Repeat: 1, Steps: []workload.Step{step(tasks, 1)},
			}}}, at)
		}
		submit("a", "large", 0, 5)
		submit("b", "small", 0, 1)
		w.take(w.plan(0))
		submit("c", "large", 1, 2)
		submit("d", "small", 2, 2)
		p := w.plan(2)
		if len(p.Assign) != 2 {
			t.Fatalf("%s: %d assignments, want 2", name, len(p.Assign))
		}
		for _, a := range p.Assign {
			if j, _ := w.state.Job(a.Task.Job); j.Team != tc.want {
				t.Errorf("%s: the room went to %s", name, j.Team)
			}
		}
	}
}

func TestLaterOccurrencesWait(t *testing.T) {
	w := newWorld(t, workload.Size{})
	w.worker("w1", 8)
	w.do(workload.Command{Submit: &workload.Submit{ID: "timed", Queue: "q", Spec: workload.Spec{
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

// instances makes n instances of a pool.
func instances(pool string, n int, idle workload.Millis, movable bool) []plan.PoolInstance {
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

func TestMovesFollowTheDemand(t *testing.T) {
	const settle = 1000
	standby := plan.PoolDemand{Standby: true}
	cases := map[string]struct {
		pools     map[string]plan.PoolDemand
		instances []plan.PoolInstance
		want      map[string]int // moves by "from>to"
	}{
		"idle instances are parked": {
			map[string]plan.PoolDemand{"p": demand(50, 0), "s": standby},
			instances("p", 5, settle, true), map[string]int{"p>s": 3}},
		"instances idle for a short time stay": {
			map[string]plan.PoolDemand{"p": demand(50, 0), "s": standby},
			instances("p", 5, settle-1, true), map[string]int{}},
		"busy instances stay": {
			map[string]plan.PoolDemand{"p": demand(50, 0), "s": standby},
			instances("p", 5, settle, false), map[string]int{}},
		"work that waits takes standby instances first": {
			map[string]plan.PoolDemand{"p": demand(90, 135), "q": demand(0, 0), "s": standby},
			append(append(instances("p", 1, 0, false), instances("q", 3, settle, true)...), instances("s", 2, 0, true)...),
			map[string]int{"s>p": 2, "q>p": 1, "q>s": 1}},
		"nothing to take": {
			map[string]plan.PoolDemand{"p": demand(90, 500), "q": demand(90, 0), "s": standby},
			append(instances("p", 1, 0, false), instances("q", 2, 0, false)...), map[string]int{}},
		"without a standby pool nothing is parked": {
			map[string]plan.PoolDemand{"p": demand(0, 0), "q": demand(0, 0)},
			instances("p", 5, settle, true), map[string]int{"p>q": 1}},
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

// Instances of another kind can't take the place of those that a pool has.
func TestMovesKeepToTheKind(t *testing.T) {
	other := instances("s", 3, 0, true)
	for i := range other {
		other[i].Kind = "b"
	}
	in := &plan.PoolInput{
		Pools:     map[string]plan.PoolDemand{"p": demand(90, 900), "s": {Standby: true}},
		Instances: append(instances("p", 1, 0, false), other...), Settle: 1000,
	}
	if moves := plan.Moves(in); len(moves) != 0 {
		t.Errorf("moves %v", moves)
	}
}

func BenchmarkTasksWithBacklog(b *testing.B) {
	w := &world{t: &testing.T{}, state: workload.New(decode), conds: map[string]plan.Condition{}}
	raw, _ := json.Marshal(workload.Document{Version: 1, Pools: []workload.Pool{{Name: "p"}}, Queues: []workload.Queue{{Name: "q", Pool: "p", MaxAttempts: 3, Stretch: 1, Target: 100}}})
	w.do(workload.Command{PutDocument: &workload.PutDocument{Raw: raw}}, 0)
	for i := range 80 {
		w.worker(fmt.Sprint("w", i), 64)
	}
	for i := range 1000 {
		w.job(fmt.Sprint("j", i), "q", 0, step(8, 6))
	}
	b.ResetTimer()
	for b.Loop() {
		w.plan(10)
	}
}
