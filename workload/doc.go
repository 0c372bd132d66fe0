// Package workload implements the replicated state machine for jobs, whose steps
// fan out into tasks, the workers that run them, the fleet document and
// maintenance waves.
//
// State is deterministic: every replica applies the same batches in the same
// order. A leader keeps a second, speculative copy to which the batches in
// flight are already applied, so that each plan sees the previous ones. It
// discards that copy when it loses leadership.
//
// # Requirements for callers
//
//   - The batch that assigns a task is committed before the start order is sent.
//   - The end of a run is acknowledged to the worker only after the batch that
//     contains it is committed.
//   - A worker is declared lost only when every lease on it has expired, or a
//     later incarnation of it has answered.
package workload
