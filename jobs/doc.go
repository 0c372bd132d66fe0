// Package jobs holds the replicated state of jobs and of the workers that run
// them.
//
// State is deterministic: it changes only by commands, reads no clock and
// iterates in a fixed order, so that every replica that applies the same
// commands holds the same state. Time is a field of each command. The caller
// stamps it with the control clock, which must never run faster than the
// clocks of workers by more than DriftPerMille.
//
// A worker holds one lease for all its tasks. Each assignment of a job to a
// worker has an epoch of its own. The worker stops its tasks by itself when
// its lease ends, DriftMargin before the state regards the lease as lapsed. A
// job is assigned again only after the worker confirmed its end, restarted, or
// let its lease lapse by TakeoverMargin; a job that is not idempotent is never
// assigned again once it may have run, and becomes unknown instead.
//
// Package scheduler decides what to start; package httpapi serves workers and
// submitters.
package jobs
