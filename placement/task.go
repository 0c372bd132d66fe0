package placement

import "magnoliastand.example/api"

// Millis is a time or a duration in milliseconds.
type Millis int64

// Task is a unit of work that waits to be placed.
type Task struct {
	ID    string
	Team  string
	Queue string
	Class api.Class
	// Declared is the size that the submitter stated.
	Declared Size
	// DeclaredRun is the run time that the submitter stated.
	DeclaredRun Millis
	// Idempotent tasks may be stopped and run again.
	Idempotent bool
	Submitted  Millis
	// FailedOn lists workers on which the task failed; it is not placed there again
	// while another worker fits.
	FailedOn []string
}

// Worker is an instance that runs tasks.
type Worker struct {
	ID       string
	Zone     string
	Rack     string
	Capacity Size
	// Used is the estimated use by the tasks on the worker.
	Used Size
	// Open workers may receive tasks. Draining, failed and quarantined workers are not open.
	Open bool
}
