package storage

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"magnoliastand.example/consensus"
	"magnoliastand.example/consensus/bootstrap"
)

// newPopulatedDir returns the directory of a closed storage with a formed
// binding, a snapshot and entries.
func newPopulatedDir(t testing.TB) string {
	t.Helper()
	dir := t.TempDir()
	d, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	members := []consensus.Member{{ID: d.Node(), Name: "a", Voter: true}}
	b := bootstrap.Binding{Phase: bootstrap.Formed, Cluster: 9, Members: members}
	if err := d.SaveBinding(b); err != nil {
		t.Fatal(err)
	}
	data := []byte("state of the machine")
	s := &consensus.Snapshot{Data: data, SnapshotMeta: consensus.SnapshotMeta{
		Index: 4, Term: 2, Members: members, Size: uint64(len(data)), Sum: xxhash.Sum64(data),
	}}
	save(t, d, consensus.Update{HardState: &consensus.HardState{Term: 2}, Entries: entries(2, 2, 3, 4, 5, 6)})
	save(t, d, consensus.Update{Snapshot: s, KeepFrom: 3})
	save(t, d, consensus.Update{HardState: &consensus.HardState{Term: 3, Vote: 8}, Entries: entries(3, 6, 7)})
	if err := d.Close(); err != nil {
		t.Fatal(err)
	}
	return dir
}

func save(t testing.TB, d *Disk, u consensus.Update) {
	t.Helper()
	if err := d.Save(u); err != nil {
		t.Fatal(err)
	}
}

func entries(term uint64, indexes ...uint64) []consensus.Entry {
	var es []consensus.Entry
	for _, i := range indexes {
		es = append(es, consensus.Entry{Index: i, Term: term, Kind: consensus.EntryData, Data: bytes.Repeat([]byte{byte(i)}, 300)})
	}
	return es
}

func TestDiskKeepsState(t *testing.T) {
	dir := newPopulatedDir(t)
	r, err := Inspect(dir)
	if err != nil || r.First != 3 || r.Last != 7 || r.Binding.Cluster != 9 || len(r.Members) != 1 || r.Members[0].ID != r.Node {
		t.Errorf("report %+v, %v", r, err)
	}
	d, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	st, err := d.Load()
	if err != nil {
		t.Fatal(err)
	}
	if st.HardState != (consensus.HardState{Term: 3, Vote: 8}) || st.Snapshot.Index != 4 || d.Binding().Cluster != 9 {
		t.Errorf("state %+v, binding %+v", st.HardState, d.Binding())
	}
	var got []uint64
	for _, e := range st.Entries {
		got = append(got, e.Index*10+e.Term)
	}
	if want := []uint64{32, 42, 52, 63, 73}; len(got) != len(want) || got[0] != want[0] || got[4] != want[4] {
		t.Errorf("entries %v, want %v (index and term)", got, want)
	}
	if err := d.SaveBinding(bootstrap.Binding{Phase: bootstrap.Promised, Cluster: 10}); !errors.Is(err, ErrAlreadyBound) {
		t.Errorf("second binding: %v", err)
	}
	if _, err := Open(dir); !errors.Is(err, ErrLocked) {
		t.Errorf("second open: %v", err)
	}
	other, err := Open(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	if d.Node() == other.Node() || d.Node() == consensus.None {
		t.Errorf("identities %x and %x", d.Node(), other.Node())
	}
}

// TestOpenNamesDamagedFile damages, removes or adds one file in various ways.
// Open must return the right error, and it must name the file.
func TestOpenNamesDamagedFile(t *testing.T) {
	snap := snapName(4)
	cases := []struct {
		name, file string
		damage     func(path string) error
		want       error
	}{
		{"snapshot bit flip", snap, flipBit(60), ErrCorrupt},
		{"snapshot truncated", snap, truncate(30), ErrCorrupt},
		{"snapshot empty", snap, truncate(0), ErrCorrupt},
		{"snapshot missing", snap, os.Remove, ErrCorrupt},
		{"snapshot unrecognized", snap, overwrite("#!/bin/sh\necho this is no snapshot\n"), ErrUnrecognized},
		{"log missing", dbName, os.Remove, ErrCorrupt},
		{"log empty", dbName, truncate(0), ErrCorrupt},
		{"log truncated", dbName, truncate(3 * 4096), ErrCorrupt},
		{"log unrecognized", dbName, overwrite(strings.Repeat("something else ", 4096)), ErrUnrecognized},
		{"unrecognized file", "notes.txt", overwrite("hello"), ErrUnrecognized},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			dir := newPopulatedDir(t)
			path := filepath.Join(dir, tc.file)
			if err := tc.damage(path); err != nil {
				t.Fatal(err)
			}
			_, err := Open(dir)
			if !errors.Is(err, tc.want) || !strings.Contains(err.Error(), tc.file) {
				t.Errorf("error %v, want %v naming %s", err, tc.want, tc.file)
			}
		})
	}
}

func flipBit(offset int) func(string) error {
	return func(path string) error {
		b, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		b[offset] ^= 1
		return os.WriteFile(path, b, fileMode)
	}
}

func truncate(size int64) func(string) error {
	return func(path string) error { return os.Truncate(path, size) }
}

func overwrite(text string) func(string) error {
	return func(path string) error { return os.WriteFile(path, []byte(text), fileMode) }
}
