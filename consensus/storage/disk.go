package storage

import (
	"crypto/rand"
	"encoding/binary"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"go.etcd.io/bbolt"

	"magnoliastand.example/consensus"
	"magnoliastand.example/consensus/bootstrap"
)

const (
	formatVersion = 1
	// lockTimeout is how long Open waits for another process to close the
	// directory.
	lockTimeout = time.Second
)

// Buckets and keys of the database.
var (
	metaBucket    = []byte("meta")
	entriesBucket = []byte("entries")
	identityKey   = []byte("identity")
	bindingKey    = []byte("binding")
	logKey        = []byte("log")
)

// Disk is a Storage in one directory.
type Disk struct {
	dir     string
	db      *bbolt.DB
	ident   identity
	binding bootstrap.Binding
	meta    logMeta
	// fail, if set by a test, makes writes fail.
	fail func(writePoint) error
}

// Open opens the storage in a directory, which it creates if it is missing. An
// empty directory gets a new node ID. The directory must hold no other files.
// Errors name the file and wrap ErrCorrupt, ErrUnrecognized, ErrLocked or ErrIO.
func Open(dir string) (*Disk, error) {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return nil, errors.Wrap(ErrIO, err.Error())
	}
	fresh, err := scanDir(dir)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, dbName)
	if fresh {
		if err := createDB(path); err != nil {
			return nil, err
		}
		if err := syncDir(dir); err != nil {
			return nil, err
		}
	}
	if _, _, err := verifyDir(dir, path); err != nil {
		return nil, err
	}
	db, err := openDB(path, false)
	if err != nil {
		return nil, err
	}
	d := &Disk{dir: dir, db: db}
	err = db.View(d.readMeta)
	if err == nil {
		err = d.removeOldSnapshots()
	}
	if err != nil {
		return nil, closeDB(db, err)
	}
	return d, nil
}

// closeDB closes a database. It returns err or, if that is nil, the error of
// closing.
func closeDB(db *bbolt.DB, err error) error {
	cerr := db.Close()
	switch {
	case err != nil:
		return err
	case cerr != nil:
		return errors.Wrap(ErrIO, cerr.Error())
	}
	return nil
}

// scanDir removes temporary files of interrupted writes, returns an error for
// files that this package doesn't write, and reports whether the database has to
// be created.
func scanDir(dir string) (fresh bool, err error) {
	files, err := os.ReadDir(dir)
	if err != nil {
		return false, errors.Wrap(ErrIO, err.Error())
	}
	var snap string
	fresh = true
	for _, f := range files {
		path := filepath.Join(dir, f.Name())
		switch name := f.Name(); {
		case f.IsDir():
			return false, errors.Wrap(ErrUnrecognized, path)
		case name == dbName:
			fresh = false
		case isSnapName(name):
			snap = path
		case isTemporary(name):
			if err := os.Remove(path); err != nil {
				return false, errors.Wrap(ErrIO, err.Error())
			}
		default:
			return false, errors.Wrap(ErrUnrecognized, path)
		}
	}
	if fresh && snap != "" {
		return false, errors.Wrapf(ErrCorrupt, "%s is missing, but %s exists", filepath.Join(dir, dbName), snap)
	}
	return fresh, nil
}

// isTemporary reports whether a name is that of a temporary file of this package.
func isTemporary(name string) bool {
	if filepath.Ext(name) != tmpSuffix {
		return false
	}
	base := name[:len(name)-len(tmpSuffix)]
	return base == dbName || isSnapName(base)
}

// createDB creates a database with a new identity under a temporary name and
// renames it, so that a file under the final name always holds its identity.
func createDB(path string) error {
	tmp := path + tmpSuffix
	db, err := bbolt.Open(tmp, fileMode, &bbolt.Options{PageSize: pageSize})
	if err != nil {
		return errors.Wrapf(ErrIO, "%s: %v", tmp, err)
	}
	err = db.Update(initDB)
	if cerr := db.Close(); err == nil {
		err = cerr
	}
	if err == nil {
		err = os.Rename(tmp, path)
	}
	if err != nil {
		return errors.Wrapf(ErrIO, "%s: %v", path, err)
	}
	return nil
}

func initDB(tx *bbolt.Tx) error {
	var raw [8]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return err
	}
	meta, err := tx.CreateBucket(metaBucket)
	if err != nil {
		return err
	}
	if _, err := tx.CreateBucket(entriesBucket); err != nil {
		return err
	}
	id := identity{Format: formatVersion, Node: consensus.NodeID(binary.BigEndian.Uint64(raw[:]) | 1)}
	if err := putRecord(meta, identityKey, id); err != nil {
		return err
	}
	if err := putRecord(meta, bindingKey, bootstrap.Binding{}); err != nil {
		return err
	}
	return putRecord(meta, logKey, logMeta{})
}

// putRecord stores v as a record with a checksum.
func putRecord(b *bbolt.Bucket, key []byte, v any) error {
	rec, err := encodeRecord(key, v)
	if err != nil {
		return err
	}
	return b.Put(key, rec)
}

// Node returns the node ID of the disk.
func (d *Disk) Node() consensus.NodeID { return d.ident.Node }

// Binding returns the stored binding.
func (d *Disk) Binding() bootstrap.Binding { return d.binding }

// Close closes the database and releases its lock.
func (d *Disk) Close() error {
	if err := d.db.Close(); err != nil {
		return errors.Wrapf(ErrIO, "%s: %v", d.db.Path(), err)
	}
	return nil
}

// SaveBinding stores a binding durably. Errors wrap ErrAlreadyBound or ErrIO.
func (d *Disk) SaveBinding(b bootstrap.Binding) error {
	if err := checkBinding(d.binding); err != nil {
		return err
	}
	var u consensus.Update
	if b.Phase == bootstrap.Formed {
		st := consensus.InitialState(b.Members)
		u = consensus.Update{HardState: &st.HardState, Snapshot: st.Snapshot}
	}
	if err := d.write(u, &b); err != nil {
		return err
	}
	d.binding = b
	return nil
}

// Save stores an update durably. Errors wrap ErrIO.
func (d *Disk) Save(u consensus.Update) error {
	return d.write(u, nil)
}
