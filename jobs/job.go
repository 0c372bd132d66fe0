package jobs

import (
	"slices"

	"magnoliastand.example/api"
	"magnoliastand.example/placement"
)

// Size is an amount of resources.
type Size struct {
	// Processors is in thousandths of a core.
	Processors int `cbor:"1,keyasint,omitempty" json:"processors"`
	MemoryMB   int `cbor:"2,keyasint,omitempty" json:"memory_mb"`
	// Accelerators is a number of devices.
	Accelerators int `cbor:"3,keyasint,omitempty" json:"accelerators"`
}

// valid reports whether every amount lies within its bounds.
func (s Size) valid() bool {
	for _, n := range []int{s.Processors, s.MemoryMB, s.Accelerators} {
		if n < 0 || n > MaxAmount {
			return false
		}
	}
	return true
}

// Clamp returns s with every amount within its bounds.
func (s Size) Clamp() Size {
	clamp := func(n int) int { return min(max(n, 0), MaxAmount) }
	return Size{clamp(s.Processors), clamp(s.MemoryMB), clamp(s.Accelerators)}
}

// Add returns s plus o.
func (s Size) Add(o Size) Size {
	return Size{s.Processors + o.Processors, s.MemoryMB + o.MemoryMB, s.Accelerators + o.Accelerators}
}

// Fits reports whether s fits into free.
func (s Size) Fits(free Size) bool {
	return s.Processors <= free.Processors && s.MemoryMB <= free.MemoryMB && s.Accelerators <= free.Accelerators
}

// SizeOf converts a placement size and drops its slots.
func SizeOf(s placement.Size) Size { return Size{s.Processors, s.MemoryMB, s.Accelerators} }

// Placement converts s to a placement size with the given number of slots.
func (s Size) Placement(slots int) placement.Size {
	return placement.Size{Slots: slots, Processors: s.Processors, MemoryMB: s.MemoryMB, Accelerators: s.Accelerators}
}

// Spec is the submitter's description of a job. It is immutable.
type Spec struct {
	// Queue groups jobs whose declared sizes are corrected together and which
	// are spread across racks and availability zones.
	Queue string `cbor:"1,keyasint,omitempty"`
	// Pool names the pool whose workers may run the job.
	Pool string `cbor:"2,keyasint"`
	Size Size   `cbor:"3,keyasint"`
	// RunTime is the declared run time.
	RunTime Millis `cbor:"4,keyasint"`
	// Idempotent jobs may be stopped and run again.
	Idempotent bool `cbor:"5,keyasint,omitempty"`
	Urgent     bool `cbor:"6,keyasint,omitempty"`
	// Payload is an opaque reference for the worker, of at most MaxPayload bytes.
	Payload []byte `cbor:"7,keyasint,omitempty"`
}

func (s *Spec) equal(o *Spec) bool {
	return s.Queue == o.Queue && s.Pool == o.Pool && s.Size == o.Size && s.RunTime == o.RunTime &&
		s.Idempotent == o.Idempotent && s.Urgent == o.Urgent && slices.Equal(s.Payload, o.Payload)
}

// Record is one transition in the history of a job.
type Record struct {
	At     Millis   `cbor:"1,keyasint" json:"at_ms"`
	Event  Event    `cbor:"2,keyasint" json:"event"`
	State  JobState `cbor:"3,keyasint" json:"state"`
	Worker string   `cbor:"4,keyasint,omitempty" json:"worker,omitempty"`
	Reason string   `cbor:"5,keyasint,omitempty" json:"reason,omitempty"`
}

// StopIntent is the reason for stopping a job.
type StopIntent string

// Reasons to stop a job.
const (
	StopCancel  StopIntent = "cancel"
	StopPreempt StopIntent = "preempt"
	// StopSettled stops a job that succeeded in an earlier assignment.
	StopSettled StopIntent = "settled"
)

// Assignment identifies one assignment of a job.
type Assignment struct {
	Epoch  uint64 `cbor:"1,keyasint"`
	Worker string `cbor:"2,keyasint"`
}

// Job is an accepted job. Stored jobs are replaced and never modified, so that
// views can share them.
type Job struct {
	ID string `cbor:"1,keyasint"`
	// Team is empty for jobs of open queues.
	Team string `cbor:"2,keyasint,omitempty"`
	Spec Spec   `cbor:"3,keyasint"`
	// Seq orders jobs by submission.
	Seq       uint64   `cbor:"4,keyasint"`
	Submitted Millis   `cbor:"5,keyasint"`
	State     JobState `cbor:"6,keyasint"`
	// Since is when the job entered its state.
	Since Millis `cbor:"7,keyasint"`
	// Epoch identifies the last assignment; 0 before the first.
	Epoch  uint64 `cbor:"8,keyasint,omitempty"`
	Worker string `cbor:"9,keyasint,omitempty"`
	// MayHaveRun is set once a worker may have started the job, and cleared
	// only when that worker reports that it did not.
	MayHaveRun bool `cbor:"10,keyasint,omitempty"`
	// Intent is the reason why the job is stopping.
	Intent StopIntent `cbor:"11,keyasint,omitempty"`
	// Stage is the current preemption stage and StageSince when it began.
	Stage      placement.Stage `cbor:"12,keyasint,omitempty"`
	StageSince Millis          `cbor:"13,keyasint,omitempty"`
	// Used is the resource usage that the worker last reported.
	Used Size `cbor:"14,keyasint"`
	// FailedOn lists the workers on which the job failed.
	FailedOn []string `cbor:"15,keyasint,omitempty"`
	// Checkpoint is an opaque reference that is passed to the next start.
	Checkpoint []byte   `cbor:"16,keyasint,omitempty"`
	History    []Record `cbor:"17,keyasint"`
	// Started is when the worker first reported the task of this assignment.
	Started Millis `cbor:"18,keyasint,omitempty"`
	// RanBefore is MayHaveRun as it was before the last assignment.
	RanBefore bool `cbor:"19,keyasint,omitempty"`
	// Reserved is the amount of resources reserved by the last assignment.
	Reserved Size `cbor:"21,keyasint"`
	// Result is an opaque reference from the worker that ended the job.
	Result []byte `cbor:"20,keyasint,omitempty"`
	// Unresolved lists the earlier assignments that ended without an outcome, oldest
	// first. Their success may still be reported. At most maxUnresolved are kept.
	Unresolved []Assignment `cbor:"22,keyasint,omitempty"`
	// Crashes lists the workers whose process ended while the job was on them, oldest
	// first. At most maxCrashes are kept.
	Crashes []Crash `cbor:"23,keyasint,omitempty"`
}

// Reason returns why the job is in its state.
func (j *Job) Reason() string {
	if len(j.History) == 0 {
		return ""
	}
	return j.History[len(j.History)-1].Reason
}

// Task converts the job to a placement task. Urgent jobs have the quick class.
func (j *Job) Task() placement.Task {
	class := api.ClassLong
	if j.Spec.Urgent {
		class = api.ClassQuick
	}
	return placement.Task{
		ID: j.ID, Team: j.Team, Queue: j.Spec.Queue, Class: class,
		Declared: j.Spec.Size.Placement(1), DeclaredRun: j.Spec.RunTime,
		Idempotent: j.Spec.Idempotent, Submitted: j.Submitted, FailedOn: j.FailedOn,
	}
}

// record appends r to the history. Beyond MaxHistory records it drops the
// oldest ones except the first.
func (j *Job) record(r Record) {
	h := make([]Record, 0, min(len(j.History)+1, MaxHistory))
	drop := max(len(j.History)+1-MaxHistory, 0)
	for n := range j.History {
		if n == 0 || n > drop {
			h = append(h, j.History[n])
		}
	}
	h = append(h, r)
	j.History = h
}

// Worker is a process that runs tasks. Stored workers are replaced and never
// modified.
type Worker struct {
	ID       string `cbor:"1,keyasint"`
	Zone     string `cbor:"2,keyasint"`
	Rack     string `cbor:"3,keyasint"`
	Pool     string `cbor:"4,keyasint"`
	Capacity Size   `cbor:"5,keyasint"`
	// Slots bounds the tasks on the worker.
	Slots int `cbor:"6,keyasint"`
	// Incarnation changes each time the worker starts. Tasks of an earlier
	// incarnation can no longer be running.
	Incarnation string      `cbor:"7,keyasint"`
	State       WorkerState `cbor:"8,keyasint"`
	Since       Millis      `cbor:"9,keyasint"`
	Reason      string      `cbor:"10,keyasint,omitempty"`
	// Until is when the lease of the worker expires.
	Until Millis `cbor:"11,keyasint"`
	// Seq is the sequence number of the incarnation's last heartbeat.
	Seq uint64 `cbor:"12,keyasint"`
	// LeaseEpoch counts the leases of the worker. It increases when the worker
	// registers after it was lost or as a new incarnation.
	LeaseEpoch uint64 `cbor:"13,keyasint"`
	// Held lists the jobs that were on a lost worker when it was lost.
	Held []string `cbor:"14,keyasint,omitempty"`
	// Candidate is another incarnation that has not confirmed yet that it is alive.
	Candidate *Candidate `cbor:"15,keyasint,omitempty"`
}

// Candidate is an incarnation that asked to register in place of the present one. It
// registers once a heartbeat tells its lease epoch, which shows that the heartbeat was
// sent after the first one had been answered.
type Candidate struct {
	Incarnation string `cbor:"1,keyasint"`
	LeaseEpoch  uint64 `cbor:"2,keyasint"`
}

// Placement converts the worker to a placement worker with no resources in use.
func (w *Worker) Placement() placement.Worker {
	return placement.Worker{ID: w.ID, Zone: w.Zone, Rack: w.Rack, Capacity: w.Capacity.Placement(w.Slots), Open: w.State == Ready}
}

// Sample is a task outcome that is kept to estimate sizes and to detect faulty
// workers.
type Sample struct {
	Team     string `cbor:"1,keyasint,omitempty"`
	Queue    string `cbor:"2,keyasint,omitempty"`
	Worker   string `cbor:"3,keyasint"`
	Declared Size   `cbor:"4,keyasint"`
	RunTime  Millis `cbor:"5,keyasint"`
	Used     Size   `cbor:"6,keyasint"`
	Run      Millis `cbor:"7,keyasint"`
	Failed   bool   `cbor:"8,keyasint,omitempty"`
}

// Task returns the sample as a placement task without an id.
func (s *Sample) Task() placement.Task {
	return placement.Task{Team: s.Team, Queue: s.Queue, Declared: s.Declared.Placement(1), DeclaredRun: s.RunTime}
}
