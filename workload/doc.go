// Package workload is the replicated state of jobs whose steps fan out into
// tasks, of the workers that run them, of the fleet document and of maintenance
// waves.
//
// State is deterministic: every replica applies the same batches in the same
// order. A leader keeps a second copy that is ahead of the log by the batches
// in flight, so that it plans serially; it drops that copy with its lead.
//
// # Caller duties
//
//   - A task is assigned by a committed batch before its start order is sent.
//   - An end is acknowledged to a worker only after the batch with it is committed.
//   - A worker is declared lost only when no lease on it can stand any more, or
//     a later incarnation of it has answered.
package workload
