package storage

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"magnoliastand.example/consensus"
)

// TestReopenAfterFailedWrite fails one write at each of its points. Reopen must
// find the state before the write or, if the write took effect, the state after
// it, and accept further writes.
func TestReopenAfterFailedWrite(t *testing.T) {
	data := []byte("a later state")
	updates := map[string]consensus.Update{
		"vote":    {HardState: &consensus.HardState{Term: 4, Vote: 7}},
		"entries": {HardState: &consensus.HardState{Term: 3, Vote: 8}, Entries: entries(3, 7, 8)},
		"snapshot": {KeepFrom: 6, Snapshot: &consensus.Snapshot{Data: data, SnapshotMeta: consensus.SnapshotMeta{
			Index: 6, Term: 3, Size: uint64(len(data)), Sum: xxhash.Sum64(data),
		}}},
	}
	for name, update := range updates {
		for point := range writePoints {
			if update.Snapshot == nil && point < beforeCommit {
				continue
			}
			t.Run(fmt.Sprintf("%s/%d", name, point), func(t *testing.T) {
				dir := newPopulatedDir(t)
				before, after := loadState(t, dir), loadAfter(t, dir, update)
				d, err := Open(dir)
				if err != nil {
					t.Fatal(err)
				}
				d.fail = func(p writePoint) error {
					if p == point {
						return errors.Wrap(ErrIO, "no space left on device")
					}
					return nil
				}
				if err := d.Save(update); !errors.Is(err, ErrIO) {
					t.Fatalf("error %v, want ErrIO", err)
				}
				node := d.Node()
				if err := d.Close(); err != nil {
					t.Fatal(err)
				}
				d, err = Reopen(dir)
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = d.Close() }()
				got, err := d.Load()
				want := before
				if point == afterCommit {
					want = after
				}
				if err != nil || d.Node() != node || !reflect.DeepEqual(got, want) {
					t.Errorf("state %+v, %v; want %+v", got, err, want)
				}
				save(t, d, update)
				if got, err = d.Load(); err != nil || !reflect.DeepEqual(got, after) {
					t.Errorf("after another write: state %+v, %v; want %+v", got, err, after)
				}
			})
		}
	}
}

// loadState returns the state in a directory.
func loadState(t *testing.T, dir string) consensus.State {
	t.Helper()
	d, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = d.Close() }()
	st, err := d.Load()
	if err != nil {
		t.Fatal(err)
	}
	return st
}

// loadAfter returns the state of a copy of a directory after an update.
func loadAfter(t *testing.T, original string, u consensus.Update) consensus.State {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "copy")
	if err := os.CopyFS(dir, os.DirFS(original)); err != nil {
		t.Fatal(err)
	}
	d, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	save(t, d, u)
	if err := d.Close(); err != nil {
		t.Fatal(err)
	}
	return loadState(t, dir)
}
