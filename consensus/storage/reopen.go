package storage

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"go.etcd.io/bbolt"
)

// Reopen opens a directory whose storage was closed after a failed write. It
// first copies the database to a new file: after a failed sync, pages may be
// readable that are not on disk, and the node must not rely on them before they
// are. The copy fails while the disk is full. Errors are those of Open.
func Reopen(dir string) (*Disk, error) {
	fresh, err := scanDir(dir)
	if err != nil {
		return nil, err
	}
	if !fresh {
		if err := rewriteDB(filepath.Join(dir, dbName)); err != nil {
			return nil, err
		}
		if err := syncDir(dir); err != nil {
			return nil, err
		}
	}
	return Open(dir)
}

// rewriteDB replaces a database by a synced copy. The caller syncs the directory.
func rewriteDB(path string) error {
	db, err := openDB(path, true)
	if err != nil {
		return err
	}
	tmp := path + tmpSuffix
	err = closeDB(db, recoverCorruption(path, func() error { return copyDB(db, tmp) }))
	if err == nil {
		err = os.Rename(tmp, path)
	}
	if err != nil {
		_ = os.Remove(tmp) // frees the space; scanDir removes what is left
		if errors.Is(err, ErrCorrupt) {
			return err
		}
		return errors.Wrap(ErrIO, err.Error())
	}
	return nil
}

// copyDB writes a consistent copy of a database to a new file and syncs it.
func copyDB(db *bbolt.DB, path string) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return errors.Wrap(ErrIO, err.Error())
	}
	err = db.View(func(tx *bbolt.Tx) error {
		_, err := tx.WriteTo(f)
		return err
	})
	if err == nil {
		err = f.Sync()
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	return errors.Wrap(err, path)
}
