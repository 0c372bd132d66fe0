package replay

import (
	"magnoliastand.example/api"
	"magnoliastand.example/placement"
)

// admitArrivals enqueues the new jobs of one service and counts those that fit no
// worker.
func (r *run) admitArrivals(svc int) {
	s := r.services[svc]
	for _, j := range r.workload.arrivals(svc, r.now, step) {
		empty := placement.Worker{Capacity: r.workers[0].capacity}
		if placement.FitsNowhere(&j.Task, []placement.Worker{empty}) {
			r.measures.fitsNowhere++
			continue
		}
		s.arrivedWork += r.estimatedSize(j) * float64(r.estimator.Run(&j.Task))
		r.enqueue(j)
	}
}

// estimatedSize returns the estimated size of a job, in instances.
func (r *run) estimatedSize(j *job) float64 {
	return r.estimator.ExpectedSize(&j.Task).DominantShare(r.workers[0].capacity)
}

// actualSize returns the actual size of a job, in instances.
func (r *run) actualSize(j *job) float64 { return j.actual.DominantShare(r.workers[0].capacity) }

func (r *run) enqueue(j *job) { r.services[j.service].enqueue(j, r.estimatedSize(j), r.actualSize(j)) }

// place starts the tasks chosen by the placement for one service, and preempts
// tasks if others still wait.
func (r *run) place(s *serviceState) {
	for s.needsPlacement && s.waitingTasks() > 0 {
		starts := placement.Place(s.placementInput(&r.policy, r.estimator))
		for _, st := range starts {
			r.start(s, st)
		}
		if len(starts) < headLength {
			break
		}
	}
	s.needsPlacement = false
	s.full = s.waitingTasks() > 0
	if s.full && r.policy.fairShare && r.now%preemptInterval == 0 {
		r.preempt(s)
	}
}

func (r *run) start(s *serviceState, st placement.Start) {
	w := r.workersByID[st.Worker]
	team := s.teams[teamIndex(st.Task.Team)]
	j := team.jobs[st.Task.ID]
	team.backlog(j.Class).Remove(j.ID)
	s.dequeue(j, r.actualSize(j))
	t := &runningTask{job: j, chargedSize: r.estimatedSize(j), checkpoint: j.remaining}
	t.placed = placement.Running{Task: j.Task, Worker: w.id, Size: st.Size, Started: r.now}
	w.tasks = append(w.tasks, t)
	w.used = w.used.Add(st.Size)
	team.estimatedUse += t.chargedSize
	team.actualUse += r.actualSize(j)
	if j.Class == api.ClassQuick {
		s.quickRunning++
		// Tasks start at the end of the step in which they are submitted.
		r.measures.recordQuickWait(r.now + step - j.Submitted)
		return
	}
	s.longRunning++
}

// reportUsage replaces the estimated size of each running task by its actual size
// once usageReportDelay has passed since its start.
func (r *run) reportUsage() {
	for _, w := range r.workers {
		for _, t := range w.tasks {
			if t.reported || r.now-t.placed.Started < usageReportDelay {
				continue
			}
			t.reported = true
			r.services[t.service].teams[t.team].estimatedUse += r.actualSize(t.job) - t.chargedSize
			t.chargedSize = r.actualSize(t.job)
		}
	}
}

// releaseUsage removes a task from the usage of its team and the running tasks of
// its service.
func (r *run) releaseUsage(t *runningTask) {
	s := r.services[t.service]
	s.needsPlacement = true
	team := s.teams[t.team]
	team.estimatedUse -= t.chargedSize
	team.actualUse -= r.actualSize(t.job)
	if t.Class == api.ClassQuick {
		s.quickRunning--
	} else {
		s.longRunning--
	}
}

// finish handles a task that ended on its worker, by success or failure.
func (r *run) finish(w *worker, t *runningTask) {
	r.releaseUsage(t)
	if t.poison || r.now >= w.faultyFrom {
		r.handleFailure(w, t)
		return
	}
	r.outcomes.Succeeded(&t.Task, w.id)
	r.estimator.Observe(&t.Task, t.actual, placement.Millis(t.run))
	r.measures.done++
}

// handleFailure records a failure and enqueues the job again if it is idempotent
// and not parked.
func (r *run) handleFailure(w *worker, t *runningTask) {
	r.outcomes.Failed(&t.Task, w.id)
	t.FailedOn = append(t.FailedOn, w.id)
	if r.outcomes.ParkReason(&t.Task) != "" {
		r.measures.parked++
		return
	}
	if !t.Idempotent {
		r.measures.failed++
		return
	}
	t.remaining = t.run
	r.enqueue(t.job)
}

// loseTasks removes all tasks of a failed worker. Idempotent tasks are enqueued
// again; the outcome of the others is unknown.
func (r *run) loseTasks(w *worker) {
	for _, t := range w.tasks {
		r.releaseUsage(t)
		if !t.Idempotent {
			r.measures.unknown++
			continue
		}
		t.remaining = t.run
		r.enqueue(t.job)
	}
	w.tasks = nil
	w.used = placement.Size{}
}

// preempt applies the preemptions chosen by the placement for one service.
func (r *run) preempt(s *serviceState) {
	var tasks []placement.Running
	var total placement.Size
	for _, w := range s.workers {
		total = total.Add(w.capacity)
		for _, t := range w.tasks {
			if t.Class == api.ClassLong && t.service == r.serviceIndex[s.name] {
				tasks = append(tasks, t.placed)
			}
		}
	}
	for _, p := range placement.Preempt(s.teamUses(false), tasks, total, r.now) {
		r.applyPreemption(r.workersByID[p.Worker], p)
	}
}

func (r *run) applyPreemption(w *worker, p placement.Preemption) {
	if p.Stage == placement.Stop {
		t := w.removeTask(p.TaskID)
		r.releaseUsage(t)
		t.remaining = t.checkpoint
		r.enqueue(t.job)
		r.measures.preempted++
		return
	}
	for _, t := range w.tasks {
		if t.ID != p.TaskID {
			continue
		}
		t.placed.Stage, t.placed.StageSince = p.Stage, r.now
		if p.Stage == placement.Checkpoint {
			t.checkpoint = t.remaining
		}
	}
}

// cancelTasks cancels most waiting tasks of all teams, each of them twice, and
// every cancelStride-th running task of each worker.
func (r *run) cancelTasks() {
	for _, s := range r.services {
		for _, t := range s.teams {
			r.cancelWaiting(s, t, t.quick)
			r.cancelWaiting(s, t, t.long)
		}
	}
	for _, w := range r.workers {
		for n := len(w.tasks) - 1; n >= 0; n -= cancelStride {
			r.releaseUsage(w.removeTask(w.tasks[n].ID))
			r.measures.cancelled++
		}
	}
}

// cancelWaiting cancels a fraction of a backlog. Each task is cancelled twice, and
// a breach is counted if the second call removes a task.
func (r *run) cancelWaiting(s *serviceState, t *teamState, b *placement.Backlog) {
	var ids []string
	for _, task := range b.Head(int(cancelFraction * float64(b.Len()))) {
		ids = append(ids, task.ID)
	}
	for _, id := range ids {
		j := t.jobs[id]
		if b.Cancel(id) {
			s.dequeue(j, r.actualSize(j))
			r.measures.cancelled++
		}
		if b.Cancel(id) {
			r.measures.breaches++
		}
	}
}

func teamIndex(name string) int {
	for n, t := range teams {
		if t.name == name {
			return n
		}
	}
	return -1
}
