package consensus

import "slices"

// pendingRead is a read on the leader that waits for the confirmation of a
// heartbeat round.
type pendingRead struct {
	id    uint64
	from  NodeID
	index uint64
	// round is the first heartbeat round started after the read was queued, or
	// zero while the leader has not committed an entry of its term.
	round uint64
}

// forwardedRead is a read on a follower that waits for the leader's response.
// tick is the time at which it was sent.
type forwardedRead struct {
	id   uint64
	tick uint64
}

// ReadIndex starts a linearizable read. Its result is a ReadState with the same
// id in a later Ready. A follower forwards the read to its leader. The id must be
// unique for the node, including across restarts. Errors match ErrNotLeader (no
// leader is known) or ErrQueueFull.
func (c *Core) ReadIndex(id uint64) error {
	c.assertNoOpenReady()
	if c.role == Leader {
		return c.addRead(id, c.cfg.ID)
	}
	if c.leader == None {
		return &NotLeaderError{}
	}
	if len(c.forwarded) >= c.cfg.MaxPending {
		return ErrQueueFull
	}
	c.forwarded = append(c.forwarded, forwardedRead{id, c.now})
	c.send(Message{Type: MsgRead, To: c.leader, ReadID: id})
	return nil
}

// addRead queues a read on the leader.
func (c *Core) addRead(id uint64, from NodeID) error {
	if len(c.reads) >= c.cfg.MaxPending {
		return ErrQueueFull
	}
	c.reads = append(c.reads, pendingRead{id: id, from: from})
	c.assignReadRounds()
	return nil
}

// assignReadRounds assigns an index and a heartbeat round to queued reads once
// the leader has committed an entry of its term and therefore knows all commits
// of earlier terms. The round is the one that the next Ready starts.
func (c *Core) assignReadRounds() {
	if c.log.commit < c.termStart {
		return
	}
	for i := range c.reads {
		r := &c.reads[i]
		if r.round == 0 {
			r.index = c.log.commit
			r.round = c.round + 1
			c.heartbeatDue = true
		}
	}
	c.confirmReads()
}

// confirmReads completes the reads whose heartbeat round a majority has
// acknowledged.
func (c *Core) confirmReads() {
	if len(c.reads) == 0 {
		return
	}
	confirmed := quorumValue(c.log.members(), func(id NodeID) uint64 {
		if id == c.cfg.ID {
			return c.round + 1
		}
		return c.peers[id].ackRound
	})
	rest := c.reads[:0]
	for _, r := range c.reads {
		if r.round == 0 || r.round > confirmed && !c.cfg.disabled.readConfirmation {
			rest = append(rest, r)
			continue
		}
		c.answerRead(r)
	}
	c.reads = rest
}

func (c *Core) answerRead(r pendingRead) {
	if r.from == c.cfg.ID {
		c.out.reads = append(c.out.reads, ReadState{ID: r.id, Index: r.index})
		return
	}
	c.send(Message{Type: MsgReadResp, To: r.from, ReadID: r.id, Index: r.index})
}

// handleRead queues the read of a follower. If the queue is full, the read is
// discarded and expires on the follower.
func (c *Core) handleRead(m *Message) {
	if c.role == Leader {
		_ = c.addRead(m.ReadID, m.From)
	}
}

func (c *Core) handleReadResp(m *Message) {
	i := slices.IndexFunc(c.forwarded, func(f forwardedRead) bool { return f.id == m.ReadID })
	if i < 0 || m.From != c.leader {
		return
	}
	c.forwarded = slices.Delete(c.forwarded, i, i+1)
	c.out.reads = append(c.out.reads, ReadState{ID: m.ReadID, Index: m.Index})
}

// expireForwarded drops forwarded reads that the leader has not answered within
// the minimum election timeout.
func (c *Core) expireForwarded() {
	for len(c.forwarded) > 0 && c.now-c.forwarded[0].tick >= uint64(c.cfg.ElectionTicks) {
		c.out.reads = append(c.out.reads, ReadState{ID: c.forwarded[0].id, Dropped: true})
		c.forwarded = c.forwarded[1:]
	}
}

// dropReads drops all pending reads when the leader changes.
func (c *Core) dropReads() {
	for _, r := range c.reads {
		if r.from == c.cfg.ID {
			c.out.reads = append(c.out.reads, ReadState{ID: r.id, Dropped: true})
		}
	}
	for _, f := range c.forwarded {
		c.out.reads = append(c.out.reads, ReadState{ID: f.id, Dropped: true})
	}
	c.reads = nil
	c.forwarded = nil
}
