package jobs

// JobState is the state of a job. No other values than the constants below are
// valid.
type JobState string

// States of a job.
const (
	// Accepted jobs are waiting for a worker.
	Accepted JobState = "accepted"
	// Assigned jobs have a worker that has not reported them as running.
	Assigned JobState = "assigned"
	Running  JobState = "running"
	// Stopping jobs have a worker that is to stop them.
	Stopping  JobState = "stopping"
	Succeeded JobState = "succeeded"
	Failed    JobState = "failed"
	Cancelled JobState = "cancelled"
	// Parked jobs failed too often and are held until they are released or
	// cancelled.
	Parked JobState = "parked"
	// Unknown jobs are not idempotent and may have run partly or completely.
	Unknown JobState = "unknown"
)

// Event is the cause of a job transition.
type Event string

// Events of a job.
const (
	EventSubmit  Event = "submit"
	EventAssign  Event = "assign"
	EventStarted Event = "started"
	EventStop    Event = "stop"
	EventSucceed Event = "succeed"
	EventFail    Event = "fail"
	EventRefuse  Event = "refuse"
	EventRequeue Event = "requeue"
	EventCancel  Event = "cancel"
	EventPark    Event = "park"
	EventRelease Event = "release"
	EventLose    Event = "lose"
	// EventSettle records that an earlier assignment of the job succeeded.
	EventSettle Event = "settle"
	// EventStage records that a preemption entered a later stage.
	EventStage Event = "preempt"
)

// OnWorker reports whether a job in state s may be running on its worker.
func (s JobState) OnWorker() bool { return s == Assigned || s == Running || s == Stopping }

// Finished reports whether a job in state s never starts again.
func (s JobState) Finished() bool {
	return s == Succeeded || s == Failed || s == Cancelled || s == Unknown
}

// Next returns the state that follows s after e. It returns false if e is not
// allowed in s. Every job transition is defined here.
func Next(s JobState, e Event) (JobState, bool) {
	switch e {
	case EventSubmit:
		return Accepted, s == ""
	case EventAssign:
		return Assigned, s == Accepted
	case EventStarted:
		return Running, s == Assigned
	case EventStop:
		return Stopping, s == Assigned || s == Running
	case EventSucceed:
		return Succeeded, s.OnWorker() || s == Unknown
	case EventFail:
		return Failed, s.OnWorker() || s == Unknown
	case EventRefuse:
		return Failed, s == Accepted
	case EventRequeue:
		return Accepted, s.OnWorker()
	case EventCancel:
		return Cancelled, s == Accepted || s == Parked || s == Stopping
	case EventPark:
		return Parked, s == Accepted
	case EventRelease:
		return Accepted, s == Parked
	case EventLose:
		return Unknown, s.OnWorker()
	case EventSettle:
		if s.OnWorker() {
			return Stopping, true
		}
		return Succeeded, s == Accepted || s == Parked
	case EventStage:
		return s, s == Running
	}
	return s, false
}

// WorkerState is the state of a worker. No other values than the constants below
// are valid.
type WorkerState string

// States of a worker. Only ready workers get new tasks.
const (
	Ready       WorkerState = "ready"
	Draining    WorkerState = "draining"
	Quarantined WorkerState = "quarantined"
	// Lost workers did not renew their lease in time.
	Lost WorkerState = "lost"
)

// WorkerEvent is the cause of a worker transition.
type WorkerEvent string

// Events of a worker.
const (
	WorkerRegister   WorkerEvent = "register"
	WorkerDrain      WorkerEvent = "drain"
	WorkerResume     WorkerEvent = "resume"
	WorkerQuarantine WorkerEvent = "quarantine"
	WorkerRelease    WorkerEvent = "release"
	WorkerLose       WorkerEvent = "lose"
)

// NextWorker returns the state that follows s after e. It returns false if e
// is not allowed in s. A quarantined worker that registers again remains
// quarantined.
func NextWorker(s WorkerState, e WorkerEvent) (WorkerState, bool) {
	switch e {
	case WorkerRegister:
		if s == Quarantined {
			return s, true
		}
		return Ready, true
	case WorkerDrain:
		return Draining, s == Ready || s == Draining
	case WorkerResume:
		return Ready, s == Draining
	case WorkerQuarantine:
		return Quarantined, s == Ready || s == Draining
	case WorkerRelease:
		return Ready, s == Quarantined
	case WorkerLose:
		return Lost, s == Ready || s == Draining || s == Quarantined
	}
	return s, false
}
