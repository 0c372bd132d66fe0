package consensus

import "magnoliastand.example/invariant"

// hasLease reports whether this node has heard from a leader, or as leader from a
// quorum, within the minimum election timeout, or may have before a restart. While
// it holds, the node does not grant votes to other candidates.
func (c *Core) hasLease() bool {
	if c.cfg.disabled.leaderLease {
		return false
	}
	if c.role == Leader {
		return c.quorumTicks() < uint64(c.cfg.ElectionTicks)
	}
	if c.now < c.abstainUntil {
		return true
	}
	return c.leader != None && c.elapsed < c.cfg.ElectionTicks
}

func (c *Core) resetTimeout() {
	c.elapsed = 0
	c.electionTimeout = c.cfg.ElectionTicks + c.rnd.IntN(c.cfg.ElectionTicks)
}

func (c *Core) becomeFollower(term uint64, leader NodeID) {
	invariant.Check(term >= c.term, invariant.Consensus, "term decreases from %d to %d", c.term, term)
	if term > c.term {
		c.term = term
		c.vote = None
	}
	c.dropReads()
	c.role = Follower
	c.leader = leader
	c.peers = nil
	c.votes = nil
	c.resetTimeout()
}

// mayCampaign reports whether this node is a voter in the latest or in the last
// committed membership. A voter whose removal is not committed may hold the most
// recent log, in which case no other node can be elected. It campaigns without
// counting its own vote.
func (c *Core) mayCampaign() bool {
	removalPending := isVoter(c.log.membersAt(c.log.commit), c.cfg.ID) && !c.cfg.disabled.removedVoterCampaign
	return isVoter(c.log.members(), c.cfg.ID) || removalPending
}

// probeMembership sends the known voters a pre-vote request whose responses are
// not counted. A node that may not campaign and hears from no leader learns from
// the responses whether it was removed.
func (c *Core) probeMembership() {
	c.resetTimeout()
	for _, id := range voterIDs(c.log.members()) {
		if id != c.cfg.ID {
			c.send(Message{Type: MsgPreVote, To: id, Term: c.term + 1, Index: c.log.last(), LogTerm: c.log.lastTerm()})
		}
	}
}

// campaign starts a pre-vote round, or an election if pre-vote is disabled.
func (c *Core) campaign() {
	c.dropReads()
	c.leader = None
	if c.cfg.disabled.preVote {
		c.becomeCandidate(false)
		return
	}
	c.role = PreCandidate
	c.requestVotes(Message{Type: MsgPreVote, Term: c.term + 1})
}

// becomeCandidate starts an election. With transfer set, the current leader
// requested it, and voters grant their vote even while they hear from that
// leader.
func (c *Core) becomeCandidate(transfer bool) {
	c.role = Candidate
	c.term++
	c.vote = c.cfg.ID
	c.requestVotes(Message{Type: MsgVote, Term: c.term, LeadershipTransfer: transfer})
}

// requestVotes requests votes from the other voters and votes for this node. Its
// own vote can be counted immediately, because requests are sent, and therefore
// responses arrive, only after the vote is durable.
func (c *Core) requestVotes(m Message) {
	c.resetTimeout()
	c.campaignTick = c.now
	c.votes = map[NodeID]bool{c.cfg.ID: true}
	for _, id := range voterIDs(c.log.members()) {
		if id != c.cfg.ID {
			m.To, m.Index, m.LogTerm = id, c.log.last(), c.log.lastTerm()
			c.send(m)
		}
	}
	c.countVotes()
}

// countVotes advances to the next role when a majority has granted its vote, and
// returns to follower when a majority can no longer be reached.
func (c *Core) countVotes() {
	granted, refused := 0, 0
	voters := voterIDs(c.log.members())
	for _, id := range voters {
		v, answered := c.votes[id]
		switch {
		case answered && v:
			granted++
		case answered:
			refused++
		}
	}
	need := quorum(len(voters))
	switch {
	case granted >= need && c.role == PreCandidate:
		c.becomeCandidate(false)
	case granted >= need:
		c.becomeLeader()
	case refused > len(voters)-need:
		c.role = Follower
	}
}

func (c *Core) becomeLeader() {
	invariant.Check(c.role == Candidate, invariant.Consensus, "%s becomes leader without an election", c.role)
	c.role = Leader
	c.leader = c.cfg.ID
	c.elapsed = 0
	c.votes = nil
	c.peers = make(map[NodeID]*progress)
	c.round = 0
	c.heartbeatDue = true
	c.pendingBytes = 0
	c.transferUntil = 0
	for _, e := range c.log.between(c.log.commit, c.log.last()) {
		c.pendingBytes += len(e.Data)
	}
	c.syncPeers(c.campaignTick)
	c.termStart = c.log.last() + 1
	c.appendEntry(Entry{Kind: EntryEmpty})
}

// syncPeers adds and removes peer progress to match the current membership. New
// peers are treated as having last acknowledged at the given tick.
func (c *Core) syncPeers(tick uint64) {
	members := c.log.members()
	for _, m := range members {
		if m.ID == c.cfg.ID || c.peers[m.ID] != nil {
			continue
		}
		c.peers[m.ID] = &progress{next: c.log.last() + 1, ackTick: tick}
	}
	for id := range c.peers {
		if !isMember(members, id) {
			delete(c.peers, id)
		}
	}
}

// isUpToDate reports whether the candidate's log is at least as up to date as
// the local log.
func (c *Core) isUpToDate(m *Message) bool {
	if c.cfg.disabled.logUpToDate {
		return true
	}
	last := c.log.lastTerm()
	return m.LogTerm > last || m.LogTerm == last && m.Index >= c.log.last()
}

// handlePreVote responds without changing state or promising a vote. A granting
// response carries the requested term.
func (c *Core) handlePreVote(m *Message) {
	granted := m.Term > c.term && c.isUpToDate(m) && !c.hasLease()
	if granted {
		c.send(Message{Type: MsgPreVoteResp, To: m.From, Term: m.Term})
		return
	}
	removed := c.leader != None && c.hasLease() && !isMember(c.log.membersAt(c.log.commit), m.From)
	c.send(Message{Type: MsgPreVoteResp, To: m.From, Reject: true, Removed: removed})
}

// handleVote grants at most one vote per term. Learners respond as well, because
// this node's membership may be out of date: the candidate's membership decides
// whether the vote counts, and the vote is durable on this disk in either case.
func (c *Core) handleVote(m *Message) {
	mayGrant := c.vote == None && c.leader == None || c.vote == m.From || c.cfg.disabled.singleVote
	if !mayGrant || !c.isUpToDate(m) {
		c.send(Message{Type: MsgVoteResp, To: m.From, Reject: true})
		return
	}
	invariant.Check(c.vote == None || c.vote == m.From, invariant.Consensus,
		"node votes for %x and %x in term %d", uint64(c.vote), uint64(m.From), c.term)
	c.vote = m.From
	c.elapsed = 0
	c.send(Message{Type: MsgVoteResp, To: m.From})
}

func (c *Core) handleVoteResp(m *Message) {
	pre := m.Type == MsgPreVoteResp
	c.removed = c.removed || m.Removed
	if pre && c.role != PreCandidate || !pre && c.role != Candidate {
		return
	}
	if pre && !m.Reject && m.Term != c.term+1 {
		return
	}
	if _, seen := c.votes[m.From]; seen {
		return
	}
	c.votes[m.From] = !m.Reject
	c.countVotes()
}

// quorumTicks returns the number of ticks since the most recent time at which a
// majority of the voters is known to have recognized this leader. It is measured
// from the sending of the acknowledged messages, so that delays make it larger,
// never smaller.
func (c *Core) quorumTicks() uint64 {
	tick := quorumValue(c.log.members(), func(id NodeID) uint64 {
		if id == c.cfg.ID {
			return c.now
		}
		return c.peers[id].ackTick
	})
	return c.now - tick
}
