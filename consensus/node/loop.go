package node

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"magnoliastand.example/consensus"
)

// run is the loop of the node.
func (n *Node[R]) run() {
	ticks, stopTicks := n.cfg.Clock.NewTicker(n.cfg.TickPeriod)
	defer close(n.done)
	defer n.failAll()
	defer stopTicks()
	for {
		select {
		case <-n.stop:
			return
		case <-ticks:
			n.drain()
			n.tick()
		case m := <-n.inbox:
			n.step(m)
			n.drain()
		case c := <-n.calls:
			n.take(c)
			n.drain()
		}
		if err := n.process(); err != nil {
			n.err = err
			return
		}
		n.publish()
	}
}

// drain takes what else is waiting, so that one sync serves all of it.
func (n *Node[R]) drain() {
	for range maxBatch {
		select {
		case m := <-n.inbox:
			n.step(m)
		case c := <-n.calls:
			n.take(c)
		default:
			return
		}
	}
}

// tick advances the Core by the ticks that have passed. After a pause of the
// process that is more than one, so that a leader whose lease ran out while it
// was frozen steps down at once.
func (n *Node[R]) tick() {
	now := n.cfg.Clock.Now()
	passed := max(1, int(now.Sub(n.lastTick)/n.cfg.TickPeriod))
	n.lastTick = n.lastTick.Add(time.Duration(passed) * n.cfg.TickPeriod)
	for range min(passed, len(n.times)) {
		n.now++
		n.times[n.now%uint64(len(n.times))] = now
		n.core.Tick()
	}
	n.retry()
	n.repair()
}

func (n *Node[R]) step(m consensus.Message) {
	if err := n.core.Step(m); err != nil {
		n.refused++
	}
}

// take starts a call.
func (n *Node[R]) take(c call[R]) {
	if err := c.ctx.Err(); err != nil {
		c.answer(err)
		return
	}
	var index, term uint64
	var err error
	switch c.kind {
	case callRead:
		n.startRead(c)
		return
	case callPropose:
		index, term, err = n.core.Propose(c.data)
	case callHandover:
		_, err := n.core.Handover()
		c.answer(err)
		return
	case callChange:
		index, term, err = n.core.ProposeMembership(c.change)
	}
	if err != nil {
		c.answer(err)
		return
	}
	n.waiters[index] = waiter[R]{term, c}
}

// startRead asks for a read index; without a leader the read is tried again at
// the next tick. As many reads may wait as calls may be queued.
func (n *Node[R]) startRead(c call[R]) {
	if len(n.retries)+len(n.reads)+len(n.ready) >= cap(n.calls) {
		c.answer(consensus.ErrQueueFull)
		return
	}
	id := n.rnd.Uint64()
	err := n.core.ReadIndex(id)
	switch {
	case errors.Is(err, consensus.ErrNotLeader):
		n.retries = append(n.retries, c)
	case err != nil:
		c.answer(err)
	default:
		n.reads[id] = c
	}
}

// retry starts the reads again that found no leader or lost theirs.
func (n *Node[R]) retry() {
	retries := n.retries
	n.retries = nil
	for _, c := range retries {
		n.take(c)
	}
}

// process carries out what the Core asks for until there is nothing left.
func (n *Node[R]) process() error {
	for {
		rd := n.core.Ready()
		if rd.Empty() {
			n.dropWaiters()
			return nil
		}
		if err := n.carryOut(&rd); err != nil {
			return err
		}
		n.core.Advance()
		if err := n.compact(); err != nil {
			return err
		}
	}
}

// carryOut does the work of one Ready, in its documented order.
func (n *Node[R]) carryOut(rd *consensus.Ready) error {
	if !rd.Update.Empty() {
		if err := n.cfg.Storage.Save(rd.Update); err != nil {
			return errors.Wrap(ErrStorage, err.Error())
		}
		n.syncs++
	}
	for _, m := range rd.Messages {
		n.cfg.Transport.Send(m.To, m)
	}
	if rd.Install != nil {
		if err := n.restore(rd.Install); err != nil {
			return err
		}
	}
	for i := range rd.Committed {
		n.apply(&rd.Committed[i])
	}
	for _, r := range rd.Reads {
		n.handleRead(r)
	}
	n.answerReads()
	return nil
}

// apply carries out one committed entry and answers its proposer.
func (n *Node[R]) apply(e *consensus.Entry) {
	var o outcome[R]
	if e.Kind == consensus.EntryData {
		o.result = n.cfg.Machine.Apply(*e)
	}
	n.applied = e.Index
	n.bytes += len(e.Data)
	w, ok := n.waiters[e.Index]
	if !ok {
		return
	}
	delete(n.waiters, e.Index)
	if w.term != e.Term {
		o = outcome[R]{err: ErrSuperseded}
	}
	w.call.reply <- o
}

// handleRead notes the index of a read, or starts a dropped read again.
func (n *Node[R]) handleRead(r consensus.ReadState) {
	c, ok := n.reads[r.ID]
	if !ok {
		return
	}
	delete(n.reads, r.ID)
	if r.Dropped {
		n.retries = append(n.retries, c)
		return
	}
	n.ready = append(n.ready, readWait[R]{r.Index, c})
}

// answerReads answers the reads whose index is applied.
func (n *Node[R]) answerReads() {
	rest := n.ready[:0]
	for _, r := range n.ready {
		switch {
		case r.index <= n.applied:
			r.call.answer(nil)
		case r.call.ctx.Err() == nil:
			rest = append(rest, r)
		}
	}
	clear(n.ready[len(rest):])
	n.ready = rest
}

// dropWaiters answers the proposals of a node that no longer leads. Another
// leader may still commit them.
func (n *Node[R]) dropWaiters() {
	if len(n.waiters) == 0 || n.core.Leads() {
		return
	}
	for _, w := range n.waiters {
		w.call.answer(errors.Wrap(ErrOutcomeUnknown, "leadership lost"))
	}
	clear(n.waiters)
}

// compact takes a snapshot when enough was applied since the last one.
func (n *Node[R]) compact() error {
	if n.applied-n.snapIndex < n.cfg.SnapshotEntries && n.bytes < n.cfg.SnapshotBytes {
		return nil
	}
	data, err := n.cfg.Machine.Snapshot()
	if err != nil {
		return errors.Wrap(ErrStateMachine, err.Error())
	}
	if err := n.core.Compact(n.applied, data); err != nil {
		return err
	}
	n.snapIndex = n.applied
	n.bytes = 0
	return nil
}

// repair proposes the next change of a repair, on a leader.
func (n *Node[R]) repair() {
	if n.cfg.Repair == nil || !n.core.Leads() {
		return
	}
	if ch, ok := PlanRepair(n.core.Status(), *n.cfg.Repair); ok {
		// A refused change is planned again at the next tick.
		_, _, _ = n.core.ProposeMembership(ch)
	}
}

// publish makes the state visible to Status.
func (n *Node[R]) publish() {
	s := &Status{Status: n.core.Status(), Syncs: n.syncs, Refused: n.refused}
	if s.QuorumKnown && s.QuorumTicks < uint64(len(n.times)) && s.QuorumTicks <= n.now {
		s.QuorumAt = n.times[(n.now-s.QuorumTicks)%uint64(len(n.times))]
	} else {
		s.QuorumKnown = false
	}
	old := n.status.Swap(s)
	if old == nil || differs(&old.Status, &s.Status) {
		next := make(chan struct{})
		if last := n.changed.Swap(&next); last != nil {
			close(*last)
		}
	}
}

// differs reports whether a change is worth waking those who wait for one.
func differs(a, b *consensus.Status) bool {
	return a.Role != b.Role || a.Leader != b.Leader || a.Term != b.Term || a.Applied != b.Applied ||
		a.QuorumKnown != b.QuorumKnown || a.MembersPending != b.MembersPending || a.Removed != b.Removed ||
		!slices.Equal(a.Members, b.Members)
}

// failAll answers what is still open when the loop ends.
func (n *Node[R]) failAll() {
	for _, w := range n.waiters {
		w.call.answer(errors.Wrap(ErrOutcomeUnknown, "node stopped"))
	}
	for _, c := range n.reads {
		c.answer(ErrStopped)
	}
	for _, c := range n.retries {
		c.answer(ErrStopped)
	}
	for _, r := range n.ready {
		r.call.answer(ErrStopped)
	}
}

// answer ends a call without a result.
func (c *call[R]) answer(err error) {
	c.reply <- outcome[R]{err: err}
}
