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
	// teams is the number of teams, which share the rate equally; their contracted rates
	// are their parts of it. 0 means one team without a contracted rate.
	teams int
	// surge is the multiple of its rate that the first team submits from surgeFrom to
	// surgeTo.
	surge float64
	// urgent puts the surging team's jobs into a queue of a higher priority.
	urgent             bool
	surgeFrom, surgeTo workload.Millis
}

const (
	// simRound is the interval between plans, simDelay the time from a plan to the
	// start of its tasks and from an end to the plan that knows of it.
	simRound = 20
	simDelay = 40
)

// simJob is a job of the simulation.
type simJob struct {
	team string
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
	// others and othersInTime count the jobs of the teams that stay within their rate.
	others, othersInTime int
}

func (r *overloadResult) add(o overloadResult) {
	r.jobs += o.jobs
	r.inTime += o.inTime
	r.large += o.large
	r.largeInTime += o.largeInTime
	r.workInTime += o.workInTime
	r.workDone += o.workDone
	r.others += o.others
	r.othersInTime += o.othersInTime
}

// surgingTeam is the team of a scenario that exceeds its contracted rate.
const surgingTeam = "t"

// teamList returns the teams of the scenario.
func (o *overload) teamList() []workload.Team {
	list := []workload.Team{{Name: surgingTeam}}
	for i := 1; i < o.teams; i++ {
		list = append(list, workload.Team{Name: fmt.Sprint("t", i)})
	}
	if o.teams > 0 {
		for i := range list {
			list[i].Weight = o.rate / float64(o.teams)
		}
	}
	return list
}

// arrivals returns the rate of jobs at a time, and the part of the surging team in it.
func (o *overload) arrivals(now workload.Millis) (rate, part float64) {
	if o.teams == 0 {
		return o.rate, 1
	}
	own := o.rate / float64(o.teams)
	others := o.rate - own
	if now >= o.surgeFrom && now < o.surgeTo {
		own *= o.surge
	}
	return own + others, own / (own + others)
}

func newOverloadState(t *testing.T, teams []workload.Team) *workload.State {
	t.Helper()
	s := workload.New(decodeJSONDocument)
	raw, err := json.Marshal(workload.Document{
		Version: 1, Pools: []workload.Pool{{Name: "p"}},
		Queues: []workload.Queue{
			{Name: "q", Pool: "p", Priority: 1, MaxAttempts: 3, Stretch: 1.6, Target: 600},
			{Name: "urgent", Pool: "p", MaxAttempts: 3, Stretch: 1.6, Target: 600},
		},
		Teams: teams,
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
	teams := o.teamList()
	// Teams and run times have generators of their own, so that all orders and loads of a seed
	// receive the same jobs.
	pick, runs := rand.New(rand.NewPCG(seed, 8)), rand.New(rand.NewPCG(seed, 9))
	s, rates := newOverloadState(t, teams), &plan.Rates{}
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
		for next <= now && next < o.arrive {
			rate, part := o.arrivals(next)
			team := surgingTeam
			if o.teams > 1 && pick.Float64() >= part {
				team = teams[1+pick.IntN(len(teams)-1)].Name
			}
			spec, truth, work := o.randomSpec(rnd)
			id := fmt.Sprintf("j%05d", len(jobs))
			queue := "q"
			if o.urgent && team == surgingTeam {
				queue = "urgent"
			}
			apply(workload.Command{Submit: &workload.Submit{ID: id, Queue: queue, Team: team, Spec: spec}})
			j, _ := s.Job(id)
			rates.Add(s, j)
			objective := workload.Millis(1.6*float64(truth)*float64(len(spec.Steps))) + 600
			jobs[id], truths[id] = &simJob{team: team, due: next + objective, work: work}, truth
			next += workload.Millis(rnd.ExpFloat64()*1000/rate) + 1
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
			FailedOn:  func(workload.TaskRef) string { return "" }, RemoteFactor: 1, Beyond: rates.Beyond,
		})
		for i := range p.Assign {
			a := p.Assign[i]
			apply(workload.Command{Assign: &a})
			run := workload.Millis(float64(truths[a.Task.Job]) * (1 + 0.3*(runs.Float64()-0.5)))
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
		if j.team != surgingTeam {
			r.others++
			if j.done != 0 && j.done <= j.due {
				r.othersInTime++
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

// surgeScenarios are loads within the capacity of the pool but for one of eight teams, which
// sends many times its contracted rate for five seconds.
var surgeScenarios = map[string]overload{
	"twelve times its rate":                           {rate: 38, arrive: 12000, workers: 60, ready: atOnce, estimateError: 0.2, teams: 8, surge: 12, surgeFrom: 2000, surgeTo: 7000},
	"thirty times its rate, others near the capacity": {rate: 42, arrive: 12000, workers: 60, ready: atOnce, estimateError: 0.2, teams: 8, surge: 30, surgeFrom: 2000, surgeTo: 7000},
	"twelve times its rate, of a higher priority":     {rate: 38, arrive: 12000, workers: 60, ready: atOnce, estimateError: 0.2, teams: 8, surge: 12, surgeFrom: 2000, surgeTo: 7000, urgent: true},
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

// TestSurgeIsBorneByItsTeam fails if a team that sends many times its contracted rate delays
// the jobs of the teams that stay within theirs, also if its jobs have a higher priority, or if
// the largest tenth of the jobs is served less than half as often as all.
func TestSurgeIsBorneByItsTeam(t *testing.T) {
	for name, o := range surgeScenarios {
		var sum overloadResult
		for seed := range uint64(4) {
			sum.add(o.run(t, seed))
		}
		served := float64(sum.inTime) / float64(sum.jobs)
		large := float64(sum.largeInTime) / float64(sum.large)
		others := float64(sum.othersInTime) / float64(sum.others)
		t.Logf("%s: %.3f of %d jobs in time, %.3f of the largest tenth, %.3f of the other teams", name, served, sum.jobs, large, others)
		if others < 0.92 || large < served/2 {
			t.Errorf("%s: %.3f of %d jobs in time, %.3f of the largest tenth, %.3f of the other teams", name, served, sum.jobs, large, others)
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
