package placement

import "magnoliastand.example/api"

// Millis is a time or a duration in milliseconds.
type Millis int64

// Task is a unit of work to place on a worker.
type Task struct {
	ID    string
	Team  string
	Queue string
	Class api.Class
	// Declared is the size given by the submitter.
	Declared Size
	// DeclaredRun is the run time given by the submitter.
	DeclaredRun Millis
	// Idempotent is set if the task may be stopped and run again.
	Idempotent bool
	Submitted  Millis
	// FailedOn lists the workers on which the task failed. The task is placed on
	// one of them again only if no other worker fits.
	FailedOn []string
}

// Worker is an instance that runs tasks.
type Worker struct {
	ID       string
	Zone     string
	Rack     string
	Capacity Size
	// Used is the estimated usage of the tasks on the worker.
	Used Size
	// Open is set if the worker accepts new tasks. Draining, failed and
	// quarantined workers do not.
	Open bool
}
