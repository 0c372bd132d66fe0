package consensus

import "magnoliastand.example/invariant"

// Ready returns the pending work. Unless it is empty, the caller must perform it
// in the documented order and then call Advance.
func (c *Core) Ready() Ready {
	c.assertNoOpenReady()
	if c.role == Leader {
		c.sendPending()
	}
	r := Ready{Messages: c.out.messages, Reads: c.out.reads, Update: c.update()}
	c.out.messages, c.out.reads = nil, nil
	if c.out.reset {
		r.Install = c.out.snapshot
	}
	if c.log.commit > c.log.applied {
		r.Committed = c.log.between(c.log.applied, c.log.commit)
	}
	c.out.awaitingAdvance = !r.Empty()
	c.out.lastReady = r
	return r
}

// update returns the state to persist. A change of only the commit index is not
// persisted, to save a sync: the stored commit index is a hint.
func (c *Core) update() Update {
	u := Update{Snapshot: c.out.snapshot, Reset: c.out.reset, KeepFrom: c.out.keepFrom}
	u.Entries = c.log.between(c.log.stable, c.log.last())
	hs := HardState{Term: c.term, Vote: c.vote, Commit: c.log.commit}
	changed := hs.Term != c.out.savedState.Term || hs.Vote != c.out.savedState.Vote
	if changed || len(u.Entries) > 0 || u.Snapshot != nil {
		u.HardState = &hs
	}
	return u
}

// Advance acknowledges the last Ready: its update is durable, its messages are
// sent and its entries are applied.
func (c *Core) Advance() {
	r := &c.out.lastReady
	if !invariant.Check(c.out.awaitingAdvance, invariant.Consensus, "Advance called without a pending Ready") {
		return
	}
	c.out.awaitingAdvance = false
	if r.Update.HardState != nil {
		c.out.savedState = *r.Update.HardState
	}
	c.out.snapshot, c.out.reset, c.out.keepFrom = nil, false, 0
	c.log.stable = c.log.last()
	if n := len(r.Committed); n > 0 {
		invariant.Check(r.Committed[0].Index == c.log.applied+1, invariant.Consensus,
			"entry %d applied after %d", r.Committed[0].Index, c.log.applied)
		c.log.applied = r.Committed[n-1].Index
	}
	c.out.lastReady = Ready{}
	if c.role == Leader {
		c.advanceCommit()
	}
}
