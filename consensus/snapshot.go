package consensus

import (
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// snapshotTransfer assembles the chunks of a snapshot on a follower.
type snapshotTransfer struct {
	meta SnapshotMeta
	data []byte
}

// Compact creates a snapshot from the state of the caller's state machine after
// the entry at index, which must be applied and newer than the last snapshot. The
// next Ready persists the snapshot. Entries that it covers are discarded, except
// for the last TrailEntries within TrailBytes. Errors wrap ErrBadState or
// ErrTooLarge.
func (c *Core) Compact(index uint64, data []byte) error {
	c.assertNoOpenReady()
	if index > c.log.applied || index <= c.log.snap.Index {
		return errors.Wrapf(ErrBadState, "snapshot at index %d, applied index %d, last snapshot at %d", index, c.log.applied, c.log.snap.Index)
	}
	if uint64(len(data)) > c.cfg.MaxSnapshotBytes {
		return errors.Wrapf(ErrTooLarge, "snapshot of %d bytes", len(data))
	}
	s := &Snapshot{Data: data, SnapshotMeta: SnapshotMeta{
		Index: index, Term: c.log.term(index), Members: c.log.membersAt(index),
		Size: uint64(len(data)), Sum: xxhash.Sum64(data),
	}}
	c.log.compact(s, c.cfg.TrailEntries, c.cfg.TrailBytes)
	c.out.snapshot = s
	c.out.keepFrom = c.log.base
	return nil
}

// sendChunk sends the next snapshot chunk unless one is unacknowledged.
func (c *Core) sendChunk(id NodeID, p *progress) {
	if p.waiting {
		return
	}
	p.markWaiting(c.now)
	end := min(p.offset+uint64(c.cfg.ChunkBytes), p.snap.Size)
	c.send(Message{
		Type: MsgSnapshot, To: id, Index: p.snap.Index, Round: c.round, Tick: c.now,
		Chunk: &Chunk{Meta: p.snap.SnapshotMeta, Offset: p.offset, Data: p.snap.Data[p.offset:end]},
	})
}

// handleSnapshot stores a chunk and installs the snapshot once it is complete.
func (c *Core) handleSnapshot(m *Message) {
	ch := m.Chunk
	if ch.Meta.Index <= c.log.commit {
		c.incoming = nil
		c.send(Message{Type: MsgAppendResp, To: m.From, Index: c.log.commit, Round: m.Round, Tick: m.Tick})
		return
	}
	c.addChunk(ch)
	t := c.incoming
	if uint64(len(t.data)) == t.meta.Size && c.installSnapshot(t) {
		c.send(Message{Type: MsgAppendResp, To: m.From, Index: c.log.commit, Round: m.Round, Tick: m.Tick})
		return
	}
	offset := uint64(0)
	if c.incoming != nil {
		offset = uint64(len(c.incoming.data))
	}
	c.send(Message{Type: MsgSnapshotResp, To: m.From, Index: ch.Meta.Index, Offset: offset, Round: m.Round, Tick: m.Tick})
}

// addChunk appends a chunk that continues the current transfer. A chunk of another
// snapshot starts a new transfer.
func (c *Core) addChunk(ch *Chunk) {
	t := c.incoming
	if t == nil || t.meta.Index != ch.Meta.Index || t.meta.Sum != ch.Meta.Sum || t.meta.Size != ch.Meta.Size {
		t = &snapshotTransfer{meta: ch.Meta}
		c.incoming = t
	}
	if ch.Offset == uint64(len(t.data)) && t.meta.Size <= c.cfg.MaxSnapshotBytes {
		t.data = append(t.data, ch.Data...)
	}
}

// installSnapshot replaces the log with a complete snapshot, or keeps the log if
// it already holds the last entry that the snapshot covers. It returns false if
// the checksum does not match.
func (c *Core) installSnapshot(t *snapshotTransfer) bool {
	c.incoming = nil
	if xxhash.Sum64(t.data) != t.meta.Sum {
		return false
	}
	if c.log.holds(t.meta.Index) && c.log.term(t.meta.Index) == t.meta.Term {
		c.log.commitTo(t.meta.Index)
		return true
	}
	s := &Snapshot{SnapshotMeta: t.meta, Data: t.data}
	c.log.restore(s)
	c.out.snapshot = s
	c.out.reset = true
	c.out.keepFrom = s.Index
	return true
}

// handleSnapshotResp continues a transfer. After a response without progress the
// next chunk is sent only once the current one is considered lost, so that a
// member that cannot store the snapshot does not cause a busy loop.
func (c *Core) handleSnapshotResp(p *progress, m *Message) {
	if p.state != transferring || m.Index != p.snap.Index || m.Offset > p.snap.Size {
		return
	}
	if m.Offset > p.offset {
		p.waiting = false
	}
	p.offset = m.Offset
}
