package consensus

// MessageType tells what a message asks or answers.
type MessageType uint8

// Types of messages.
const (
	// MsgPreVote asks whether a vote for Term would be granted.
	MsgPreVote MessageType = iota + 1
	// MsgPreVoteResp answers MsgPreVote.
	MsgPreVoteResp
	// MsgVote asks for the vote in Term.
	MsgVote
	// MsgVoteResp answers MsgVote.
	MsgVoteResp
	// MsgAppend carries entries from the leader.
	MsgAppend
	// MsgAppendResp answers MsgAppend and a completed snapshot.
	MsgAppendResp
	// MsgHeartbeat carries the commit index and a round of the leader.
	MsgHeartbeat
	// MsgHeartbeatResp answers MsgHeartbeat.
	MsgHeartbeatResp
	// MsgSnapshot carries one chunk of a snapshot.
	MsgSnapshot
	// MsgSnapshotResp tells the offset of the next chunk that is wanted.
	MsgSnapshotResp
	// MsgRead asks the leader for a read index.
	MsgRead
	// MsgReadResp answers MsgRead.
	MsgReadResp
	// MsgHandover asks a voter to start an election at once.
	MsgHandover
)

// Message is sent from one member to another. Which fields are used depends on
// the type. Messages may be lost, delayed, duplicated and reordered.
type Message struct {
	Type    MessageType `cbor:"1,keyasint"`
	Cluster ClusterID   `cbor:"2,keyasint"`
	From    NodeID      `cbor:"3,keyasint"`
	To      NodeID      `cbor:"4,keyasint"`
	Term    uint64      `cbor:"5,keyasint"`
	// Index is the entry before Entries (append), the last entry (votes), the
	// last matching entry (answers), the snapshot or the read index.
	Index   uint64  `cbor:"6,keyasint,omitempty"`
	LogTerm uint64  `cbor:"7,keyasint,omitempty"`
	Entries []Entry `cbor:"8,keyasint,omitempty"`
	Commit  uint64  `cbor:"9,keyasint,omitempty"`
	Reject  bool    `cbor:"10,keyasint,omitempty"`
	// Hint is, in a rejected append, the highest entry that may match.
	Hint uint64 `cbor:"11,keyasint,omitempty"`
	// Round and Tick are set by the leader and echoed by the follower. Tick
	// is the leader's own count of ticks when it sent the message.
	Round  uint64 `cbor:"12,keyasint,omitempty"`
	Tick   uint64 `cbor:"13,keyasint,omitempty"`
	ReadID uint64 `cbor:"14,keyasint,omitempty"`
	// Chunk is set for MsgSnapshot only.
	Chunk *Chunk `cbor:"15,keyasint,omitempty"`
	// Offset is, in MsgSnapshotResp, the number of bytes received so far.
	Offset uint64 `cbor:"16,keyasint,omitempty"`
	// Handover is set in MsgVote when the leader itself asked for the election.
	Handover bool `cbor:"17,keyasint,omitempty"`
	// Removed is set in a refused MsgPreVoteResp when the candidate is no
	// member of a cluster that has a leader.
	Removed bool `cbor:"18,keyasint,omitempty"`
}

// Chunk is a part of the data of a snapshot, from Offset on.
type Chunk struct {
	Meta   SnapshotMeta `cbor:"1,keyasint"`
	Offset uint64       `cbor:"2,keyasint"`
	Data   []byte       `cbor:"3,keyasint,omitempty"`
}

// fromLeader reports whether only a leader of its term sends this message.
func (m *Message) fromLeader() bool {
	return m.Type == MsgAppend || m.Type == MsgHeartbeat || m.Type == MsgSnapshot
}
