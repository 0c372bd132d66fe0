package workload

import "github.com/pkg/errors"

// Errors of decoding and of rejected commands.
var (
	// ErrMalformed is returned for a batch or snapshot that can't be decoded.
	ErrMalformed = errors.New("workload: malformed batch")
	// ErrNoQueue is returned when the queue is not in the document.
	ErrNoQueue = errors.New("workload: no such queue")
	// ErrNoJob is returned when the job or task does not exist.
	ErrNoJob = errors.New("workload: no such job")
	// ErrConflict is returned when the id is used by a job of another queue or team.
	ErrConflict = errors.New("workload: id in use by another job")
	// ErrNotAssignable is returned when the task, the worker or the team limit does
	// not permit an assignment.
	ErrNotAssignable = errors.New("workload: task not assignable")
	// ErrTooLarge is returned for a command that does not fit an entry of the log.
	ErrTooLarge = errors.New("workload: too large")
	// ErrUnknownZone is returned when the deployment has no such availability zone.
	ErrUnknownZone = errors.New("workload: unknown availability zone")
	// ErrInvalidDocument is returned when a document can't be decoded.
	ErrInvalidDocument = errors.New("workload: invalid document")
)

// Batch is one entry of the replicated log.
type Batch struct {
	// Now is the leader's clock when it built the batch.
	Now      Millis    `cbor:"1,keyasint"`
	Commands []Command `cbor:"2,keyasint"`
	// Settles is set by builds that remember the runs given up as lost. Entries without it
	// are applied as they were when they were written.
	Settles bool `cbor:"3,keyasint,omitempty"`
	// Retains is set by builds that keep the definitions that unfinished jobs need when the
	// document drops them. Entries without it are applied as they were when they were written.
	Retains bool `cbor:"4,keyasint,omitempty"`
}

// NewBatch returns a batch of this build.
func NewBatch(now Millis, commands []Command) *Batch {
	return &Batch{Now: now, Commands: commands, Settles: true, Retains: true}
}

// Command is one change; exactly one field is set.
type Command struct {
	PutDocument    *PutDocument    `cbor:"1,keyasint,omitempty"`
	Submit         *Submit         `cbor:"2,keyasint,omitempty"`
	Cancel         *Cancel         `cbor:"3,keyasint,omitempty"`
	Register       *Worker         `cbor:"4,keyasint,omitempty"`
	MarkWorkerLost *MarkWorkerLost `cbor:"5,keyasint,omitempty"`
	Assign         *Assign         `cbor:"6,keyasint,omitempty"`
	End            *End            `cbor:"7,keyasint,omitempty"`
	StartWave      *Wave           `cbor:"8,keyasint,omitempty"`
	Upkeep         *Upkeep         `cbor:"9,keyasint,omitempty"`
	RemoveJobs     *RemoveJobs     `cbor:"10,keyasint,omitempty"`
	Begin          *Begin          `cbor:"11,keyasint,omitempty"`
	MoveRuns       *MoveRuns       `cbor:"12,keyasint,omitempty"`
	Crash          *Crash          `cbor:"13,keyasint,omitempty"`
	ClearSuspicion *ClearSuspicion `cbor:"14,keyasint,omitempty"`
	OrderUpkeep    *OrderUpkeep    `cbor:"15,keyasint,omitempty"`
	EvacuateZone   *EvacuateZone   `cbor:"16,keyasint,omitempty"`
}

// PutDocument stores a document. It has no effect unless its version is higher
// than that of the stored document.
type PutDocument struct {
	Raw []byte `cbor:"1,keyasint"`
}

// Submit accepts a job. It is idempotent by job id.
type Submit struct {
	ID    string `cbor:"1,keyasint"`
	Queue string `cbor:"2,keyasint"`
	Team  string `cbor:"3,keyasint,omitempty"`
	Spec  Spec   `cbor:"4,keyasint"`
}

// Cancel cancels a job. It is idempotent.
type Cancel struct {
	ID string `cbor:"1,keyasint"`
	// Failed is set by builds that let long-running tasks of a failed job run on: the job
	// is cancelled even if it has failed.
	Failed bool `cbor:"2,keyasint,omitempty"`
}

// MarkWorkerLost declares an incarnation of a worker lost and ends all its
// runs. The incarnation must not be running anything any more.
type MarkWorkerLost struct {
	Worker      string `cbor:"1,keyasint"`
	Incarnation Millis `cbor:"2,keyasint"`
	// Departed is set if the incarnation has ended by its own word. It is not
	// registered again.
	Departed bool `cbor:"3,keyasint,omitempty"`
}

// MoveRuns moves current runs of one incarnation of a worker to the next one, which may
// have begun them: an order names the worker, not its incarnation. It is followed by the
// registration of the next incarnation. Runs that are not on the worker in the incarnation
// From are skipped.
type MoveRuns struct {
	Worker string    `cbor:"1,keyasint"`
	From   Millis    `cbor:"2,keyasint"`
	To     Millis    `cbor:"3,keyasint"`
	Tasks  []TaskRef `cbor:"4,keyasint"`
	// Crashes are what the end of the incarnation From means for the runs: see NotedCrash.
	Crashes []CrashedRun `cbor:"5,keyasint,omitempty"`
}

// Assign assigns the next run of a waiting task to a worker.
type Assign struct {
	Task        TaskRef `cbor:"1,keyasint"`
	Run         int64   `cbor:"2,keyasint"`
	Worker      string  `cbor:"3,keyasint"`
	Incarnation Millis  `cbor:"4,keyasint"`
}

// Begin records that a worker has begun the first run of a job.
type Begin struct {
	Job string `cbor:"1,keyasint"`
}

// End ends a run. For a run other than the current one it advances the number
// acknowledged to the worker, and if Settles is set its outcome counts for the task.
type End struct {
	Task        TaskRef `cbor:"1,keyasint"`
	Run         int64   `cbor:"2,keyasint"`
	Worker      string  `cbor:"3,keyasint"`
	Incarnation Millis  `cbor:"4,keyasint"`
	Outcome     Outcome `cbor:"5,keyasint"`
	Checkpoint  string  `cbor:"6,keyasint,omitempty"`
	// Number is the sequence number that the worker gave the end; 0 for an end
	// that no worker reported.
	Number int64 `cbor:"7,keyasint,omitempty"`
	// Settles is set by builds that let the end of an earlier run count. Entries without
	// it are applied as they were when they were written.
	Settles bool `cbor:"8,keyasint,omitempty"`
	// GangCheckpoint is set by builds that store the checkpoint for all members of a gang.
	// Entries without it are applied as they were when they were written.
	GangCheckpoint bool `cbor:"9,keyasint,omitempty"`
}

// Upkeep records that the maintenance of an instance has begun, or that the
// instance left the fleet before its maintenance.
type Upkeep struct {
	Wave     int64  `cbor:"1,keyasint"`
	Instance string `cbor:"2,keyasint"`
	Left     bool   `cbor:"3,keyasint,omitempty"`
}

// OrderUpkeep records that the maintenance of an instance is about to be ordered, or that no
// order for it can be carried out any more.
type OrderUpkeep struct {
	Wave     int64  `cbor:"1,keyasint"`
	Instance string `cbor:"2,keyasint"`
	// Worker is the worker on the instance; it may be empty.
	Worker    string `cbor:"3,keyasint,omitempty"`
	Withdrawn bool   `cbor:"4,keyasint,omitempty"`
}

// EvacuateZone starts or finishes the evacuation of an availability zone: meanwhile no task is
// assigned to its workers. It is idempotent.
type EvacuateZone struct {
	Zone   string `cbor:"1,keyasint"`
	Finish bool   `cbor:"2,keyasint,omitempty"`
}

// RemoveJobs removes finished jobs that have no assigned task.
type RemoveJobs struct {
	Jobs []string `cbor:"1,keyasint"`
}
