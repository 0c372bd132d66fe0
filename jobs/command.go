package jobs

import "magnoliastand.example/placement"

// Command is one log entry. Its changes are validated and applied in order; a
// refused change does not affect the others.
type Command struct {
	// At is the control clock when the command was proposed. A time before that
	// of the previous command is treated as equal to it.
	At      Millis   `cbor:"1,keyasint"`
	Changes []Change `cbor:"2,keyasint"`
	Rules   Rules    `cbor:"3,keyasint,omitempty"`
}

// Rules is the version of the rules by which a command is applied. An entry keeps
// the meaning that it had for the build that wrote it, so that replicas which
// restored a snapshot and replicas which applied the entries hold the same state.
type Rules int

// Versions of the rules.
const (
	// RulesInitial are those of commands without a version.
	RulesInitial Rules = iota
	// RulesLateSuccess let the success of an earlier assignment settle a job.
	RulesLateSuccess
	// RulesConfirmedIncarnation let a new incarnation of a worker register only once
	// it has answered to a lease epoch.
	RulesConfirmedIncarnation
	// RulesCrashes record the crashes of workers under their jobs.
	RulesCrashes
	// CurrentRules are those of new commands.
	CurrentRules = RulesCrashes
)

// Change is one change of the state. Exactly one field is set.
type Change struct {
	SetTeams   *SetTeams     `cbor:"1,keyasint,omitempty"`
	Submit     *Submit       `cbor:"2,keyasint,omitempty"`
	Cancel     *Cancel       `cbor:"3,keyasint,omitempty"`
	Assign     *Assign       `cbor:"4,keyasint,omitempty"`
	Preempt    *Preempt      `cbor:"5,keyasint,omitempty"`
	Refuse     *JobAction    `cbor:"6,keyasint,omitempty"`
	Park       *JobAction    `cbor:"7,keyasint,omitempty"`
	Unpark     *JobAction    `cbor:"8,keyasint,omitempty"`
	Heartbeat  *Heartbeat    `cbor:"9,keyasint,omitempty"`
	Outcome    *Outcome      `cbor:"10,keyasint,omitempty"`
	Lose       *WorkerAction `cbor:"11,keyasint,omitempty"`
	Quarantine *WorkerAction `cbor:"12,keyasint,omitempty"`
	Release    *WorkerAction `cbor:"13,keyasint,omitempty"`
	Drain      *WorkerAction `cbor:"14,keyasint,omitempty"`
	Resume     *WorkerAction `cbor:"15,keyasint,omitempty"`
	Checkpoint *Checkpoint   `cbor:"16,keyasint,omitempty"`
	Renew      *Renew        `cbor:"17,keyasint,omitempty"`
}

// Team holds the fair share and the concurrency limit of a team.
type Team struct {
	Name  string `cbor:"1,keyasint"`
	Share int    `cbor:"2,keyasint"`
	// Limit bounds the number of the team's jobs that may be running at once.
	Limit int `cbor:"3,keyasint"`
}

// SetTeams replaces the teams. Open queues belong to the team with the empty
// name, which has share 1 and no limit unless it is listed.
type SetTeams struct {
	Teams []Team `cbor:"1,keyasint"`
}

// Submit accepts a job. The caller must have authenticated the team. A repeated
// submission with the same id and content returns the existing job.
type Submit struct {
	// ID is JobID of the team and the submitter's operation id.
	ID   string `cbor:"1,keyasint"`
	Team string `cbor:"2,keyasint,omitempty"`
	Spec Spec   `cbor:"3,keyasint"`
}

// Cancel cancels a job, or asks its worker to stop it. It is idempotent.
type Cancel struct {
	ID     string `cbor:"1,keyasint"`
	Reason string `cbor:"2,keyasint,omitempty"`
}

// Assign assigns an accepted job to a ready worker.
type Assign struct {
	ID     string `cbor:"1,keyasint"`
	Worker string `cbor:"2,keyasint"`
	// IfEpoch must equal the epoch of the job, as the planner saw it.
	IfEpoch uint64 `cbor:"3,keyasint,omitempty"`
	Reason  string `cbor:"4,keyasint,omitempty"`
	// Reserved is the amount of resources to reserve on the worker; the zero
	// value means the declared size of the job.
	Reserved Size `cbor:"5,keyasint"`
}

// Preempt advances the preemption of an idempotent job to a stage.
type Preempt struct {
	ID     string          `cbor:"1,keyasint"`
	Epoch  uint64          `cbor:"2,keyasint"`
	Stage  placement.Stage `cbor:"3,keyasint"`
	Reason string          `cbor:"4,keyasint,omitempty"`
}

// JobAction is the body of changes that refuse, park or unpark a job that is not
// on a worker.
type JobAction struct {
	ID     string `cbor:"1,keyasint"`
	Reason string `cbor:"2,keyasint,omitempty"`
}

// TaskReport describes a task on a worker that is running or whose outcome has
// not been acknowledged yet.
type TaskReport struct {
	ID    string `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
	// Used is the current resource usage of the task.
	Used Size `cbor:"3,keyasint"`
}

// Heartbeat registers a worker and renews its lease. Tasks lists every task on
// the worker.
type Heartbeat struct {
	Worker      string `cbor:"1,keyasint"`
	Zone        string `cbor:"2,keyasint"`
	Rack        string `cbor:"3,keyasint"`
	Pool        string `cbor:"4,keyasint"`
	Capacity    Size   `cbor:"5,keyasint"`
	Slots       int    `cbor:"6,keyasint"`
	Incarnation string `cbor:"7,keyasint"`
	// Seq increases with each heartbeat of the incarnation; heartbeats that
	// arrive out of order are refused.
	Seq   uint64       `cbor:"8,keyasint"`
	Tasks []TaskReport `cbor:"9,keyasint,omitempty"`
	// Leaving is set by a worker that is about to leave; it gets no new tasks.
	Leaving bool `cbor:"10,keyasint,omitempty"`
	// LeaseEpoch is that of the last answer that the incarnation got, 0 before the
	// first; nil from workers that do not tell it.
	LeaseEpoch *uint64 `cbor:"11,keyasint,omitempty"`
}

// Renew renews the lease of a worker whose heartbeat reports no other change.
type Renew struct {
	Worker     string `cbor:"1,keyasint"`
	LeaseEpoch uint64 `cbor:"2,keyasint"`
	// Seq is the sequence number of the heartbeat.
	Seq uint64 `cbor:"3,keyasint"`
}

// OutcomeKind is how a task ended. The list is closed.
type OutcomeKind string

// Kinds of outcomes.
const (
	OutcomeSucceeded OutcomeKind = "succeeded"
	OutcomeFailed    OutcomeKind = "failed"
	// OutcomeStopped means that the worker stopped the task before its end.
	OutcomeStopped OutcomeKind = "stopped"
	// OutcomeNotStarted means that the worker did not and will not start the task.
	OutcomeNotStarted OutcomeKind = "not-started"
)

// Outcome is the end of a task as its worker reported it. A repeated outcome
// returns the job.
type Outcome struct {
	ID     string      `cbor:"1,keyasint"`
	Worker string      `cbor:"2,keyasint"`
	Epoch  uint64      `cbor:"3,keyasint"`
	Kind   OutcomeKind `cbor:"4,keyasint"`
	Reason string      `cbor:"5,keyasint,omitempty"`
	// Used is the peak resource usage of the task and Run its run time.
	Used Size   `cbor:"6,keyasint"`
	Run  Millis `cbor:"7,keyasint"`
	// Result is an opaque reference for the submitter, of at most MaxPayload bytes.
	Result []byte `cbor:"8,keyasint,omitempty"`
}

// Checkpoint records a reference from which a running task can be resumed.
type Checkpoint struct {
	ID        string `cbor:"1,keyasint"`
	Worker    string `cbor:"2,keyasint"`
	Epoch     uint64 `cbor:"3,keyasint"`
	Reference []byte `cbor:"4,keyasint"`
}

// WorkerAction is the body of changes that only name a worker.
type WorkerAction struct {
	Worker string `cbor:"1,keyasint"`
	Reason string `cbor:"2,keyasint,omitempty"`
}

// Result holds one result for each change of a command, in order.
type Result struct {
	Changes []ChangeResult `cbor:"1,keyasint"`
}

// ChangeResult describes the outcome of one change.
type ChangeResult struct {
	// Refused is empty for an accepted change; Detail explains a refusal.
	Refused Code   `cbor:"1,keyasint,omitempty"`
	Detail  string `cbor:"2,keyasint,omitempty"`
	// Field names the offending field of an invalid change.
	Field string `cbor:"8,keyasint,omitempty"`
	// Job, State and Epoch describe the job after the change.
	Job   string   `cbor:"3,keyasint,omitempty"`
	State JobState `cbor:"4,keyasint,omitempty"`
	Epoch uint64   `cbor:"5,keyasint,omitempty"`
	// Lease is the remaining time of the worker's lease after a heartbeat.
	Lease Millis `cbor:"6,keyasint,omitempty"`
	// LeaseEpoch is the worker's lease epoch after a heartbeat.
	LeaseEpoch uint64 `cbor:"7,keyasint,omitempty"`
	// Crashed lists the jobs that were on the worker if the heartbeat shows that its
	// process ended.
	Crashed []string `cbor:"9,keyasint,omitempty"`
}
