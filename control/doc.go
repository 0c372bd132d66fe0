// Package control is the replicated control state of a cluster: the fleet
// document in force, team keys, daemons, the arbiter of each availability zone,
// and the allotments of team limits.
//
// State is the deterministic state machine behind the replicated log. The
// leader stamps each Command with its cluster time (Clock) and with the log
// index that it has applied; every voter applies the same commands in the same
// order and reaches the same State. State reads no clock, draws no random
// numbers and performs no I/O. Rules of validation are part of the replicated
// behaviour: a change of them needs a new command format, or voters of different
// releases would diverge.
//
// Duties of the leader: it stamps commands after it has applied every entry of
// earlier terms; it proposes a Tick now and then while Ledger().Waiting, so that
// the waits of retired units end; it assigns a new term (AssignArbiter) when an
// arbiter is silent, restarts or moves, also without a successor; and it answers
// quota demands only after a quorum confirmed its leadership since the demand
// came. Duties of every voter: it applies what DecodeCommand returns, and skips
// an entry that does not decode.
//
// Each accepted change of configuration raises one version. View is the
// immutable configuration at one version, as every daemon uses it. Delta carries
// the difference between versions to daemons, and Holder keeps the newest
// view that a daemon has seen and never goes back.
//
// Operations of operators carry an operation id. The first result is kept for
// at least OperationWindow of cluster time, at most MaxOperations at once; a
// repeated operation gets the first result again. While the table is full of
// results within the window, new operations are refused rather than old results
// dropped.
package control
