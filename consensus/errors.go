package consensus

import (
	"fmt"

	"github.com/pkg/errors"
)

// Errors returned by the state machine. In each case the input had no effect.
var (
	// ErrQueueFull is returned when too many proposals or reads are pending.
	ErrQueueFull = errors.New("consensus: queue full")
	// ErrMembershipPending is returned while another membership change is
	// uncommitted, or before the leader has committed an entry of its term.
	ErrMembershipPending = errors.New("consensus: membership change pending")
	// ErrNotCaughtUp is returned when a learner lags too far behind the leader
	// to be promoted, or when no voter can take over the leadership.
	ErrNotCaughtUp = errors.New("consensus: learner not caught up")
	// ErrUnknownMember is returned when the node is not a member.
	ErrUnknownMember = errors.New("consensus: unknown member")
	// ErrMemberExists is returned when the node is already a member, or when a
	// member to promote is already a voter.
	ErrMemberExists = errors.New("consensus: member already exists")
	// ErrQuorumAtRisk is returned when a change would leave fewer responding
	// voters than the new quorum needs.
	ErrQuorumAtRisk = errors.New("consensus: membership change would put the quorum at risk")
	// ErrForeignCluster is returned for a message of another cluster.
	ErrForeignCluster = errors.New("consensus: message from another cluster")
	// ErrWrongNode is returned for a message addressed to another node.
	ErrWrongNode = errors.New("consensus: message for another node")
	// ErrBadMessage is returned for a malformed message.
	ErrBadMessage = errors.New("consensus: malformed message")
	// ErrBadConfig is returned when a setting is missing or out of range.
	ErrBadConfig = errors.New("consensus: invalid configuration")
	// ErrBadState is returned when the stored state is inconsistent.
	ErrBadState = errors.New("consensus: invalid stored state")
	// ErrTooLarge is returned when a proposal or snapshot exceeds its size limit.
	ErrTooLarge = errors.New("consensus: too large")
)

// NotLeaderError is returned by operations that only the leader can perform.
// Use errors.As to read the leader.
type NotLeaderError struct {
	// Leader is the current leader as known to this node, or None.
	Leader NodeID
}

// Error implements the error interface.
func (e *NotLeaderError) Error() string {
	if e.Leader == None {
		return "consensus: not leader, leader unknown"
	}
	return fmt.Sprintf("consensus: not leader, leader is %016x", uint64(e.Leader))
}

// Is makes errors.Is(err, ErrNotLeader) match every NotLeaderError.
func (e *NotLeaderError) Is(target error) bool {
	return target == ErrNotLeader
}

// ErrNotLeader matches every NotLeaderError under errors.Is.
var ErrNotLeader = errors.New("consensus: not leader")
