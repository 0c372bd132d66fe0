package storage

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"go.etcd.io/bbolt"

	"magnoliastand.example/consensus"
	"magnoliastand.example/consensus/bootstrap"
)

// write stores an update and, unless it is nil, a binding in one transaction. A
// snapshot file is synced before the transaction that refers to it.
func (d *Disk) write(u consensus.Update, b *bootstrap.Binding) error {
	if u.Snapshot != nil {
		if err := d.at(beforeSnapshot); err != nil {
			return err
		}
		if err := d.writeSnapshot(u.Snapshot); err != nil {
			return err
		}
		if err := d.at(afterSnapshot); err != nil {
			return err
		}
	}
	next := d.meta.withUpdate(&u)
	if err := d.at(beforeCommit); err != nil {
		return err
	}
	err := d.db.Update(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(metaBucket)
		if b != nil {
			if err := putRecord(meta, bindingKey, *b); err != nil {
				return err
			}
		}
		if err := writeEntries(tx.Bucket(entriesBucket), &u, d.meta, next); err != nil {
			return err
		}
		return putRecord(meta, logKey, next)
	})
	if err != nil {
		return errors.Wrapf(ErrIO, "%s: %v", d.db.Path(), err)
	}
	if err := d.at(afterCommit); err != nil {
		return err
	}
	d.meta = next
	if u.Snapshot != nil {
		return d.removeOldSnapshots()
	}
	return nil
}

// writePoint is a point of a write at which tests inject failures.
type writePoint uint8

const (
	beforeSnapshot writePoint = iota
	afterSnapshot
	beforeCommit
	afterCommit
	writePoints
)

// at returns the error that a test injects at a point of a write.
func (d *Disk) at(p writePoint) error {
	if d.fail == nil {
		return nil
	}
	return d.fail(p)
}

// withUpdate returns the metadata of the log after an update.
func (m logMeta) withUpdate(u *consensus.Update) logMeta {
	if u.HardState != nil {
		m.HardState = *u.HardState
	}
	if u.Snapshot != nil {
		meta := u.Snapshot.SnapshotMeta
		m.Snapshot = &meta
	}
	if u.Reset {
		m.First, m.Last = 0, 0
	}
	if n := len(u.Entries); n > 0 {
		if m.First == 0 || u.Entries[0].Index < m.First {
			m.First = u.Entries[0].Index
		}
		m.Last = u.Entries[n-1].Index
	}
	if m.First != 0 {
		m.First = max(m.First, u.KeepFrom)
	}
	if m.First > m.Last {
		m.First, m.Last = 0, 0
	}
	return m
}

// writeEntries deletes the entries that an update truncates or compacts, and
// stores its new entries.
func writeEntries(b *bbolt.Bucket, u *consensus.Update, old, next logMeta) error {
	for i := old.First; i != 0 && i <= old.Last; i++ {
		if next.First != 0 && i >= next.First && i <= next.Last && !u.Reset {
			i = next.Last
			continue
		}
		if err := b.Delete(entryKey(i)); err != nil {
			return err
		}
	}
	for i := range u.Entries {
		e := &u.Entries[i]
		if e.Index < next.First {
			continue
		}
		if err := putRecord(b, entryKey(e.Index), e); err != nil {
			return err
		}
	}
	return nil
}

func (d *Disk) writeSnapshot(s *consensus.Snapshot) error {
	b, err := encodeSnapshot(s)
	if err != nil {
		return err
	}
	if err := writeFile(filepath.Join(d.dir, snapName(s.Index)), b); err != nil {
		return err
	}
	return syncDir(d.dir)
}

// removeOldSnapshots removes the snapshot files that the database doesn't refer
// to.
func (d *Disk) removeOldSnapshots() error {
	files, err := os.ReadDir(d.dir)
	if err != nil {
		return errors.Wrap(ErrIO, err.Error())
	}
	for _, f := range files {
		if !isSnapName(f.Name()) || d.meta.Snapshot != nil && f.Name() == snapName(d.meta.Snapshot.Index) {
			continue
		}
		if err := os.Remove(filepath.Join(d.dir, f.Name())); err != nil {
			return errors.Wrap(ErrIO, err.Error())
		}
	}
	return nil
}
