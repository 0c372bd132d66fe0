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
}

// Input is the input of Tasks.
type Input struct {
	State *workload.State
	Now   workload.Millis
	// Condition returns the leader's observation of a worker.
	Condition func(worker string) Condition
	// Tickets returns the advice service's tickets for a step, keyed by worker, and
	// whether the service has answered.
	Tickets func(step workload.TaskRef) (map[string]string, bool)
	// NotBefore returns the earliest time at which a task may be retried; 0 means at
	// once.
	NotBefore func(task workload.TaskRef) workload.Millis
	// FailedOn returns the worker on which a task last failed, or "".
	FailedOn func(task workload.TaskRef) string
	// RemoteFactor is the multiple of its run time that a task takes outside the
	// rack of its data. It is also the penalty of such a worker.
	RemoteFactor float64
}

// Plan is the result of Tasks.
type Plan struct {
	Assign []workload.Assign
	// Advice lists the steps that are waiting for an answer of the advice service.
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
}

func (h *host) rack() string {
	if len(h.worker.Labels) == 0 {
		return ""
	}
	return h.worker.Labels[len(h.worker.Labels)-1]
}

// planner holds the working state of one plan.
type planner struct {
	in           *Input
	hosts        map[string][]*host
	plannedUsage map[string]workload.Size
	plan         Plan
	// planned counts the assignments of this plan by worker, job, occurrence and
	// step.
	planned map[stepOnWorker]int
	// unplaceable holds, by pool, a size that no longer fits on any host. Tasks at
	// least as large are skipped without checking the hosts.
	unplaceable map[string]workload.Size
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
		in: in, hosts: map[string][]*host{}, plannedUsage: map[string]workload.Size{},
		planned: map[stepOnWorker]int{}, unplaceable: map[string]workload.Size{}, plan: Plan{Waiting: map[string]workload.Size{}},
	}
	jobs := p.runnable()
	if len(jobs) == 0 {
		return p.plan
	}
	for _, c := range jobs {
		p.planJob(c.job)
	}
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
	due       workload.Millis
}

// runnable returns the jobs with assignable tasks in planning order: by timeliness,
// then queue priority, then jobs that have begun before others, then teams within
// their fair share before others, then the deadline of the latency objective. Under
// overload this order sacrifices some jobs, those that have used no capacity yet,
// instead of delaying all of them beyond their objectives.
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
	slices.SortFunc(out, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.timeliness, b.timeliness), cmp.Compare(a.priority, b.priority),
			compareBool(!a.begun, !b.begun), compareBool(a.overShare, b.overShare), cmp.Compare(a.due, b.due), cmp.Compare(a.job.ID, b.job.ID))
	})
	return out
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
	c := candidate{job: j, timeliness: onTime, begun: j.Begun(), due: j.Submitted + j.CriticalPath()}
	q, ok := p.in.State.Queue(j.Queue)
	if !ok {
		return c
	}
	c.priority = q.Priority
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

// usableHosts returns the usable workers of a pool, sorted by id.
func (p *planner) usableHosts(pool string) []*host {
	hosts, known := p.hosts[pool]
	if known {
		return hosts
	}
	for _, w := range p.in.State.PoolWorkers(pool) {
		if w.Draining || w.Lost {
			continue
		}
		c := p.in.Condition(w.ID)
		if !c.Usable {
			continue
		}
		hosts = append(hosts, &host{
			worker: w, free: w.Capacity.Sub(p.in.State.Reserved(w.ID)), penalty: c.Penalty, leaving: c.Leaving, colocation: p.in.State.ColocationOf(w.ID),
		})
	}
	p.hosts[pool] = hosts
	return hosts
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
	ref := workload.TaskRef{Job: j.ID, Occurrence: k, Step: st}
	var waiting []int
	for i := range j.Tasks[k][st] {
		if j.Tasks[k][st][i].State == workload.TaskWaiting {
			waiting = append(waiting, i)
		}
	}
	if len(waiting) == 0 {
		return
	}
	var tickets map[string]string
	if q, ok := p.in.State.Queue(j.Queue); ok && q.Advice != nil {
		var answered bool
		if tickets, answered = p.in.Tickets(ref); !answered {
			p.plan.Advice = append(p.plan.Advice, ref)
			return
		}
	}
	if j.Spec.Steps[st].Gang {
		p.planGang(j, ref, waiting, tickets)
		return
	}
	for n, i := range waiting {
		ref.Index = i
		if at := p.in.NotBefore(ref); at > p.in.Now {
			p.scheduleWake(at)
			continue
		}
		if !p.withinTeamLimit(j, &j.Spec.Steps[st]) {
			return
		}
		if !p.place(j, ref, j.Tasks[k][st][i].Run+1, tickets, "") {
			p.recordWaiting(j, ref, len(waiting)-n)
			return
		}
	}
}

// planGang places all members of a gang or none of them.
func (p *planner) planGang(j *workload.Job, ref workload.TaskRef, waiting []int, tickets map[string]string) {
	tasks := j.Tasks[ref.Occurrence][ref.Step]
	if len(waiting) < len(tasks) {
		return
	}
	var run int64
	for i := range tasks {
		run = max(run, tasks[i].Run)
	}
	before := len(p.plan.Assign)
	rack := ""
	if j.Spec.Steps[ref.Step].SameRack {
		rack = p.rackWithMostFree(p.in.State.PoolOf(j))
	}
	for _, i := range waiting {
		ref.Index = i
		if !p.withinTeamLimit(j, &j.Spec.Steps[ref.Step]) {
			p.rollback(before)
			return
		}
		if !p.place(j, ref, run+1, tickets, rack) {
			p.rollback(before)
			p.recordWaiting(j, ref, len(waiting))
			return
		}
	}
}

// recordWaiting adds tasks that could not be placed to the plan's waiting demand. They
// count against the team's limit, so that a team does not request more capacity
// than it may use.
func (p *planner) recordWaiting(j *workload.Job, ref workload.TaskRef, tasks int) {
	step := &j.Spec.Steps[ref.Step]
	pool := p.in.State.PoolOf(j)
	for range tasks {
		if !p.withinTeamLimit(j, step) {
			return
		}
		p.plan.Waiting[pool] = p.plan.Waiting[pool].Add(step.Reserved())
		p.plannedUsage[j.Team] = p.plannedUsage[j.Team].Add(step.Need)
	}
}

// rackWithMostFree returns the rack of a pool that has the most free processors.
func (p *planner) rackWithMostFree(pool string) string {
	free := map[string]int64{}
	best := ""
	for _, h := range p.usableHosts(pool) {
		free[h.rack()] += h.free.Processors
		if best == "" || free[h.rack()] > free[best] {
			best = h.rack()
		}
	}
	return best
}

// rollback removes the assignments of the plan from index from on.
func (p *planner) rollback(from int) {
	for _, a := range p.plan.Assign[from:] {
		j, _ := p.in.State.TaskOf(a.Task)
		step := &j.Spec.Steps[a.Task.Step]
		for _, h := range p.usableHosts(p.in.State.PoolOf(j)) {
			if h.worker.ID == a.Worker {
				h.free = h.free.Add(step.Reserved())
			}
		}
		p.plannedUsage[j.Team] = p.plannedUsage[j.Team].Sub(step.Need)
		delete(p.unplaceable, p.in.State.PoolOf(j))
		p.planned[stepOnWorker{a.Worker, a.Task.Job, a.Task.Occurrence, a.Task.Step}]--
	}
	p.plan.Assign = p.plan.Assign[:from]
}

// place assigns a task to the feasible worker with the lowest score and reports
// whether there is one. The caller has checked the team's limit.
func (p *planner) place(j *workload.Job, ref workload.TaskRef, run int64, tickets map[string]string, rack string) bool {
	step := &j.Spec.Steps[ref.Step]
	if rack == "" {
		rack = step.DataRack
	}
	pool := p.in.State.PoolOf(j)
	if size, known := p.unplaceable[pool]; known && size.Fits(step.Reserved()) {
		return false
	}
	var best *host
	var bestScore float64
	fits := false
	failedOn := p.in.FailedOn(ref)
	for _, h := range p.usableHosts(pool) {
		fits = fits || step.Reserved().Fits(h.free)
		if tickets != nil && tickets[h.worker.ID] == "" || !p.feasible(h, step, ref) {
			continue
		}
		score := h.score(step, rack, p.in.RemoteFactor)
		if h.worker.ID == failedOn {
			score += failedWorkerPenalty
		}
		if best == nil || score < bestScore {
			best, bestScore = h, score
		}
	}
	if best == nil {
		if !fits {
			p.unplaceable[pool] = step.Reserved()
		}
		return false
	}
	best.free = best.free.Sub(step.Reserved())
	best.colocation = best.colocation.Add(step, 1)
	p.plannedUsage[j.Team] = p.plannedUsage[j.Team].Add(step.Need)
	p.planned[stepOnWorker{best.worker.ID, ref.Job, ref.Occurrence, ref.Step}]++
	p.plan.Assign = append(p.plan.Assign, workload.Assign{
		Task: ref, Run: run, Worker: best.worker.ID, Incarnation: best.worker.Incarnation,
	})
	return true
}

func (p *planner) withinTeamLimit(j *workload.Job, step *workload.Step) bool {
	team, ok := p.in.State.Team(j.Team)
	return !ok || p.in.State.TeamUse(j.Team).Add(p.plannedUsage[j.Team]).Add(step.Need).WithinLimit(team.Limit)
}

// feasible reports whether a worker can run one more task of the step.
func (p *planner) feasible(h *host, step *workload.Step, ref workload.TaskRef) bool {
	if !step.Reserved().Fits(h.free) {
		return false
	}
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
	if h.leaving && step.LongRunning {
		score += leavingWorkerPenalty
	}
	if step.Fills && h.colocation.Serving > 0 || step.TailTarget > 0 && h.colocation.Filling > 0 {
		score += interferencePenalty
	}
	return score
}
