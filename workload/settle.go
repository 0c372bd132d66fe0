package workload

import "slices"

// maxUnsettled bounds the unsettled runs that are kept for a job.
const maxUnsettled = 64

// taskRun identifies a run of a task within its job.
type taskRun struct {
	_                       struct{} `cbor:",toarray"`
	Occurrence, Step, Index int
	Run                     int64
}

func taskRunOf(r TaskRef, run int64) taskRun {
	return taskRun{Occurrence: r.Occurrence, Step: r.Step, Index: r.Index, Run: run}
}

// take removes a run from one of the job's lists and reports whether it was there.
func (j *Job) take(list *[]taskRun, r TaskRef, run int64) bool {
	at := slices.Index(*list, taskRunOf(r, run))
	if at < 0 {
		return false
	}
	*list = slices.Delete(*list, at, at+1)
	if len(*list) == 0 {
		*list = nil
	}
	return true
}

func (j *Job) addUnsettled(r TaskRef, run int64) {
	j.Unsettled = append(j.Unsettled, taskRunOf(r, run))
	if extra := len(j.Unsettled) - maxUnsettled; extra > 0 {
		j.Unsettled = slices.Delete(j.Unsettled, 0, extra)
	}
}

// IsSuperseded reports whether an earlier run of a task is done while the given run of it
// is still assigned.
func (j *Job) IsSuperseded(r TaskRef, run int64) bool {
	return slices.Contains(j.Superseded, taskRunOf(r, run))
}

// settle lets the end of an earlier run count for its task. A run that is done makes the
// task done, at once or when its current run has ended; a failed one counts as an attempt
// unless its end was known.
func (s *State) settle(c *End, j *Job, t *Task, now Millis) {
	step := &j.Spec.Steps[c.Task.Step]
	if j.State.Finished() || t.State == TaskDone || c.Run < 1 || c.Run > t.Run || step.LongRunning {
		return
	}
	unsettled := j.take(&j.Unsettled, c.Task, c.Run)
	switch {
	case c.Outcome == OutcomeDone && t.State == TaskAssigned:
		if !j.IsSuperseded(c.Task, t.Run) {
			j.Superseded = append(j.Superseded, taskRunOf(c.Task, t.Run))
		}
	case c.Outcome == OutcomeDone:
		s.markRunning(j)
		t.State = TaskDone
		j.runnable--
		s.finishTask(c.Task, j, step, now)
	case c.Outcome == OutcomeFailed && unsettled:
		s.markRunning(j)
		s.countFailure(c.Task, j, t, step, now)
	}
}
