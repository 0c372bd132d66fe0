// Package storage keeps the state of one consensus node on disk.
//
// Disk uses a bbolt database file and one file per snapshot, all in a dedicated
// directory. An update is synced to disk before Save returns without error. A
// new directory gets a new random node ID, which is stored only there.
//
// # Caller duties
//
//   - One process opens a directory at a time; a second one gets ErrLocked.
//   - After any error of Save or SaveBinding the node must stop and close the
//     storage: the state on disk is unknown until Reopen has returned without
//     error, or until the directory is opened by another process.
//   - A directory must never be restored from a backup while its cluster exists:
//     its node would forget votes and log entries that other nodes rely on.
//     Empty the directory instead.
//
// Errors of Open name the file: ErrCorrupt for missing, truncated or damaged
// files, and ErrUnrecognized for files that this package didn't write or that
// have another format version. Open neither resets nor repairs a file.
package storage

import (
	"github.com/pkg/errors"

	"magnoliastand.example/consensus"
	"magnoliastand.example/consensus/bootstrap"
)

// Errors of the storage.
var (
	// ErrCorrupt indicates a missing, truncated or damaged file.
	ErrCorrupt = errors.New("storage: corrupt file")
	// ErrUnrecognized indicates a file that this package didn't write, or one of
	// another format version.
	ErrUnrecognized = errors.New("storage: unrecognized file")
	// ErrLocked indicates that the directory is already open.
	ErrLocked = errors.New("storage: directory is locked")
	// ErrIO indicates a failed system call.
	ErrIO = errors.New("storage: I/O error")
	// ErrAlreadyBound is returned when a disk that belongs to a cluster would be
	// bound again.
	ErrAlreadyBound = errors.New("storage: disk already belongs to a cluster")
)

// Storage keeps the state of one node. It isn't safe for concurrent use.
type Storage interface {
	// Node returns the node ID of the disk.
	Node() consensus.NodeID
	// Binding returns the stored binding to a cluster.
	Binding() bootstrap.Binding
	// SaveBinding stores a binding durably. A Formed binding also stores the
	// initial state of the log, atomically.
	SaveBinding(b bootstrap.Binding) error
	// Load returns the stored state of the log.
	Load() (consensus.State, error)
	// Save stores an update durably and atomically.
	Save(u consensus.Update) error
	// Close releases the storage.
	Close() error
}

// checkBinding returns an error if the disk already belongs to a cluster.
func checkBinding(old bootstrap.Binding) error {
	if old.Bound() {
		return errors.Wrapf(ErrAlreadyBound, "phase %s, cluster %016x", old.Phase, uint64(old.Cluster))
	}
	return nil
}
