package consensus

import "magnoliastand.example/invariant"

// handleAppend stores entries that follow a matching entry.
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
		resp.Hint = c.conflictHint(m.Index)
		c.send(resp)
		return
	}
	c.log.merge(entries)
	resp.Index = prev + uint64(len(entries))
	c.log.commitTo(min(m.Commit, resp.Index))
	c.send(resp)
}

// checkCommitted asserts that a leader doesn't replace committed entries.
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

// conflictHint returns the highest entry below index that may match the log of
// the leader: it skips the whole term that conflicts.
func (c *Core) conflictHint(index uint64) uint64 {
	if index > c.log.last() {
		return c.log.last()
	}
	bad := c.log.term(index)
	for index > c.log.commit && c.log.term(index) == bad {
		index--
	}
	return index
}

// handleHeartbeat takes over the commit index. Without a round the leader
// wants no answer.
func (c *Core) handleHeartbeat(m *Message) {
	c.log.commitTo(m.Commit)
	if m.Round == 0 {
		return
	}
	c.send(Message{Type: MsgHeartbeatResp, To: m.From, Round: m.Round, Tick: m.Tick})
}

// handleFollower handles what a member answers to its leader.
func (c *Core) handleFollower(m *Message) {
	if c.role != Leader {
		return
	}
	p := c.peers[m.From]
	if p == nil {
		return
	}
	invariant.Check(m.Tick <= c.now && m.Round <= c.round, invariant.Consensus, "echo from the future")
	p.ackTick = max(p.ackTick, m.Tick)
	p.ackRound = max(p.ackRound, m.Round)
	p.answered = true
	c.confirmReads()
	switch m.Type {
	case MsgHeartbeatResp:
		p.heard(m.Tick, uint64(stallHeartbeats*c.cfg.HeartbeatTicks))
	case MsgSnapshotResp:
		c.handleSnapshotResp(p, m)
	case MsgAppendResp:
		c.handleAppendResp(p, m)
	}
}

func (c *Core) handleAppendResp(p *progress, m *Message) {
	if !m.Reject {
		if !invariant.Check(m.Index <= c.log.last(), invariant.Consensus,
			"member %x acknowledges %d past %d", uint64(m.From), m.Index, c.log.last()) {
			return
		}
		if p.acked(m.Index, c.now) {
			c.advanceCommit()
		}
		return
	}
	stale := m.Index <= p.match || p.state == transferring ||
		p.state == probing && m.Index != p.next-1
	if !stale {
		p.probeAt(min(m.Hint, m.Index-1))
	}
}

// advanceCommit commits what a majority stores. Entries of older terms are
// committed only through one of the own term.
func (c *Core) advanceCommit() {
	index := quorumValue(c.log.members(), func(id NodeID) uint64 {
		if id == c.cfg.ID {
			return c.log.stable
		}
		return c.peers[id].match
	})
	if index <= c.log.commit || c.log.term(index) != c.term && !c.cfg.off.termCommit {
		return
	}
	for _, e := range c.log.between(c.log.commit, index) {
		c.pendingBytes -= len(e.Data)
	}
	c.log.commitTo(index)
	c.resolveReads()
	if !isMember(c.log.members(), c.cfg.ID) && c.log.configIndex() <= c.log.commit {
		c.pump()
		c.becomeFollower(c.term, None)
	}
}

// pump sends what the followers lack, within the limits of flow control.
func (c *Core) pump() {
	if c.beat {
		c.beat = false
		c.broadcastHeartbeat()
	}
	for _, m := range c.log.members() {
		if p := c.peers[m.ID]; p != nil {
			c.pumpPeer(m.ID, p)
		}
	}
}

// broadcastHeartbeat starts a round. Learners take part in some rounds only.
func (c *Core) broadcastHeartbeat() {
	c.round++
	for _, m := range c.log.members() {
		p := c.peers[m.ID]
		if p == nil || !m.Voter && c.now < p.beatTick+uint64(c.cfg.LearnerHeartbeatTicks) {
			continue
		}
		p.beatTick = c.now
		commit := min(p.match, c.log.commit)
		p.sentCommit = max(p.sentCommit, commit)
		c.send(Message{Type: MsgHeartbeat, To: m.ID, Commit: commit, Round: c.round, Tick: c.now})
	}
}

func (c *Core) pumpPeer(id NodeID, p *progress) {
	if p.state != transferring && !c.log.holds(p.next-1) {
		p.transfer(c.log.snap)
	}
	switch p.state {
	case transferring:
		c.sendChunk(id, p)
	case probing:
		if !p.waiting {
			p.wait(c.now)
			c.sendAppend(id, p)
		}
	case replicating:
		for p.next <= c.log.last() && len(p.inflight) < c.cfg.MaxInflight {
			n := c.sendAppend(id, p)
			p.sent(p.next+uint64(n)-1, c.now)
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

// sendCommit tells a member of a new commit index without entries.
func (c *Core) sendCommit(id NodeID, p *progress) {
	p.sentCommit = min(c.log.commit, p.match)
	c.send(Message{Type: MsgHeartbeat, To: id, Commit: p.sentCommit})
}
