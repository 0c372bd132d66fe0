// Package storage keeps the state of one consensus node on disk.
//
// Disk is backed by one bbolt file and one file for each snapshot, all in a
// folder of its own. Everything that Save returns success for is synced. A new
// folder gets a new random node ID; the ID lives and dies with the folder.
//
// # Caller duties
//
//   - One process opens a folder at a time; a second one gets ErrLocked.
//   - After any error of Save or SaveBinding the node must stop: what is on
//     disk is then unknown until the folder is opened again.
//   - A folder is never copied back from a backup while its cluster lives: its
//     node would forget promises it has made. Empty the folder instead.
//
// Errors at Open name the file: ErrCorrupt for torn or damaged files, ErrForeign
// for files that this package didn't write. Nothing is reset or repaired.
package storage

import (
	"github.com/pkg/errors"

	"magnoliastand.example/consensus"
	"magnoliastand.example/consensus/bootstrap"
)

// Errors of the storage.
var (
	// ErrCorrupt tells that a file is torn or damaged.
	ErrCorrupt = errors.New("storage: corrupt file")
	// ErrForeign tells that a file doesn't belong to this storage.
	ErrForeign = errors.New("storage: foreign file")
	// ErrLocked tells that another process uses the folder.
	ErrLocked = errors.New("storage: folder in use")
	// ErrIO tells that the operating system failed a call.
	ErrIO = errors.New("storage: input or output failed")
	// ErrNotEmpty tells that a node that holds a log can't be bound again.
	ErrNotEmpty = errors.New("storage: disk belongs to a cluster already")
)

// Storage keeps the state of one node. It isn't safe for concurrent use.
type Storage interface {
	// Node returns the identity of the disk.
	Node() consensus.NodeID
	// Binding returns the stored binding to a cluster.
	Binding() bootstrap.Binding
	// SaveBinding stores a binding durably. A Formed binding also stores the
	// initial state of the log, in the same step.
	SaveBinding(b bootstrap.Binding) error
	// Load returns the stored state of the log.
	Load() (consensus.State, error)
	// Save stores an update durably, all of it or nothing.
	Save(u consensus.Update) error
	// Close releases the storage.
	Close() error
}

// checkBinding refuses to bind a disk that belongs to a cluster.
func checkBinding(old bootstrap.Binding) error {
	if old.Bound() {
		return errors.Wrapf(ErrNotEmpty, "%s to cluster %016x", old.Phase, uint64(old.Cluster))
	}
	return nil
}
