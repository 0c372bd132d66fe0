package jobs

import "magnoliastand.example/placement"

// Millis is a time or a duration in milliseconds.
type Millis = placement.Millis

// Timing of leases, in milliseconds.
const (
	// LeaseTime is how long the lease of a worker stands after it was renewed.
	LeaseTime Millis = 20_000
	// RenewAfter is how old a lease is before a heartbeat renews it in the log.
	RenewAfter Millis = 9_000
	// DriftPerMille bounds the relative drift of a worker's clock against the
	// control clock, in thousandths.
	DriftPerMille Millis = 10
	// DriftMargin is how much earlier than the state a worker ends its lease.
	DriftMargin = LeaseTime * DriftPerMille / 1_000
	// TakeoverMargin is the time between the lapse of a lease and the loss of its worker.
	TakeoverMargin Millis = 2_000
)

// Bounds of the state.
const (
	// MaxJobs bounds the jobs of the state, finished ones included.
	MaxJobs = 50_000
	// MaxFinished bounds the finished jobs that are older than ResendWindow.
	MaxFinished = 10_000
	// KeepFinished is how long a finished job is kept, in milliseconds.
	KeepFinished Millis = 3_600_000
	// ResendWindow is how long a submission may be repeated after the job
	// finished, in milliseconds.
	ResendWindow Millis = 600_000
	// MaxWorkers bounds the workers of the state.
	MaxWorkers = 10_000
	// MaxTasksPerWorker bounds the tasks of one worker.
	MaxTasksPerWorker = 1_024
	// MaxHistory bounds the history of one job, in records.
	MaxHistory = 16
	// MaxSamples bounds the outcomes that are kept for judging sizes and workers.
	MaxSamples = 2_048
	// MaxAttempts is the number of failures after which a job is parked.
	MaxAttempts = 8
	// MaxChanges bounds the changes of one command.
	MaxChanges = 4_096
	// MaxPayload bounds the payload reference of a job, in bytes.
	MaxPayload = 4_096
	// MaxIDLen bounds ids, in bytes.
	MaxIDLen = 128
	// MaxReasonLen bounds a reason, in bytes; longer ones are cut.
	MaxReasonLen = 256
	// MaxAmount bounds each resource of a size.
	MaxAmount = 1 << 30
)
