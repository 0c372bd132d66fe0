package consensus

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// NodeID identifies a member by its disk. It is random, never zero, and is
// generated when an empty data directory is initialized.
type NodeID uint64

// ClusterID identifies a cluster. It is random and never zero.
type ClusterID uint64

// None is the zero NodeID, used for example when no leader is known.
const None NodeID = 0

// Role is the Raft role of a node in its current term.
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

// EntryKind is the type of the payload of an Entry.
type EntryKind uint8

// Kinds of entries.
const (
	// EntryEmpty is the no-op entry that a new leader appends at the start of
	// its term.
	EntryEmpty EntryKind = iota + 1
	// EntryData holds data proposed by the caller.
	EntryData
	// EntryMembership holds the complete membership in force from this entry
	// on.
	EntryMembership
)

// Entry is an entry of the replicated log.
type Entry struct {
	Index   uint64    `cbor:"1,keyasint"`
	Term    uint64    `cbor:"2,keyasint"`
	Kind    EntryKind `cbor:"3,keyasint"`
	Data    []byte    `cbor:"4,keyasint,omitempty"`
	Members []Member  `cbor:"5,keyasint,omitempty"`
}

// HardState is the state, besides the log, that must survive a restart. Commit
// is a hint and may be lower than the last applied index.
type HardState struct {
	Term   uint64 `cbor:"1,keyasint"`
	Vote   NodeID `cbor:"2,keyasint"`
	Commit uint64 `cbor:"3,keyasint"`
}

// SnapshotMeta describes a snapshot: the index and term of the last entry that
// it covers, the membership at that entry, and the size and checksum of its
// data.
type SnapshotMeta struct {
	Index   uint64   `cbor:"1,keyasint"`
	Term    uint64   `cbor:"2,keyasint"`
	Members []Member `cbor:"3,keyasint"`
	Size    uint64   `cbor:"4,keyasint"`
	Sum     uint64   `cbor:"5,keyasint"`
}

// Snapshot is the serialized state of the caller's state machine after the entry
// at Index. Data must not be modified.
type Snapshot struct {
	SnapshotMeta
	Data []byte
}

// Update must be persisted atomically and synced before the other parts of a
// Ready are processed.
type Update struct {
	// HardState replaces the stored hard state unless it is nil.
	HardState *HardState
	// Entries are appended after stored entries from Entries[0].Index on have
	// been removed.
	Entries []Entry
	// Snapshot replaces the stored snapshot unless it is nil.
	Snapshot *Snapshot
	// Reset is set when Snapshot also replaces the whole stored log.
	Reset bool
	// KeepFrom is the index of the first entry to retain; older entries may be
	// removed. Zero retains all entries.
	KeepFrom uint64
}

// Empty reports whether there is nothing to persist.
func (u *Update) Empty() bool {
	return u.HardState == nil && len(u.Entries) == 0 && u.Snapshot == nil
}

// ReadState is the result of a ReadIndex call. A read is linearizable once all
// entries up to Index are applied. If Dropped is set, the caller must issue the
// read again.
type ReadState struct {
	ID      uint64
	Index   uint64
	Dropped bool
}

// Ready is the work that the caller must perform for the Core, in the order of
// the fields.
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

// initialTerm is the term of a new cluster, which has no leader.
const initialTerm = 1

// InitialState returns the state with which every initial voter of a new cluster
// starts. All initial voters must pass the same members, in any order.
func InitialState(members []Member) State {
	members = slices.Clone(members)
	sortMembers(members)
	s := &Snapshot{SnapshotMeta: SnapshotMeta{Index: 1, Term: initialTerm, Members: members, Sum: xxhash.Sum64(nil)}}
	return State{HardState: HardState{Term: initialTerm, Commit: 1}, Snapshot: s}
}

// State is the persisted state of a node. The zero value is the state of a new
// node with an empty log.
type State struct {
	HardState HardState
	Snapshot  *Snapshot
	Entries   []Entry
}
