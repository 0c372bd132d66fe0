package bootstrap

import (
	"github.com/pkg/errors"

	"magnoliastand.example/consensus"
)

// ErrBadConfig tells that the settings contradict each other.
var ErrBadConfig = errors.New("bootstrap: bad configuration")

// Phase tells how far a disk is bound to a cluster.
type Phase uint8

// Phases of a disk, which only move forward, but that an unformed promise may
// end in Joined.
const (
	// Unbound is an empty disk.
	Unbound Phase = iota
	// Promised is a disk that is bound to a cluster not yet known to exist.
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

// Binding is what a disk stores of its cluster.
type Binding struct {
	Phase   Phase               `cbor:"1,keyasint"`
	Cluster consensus.ClusterID `cbor:"2,keyasint,omitempty"`
	// Issuer is the coordinator that drew the cluster ID.
	Issuer consensus.NodeID `cbor:"3,keyasint,omitempty"`
	// Members are the first voters, for Formed only.
	Members []consensus.Member `cbor:"4,keyasint,omitempty"`
}

// Bound reports whether the disk belongs to an existing cluster.
func (b *Binding) Bound() bool {
	return b.Phase == Formed || b.Phase == Joined
}

// MessageType tells what a message asks or answers.
type MessageType uint8

// Types of messages.
const (
	// MsgHello asks what the receiver knows, and tells the own phase.
	MsgHello MessageType = iota + 1
	// MsgEmpty answers that the sender is unbound.
	MsgEmpty
	// MsgInvite asks a first voter to promise its disk.
	MsgInvite
	// MsgPromise answers MsgInvite.
	MsgPromise
	// MsgRefuse answers MsgInvite when the disk or the names don't allow it.
	MsgRefuse
	// MsgExists tells of an existing cluster.
	MsgExists
)

// Message is sent between nodes by name, because node IDs aren't known yet.
// Messages may be lost, delayed, duplicated and reordered.
type Message struct {
	Type MessageType `cbor:"1,keyasint"`
	From string      `cbor:"2,keyasint"`
	To   string      `cbor:"3,keyasint"`
	// Sender describes the node that sent the message.
	Sender  consensus.Member    `cbor:"4,keyasint"`
	Cluster consensus.ClusterID `cbor:"5,keyasint,omitempty"`
	// Names are the first voters that the sender is configured with.
	Names []string `cbor:"6,keyasint,omitempty"`
	// Members are the first voters of an existing cluster, when known.
	Members []consensus.Member `cbor:"7,keyasint,omitempty"`
	// Reason explains MsgRefuse.
	Reason string `cbor:"8,keyasint,omitempty"`
}

// Ready is the work to do: persist Binding, unless nil, then send Messages.
type Ready struct {
	Binding  *Binding
	Messages []Message
}
