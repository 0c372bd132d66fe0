// Package consensus implements a Raft replicated log as a pure state machine. It
// starts no goroutines, reads no clock and performs no I/O: the caller feeds it
// ticks, messages and proposals, and performs the work that it returns.
//
// # Cycle
//
// The caller repeats these steps from a single goroutine:
//
//  1. Feed inputs: Tick, Step, Propose, ReadIndex, ProposeMembership, Compact.
//  2. Call Ready. If the result is not empty, in this order: persist and sync
//     Ready.Update, send Ready.Messages, install Ready.Install, apply
//     Ready.Committed, complete Ready.Reads.
//  3. Call Advance, then return to step 2 until Ready is empty.
//
// # Caller duties
//
//   - Nothing in a Ready leaves the process before its Update is durable. A
//     member that responds before syncing can lose committed entries.
//   - The node ID belongs to the disk. A node whose disk was lost or erased
//     generates a new random ID and joins as a learner. It never reuses its
//     previous ID, because the votes and acknowledgements given under that ID
//     are lost.
//   - No input is fed between Ready and Advance.
//   - Slices in a Ready are shared with the Core and must not be modified.
//   - After a restart the state machine may be older than before, because the
//     stored commit index is only a hint. A caller that must not expose older
//     state waits for a ReadIndex first.
//
// # Guarantees
//
// Elections use a pre-vote round, and members that hear from a leader reject
// other candidates, so that a node returning from isolation does not depose the
// leader. A leader that has not heard from a quorum for one election timeout
// steps down. Membership changes affect one voter at a time, and learners are
// promoted only once they have caught up. Safety properties are asserted with
// package invariant under the name invariant.Consensus.
package consensus
