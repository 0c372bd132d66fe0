package storage

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"magnoliastand.example/consensus"
	"magnoliastand.example/consensus/bootstrap"
)

// Report describes the contents of a storage directory, for operators.
type Report struct {
	Node      consensus.NodeID
	Binding   bootstrap.Binding
	HardState consensus.HardState
	// First and Last are the indexes of the stored entries, zero for none.
	First, Last uint64
	// Snapshot is nil when there is none.
	Snapshot *consensus.SnapshotMeta
	// Members is the latest membership on this disk, committed or not.
	Members []consensus.Member
	// FileBytes is the size of the database file.
	FileBytes int64
}

// Inspect verifies a directory and describes its contents. It changes nothing,
// not even the temporary files left by a crash. The node must be stopped. Errors
// are those of Open, and wrap ErrIO when there is no database.
func Inspect(dir string) (Report, error) {
	path := filepath.Join(dir, dbName)
	info, err := os.Stat(path)
	if err != nil {
		return Report{}, errors.Wrap(ErrIO, err.Error())
	}
	d, st, err := verifyDir(dir, path)
	if err != nil {
		return Report{}, err
	}
	return Report{
		Node: d.ident.Node, Binding: d.binding, HardState: d.meta.HardState,
		First: d.meta.First, Last: d.meta.Last, Snapshot: d.meta.Snapshot,
		Members: latestMembers(st), FileBytes: info.Size(),
	}, nil
}

// latestMembers returns the membership that a node with this state would use.
func latestMembers(st consensus.State) []consensus.Member {
	for i := len(st.Entries) - 1; i >= 0; i-- {
		if e := &st.Entries[i]; e.Kind == consensus.EntryMembership {
			return e.Members
		}
	}
	if st.Snapshot == nil {
		return nil
	}
	return st.Snapshot.Members
}
