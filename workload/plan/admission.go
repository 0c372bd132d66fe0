package plan

import (
	"cmp"
	"math"
	"slices"

	"magnoliastand.example/workload"
)

const (
	// admissionPercent is the part of the estimated work that an Admission counts, so that
	// neither run times that turn out shorter than learned nor tasks that end early reject a
	// job that could have been done.
	admissionPercent = 80
	// startedPercent is the part of its run time that a running task is taken to need yet.
	startedPercent = 50
)

// Supply is the capacity that a pool may have.
type Supply struct {
	// Now is the capacity of the pool's workers and of the instances on their way to it.
	Now workload.Size
	// Later is what the pool may have in addition once LaterAt has come.
	Later   workload.Size
	LaterAt workload.Millis
}

// AdmissionInput is the input of NewAdmission.
type AdmissionInput struct {
	State *workload.State
	Now   workload.Millis
	Pool  string
	// Supply is the most that the pool may have.
	Supply Supply
	// Factor returns the ratio of run times to estimates that a queue's tasks have shown.
	Factor func(queue string) float64
	// Beyond reports whether a job is beyond its team's contracted rate.
	Beyond func(job string) bool
}

// Admission estimates whether a job can be done before it loses its value, from the jobs of
// one pool that go before it. The estimate is optimistic: a job is only rejected if it
// cannot be done even if no further job arrives.
type Admission struct {
	in   AdmissionInput
	over map[string]bool
	// running is the work of the tasks that run.
	running workload.Size
	// held is what long-running tasks reserve.
	held  workload.Size
	queue []queuedJob
	teams map[string]*teamWork
	// total is the work of all jobs of the pool.
	total workload.Size
	// longest is the run time of the longest task. Tasks that go before a job have only
	// to start before it: what they may have left then is not counted.
	longest workload.Millis
}

// teamWork is the work of a team in an Admission. Work is in resources times milliseconds.
type teamWork struct {
	limit workload.Size
	over  bool
	// largest is the largest need of one task: the last task that a limit admits may
	// exceed it.
	largest        workload.Size
	running, total workload.Size
	// before is the work of the team's jobs that go before the job under estimate.
	before workload.Size
}

// queuedJob is a job of an Admission.
type queuedJob struct {
	candidate
	team *teamWork
	// remaining is the run time that the job needs at least, latest the time by which it
	// has to start in order to be on time, and expires when it loses its value.
	remaining, latest, expires workload.Millis
	// work is what the job occupies on workers, need what it uses of its team's limit.
	work, need workload.Size
}

// Request is a job that is to be submitted.
type Request struct {
	Queue *workload.Queue
	Team  string
	Spec  *workload.Spec
	// Beyond is set if the job is beyond its team's contracted rate.
	Beyond bool
}

// Rejection explains why a job cannot be done.
type Rejection struct {
	// Reason is "team limit" if the work of the job's team within its limit takes too
	// long, "beyond rate" if the job waits for those within their team's rate, and
	// "backlog" otherwise.
	Reason string
	// Done is when the job could be done at the earliest, and Expires when it loses its
	// value.
	Done, Expires workload.Millis
	// StartBy is when the job would have to start at the latest.
	StartBy workload.Millis
}

// Expires returns when a job has lost its value, and false for jobs that never do: timed and
// long-running ones, and those without a queue.
func Expires(state *workload.State, j *workload.Job) (workload.Millis, bool) {
	q, ok := state.QueueOf(j)
	if !ok || j.Spec.StartAt != 0 || j.Spec.LongRunning() {
		return 0, false
	}
	return j.Submitted + expiryFactor*q.Objective(j), true
}

// NewAdmission returns an estimator for the jobs of one pool. It is valid as long as its
// times: work that is done later is part of the estimate.
func NewAdmission(in *AdmissionInput) *Admission {
	a := &Admission{in: *in, teams: map[string]*teamWork{}}
	waiting := map[string]bool{}
	jobs := make([]*workload.Job, 0, len(in.State.Active()))
	for _, j := range in.State.Active() {
		if in.State.PoolOf(j) == in.Pool {
			jobs = append(jobs, j)
			waiting[j.Team] = true
		}
	}
	a.over = teamsOverShare(in.State, waiting)
	for _, j := range jobs {
		a.add(j)
	}
	slices.SortFunc(a.queue, func(x, y queuedJob) int { return compareQueued(&x, &y) })
	return a
}

// compareQueued orders jobs as runnable does, but for their timeliness and the shares of
// their teams, which change while they wait.
func compareQueued(x, y *queuedJob) int {
	return cmp.Or(compareBool(x.beyond, y.beyond), cmp.Compare(x.priority, y.priority), compareBool(!x.begun, !y.begun),
		cmp.Compare(x.due, y.due), cmp.Compare(x.job.ID, y.job.ID))
}

// Accepted adds a job that has been accepted since NewAdmission.
func (a *Admission) Accepted(j *workload.Job) {
	n := len(a.queue)
	a.add(j)
	if len(a.queue) == n {
		return
	}
	q := a.queue[n]
	at, _ := slices.BinarySearchFunc(a.queue[:n], q, func(x, y queuedJob) int { return compareQueued(&x, &y) })
	a.queue = slices.Insert(a.queue[:n], at, q)
}

// add adds the work of a job. Work that is not due yet and long-running tasks that wait are
// left out.
func (a *Admission) add(j *workload.Job) {
	q := queuedJob{team: a.team(j.Team)}
	factor := a.factor(j.Queue)
	for k := range j.Tasks {
		if j.Spec.Due(k) > a.in.Now {
			continue
		}
		for st := range j.Tasks[k] {
			step := &j.Spec.Steps[st]
			waiting, assigned := countTasks(j.Tasks[k][st])
			if step.LongRunning {
				a.held = a.held.Add(step.Reserved().Times(float64(assigned)))
				continue
			}
			a.longest = max(a.longest, workload.Millis(float64(step.Estimate)*a.in.Factor(j.Queue)))
			q.team.largest = q.team.largest.Max(step.Need)
			one := float64(step.Estimate) * factor
			started := one * float64(assigned) * startedPercent / 100
			a.running = a.running.Add(step.Reserved().Times(started))
			q.team.running = q.team.running.Add(step.Need.Times(started))
			q.work = q.work.Add(step.Reserved().Times(one * float64(waiting)))
			q.need = q.need.Add(step.Need.Times(one * float64(waiting)))
		}
	}
	if q.work == (workload.Size{}) {
		return
	}
	q.candidate = newCandidate(a.in.State, j, a.in.Now, a.in.Beyond)
	q.remaining = workload.Millis(float64(j.Remaining()) * factor)
	q.latest, q.expires = math.MaxInt64, math.MaxInt64
	if expires, ok := Expires(a.in.State, j); ok {
		q.latest, q.expires = q.due-j.Remaining()-margin(j.Remaining(), j.CriticalPath(), q.due-j.Submitted), expires
	}
	q.team.total = q.team.total.Add(q.need)
	a.total = a.total.Add(q.work)
	a.queue = append(a.queue, q)
}

// factor returns the part of a queue's declared run times that is counted.
func (a *Admission) factor(queue string) float64 {
	return a.in.Factor(queue) * admissionPercent / 100
}

func (a *Admission) team(name string) *teamWork {
	t := a.teams[name]
	if t == nil {
		t = &teamWork{over: a.over[name]}
		if def, ok := a.in.State.Team(name); ok {
			t.limit = def.Limit
		}
		a.teams[name] = t
	}
	return t
}

func countTasks(tasks []workload.Task) (waiting, assigned int) {
	for i := range tasks {
		switch tasks[i].State {
		case workload.TaskWaiting:
			waiting++
		case workload.TaskAssigned:
			assigned++
		case workload.TaskDone:
		}
	}
	return waiting, assigned
}

// Check returns why a job submitted now certainly cannot be done before it loses its value,
// or nil if it may be possible. Timed and long-running jobs are always possible, and so is any job
// of a pool whose capacity is not known or whose backlog is short enough.
func (a *Admission) Check(r *Request, now workload.Millis) *Rejection {
	capacity := a.in.Supply.Now.Sub(a.held).Max(workload.Size{})
	if r.Spec.StartAt != 0 || r.Spec.LongRunning() || a.in.Supply.Now.Add(a.in.Supply.Later) == (workload.Size{}) {
		return nil
	}
	path := r.Spec.CriticalPath()
	objective := r.Queue.ObjectiveOf(path)
	x := queuedJob{team: a.team(r.Team), expires: now + expiryFactor*objective, remaining: workload.Millis(float64(path) * a.factor(r.Queue.Name))}
	x.due, x.priority, x.beyond = now+objective, r.Queue.Priority, r.Beyond
	for i := range r.Spec.Steps {
		step := &r.Spec.Steps[i]
		x.work = x.work.Add(step.Reserved().Times(float64(step.Count*max(r.Spec.Repeat, 1)) * float64(step.Estimate) * a.factor(r.Queue.Name)))
	}
	x.latest = x.due - path - margin(path, path, objective)
	all := a.clear(a.running.Add(a.total), capacity)
	if allOfTeam := a.clearTeam(x.team, x.team.running.Add(x.team.total)); max(all, allOfTeam, now)+x.remaining <= x.expires {
		return nil
	}
	pool, team := a.before(&x, capacity)
	done := max(pool, team, now) + x.remaining
	if max(pool, team) <= now || done <= x.expires {
		return nil
	}
	rejection := &Rejection{Reason: "backlog", Done: done, Expires: x.expires, StartBy: x.expires - x.remaining}
	switch {
	case team > pool:
		rejection.Reason = "team limit"
	case x.beyond:
		rejection.Reason = "beyond rate"
	}
	return rejection
}

// before returns when the work that goes before a job has started, by the capacity of the pool
// and by the limit of the job's team. Jobs that can no longer be on time when their turn
// comes wait for those that can, and expired ones are not counted.
func (a *Admission) before(x *queuedJob, capacity workload.Size) (pool, team workload.Millis) {
	for _, t := range a.teams {
		t.before = t.running
	}
	sum := a.running
	pool, team = a.clear(sum, capacity), a.clearTeam(x.team, x.team.before)
	inTurn := func(q *queuedJob) {
		own := a.clearTeam(q.team, q.team.before)
		q.team.before = q.team.before.Add(q.need)
		if own <= pool { // otherwise its team's limit holds it back longer than the pool does
			sum = sum.Add(q.work)
			pool = a.clear(sum, capacity)
		}
		if q.team == x.team {
			team = a.clearTeam(x.team, x.team.before)
		}
	}
	var late []*queuedJob
	for i := range a.queue {
		q := &a.queue[i]
		switch {
		case !q.precedes(x):
		case max(pool, a.in.Now) <= q.latest:
			inTurn(q)
		default:
			late = append(late, q)
		}
	}
	if max(pool, team) <= x.latest {
		return pool, team
	}
	for _, q := range late {
		if max(pool, a.in.Now) <= q.expires {
			inTurn(q)
		}
	}
	return pool, team
}

// precedes reports whether a job goes before x while both are on time, or both are late.
func (q *queuedJob) precedes(x *queuedJob) bool {
	switch {
	case q.beyond != x.beyond:
		return x.beyond
	case q.priority != x.priority:
		return q.priority < x.priority
	case q.begun:
		return true
	case q.team.over != x.team.over:
		return x.team.over
	}
	// Work counts against a job, so a larger one may come later.
	return q.due <= x.due && q.work.Fits(x.work)
}

// clear returns when the last task of an amount of work starts at the earliest.
func (a *Admission) clear(work, capacity workload.Size) workload.Millis {
	first := float64(max(0, a.in.Supply.LaterAt-a.in.Now))
	longest := 0.0
	add := func(work, now, later int64) {
		if work <= 0 {
			return
		}
		t := float64(work) / float64(max(now, 0))
		if t > first {
			t = first + (float64(work)-first*float64(now))/float64(now+later)
		}
		longest = max(longest, t)
	}
	later := a.in.Supply.Later
	add(work.Processors, capacity.Processors, later.Processors)
	add(work.MemoryMB, capacity.MemoryMB, later.MemoryMB)
	add(work.Accelerators, capacity.Accelerators, later.Accelerators)
	return a.in.Now + bounded(longest) - a.longest
}

// clearTeam returns when the last task of an amount of work of a team starts at the earliest
// within its limit.
func (a *Admission) clearTeam(t *teamWork, work workload.Size) workload.Millis {
	longest := 0.0
	add := func(work, limit, largest int64) {
		if limit > 0 {
			longest = max(longest, float64(work)/float64(limit+largest))
		}
	}
	add(work.Processors, t.limit.Processors, t.largest.Processors)
	add(work.MemoryMB, t.limit.MemoryMB, t.largest.MemoryMB)
	add(work.Accelerators, t.limit.Accelerators, t.largest.Accelerators)
	return a.in.Now + bounded(longest) - a.longest
}

// bounded converts a time to milliseconds; work without any capacity takes MaxDuration.
func bounded(t float64) workload.Millis {
	return workload.Millis(min(t, float64(workload.MaxDuration)))
}
