package plan_test

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"magnoliastand.example/workload"
	"magnoliastand.example/workload/plan"
)

// overload is a simulation of one pool whose queue asks for more than the pool
// holds. Time advances in rounds, as in a driver that plans after each commit.
type overload struct {
	// rate is the number of jobs a second, which arrive for the given time.
	rate    float64
	arrive  workload.Millis
	workers int
	// ready returns when the nth worker joins the pool.
	ready func(n int) workload.Millis
	// estimateError is the relative error of declared run times.
	estimateError float64
}

const (
	// simRound is the interval between plans, simDelay the time from a plan to the
	// start of its tasks and from an end to the plan that knows of it.
	simRound = 20
	simDelay = 40
)

// simJob is a job of the simulation.
type simJob struct {
	due  workload.Millis
	work float64
	done workload.Millis
}

// simEnd is the end of a task that runs.
type simEnd struct {
	at  workload.Millis
	end workload.End
}

// overloadResult sums up one simulation.
type overloadResult struct {
	jobs, inTime int
	// large and largeInTime count the tenth of the jobs with most work.
	large, largeInTime int
	// workInTime is the work of the jobs in time, workDone that of all jobs done
	// until the last one arrived.
	workInTime, workDone float64
}

func (r *overloadResult) add(o overloadResult) {
	r.jobs += o.jobs
	r.inTime += o.inTime
	r.large += o.large
	r.largeInTime += o.largeInTime
	r.workInTime += o.workInTime
	r.workDone += o.workDone
}

func newOverloadState(t *testing.T) *workload.State {
	t.Helper()
	s := workload.New(decodeJSONDocument)
	raw, err := json.Marshal(workload.Document{
		Version: 1, Pools: []workload.Pool{{Name: "p"}},
		Queues: []workload.Queue{{Name: "q", Pool: "p", MaxAttempts: 3, Stretch: 1.6, Target: 600}},
		Teams:  []workload.Team{{Name: "t"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := s.ApplyOne(&workload.Command{PutDocument: &workload.PutDocument{Raw: raw}}, 0); err != nil {
		t.Fatal(err)
	}
	return s
}

// lognormal returns a random value with the given mean and relative spread.
func lognormal(rnd *rand.Rand, mean, spread float64) float64 {
	sigma := math.Sqrt(math.Log(1 + spread*spread))
	return mean * math.Exp(sigma*rnd.NormFloat64()-sigma*sigma/2)
}

// randomSpec returns a quick job of one or more steps and its true run time.
func (o *overload) randomSpec(rnd *rand.Rand) (spec workload.Spec, truth workload.Millis, work float64) {
	spec.Repeat = 1
	steps := 1
	for steps < 4 && rnd.Float64() < 0.4 {
		steps++
	}
	run := min(lognormal(rnd, 640, 0.5), 1600)
	cores := int64(min(lognormal(rnd, 9000, 0.45), 27000))
	for i := range steps {
		st := workload.Step{
			Count: int(min(max(lognormal(rnd, 8, 0.6), 1), 32)), Need: workload.Size{Processors: cores, MemoryMB: 1},
			Estimate: workload.Millis(run * (1 + o.estimateError*(2*rnd.Float64()-1))),
		}
		if i > 0 {
			st.After = []int{i - 1}
		}
		work += float64(st.Count) * float64(cores) * run
		spec.Steps = append(spec.Steps, st)
	}
	return spec, workload.Millis(run), work
}

// run plays the simulation and returns how many jobs finished in time.
func (o *overload) run(t *testing.T, seed uint64) overloadResult {
	t.Helper()
	rnd := rand.New(rand.NewPCG(seed, 7))
	s := newOverloadState(t)
	jobs, truths := map[string]*simJob{}, map[string]workload.Millis{}
	var ends []simEnd
	joined := 0
	next := workload.Millis(rnd.ExpFloat64() * 1000 / o.rate)
	for now := workload.Millis(0); now < o.arrive+6000; now += simRound {
		apply := func(c workload.Command) {
			t.Helper()
			if err := s.ApplyOne(&c, now); err != nil {
				t.Fatal(err)
			}
		}
		for ; joined < o.workers && o.ready(joined) <= now; joined++ {
			apply(workload.Command{Register: &workload.Worker{
				ID: fmt.Sprintf("w%03d", joined), Incarnation: 1, Pool: "p", Capacity: workload.Size{Processors: 64000, MemoryMB: 1 << 20},
			}})
		}
		for ; next <= now && next < o.arrive; next += workload.Millis(rnd.ExpFloat64()*1000/o.rate) + 1 {
			spec, truth, work := o.randomSpec(rnd)
			id := fmt.Sprintf("j%05d", len(jobs))
			apply(workload.Command{Submit: &workload.Submit{ID: id, Queue: "q", Team: "t", Spec: spec}})
			objective := workload.Millis(1.6*float64(truth)*float64(len(spec.Steps))) + 600
			jobs[id], truths[id] = &simJob{due: next + objective, work: work}, truth
		}
		slices.SortStableFunc(ends, func(a, b simEnd) int { return cmp.Compare(a.at, b.at) })
		for len(ends) > 0 && ends[0].at <= now {
			e := ends[0]
			ends = ends[1:]
			apply(workload.Command{End: &e.end})
			if j, _ := s.Job(e.end.Task.Job); j.State == workload.JobCompleted && jobs[j.ID].done == 0 {
				jobs[j.ID].done = now
			}
		}
		p := plan.Tasks(&plan.Input{
			State: s, Now: now, Condition: func(string) plan.Condition { return plan.Condition{Usable: true} },
			Tickets:   func(workload.TaskRef) (plan.Tickets, bool) { return nil, false },
			NotBefore: func(workload.TaskRef) workload.Millis { return 0 },
			FailedOn:  func(workload.TaskRef) string { return "" }, RemoteFactor: 1,
		})
		for i := range p.Assign {
			a := p.Assign[i]
			apply(workload.Command{Assign: &a})
			run := workload.Millis(float64(truths[a.Task.Job]) * (1 + 0.3*(rnd.Float64()-0.5)))
			ends = append(ends, simEnd{now + simDelay + run + simDelay, workload.End{
				Task: a.Task, Run: a.Run, Worker: a.Worker, Incarnation: 1, Outcome: workload.OutcomeDone,
			}})
		}
	}
	return summarize(jobs, o.arrive)
}

func summarize(jobs map[string]*simJob, last workload.Millis) overloadResult {
	list := make([]*simJob, 0, len(jobs))
	for _, j := range jobs {
		list = append(list, j)
	}
	slices.SortFunc(list, func(a, b *simJob) int { return cmp.Compare(b.work, a.work) })
	r := overloadResult{jobs: len(list), large: len(list) / 10}
	for i, j := range list {
		if j.done != 0 && j.done <= last {
			r.workDone += j.work
			if j.done <= j.due {
				r.workInTime += j.work
			}
		}
		if j.done == 0 || j.done > j.due {
			continue
		}
		r.inTime++
		if i < r.large {
			r.largeInTime++
		}
	}
	return r
}

// overloadScenarios are the loads under which the order of jobs matters.
var overloadScenarios = map[string]overload{
	"a fifth more than the pool holds": {rate: 56, arrive: 8000, workers: 60, ready: atOnce, estimateError: 0.2},
	"half more than the pool holds":    {rate: 75, arrive: 8000, workers: 60, ready: atOnce, estimateError: 0.2},
	"turn of a queue":                  {rate: 42, arrive: 8000, workers: 60, ready: afterMove, estimateError: 0.2},
	"turn of a queue, rough estimates": {rate: 42, arrive: 8000, workers: 60, ready: afterMove, estimateError: 0.9},
}

func atOnce(int) workload.Millis { return 0 }

// afterMove lets a tenth of the workers be there at once, and the others join
// after the time of a move.
func afterMove(n int) workload.Millis {
	if n < 6 {
		return 0
	}
	return 1900 + workload.Millis(n)*10
}

// TestOverloadServesMostJobsInTime requires 85 of 100 jobs in time wherever the
// pool holds most of the load, and the tenth of the jobs with most work at least
// half as often as all.
func TestOverloadServesMostJobsInTime(t *testing.T) {
	for name, o := range overloadScenarios {
		var sum overloadResult
		for seed := range uint64(4) {
			sum.add(o.run(t, seed))
		}
		served := float64(sum.inTime) / float64(sum.jobs)
		large := float64(sum.largeInTime) / float64(sum.large)
		t.Logf("%s: %.3f of %d jobs in time, %.3f of the largest tenth", name, served, sum.jobs, large)
		if served < 0.85 || large < served/2 {
			t.Errorf("%s: %.3f of %d jobs in time, %.3f of the largest tenth", name, served, sum.jobs, large)
		}
	}
}

// TestBegunJobsFinishBeforeOthersBegin overloads a pool by half. Of the work that
// the pool does, little may be for jobs that are not finished in time.
func TestBegunJobsFinishBeforeOthersBegin(t *testing.T) {
	o := overloadScenarios["half more than the pool holds"]
	var sum overloadResult
	for seed := range uint64(4) {
		sum.add(o.run(t, seed))
	}
	if part := sum.workInTime / sum.workDone; part < 0.85 {
		t.Errorf("%.3f of the work done was for jobs in time", part)
	}
}
