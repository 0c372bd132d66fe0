// Package plan decides which waiting task starts on which worker. It is a pure
// function of the state and of what the leader has seen of the workers; the
// state checks every assignment again.
package plan

import (
	"cmp"
	"slices"

	"magnoliastand.example/workload"
)

// Weights of the score by which a worker is chosen; the lowest score wins. Load
// is the unit: a weight of 1 is worth one whole worker of free processors.
const (
	// offRackWeight keeps tasks near their data, which makes them half as long again elsewhere.
	offRackWeight = 1.5
	// disturbWeight keeps filling and serving tasks apart while there is a choice.
	disturbWeight = 1.0
	// leavingWeight keeps lasting tasks off workers that are taken down soon.
	leavingWeight = 2.0
	// failedWeight keeps a task from the worker on which it failed last, while
	// there is another one.
	failedWeight = 2
	// hopelessFactor is the multiple of its objective after which a job earns nothing.
	hopelessFactor = 3
)

// Condition is what the leader has seen of a worker.
type Condition struct {
	// Usable workers may get work now.
	Usable bool
	// Penalty is added to the score of the worker.
	Penalty float64
	// Leaving workers are taken down soon: work that lasts would have to move again.
	Leaving bool
}

// Input is a snapshot to plan from.
type Input struct {
	State *workload.State
	Now   workload.Millis
	// Condition returns what the leader has seen of a worker.
	Condition func(worker string) Condition
	// Tickets returns the tickets of the advice service for a step, by worker,
	// and whether the service has answered.
	Tickets func(step workload.TaskRef) (map[string]string, bool)
	// NotBefore returns when a task may be tried again; 0 is at once.
	NotBefore func(task workload.TaskRef) workload.Millis
	// FailedOn returns the worker on which a task failed last, or "".
	FailedOn func(task workload.TaskRef) string
}

// Plan is the outcome.
type Plan struct {
	Assign []workload.Assign
	// Advice lists steps that wait for the advice service.
	Advice []workload.TaskRef
	// Wake is when a task that is due later can start; 0 is never.
	Wake workload.Millis
	// Waiting is what the tasks need that found no room, by pool.
	Waiting map[string]workload.Size
}

// host is a worker with what the plan leaves of it.
type host struct {
	worker  *workload.Worker
	free    workload.Size
	penalty float64
	leaving bool
	mix     workload.Mix
}

func (h *host) rack() string {
	if len(h.worker.Labels) == 0 {
		return ""
	}
	return h.worker.Labels[len(h.worker.Labels)-1]
}

// planner holds the progress of one plan.
type planner struct {
	in    *Input
	hosts map[string][]*host
	use   map[string]workload.Size
	plan  Plan
	// planned counts the assignments of this plan by worker and step.
	planned map[stepOnWorker]int
	// tooBig holds, by pool, a size that fits into no host any more.
	tooBig map[string]workload.Size
}

// stepOnWorker is the key of planned.
type stepOnWorker struct {
	worker     string
	job        string
	occurrence int
	step       int
}

// Tasks plans the starts of waiting tasks.
func Tasks(in *Input) Plan {
	p := &planner{
		in: in, hosts: map[string][]*host{}, use: map[string]workload.Size{},
		planned: map[stepOnWorker]int{}, tooBig: map[string]workload.Size{}, plan: Plan{Waiting: map[string]workload.Size{}},
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

// urgency is the class of a job by what it can still earn.
type urgency uint8

const (
	// inTime jobs can still meet their objective.
	inTime urgency = iota
	// late jobs have missed it and still earn a little.
	late
	// hopeless jobs earn nothing any more.
	hopeless
)

// candidate is a job with the place of its turn.
type candidate struct {
	job      *workload.Job
	priority int
	urgency  urgency
	// over is set for teams beyond their share.
	over bool
	due  workload.Millis
}

// runnable returns the jobs with open tasks in the order of their turns: what
// can still be in time first, then priority, then teams within their share, then
// the time at which the objective passes. In overload this gives up some jobs in place of making all late.
func (p *planner) runnable() []candidate {
	var out []candidate
	waiting := map[string]bool{}
	for _, j := range p.in.State.Active() {
		if j.Open() > 0 {
			out = append(out, p.candidate(j))
			waiting[j.Team] = true
		}
	}
	over := overShare(p.in.State, waiting)
	for i := range out {
		out[i].over = over[out[i].job.Team]
	}
	slices.SortFunc(out, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.urgency, b.urgency), cmp.Compare(a.priority, b.priority),
			compareBool(a.over, b.over), cmp.Compare(a.due, b.due), cmp.Compare(a.job.ID, b.job.ID))
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
	c := candidate{job: j, urgency: inTime, due: j.Submitted + j.Chain()}
	q, ok := p.in.State.Queue(j.Queue)
	if !ok {
		return c
	}
	c.priority = q.Priority
	objective := workload.Millis(q.Stretch*float64(j.Chain())) + q.Target
	c.due = j.Submitted + objective
	switch {
	case j.Spec.StartAt != 0 || j.Spec.LongRunning():
	case p.in.Now > j.Submitted+hopelessFactor*objective:
		c.urgency = hopeless
	case p.in.Now+j.Remaining() > c.due:
		c.urgency = late
	}
	return c
}

// hostsOf returns the usable workers of a pool in the order of their ids.
func (p *planner) hostsOf(pool string) []*host {
	hosts, known := p.hosts[pool]
	if known {
		return hosts
	}
	for _, w := range p.in.State.PoolWorkers(pool) {
		if w.Draining || w.Gone {
			continue
		}
		c := p.in.Condition(w.ID)
		if !c.Usable {
			continue
		}
		hosts = append(hosts, &host{
			worker: w, free: w.Capacity.Sub(p.in.State.Reserved(w.ID)), penalty: c.Penalty, leaving: c.Leaving, mix: p.in.State.MixOf(w.ID),
		})
	}
	p.hosts[pool] = hosts
	return hosts
}

func (p *planner) planJob(j *workload.Job) {
	for k := range j.Tasks {
		if due := j.Spec.Due(k); due > p.in.Now {
			p.wakeAt(due)
			continue
		}
		for st := range j.Tasks[k] {
			if j.Unblocked(k, st) {
				p.planStep(j, k, st)
			}
		}
	}
}

func (p *planner) wakeAt(t workload.Millis) {
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
			p.wakeAt(at)
			continue
		}
		if !p.withinTeam(j, &j.Spec.Steps[st]) {
			return
		}
		if !p.place(j, ref, j.Tasks[k][st][i].Run+1, tickets, "") {
			p.wait(j, ref, len(waiting)-n)
			return
		}
	}
}

// planGang places all members of a gang or none.
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
		rack = p.roomiestRack(p.in.State.PoolOf(j))
	}
	for _, i := range waiting {
		ref.Index = i
		if !p.withinTeam(j, &j.Spec.Steps[ref.Step]) {
			p.undo(before)
			return
		}
		if !p.place(j, ref, run+1, tickets, rack) {
			p.undo(before)
			p.wait(j, ref, len(waiting))
			return
		}
	}
}

// wait counts tasks that found no room. The team's limit counts them as running,
// so that the wait of one team does not call for more than the team may use.
func (p *planner) wait(j *workload.Job, ref workload.TaskRef, tasks int) {
	step := &j.Spec.Steps[ref.Step]
	pool := p.in.State.PoolOf(j)
	for range tasks {
		if !p.withinTeam(j, step) {
			return
		}
		p.plan.Waiting[pool] = p.plan.Waiting[pool].Add(step.Reserved())
		p.use[j.Team] = p.use[j.Team].Add(step.Need)
	}
}

// roomiestRack returns the rack with the most free processors in a pool.
func (p *planner) roomiestRack(pool string) string {
	free := map[string]int64{}
	best := ""
	for _, h := range p.hostsOf(pool) {
		free[h.rack()] += h.free.Processors
		if best == "" || free[h.rack()] > free[best] {
			best = h.rack()
		}
	}
	return best
}

// undo takes back the assignments from a position on.
func (p *planner) undo(from int) {
	for _, a := range p.plan.Assign[from:] {
		j, _ := p.in.State.TaskOf(a.Task)
		step := &j.Spec.Steps[a.Task.Step]
		for _, h := range p.hostsOf(p.in.State.PoolOf(j)) {
			if h.worker.ID == a.Worker {
				h.free = h.free.Add(step.Reserved())
			}
		}
		p.use[j.Team] = p.use[j.Team].Sub(step.Need)
		delete(p.tooBig, p.in.State.PoolOf(j))
		p.planned[stepOnWorker{a.Worker, a.Task.Job, a.Task.Occurrence, a.Task.Step}]--
	}
	p.plan.Assign = p.plan.Assign[:from]
}

// place assigns one task to the best worker and reports whether there is one.
// The caller has checked the limit of the team.
func (p *planner) place(j *workload.Job, ref workload.TaskRef, run int64, tickets map[string]string, rack string) bool {
	step := &j.Spec.Steps[ref.Step]
	if rack == "" {
		rack = step.DataRack
	}
	pool := p.in.State.PoolOf(j)
	if big, known := p.tooBig[pool]; known && big.Fits(step.Reserved()) {
		return false
	}
	var best *host
	var bestScore float64
	fits := false
	failedOn := p.in.FailedOn(ref)
	for _, h := range p.hostsOf(pool) {
		fits = fits || step.Reserved().Fits(h.free)
		if tickets != nil && tickets[h.worker.ID] == "" || !p.suits(h, step, ref) {
			continue
		}
		score := h.score(step, rack)
		if h.worker.ID == failedOn {
			score += failedWeight
		}
		if best == nil || score < bestScore {
			best, bestScore = h, score
		}
	}
	if best == nil {
		if !fits {
			p.tooBig[pool] = step.Reserved()
		}
		return false
	}
	best.free = best.free.Sub(step.Reserved())
	best.mix = best.mix.Add(step, 1)
	p.use[j.Team] = p.use[j.Team].Add(step.Need)
	p.planned[stepOnWorker{best.worker.ID, ref.Job, ref.Occurrence, ref.Step}]++
	p.plan.Assign = append(p.plan.Assign, workload.Assign{
		Task: ref, Run: run, Worker: best.worker.ID, Incarnation: best.worker.Incarnation,
	})
	return true
}

func (p *planner) withinTeam(j *workload.Job, step *workload.Step) bool {
	team, ok := p.in.State.Team(j.Team)
	return !ok || p.in.State.TeamUse(j.Team).Add(p.use[j.Team]).Add(step.Need).WithinLimit(team.Limit)
}

// suits reports whether a worker may run one more task of the step.
func (p *planner) suits(h *host, step *workload.Step, ref workload.TaskRef) bool {
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

// score is low for a worker that suits well. Work is packed, so that other
// workers stay empty and their instances can move.
func (h *host) score(step *workload.Step, rack string) float64 {
	score := h.penalty
	if c := h.worker.Capacity.Processors; c > 0 {
		score += float64(h.free.Processors) / float64(c)
	}
	if rack != "" && rack != h.rack() {
		score += offRackWeight
	}
	if h.leaving && step.LongRunning {
		score += leavingWeight
	}
	if step.Fills && h.mix.Serving > 0 || step.TailTarget > 0 && h.mix.Filling > 0 {
		score += disturbWeight
	}
	return score
}
