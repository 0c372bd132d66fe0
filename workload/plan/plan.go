// Package plan assigns waiting tasks to workers and moves instances between pools.
// Plans are pure functions of the replicated state and of the leader's
// observations of the workers; the state validates every assignment again when it
// is applied.
package plan

import (
	"cmp"
	"slices"

	"magnoliastand.example/workload"
)

// Penalties in the score of a worker; the worker with the lowest score is chosen.
// A penalty of 1 equals the difference between a worker whose processors are all
// free and one that has none free.
const (
	// interferencePenalty keeps filling and serving tasks on separate workers where
	// possible.
	interferencePenalty = 1.0
	// leavingWorkerPenalty keeps long-running tasks off workers that will soon be
	// taken down.
	leavingWorkerPenalty = 2.0
	// failedWorkerPenalty keeps a task off the worker on which it last failed, if
	// another worker is available.
	failedWorkerPenalty = 2
	// coldWorkerPenalty keeps tasks off a slow worker, also one of the rack of their data, if
	// another worker has room.
	coldWorkerPenalty = 3
	// expiryFactor is the multiple of its latency objective after which a job no
	// longer has any value.
	expiryFactor = 3
	// A job counts as late unless it has marginPercent percent more than the
	// declared time of its remaining steps, and startDelay milliseconds until its
	// tasks start: the slowest task of a step takes longer than declared, and a job
	// that just misses its objective has used capacity for nothing. The margin is
	// at most half of the time that the objective leaves beyond the declared time.
	marginPercent = 20
	startDelay    = 100
)

// Condition is the leader's observation of a worker.
type Condition struct {
	// Usable workers may be assigned tasks now.
	Usable bool
	// Penalty is added to the score of the worker.
	Penalty float64
	// Leaving workers will soon be taken down: long-running tasks on them would have
	// to be moved.
	Leaving bool
	// Cold workers are slow after their start or the evacuation of their zone. If
	// StartInterval is not 0, no task may start on the worker before NextStart, and none
	// within StartInterval of another one.
	Cold                     bool
	NextStart, StartInterval workload.Millis
	// Trial is set while a suspected task on the worker may still crash it, and Closed if
	// that task has to run alone.
	Trial, Closed bool
}

// Tickets returns the ticket for starting the tasks of a step on a worker, or "" if the
// worker has none.
type Tickets func(worker *workload.Worker) string

// allow reports whether a worker may run tasks of the step; t is nil if no advice is
// needed.
func (t Tickets) allow(w *workload.Worker) bool { return t == nil || t(w) != "" }

// Input is the input of Tasks.
type Input struct {
	State *workload.State
	Now   workload.Millis
	// Condition returns the leader's observation of a worker.
	Condition func(worker string) Condition
	// Tickets returns the advice service's tickets for a step, and whether the service has
	// answered.
	Tickets func(step workload.TaskRef) (Tickets, bool)
	// NotBefore returns the earliest time at which a task may be retried; 0 means at
	// once.
	NotBefore func(task workload.TaskRef) workload.Millis
	// FailedOn returns the worker on which a task last failed, or "".
	FailedOn func(task workload.TaskRef) string
	// Suspicion returns how likely a task with crashes under it is to crash its worker;
	// nil means that no task is.
	Suspicion func(task workload.TaskRef) workload.Suspicion
	// Trials returns how many suspected tasks of a job may still crash their workers;
	// nil means none.
	Trials func(job string) int
	// CrashedAt reports whether several workers crashed under a task, all of them at an
	// address; nil means that none did.
	CrashedAt func(task workload.TaskRef, address string) bool
	// Beyond reports whether a job is beyond its team's contracted rate; nil means that
	// no job is.
	Beyond func(job string) bool
	// RemoteFactor is the multiple of its run time that a task takes outside the
	// rack of its data. It is also the penalty of such a worker.
	RemoteFactor float64
}

// Plan is the result of Tasks.
type Plan struct {
	Assign []workload.Assign
	// Advice lists the steps for which the advice service has not answered, or whose
	// tickets do not suffice to place all waiting tasks.
	Advice []workload.TaskRef
	// Wake is the earliest time at which a task that is not due yet can start; 0 if
	// there is none.
	Wake workload.Millis
	// Waiting is the total size of the tasks that could not be placed, by pool.
	Waiting map[string]workload.Size
}

// host is a worker with its remaining capacity under the plan.
type host struct {
	worker     *workload.Worker
	free       workload.Size
	penalty    float64
	leaving    bool
	colocation workload.Colocation
	// runs counts the runs on the worker, with those of the plan.
	runs int
	// trial, closed, cold, nextStart and startInterval are those of the worker's Condition.
	trial, closed, cold      bool
	nextStart, startInterval workload.Millis
}

// mayStart reports whether the pace of a cold worker permits a start at a time.
func (h *host) mayStart(now workload.Millis) bool { return h.startInterval == 0 || h.nextStart <= now }

func (h *host) rack() string {
	if len(h.worker.Labels) == 0 {
		return ""
	}
	return h.worker.Labels[len(h.worker.Labels)-1]
}

// poolHosts is a pool under the plan.
type poolHosts struct {
	name string
	// hosts are the usable workers, sorted by id.
	hosts []*host
	// unplaceable, if full is set, is a size that no longer fits on any host. Tasks
	// at least as large are skipped without checking the hosts.
	unplaceable workload.Size
	full        bool
}

// teamUsage is the usage of a team, with the tasks of the plan.
type teamUsage struct {
	used, limit workload.Size
	// waiting is the demand of the tasks that could not be placed. It is counted once all
	// assignments are planned, and keeps no task from being assigned.
	waiting workload.Size
}

// admits reports whether the team's limit permits one more task of a step.
func (t *teamUsage) admits(step *workload.Step) bool {
	return t.limit.Admits(t.used, step.Need)
}

// planner holds the working state of one plan.
type planner struct {
	in    *Input
	pools map[string]*poolHosts
	teams map[string]*teamUsage
	plan  Plan
	// unplaced lists the tasks that could not be placed, in planning order.
	unplaced []unplaced
	// planned counts the assignments of this plan by worker, job, occurrence and
	// step.
	planned map[stepOnWorker]int
	// trials counts the suspected tasks of this plan by job.
	trials map[string]int
}

// unplaced is a number of tasks of one step that could not be placed.
type unplaced struct {
	step  *workload.Step
	pool  *poolHosts
	team  *teamUsage
	tasks int
}

// stepOnWorker is the key of planned.
type stepOnWorker struct {
	worker     string
	job        string
	occurrence int
	step       int
}

// Tasks plans the assignment of waiting tasks to workers.
func Tasks(in *Input) Plan {
	p := &planner{
		in: in, pools: map[string]*poolHosts{}, teams: map[string]*teamUsage{},
		planned: map[stepOnWorker]int{}, trials: map[string]int{}, plan: Plan{Waiting: map[string]workload.Size{}},
	}
	jobs := p.runnable()
	if len(jobs) == 0 {
		return p.plan
	}
	p.planIsolated(jobs)
	for _, c := range jobs {
		p.planJob(c.job)
	}
	p.sumWaiting()
	return p.plan
}

// timeliness classifies a job by whether it can still meet its latency objective.
type timeliness uint8

const (
	// onTime jobs can still meet their latency objective.
	onTime timeliness = iota
	// late jobs can no longer meet it but still have reduced value.
	late
	// expired jobs no longer have any value.
	expired
)

// candidate is a job with the attributes by which jobs are ordered.
type candidate struct {
	job        *workload.Job
	priority   int
	timeliness timeliness
	// begun is set if tasks of the job are assigned or done.
	begun bool
	// overShare is set if the team uses more than its fair share.
	overShare bool
	// beyond is set if the job is beyond its team's contracted rate.
	beyond bool
	due    workload.Millis
	pool   string
	// delays is the time by which the remaining work of the job delays the other waiting
	// jobs of its pool, in total.
	delays workload.Millis
}

// runnable returns the jobs with assignable tasks in planning order: by timeliness,
// then jobs within their team's contracted rate before others, then queue priority, then
// jobs that have begun before others, then teams within their fair share before others,
// then the deadline of the latency objective plus the delay that the job's work
// causes to others. Under overload this order sacrifices some jobs, those beyond their
// team's rate, that have used no capacity yet or need much of it, instead of delaying all
// of them beyond their objectives.
func (p *planner) runnable() []candidate {
	var out []candidate
	waiting := map[string]bool{}
	for _, j := range p.in.State.Active() {
		if j.Runnable() > 0 {
			out = append(out, p.candidate(j))
			waiting[j.Team] = true
		}
	}
	over := teamsOverShare(p.in.State, waiting)
	for i := range out {
		out[i].overShare = over[out[i].job.Team]
	}
	p.weighWork(out)
	slices.SortFunc(out, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.timeliness, b.timeliness), compareBool(a.beyond, b.beyond), cmp.Compare(a.priority, b.priority),
			compareBool(!a.begun, !b.begun), compareBool(a.overShare, b.overShare), cmp.Compare(a.due+a.delays, b.due+b.delays), cmp.Compare(a.job.ID, b.job.ID))
	})
	return out
}

// weighWork computes how much the work of each job delays the others of its pool: while the
// pool works on it, each of them waits. Alone in its pool, a job delays nobody.
func (p *planner) weighWork(jobs []candidate) {
	type poolWork struct {
		capacity workload.Size
		jobs     int
	}
	pools := map[string]*poolWork{}
	for i := range jobs {
		pool := pools[jobs[i].pool]
		if pool == nil {
			pool = &poolWork{}
			for _, w := range p.in.State.PoolWorkers(jobs[i].pool) {
				if !w.Draining && !w.Lost {
					pool.capacity = pool.capacity.Add(w.Capacity)
				}
			}
			pools[jobs[i].pool] = pool
		}
		pool.jobs++
	}
	for i := range jobs {
		c := &jobs[i]
		if pool := pools[c.pool]; pool.jobs > 1 {
			c.delays = delay(c.job.RemainingWork(), pool.capacity, pool.jobs-1)
		}
	}
}

// delay returns for how long work in resources times milliseconds occupies a capacity,
// times the number of others that wait. Work of a dimension without capacity is not counted.
func delay(work, capacity workload.Size, others int) workload.Millis {
	longest := 0.0
	for _, d := range [...][2]int64{
		{work.Processors, capacity.Processors}, {work.MemoryMB, capacity.MemoryMB}, {work.Accelerators, capacity.Accelerators},
	} {
		if d[1] > 0 {
			longest = max(longest, float64(d[0])/float64(d[1]))
		}
	}
	return workload.Millis(min(longest*float64(others), float64(workload.MaxDuration)))
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

func (p *planner) candidate(j *workload.Job) candidate {
	c := candidate{
		job: j, timeliness: onTime, begun: j.Begun(), beyond: p.in.Beyond != nil && p.in.Beyond(j.ID),
		due: j.Submitted + j.CriticalPath(), pool: j.Pool,
	}
	q, ok := p.in.State.QueueOf(j)
	if !ok {
		return c
	}
	c.priority, c.pool = q.Priority, q.Pool
	objective := q.Objective(j)
	c.due = j.Submitted + objective
	switch {
	case j.Spec.StartAt != 0 || j.Spec.LongRunning():
	case p.in.Now > j.Submitted+expiryFactor*objective:
		c.timeliness = expired
	case p.in.Now+j.Remaining()+margin(j, objective) > c.due:
		c.timeliness = late
	}
	return c
}

// margin returns the time that a job needs beyond the declared time of its
// remaining steps to count as on time.
func margin(j *workload.Job, objective workload.Millis) workload.Millis {
	return min(j.Remaining()*marginPercent/100+startDelay, max(0, objective-j.CriticalPath())/2)
}

// pool returns a pool under the plan.
func (p *planner) pool(name string) *poolHosts {
	pool := p.pools[name]
	if pool != nil {
		return pool
	}
	pool = &poolHosts{name: name}
	p.pools[name] = pool
	workers := p.in.State.PoolWorkers(name)
	hosts := make([]host, 0, len(workers)) // never grows, so that pointers into it stay valid
	pool.hosts = make([]*host, 0, len(workers))
	for _, w := range workers {
		if w.Draining || w.Lost {
			continue
		}
		c := p.in.Condition(w.ID)
		if !c.Usable {
			continue
		}
		hosts = append(hosts, host{
			worker: w, free: w.Capacity.Sub(p.in.State.Reserved(w.ID)), penalty: c.Penalty, leaving: c.Leaving, colocation: p.in.State.ColocationOf(w.ID),
			runs: len(p.in.State.Runs(w.ID)), trial: c.Trial, closed: c.Closed,
			cold: c.Cold, nextStart: c.NextStart, startInterval: c.StartInterval,
		})
		pool.hosts = append(pool.hosts, &hosts[len(hosts)-1])
	}
	return pool
}

// team returns the usage of a team. A team that is not in the document has no
// limit.
func (p *planner) team(name string) *teamUsage {
	usage := p.teams[name]
	if usage == nil {
		usage = &teamUsage{used: p.in.State.TeamUse(name)}
		if t, ok := p.in.State.Team(name); ok {
			usage.limit = t.Limit
		}
		p.teams[name] = usage
	}
	return usage
}

func (p *planner) planJob(j *workload.Job) {
	for k := range j.Tasks {
		if due := j.Spec.Due(k); due > p.in.Now {
			p.scheduleWake(due)
			continue
		}
		for st := range j.Tasks[k] {
			if j.Unblocked(k, st) {
				p.planStep(j, k, st)
			}
		}
	}
}

func (p *planner) scheduleWake(t workload.Millis) {
	if p.plan.Wake == 0 || t < p.plan.Wake {
		p.plan.Wake = t
	}
}

// planStep plans the waiting tasks of one step of one occurrence.
func (p *planner) planStep(j *workload.Job, k, st int) {
	tasks := j.Tasks[k][st]
	waiting := 0
	for i := range tasks {
		if tasks[i].State == workload.TaskWaiting {
			waiting++
		}
	}
	if waiting == 0 {
		return
	}
	ref := workload.TaskRef{Job: j.ID, Occurrence: k, Step: st}
	tickets, answered := p.ticketsOf(j, ref)
	if !answered {
		p.plan.Advice = append(p.plan.Advice, ref)
		return
	}
	if j.Spec.Steps[st].Gang {
		p.planGang(j, ref, waiting, tickets)
		return
	}
	pool, team := p.pool(p.in.State.PoolOf(j)), p.team(j.Team)
	for i := range tasks {
		if tasks[i].State != workload.TaskWaiting {
			continue
		}
		ref.Index = i
		if at := p.in.NotBefore(ref); at > p.in.Now {
			p.scheduleWake(at)
			waiting--
			continue
		}
		if level := p.suspicionOf(j, ref); level != workload.Unsuspected {
			if level == workload.Suspected {
				p.tryOut(j, ref, &j.Spec.Steps[st], &tasks[i], level)
			}
			waiting--
			continue
		}
		if !team.admits(&j.Spec.Steps[st]) {
			return
		}
		if !p.place(j, ref, tasks[i].Run+1, pool, team, tickets, "") {
			p.requestTickets(ref, tickets)
			p.recordWaiting(&j.Spec.Steps[st], pool, team, waiting)
			return
		}
		waiting--
	}
}

// ticketsOf returns the tickets for a task's step, which are nil if its queue has no
// advice policy, and whether the advice service has answered.
func (p *planner) ticketsOf(j *workload.Job, ref workload.TaskRef) (Tickets, bool) {
	if q, ok := p.in.State.QueueOf(j); !ok || q.Advice == nil {
		return nil, true
	}
	ref.Index = 0
	return p.in.Tickets(ref)
}

// requestTickets lists a step in the plan's Advice after a task found no worker: another
// worker may get a ticket. tickets is nil if the step needs none.
func (p *planner) requestTickets(ref workload.TaskRef, tickets Tickets) {
	if tickets != nil {
		ref.Index = 0
		p.plan.Advice = append(p.plan.Advice, ref)
	}
}

// planGang places all members of a gang or none of them.
func (p *planner) planGang(j *workload.Job, ref workload.TaskRef, waiting int, tickets Tickets) {
	tasks := j.Tasks[ref.Occurrence][ref.Step]
	if waiting < len(tasks) {
		return
	}
	var run int64
	for i := range tasks {
		run = max(run, tasks[i].Run)
		ref.Index = i
		if at := p.in.NotBefore(ref); at > p.in.Now {
			p.scheduleWake(at)
			return
		}
	}
	step := &j.Spec.Steps[ref.Step]
	pool, team := p.pool(p.in.State.PoolOf(j)), p.team(j.Team)
	before := len(p.plan.Assign)
	rack := ""
	if step.SameRack {
		rack = pool.rackWithMostFree()
	}
	for i := range tasks {
		ref.Index = i
		if !team.admits(step) {
			p.rollback(before, step, pool, team)
			return
		}
		if !p.place(j, ref, run+1, pool, team, tickets, rack) {
			p.rollback(before, step, pool, team)
			p.requestTickets(ref, tickets)
			p.recordWaiting(step, pool, team, waiting)
			return
		}
	}
}

// recordWaiting records tasks that could not be placed.
func (p *planner) recordWaiting(step *workload.Step, pool *poolHosts, team *teamUsage, tasks int) {
	p.unplaced = append(p.unplaced, unplaced{step: step, pool: pool, team: team, tasks: tasks})
}

// sumWaiting computes the waiting demand of the plan. A team's assigned and waiting tasks
// together are bounded by its limit as assignments are, so that it does not request more
// capacity than it may use. It runs after all assignments, because a task that cannot be placed must not
// keep later tasks of its team from starting.
func (p *planner) sumWaiting() {
	for _, u := range p.unplaced {
		for range u.tasks {
			if !u.team.limit.Admits(u.team.used.Add(u.team.waiting), u.step.Need) {
				break
			}
			p.plan.Waiting[u.pool.name] = p.plan.Waiting[u.pool.name].Add(u.step.Reserved())
			u.team.waiting = u.team.waiting.Add(u.step.Need)
		}
	}
}

// rackWithMostFree returns the rack that has the most free processors.
func (pool *poolHosts) rackWithMostFree() string {
	free := map[string]int64{}
	best := ""
	for _, h := range pool.hosts {
		free[h.rack()] += max(0, h.free.Processors) // negative on a worker that has shrunk
		if best == "" || free[h.rack()] > free[best] {
			best = h.rack()
		}
	}
	return best
}

// rollback removes the assignments of one step from index from on.
func (p *planner) rollback(from int, step *workload.Step, pool *poolHosts, team *teamUsage) {
	for _, a := range p.plan.Assign[from:] {
		for _, h := range pool.hosts {
			if h.worker.ID == a.Worker {
				h.free = h.free.Add(step.Reserved())
				h.runs--
				h.nextStart = min(h.nextStart, p.in.Now)
			}
		}
		team.used = team.used.Sub(step.Need)
		p.planned[stepOnWorker{a.Worker, a.Task.Job, a.Task.Occurrence, a.Task.Step}]--
	}
	if len(p.plan.Assign) > from {
		pool.full = false
	}
	p.plan.Assign = p.plan.Assign[:from]
}

// place assigns a task to the feasible worker with the lowest score and reports
// whether there is one. The caller has checked the team's limit.
func (p *planner) place(j *workload.Job, ref workload.TaskRef, run int64, pool *poolHosts, team *teamUsage, tickets Tickets, rack string) bool {
	step := &j.Spec.Steps[ref.Step]
	if rack == "" {
		rack = step.DataRack
	}
	size := step.Reserved()
	if pool.full && pool.unplaceable.Fits(size) {
		return false
	}
	var best *host
	var bestScore float64
	var wake workload.Millis
	fits := false
	failedOn := p.in.FailedOn(ref)
	for _, h := range pool.hosts {
		if h.closed || !size.Fits(h.free) {
			continue
		}
		if !h.mayStart(p.in.Now) {
			if wake == 0 || h.nextStart < wake {
				wake = h.nextStart
			}
			continue
		}
		fits = true
		if !tickets.allow(h.worker) || !p.feasible(h, step, ref) {
			continue
		}
		score := h.score(step, rack, p.in.RemoteFactor)
		if h.worker.ID == failedOn || p.crashedAt(j, ref, h) {
			score += failedWorkerPenalty
		}
		if best == nil || score < bestScore {
			best, bestScore = h, score
		}
	}
	if best == nil {
		if wake != 0 {
			p.scheduleWake(wake)
		}
		if !fits {
			pool.unplaceable, pool.full = size, true
		}
		return false
	}
	p.assign(best, step, ref, run, team)
	return true
}

// assign adds an assignment to the plan.
func (p *planner) assign(h *host, step *workload.Step, ref workload.TaskRef, run int64, team *teamUsage) {
	h.free = h.free.Sub(step.Reserved())
	h.colocation = h.colocation.Add(step, 1)
	h.runs++
	h.nextStart = p.in.Now + h.startInterval
	team.used = team.used.Add(step.Need)
	p.planned[stepOnWorker{h.worker.ID, ref.Job, ref.Occurrence, ref.Step}]++
	p.plan.Assign = append(p.plan.Assign, workload.Assign{
		Task: ref, Run: run, Worker: h.worker.ID, Incarnation: h.worker.Incarnation,
	})
}

// feasible reports whether a worker with enough free capacity can run one more
// task of the step.
func (p *planner) feasible(h *host, step *workload.Step, ref workload.TaskRef) bool {
	if step.Requires != "" && !slices.Contains(h.worker.Labels, step.Requires) {
		return false
	}
	if step.AntiAffinity == 0 {
		return true
	}
	n := p.planned[stepOnWorker{h.worker.ID, ref.Job, ref.Occurrence, ref.Step}]
	return n+p.in.State.SameStep(h.worker.ID, ref) < step.AntiAffinity
}

// score rates a worker for a task of the step; lower is better. Workers with less
// free capacity score lower, so that tasks are packed and other instances stay
// empty and can be moved.
func (h *host) score(step *workload.Step, rack string, remoteFactor float64) float64 {
	score := h.penalty
	if c := h.worker.Capacity.Processors; c > 0 {
		score += float64(h.free.Processors) / float64(c)
	}
	if rack != "" && rack != h.rack() {
		score += remoteFactor
	}
	if h.cold {
		score += coldWorkerPenalty
	}
	if h.leaving && step.LongRunning {
		score += leavingWorkerPenalty
	}
	if step.Fills && h.colocation.Serving > 0 || step.TailTarget > 0 && h.colocation.Filling > 0 {
		score += interferencePenalty
	}
	return score
}
