// Package jobs holds the replicated state of jobs and of the workers that run
// them.
//
// State is deterministic: it changes only by commands, reads no clock and
// iterates in a fixed order, so that every replica that applies the same
// commands holds the same state. Time is a field of each command. The caller
// sets it from the control clock, which must never run faster than the clocks
// of workers by more than DriftPerMille.
//
// A worker holds one lease for all its tasks. Each assignment of a job to a
// worker has its own epoch. The worker stops its tasks by itself when its lease
// ends, DriftMargin before the state regards the lease as expired. A job is
// assigned again only after the worker confirmed that the task ended, the worker
// restarted, or its lease expired TakeoverMargin ago. A job that is not
// idempotent is never assigned again once it may have run, and becomes unknown
// instead. The success of an assignment that had ended without an outcome settles
// the job whenever it is reported.
//
// A job that is on a worker whose process ends is a suspect: it runs on a worker without
// other jobs, and is not assigned again once the evidence against it suffices.
//
// Package scheduler plans which jobs to start; package httpapi serves workers and
// submitters.
package jobs
