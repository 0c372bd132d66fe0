package consensus

import (
	"slices"

	"github.com/pkg/errors"

	"magnoliastand.example/invariant"
)

// ProposeMembership appends a membership change to the leader's log. The change
// takes effect immediately and is final once committed. Only one change may be
// pending, and the leader accepts none before it has committed an entry of its
// term, because an earlier leader may have started another change.
// Errors match ErrNotLeader, ErrMembershipPending, ErrUnknownMember,
// ErrMemberExists, ErrNotCaughtUp or ErrQuorumAtRisk.
func (c *Core) ProposeMembership(ch Change) (index, term uint64, err error) {
	c.assertNoOpenReady()
	if c.role != Leader {
		return 0, 0, &NotLeaderError{Leader: c.leader}
	}
	pending := c.log.membershipIndex() > c.log.commit && !c.cfg.disabled.singleChange
	termUncommitted := c.log.commit < c.termStart && !c.cfg.disabled.ownTermChange
	if pending || termUncommitted {
		return 0, 0, ErrMembershipPending
	}
	old := c.log.members()
	members, err := applyChange(old, ch)
	if err != nil {
		return 0, 0, err
	}
	if err := c.checkChange(ch, members); err != nil {
		return 0, 0, err
	}
	invariant.Check(votersChanged(old, members) <= 1, invariant.Consensus, "membership change affects more than one voter")
	c.appendEntry(Entry{Kind: EntryMembership, Members: members})
	c.syncPeers(c.now)
	return c.log.last(), c.term, nil
}

// checkChange rejects the promotion of a learner that has not caught up, and any
// promotion or removal that would leave fewer responding voters than the new
// quorum needs.
func (c *Core) checkChange(ch Change, members []Member) error {
	if c.cfg.disabled.learnerCatchUp {
		return nil
	}
	if ch.Kind == Promote && !c.caughtUp(ch.Member.ID) {
		return ErrNotCaughtUp
	}
	voters := voterIDs(members)
	responding := 0
	for _, id := range voters {
		if c.recentlyActive(id) {
			responding++
		}
	}
	if ch.Kind != AddLearner && responding < quorum(len(voters)) {
		return errors.Wrapf(ErrQuorumAtRisk, "only %d of %d voters respond", responding, len(voters))
	}
	return nil
}

// caughtUp reports whether a member is responding and lags by at most
// CatchUpEntries.
func (c *Core) caughtUp(id NodeID) bool {
	if id == c.cfg.ID {
		return true
	}
	p := c.peers[id]
	return p != nil && p.state == replicating && p.match > 0 &&
		p.match+c.cfg.CatchUpEntries >= c.log.last() && c.recentlyActive(id)
}

// recentlyActive reports whether a member has responded to this leader, and
// acknowledged a message sent within the minimum election timeout.
func (c *Core) recentlyActive(id NodeID) bool {
	if id == c.cfg.ID {
		return true
	}
	return c.peers[id].hasResponded && c.ticksSinceAck(id) < uint64(c.cfg.ElectionTicks)
}

// ticksSinceAck returns the ticks since the leader sent the most recent message
// that the member has acknowledged.
func (c *Core) ticksSinceAck(id NodeID) uint64 {
	if id == c.cfg.ID {
		return 0
	}
	return c.now - c.peers[id].ackTick
}

// PeerStatus is the leader's view of a member.
type PeerStatus struct {
	Member Member
	// Match is the highest index known to be stored by the member.
	Match uint64
	// SilentTicks is the number of ticks since the leader sent the most recent
	// message that the member has acknowledged.
	SilentTicks uint64
	// CaughtUp is set when a learner may be promoted.
	CaughtUp bool
}

// Status describes the state of a node at one point in time.
type Status struct {
	ID      NodeID
	Cluster ClusterID
	Term    uint64
	Role    Role
	Leader  NodeID
	Commit  uint64
	Applied uint64
	Last    uint64
	// Snapshot is the index of the latest snapshot.
	Snapshot uint64
	// Now is the logical clock in ticks.
	Now uint64
	// Members is the membership in force. MembersPending is set while it is not
	// committed.
	Members        []Member
	MembersPending bool
	// Removed is set when a node that has a leader has reported that this node is
	// not a member. If its disk is intact, this node may be added again as a
	// learner under the same ID.
	Removed bool
	// QuorumTicks is the number of ticks since a quorum is known to have
	// recognized this leader. It is valid only if QuorumKnown is set, which
	// means that the node is leader, has committed an entry of its term and is not
	// transferring its leadership.
	QuorumTicks uint64
	QuorumKnown bool
	// Peers is set on the leader only.
	Peers []PeerStatus
}

// Status returns the current state of the node.
func (c *Core) Status() Status {
	s := Status{
		ID: c.cfg.ID, Cluster: c.cfg.Cluster, Term: c.term, Role: c.role, Leader: c.leader,
		Commit: c.log.commit, Applied: c.log.applied, Last: c.log.last(), Snapshot: c.log.snap.Index,
		Now: c.now, Members: slices.Clone(c.log.members()),
		MembersPending: c.log.membershipIndex() > c.log.commit, Removed: c.removed,
	}
	if c.role != Leader {
		return s
	}
	s.QuorumKnown = c.log.commit >= c.termStart && c.transferUntil == 0
	s.QuorumTicks = c.quorumTicks()
	for _, m := range s.Members {
		ps := PeerStatus{Member: m, SilentTicks: c.ticksSinceAck(m.ID), CaughtUp: c.caughtUp(m.ID)}
		if p := c.peers[m.ID]; p != nil {
			ps.Match = p.match
		} else {
			ps.Match = c.log.stable
		}
		s.Peers = append(s.Peers, ps)
	}
	return s
}
