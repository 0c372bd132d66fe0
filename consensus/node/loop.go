package node

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"magnoliastand.example/consensus"
)

// run is the event loop of the node.
func (n *Node[R]) run() {
	ticks, stopTicks := n.cfg.Clock.NewTicker(n.cfg.TickPeriod)
	defer close(n.done)
	defer n.failPending()
	defer n.publishStopped() // before a caller learns of the failure
	defer stopTicks()
	for {
		select {
		case <-n.stop:
			return
		case <-ticks:
			n.drainQueues()
			n.tick()
		case m := <-n.inbox:
			n.step(m)
			n.drainQueues()
		case c := <-n.calls:
			n.startCall(c)
			n.drainQueues()
		}
		if err := n.handleAllReady(); err != nil {
			n.err = err
			return
		}
		n.publishStatus()
	}
}

// drainQueues handles further queued messages and calls, up to maxBatch, so that
// one storage sync covers all of them.
func (n *Node[R]) drainQueues() {
	for range maxBatch {
		select {
		case m := <-n.inbox:
			n.step(m)
		case c := <-n.calls:
			n.startCall(c)
		default:
			return
		}
	}
}

// tick advances the Core by the number of tick periods that have elapsed. After
// a pause of the process or a suspension of the machine that is more than one, so
// that a leader whose lease expired meanwhile steps down immediately.
func (n *Node[R]) tick() {
	now := n.cfg.Clock.Now()
	passed := max(1, int(now.Sub(n.lastTick)/n.cfg.TickPeriod))
	n.lastTick = n.lastTick.Add(time.Duration(passed) * n.cfg.TickPeriod)
	for range min(passed, len(n.tickTimes)) {
		n.tickCount++
		n.tickTimes[n.tickCount%uint64(len(n.tickTimes))] = now
		n.core.Tick()
	}
	n.retryReads()
	n.proposeRepair()
}

func (n *Node[R]) step(m consensus.Message) {
	if err := n.core.Step(m); err != nil {
		n.refusedMessages++
	}
}

// startCall passes a call to the Core. A proposal is answered when its entry has
// been applied.
func (n *Node[R]) startCall(c call[R]) {
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
		if c.term != 0 && c.term != n.core.Term() {
			c.answer(&consensus.NotLeaderError{})
			return
		}
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
	n.proposals[index] = pendingProposal[R]{term, c}
}

// startRead requests a read index. Without a known leader the read is retried at
// the next tick. The number of waiting reads is limited to the capacity of the
// call queue.
func (n *Node[R]) startRead(c call[R]) {
	if len(n.readRetries)+len(n.pendingReads)+len(n.confirmedReads) >= cap(n.calls) {
		c.answer(consensus.ErrQueueFull)
		return
	}
	id := n.rnd.Uint64()
	err := n.core.ReadIndex(id)
	switch {
	case errors.Is(err, consensus.ErrNotLeader):
		n.readRetries = append(n.readRetries, c)
	case err != nil:
		c.answer(err)
	default:
		n.pendingReads[id] = c
	}
}

// retryReads restarts the reads that found no leader or lost it before they were
// confirmed.
func (n *Node[R]) retryReads() {
	retries := n.readRetries
	n.readRetries = nil
	for _, c := range retries {
		n.startCall(c)
	}
}

// handleAllReady processes the output of the Core until there is none left.
func (n *Node[R]) handleAllReady() error {
	for {
		rd := n.core.Ready()
		if rd.Empty() {
			n.failProposals()
			return nil
		}
		if err := n.handleReady(&rd); err != nil {
			return err
		}
		n.core.Advance()
		if err := n.compactLog(); err != nil {
			return err
		}
	}
}

// handleReady processes one Ready in the order that consensus.Ready documents.
func (n *Node[R]) handleReady(rd *consensus.Ready) error {
	if !rd.Update.Empty() {
		if err := n.save(&rd.Update); err != nil {
			return err
		}
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

// save stores an update durably and measures how long that takes.
func (n *Node[R]) save(u *consensus.Update) error {
	start := n.cfg.Clock.Now()
	if err := n.cfg.Storage.Save(*u); err != nil {
		return errors.Wrap(ErrStorage, err.Error())
	}
	n.syncs++
	n.syncLatency = (syncWeight*n.syncLatency + n.cfg.Clock.Now().Sub(start)) / (syncWeight + 1)
	return nil
}

// apply applies one committed entry to the state machine and answers the call that
// proposed it. If the entry at that index is from another term, the proposal was
// superseded.
func (n *Node[R]) apply(e *consensus.Entry) {
	var o outcome[R]
	if e.Kind == consensus.EntryData {
		o.result = n.cfg.Machine.Apply(*e)
	}
	n.applied = e.Index
	n.bytesSinceSnapshot += len(e.Data)
	w, ok := n.proposals[e.Index]
	if !ok {
		return
	}
	delete(n.proposals, e.Index)
	if w.term != e.Term {
		o = outcome[R]{err: ErrSuperseded}
	}
	w.call.reply <- o
}

// handleRead records the index of a confirmed read, or queues a dropped read for
// a retry.
func (n *Node[R]) handleRead(r consensus.ReadState) {
	c, ok := n.pendingReads[r.ID]
	if !ok {
		return
	}
	delete(n.pendingReads, r.ID)
	if r.Dropped {
		n.readRetries = append(n.readRetries, c)
		return
	}
	n.confirmedReads = append(n.confirmedReads, confirmedRead[R]{r.Index, c})
}

// answerReads answers the reads whose index has been applied.
func (n *Node[R]) answerReads() {
	rest := n.confirmedReads[:0]
	for _, r := range n.confirmedReads {
		switch {
		case r.index <= n.applied:
			r.call.answer(nil)
		case r.call.ctx.Err() == nil:
			rest = append(rest, r)
		}
	}
	clear(n.confirmedReads[len(rest):])
	n.confirmedReads = rest
}

// failProposals fails the pending proposals of a node that is no longer leader.
// Their outcome is unknown, since another leader may still commit them.
func (n *Node[R]) failProposals() {
	if len(n.proposals) == 0 || n.core.Leads() {
		return
	}
	for _, w := range n.proposals {
		w.call.answer(errors.Wrap(ErrOutcomeUnknown, "leadership lost"))
	}
	clear(n.proposals)
}

// compactLog takes a snapshot and compacts the log once the entries applied since
// the last snapshot reach the configured count or size.
func (n *Node[R]) compactLog() error {
	if n.applied-n.snapshotIndex < n.cfg.SnapshotEntries && n.bytesSinceSnapshot < n.cfg.SnapshotBytes {
		return nil
	}
	data, err := n.cfg.Machine.Snapshot()
	if err != nil {
		return errors.Wrap(ErrStateMachine, err.Error())
	}
	if err := n.core.Compact(n.applied, data); err != nil {
		return err
	}
	n.snapshotIndex = n.applied
	n.bytesSinceSnapshot = 0
	return nil
}

// proposeRepair proposes the next membership change of a repair if this node is
// the leader.
func (n *Node[R]) proposeRepair() {
	if n.cfg.Repair == nil || !n.core.Leads() {
		return
	}
	if ch, ok := PlanRepair(n.core.Status(), *n.cfg.Repair); ok {
		// The error is ignored: a rejected change is planned again at the next tick.
		_, _, _ = n.core.ProposeMembership(ch)
	}
}

// publishStatus updates the copy that Status returns, and notifies the users of
// Changed if it differs.
func (n *Node[R]) publishStatus() {
	s := &Status{
		Status: n.core.Status(), Syncs: n.syncs, Refused: n.refusedMessages, SyncLatency: n.syncLatency,
		publishedAt: n.cfg.Clock.Now(),
	}
	if s.QuorumKnown && s.QuorumTicks < uint64(len(n.tickTimes)) && s.QuorumTicks <= n.tickCount {
		s.QuorumAt = n.tickTimes[(n.tickCount-s.QuorumTicks)%uint64(len(n.tickTimes))]
	} else {
		s.QuorumKnown = false
	}
	old := n.status.Swap(s)
	if old == nil || statusChanged(&old.Status, &s.Status) {
		n.notifyChanged()
	}
}

// publishStopped publishes that the event loop has terminated, so that nobody
// takes the node for the leader that it was.
func (n *Node[R]) publishStopped() {
	s := *n.status.Load()
	s.Role, s.Leader, s.QuorumKnown, s.Stopped = consensus.Follower, consensus.None, false, true
	n.status.Store(&s)
	n.notifyChanged()
}

// notifyChanged wakes the users of Changed.
func (n *Node[R]) notifyChanged() {
	next := make(chan struct{})
	if last := n.changed.Swap(&next); last != nil {
		close(*last)
	}
}

// statusChanged reports whether two states differ in a field that Changed covers.
func statusChanged(a, b *consensus.Status) bool {
	return a.Role != b.Role || a.Leader != b.Leader || a.Term != b.Term || a.Applied != b.Applied ||
		a.QuorumKnown != b.QuorumKnown || a.MembersPending != b.MembersPending || a.Removed != b.Removed ||
		!slices.Equal(a.Members, b.Members)
}

// failPending fails all pending calls when the event loop terminates.
func (n *Node[R]) failPending() {
	for _, w := range n.proposals {
		w.call.answer(errors.Wrap(ErrOutcomeUnknown, "node stopped"))
	}
	for _, c := range n.pendingReads {
		c.answer(ErrStopped)
	}
	for _, c := range n.readRetries {
		c.answer(ErrStopped)
	}
	for _, r := range n.confirmedReads {
		r.call.answer(ErrStopped)
	}
}

// answer completes a call with an error, or with nil and no result.
func (c *call[R]) answer(err error) {
	c.reply <- outcome[R]{err: err}
}
