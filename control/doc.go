// Package control implements the replicated control state of a cluster: the
// fleet document in force, team keys, registered daemons, the arbiter of each
// availability zone, and the allotments of team limits.
//
// State is the deterministic state machine behind the replicated log. The
// leader stamps each Command with its cluster time (Clock) and with the log
// index that it has applied; every voter applies the same commands in the same
// order and reaches the same State. State reads no clock, uses no randomness
// and performs no I/O. Validation rules are part of the replicated behavior:
// changing one requires a new command format, because voters of different
// releases would otherwise diverge.
//
// The leader stamps commands only after it has applied every entry of earlier
// terms. While Ledger().Waiting it proposes a Tick from time to time, so that
// the waiting periods of retired units end. It assigns a new term
// (AssignArbiter) when an arbiter stops responding, restarts or moves, even if
// there is no successor. It answers a quota demand only after a quorum has
// confirmed its leadership since the demand arrived. Every voter applies the
// commands that DecodeCommand returns and skips entries that do not decode.
//
// Each accepted configuration change increments one version. View is the
// immutable configuration at one version, as daemons use it. Delta transfers
// the difference between versions to daemons. Holder keeps the newest view that
// a daemon has received and rejects older versions.
//
// Operator commands carry an operation id. The first result of an operation is
// kept for at least OperationWindow of cluster time, with at most MaxOperations
// results at once; repeating an operation returns its first result. If the table
// is full of results within the window, new operations are refused instead of
// evicting results.
package control
