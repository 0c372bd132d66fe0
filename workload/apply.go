package workload

import (
	"slices"

	"github.com/pkg/errors"

	"magnoliastand.example/invariant"
)

// Apply applies the commands of a batch in order and returns one error per
// command. A command that returns an error leaves the state unchanged.
func (s *State) Apply(b *Batch) []error {
	errs := make([]error, len(b.Commands))
	s.forgetful, s.discarding = !b.Settles, !b.Retains
	defer func() { s.forgetful, s.discarding = false, false }()
	for i := range b.Commands {
		errs[i] = s.ApplyOne(&b.Commands[i], b.Now)
	}
	s.givenUp, s.proven = nil, nil // only the leader's copy, which applies commands one by one, acts on them
	return errs
}

// ApplyOne applies one command. now is the leader's clock.
func (s *State) ApplyOne(c *Command, now Millis) error {
	if err := s.applyCommand(c, now); err != nil {
		return err
	}
	s.appliedAt = now
	return nil
}

func (s *State) applyCommand(c *Command, now Millis) error {
	switch {
	case c.PutDocument != nil:
		return s.putDocument(c.PutDocument, now)
	case c.Submit != nil:
		return s.submit(c.Submit, now)
	case c.Cancel != nil:
		return s.cancel(c.Cancel, now)
	case c.Register != nil:
		return s.register(c.Register, now)
	case c.MarkWorkerLost != nil:
		return s.markWorkerLost(c.MarkWorkerLost, now)
	case c.Assign != nil:
		return s.assign(c.Assign)
	case c.End != nil:
		return s.end(c.End, now)
	case c.StartWave != nil:
		return s.startWave(c.StartWave)
	case c.Upkeep != nil:
		return s.recordUpkeep(c.Upkeep)
	case c.Begin != nil:
		return s.recordBegin(c.Begin)
	case c.MoveRuns != nil:
		return s.moveRuns(c.MoveRuns)
	case c.Crash != nil:
		return s.recordCrash(c.Crash, now)
	case c.ClearSuspicion != nil:
		return s.clearSuspicion(c.ClearSuspicion)
	case c.OrderUpkeep != nil:
		return s.orderUpkeep(c.OrderUpkeep)
	case c.EvacuateZone != nil:
		return s.evacuateZone(c.EvacuateZone, now)
	case c.RemoveJobs != nil:
		return s.removeFinished(c.RemoveJobs)
	}
	return errors.Wrap(ErrMalformed, "empty command")
}

func (s *State) putDocument(c *PutDocument, now Millis) error {
	doc, err := s.decode(c.Raw)
	if err != nil {
		return errors.Wrap(ErrInvalidDocument, err.Error())
	}
	if doc.Version <= s.doc.Version {
		return nil
	}
	var kept retained
	if !s.discarding {
		kept = s.retainedBeside(&doc)
	}
	s.setDocument(c.Raw, doc)
	s.retained = kept
	if !s.discarding {
		s.failExhausted(now)
	}
	return nil
}

func (s *State) submit(c *Submit, now Millis) error {
	if old := s.jobs[c.ID]; old != nil {
		if old.Queue != c.Queue || old.Team != c.Team {
			return errors.Wrap(ErrConflict, c.ID)
		}
		return nil
	}
	q := s.queues[c.Queue]
	if q == nil {
		return errors.Wrap(ErrNoQueue, c.Queue)
	}
	j := &Job{ID: c.ID, Queue: c.Queue, Pool: q.Pool, Team: c.Team, Spec: c.Spec, Submitted: now}
	j.Tasks = make([][][]Task, c.Spec.Repeat)
	for k := range j.Tasks {
		j.Tasks[k] = make([][]Task, len(c.Spec.Steps))
		for st := range c.Spec.Steps {
			j.Tasks[k][st] = make([]Task, c.Spec.Steps[st].Count)
		}
	}
	s.jobs[j.ID] = j
	s.indexJob(j)
	return nil
}

func (s *State) cancel(c *Cancel, now Millis) error {
	j := s.jobs[c.ID]
	if j == nil {
		return errors.Wrap(ErrNoJob, c.ID)
	}
	switch {
	case !j.State.Finished():
		s.finish(j, JobCancelled, now)
	case c.Failed && j.State == JobFailed && j.assigned > 0:
		j.State = JobCancelled
	}
	return nil
}

// finish moves a job to a final state. Its current runs stay assigned until
// their ends are applied.
func (s *State) finish(j *Job, to JobState, now Millis) {
	if j.State == JobPending {
		s.pending[j.Queue]--
	}
	j.State, j.Ended, j.runnable = to, now, 0
	delete(s.active, j.ID)
	j.releaseTasks()
}

// releaseTasks frees the tasks and the spec of a finished job once no task is
// assigned. Only the state of such a job is still queried.
func (j *Job) releaseTasks() {
	if j.State.Finished() && j.assigned == 0 {
		j.Tasks, j.unfinished, j.Spec = nil, nil, Spec{}
		j.Unsettled, j.Superseded, j.Crashes, j.Noted = nil, nil, nil, nil
	}
}

// register stores the announcement of a worker. A newer incarnation ends the
// runs of the previous one as lost; an older incarnation is ignored.
func (s *State) register(c *Worker, now Millis) error {
	old := s.workers[c.ID]
	if old != nil && c.Incarnation < old.Incarnation || s.HasDeparted(c.ID, c.Incarnation) {
		return nil
	}
	s.resolveSilences(c, now)
	w := *c
	if old != nil && old.Incarnation == c.Incarnation {
		w.Acked = old.Acked
		w.Sequence = max(old.Sequence, c.Sequence)
		w.Lost = old.Lost
		w.Draining = old.Draining || c.Draining
	}
	if old != nil && old.Incarnation < c.Incarnation {
		s.endRuns(c.ID, old.Incarnation, now)
	}
	s.setWorker(&w)
	return nil
}

func (s *State) moveRuns(c *MoveRuns) error {
	for _, r := range c.Tasks {
		if _, t := s.TaskOf(r); t != nil && t.State == TaskAssigned && t.Worker == c.Worker && t.Incarnation == c.From {
			t.Incarnation = c.To
		}
	}
	for i := range c.Crashes {
		s.noteCrash(c, &c.Crashes[i])
	}
	return nil
}

func (s *State) markWorkerLost(c *MarkWorkerLost, now Millis) error {
	if c.Departed {
		s.addDeparture(departure{Worker: c.Worker, Incarnation: c.Incarnation, At: now})
	}
	w := s.workers[c.Worker]
	if w == nil || w.Incarnation != c.Incarnation {
		return nil
	}
	w.Lost = true
	s.endRuns(c.Worker, c.Incarnation, now)
	if len(s.runs[c.Worker]) == 0 {
		s.dropWorker(c.Worker)
		delete(s.colocations, c.Worker)
		delete(s.runs, c.Worker)
		delete(s.reserved, c.Worker)
	}
	return nil
}

// endRuns ends all runs of an incarnation of a worker as lost. The runs are
// sorted, so that all replicas end them in the same order.
func (s *State) endRuns(worker string, incarnation Millis, now Millis) {
	refs := make([]TaskRef, 0, len(s.runs[worker]))
	for r := range s.runs[worker] {
		refs = append(refs, r)
	}
	slices.SortFunc(refs, compareRefs)
	for _, r := range refs {
		j, t := s.TaskOf(r)
		if t.Incarnation != incarnation {
			continue
		}
		before := j.State
		s.endRun(r, j, t, OutcomeLost, "", now)
		if j.State == JobFailed && before != JobFailed {
			s.givenUp = append(s.givenUp, GivenUp{Task: r})
		}
	}
}

func (s *State) recordBegin(c *Begin) error {
	if j := s.jobs[c.Job]; j != nil {
		s.markRunning(j)
	}
	return nil
}

// markRunning moves a pending job to running. It is called when a run of the job
// has begun; an assignment is not enough, because its start order may never be
// carried out.
func (s *State) markRunning(j *Job) {
	if j.State == JobPending {
		j.State = JobRunning
		s.pending[j.Queue]--
	}
}

// assign validates an assignment against the task, the worker and the team limit
// before applying it.
func (s *State) assign(c *Assign) error {
	if j := s.jobs[c.Task.Job]; j != nil && j.State.Finished() {
		return errors.Wrapf(ErrNotAssignable, "job %s is %s", j.ID, j.State)
	}
	j, t := s.TaskOf(c.Task)
	if t == nil {
		return errors.Wrap(ErrNoJob, c.Task.String())
	}
	if err := s.checkTask(c, j, t); err != nil {
		return err
	}
	if err := s.checkWorker(c, j); err != nil {
		return err
	}
	t.State, t.Run, t.Worker, t.Incarnation = TaskAssigned, c.Run, c.Worker, c.Incarnation
	s.addRun(c.Task, j, t)
	j.runnable--
	return nil
}

func (s *State) checkTask(c *Assign, j *Job, t *Task) error {
	switch {
	case t.State != TaskWaiting:
		return errors.Wrapf(ErrNotAssignable, "task %s is not waiting", c.Task)
	case c.Run <= t.Run:
		return errors.Wrapf(ErrNotAssignable, "task %s has already had run %d", c.Task, t.Run)
	case !j.Unblocked(c.Task.Occurrence, c.Task.Step):
		return errors.Wrapf(ErrNotAssignable, "an earlier step of task %s is not done", c.Task)
	case s.isExhausted(j, t, &j.Spec.Steps[c.Task.Step]):
		return errors.Wrapf(ErrNotAssignable, "task %s failed %d times", c.Task, t.Failures)
	}
	return nil
}

func (s *State) checkWorker(c *Assign, j *Job) error {
	w, step := s.workers[c.Worker], &j.Spec.Steps[c.Task.Step]
	switch {
	case w == nil || w.Incarnation != c.Incarnation || w.Lost:
		return errors.Wrapf(ErrNotAssignable, "worker %s is lost or has another incarnation", c.Worker)
	case w.Draining:
		return errors.Wrapf(ErrNotAssignable, "worker %s is draining", c.Worker)
	case s.IsEvacuated(w.Zone):
		return errors.Wrapf(ErrNotAssignable, "worker %s is in zone %s, which is evacuated", c.Worker, w.Zone)
	case w.Pool != s.PoolOf(j):
		return errors.Wrapf(ErrNotAssignable, "worker %s is in pool %s", c.Worker, w.Pool)
	case step.Requires != "" && !slices.Contains(w.Labels, step.Requires):
		return errors.Wrapf(ErrNotAssignable, "worker %s lacks label %s", c.Worker, step.Requires)
	case !s.reserved[c.Worker].Add(step.Reserved()).Fits(w.Capacity):
		return errors.Wrapf(ErrNotAssignable, "worker %s has too little free capacity", c.Worker)
	case step.AntiAffinity > 0 && s.SameStep(c.Worker, c.Task) >= step.AntiAffinity:
		return errors.Wrapf(ErrNotAssignable, "worker %s has reached the anti-affinity limit of the step", c.Worker)
	}
	if team, ok := s.Team(j.Team); ok && !team.Limit.Admits(s.teamUsage[j.Team], step.Need) {
		return errors.Wrapf(ErrNotAssignable, "team %s is at its limit", j.Team)
	}
	return nil
}

// SameStep counts the runs on a worker that belong to the same occurrence and
// step as a task.
func (s *State) SameStep(worker string, r TaskRef) int {
	n := 0
	for o := range s.runs[worker] {
		if o.Job == r.Job && o.Occurrence == r.Occurrence && o.Step == r.Step {
			n++
		}
	}
	return n
}

func (s *State) end(c *End, now Millis) error {
	if w := s.workers[c.Worker]; w != nil && w.Incarnation == c.Incarnation && c.Number > w.Acked {
		w.Acked = c.Number
	}
	j, t := s.TaskOf(c.Task)
	if t == nil || t.State != TaskAssigned || t.Run != c.Run || t.Worker != c.Worker || t.Incarnation != c.Incarnation {
		if t != nil && c.Settles {
			s.settle(c, j, t, now)
		}
		return nil
	}
	if c.GangCheckpoint && c.Checkpoint != "" && j.Spec.Steps[c.Task.Step].Gang {
		tasks := j.Tasks[c.Task.Occurrence][c.Task.Step]
		for i := range tasks {
			tasks[i].Checkpoint = c.Checkpoint
		}
	}
	s.endRun(c.Task, j, t, c.Outcome, c.Checkpoint, now)
	return nil
}

// endRun ends the current run of a task and moves the task to its next state.
func (s *State) endRun(r TaskRef, j *Job, t *Task, o Outcome, checkpoint string, now Millis) {
	invariant.Check(t.State == TaskAssigned, invariant.AtMostOnce, "task %s ended as %s but was not assigned", r, o)
	s.removeRun(r, j, t)
	j.dropNote(r, t.Run)
	if o != OutcomeNotRun && o != OutcomeLost {
		s.markRunning(j)
	}
	step := &j.Spec.Steps[r.Step]
	switch {
	case j.take(&j.Superseded, r, t.Run):
		o = OutcomeDone
	case o == OutcomeLost && !step.LongRunning && !s.forgetful:
		j.addUnsettled(r, t.Run)
	case o == OutcomeFailed:
		j.clearSuspicion(r)
	}
	t.State, t.Worker, t.Incarnation = TaskWaiting, "", 0
	if checkpoint != "" {
		t.Checkpoint = checkpoint
	}
	if j.State.Finished() {
		j.releaseTasks()
		return
	}
	switch {
	case step.Gang && j.unfinished[r.Occurrence][r.Step] == 0:
		t.State = TaskDone
	case o == OutcomeDone && !step.LongRunning:
		t.State = TaskDone
		s.finishTask(r, j, step, now)
	case o == OutcomeFailed && !step.LongRunning:
		s.failTask(r, j, t, step, now)
	case !s.discarding && s.isExhausted(j, t, step):
		s.finish(j, JobFailed, now) // a document of a later version allows fewer attempts
	default:
		j.runnable++
	}
}

// finishTask records that a task is done and completes the job when no task is
// left. The first member of a gang that is done completes the whole gang.
func (s *State) finishTask(r TaskRef, j *Job, step *Step, now Millis) {
	j.unfinished[r.Occurrence][r.Step]--
	if step.Gang {
		s.finishGang(r, j)
	}
	if j.unfinished[r.Occurrence][r.Step] > 0 {
		return
	}
	s.countRunnable(j)
	for k := range j.unfinished {
		for _, n := range j.unfinished[k] {
			if n > 0 {
				return
			}
		}
	}
	s.finish(j, JobCompleted, now)
}

// finishGang completes a gang of which one member is done. Members that are still
// assigned keep their reservation until the worker reports their ends.
func (s *State) finishGang(r TaskRef, j *Job) {
	tasks := j.Tasks[r.Occurrence][r.Step]
	for i := range tasks {
		if tasks[i].State == TaskWaiting {
			tasks[i].State = TaskDone
		}
	}
	j.unfinished[r.Occurrence][r.Step] = 0
}

// failTask records a failed run and fails the job when the attempts of the task
// are used up. A failed member raises the failure count of the whole gang.
func (s *State) failTask(r TaskRef, j *Job, t *Task, step *Step, now Millis) {
	if !s.countFailure(r, j, t, step, now) {
		j.runnable++
	}
}

// countFailure counts a failed run and reports whether that failed the job.
func (s *State) countFailure(r TaskRef, j *Job, t *Task, step *Step, now Millis) bool {
	t.Failures++
	if step.Gang {
		tasks := j.Tasks[r.Occurrence][r.Step]
		for i := range tasks {
			tasks[i].Failures = t.Failures
		}
	}
	if t.Failures < s.MaxAttempts(j) {
		return false
	}
	s.finish(j, JobFailed, now)
	return true
}

func (s *State) startWave(c *Wave) error {
	if s.waves[c.ID] != nil {
		return nil
	}
	w := *c
	w.initSets()
	s.waves[c.ID] = &w
	return nil
}

func (s *State) recordUpkeep(c *Upkeep) error {
	w := s.waves[c.Wave]
	switch {
	case w == nil:
		return nil
	case c.Left:
		w.Dropped[c.Instance] = true
	default:
		w.Begun[c.Instance] = true
	}
	delete(w.Ordered, c.Instance)
	return nil
}

func (s *State) orderUpkeep(c *OrderUpkeep) error {
	w := s.waves[c.Wave]
	switch {
	case w == nil || !w.IsPending(c.Instance):
	case c.Withdrawn:
		delete(w.Ordered, c.Instance)
	default:
		w.Ordered[c.Instance] = c.Worker
	}
	return nil
}

func (s *State) removeFinished(c *RemoveJobs) error {
	for _, id := range c.Jobs {
		if j := s.jobs[id]; j != nil && j.State.Finished() && j.assigned == 0 {
			delete(s.jobs, id)
		}
	}
	return nil
}

func compareRefs(a, b TaskRef) int {
	switch {
	case a.Job != b.Job:
		if a.Job < b.Job {
			return -1
		}
		return 1
	case a.Occurrence != b.Occurrence:
		return a.Occurrence - b.Occurrence
	case a.Step != b.Step:
		return a.Step - b.Step
	}
	return a.Index - b.Index
}
