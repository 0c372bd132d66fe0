package consensus

// Handover asks the voter that holds the whole log to take the lead, and returns
// it. The leader goes on until the successor is elected; if the message or the
// election fails, it keeps leading. Errors match ErrNotLeader, or ErrNotCaughtUp
// when no other voter holds the whole log.
func (c *Core) Handover() (NodeID, error) {
	c.checkClosed()
	if c.role != Leader {
		return None, &NotLeaderError{Leader: c.leader}
	}
	for _, id := range voterIDs(c.log.members()) {
		p := c.peers[id]
		if p != nil && p.match == c.log.last() && c.answers(id) {
			c.send(Message{Type: MsgHandover, To: id})
			return id, nil
		}
	}
	return None, ErrNotCaughtUp
}

// handleHandover starts an election without pre-vote, because the leader of the
// current term wishes it.
func (c *Core) handleHandover(m *Message) {
	if c.role == Follower && m.From == c.leader && c.mayCampaign() {
		c.dropReads()
		c.leader = None
		c.becomeCandidate(true)
	}
}
