package consensus

import "magnoliastand.example/invariant"

// hasLease reports whether this node heard from a leader, or led a quorum,
// within the shortest election timeout. It then helps no other candidate.
func (c *Core) hasLease() bool {
	if c.cfg.off.leaderLease {
		return false
	}
	if c.role == Leader {
		return c.quorumTicks() < uint64(c.cfg.ElectionTicks)
	}
	return c.leader != None && c.elapsed < c.cfg.ElectionTicks
}

func (c *Core) resetTimeout() {
	c.elapsed = 0
	c.timeout = c.cfg.ElectionTicks + c.rnd.IntN(c.cfg.ElectionTicks)
}

func (c *Core) becomeFollower(term uint64, leader NodeID) {
	invariant.Check(term >= c.term, invariant.Consensus, "term falls from %d to %d", c.term, term)
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

// mayCampaign reports whether this node is a voter, or still is one in the last
// committed membership. A voter whose removal isn't committed may hold the
// newest log, so that nobody else can be elected; it then doesn't count itself.
func (c *Core) mayCampaign() bool {
	leaving := isVoter(c.log.membersAt(c.log.commit), c.cfg.ID) && !c.cfg.off.leaving
	return isVoter(c.log.members(), c.cfg.ID) || leaving
}

// probeMembership asks the known voters for a pre-vote that isn't counted. A
// learner that hears from no leader so finds out whether it was removed.
func (c *Core) probeMembership() {
	c.resetTimeout()
	for _, id := range voterIDs(c.log.members()) {
		if id != c.cfg.ID {
			c.send(Message{Type: MsgPreVote, To: id, Term: c.term + 1, Index: c.log.last(), LogTerm: c.log.lastTerm()})
		}
	}
}

// campaign starts a pre-vote round, or an election where pre-vote is off.
func (c *Core) campaign() {
	c.dropReads()
	c.leader = None
	if c.cfg.off.preVote {
		c.becomeCandidate(false)
		return
	}
	c.role = PreCandidate
	c.startVotes(Message{Type: MsgPreVote, Term: c.term + 1})
}

// becomeCandidate starts an election. With handover the old leader asked for
// it, and those who still hear from that leader vote nevertheless.
func (c *Core) becomeCandidate(handover bool) {
	c.role = Candidate
	c.term++
	c.vote = c.cfg.ID
	c.startVotes(Message{Type: MsgVote, Term: c.term, Handover: handover})
}

// startVotes votes for this node and asks the other voters. The own vote may
// be counted at once, because no answer arrives before it is durable.
func (c *Core) startVotes(m Message) {
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

// countVotes moves on when a majority granted, and gives up when it refused.
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
	invariant.Check(c.role == Candidate, invariant.Consensus, "%s becomes leader", c.role)
	c.role = Leader
	c.leader = c.cfg.ID
	c.elapsed = 0
	c.votes = nil
	c.peers = make(map[NodeID]*progress)
	c.round = 0
	c.beat = true
	c.pendingBytes = 0
	for _, e := range c.log.between(c.log.commit, c.log.last()) {
		c.pendingBytes += len(e.Data)
	}
	c.syncPeers(c.campaignTick)
	c.termStart = c.log.last() + 1
	c.appendOwn(Entry{Kind: EntryEmpty})
}

// syncPeers adds and removes the progress of members after a change. New ones
// count as heard of at the given tick.
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

// upToDate reports whether a candidate's log is at least as new as this one.
func (c *Core) upToDate(m *Message) bool {
	if c.cfg.off.logCheck {
		return true
	}
	last := c.log.lastTerm()
	return m.LogTerm > last || m.LogTerm == last && m.Index >= c.log.last()
}

// handlePreVote answers without any promise. The answer to a granted request
// carries the term that was asked for.
func (c *Core) handlePreVote(m *Message) {
	granted := m.Term > c.term && c.upToDate(m) && !c.hasLease()
	if granted {
		c.send(Message{Type: MsgPreVoteResp, To: m.From, Term: m.Term})
		return
	}
	removed := c.hasLease() && !isMember(c.log.membersAt(c.log.commit), m.From)
	c.send(Message{Type: MsgPreVoteResp, To: m.From, Reject: true, Removed: removed})
}

// handleVote grants at most one vote in a term. Any node answers, also one
// that believes itself a learner: the candidate's membership decides whether
// the vote counts, and the promise binds this disk either way.
func (c *Core) handleVote(m *Message) {
	free := c.vote == None && c.leader == None || c.vote == m.From || c.cfg.off.singleVote
	if !free || !c.upToDate(m) {
		c.send(Message{Type: MsgVoteResp, To: m.From, Reject: true})
		return
	}
	invariant.Check(c.vote == None || c.vote == m.From, invariant.Consensus,
		"votes for %x and %x in term %d", uint64(c.vote), uint64(m.From), c.term)
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

// quorumTicks returns the number of ticks since which a majority of the voters
// is known to have acknowledged this leader. It counts from the sending of
// what was acknowledged, so that delay makes it larger, never smaller.
func (c *Core) quorumTicks() uint64 {
	tick := quorumValue(c.log.members(), func(id NodeID) uint64 {
		if id == c.cfg.ID {
			return c.now
		}
		return c.peers[id].ackTick
	})
	return c.now - tick
}
