package storage

import (
	"bytes"
	"os"
	"path/filepath"
	"runtime/debug"

	"github.com/pkg/errors"
	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"

	"magnoliastand.example/consensus"
	"magnoliastand.example/consensus/bootstrap"
)

// openDB opens the database. With readOnly, bbolt reads pages only on behalf of
// a transaction, so that recoverCorruption catches the faults that a damaged
// file causes.
func openDB(path string, readOnly bool) (*bbolt.DB, error) {
	if err := checkMetaPages(path); err != nil {
		return nil, err
	}
	opts := &bbolt.Options{
		Timeout: lockTimeout, ReadOnly: readOnly,
		NoFreelistSync: true, FreelistType: bbolt.FreelistMapType,
	}
	var db *bbolt.DB
	err := recoverCorruption(path, func() (err error) {
		db, err = bbolt.Open(path, fileMode, opts)
		return err
	})
	switch {
	case errors.Is(err, bbolterrors.ErrTimeout):
		return nil, errors.Wrap(ErrLocked, path)
	case errors.Is(err, ErrCorrupt):
		return nil, err
	case err != nil:
		return nil, errors.Wrapf(ErrCorrupt, "%s: %v", path, err)
	}
	return db, nil
}

// verifyDir reads all records of a directory once, so that damage is detected at
// startup, before bbolt opens the file for writing. It returns the stored state;
// the returned Disk is closed.
func verifyDir(dir, path string) (*Disk, consensus.State, error) {
	db, err := openDB(path, true)
	if err != nil {
		return nil, consensus.State{}, err
	}
	d := &Disk{dir: dir, db: db}
	var st consensus.State
	err = closeDB(db, recoverCorruption(path, func() (err error) {
		st, err = d.verify()
		return err
	}))
	return d, st, err
}

// recoverCorruption runs do and converts panics and memory faults, which a
// damaged file can cause in bbolt, to an ErrCorrupt that names the file.
func recoverCorruption(path string, do func() error) (err error) {
	old := debug.SetPanicOnFault(true)
	defer debug.SetPanicOnFault(old)
	defer func() {
		if r := recover(); r != nil {
			err = errors.Wrapf(ErrCorrupt, "%s: %v", path, r)
		}
	}()
	return do()
}

// verify reads all records and returns the stored state.
func (d *Disk) verify() (consensus.State, error) {
	path := d.db.Path()
	err := d.db.View(func(tx *bbolt.Tx) error {
		info, err := os.Stat(path)
		if err != nil {
			return errors.Wrap(ErrIO, err.Error())
		}
		if info.Size() < tx.Size() {
			return errors.Wrapf(ErrCorrupt, "truncated from %d to %d bytes", tx.Size(), info.Size())
		}
		return d.readMeta(tx)
	})
	if err != nil {
		return consensus.State{}, errors.WithMessage(err, path)
	}
	return d.Load()
}

func (d *Disk) readMeta(tx *bbolt.Tx) error {
	meta := tx.Bucket(metaBucket)
	if meta == nil || tx.Bucket(entriesBucket) == nil || meta.Get(identityKey) == nil {
		return errors.Wrap(ErrUnrecognized, "identity record is missing")
	}
	if err := decodeRecord(identityKey, meta.Get(identityKey), &d.ident); err != nil {
		return err
	}
	if d.ident.Format != formatVersion {
		return errors.Wrapf(ErrUnrecognized, "unsupported format version %d, want %d", d.ident.Format, formatVersion)
	}
	d.binding = bootstrap.Binding{}
	if err := decodeRecord(bindingKey, meta.Get(bindingKey), &d.binding); err != nil {
		return err
	}
	d.meta = logMeta{}
	return decodeRecord(logKey, meta.Get(logKey), &d.meta)
}

// Load returns the stored state. Errors name the file and wrap ErrCorrupt,
// ErrUnrecognized or ErrIO.
func (d *Disk) Load() (consensus.State, error) {
	st := consensus.State{HardState: d.meta.HardState}
	err := d.db.View(func(tx *bbolt.Tx) (err error) {
		st.Entries, err = readEntries(tx.Bucket(entriesBucket), d.meta)
		return err
	})
	if err != nil {
		return consensus.State{}, errors.WithMessage(err, d.db.Path())
	}
	if d.meta.Snapshot != nil {
		st.Snapshot, err = d.readSnapshot(d.meta.Snapshot)
	}
	return st, err
}

// readEntries reads the entries and checks that their indexes are contiguous and
// match meta.
func readEntries(b *bbolt.Bucket, meta logMeta) ([]consensus.Entry, error) {
	var entries []consensus.Entry
	next := meta.First
	err := b.ForEach(func(k, v []byte) error {
		if !bytes.Equal(k, entryKey(next)) {
			return errors.Wrapf(ErrCorrupt, "found record with key %x, want entry %d", k, next)
		}
		var e consensus.Entry
		if err := decodeRecord(k, v, &e); err != nil {
			return err
		}
		if e.Index != next {
			return errors.Wrapf(ErrCorrupt, "found entry %d, want entry %d", e.Index, next)
		}
		entries = append(entries, e)
		next++
		return nil
	})
	if err != nil {
		return nil, err
	}
	if meta.First != 0 && next != meta.Last+1 {
		return nil, errors.Wrapf(ErrCorrupt, "log ends before entry %d, want last entry %d", next, meta.Last)
	}
	return entries, nil
}

func (d *Disk) readSnapshot(want *consensus.SnapshotMeta) (*consensus.Snapshot, error) {
	path := filepath.Join(d.dir, snapName(want.Index))
	b, err := os.ReadFile(filepath.Clean(path))
	if errors.Is(err, os.ErrNotExist) {
		return nil, errors.Wrapf(ErrCorrupt, "%s is missing", path)
	}
	if err != nil {
		return nil, errors.Wrap(ErrIO, err.Error())
	}
	s, err := decodeSnapshot(b)
	if err != nil {
		return nil, errors.WithMessage(err, path)
	}
	if s.Index != want.Index || s.Term != want.Term || s.Sum != want.Sum {
		return nil, errors.Wrapf(ErrCorrupt, "%s does not match the snapshot metadata in the log", path)
	}
	return s, nil
}
