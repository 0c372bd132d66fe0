package replay

import (
	"magnoliastand.example/api"
	"magnoliastand.example/placement"
)

// arrive takes in the new jobs of one service.
func (r *run) arrive(svc int) {
	s := r.services[svc]
	for _, j := range r.work.arrivals(svc, r.now, step) {
		all := placement.Worker{Capacity: r.workers[0].capacity}
		if placement.FitsNowhere(&j.Task, []placement.Worker{all}) {
			r.m.fitsNowhere++
			continue
		}
		s.arrived += r.estimate(j) * float64(r.estimator.Run(&j.Task))
		r.wait(j)
	}
}

// estimate returns the estimated size of a job in instances.
func (r *run) estimate(j *job) float64 {
	return r.estimator.Expected(&j.Task).Dominant(r.workers[0].capacity)
}

func (r *run) trueSize(j *job) float64 { return j.actual.Dominant(r.workers[0].capacity) }

func (r *run) wait(j *job) { r.services[j.svc].push(j, r.estimate(j), r.trueSize(j)) }

// place starts what the placement chooses for one service.
func (r *run) place(s *serviceState) {
	for s.dirty && s.waiting() > 0 {
		starts := placement.Place(s.input(&r.policy, r.estimator))
		for _, st := range starts {
			r.start(s, st)
		}
		if len(starts) < headLength {
			break
		}
	}
	s.dirty = false
	s.full = s.waiting() > 0
	if s.full && r.policy.shares && r.now%preemptTurn == 0 {
		r.preempt(s)
	}
}

func (r *run) start(s *serviceState, st placement.Start) {
	w := r.byID[st.Worker]
	team := s.teams[teamIndex(st.Task.Team)]
	j := team.jobs[st.Task.ID]
	team.backlog(j.Class).Remove(j.ID)
	s.drop(j, r.trueSize(j))
	t := &running{job: j, est: r.estimate(j), checkpoint: j.left}
	t.on = placement.Running{Task: j.Task, Worker: w.id, Size: st.Size, Started: r.now}
	w.tasks = append(w.tasks, t)
	w.used = w.used.Add(st.Size)
	team.useEst += t.est
	team.useTrue += r.trueSize(j)
	if j.Class == api.ClassQuick {
		s.quick++
		// A task submitted within this step starts at its end.
		r.m.quickWait(r.now + step - j.Submitted)
		return
	}
	s.long++
}

// reportUse replaces estimates by the use that workers report with a lag.
func (r *run) reportUse() {
	for _, w := range r.workers {
		for _, t := range w.tasks {
			if t.reported || r.now-t.on.Started < reportLag {
				continue
			}
			t.reported = true
			r.services[t.svc].teams[t.team].useEst += r.trueSize(t.job) - t.est
			t.est = r.trueSize(t.job)
		}
	}
}

// release takes a job off the books of running tasks.
func (r *run) release(t *running) {
	s := r.services[t.svc]
	s.dirty = true
	team := s.teams[t.team]
	team.useEst -= t.est
	team.useTrue -= r.trueSize(t.job)
	if t.Class == api.ClassQuick {
		s.quick--
	} else {
		s.long--
	}
}

// end handles a task that succeeded or failed on its worker.
func (r *run) end(w *worker, t *running) {
	r.release(t)
	if t.poison || r.now >= w.badFrom {
		r.failed(w, t)
		return
	}
	r.outcomes.Succeeded(&t.Task, w.id)
	r.estimator.Observe(&t.Task, t.actual, placement.Millis(t.run))
	r.m.done++
}

// failed records a failure and retries the job where that is safe.
func (r *run) failed(w *worker, t *running) {
	r.outcomes.Failed(&t.Task, w.id)
	t.FailedOn = append(t.FailedOn, w.id)
	if r.outcomes.Park(&t.Task) != "" {
		r.m.parked++
		return
	}
	if !t.Idempotent {
		r.m.failed++
		return
	}
	t.left = t.run
	r.wait(t.job)
}

// lose drops the tasks of a worker that failed. Only idempotent ones run again.
func (r *run) lose(w *worker) {
	for _, t := range w.tasks {
		r.release(t)
		if !t.Idempotent {
			r.m.unknown++
			continue
		}
		t.left = t.run
		r.wait(t.job)
	}
	w.tasks = nil
	w.used = placement.Size{}
}

// preempt carries out the preemptions that the placement asks for.
func (r *run) preempt(s *serviceState) {
	var tasks []placement.Running
	var total placement.Size
	for _, w := range s.workers {
		total = total.Add(w.capacity)
		for _, t := range w.tasks {
			if t.Class == api.ClassLong && t.svc == r.byName[s.name] {
				tasks = append(tasks, t.on)
			}
		}
	}
	for _, p := range placement.Preempt(s.uses(false), tasks, total, r.now) {
		r.toStage(r.byID[p.Worker], p)
	}
}

func (r *run) toStage(w *worker, p placement.Preemption) {
	if p.Stage == placement.Stop {
		t := w.take(p.TaskID)
		r.release(t)
		t.left = t.checkpoint
		r.wait(t.job)
		r.m.preempted++
		return
	}
	for _, t := range w.tasks {
		if t.ID != p.TaskID {
			continue
		}
		t.on.Stage, t.on.StageSince = p.Stage, r.now
		if p.Stage == placement.Checkpoint {
			t.checkpoint = t.left
		}
	}
}

// cancelWave cancels most waiting tasks of all teams, each twice, and a part
// of the running ones.
func (r *run) cancelWave() {
	for _, s := range r.services {
		for _, t := range s.teams {
			r.cancelWaiting(s, t, t.quick)
			r.cancelWaiting(s, t, t.long)
		}
	}
	for _, w := range r.workers {
		for n := len(w.tasks) - 1; n >= 0; n -= cancelEach {
			r.release(w.take(w.tasks[n].ID))
			r.m.cancelled++
		}
	}
}

// cancelWaiting cancels a part of a backlog. A second cancel that takes
// something out is counted as a breach.
func (r *run) cancelWaiting(s *serviceState, t *teamState, b *placement.Backlog) {
	var ids []string
	for _, task := range b.Head(int(cancelPart * float64(b.Len()))) {
		ids = append(ids, task.ID)
	}
	for _, id := range ids {
		j := t.jobs[id]
		if b.Cancel(id) {
			s.drop(j, r.trueSize(j))
			r.m.cancelled++
		}
		if b.Cancel(id) {
			r.m.breaches++
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
