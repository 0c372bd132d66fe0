package consensus

import (
	"fmt"

	"github.com/pkg/errors"
)

// Errors of the state machine. Each means that the input had no effect.
var (
	// ErrQueueFull tells that too many proposals or reads are pending.
	ErrQueueFull = errors.New("consensus: queue full")
	// ErrMembershipPending tells that another change is not yet committed.
	ErrMembershipPending = errors.New("consensus: membership change pending")
	// ErrNotCaughtUp tells that a learner lacks too many entries.
	ErrNotCaughtUp = errors.New("consensus: learner not caught up")
	// ErrUnknownMember tells that the node is no member.
	ErrUnknownMember = errors.New("consensus: unknown member")
	// ErrMemberExists tells that the node is a member already.
	ErrMemberExists = errors.New("consensus: member exists")
	// ErrQuorumAtRisk tells that the change would leave too few voters that
	// answer.
	ErrQuorumAtRisk = errors.New("consensus: change would put the quorum at risk")
	// ErrForeignCluster tells that a message belongs to another cluster.
	ErrForeignCluster = errors.New("consensus: message of another cluster")
	// ErrWrongNode tells that a message is addressed to another node.
	ErrWrongNode = errors.New("consensus: message for another node")
	// ErrBadMessage tells that a message is malformed.
	ErrBadMessage = errors.New("consensus: malformed message")
	// ErrBadConfig tells that a setting is out of range.
	ErrBadConfig = errors.New("consensus: bad configuration")
	// ErrBadState tells that the stored state contradicts itself.
	ErrBadState = errors.New("consensus: bad stored state")
	// ErrTooLarge tells that a proposal or snapshot exceeds its limit.
	ErrTooLarge = errors.New("consensus: too large")
)

// NotLeaderError tells that the node does not lead; use errors.As.
type NotLeaderError struct {
	// Leader is the leader known to the node, or None.
	Leader NodeID
}

// Error returns the text of the error.
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
