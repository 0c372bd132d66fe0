package plan

import "magnoliastand.example/workload"

const (
	// maxTrials and maxIsolated bound the suspected and the isolated tasks of one job that
	// are tried at a time: if one is given up, so is the job, and the others need no trial.
	maxTrials   = 2
	maxIsolated = 1
	// isolatedShare is the largest share of a pool's workers that isolated tasks take, as
	// a divisor; at least one may be taken.
	isolatedShare = 4
	// trialWake is after how many milliseconds a suspected task that waits is planned
	// again.
	trialWake = 250
	// crashedHerePenalty, in runs, keeps a suspected task off the address at which all its
	// crashes were, if there is another worker: the fault may be that worker's own.
	crashedHerePenalty = 1000
)

// suspicionOf returns how likely a task is to crash its worker.
func (p *planner) suspicionOf(j *workload.Job, ref workload.TaskRef) workload.Suspicion {
	if p.in.Suspicion == nil || len(j.Crashes) == 0 {
		return workload.Unsuspected
	}
	return p.in.Suspicion(ref)
}

// planIsolated plans the isolated tasks of all jobs ahead of any other task: they need a
// worker that runs nothing.
func (p *planner) planIsolated(jobs []candidate) {
	for _, c := range jobs {
		if len(c.job.Crashes) == 0 {
			continue
		}
		p.eachWaiting(c.job, func(ref workload.TaskRef, step *workload.Step, task *workload.Task) {
			if p.suspicionOf(c.job, ref) == workload.Isolated {
				p.tryOut(c.job, ref, step, task, workload.Isolated)
			}
		})
	}
}

// eachWaiting calls f for the tasks of a job that may be assigned now. Gangs are left out:
// their members have to run together.
func (p *planner) eachWaiting(j *workload.Job, f func(workload.TaskRef, *workload.Step, *workload.Task)) {
	for k := range j.Tasks {
		if j.Spec.Due(k) > p.in.Now {
			continue
		}
		for st := range j.Tasks[k] {
			step := &j.Spec.Steps[st]
			if step.Gang || !j.Unblocked(k, st) {
				continue
			}
			for i := range j.Tasks[k][st] {
				ref := workload.TaskRef{Job: j.ID, Occurrence: k, Step: st, Index: i}
				if t := &j.Tasks[k][st][i]; t.State == workload.TaskWaiting && p.in.NotBefore(ref) <= p.in.Now {
					f(ref, step, t)
				}
			}
		}
	}
}

// tryOut places a suspected or isolated task where a crash does the least harm.
func (p *planner) tryOut(j *workload.Job, ref workload.TaskRef, step *workload.Step, task *workload.Task, level workload.Suspicion) {
	pool, team := p.pool(p.in.State.PoolOf(j)), p.team(j.Team)
	tickets, ok := p.ticketsOf(j, ref)
	if !ok || !team.admits(step) {
		return
	}
	limit := maxTrials
	if level == workload.Isolated {
		limit = maxIsolated
	}
	if p.trialsOf(j.ID) >= limit || !p.placeSuspect(j, ref, task.Run+1, pool, team, tickets, level) {
		p.scheduleWake(p.in.Now + trialWake)
		p.requestTickets(ref, tickets)
		p.recordWaiting(step, pool, team, 1)
		return
	}
	p.trials[j.ID]++
}

// trialsOf returns how many tasks of a job are being tried out.
func (p *planner) trialsOf(job string) int {
	n := p.trials[job]
	if p.in.Trials != nil {
		n += p.in.Trials(job)
	}
	return n
}

// crashedAt reports whether all crashes under a task, several, were at a worker's address.
func (p *planner) crashedAt(j *workload.Job, ref workload.TaskRef, h *host) bool {
	return len(j.Crashes) > 0 && p.in.CrashedAt != nil && p.in.CrashedAt(ref, h.worker.Address)
}

// placeSuspect assigns a task to the feasible worker with the fewest runs. An isolated
// task that finds no worker without runs keeps new tasks off the one that has the fewest.
func (p *planner) placeSuspect(j *workload.Job, ref workload.TaskRef, run int64, pool *poolHosts, team *teamUsage, tickets Tickets, level workload.Suspicion) bool {
	step := &j.Spec.Steps[ref.Step]
	var best, emptiest *host
	var bestScore float64
	closed := 0
	for _, h := range pool.hosts {
		if h.closed {
			closed++
			continue
		}
		if !tickets.allow(h.worker) || !p.feasible(h, step, ref) {
			continue
		}
		crashedHere := p.crashedAt(j, ref, h)
		if !crashedHere && step.Reserved().Fits(h.worker.Capacity) && (emptiest == nil || h.runs < emptiest.runs) {
			emptiest = h
		}
		if !h.mayStart(p.in.Now) || h.trial || level == workload.Isolated && h.runs > 0 || !step.Reserved().Fits(h.free) {
			continue
		}
		score := h.trialScore()
		if crashedHere {
			score += crashedHerePenalty
		}
		if best == nil || score < bestScore {
			best, bestScore = h, score
		}
	}
	if level == workload.Isolated && emptiest != nil && bestScore >= crashedHerePenalty {
		best = nil // another worker can be kept free for it
	}
	if level == workload.Isolated && closed >= max(1, len(pool.hosts)/isolatedShare) {
		return false
	}
	if best == nil {
		if level == workload.Isolated && emptiest != nil {
			emptiest.closed = true
		}
		return false
	}
	best.trial, best.closed = true, level == workload.Isolated
	p.assign(best, step, ref, run, team)
	return true
}

// trialScore rates a worker for a task that may crash it; lower is better.
func (h *host) trialScore() float64 {
	score := float64(h.runs) + h.penalty
	if h.cold {
		score += coldWorkerPenalty
	}
	return score
}
