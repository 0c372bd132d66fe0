package workload

import (
	"fmt"
	"slices"
)

// Millis is a time or duration in milliseconds. Times count from 1970.
type Millis = int64

// Size is an amount of resources.
type Size struct {
	// Processors is in thousandths of a core.
	Processors int64 `cbor:"1,keyasint,omitempty"`
	MemoryMB   int64 `cbor:"2,keyasint,omitempty"`
	// Accelerators is a number of devices.
	Accelerators int64 `cbor:"3,keyasint,omitempty"`
}

// Add returns s plus o.
func (s Size) Add(o Size) Size {
	return Size{s.Processors + o.Processors, s.MemoryMB + o.MemoryMB, s.Accelerators + o.Accelerators}
}

// Sub returns s minus o.
func (s Size) Sub(o Size) Size {
	return Size{s.Processors - o.Processors, s.MemoryMB - o.MemoryMB, s.Accelerators - o.Accelerators}
}

// Max returns the larger amount of each resource.
func (s Size) Max(o Size) Size {
	return Size{max(s.Processors, o.Processors), max(s.MemoryMB, o.MemoryMB), max(s.Accelerators, o.Accelerators)}
}

// Fits reports whether s fits into free.
func (s Size) Fits(free Size) bool {
	return s.Processors <= free.Processors && s.MemoryMB <= free.MemoryMB && s.Accelerators <= free.Accelerators
}

// WithinLimit reports whether s keeps to a limit in which 0 means unlimited.
func (s Size) WithinLimit(limit Size) bool {
	within := func(used, most int64) bool { return most == 0 || used <= most }
	return within(s.Processors, limit.Processors) && within(s.MemoryMB, limit.MemoryMB) &&
		within(s.Accelerators, limit.Accelerators)
}

// AdvicePolicy says that an outside service chooses the workers of a queue.
type AdvicePolicy struct {
	// ValidFor is how long a ticket of the service is valid.
	ValidFor Millis
}

// Queue is one queue of the document.
type Queue struct {
	Name, Host, Prefix, Pool string
	// Priority 0 comes first.
	Priority    int
	MaxAttempts int
	// Stretch times the longest chain of a job, plus Target, is its latency objective.
	Stretch float64
	Target  Millis
	// Open queues need no key.
	Open   bool
	Advice *AdvicePolicy
}

// Pool is a set of workers that serve the same queues.
type Pool struct {
	Name           string
	MaxConnections int
	// Standby pools hold instances that are off.
	Standby bool
}

// Team is a customer with keys, a share and an upper limit.
type Team struct {
	Name   string
	Keys   []string
	Weight float64
	// Limit bounds what the team has running; 0 means unlimited.
	Limit Size
}

// Document is one version of the fleet's configuration.
type Document struct {
	Version int64
	Queues  []Queue
	Pools   []Pool
	Teams   []Team
}

// Step is one step of a job: Count tasks of one size.
type Step struct {
	Count int  `cbor:"1,keyasint"`
	Need  Size `cbor:"2,keyasint"`
	// Estimate is the declared run time of one task.
	Estimate Millis `cbor:"3,keyasint,omitempty"`
	// After lists earlier steps that must be done first.
	After         []int  `cbor:"4,keyasint,omitempty"`
	Checkpointing bool   `cbor:"5,keyasint,omitempty"`
	Gang          bool   `cbor:"6,keyasint,omitempty"`
	SameRack      bool   `cbor:"7,keyasint,omitempty"`
	Requires      string `cbor:"8,keyasint,omitempty"`
	DataRack      string `cbor:"9,keyasint,omitempty"`
	// AntiAffinity bounds the tasks of the step on one worker; 0 is unbounded.
	AntiAffinity int  `cbor:"10,keyasint,omitempty"`
	Speculative  bool `cbor:"11,keyasint,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool   `cbor:"12,keyasint,omitempty"`
	Image       string `cbor:"13,keyasint,omitempty"`
	// TailTarget bounds the tail latency of a serving task; 0 means that it serves nobody.
	TailTarget Millis `cbor:"14,keyasint,omitempty"`
	// Fills says that the processors of the tasks don't count against the worker.
	Fills bool `cbor:"15,keyasint,omitempty"`
	// MaxUnavailable is the disruption budget of the step.
	MaxUnavailable int `cbor:"16,keyasint,omitempty"`
}

// Reserved returns what a task of the step occupies on its worker.
func (s *Step) Reserved() Size {
	if s.Fills {
		return Size{MemoryMB: s.Need.MemoryMB, Accelerators: s.Need.Accelerators}
	}
	return s.Need
}

// Spec is what a submitter states about a job. It never changes.
type Spec struct {
	// Payload is handed to the worker with each start.
	Payload string `cbor:"1,keyasint,omitempty"`
	Steps   []Step `cbor:"2,keyasint"`
	// Repeat is how often the steps run; at least 1.
	Repeat int `cbor:"3,keyasint"`
	// StartAt and Interval give the due time of each occurrence; 0 means at once.
	StartAt  Millis `cbor:"4,keyasint,omitempty"`
	Interval Millis `cbor:"5,keyasint,omitempty"`
}

// Due returns when an occurrence may start; 0 means at once.
func (s *Spec) Due(occurrence int) Millis {
	if s.StartAt == 0 {
		return 0
	}
	return s.StartAt + Millis(occurrence)*s.Interval
}

// LongRunning reports whether a step of the job runs until it is cancelled.
func (s *Spec) LongRunning() bool {
	return slices.ContainsFunc(s.Steps, func(st Step) bool { return st.LongRunning })
}

// TaskRef names one task.
type TaskRef struct {
	_          struct{} `cbor:",toarray"`
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the reference for logs.
func (r TaskRef) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", r.Job, r.Occurrence, r.Step, r.Index)
}

// Worker is one incarnation of an executor of tasks.
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
	// Gone workers run nothing and get nothing.
	Gone bool `cbor:"9,keyasint,omitempty"`
	// Acked is the number of the last end of the incarnation that is committed.
	Acked int64 `cbor:"10,keyasint,omitempty"`
}

// Same reports whether two announcements say the same.
func (w *Worker) Same(o *Worker) bool {
	return w.Incarnation == o.Incarnation && w.Pool == o.Pool && w.Address == o.Address && w.Zone == o.Zone &&
		slices.Equal(w.Labels, o.Labels) && w.Capacity == o.Capacity && w.Draining == o.Draining && !w.Gone
}

// JobState is the state of a job.
type JobState uint8

// States of a job. The last three are final.
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
	// TaskAssigned tasks have a run on a worker that may be under way.
	TaskAssigned
	TaskDone
)

// Outcome tells how a run ended.
type Outcome uint8

// Outcomes of a run.
const (
	OutcomeDone Outcome = iota + 1
	OutcomeFailed
	// OutcomeStopped runs were stopped on order.
	OutcomeStopped
	// OutcomeLapsed runs were killed when the lease of the worker lapsed.
	OutcomeLapsed
	// OutcomeBroken runs ended because another member of the gang ended.
	OutcomeBroken
	// OutcomeAlone runs waited in vain for the other members of the gang.
	OutcomeAlone
	// OutcomeNotRun runs never began and never will.
	OutcomeNotRun
	// OutcomeLost runs ended with their worker.
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
	// Run numbers the starts of the task, from 1.
	Run      int64
	Failures int
	// Worker and Incarnation name where the run is, while the task is assigned.
	Worker      string
	Incarnation Millis
	Checkpoint  string
}

// Job is one accepted job.
type Job struct {
	ID        string   `cbor:"1,keyasint"`
	Queue     string   `cbor:"2,keyasint"`
	Pool      string   `cbor:"3,keyasint"`
	Team      string   `cbor:"4,keyasint,omitempty"`
	Spec      Spec     `cbor:"5,keyasint"`
	Submitted Millis   `cbor:"6,keyasint"`
	State     JobState `cbor:"7,keyasint"`
	// Ended is when the job reached a final state.
	Ended Millis `cbor:"8,keyasint,omitempty"`
	// Tasks are indexed by occurrence, step and index.
	Tasks [][][]Task `cbor:"9,keyasint"`

	// left counts the tasks that are not done, by occurrence and step.
	left [][]int
	// open counts waiting tasks whose earlier steps are done.
	open int
	// assigned counts assigned tasks.
	assigned int
	// chain is the estimated longest chain of the job.
	chain Millis
}

// Assigned returns the number of assigned tasks.
func (j *Job) Assigned() int { return j.assigned }

// Chain returns the declared time of the longest chain of steps.
func (j *Job) Chain() Millis { return j.chain }

// Unblocked reports whether all earlier steps of a step are done.
func (j *Job) Unblocked(occurrence, step int) bool {
	for _, a := range j.Spec.Steps[step].After {
		if j.left[occurrence][a] > 0 {
			return false
		}
	}
	return true
}

// Wave is a maintenance wave.
type Wave struct {
	ID        int64    `cbor:"1,keyasint"`
	Instances []string `cbor:"2,keyasint"`
	// Deadline is when the last upkeep should have begun and ended.
	Deadline Millis `cbor:"3,keyasint"`
	// MaxDown bounds the instances that are down for the wave at a time.
	MaxDown int `cbor:"4,keyasint"`
	// Begun holds the instances whose upkeep has begun.
	Begun map[string]bool `cbor:"5,keyasint,omitempty"`
	// Dropped holds instances that left the fleet before their turn.
	Dropped map[string]bool `cbor:"6,keyasint,omitempty"`
}

// complete makes the sets of a wave that was sent or restored without members.
func (w *Wave) complete() {
	if w.Begun == nil {
		w.Begun = map[string]bool{}
	}
	if w.Dropped == nil {
		w.Dropped = map[string]bool{}
	}
}

// Completed reports whether every instance that stays has begun its upkeep.
func (w *Wave) Completed() bool {
	return !slices.ContainsFunc(w.Instances, w.Awaits)
}

// Awaits reports whether the upkeep of an instance of the wave has yet to begin.
func (w *Wave) Awaits(instance string) bool { return !w.Begun[instance] && !w.Dropped[instance] }
