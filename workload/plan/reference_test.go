package plan

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"magnoliastand.example/workload"
)

// reference plans as Tasks does, but looks at every worker for every task and
// reads all sums anew.
type reference struct {
	in       *Input
	assigned []workload.Assign
	unplaced []unplacedTasks
	waiting  map[string]workload.Size
	// team is what the plan adds to the use of each team.
	team map[string]workload.Size
}

// unplacedTasks is a number of tasks of one step that could not be placed.
type unplacedTasks struct {
	job   *workload.Job
	step  *workload.Step
	tasks int
}

func (r *reference) free(w *workload.Worker) workload.Size {
	free := w.Capacity.Sub(r.in.State.Reserved(w.ID))
	for _, a := range r.assigned {
		if a.Worker == w.ID {
			j, _ := r.in.State.TaskOf(a.Task)
			free = free.Sub(j.Spec.Steps[a.Task.Step].Reserved())
		}
	}
	return free
}

func (r *reference) admits(j *workload.Job, step *workload.Step) bool {
	team, ok := r.in.State.Team(j.Team)
	used := r.in.State.TeamUse(j.Team).Add(r.team[j.Team])
	// Written out for the only limited dimension of these inputs.
	return !ok || team.Limit.Processors == 0 || used.Processors+step.Need.Processors <= team.Limit.Processors ||
		2*used.Processors <= team.Limit.Processors
}

// place assigns a task to the best worker, if there is one.
func (r *reference) place(j *workload.Job, ref workload.TaskRef, run int64, rack string) bool {
	step := &j.Spec.Steps[ref.Step]
	var best *workload.Worker
	var bestScore float64
	for _, w := range r.in.State.PoolWorkers(r.in.State.PoolOf(j)) {
		c := r.in.Condition(w.ID)
		h := host{worker: w, free: r.free(w), penalty: c.Penalty, leaving: c.Leaving, colocation: r.in.State.ColocationOf(w.ID)}
		same := r.in.State.SameStep(w.ID, ref)
		for _, a := range r.assigned {
			if a.Worker != w.ID {
				continue
			}
			o, _ := r.in.State.TaskOf(a.Task)
			h.colocation = h.colocation.Add(&o.Spec.Steps[a.Task.Step], 1)
			if a.Task.Job == ref.Job && a.Task.Occurrence == ref.Occurrence && a.Task.Step == ref.Step {
				same++
			}
		}
		labelled := step.Requires == ""
		for _, l := range w.Labels {
			labelled = labelled || l == step.Requires
		}
		if w.Draining || w.Lost || !c.Usable || !step.Reserved().Fits(h.free) || !labelled || step.AntiAffinity > 0 && same >= step.AntiAffinity {
			continue
		}
		score := h.score(step, rack, r.in.RemoteFactor)
		if w.ID == r.in.FailedOn(ref) {
			score += failedWorkerPenalty
		}
		if best == nil || score < bestScore {
			best, bestScore = w, score
		}
	}
	if best == nil {
		return false
	}
	r.assigned = append(r.assigned, workload.Assign{Task: ref, Run: run, Worker: best.ID, Incarnation: best.Incarnation})
	r.team[j.Team] = r.team[j.Team].Add(step.Need)
	return true
}

// addWaiting sums the waiting demand once the whole plan is known.
func (r *reference) addWaiting() {
	for _, u := range r.unplaced {
		pool := r.in.State.PoolOf(u.job)
		for ; u.tasks > 0 && r.admits(u.job, u.step); u.tasks-- {
			r.waiting[pool] = r.waiting[pool].Add(u.step.Reserved())
			r.team[u.job.Team] = r.team[u.job.Team].Add(u.step.Need)
		}
	}
}

// step plans a step that is not a gang.
func (r *reference) step(j *workload.Job, ref workload.TaskRef) {
	step, tasks := &j.Spec.Steps[ref.Step], j.Tasks[ref.Occurrence][ref.Step]
	for i := range tasks {
		ref.Index = i
		if tasks[i].State != workload.TaskWaiting || r.in.NotBefore(ref) > r.in.Now {
			continue
		}
		if !r.admits(j, step) {
			return
		}
		if !r.place(j, ref, tasks[i].Run+1, step.DataRack) {
			left := 0
			for _, t := range tasks[i:] {
				if t.State == workload.TaskWaiting {
					left++
				}
			}
			r.unplaced = append(r.unplaced, unplacedTasks{j, step, left})
			return
		}
	}
}

// randomInput returns a state with workers and jobs, and the planner's input.
func randomInput(t *testing.T, rnd *rand.Rand) *Input {
	t.Helper()
	s := workload.New(func(raw []byte) (d workload.Document, err error) { return d, json.Unmarshal(raw, &d) })
	apply := func(c workload.Command) { _ = s.ApplyOne(&c, 100) }
	doc := workload.Document{
		Version: 1, Pools: []workload.Pool{{Name: "p"}, {Name: "o"}}, Teams: []workload.Team{{Name: "t", Weight: 1}, {Name: "u", Weight: 2}},
		Queues: []workload.Queue{
			{Name: "q", Pool: "p", MaxAttempts: 3, Stretch: 1, Target: 100},
			{Name: "patient", Pool: "p", Priority: 1, MaxAttempts: 3, Stretch: 1, Target: 100},
			{Name: "other", Pool: "o", MaxAttempts: 3, Stretch: 1, Target: 100},
		},
	}
	if rnd.IntN(2) == 0 {
		doc.Teams[0].Limit.Processors = int64(rnd.IntN(60))
	}
	raw, err := json.Marshal(doc)
	if err != nil {
		t.Fatal(err)
	}
	apply(workload.Command{PutDocument: &workload.PutDocument{Raw: raw}})
	conditions := map[string]Condition{}
	for i := range 1 + rnd.IntN(8) {
		id := fmt.Sprint("w", i)
		apply(workload.Command{Register: &workload.Worker{
			ID: id, Incarnation: 1, Pool: []string{"p", "p", "o"}[rnd.IntN(3)], Address: id, Draining: rnd.IntN(8) == 0,
			Labels:   []string{[]string{"a", "b"}[rnd.IntN(2)], fmt.Sprint("r", rnd.IntN(3))},
			Capacity: workload.Size{Processors: int64(4 + rnd.IntN(16)), MemoryMB: 40},
		}})
		conditions[id] = Condition{Usable: rnd.IntN(6) > 0, Penalty: float64(rnd.IntN(3)) / 2, Leaving: rnd.IntN(5) == 0}
	}
	for i := range 12 {
		steps := make([]workload.Step, 1+rnd.IntN(3))
		for k := range steps {
			steps[k] = workload.Step{
				Count: 1 + rnd.IntN(6), Need: workload.Size{Processors: int64(1 + rnd.IntN(9)), MemoryMB: int64(1 + rnd.IntN(9))},
				Estimate: workload.Millis(20 + rnd.IntN(300)), Requires: []string{"", "", "b"}[rnd.IntN(3)], AntiAffinity: rnd.IntN(3),
				DataRack: []string{"", "r1"}[rnd.IntN(2)], Fills: rnd.IntN(6) == 0, TailTarget: workload.Millis(rnd.IntN(2)),
			}
			if k > 0 && rnd.IntN(2) == 0 {
				steps[k].After = []int{k - 1}
			}
		}
		apply(workload.Command{Submit: &workload.Submit{
			ID: fmt.Sprint("j", i), Queue: []string{"q", "patient", "other"}[rnd.IntN(3)], Team: []string{"t", "u", "unlisted"}[rnd.IntN(3)],
			Spec: workload.Spec{Repeat: 1, Steps: steps},
		}})
	}
	delayed := rnd.IntN(7)
	failedOn := []string{"", "w0"}[rnd.IntN(2)]
	return &Input{
		State: s, Now: 200, RemoteFactor: 2, Condition: func(id string) Condition { return conditions[id] },
		Tickets: func(workload.TaskRef) (Tickets, bool) { return nil, false },
		NotBefore: func(r workload.TaskRef) workload.Millis {
			return workload.Millis((r.Index + r.Step + delayed) % 7 / 6 * 1000)
		},
		FailedOn: func(workload.TaskRef) string { return failedOn },
	}
}

// TestTasksEqualsReference compares plans with those of reference, also while
// earlier tasks run.
func TestTasksEqualsReference(t *testing.T) {
	for seed := range uint64(300) {
		in := randomInput(t, rand.New(rand.NewPCG(seed, 1)))
		for round := range 4 {
			got := Tasks(in)
			r := &reference{in: in, waiting: map[string]workload.Size{}, team: map[string]workload.Size{}}
			for _, c := range (&planner{in: in}).runnable() {
				for st := range c.job.Tasks[0] {
					if c.job.Unblocked(0, st) {
						r.step(c.job, workload.TaskRef{Job: c.job.ID, Step: st})
					}
				}
			}
			r.addWaiting()
			if !reflect.DeepEqual(got.Assign, r.assigned) || !reflect.DeepEqual(got.Waiting, r.waiting) {
				t.Fatalf("seed %d, round %d: plan %+v, waiting %v, want %+v, %v", seed, round, got.Assign, got.Waiting, r.assigned, r.waiting)
			}
			for i, a := range got.Assign {
				_ = in.State.ApplyOne(&workload.Command{Assign: &got.Assign[i]}, in.Now)
				if i%3 > 0 {
					end := workload.End{Task: a.Task, Run: a.Run, Worker: a.Worker, Incarnation: a.Incarnation, Outcome: workload.OutcomeDone}
					_ = in.State.ApplyOne(&workload.Command{End: &end}, in.Now)
				}
			}
			in.Now += 60
		}
	}
}
