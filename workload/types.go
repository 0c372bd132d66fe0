package workload

import (
	"fmt"
	"slices"
)

// Millis is a duration in milliseconds, or a time in milliseconds since the Unix
// epoch.
type Millis = int64

// Size is an amount of resources.
type Size struct {
	// Processors is in thousandths of a core (millicores).
	Processors int64 `cbor:"1,keyasint,omitempty"`
	MemoryMB   int64 `cbor:"2,keyasint,omitempty"`
	// Accelerators is the number of devices.
	Accelerators int64 `cbor:"3,keyasint,omitempty"`
}

// Add returns the component-wise sum.
func (s Size) Add(o Size) Size {
	return Size{s.Processors + o.Processors, s.MemoryMB + o.MemoryMB, s.Accelerators + o.Accelerators}
}

// Sub returns the component-wise difference.
func (s Size) Sub(o Size) Size {
	return Size{s.Processors - o.Processors, s.MemoryMB - o.MemoryMB, s.Accelerators - o.Accelerators}
}

// maxProduct bounds the components of Size.Times, so that sums of thousands of products do
// not overflow. It is 78 core hours.
const maxProduct = 1 << 48

// Times returns the size multiplied by a factor of at least 0, each component at most
// maxProduct.
func (s Size) Times(by float64) Size {
	times := func(n int64) int64 { return int64(min(float64(n)*by, maxProduct)) }
	return Size{times(s.Processors), times(s.MemoryMB), times(s.Accelerators)}
}

// Max returns the component-wise maximum.
func (s Size) Max(o Size) Size {
	return Size{max(s.Processors, o.Processors), max(s.MemoryMB, o.MemoryMB), max(s.Accelerators, o.Accelerators)}
}

// Fits reports whether no component of s exceeds that of free.
func (s Size) Fits(free Size) bool {
	return s.Processors <= free.Processors && s.MemoryMB <= free.MemoryMB && s.Accelerators <= free.Accelerators
}

// WithinLimit reports whether no component of s exceeds that of limit, where 0
// means unlimited.
func (s Size) WithinLimit(limit Size) bool {
	within := func(used, most int64) bool { return most == 0 || used <= most }
	return within(s.Processors, limit.Processors) && within(s.MemoryMB, limit.MemoryMB) &&
		within(s.Accelerators, limit.Accelerators)
}

// Admits reports whether a team with limit s that uses used may start a task that needs
// need: the task fits within the limit, or the team uses at most half of the limit in
// every limited dimension. Without the second rule a task that is larger than what
// long-running tasks leave of the limit would never start. A team exceeds its limit by at
// most one task.
func (s Size) Admits(used, need Size) bool {
	return used.Add(need).WithinLimit(s) || used.Add(used).WithinLimit(s)
}

// AdvicePolicy lets an external service choose the workers of a queue.
type AdvicePolicy struct {
	// ValidFor is the lifetime of a ticket issued by the service.
	ValidFor Millis `cbor:"1,keyasint,omitempty"`
}

// Queue is a queue of the document. Host and Prefix are the HTTP host and the path
// prefix of its requests.
type Queue struct {
	Name   string `cbor:"1,keyasint"`
	Host   string `cbor:"2,keyasint,omitempty"`
	Prefix string `cbor:"3,keyasint,omitempty"`
	Pool   string `cbor:"4,keyasint,omitempty"`
	// Priority orders queues; 0 is the highest priority.
	Priority    int `cbor:"5,keyasint,omitempty"`
	MaxAttempts int `cbor:"6,keyasint,omitempty"`
	// The latency objective of a job is Stretch times its critical path, plus
	// Target.
	Stretch float64 `cbor:"7,keyasint,omitempty"`
	Target  Millis  `cbor:"8,keyasint,omitempty"`
	// Open queues accept requests without a known key.
	Open   bool          `cbor:"9,keyasint,omitempty"`
	Advice *AdvicePolicy `cbor:"10,keyasint,omitempty"`
}

// Objective returns the time from submission within which a job of the queue
// should finish. Each part is from 0 to MaxDuration: a document may hold any number.
func (q *Queue) Objective(j *Job) Millis {
	stretched := min(max(q.Stretch*float64(j.criticalPath), 0), MaxDuration)
	return Millis(stretched) + min(max(q.Target, 0), MaxDuration)
}

// Pool is a set of workers that serve the same queues.
type Pool struct {
	Name           string `cbor:"1,keyasint"`
	MaxConnections int    `cbor:"2,keyasint,omitempty"`
	// Standby pools hold instances that are powered off.
	Standby bool `cbor:"3,keyasint,omitempty"`
	// ColdStart is how long the pool's workers are slow after the evacuation of their
	// zone, and ColdStartsPerS how many starts a second such a worker takes; 0 means no
	// limit.
	ColdStart      Millis  `cbor:"4,keyasint,omitempty"`
	ColdStartsPerS float64 `cbor:"5,keyasint,omitempty"`
}

// Team is a tenant with API keys, a fair-share weight and a resource limit.
type Team struct {
	Name   string   `cbor:"1,keyasint"`
	Keys   []string `cbor:"2,keyasint,omitempty"`
	Weight float64  `cbor:"3,keyasint,omitempty"`
	// Limit bounds the resources of the team's assigned tasks; 0 means unlimited. One task
	// may exceed it; see Size.Admits.
	Limit Size `cbor:"4,keyasint"`
}

// Document is one version of the fleet's configuration.
type Document struct {
	Version int64
	Queues  []Queue
	Pools   []Pool
	Teams   []Team
}

// Step is one step of a job: Count tasks of the same size.
type Step struct {
	Count int  `cbor:"1,keyasint"`
	Need  Size `cbor:"2,keyasint"`
	// Estimate is the declared run time of one task.
	Estimate Millis `cbor:"3,keyasint,omitempty"`
	// After lists the earlier steps that must be done before this one starts.
	After         []int  `cbor:"4,keyasint,omitempty"`
	Checkpointing bool   `cbor:"5,keyasint,omitempty"`
	Gang          bool   `cbor:"6,keyasint,omitempty"`
	SameRack      bool   `cbor:"7,keyasint,omitempty"`
	Requires      string `cbor:"8,keyasint,omitempty"`
	DataRack      string `cbor:"9,keyasint,omitempty"`
	// AntiAffinity limits the tasks of the step on one worker; 0 means no limit.
	AntiAffinity int  `cbor:"10,keyasint,omitempty"`
	Speculative  bool `cbor:"11,keyasint,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool   `cbor:"12,keyasint,omitempty"`
	Image       string `cbor:"13,keyasint,omitempty"`
	// TailTarget is the tail-latency target of tasks that serve requests; 0 for
	// tasks that serve none.
	TailTarget Millis `cbor:"14,keyasint,omitempty"`
	// Fills marks tasks that use idle processors: their processors are not reserved
	// on the worker.
	Fills bool `cbor:"15,keyasint,omitempty"`
	// MaxUnavailable is the disruption budget of the step.
	MaxUnavailable int `cbor:"16,keyasint,omitempty"`
}

// Reserved returns the resources that a task of the step reserves on its worker.
func (s *Step) Reserved() Size {
	if s.Fills {
		return Size{MemoryMB: s.Need.MemoryMB, Accelerators: s.Need.Accelerators}
	}
	return s.Need
}

// Spec is the immutable specification of a job, as submitted.
type Spec struct {
	// Payload is passed to the worker with each start order.
	Payload string `cbor:"1,keyasint,omitempty"`
	Steps   []Step `cbor:"2,keyasint"`
	// Repeat is the number of occurrences of the job; at least 1.
	Repeat int `cbor:"3,keyasint"`
	// StartAt is when the first occurrence is due, and Interval the time between
	// occurrences. If StartAt is 0, all occurrences are due at once.
	StartAt  Millis `cbor:"4,keyasint,omitempty"`
	Interval Millis `cbor:"5,keyasint,omitempty"`
}

// Due returns the time from which an occurrence may start; 0 means at once.
func (s *Spec) Due(occurrence int) Millis {
	if s.StartAt == 0 {
		return 0
	}
	return s.StartAt + Millis(occurrence)*s.Interval
}

// LongRunning reports whether any step of the job runs until cancellation.
func (s *Spec) LongRunning() bool {
	return slices.ContainsFunc(s.Steps, func(st Step) bool { return st.LongRunning })
}

// TaskRef identifies a task.
type TaskRef struct {
	_          struct{} `cbor:",toarray"`
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String formats the reference as job.occurrence.step.index.
func (r TaskRef) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", r.Job, r.Occurrence, r.Step, r.Index)
}

// Worker is an incarnation of a task executor.
type Worker struct {
	ID string `cbor:"1,keyasint"`
	// Incarnation is the start time of the worker's process.
	Incarnation Millis   `cbor:"2,keyasint"`
	Pool        string   `cbor:"3,keyasint"`
	Address     string   `cbor:"4,keyasint"`
	Zone        string   `cbor:"5,keyasint,omitempty"`
	Labels      []string `cbor:"6,keyasint,omitempty"`
	Capacity    Size     `cbor:"7,keyasint"`
	Draining    bool     `cbor:"8,keyasint,omitempty"`
	// Lost marks a worker that was declared lost: it runs no tasks and is assigned
	// none.
	Lost bool `cbor:"9,keyasint,omitempty"`
	// Acked is the highest sequence number of an end from this incarnation that has
	// been committed.
	Acked int64 `cbor:"10,keyasint,omitempty"`
	// Sequence is the sequence number of the announcement that was stored last; 0 if it
	// is not known. Announcements that change nothing are not stored.
	Sequence int64 `cbor:"11,keyasint,omitempty"`
}

// Precedes reports whether announcement w of a worker was sent before the one that was
// stored, or is that one. A delayed announcement may arrive in a later leader's term.
func (w *Worker) Precedes(stored *Worker) bool {
	return w.Incarnation < stored.Incarnation ||
		w.Incarnation == stored.Incarnation && w.Sequence > 0 && w.Sequence <= stored.Sequence
}

// Same reports whether announcement o of a worker would leave the stored w
// unchanged.
func (w *Worker) Same(o *Worker) bool {
	return w.Incarnation == o.Incarnation && w.Pool == o.Pool && w.Address == o.Address && w.Zone == o.Zone &&
		slices.Equal(w.Labels, o.Labels) && w.Capacity == o.Capacity && w.Draining == o.Draining && !w.Lost
}

// JobState is the state of a job.
type JobState uint8

// States of a job. JobCompleted, JobFailed and JobCancelled are final.
const (
	JobPending JobState = iota
	JobRunning
	JobCompleted
	JobFailed
	JobCancelled
)

// Finished reports whether the state is final.
func (s JobState) Finished() bool { return s >= JobCompleted }

// String returns the name of the state.
func (s JobState) String() string {
	return [...]string{"pending", "running", "completed", "failed", "cancelled"}[s]
}

// TaskState is the state of a task.
type TaskState uint8

// States of a task.
const (
	TaskWaiting TaskState = iota
	// TaskAssigned tasks have a current run, which may already have begun on the
	// worker.
	TaskAssigned
	TaskDone
)

// String returns the name of the state.
func (s TaskState) String() string { return [...]string{"waiting", "assigned", "done"}[s] }

// Outcome is how a run ended.
type Outcome uint8

// Outcomes of a run.
const (
	OutcomeDone Outcome = iota + 1
	OutcomeFailed
	// OutcomeStopped runs were stopped by a stop order.
	OutcomeStopped
	// OutcomeLeaseExpired runs were killed when the worker's lease expired.
	OutcomeLeaseExpired
	// OutcomeGangAborted runs ended because another member of the gang ended.
	OutcomeGangAborted
	// OutcomeGangTimeout runs gave up waiting for the other members of the gang.
	OutcomeGangTimeout
	// OutcomeNotRun runs never began and never will.
	OutcomeNotRun
	// OutcomeLost runs ended because their worker was declared lost or restarted.
	OutcomeLost
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	names := [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone", "not-run", "lost"}
	if int(o) >= len(names) {
		return names[0]
	}
	return names[o]
}

// Task is one task of an occurrence of a step.
type Task struct {
	_     struct{} `cbor:",toarray"`
	State TaskState
	// Run is the number of the latest run of the task; the first run is 1.
	Run      int64
	Failures int
	// Worker and Incarnation identify the worker of the current run while the task
	// is assigned.
	Worker      string
	Incarnation Millis
	Checkpoint  string
}

// Job is an accepted job.
type Job struct {
	ID        string   `cbor:"1,keyasint"`
	Queue     string   `cbor:"2,keyasint"`
	Pool      string   `cbor:"3,keyasint"`
	Team      string   `cbor:"4,keyasint,omitempty"`
	Spec      Spec     `cbor:"5,keyasint"`
	Submitted Millis   `cbor:"6,keyasint"`
	State     JobState `cbor:"7,keyasint"`
	// Ended is the time at which the job reached a final state.
	Ended Millis `cbor:"8,keyasint,omitempty"`
	// Tasks are indexed by occurrence, step and index.
	Tasks [][][]Task `cbor:"9,keyasint"`
	// Unsettled holds the latest runs that were given up as lost: their workers may
	// still report how they ended.
	Unsettled []taskRun `cbor:"10,keyasint,omitempty"`
	// Superseded holds current runs of tasks of which an earlier run is done. Such a task
	// is done however its current run ends.
	Superseded []taskRun `cbor:"11,keyasint,omitempty"`
	// Crashes counts the workers that crashed under the job's tasks.
	Crashes []taskCrashes `cbor:"12,keyasint,omitempty"`
	// Noted holds what the crash of an earlier incarnation of their worker means for current
	// runs that were moved to the next one.
	Noted []CrashedRun `cbor:"13,keyasint,omitempty"`

	// unfinished counts the tasks that are not done, by occurrence and step.
	unfinished [][]int
	// runnable counts waiting tasks whose earlier steps are done.
	runnable int
	// assigned counts assigned tasks.
	assigned int
	// criticalPath is the estimated run time along the longest chain of steps.
	criticalPath Millis
}

// Assigned returns the number of tasks that have a current run.
func (j *Job) Assigned() int { return j.assigned }

// Begun reports whether a task of the job has a current run, or a step of the
// critical path is done.
func (j *Job) Begun() bool { return j.assigned > 0 || j.Remaining() < j.criticalPath }

// CriticalPath returns the declared run time along the critical path of the job's
// steps.
func (j *Job) CriticalPath() Millis { return j.criticalPath }

// Unblocked reports whether all steps that a step depends on are done.
func (j *Job) Unblocked(occurrence, step int) bool {
	for _, a := range j.Spec.Steps[step].After {
		if j.unfinished[occurrence][a] > 0 {
			return false
		}
	}
	return true
}

// ReservedByLongRunning returns what the assigned long-running tasks of a job
// reserve.
func (j *Job) ReservedByLongRunning() Size {
	var sum Size
	for k := range j.Tasks {
		for st := range j.Tasks[k] {
			step := &j.Spec.Steps[st]
			if !step.LongRunning {
				continue
			}
			for i := range j.Tasks[k][st] {
				if j.Tasks[k][st][i].State == TaskAssigned {
					sum = sum.Add(step.Reserved())
				}
			}
		}
	}
	return sum
}

// StepDone reports whether all tasks of a step are done. It is false once the job
// is finished.
func (j *Job) StepDone(occurrence, step int) bool {
	return !j.State.Finished() && j.unfinished[occurrence][step] == 0
}

// Wave is a maintenance wave over a list of instances.
type Wave struct {
	ID        int64    `cbor:"1,keyasint"`
	Instances []string `cbor:"2,keyasint"`
	// Deadline is when the maintenance of every instance should be finished.
	Deadline Millis `cbor:"3,keyasint"`
	// MaxDown limits the instances that the wave takes down at the same time.
	MaxDown int `cbor:"4,keyasint"`
	// Begun holds the instances whose maintenance has begun.
	Begun map[string]bool `cbor:"5,keyasint,omitempty"`
	// Dropped holds the instances that left the fleet before their maintenance.
	Dropped map[string]bool `cbor:"6,keyasint,omitempty"`
	// Ordered holds the instances whose maintenance has been ordered and may not have begun
	// yet, with the worker that was on each. A late order of an earlier leader may yet be
	// carried out.
	Ordered map[string]string `cbor:"7,keyasint,omitempty"`
}

// initSets allocates the sets of a wave that was decoded without members: empty sets
// are omitted from the encoding.
func (w *Wave) initSets() {
	if w.Begun == nil {
		w.Begun = map[string]bool{}
	}
	if w.Dropped == nil {
		w.Dropped = map[string]bool{}
	}
	if w.Ordered == nil {
		w.Ordered = map[string]string{}
	}
}

// Completed reports whether the maintenance of every instance that is still in the
// fleet has begun.
func (w *Wave) Completed() bool {
	return !slices.ContainsFunc(w.Instances, w.IsPending)
}

// IsPending reports whether the maintenance of an instance has not begun yet.
func (w *Wave) IsPending(instance string) bool { return !w.Begun[instance] && !w.Dropped[instance] }
