package consensus

// MessageType is the type of a Message.
type MessageType uint8

// Message types.
const (
	// MsgPreVote asks whether a vote for Term would be granted.
	MsgPreVote MessageType = iota + 1
	// MsgPreVoteResp is the response to MsgPreVote.
	MsgPreVoteResp
	// MsgVote requests a vote in Term.
	MsgVote
	// MsgVoteResp is the response to MsgVote.
	MsgVoteResp
	// MsgAppend carries log entries from the leader.
	MsgAppend
	// MsgAppendResp acknowledges or rejects MsgAppend, and acknowledges a
	// complete snapshot.
	MsgAppendResp
	// MsgHeartbeat carries the leader's commit index and heartbeat round.
	MsgHeartbeat
	// MsgHeartbeatResp is the response to MsgHeartbeat.
	MsgHeartbeatResp
	// MsgSnapshot carries a snapshot chunk.
	MsgSnapshot
	// MsgSnapshotResp requests the next chunk by its offset.
	MsgSnapshotResp
	// MsgRead requests a read index from the leader.
	MsgRead
	// MsgReadResp is the response to MsgRead.
	MsgReadResp
	// MsgTimeoutNow makes a voter start an election immediately, to transfer
	// the leadership to it.
	MsgTimeoutNow
)

// Message is a message between two members. The fields in use depend on the
// type. Messages may be lost, delayed, duplicated and reordered.
type Message struct {
	Type    MessageType `cbor:"1,keyasint"`
	Cluster ClusterID   `cbor:"2,keyasint"`
	From    NodeID      `cbor:"3,keyasint"`
	To      NodeID      `cbor:"4,keyasint"`
	Term    uint64      `cbor:"5,keyasint"`
	// Index is the index of the entry that precedes Entries (append), of the
	// candidate's last entry (votes), of the last matching entry (append
	// responses), of the snapshot, or the read index. In a rejected append it
	// repeats the index of the request.
	Index   uint64  `cbor:"6,keyasint,omitempty"`
	LogTerm uint64  `cbor:"7,keyasint,omitempty"`
	Entries []Entry `cbor:"8,keyasint,omitempty"`
	Commit  uint64  `cbor:"9,keyasint,omitempty"`
	Reject  bool    `cbor:"10,keyasint,omitempty"`
	// RejectHint is, in a rejected append, the highest index that may match.
	RejectHint uint64 `cbor:"11,keyasint,omitempty"`
	// Round and Tick are set by the leader and echoed by the follower. Tick
	// is the leader's logical clock at the time of sending.
	Round  uint64 `cbor:"12,keyasint,omitempty"`
	Tick   uint64 `cbor:"13,keyasint,omitempty"`
	ReadID uint64 `cbor:"14,keyasint,omitempty"`
	// Chunk is set for MsgSnapshot only.
	Chunk *Chunk `cbor:"15,keyasint,omitempty"`
	// Offset is, in MsgSnapshotResp, the number of snapshot bytes received.
	Offset uint64 `cbor:"16,keyasint,omitempty"`
	// LeadershipTransfer is set in MsgVote when the election was requested by
	// the leader with MsgTimeoutNow. Voters then ignore the leader lease.
	LeadershipTransfer bool `cbor:"17,keyasint,omitempty"`
	// Removed is set in a rejecting MsgPreVoteResp when the cluster has a leader
	// and the candidate is not a member.
	Removed bool `cbor:"18,keyasint,omitempty"`
}

// Chunk is the part of a snapshot's data that starts at Offset.
type Chunk struct {
	Meta   SnapshotMeta `cbor:"1,keyasint"`
	Offset uint64       `cbor:"2,keyasint"`
	Data   []byte       `cbor:"3,keyasint,omitempty"`
}

// fromLeader reports whether only the leader of a term sends this message type.
func (m *Message) fromLeader() bool {
	return m.Type == MsgAppend || m.Type == MsgHeartbeat || m.Type == MsgSnapshot
}
