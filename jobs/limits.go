package jobs

import "magnoliastand.example/placement"

// Millis is a time or a duration in milliseconds.
type Millis = placement.Millis

// Timing of leases, in milliseconds.
const (
	// LeaseDuration is how long a worker's lease is valid after a renewal.
	LeaseDuration Millis = 20_000
	// LeaseRenewalAge is the minimum age of a lease at which a heartbeat without
	// other changes writes a renewal to the log.
	LeaseRenewalAge Millis = 9_000
	// DriftPerMille bounds the relative drift of a worker's clock against the
	// control clock, in thousandths.
	DriftPerMille Millis = 10
	// DriftMargin is how long before the state a worker regards its lease as expired.
	DriftMargin = LeaseDuration * DriftPerMille / 1_000
	// TakeoverMargin is the time between the expiry of a lease and the point at
	// which its worker may be declared lost.
	TakeoverMargin Millis = 2_000
)

// Limits on the state.
const (
	// MaxJobs bounds the number of jobs, including finished ones.
	MaxJobs = 50_000
	// MaxFinished bounds the number of finished jobs older than ResendWindow.
	MaxFinished = 10_000
	// FinishedRetention is the maximum age of a finished job, in milliseconds.
	FinishedRetention Millis = 3_600_000
	// ResendWindow is how long after a job finished its submission can be retried
	// and still return the job, in milliseconds.
	ResendWindow Millis = 600_000
	// MaxWorkers bounds the number of workers.
	MaxWorkers = 10_000
	// MaxTasksPerWorker bounds the tasks of one worker.
	MaxTasksPerWorker = 1_024
	// MaxHistory bounds the history of one job, in records.
	MaxHistory = 16
	// MaxSamples bounds the outcomes that are kept for estimating sizes and
	// evaluating workers.
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
