// Package node drives a consensus.Core: it owns the loop with its ticker, its
// storage and its state machine, and offers blocking calls to its users.
//
// # Caller duties
//
//   - Open the storage, run a Former until the disk is bound to a cluster, then
//     Start the node. Close the storage after Stop.
//   - Deliver messages of the Transport to Step on the node that they name, and
//     only from authenticated members.
//   - The StateMachine is called from the loop only. Readers of it use their own
//     lock, and call ReadIndex first where they must not see old state. After a
//     restart the state machine starts from the last snapshot, so what must
//     never show older state waits for one ReadIndex.
//   - Apply, Snapshot and Restore hold up the loop; they take well below the
//     shortest election timeout, or a leader loses its lead.
//   - A leader calls Handover before a planned Stop.
//   - The transport carries a message with an entry of MaxEntryBytes, or with
//     MaxAppendBytes of smaller ones, plus 64 KiB.
//   - When Done is closed without Stop, the node has failed; Err tells why. The
//     process then ends or opens the storage again.
//
// # Outcomes of Propose
//
// A nil error means committed and applied. ErrNotLeader, ErrQueueFull,
// ErrTooLarge and ErrStopped of this library mean that nothing was proposed.
// ErrSuperseded means that the proposal is lost for good. ErrOutcomeUnknown
// means that it may still be committed.
package node
