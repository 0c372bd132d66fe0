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

// openDB opens the database. With readOnly it reads no page but on behalf of a
// transaction, so that guard can catch what a damaged file causes.
func openDB(path string, readOnly bool) (*bbolt.DB, error) {
	if err := checkHeads(path); err != nil {
		return nil, err
	}
	opts := &bbolt.Options{
		Timeout: lockTimeout, ReadOnly: readOnly,
		NoFreelistSync: true, FreelistType: bbolt.FreelistMapType,
	}
	var db *bbolt.DB
	err := guard(path, func() (err error) {
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

// verifyFile reads all records of a folder once, so that damage shows at start
// and before the database library uses the file on its own. It returns what the
// folder holds; the returned Disk is closed.
func verifyFile(dir, path string) (*Disk, consensus.State, error) {
	db, err := openDB(path, true)
	if err != nil {
		return nil, consensus.State{}, err
	}
	d := &Disk{dir: dir, db: db}
	var st consensus.State
	err = closeAfter(db, guard(path, func() (err error) {
		st, err = d.verify()
		return err
	}))
	return d, st, err
}

// guard runs do and turns panics and memory faults, which a damaged file can
// cause in the database library, into ErrCorrupt naming the file.
func guard(path string, do func() error) (err error) {
	old := debug.SetPanicOnFault(true)
	defer debug.SetPanicOnFault(old)
	defer func() {
		if r := recover(); r != nil {
			err = errors.Wrapf(ErrCorrupt, "%s: %v", path, r)
		}
	}()
	return do()
}

// verify reads all records.
func (d *Disk) verify() (consensus.State, error) {
	path := d.db.Path()
	err := d.db.View(func(tx *bbolt.Tx) error {
		info, err := os.Stat(path)
		if err != nil {
			return errors.Wrap(ErrIO, err.Error())
		}
		if info.Size() < tx.Size() {
			return errors.Wrapf(ErrCorrupt, "cut from %d to %d bytes", tx.Size(), info.Size())
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
		return errors.Wrap(ErrForeign, "no identity")
	}
	if err := unseal(identityKey, meta.Get(identityKey), &d.ident); err != nil {
		return err
	}
	if d.ident.Format != formatVersion {
		return errors.Wrapf(ErrForeign, "format version %d, want %d", d.ident.Format, formatVersion)
	}
	d.binding = bootstrap.Binding{}
	if err := unseal(bindingKey, meta.Get(bindingKey), &d.binding); err != nil {
		return err
	}
	d.meta = logMeta{}
	return unseal(logKey, meta.Get(logKey), &d.meta)
}

// Load returns the stored state. Errors name the file and wrap ErrCorrupt,
// ErrForeign or ErrIO.
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

// readEntries reads the entries and checks that none is missing.
func readEntries(b *bbolt.Bucket, meta logMeta) ([]consensus.Entry, error) {
	var entries []consensus.Entry
	next := meta.First
	err := b.ForEach(func(k, v []byte) error {
		if !bytes.Equal(k, entryKey(next)) {
			return errors.Wrapf(ErrCorrupt, "record %x in place of entry %d", k, next)
		}
		var e consensus.Entry
		if err := unseal(k, v, &e); err != nil {
			return err
		}
		if e.Index != next {
			return errors.Wrapf(ErrCorrupt, "entry %d in place of entry %d", e.Index, next)
		}
		entries = append(entries, e)
		next++
		return nil
	})
	if err != nil {
		return nil, err
	}
	if meta.First != 0 && next != meta.Last+1 {
		return nil, errors.Wrapf(ErrCorrupt, "entries end before %d, want %d", next, meta.Last)
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
		return nil, errors.Wrapf(ErrCorrupt, "%s isn't the snapshot that the log refers to", path)
	}
	return s, nil
}
