package consensus

import "magnoliastand.example/invariant"

// handleAppend stores entries that follow a matching entry, and rejects others.
func (c *Core) handleAppend(m *Message) {
	resp := Message{Type: MsgAppendResp, To: m.From, Round: m.Round, Tick: m.Tick}
	if m.Index < c.log.commit && m.Index+uint64(len(m.Entries)) < c.log.commit {
		resp.Index = c.log.commit
		c.send(resp)
		return
	}
	prev, entries := m.Index, m.Entries
	if prev < c.log.commit {
		c.checkCommitted(entries)
		entries = entries[c.log.commit-prev:]
		prev = c.log.commit
	} else if !c.log.holds(prev) || c.log.term(prev) != m.LogTerm {
		resp.Reject = true
		resp.Index = m.Index
		resp.RejectHint = c.conflictHint(m.Index)
		c.send(resp)
		return
	}
	c.log.merge(entries)
	resp.Index = prev + uint64(len(entries))
	c.log.commitTo(min(m.Commit, resp.Index))
	c.send(resp)
}

// checkCommitted asserts that a leader does not replace committed entries.
func (c *Core) checkCommitted(entries []Entry) {
	for i := range entries {
		e := &entries[i]
		if e.Index > c.log.commit {
			return
		}
		invariant.Check(!c.log.holds(e.Index) || c.log.term(e.Index) == e.Term, invariant.Consensus,
			"committed entry %d of term %d replaced by term %d", e.Index, c.log.term(e.Index), e.Term)
	}
}

// conflictHint returns the highest index at or below index that may match the
// leader's log. It skips all entries of the conflicting term.
func (c *Core) conflictHint(index uint64) uint64 {
	if index > c.log.last() {
		return c.log.last()
	}
	conflictTerm := c.log.term(index)
	for index > c.log.commit && c.log.term(index) == conflictTerm {
		index--
	}
	return index
}

// handleHeartbeat adopts the leader's commit index. A heartbeat with round zero
// only carries the commit index and is not acknowledged.
func (c *Core) handleHeartbeat(m *Message) {
	c.log.commitTo(m.Commit)
	if m.Round == 0 {
		return
	}
	c.send(Message{Type: MsgHeartbeatResp, To: m.From, Round: m.Round, Tick: m.Tick})
}

// handleMemberResponse processes the response of a member on the leader.
func (c *Core) handleMemberResponse(m *Message) {
	if c.role != Leader {
		return
	}
	p := c.peers[m.From]
	if p == nil {
		return
	}
	invariant.Check(m.Tick <= c.now && m.Round <= c.round, invariant.Consensus, "member echoes a tick or round that was not sent")
	p.ackTick = max(p.ackTick, m.Tick)
	p.ackRound = max(p.ackRound, m.Round)
	p.hasResponded = true
	c.confirmReads()
	switch m.Type {
	case MsgHeartbeatResp:
		p.recordHeartbeatAck(m.Tick, uint64(lostAfterHeartbeats*c.cfg.HeartbeatTicks))
	case MsgSnapshotResp:
		c.handleSnapshotResp(p, m)
	case MsgAppendResp:
		c.handleAppendResp(p, m)
	}
}

func (c *Core) handleAppendResp(p *progress, m *Message) {
	if !m.Reject {
		if !invariant.Check(m.Index <= c.log.last(), invariant.Consensus,
			"member %x acknowledges entry %d, last index is %d", uint64(m.From), m.Index, c.log.last()) {
			return
		}
		if p.recordAck(m.Index, c.now) {
			c.advanceCommit()
		}
		return
	}
	stale := m.Index <= p.match || p.state == transferring ||
		p.state == probing && m.Index != p.next-1
	if !stale {
		p.resetToProbingAfter(min(m.RejectHint, m.Index-1))
	}
}

// advanceCommit commits the entries stored by a majority. Entries of older terms
// are committed only together with a later entry of the current term. A leader
// that has committed its own removal steps down.
func (c *Core) advanceCommit() {
	index := quorumValue(c.log.members(), func(id NodeID) uint64 {
		if id == c.cfg.ID {
			return c.log.stable
		}
		return c.peers[id].match
	})
	if index <= c.log.commit || c.log.term(index) != c.term && !c.cfg.disabled.ownTermCommit {
		return
	}
	for _, e := range c.log.between(c.log.commit, index) {
		c.pendingBytes -= len(e.Data)
	}
	c.log.commitTo(index)
	c.assignReadRounds()
	if !isMember(c.log.members(), c.cfg.ID) && c.log.membershipIndex() <= c.log.commit {
		c.sendPending()
		c.becomeFollower(c.term, None)
	}
}

// sendPending sends each follower due heartbeats and, within the flow control
// limits, missing entries, snapshot chunks and the commit index.
func (c *Core) sendPending() {
	if c.heartbeatDue {
		c.heartbeatDue = false
		c.broadcastHeartbeat()
	}
	for _, m := range c.log.members() {
		if p := c.peers[m.ID]; p != nil {
			c.sendPendingTo(m.ID, p)
		}
	}
}

// broadcastHeartbeat starts a heartbeat round. Learners are included only every
// LearnerHeartbeatTicks.
func (c *Core) broadcastHeartbeat() {
	c.round++
	for _, m := range c.log.members() {
		p := c.peers[m.ID]
		if p == nil || !m.Voter && c.now < p.heartbeatTick+uint64(c.cfg.LearnerHeartbeatTicks) {
			continue
		}
		p.heartbeatTick = c.now
		commit := min(p.match, c.log.commit)
		p.sentCommit = max(p.sentCommit, commit)
		c.send(Message{Type: MsgHeartbeat, To: m.ID, Commit: commit, Round: c.round, Tick: c.now})
	}
}

func (c *Core) sendPendingTo(id NodeID, p *progress) {
	if p.state != transferring && !c.log.holds(p.next-1) {
		p.startSnapshot(c.log.snap)
	}
	switch p.state {
	case transferring:
		c.sendChunk(id, p)
	case probing:
		if !p.waiting {
			p.markWaiting(c.now)
			c.sendAppend(id, p)
		}
	case replicating:
		for p.next <= c.log.last() && len(p.inflight) < c.cfg.MaxInflight {
			n := c.sendAppend(id, p)
			p.recordSent(p.next+uint64(n)-1, c.now)
		}
		if min(c.log.commit, p.match) > p.sentCommit {
			c.sendCommit(id, p)
		}
	}
}

// sendAppend sends the entries from p.next on and returns their number.
func (c *Core) sendAppend(id NodeID, p *progress) int {
	prev := p.next - 1
	entries := c.log.from(prev, c.cfg.MaxAppendBytes)
	last := prev + uint64(len(entries))
	p.sentCommit = max(p.sentCommit, min(c.log.commit, last))
	c.send(Message{
		Type: MsgAppend, To: id, Index: prev, LogTerm: c.log.term(prev), Entries: entries,
		Commit: min(c.log.commit, last), Round: c.round, Tick: c.now,
	})
	return len(entries)
}

// sendCommit sends a member the commit index without entries.
func (c *Core) sendCommit(id NodeID, p *progress) {
	p.sentCommit = min(c.log.commit, p.match)
	c.send(Message{Type: MsgHeartbeat, To: id, Commit: p.sentCommit})
}
