package workload

import "github.com/pkg/errors"

// Reasons for which a command is refused.
var (
	// ErrMalformed tells that a batch can't be decoded.
	ErrMalformed = errors.New("workload: malformed batch")
	// ErrNoQueue tells that the queue is not in the document.
	ErrNoQueue = errors.New("workload: no such queue")
	// ErrNoJob tells that the job is not known.
	ErrNoJob = errors.New("workload: no such job")
	// ErrConflict tells that the id belongs to another job.
	ErrConflict = errors.New("workload: id in use by another job")
	// ErrNotAssignable tells that an assignment breaks a rule of the state.
	ErrNotAssignable = errors.New("workload: task not assignable")
	// ErrInvalidDocument tells that a document can't be decoded.
	ErrInvalidDocument = errors.New("workload: invalid document")
)

// Batch is one entry of the log.
type Batch struct {
	// Now is the clock of the leader.
	Now      Millis    `cbor:"1,keyasint"`
	Commands []Command `cbor:"2,keyasint"`
}

// Command is one change; exactly one field is set.
type Command struct {
	PutDocument *PutDocument `cbor:"1,keyasint,omitempty"`
	Submit      *Submit      `cbor:"2,keyasint,omitempty"`
	Cancel      *Cancel      `cbor:"3,keyasint,omitempty"`
	Register    *Worker      `cbor:"4,keyasint,omitempty"`
	Lose        *Lose        `cbor:"5,keyasint,omitempty"`
	Assign      *Assign      `cbor:"6,keyasint,omitempty"`
	End         *End         `cbor:"7,keyasint,omitempty"`
	StartWave   *Wave        `cbor:"8,keyasint,omitempty"`
	Upkeep      *Upkeep      `cbor:"9,keyasint,omitempty"`
	Forget      *Forget      `cbor:"10,keyasint,omitempty"`
	Begin       *Begin       `cbor:"11,keyasint,omitempty"`
}

// PutDocument stores a document; an older version than the stored changes nothing.
type PutDocument struct {
	Raw []byte `cbor:"1,keyasint"`
}

// Submit accepts a job. It is idempotent by the id of the job.
type Submit struct {
	ID    string `cbor:"1,keyasint"`
	Queue string `cbor:"2,keyasint"`
	Team  string `cbor:"3,keyasint,omitempty"`
	Spec  Spec   `cbor:"4,keyasint"`
}

// Cancel cancels a job. It is idempotent.
type Cancel struct {
	ID string `cbor:"1,keyasint"`
}

// Lose ends all runs of an incarnation of a worker, which runs nothing any more.
type Lose struct {
	Worker      string `cbor:"1,keyasint"`
	Incarnation Millis `cbor:"2,keyasint"`
}

// Assign gives a waiting task its next run.
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

// End ends a run. An end of another run than the current one changes nothing
// but the acknowledged number.
type End struct {
	Task        TaskRef `cbor:"1,keyasint"`
	Run         int64   `cbor:"2,keyasint"`
	Worker      string  `cbor:"3,keyasint"`
	Incarnation Millis  `cbor:"4,keyasint"`
	Outcome     Outcome `cbor:"5,keyasint"`
	Checkpoint  string  `cbor:"6,keyasint,omitempty"`
	// Number is the worker's number of the end; 0 for an end that no worker listed.
	Number int64 `cbor:"7,keyasint,omitempty"`
}

// Upkeep records that an instance began its upkeep, or left the fleet before.
type Upkeep struct {
	Wave     int64  `cbor:"1,keyasint"`
	Instance string `cbor:"2,keyasint"`
	Left     bool   `cbor:"3,keyasint,omitempty"`
}

// Forget removes finished jobs.
type Forget struct {
	Jobs []string `cbor:"1,keyasint"`
}
