package scheduler

import (
	"cmp"
	"slices"

	"magnoliastand.example/api"
	"magnoliastand.example/jobs"
	"magnoliastand.example/placement"
)

const (
	// urgentReserve is the fraction of a pool that is reserved for urgent jobs.
	urgentReserve = 0.1
	// maxTries bounds the placement attempts for one pool in one call.
	maxTries = 512
	// maxWaiting bounds the waiting jobs of one team and pool that are considered in one call.
	maxWaiting = 512
	// maxRefusals bounds the jobs that are refused or parked in one call.
	maxRefusals = 1_024
)

// planner holds the data of one call of Plan.
type planner struct {
	view     *jobs.View
	est      *placement.Estimator
	outcomes *placement.Outcomes
	pools    map[string]*pool
	order    []string
	starts   map[string]int
	// lostUnder counts the lost workers that may have crashed under a job.
	lostUnder map[string]int
	rejected  int
	out       []jobs.Change
}

// pool holds the workers, running tasks and waiting jobs of a pool.
type pool struct {
	workers []placement.Worker
	total   placement.Size
	waiting []*jobs.Job
	running []placement.Running
}

// Plan returns the changes to propose for the view, in one command or in
// several. It is deterministic.
func Plan(view *jobs.View) []jobs.Change {
	p := &planner{
		view: view, est: placement.NewEstimator(), outcomes: placement.NewOutcomes(),
		pools: map[string]*pool{}, starts: map[string]int{}, lostUnder: view.LostUnder(),
	}
	p.observeOutcomes()
	p.addWorkers()
	p.addJobs()
	p.loseWorkers()
	p.quarantine()
	for _, name := range p.order {
		p.planPool(p.pools[name])
	}
	return p.out
}

// observeOutcomes feeds the outcome samples and the usage of running tasks to the
// estimator and the outcome statistics.
func (p *planner) observeOutcomes() {
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

// addWorkers adds the workers and the resources that their tasks use. Lost
// workers are included when checking whether a job fits any worker, since they
// may return.
func (p *planner) addWorkers() {
	for _, w := range p.view.Workers {
		q := p.poolOf(w.Pool)
		pw := w.Placement()
		evacuated := p.view.InEvacuatedZone(w)
		pw.Open = pw.Open && p.view.Now <= w.Until && !evacuated
		for _, j := range p.view.TasksOf(w.ID) {
			size := sizeOf(j)
			pw.Used = pw.Used.Add(size)
			if evacuated {
				// The task continues: stopping it would free no capacity that another
				// job may use, and its use is no part of the shares of what is left.
				continue
			}
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

// stageOf returns the preemption stage of a job. A job that is stopping for
// another reason counts as stopped too, since it also releases its resources.
func stageOf(j *jobs.Job) placement.Stage {
	if j.State == jobs.Stopping {
		return placement.Stop
	}
	return j.Stage
}

// sizeOf returns the resources that a job takes on its worker: the reserved
// amount, or the reported usage of processors and memory where that is larger.
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

// loseWorkers declares workers lost whose lease expired more than TakeoverMargin
// ago.
func (p *planner) loseWorkers() {
	for _, w := range p.view.Workers {
		if w.State != jobs.Lost && p.view.Now > w.Until+jobs.TakeoverMargin {
			p.out = append(p.out, jobs.Change{Lose: &jobs.WorkerAction{Worker: w.ID, Reason: "lease lapsed"}})
		}
	}
}

// quarantine quarantines workers on which jobs fail that succeed elsewhere, up
// to a third of the open workers of a pool.
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
		q.closeWorker(id)
		p.out = append(p.out, jobs.Change{Quarantine: &jobs.WorkerAction{Worker: id, Reason: "fails what other workers run"}})
	}
}

func (q *pool) closeWorker(id string) {
	for n := range q.workers {
		if q.workers[n].ID == id && q.workers[n].Open {
			q.workers[n].Open = false
			q.total = q.total.Sub(q.workers[n].Capacity)
		}
	}
}

// refuseOrPark refuses the waiting jobs of the pool that are too large for every
// worker and parks those that keep failing or crash workers. Jobs that may have crashed
// too many wait.
func (p *planner) refuseOrPark(q *pool) {
	kept := q.waiting[:0:0]
	for _, j := range q.waiting {
		t := j.Task()
		switch reason := p.outcomes.ParkReason(&t); {
		case p.rejected >= maxRefusals:
			kept = append(kept, j)
		case len(q.workers) > 0 && placement.FitsNowhere(&t, q.workers):
			p.rejected++
			p.out = append(p.out, jobs.Change{Refuse: &jobs.JobAction{ID: j.ID, Reason: "larger than every worker of the pool"}})
		case j.CrashedTooOften():
			if p.view.Now-j.Crashes[len(j.Crashes)-1].At >= parkDelay {
				p.rejected++
				p.out = append(p.out, jobs.Change{Park: &jobs.JobAction{ID: j.ID, Reason: j.CrashReason()}})
			}
		case j.InDoubt(p.lostUnder[j.ID]):
		case reason != "":
			p.rejected++
			p.out = append(p.out, jobs.Change{Park: &jobs.JobAction{ID: j.ID, Reason: reason}})
		default:
			kept = append(kept, j)
		}
	}
	q.waiting = kept
}

// classes returns the class limits and the number of running tasks by class.
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
