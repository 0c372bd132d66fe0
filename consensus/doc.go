// Package consensus is a replicated log as a pure state machine. It starts no
// goroutine, reads no clock and does no I/O: a caller feeds it ticks, messages
// and proposals, and carries out what it asks for.
//
// # Cycle
//
// The caller repeats these steps, from one goroutine:
//
//  1. Feed inputs: Tick, Step, Propose, ReadIndex, ProposeMembership, Compact.
//  2. Call Ready. When the result is not empty, in this order: persist
//     Ready.Update and sync it, send Ready.Messages, install Ready.Install,
//     apply Ready.Committed, answer Ready.Reads.
//  3. Call Advance, then go back to step 2 until Ready is empty.
//
// # Caller duties
//
//   - Nothing of a Ready leaves the process before its Update is durable. A
//     member that answers first and syncs later can lose committed entries.
//   - The node ID belongs to the disk. A node whose disk was lost or emptied
//     takes a new random ID and joins as a learner. It never reuses the ID of
//     its predecessor, since the votes and acknowledgements of that ID are gone.
//   - No input is fed between Ready and Advance.
//   - Slices in a Ready are shared with the Core and must not be modified.
//   - After a restart the state machine may be older than before the stop,
//     because the commit index is only a hint on disk. A caller that must not
//     show older state than before waits for a ReadIndex first.
//
// # Guarantees
//
// Elections use a pre-vote round, and members that hear from a leader refuse
// to elect another one, so a node that comes back from isolation does not
// unseat the leader. A leader without a quorum for one election timeout steps
// down. Membership changes one voter at a time; learners are promoted only when
// they have caught up. Safety properties are asserted by package invariant
// under the name invariant.Consensus.
package consensus
