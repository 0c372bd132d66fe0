package scheduler

import (
	"cmp"
	"slices"

	"magnoliastand.example/api"
	"magnoliastand.example/jobs"
	"magnoliastand.example/placement"
)

const (
	// urgentReserve is the fraction of a pool that is left free for urgent jobs.
	urgentReserve = 0.1
	// maxTries bounds the jobs that are tried in one pool in one call.
	maxTries = 512
	// maxWaiting bounds the waiting jobs of one team and pool that are looked at in one call.
	maxWaiting = 512
	// maxRefusals bounds the jobs that are refused or parked in one call.
	maxRefusals = 1_024
)

// planner holds what the parts of one call share.
type planner struct {
	view     *jobs.View
	est      *placement.Estimator
	outcomes *placement.Outcomes
	pools    map[string]*pool
	order    []string
	starts   map[string]int
	judged   int
	out      []jobs.Change
}

// pool is what one pool has and what waits for it.
type pool struct {
	workers []placement.Worker
	total   placement.Size
	waiting []*jobs.Job
	running []placement.Running
}

// Plan returns the changes that the view calls for, to be proposed in one
// command or in several. Equal views give equal changes.
func Plan(view *jobs.View) []jobs.Change {
	p := &planner{
		view: view, est: placement.NewEstimator(), outcomes: placement.NewOutcomes(),
		pools: map[string]*pool{}, starts: map[string]int{},
	}
	p.learn()
	p.addWorkers()
	p.addJobs()
	p.loseWorkers()
	p.quarantine()
	for _, name := range p.order {
		p.planPool(p.pools[name])
	}
	return p.out
}

// learn replays the kept outcomes and the reports of running tasks.
func (p *planner) learn() {
	for n := range p.view.Samples {
		s := &p.view.Samples[n]
		t := s.Task()
		if s.Failed {
			p.outcomes.Failed(&t, s.Worker)
			continue
		}
		p.outcomes.Succeeded(&t, s.Worker)
		p.est.Observe(&t, s.Used.Placement(1), s.Run)
	}
	for _, w := range p.view.Workers {
		for _, j := range p.view.TasksOf(w.ID) {
			if j.Used != (jobs.Size{}) {
				t := j.Task()
				p.est.Observe(&t, j.Used.Placement(1), 0)
			}
		}
	}
}

func (p *planner) poolOf(name string) *pool {
	q := p.pools[name]
	if q == nil {
		q = &pool{}
		p.pools[name] = q
		at, _ := slices.BinarySearch(p.order, name)
		p.order = slices.Insert(p.order, at, name)
	}
	return q
}

// addWorkers adds the workers with what their tasks take. Lost ones count for
// what may fit, since they may return.
func (p *planner) addWorkers() {
	for _, w := range p.view.Workers {
		q := p.poolOf(w.Pool)
		pw := w.Placement()
		pw.Open = pw.Open && p.view.Now <= w.Until
		for _, j := range p.view.TasksOf(w.ID) {
			size := sizeOf(j)
			pw.Used = pw.Used.Add(size)
			q.running = append(q.running, placement.Running{
				Task: j.Task(), Worker: w.ID, Size: size, Started: j.Since, Stage: stageOf(j), StageSince: j.StageSince,
			})
		}
		if pw.Open {
			q.total = q.total.Add(pw.Capacity)
		}
		q.workers = append(q.workers, pw)
	}
}

// stageOf returns the stage of the preemption of a job. A job that stops for
// another reason frees its room too.
func stageOf(j *jobs.Job) placement.Stage {
	if j.State == jobs.Stopping {
		return placement.Stop
	}
	return j.Stage
}

// sizeOf returns the room that a job on a worker takes: what is reserved, or
// its report where that is larger.
func sizeOf(j *jobs.Job) placement.Size {
	s := j.Reserved.Placement(1)
	s.Processors = max(s.Processors, j.Used.Processors)
	s.MemoryMB = max(s.MemoryMB, j.Used.MemoryMB)
	return s
}

// addJobs adds the waiting jobs in order of submission.
func (p *planner) addJobs() {
	for _, j := range p.view.Jobs {
		if j.State == jobs.Accepted {
			q := p.poolOf(j.Spec.Pool)
			q.waiting = append(q.waiting, j)
		}
	}
	for _, q := range p.pools {
		slices.SortFunc(q.waiting, func(a, b *jobs.Job) int { return cmp.Compare(a.Seq, b.Seq) })
	}
}

// loseWorkers declares workers lost whose lease lapsed.
func (p *planner) loseWorkers() {
	for _, w := range p.view.Workers {
		if w.State != jobs.Lost && p.view.Now > w.Until+jobs.TakeoverMargin {
			p.out = append(p.out, jobs.Change{Lose: &jobs.OnWorker{Worker: w.ID, Reason: "lease lapsed"}})
		}
	}
}

// quarantine takes workers out that fail what others run, at most a third of
// the open workers of a pool.
func (p *planner) quarantine() {
	taken := map[string]int{}
	for _, id := range p.outcomes.Suspects() {
		w := p.view.Worker(id)
		if w == nil || w.State != jobs.Ready {
			continue
		}
		q := p.pools[w.Pool]
		open := 0
		for n := range q.workers {
			if q.workers[n].Open {
				open++
			}
		}
		if 3*(taken[w.Pool]+1) > open+taken[w.Pool] {
			continue
		}
		taken[w.Pool]++
		q.close(id)
		p.out = append(p.out, jobs.Change{Quarantine: &jobs.OnWorker{Worker: id, Reason: "fails what other workers run"}})
	}
}

func (q *pool) close(id string) {
	for n := range q.workers {
		if q.workers[n].ID == id && q.workers[n].Open {
			q.workers[n].Open = false
			q.total = q.total.Sub(q.workers[n].Capacity)
		}
	}
}

// judge refuses the jobs of the pool that fit nowhere and parks those that
// keep failing. The others remain waiting.
func (p *planner) judge(q *pool) {
	kept := q.waiting[:0:0]
	for _, j := range q.waiting {
		t := j.Task()
		switch reason := p.outcomes.Park(&t); {
		case p.judged >= maxRefusals:
			kept = append(kept, j)
		case len(q.workers) > 0 && placement.FitsNowhere(&t, q.workers):
			p.judged++
			p.out = append(p.out, jobs.Change{Refuse: &jobs.Judge{ID: j.ID, Reason: "larger than every worker of the pool"}})
		case reason != "":
			p.judged++
			p.out = append(p.out, jobs.Change{Park: &jobs.Judge{ID: j.ID, Reason: reason}})
		default:
			kept = append(kept, j)
		}
	}
	q.waiting = kept
}

// classes returns the bounds of the classes with what runs in the pool.
func (q *pool) classes() placement.Classes {
	c := placement.Classes{QuickReserve: urgentReserve}
	for n := range q.running {
		if q.running[n].Task.Class == api.ClassQuick {
			c.QuickRunning++
		} else {
			c.LongRunning++
		}
	}
	return c
}
