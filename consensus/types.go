package consensus

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// NodeID identifies one member by its disk. It is random, never zero, and is
// created together with an empty data folder.
type NodeID uint64

// ClusterID identifies one cluster. It is random and never zero.
type ClusterID uint64

// None is the absent node, for example when no leader is known.
const None NodeID = 0

// Role is the role that a node plays in its term.
type Role uint8

// Roles of a node.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the name of the role.
func (r Role) String() string {
	switch r {
	case Follower:
		return "follower"
	case PreCandidate:
		return "pre-candidate"
	case Candidate:
		return "candidate"
	case Leader:
		return "leader"
	}
	return "unknown"
}

// EntryKind tells what an entry holds.
type EntryKind uint8

// Kinds of entries.
const (
	// EntryEmpty opens the term of a new leader and holds nothing.
	EntryEmpty EntryKind = iota + 1
	// EntryData holds a proposal of the caller.
	EntryData
	// EntryMembership holds the whole membership that is in force from this
	// entry on.
	EntryMembership
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index   uint64    `cbor:"1,keyasint"`
	Term    uint64    `cbor:"2,keyasint"`
	Kind    EntryKind `cbor:"3,keyasint"`
	Data    []byte    `cbor:"4,keyasint,omitempty"`
	Members []Member  `cbor:"5,keyasint,omitempty"`
}

// HardState is the part of the state, besides the log, that must survive a
// restart. Commit is a hint and may be older than what was applied.
type HardState struct {
	Term   uint64 `cbor:"1,keyasint"`
	Vote   NodeID `cbor:"2,keyasint"`
	Commit uint64 `cbor:"3,keyasint"`
}

// SnapshotMeta describes a snapshot: the last entry that it covers, the
// membership in force there, and size and checksum of its data.
type SnapshotMeta struct {
	Index   uint64   `cbor:"1,keyasint"`
	Term    uint64   `cbor:"2,keyasint"`
	Members []Member `cbor:"3,keyasint"`
	Size    uint64   `cbor:"4,keyasint"`
	Sum     uint64   `cbor:"5,keyasint"`
}

// Snapshot is the state of the caller's state machine after an entry. The data
// must not be modified.
type Snapshot struct {
	SnapshotMeta
	Data []byte
}

// Update is what must be made durable, all of it or nothing, before anything
// else of a Ready is carried out.
type Update struct {
	// HardState replaces the stored one, unless it is nil.
	HardState *HardState
	// Entries are appended; stored entries from Entries[0].Index on are
	// removed first.
	Entries []Entry
	// Snapshot replaces the stored one, unless it is nil.
	Snapshot *Snapshot
	// Reset tells that Snapshot replaces the whole stored log, too.
	Reset bool
	// KeepFrom is the index of the first entry that is still needed; older
	// ones may be removed. Zero keeps all.
	KeepFrom uint64
}

// Empty reports whether there is nothing to persist.
func (u *Update) Empty() bool {
	return u.HardState == nil && len(u.Entries) == 0 && u.Snapshot == nil
}

// ReadState answers a ReadIndex. A read is linearizable once the entries up to
// Index are applied. Dropped tells that the read must be started again.
type ReadState struct {
	ID      uint64
	Index   uint64
	Dropped bool
}

// Ready is the work that the Core asks its caller to do, in the order of the
// fields.
type Ready struct {
	Update    Update
	Messages  []Message
	Install   *Snapshot
	Committed []Entry
	Reads     []ReadState
}

// Empty reports whether there is nothing to do.
func (r *Ready) Empty() bool {
	return r.Update.Empty() && len(r.Messages) == 0 && r.Install == nil &&
		len(r.Committed) == 0 && len(r.Reads) == 0
}

// InitialState returns the state that every first voter of a new cluster starts
// with. The members must be the same on each, in any order.
func InitialState(members []Member) State {
	members = slices.Clone(members)
	sortMembers(members)
	s := &Snapshot{SnapshotMeta: SnapshotMeta{Index: 1, Term: 1, Members: members, Sum: xxhash.Sum64(nil)}}
	return State{HardState: HardState{Term: 1, Commit: 1}, Snapshot: s}
}

// State is what a storage holds for one node. The zero value but for the
// cluster is a new node without log.
type State struct {
	HardState HardState
	Snapshot  *Snapshot
	Entries   []Entry
}
