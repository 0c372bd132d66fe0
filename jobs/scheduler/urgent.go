package scheduler

import (
	"cmp"
	"slices"

	"magnoliastand.example/api"
	"magnoliastand.example/jobs"
	"magnoliastand.example/placement"
)

// maxUrgentPreempts bounds the urgent jobs of a pool for which other jobs are
// preempted in one call.
const maxUrgentPreempts = 64

// preemptUrgent stops idempotent jobs to free resources for urgent jobs that
// could not be placed, and returns the ids of the stopped jobs. It skips the
// earlier preemption stages, since an urgent job has to start within seconds.
func (p *planner) preemptUrgent(q *pool, started map[string]placement.Start) map[string]struct{} {
	stopped := map[string]struct{}{}
	u := urgentPreemption{pool: q, byWorker: map[string][]*placement.Running{}, free: map[string]placement.Size{}}
	tried := 0
	for _, j := range q.waiting {
		if _, ok := started[j.ID]; ok || !j.Spec.Urgent || tried >= maxUrgentPreempts || !p.mayStart(j) {
			continue
		}
		if tried == 0 {
			u.index()
		}
		tried++
		p.starts[j.Team]++
		task := j.Task()
		for _, r := range u.makeRoom(p.est.Size(&task).Min(u.largest)) {
			stopped[r.Task.ID] = struct{}{}
			p.preempt(r.Task.ID, placement.Stop, "stopped for urgent job "+j.ID)
		}
	}
	return stopped
}

// mayStart reports whether the limit of the job's team allows another start.
func (p *planner) mayStart(j *jobs.Job) bool {
	team, ok := p.view.Team(j.Team)
	return ok && p.view.RunningOf(j.Team)+p.starts[j.Team] < team.Limit
}

// urgentPreemption selects the jobs to stop for urgent jobs.
type urgentPreemption struct {
	pool *pool
	// byWorker lists the preemptible jobs, most recently started first.
	byWorker map[string][]*placement.Running
	// free is the unused capacity of each worker, not counting jobs that are
	// stopping.
	free map[string]placement.Size
	// largest is the largest capacity of a worker in each resource.
	largest placement.Size
}

func (u *urgentPreemption) index() {
	for n := range u.pool.workers {
		w := &u.pool.workers[n]
		u.free[w.ID] = w.Capacity.Sub(w.Used)
		u.largest = placement.Size{
			Slots: max(u.largest.Slots, w.Capacity.Slots), Processors: max(u.largest.Processors, w.Capacity.Processors),
			MemoryMB: max(u.largest.MemoryMB, w.Capacity.MemoryMB), Accelerators: max(u.largest.Accelerators, w.Capacity.Accelerators),
		}
	}
	for n := range u.pool.running {
		r := &u.pool.running[n]
		switch {
		case r.Stage == placement.Stop:
			u.free[r.Worker] = u.free[r.Worker].Add(r.Size)
		case r.Task.Idempotent && r.Task.Class == api.ClassLong:
			u.byWorker[r.Worker] = append(u.byWorker[r.Worker], r)
		}
	}
	for _, list := range u.byWorker {
		slices.SortStableFunc(list, func(a, b *placement.Running) int { return cmp.Compare(b.Started, a.Started) })
	}
}

// makeRoom reserves the size on the worker where the fewest jobs have to be
// stopped, and returns these jobs. It returns none if stopping jobs already free
// enough capacity or if no worker can fit the size.
func (u *urgentPreemption) makeRoom(size placement.Size) []*placement.Running {
	best, bestCount := "", -1
	for n := range u.pool.workers {
		w := &u.pool.workers[n]
		if !w.Open {
			continue
		}
		count, ok := u.victimsNeeded(w.ID, size)
		if ok && (bestCount < 0 || count < bestCount) {
			best, bestCount = w.ID, count
		}
	}
	if bestCount < 0 {
		return nil
	}
	victims := u.byWorker[best][:bestCount]
	for _, r := range victims {
		u.free[best] = u.free[best].Add(r.Size)
	}
	u.free[best] = u.free[best].Sub(size)
	u.byWorker[best] = u.byWorker[best][bestCount:]
	return victims
}

// victimsNeeded returns how many jobs have to be stopped on the worker to fit the
// size, and whether that is possible.
func (u *urgentPreemption) victimsNeeded(worker string, size placement.Size) (int, bool) {
	free := u.free[worker]
	for n, r := range u.byWorker[worker] {
		if size.Fits(free) {
			return n, true
		}
		free = free.Add(r.Size)
	}
	return len(u.byWorker[worker]), size.Fits(free)
}
