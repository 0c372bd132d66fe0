package consensus

import "slices"

// pendingRead is a read that waits at the leader for a round of heartbeats.
type pendingRead struct {
	id    uint64
	from  NodeID
	index uint64
	// round is the first round that started after the read, or zero before
	// the leader has committed an entry of its term.
	round uint64
}

// forwardedRead is a read that waits for the answer of the leader.
type forwardedRead struct {
	id   uint64
	tick uint64
}

// ReadIndex starts a linearizable read. The answer is a ReadState with the
// same id in a later Ready. A follower asks its leader. The id must be unique
// in the life of the node, restarts included. Errors match ErrNotLeader (no
// leader is known) or ErrQueueFull.
func (c *Core) ReadIndex(id uint64) error {
	c.checkClosed()
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

// addRead queues a read at the leader.
func (c *Core) addRead(id uint64, from NodeID) error {
	if len(c.reads) >= c.cfg.MaxPending {
		return ErrQueueFull
	}
	c.reads = append(c.reads, pendingRead{id: id, from: from})
	c.resolveReads()
	return nil
}

// resolveReads gives reads their index and round once the leader knows all
// commits of earlier terms. The round is the one that the next Ready starts.
func (c *Core) resolveReads() {
	if c.log.commit < c.termStart {
		return
	}
	for i := range c.reads {
		r := &c.reads[i]
		if r.round == 0 {
			r.index = c.log.commit
			r.round = c.round + 1
			c.beat = true
		}
	}
	c.confirmReads()
}

// confirmReads answers the reads whose round a majority has acknowledged.
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
		if r.round == 0 || r.round > confirmed && !c.cfg.off.readRound {
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

// handleRead serves the read of a follower. An overfull queue drops it, and
// the follower's read expires.
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

// expireForwarded drops reads that got no answer for an election timeout.
func (c *Core) expireForwarded() {
	for len(c.forwarded) > 0 && c.now-c.forwarded[0].tick >= uint64(c.cfg.ElectionTicks) {
		c.out.reads = append(c.out.reads, ReadState{ID: c.forwarded[0].id, Dropped: true})
		c.forwarded = c.forwarded[1:]
	}
}

// dropReads drops all reads, because the leader changes.
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
