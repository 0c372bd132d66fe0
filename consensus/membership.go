package consensus

import (
	"slices"

	"github.com/pkg/errors"

	"magnoliastand.example/invariant"
)

// ProposeMembership appends a membership change to the log of the leader. It
// is in force at once and final when committed. Only one change may be pending,
// and none is taken before the leader has committed an entry of its term, since
// an earlier leader may have started another change.
// Errors match ErrNotLeader, ErrMembershipPending, ErrUnknownMember,
// ErrMemberExists, ErrNotCaughtUp or ErrQuorumAtRisk.
func (c *Core) ProposeMembership(ch Change) (index, term uint64, err error) {
	c.checkClosed()
	if c.role != Leader {
		return 0, 0, &NotLeaderError{Leader: c.leader}
	}
	pending := c.log.configIndex() > c.log.commit && !c.cfg.off.oneChange
	early := c.log.commit < c.termStart && !c.cfg.off.termChange
	if pending || early {
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
	invariant.Check(votersChanged(old, members) <= 1, invariant.Consensus, "more than one voter changed")
	c.appendOwn(Entry{Kind: EntryMembership, Members: members})
	c.syncPeers(c.now)
	return c.log.last(), c.term, nil
}

// checkChange refuses a learner that lacks entries, and a membership whose
// quorum exceeds the voters that answer.
func (c *Core) checkChange(ch Change, members []Member) error {
	if c.cfg.off.caughtUp {
		return nil
	}
	if ch.Kind == Promote && !c.caughtUp(ch.Member.ID) {
		return ErrNotCaughtUp
	}
	voters := voterIDs(members)
	answering := 0
	for _, id := range voters {
		if c.answers(id) {
			answering++
		}
	}
	if ch.Kind != AddLearner && answering < quorum(len(voters)) {
		return errors.Wrapf(ErrQuorumAtRisk, "%d of %d voters answer", answering, len(voters))
	}
	return nil
}

// caughtUp reports whether a member answers and lacks few entries.
func (c *Core) caughtUp(id NodeID) bool {
	if id == c.cfg.ID {
		return true
	}
	p := c.peers[id]
	return p != nil && p.state == replicating && p.match > 0 &&
		p.match+c.cfg.CatchUpEntries >= c.log.last() && c.answers(id)
}

// answers reports whether a member has answered this leader within an election
// timeout.
func (c *Core) answers(id NodeID) bool {
	if id == c.cfg.ID {
		return true
	}
	return c.peers[id].answered && c.silentTicks(id) < uint64(c.cfg.ElectionTicks)
}

// silentTicks returns the ticks since the newest message that a member has
// acknowledged was sent.
func (c *Core) silentTicks(id NodeID) uint64 {
	if id == c.cfg.ID {
		return 0
	}
	return c.now - c.peers[id].ackTick
}

// PeerStatus is what the leader knows of a member.
type PeerStatus struct {
	Member Member
	// Match is the last entry known to be stored by the member.
	Match uint64
	// SilentTicks counts from the sending of the newest message that the
	// member acknowledged.
	SilentTicks uint64
	// CaughtUp tells that a learner may be promoted.
	CaughtUp bool
}

// Status is a copy of the state of a node.
type Status struct {
	ID      NodeID
	Cluster ClusterID
	Term    uint64
	Role    Role
	Leader  NodeID
	Commit  uint64
	Applied uint64
	Last    uint64
	// Snapshot is the index of the last snapshot.
	Snapshot uint64
	// Now is the logical clock in ticks.
	Now uint64
	// Members is the membership in force. MembersPending tells that it isn't
	// yet committed.
	Members        []Member
	MembersPending bool
	// Removed tells that a node with a leader refused this one as no member. A
	// node whose disk is whole may be added again as a learner under its ID.
	Removed bool
	// QuorumTicks counts the ticks since a quorum is known to have
	// acknowledged this leader. It is valid only when QuorumKnown is set: the
	// node leads and has committed an entry of its term.
	QuorumTicks uint64
	QuorumKnown bool
	// Peers is set on the leader only.
	Peers []PeerStatus
}

// Status returns a copy of the state.
func (c *Core) Status() Status {
	s := Status{
		ID: c.cfg.ID, Cluster: c.cfg.Cluster, Term: c.term, Role: c.role, Leader: c.leader,
		Commit: c.log.commit, Applied: c.log.applied, Last: c.log.last(), Snapshot: c.log.snap.Index,
		Now: c.now, Members: slices.Clone(c.log.members()),
		MembersPending: c.log.configIndex() > c.log.commit, Removed: c.removed,
	}
	if c.role != Leader {
		return s
	}
	s.QuorumKnown = c.log.commit >= c.termStart
	s.QuorumTicks = c.quorumTicks()
	for _, m := range s.Members {
		ps := PeerStatus{Member: m, SilentTicks: c.silentTicks(m.ID), CaughtUp: c.caughtUp(m.ID)}
		if p := c.peers[m.ID]; p != nil {
			ps.Match = p.match
		} else {
			ps.Match = c.log.stable
		}
		s.Peers = append(s.Peers, ps)
	}
	return s
}
