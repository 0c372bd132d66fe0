package jobs

import (
	"magnoliastand.example/invariant"
	"magnoliastand.example/placement"
)

// assign applies a planned assignment if it is valid for the current state.
func (s *State) assign(c *Assign) (*Job, error) {
	j, err := s.findJob(c.ID)
	if err != nil {
		return nil, err
	}
	if err := s.checkAssign(j, c); err != nil {
		return nil, err
	}
	again := j.MayHaveRun
	s.epoch++
	n, err := s.transition(j, EventAssign, c.Reason, func(n *Job) {
		n.Worker, n.Epoch, n.MayHaveRun, n.RanBefore = c.Worker, s.epoch, true, again
		n.Reserved = c.reserved(j)
	})
	if err != nil {
		return nil, err
	}
	invariant.Check(!again || n.Spec.Idempotent, invariant.AtMostOnce,
		"job %s is not idempotent, may have run and was assigned again with epoch %d", n.ID, n.Epoch)
	t, _ := s.team(n.Team)
	invariant.Check(s.running[n.Team] <= t.Limit, invariant.TeamLimit,
		"team %q may have %d jobs running of at most %d", n.Team, s.running[n.Team], t.Limit)
	return n, nil
}

func (s *State) checkAssign(j *Job, c *Assign) error {
	if j.State != Accepted || j.Epoch != c.IfEpoch {
		return refuse(CodeWrongState, "job %s is %s with epoch %d", j.ID, j.State, j.Epoch)
	}
	if j.MayHaveRun && !j.Spec.Idempotent && !s.opts.ignoreMayHaveRun {
		return refuse(CodeMayHaveRun, "job %s is not idempotent and may have run", j.ID)
	}
	w := s.workers[c.Worker]
	if w == nil || w.State != Ready || w.Pool != j.Spec.Pool {
		return refuse(CodeWorker, "worker %q is not ready in pool %q", c.Worker, j.Spec.Pool)
	}
	if s.inEvacuatedZone(w.ID) && !s.opts.ignoreEvacuations {
		return refuse(CodeWorker, "worker %q is in the evacuated zone %q", w.ID, w.Zone)
	}
	if s.now > w.Until {
		return refuse(CodeWorker, "the lease of worker %q has lapsed", c.Worker)
	}
	if err := s.checkCapacity(j, w, c.reserved(j)); err != nil {
		return err
	}
	if err := s.checkCrashes(j, w); err != nil {
		return err
	}
	t, ok := s.team(j.Team)
	if !s.opts.ignoreLimit && (!ok || s.running[j.Team] >= t.Limit) {
		return refuse(CodeTeamLimit, "team %q may have %d jobs running of at most %d", j.Team, s.running[j.Team], t.Limit)
	}
	return nil
}

func (c *Assign) reserved(j *Job) Size {
	if c.Reserved == (Size{}) {
		return j.Spec.Size
	}
	return c.Reserved
}

// checkCapacity refuses reservations that exceed the free capacity of the worker.
func (s *State) checkCapacity(j *Job, w *Worker, size Size) error {
	if !size.valid() {
		return invalid("reserved", "amounts of 0 to %d are required", MaxAmount)
	}
	tasks := s.onWorker[w.ID]
	for _, t := range tasks {
		size = size.Add(t.Reserved)
	}
	if len(tasks) >= w.Slots || !size.Fits(w.Capacity) {
		return refuse(CodeWorker, "worker %q has %d tasks and no room for job %s", w.ID, len(tasks), j.ID)
	}
	return nil
}

// checkCrashes refuses jobs that crashed too many workers, and company for a job that
// may crash its worker.
func (s *State) checkCrashes(j *Job, w *Worker) error {
	if s.rules < RulesCrashes {
		return nil
	}
	if j.CrashedTooOften() {
		return refuse(CodeCrashes, "job %s: %s", j.ID, j.CrashReason())
	}
	for _, t := range s.onWorker[w.ID] {
		if t.Suspect(s.now) {
			return refuse(CodeWorker, "worker %q runs job %s alone, which crashed workers", w.ID, t.ID)
		}
	}
	return nil
}

// preempt advances an idempotent job to a later preemption stage.
func (s *State) preempt(c *Preempt) (*Job, error) {
	j, err := s.findJob(c.ID)
	if err != nil {
		return nil, err
	}
	if j.Epoch != c.Epoch || !j.Spec.Idempotent || !j.State.OnWorker() {
		return nil, refuse(CodeWrongState, "job %s is %s with epoch %d and can't be preempted", j.ID, j.State, j.Epoch)
	}
	if c.Stage <= j.Stage || c.Stage > placement.Stop {
		return nil, refuse(CodeWrongState, "job %s is at stage %d of its preemption", j.ID, j.Stage)
	}
	event := EventStage
	if c.Stage == placement.Stop {
		event = EventStop
	}
	return s.transition(j, event, c.Reason, func(n *Job) {
		n.Stage, n.StageSince = c.Stage, s.now
		if event == EventStop {
			n.Intent = StopPreempt
		}
	})
}
