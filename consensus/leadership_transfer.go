package consensus

// Handover transfers the leadership to a voter that holds the complete log, and
// returns the ID of that voter. The leader continues until its successor is
// elected, but without a lease, because the successor does not wait for it to end.
// If there is no successor after the minimum election timeout, the leader steps
// down: the request may still be on its way, and only a later term makes it void.
// Errors match ErrNotLeader, or ErrNotCaughtUp if no other responding voter holds
// the complete log.
func (c *Core) Handover() (NodeID, error) {
	c.assertNoOpenReady()
	if c.role != Leader {
		return None, &NotLeaderError{Leader: c.leader}
	}
	for _, id := range voterIDs(c.log.members()) {
		p := c.peers[id]
		if p != nil && p.match == c.log.last() && c.recentlyActive(id) {
			c.send(Message{Type: MsgTimeoutNow, To: id})
			c.transferUntil = c.now + uint64(c.cfg.ElectionTicks)
			return id, nil
		}
	}
	return None, ErrNotCaughtUp
}

// handleTimeoutNow starts an election without pre-vote, as requested by the
// leader of the current term.
func (c *Core) handleTimeoutNow(m *Message) {
	if c.role == Follower && m.From == c.leader && c.mayCampaign() {
		c.dropReads()
		c.leader = None
		c.becomeCandidate(true)
	}
}
