package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"magnoliastand.example/jobs"
	"magnoliastand.example/placement"
)

// planPool plans the refusals, starts and preemptions of one pool.
func (p *planner) planPool(q *pool) {
	p.refuseOrPark(q)
	alone := p.startSuspects(q)
	teams := p.teams(q)
	started := p.start(q, teams)
	maps.Copy(started, alone)
	uses := usesOf(q, teams, started)
	stopped := p.preemptUrgent(q, started)
	for _, c := range placement.Preempt(uses, q.running, q.total, p.view.Now) {
		if _, ok := stopped[c.TaskID]; !ok {
			p.preempt(c.TaskID, c.Stage, "another team is short of its share")
		}
	}
}

// teams returns the running and waiting jobs of each team in the pool, in
// ascending order of name.
func (p *planner) teams(q *pool) []placement.TeamQueue {
	index := map[string]*placement.TeamQueue{}
	of := func(name string) *placement.TeamQueue {
		if t := index[name]; t != nil {
			return t
		}
		team, _ := p.view.Team(name)
		t := &placement.TeamQueue{
			TeamUse: placement.TeamUse{Team: name, Share: float64(max(team.Share, 1))},
			Limit:   max(team.Limit-p.view.RunningOf(name)-p.starts[name], 0),
		}
		index[name] = t
		return t
	}
	for n := range q.running {
		r := &q.running[n]
		of(r.Task.Team).Use += r.Size.DominantShare(q.total)
	}
	for _, j := range q.waiting {
		p.queue(of(j.Team), j, q.total)
	}
	out := make([]placement.TeamQueue, 0, len(index))
	for _, t := range index {
		t.Demand += t.Use
		out = append(out, *t)
	}
	slices.SortFunc(out, func(a, b placement.TeamQueue) int { return cmp.Compare(a.Team, b.Team) })
	return out
}

// queue adds a waiting job to its team's queue. Jobs beyond the team's limit do
// not count as demand.
func (p *planner) queue(t *placement.TeamQueue, j *jobs.Job, total placement.Size) {
	task := j.Task()
	list := &t.Long
	if j.Spec.Urgent {
		list = &t.Quick
	}
	if len(*list) >= maxWaiting {
		return
	}
	if len(t.Quick)+len(t.Long) < t.Limit {
		t.Demand += p.est.ExpectedSize(&task).DominantShare(total)
	}
	if len(t.Quick)+len(t.Long) == 0 {
		t.Oldest = j.Submitted
	}
	*list = append(*list, task)
}

// usesOf returns the resource usage of each team, including the jobs started by
// this plan.
func usesOf(q *pool, teams []placement.TeamQueue, started map[string]placement.Start) []placement.TeamUse {
	added := map[string]float64{}
	for _, id := range slices.Sorted(maps.Keys(started)) {
		s := started[id]
		added[s.Task.Team] += s.Size.DominantShare(q.total)
	}
	uses := make([]placement.TeamUse, 0, len(teams))
	for n := range teams {
		u := teams[n].TeamUse
		u.Use += added[u.Team]
		u.Demand = max(u.Demand, u.Use)
		uses = append(uses, u)
	}
	return uses
}

// start assigns jobs and returns the starts by job id.
func (p *planner) start(q *pool, teams []placement.TeamQueue) map[string]placement.Start {
	started := map[string]placement.Start{}
	for _, s := range placement.Place(placement.Input{
		Workers: q.workers, Teams: teams, Classes: q.classes(),
		Order: placement.LowestUse{}, Estimator: p.est, MaxAttempts: maxTries,
	}) {
		p.starts[s.Task.Team]++
		started[s.Task.ID] = s
		p.out = append(p.out, jobs.Change{Assign: &jobs.Assign{
			ID: s.Task.ID, Worker: s.Worker, IfEpoch: p.view.Job(s.Task.ID).Epoch, Reserved: jobs.SizeOf(s.Size),
		}})
		q.reserve(s.Worker, s.Size)
	}
	return started
}

func (q *pool) reserve(worker string, size placement.Size) {
	for n := range q.workers {
		if q.workers[n].ID == worker {
			q.workers[n].Used = q.workers[n].Used.Add(size)
			return
		}
	}
}

func (p *planner) preempt(id string, stage placement.Stage, reason string) {
	p.out = append(p.out, jobs.Change{Preempt: &jobs.Preempt{
		ID: id, Epoch: p.view.Job(id).Epoch, Stage: stage, Reason: reason,
	}})
}
