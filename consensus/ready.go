package consensus

import "magnoliastand.example/invariant"

// Ready returns the work to do. Unless it is empty, the caller does it in the
// documented order and then calls Advance.
func (c *Core) Ready() Ready {
	c.checkClosed()
	if c.role == Leader {
		c.pump()
	}
	r := Ready{Messages: c.out.messages, Reads: c.out.reads, Update: c.update()}
	c.out.messages, c.out.reads = nil, nil
	if c.out.reset {
		r.Install = c.out.snapshot
	}
	if c.log.commit > c.log.applied {
		r.Committed = c.log.between(c.log.applied, c.log.commit)
	}
	c.out.open = !r.Empty()
	c.out.given = r
	return r
}

// update returns what to persist. A commit index alone isn't worth a sync.
func (c *Core) update() Update {
	u := Update{Snapshot: c.out.snapshot, Reset: c.out.reset, KeepFrom: c.out.keepFrom}
	u.Entries = c.log.between(c.log.stable, c.log.last())
	hs := HardState{Term: c.term, Vote: c.vote, Commit: c.log.commit}
	changed := hs.Term != c.out.saved.Term || hs.Vote != c.out.saved.Vote
	if changed || len(u.Entries) > 0 || u.Snapshot != nil {
		u.HardState = &hs
	}
	return u
}

// Advance tells that the last Ready is done: its update is durable, its
// messages are sent and its entries applied.
func (c *Core) Advance() {
	r := &c.out.given
	if !invariant.Check(c.out.open, invariant.Consensus, "Advance without Ready") {
		return
	}
	c.out.open = false
	if r.Update.HardState != nil {
		c.out.saved = *r.Update.HardState
	}
	c.out.snapshot, c.out.reset, c.out.keepFrom = nil, false, 0
	c.log.stable = c.log.last()
	if n := len(r.Committed); n > 0 {
		invariant.Check(r.Committed[0].Index == c.log.applied+1, invariant.Consensus,
			"entry %d applied after %d", r.Committed[0].Index, c.log.applied)
		c.log.applied = r.Committed[n-1].Index
	}
	c.out.given = Ready{}
	if c.role == Leader {
		c.advanceCommit()
	}
}
