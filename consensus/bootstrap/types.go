package bootstrap

import (
	"github.com/pkg/errors"

	"magnoliastand.example/consensus"
)

// ErrBadConfig indicates missing or inconsistent settings.
var ErrBadConfig = errors.New("bootstrap: bad configuration")

// Phase is the state of the binding of a disk to a cluster.
type Phase uint8

// Phases of a disk. A disk only moves to a later phase; Promised is followed by
// Formed, or by Joined if the promised cluster was not formed.
const (
	// Unbound is a disk without a cluster. It may have promised a ballot.
	Unbound Phase = iota
	// Promised is a disk that has accepted a cluster that is not yet known to exist.
	Promised
	// Formed is the disk of a first voter of an existing cluster.
	Formed
	// Joined is a disk bound to an existing cluster as a later member.
	Joined
)

// String returns the name of the phase.
func (p Phase) String() string {
	switch p {
	case Unbound:
		return "unbound"
	case Promised:
		return "promised"
	case Formed:
		return "formed"
	case Joined:
		return "joined"
	}
	return "unknown"
}

// Ballot orders the proposals of a cluster. The zero Ballot is before all others.
type Ballot struct {
	Round    uint64           `cbor:"1,keyasint"`
	Proposer consensus.NodeID `cbor:"2,keyasint"`
}

// Less reports whether b is before o.
func (b Ballot) Less(o Ballot) bool {
	return b.Round < o.Round || b.Round == o.Round && b.Proposer < o.Proposer
}

// Binding is the stored binding of a disk to its cluster.
type Binding struct {
	Phase   Phase               `cbor:"1,keyasint"`
	Cluster consensus.ClusterID `cbor:"2,keyasint,omitempty"`
	// Issuer is the coordinator that proposed the cluster.
	Issuer consensus.NodeID `cbor:"3,keyasint,omitempty"`
	// Members are the first voters, when known.
	Members []consensus.Member `cbor:"4,keyasint,omitempty"`
	// Ballot is the highest ballot promised, and Accepted the one in which the cluster
	// was accepted. Bound disks have neither, so that builds without ballots can read
	// them.
	Ballot   Ballot `cbor:"5,keyasint,omitzero"`
	Accepted Ballot `cbor:"6,keyasint,omitzero"`
}

// Bound reports whether the disk belongs to an existing cluster.
func (b *Binding) Bound() bool {
	return b.Phase == Formed || b.Phase == Joined
}

// MessageType is the type of a message.
type MessageType uint8

// Types of messages.
const (
	// MsgHello asks whether the receiver is unbound or belongs to a cluster.
	MsgHello MessageType = iota + 1
	// MsgUnbound answers that the sender is unbound.
	MsgUnbound
	// MsgInvite asks a first voter to promise its disk to a ballot.
	MsgInvite
	// MsgPromise answers MsgInvite with the cluster that the disk has accepted, if any.
	MsgPromise
	// MsgReject answers MsgInvite when the disk is promised to a later ballot, or when
	// the first voters differ.
	MsgReject
	// MsgClusterExists announces an existing cluster.
	MsgClusterExists
	// MsgAccept asks a first voter to accept a cluster in the ballot that it has promised.
	MsgAccept
	// MsgAccepted answers MsgAccept.
	MsgAccepted
)

// Message is addressed by node name, because node IDs aren't known yet.
// Messages may be lost, delayed, duplicated and reordered.
type Message struct {
	Type MessageType `cbor:"1,keyasint"`
	From string      `cbor:"2,keyasint"`
	To   string      `cbor:"3,keyasint"`
	// Sender describes the node that sent the message.
	Sender  consensus.Member    `cbor:"4,keyasint"`
	Cluster consensus.ClusterID `cbor:"5,keyasint,omitempty"`
	// FirstVoters are the first voters that the sender is configured with. MsgHello and
	// MsgUnbound carry them if the sender may form a cluster.
	FirstVoters []string `cbor:"6,keyasint,omitempty"`
	// Members are the first voters of an existing, accepted or proposed cluster, when known.
	Members []consensus.Member `cbor:"7,keyasint,omitempty"`
	// Reason is the reason of a MsgReject.
	Reason string `cbor:"8,keyasint,omitempty"`
	// Ballot is the ballot of a proposal; in a MsgReject it is the later one.
	Ballot Ballot `cbor:"9,keyasint,omitzero"`
	// Accepted is the ballot in which the sender of a MsgPromise accepted Cluster.
	Accepted Ballot `cbor:"10,keyasint,omitzero"`
	// Target is the disk that a MsgAccept is meant for.
	Target consensus.NodeID `cbor:"11,keyasint,omitempty"`
}

// Ready is the pending work: persist Binding, unless it is nil, and then send
// Messages.
type Ready struct {
	Binding  *Binding
	Messages []Message
}
