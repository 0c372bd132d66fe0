package jobs

import (
	"slices"

	"github.com/pkg/errors"

	"magnoliastand.example/api"
)

// Apply applies the changes of the command in order. A refused change leaves
// the state unmodified and is reported in the result.
func (s *State) Apply(cmd Command) Result {
	s.view = nil
	s.version++
	s.now = max(s.now, cmd.At)
	s.rules = cmd.Rules
	res := Result{Changes: make([]ChangeResult, 0, len(cmd.Changes))}
	for n := range cmd.Changes {
		r, err := s.change(&cmd.Changes[n])
		var refusal *Refusal
		if errors.As(err, &refusal) {
			r = ChangeResult{Refused: refusal.Code, Detail: refusal.Detail, Field: refusal.Field}
		}
		res.Changes = append(res.Changes, r)
	}
	s.prune()
	return res
}

// operationCount returns the number of operations that are set in the change.
func (c *Change) operationCount() int {
	n := 0
	for _, set := range []bool{
		c.SetTeams != nil, c.Submit != nil, c.Cancel != nil, c.Assign != nil, c.Preempt != nil,
		c.Refuse != nil, c.Park != nil, c.Unpark != nil, c.Heartbeat != nil, c.Outcome != nil,
		c.Lose != nil, c.Quarantine != nil, c.Release != nil, c.Drain != nil, c.Resume != nil,
		c.Checkpoint != nil, c.Renew != nil,
	} {
		if set {
			n++
		}
	}
	return n
}

func (s *State) change(c *Change) (ChangeResult, error) {
	if n := c.operationCount(); n != 1 {
		return ChangeResult{}, refuse(CodeInvalid, "change has %d bodies, needs 1", n)
	}
	switch {
	case c.SetTeams != nil:
		return ChangeResult{}, s.setTeams(c.SetTeams)
	case c.Submit != nil:
		return jobResult(s.submit(c.Submit))
	case c.Cancel != nil:
		return jobResult(s.cancel(c.Cancel))
	case c.Assign != nil:
		return jobResult(s.assign(c.Assign))
	case c.Preempt != nil:
		return jobResult(s.preempt(c.Preempt))
	case c.Refuse != nil:
		return jobResult(s.transitionWaiting(c.Refuse, EventRefuse))
	case c.Park != nil:
		return jobResult(s.transitionWaiting(c.Park, EventPark))
	case c.Unpark != nil:
		return jobResult(s.transitionWaiting(c.Unpark, EventRelease))
	case c.Outcome != nil:
		return jobResult(s.outcome(c.Outcome))
	case c.Checkpoint != nil:
		return jobResult(s.checkpoint(c.Checkpoint))
	case c.Heartbeat != nil:
		return s.heartbeat(c.Heartbeat)
	case c.Renew != nil:
		return s.renewLease(c.Renew)
	}
	return ChangeResult{}, s.changeWorker(c)
}

func (s *State) changeWorker(c *Change) error {
	switch {
	case c.Lose != nil:
		return s.loseWorker(c.Lose)
	case c.Quarantine != nil:
		return s.transitionWorker(c.Quarantine, WorkerQuarantine)
	case c.Release != nil:
		return s.releaseWorker(c.Release)
	case c.Drain != nil:
		return s.transitionWorker(c.Drain, WorkerDrain)
	}
	return s.transitionWorker(c.Resume, WorkerResume)
}

func jobResult(j *Job, err error) (ChangeResult, error) {
	if err != nil {
		return ChangeResult{}, err
	}
	return ChangeResult{Job: j.ID, State: j.State, Epoch: j.Epoch}, nil
}

func (s *State) setTeams(c *SetTeams) error {
	teams := make(map[string]Team, len(c.Teams))
	for _, t := range c.Teams {
		if t.Share < 1 || t.Limit < 0 {
			return invalid("teams", "team %q needs a positive share and a limit that is not negative", t.Name)
		}
		teams[t.Name] = t
	}
	s.teams = teams
	return nil
}

// team returns the share and limit of a team. The team of open queues has no
// limit unless one is configured.
func (s *State) team(name string) (Team, bool) {
	t, ok := s.teams[name]
	if !ok && name == "" {
		return Team{Share: 1, Limit: MaxJobs}, true
	}
	return t, ok
}

// JobID returns the id of the job that a team submits with an operation id.
// The team of an open queue is empty.
func JobID(team, operation string) string { return team + ":" + operation }

func (s *State) findJob(id string) (*Job, error) {
	j, ok := s.jobs[id]
	if !ok {
		return nil, refuse(CodeNotFound, "there is no job %q", id)
	}
	return j, nil
}

func (c *Submit) check() error {
	switch {
	case c.ID == "" || len(c.ID) > MaxIDLen:
		return invalid("id", "1 to %d bytes are required", MaxIDLen)
	case c.Spec.Pool == "" || len(c.Spec.Pool) > api.MaxNameLen:
		return invalid("pool", "1 to %d bytes are required", api.MaxNameLen)
	case len(c.Spec.Queue) > api.MaxNameLen:
		return invalid("queue", "at most %d bytes are allowed", api.MaxNameLen)
	case !c.Spec.Size.valid() || c.Spec.Size == (Size{}):
		return invalid("size", "amounts of 0 to %d are required, one of them positive", MaxAmount)
	case c.Spec.RunTime < 1 || c.Spec.RunTime > Millis(api.MaxLongestRun.Milliseconds()):
		return invalid("run_time", "1 ms to %s is required", api.MaxLongestRun)
	case len(c.Spec.Payload) > MaxPayload:
		return invalid("payload", "at most %d bytes are allowed", MaxPayload)
	}
	return nil
}

func (s *State) submit(c *Submit) (*Job, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	if _, ok := s.team(c.Team); !ok {
		return nil, refuse(CodeUnknownTeam, "there is no team %q", c.Team)
	}
	if old, ok := s.jobs[c.ID]; ok {
		if old.Team != c.Team || !old.Spec.equal(&c.Spec) {
			return nil, refuse(CodeMismatch, "job %s was submitted with other content", c.ID)
		}
		return old, nil
	}
	if len(s.jobs) >= MaxJobs {
		return nil, refuse(CodeFull, "%d jobs are kept", len(s.jobs))
	}
	s.seq++
	j := &Job{ID: c.ID, Team: c.Team, Spec: c.Spec, Seq: s.seq, Submitted: s.now}
	return s.transition(j, EventSubmit, "", nil)
}

// cancel cancels a waiting job immediately. A job on a worker is stopped first;
// a finished one and one that is known to have succeeded are unchanged.
func (s *State) cancel(c *Cancel) (*Job, error) {
	j, err := s.findJob(c.ID)
	if err != nil || j.State.Finished() {
		return j, err
	}
	switch j.State {
	case Accepted, Parked:
		return s.transition(j, EventCancel, c.Reason, nil)
	case Stopping:
		if j.Intent == StopCancel || j.Intent == StopSettled {
			return j, nil
		}
		n := *j
		n.Intent = StopCancel
		s.putJob(&n)
		return &n, nil
	}
	return s.transition(j, EventStop, c.Reason, func(n *Job) { n.Intent = StopCancel })
}

func (s *State) transitionWaiting(c *JobAction, e Event) (*Job, error) {
	j, err := s.findJob(c.ID)
	if err != nil {
		return nil, err
	}
	return s.transition(j, e, c.Reason, func(n *Job) {
		if e == EventRelease {
			n.FailedOn, n.Crashes = nil, nil
		}
	})
}

func (s *State) checkpoint(c *Checkpoint) (*Job, error) {
	if len(c.Reference) > MaxPayload {
		return nil, invalid("checkpoint", "at most %d bytes are allowed", MaxPayload)
	}
	j, err := s.assignedJob(c.ID, c.Worker, c.Epoch)
	if err != nil {
		return nil, err
	}
	n := *j
	n.Checkpoint = slices.Clone(c.Reference)
	s.putJob(&n)
	return &n, nil
}

// assignedJob returns the job if it is assigned to the worker with the epoch.
func (s *State) assignedJob(id, worker string, epoch uint64) (*Job, error) {
	j, err := s.findJob(id)
	if err != nil {
		return nil, err
	}
	if j.Epoch != epoch || j.Worker != worker || !j.State.OnWorker() {
		return nil, refuse(CodeStaleEpoch, "job %s is %s with epoch %d, not with epoch %d on %q", id, j.State, j.Epoch, epoch, worker)
	}
	return j, nil
}
