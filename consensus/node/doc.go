// Package node runs a consensus.Core: it owns the event loop with its ticker,
// the storage and the state machine, and offers a blocking API to callers.
//
// # Caller duties
//
//   - Open the storage, run a Former until the disk is bound to a cluster, then
//     Start the node. Close the storage after Stop.
//   - Pass each message of the Transport to Step on its destination node, and
//     accept messages from authenticated members only.
//   - The StateMachine is called from the event loop only. Concurrent readers of
//     it use their own lock, and call ReadIndex first where stale state is not
//     acceptable. After a restart the state machine starts from the last
//     snapshot, so readers that must never see older state wait for one
//     ReadIndex.
//   - Apply, Snapshot and Restore block the event loop. They must take well below
//     the shortest election timeout, or a leader loses its leadership.
//   - A leader calls Handover before a planned Stop.
//   - The transport must carry a message with one entry of MaxEntryBytes, or with
//     MaxAppendBytes of smaller entries, plus 64 KiB of overhead.
//   - If Done is closed without a call of Stop, the node has failed; Err returns
//     the reason. The process then exits or opens the storage again.
//
// # Outcomes of Propose
//
// A nil error means that the entry was committed and applied. ErrNotLeader,
// ErrQueueFull, ErrTooLarge and ErrStopped of this library mean that nothing was
// proposed. ErrSuperseded means that the proposal will never be committed.
// ErrOutcomeUnknown means that it may still be committed.
package node
