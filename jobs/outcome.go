package jobs

import "slices"

const (
	// maxFailedOn bounds the list of workers on which a job failed.
	maxFailedOn = 2 * MaxAttempts
	// maxUnresolved bounds the earlier assignments of a job whose outcome is unknown.
	maxUnresolved = 8
)

// outcome applies the reported end of a task. A late outcome resolves an unknown
// job. The success of an earlier assignment that ended without an outcome settles
// the job; other outcomes of earlier assignments are refused. Repeated outcomes
// are ignored.
func (s *State) outcome(c *Outcome) (*Job, error) {
	j, err := s.findJob(c.ID)
	if err != nil {
		return nil, err
	}
	if !c.Used.valid() || c.Run < 0 {
		return nil, invalid("used", "amounts of 0 to %d and a run time are required", MaxAmount)
	}
	if len(c.Result) > MaxPayload {
		return nil, invalid("result", "at most %d bytes are allowed", MaxPayload)
	}
	if c.Kind == OutcomeSucceeded && s.settlesLate(j, Assignment{c.Epoch, c.Worker}) {
		return s.settle(j, c)
	}
	if j.Epoch != c.Epoch {
		return nil, refuse(CodeStaleEpoch, "job %s has epoch %d, the outcome is for %d", j.ID, j.Epoch, c.Epoch)
	}
	if !j.State.OnWorker() && j.State != Unknown {
		return j, nil
	}
	if j.Worker != c.Worker {
		return nil, refuse(CodeStaleEpoch, "job %s is not on worker %q", j.ID, c.Worker)
	}
	if j.Intent == StopSettled {
		return s.transition(j, EventSucceed, c.Reason, nil)
	}
	switch c.Kind {
	case OutcomeSucceeded:
		s.sample(j, c)
		return s.transition(j, EventSucceed, c.Reason, func(n *Job) { n.Used, n.Result = c.Used, c.Result })
	case OutcomeFailed:
		s.sample(j, c)
		return s.failed(j, c)
	case OutcomeStopped:
		return s.stopped(j, c.Reason)
	case OutcomeNotStarted:
		return s.notStarted(j, c)
	}
	return nil, invalid("outcome", "%q is not an outcome", c.Kind)
}

// settlesLate reports whether the success of an earlier assignment settles the job.
func (s *State) settlesLate(j *Job, a Assignment) bool {
	return s.rules >= RulesLateSuccess && !s.opts.ignoreLateSuccess && slices.Contains(j.Unresolved, a)
}

// settle records the success of an earlier assignment. A job that is on a worker
// again is stopped first and keeps counting against the limit of its team.
func (s *State) settle(j *Job, c *Outcome) (*Job, error) {
	if j.State.Finished() || j.Intent == StopSettled {
		return j, nil
	}
	s.sample(j, c)
	reason := "worker " + c.Worker + " reported the success of an earlier assignment"
	return s.transition(j, EventSettle, reason, func(n *Job) {
		n.Result = c.Result
		if n.State.OnWorker() {
			n.Intent = StopSettled
			return
		}
		n.Worker, n.Used = c.Worker, c.Used
	})
}

// sample stores the outcome for the scheduler and discards the oldest samples
// beyond MaxSamples.
func (s *State) sample(j *Job, c *Outcome) {
	if n := len(s.samples); n >= MaxSamples {
		s.samples = slices.Delete(s.samples, 0, n+1-MaxSamples)
	}
	s.samples = append(s.samples, Sample{
		Team: j.Team, Queue: j.Spec.Queue, Worker: c.Worker, Declared: j.Spec.Size, RunTime: j.Spec.RunTime,
		Used: c.Used, Run: c.Run, Failed: c.Kind == OutcomeFailed,
	})
}

// failed marks a job that is not idempotent as failed. An idempotent job is
// requeued, and parked after MaxAttempts failures.
func (s *State) failed(j *Job, c *Outcome) (*Job, error) {
	if !j.Spec.Idempotent || j.State == Unknown {
		return s.transition(j, EventFail, c.Reason, nil)
	}
	if j.Intent == StopCancel {
		return s.transition(j, EventCancel, c.Reason, nil)
	}
	n, err := s.transition(j, EventRequeue, c.Reason, func(n *Job) { n.recordFailure(c.Worker) })
	if err != nil || len(n.FailedOn) < MaxAttempts {
		return n, err
	}
	return s.transition(n, EventPark, "failed too often; last: "+c.Reason, nil)
}

func (j *Job) recordFailure(worker string) {
	j.FailedOn = append(slices.Clone(j.FailedOn), worker)
	if n := len(j.FailedOn) - maxFailedOn; n > 0 {
		j.FailedOn = j.FailedOn[n:]
	}
}

// stopped handles a task that was stopped before it completed.
func (s *State) stopped(j *Job, reason string) (*Job, error) {
	switch {
	case j.State == Stopping && j.Intent == StopCancel:
		return s.transition(j, EventCancel, reason, nil)
	case j.Spec.Idempotent && j.State != Unknown:
		return s.transition(j, EventRequeue, reason, nil)
	}
	return s.transition(j, EventFail, "stopped before its end: "+reason, nil)
}

// notStarted handles a task that its worker never started. It may be assigned
// again even if it is not idempotent.
func (s *State) notStarted(j *Job, c *Outcome) (*Job, error) {
	if j.Started > 0 {
		return s.stopped(j, c.Reason)
	}
	if j.State == Unknown {
		return s.transition(j, EventFail, "not started: "+c.Reason, func(n *Job) { n.MayHaveRun = n.RanBefore })
	}
	if j.State == Stopping && j.Intent == StopCancel {
		return s.transition(j, EventCancel, c.Reason, func(n *Job) { n.MayHaveRun = n.RanBefore })
	}
	// A start that was withheld because the worker's zone is evacuated is no failure.
	withheld := s.inEvacuatedZone(c.Worker)
	return s.transition(j, EventRequeue, c.Reason, func(n *Job) {
		n.MayHaveRun = n.RanBefore
		if !withheld {
			n.recordFailure(c.Worker)
		}
	})
}

// endWithoutOutcome handles a task that can no longer be running and whose outcome
// was not reported.
func (s *State) endWithoutOutcome(j *Job, reason string) {
	event := EventLose
	switch {
	case j.Intent == StopSettled:
		event = EventSucceed
	case j.Spec.Idempotent && j.Intent == StopCancel:
		event = EventCancel
	case j.Spec.Idempotent || s.opts.ignoreMayHaveRun:
		event = EventRequeue
	}
	// These events are allowed for every job on a worker.
	_, _ = s.transition(j, event, reason, func(n *Job) {
		if event == EventRequeue && s.rules >= RulesLateSuccess {
			list := append(slices.Clone(n.Unresolved), Assignment{n.Epoch, n.Worker})
			n.Unresolved = list[max(len(list)-maxUnresolved, 0):]
		}
	})
}
