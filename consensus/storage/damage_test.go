package storage

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"magnoliastand.example/consensus"
)

// TestRandomDamageIsNeverSilent damages random bytes of each file. Open must then
// either return an error that names the file, or load the state that was stored,
// because the damage hit free space.
func TestRandomDamageIsNeverSilent(t *testing.T) {
	dir := newPopulatedDir(t)
	want := load(t, dir)
	files, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	rnd := rand.New(rand.NewPCG(11, 11))
	reported := 0
	for _, f := range files {
		path := filepath.Join(dir, f.Name())
		original, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for range 400 {
			bad := append([]byte(nil), original...)
			damage(rnd, bad)
			if err := os.WriteFile(path, bad, fileMode); err != nil {
				t.Fatal(err)
			}
			got, err := tryLoad(dir)
			switch {
			case err != nil && !strings.Contains(err.Error(), f.Name()):
				t.Fatalf("error doesn't name %s: %v", f.Name(), err)
			case err != nil:
				reported++
			case !reflect.DeepEqual(got, want):
				t.Fatalf("damage to %s changed the state without an error: %+v", f.Name(), got)
			}
		}
		if err := os.WriteFile(path, original, fileMode); err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("%d of %d damaged files were reported by name, the others loaded the stored state", reported, 400*len(files))
}

// damage flips a bit, zeroes up to 512 bytes or randomizes up to 64 bytes.
func damage(rnd *rand.Rand, b []byte) {
	at := rnd.IntN(len(b))
	switch rnd.IntN(3) {
	case 0:
		b[at] ^= 1 << rnd.IntN(8)
	case 1:
		clear(b[at:min(len(b), at+512)])
	case 2:
		for i := at; i < min(len(b), at+64); i++ {
			b[i] = byte(rnd.Uint32())
		}
	}
}

func load(t testing.TB, dir string) consensus.State {
	t.Helper()
	st, err := tryLoad(dir)
	if err != nil {
		t.Fatal(err)
	}
	return st
}

func tryLoad(dir string) (consensus.State, error) {
	d, err := Open(dir)
	if err != nil {
		return consensus.State{}, err
	}
	st, err := d.Load()
	if cerr := d.Close(); err == nil {
		err = cerr
	}
	return st, err
}

// TestOpenRemovesCrashLeftovers opens a directory that holds the files left by a
// crash while a file is written, between writing a snapshot file and committing
// its transaction, and between the commit and the removal of the old snapshot.
func TestOpenRemovesCrashLeftovers(t *testing.T) {
	dir := newPopulatedDir(t)
	want := load(t, dir)
	old, err := os.ReadFile(filepath.Join(dir, snapName(4)))
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{snapName(3), snapName(9), snapName(9) + tmpSuffix, dbName + tmpSuffix} {
		if err := os.WriteFile(filepath.Join(dir, name), old, fileMode); err != nil {
			t.Fatal(err)
		}
	}
	if got := load(t, dir); !reflect.DeepEqual(got, want) {
		t.Errorf("state %+v, want %+v", got, want)
	}
	files, err := os.ReadDir(dir)
	if err != nil || len(files) != 2 {
		t.Errorf("files %v, error %v, want only the database and its snapshot", files, err)
	}
}

// TestMemoryAgreesWithDisk applies the same random updates to both storages and
// compares their states.
func TestMemoryAgreesWithDisk(t *testing.T) {
	rnd := rand.New(rand.NewPCG(5, 5))
	d, err := Open(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	m := NewMemory(d.Node(), Crash{})
	last, snap := uint64(0), uint64(0)
	for i := range uint64(200) {
		u := consensus.Update{HardState: &consensus.HardState{Term: i + 1}}
		from := max(snap, last-min(last, rnd.Uint64N(3)))
		for range rnd.IntN(4) {
			from++
			u.Entries = append(u.Entries, entries(i+1, from)...)
			last = from
		}
		if rnd.IntN(5) == 0 && last > snap {
			snap = last
			u.Snapshot = &consensus.Snapshot{SnapshotMeta: consensus.SnapshotMeta{Index: snap, Term: i + 1, Sum: xxhash.Sum64(nil)}}
			u.KeepFrom = snap - min(snap, 3)
			if u.Reset = rnd.IntN(2) == 0; u.Reset {
				u.Entries, u.KeepFrom = nil, snap
			}
		}
		save(t, d, u)
		_ = m.Save(u)
		got, err := d.Load()
		want, _ := m.Load()
		same := len(got.Entries) == 0 && len(want.Entries) == 0 || reflect.DeepEqual(got.Entries, want.Entries)
		if err != nil || !same || got.HardState != want.HardState {
			t.Fatalf("update %d: disk %+v, memory %+v, error %v", i, got, want, err)
		}
	}
}

// FuzzDecode decodes arbitrary bytes as a snapshot file and as a record.
func FuzzDecode(f *testing.F) {
	s := &consensus.Snapshot{Data: []byte("abc"), SnapshotMeta: consensus.SnapshotMeta{Index: 9, Term: 2, Size: 3}}
	file, err := encodeSnapshot(s)
	if err != nil {
		f.Fatal(err)
	}
	rec, err := encodeRecord(logKey, logMeta{HardState: consensus.HardState{Term: 3}, First: 1, Last: 2})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(file)
	f.Add(rec)
	f.Fuzz(func(t *testing.T, b []byte) {
		if s, err := decodeSnapshot(b); err == nil && s.Size != uint64(len(s.Data)) {
			t.Fatalf("metadata size %d, data %d bytes", s.Size, len(s.Data))
		}
		var m logMeta
		if err := decodeRecord(logKey, b, &m); err != nil && !errors.Is(err, ErrCorrupt) {
			t.Fatal(err)
		}
	})
}
