package storage

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"magnoliastand.example/consensus"
)

// TestRandomDamageIsNeverSilent damages random bytes of each file. Open then
// either names the file or finds the very state that was stored, because the
// damage hit free space.
func TestRandomDamageIsNeverSilent(t *testing.T) {
	dir := filled(t)
	want := load(t, dir)
	files, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	rnd := rand.New(rand.NewPCG(11, 11))
	named := 0
	for _, f := range files {
		path := filepath.Join(dir, f.Name())
		whole, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for range 400 {
			bad := append([]byte(nil), whole...)
			damage(rnd, bad)
			if err := os.WriteFile(path, bad, fileMode); err != nil {
				t.Fatal(err)
			}
			got, err := tryLoad(dir)
			switch {
			case err != nil && !strings.Contains(err.Error(), f.Name()):
				t.Fatalf("error doesn't name %s: %v", f.Name(), err)
			case err != nil:
				named++
			case !reflect.DeepEqual(got, want):
				t.Fatalf("damage of %s changed the state silently: %+v", f.Name(), got)
			}
		}
		if err := os.WriteFile(path, whole, fileMode); err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("%d of %d damaged files were named, the others hold the same state", named, 400*len(files))
}

// damage flips a bit, or zeroes or scrambles a run of bytes.
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

func load(t *testing.T, dir string) consensus.State {
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

// TestLeftoversOfCrashes opens a folder after a crash between the file of a
// snapshot and its transaction, and after one between transaction and removal.
func TestLeftoversOfCrashes(t *testing.T) {
	dir := filled(t)
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
		t.Errorf("leftovers remain: %v, %v", files, err)
	}
}

// TestMemoryAgreesWithDisk gives the same random updates to both storages.
func TestMemoryAgreesWithDisk(t *testing.T) {
	rnd := rand.New(rand.NewPCG(5, 5))
	dir := t.TempDir()
	d, err := Open(dir)
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
			u.Snapshot = &consensus.Snapshot{SnapshotMeta: consensus.SnapshotMeta{Index: snap, Term: i + 1, Sum: 17241709254077376921}}
			u.KeepFrom = snap - min(snap, 3)
			u.Reset = rnd.IntN(2) == 0
			if u.Reset {
				u.Entries, u.KeepFrom = nil, snap
			}
		}
		if err := errors.Wrap(d.Save(u), "save"); err != nil {
			t.Fatal(err)
		}
		if err := m.Save(u); err != nil {
			t.Fatal(err)
		}
		got, err := d.Load()
		want, _ := m.Load()
		if err != nil || len(got.Entries) != len(want.Entries) || !reflect.DeepEqual(got.HardState, want.HardState) {
			t.Fatalf("update %d: disk %d entries, memory %d, error %v", i, len(got.Entries), len(want.Entries), err)
		}
		for j := range want.Entries {
			if !reflect.DeepEqual(got.Entries[j], want.Entries[j]) {
				t.Fatalf("update %d: disk %+v, memory %+v", i, got.Entries[j], want.Entries[j])
			}
		}
	}
}

func FuzzDecodeSnapshot(f *testing.F) {
	s := &consensus.Snapshot{Data: []byte("abc"), SnapshotMeta: consensus.SnapshotMeta{Index: 9, Term: 2, Size: 3}}
	b, err := encodeSnapshot(s)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add(b[:len(b)-1])
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := decodeSnapshot(b)
		if err == nil && s.Size != uint64(len(s.Data)) {
			t.Fatalf("size %d of %d bytes", s.Size, len(s.Data))
		}
	})
}

func FuzzUnseal(f *testing.F) {
	rec, err := seal(logKey, logMeta{HardState: consensus.HardState{Term: 3}, First: 1, Last: 2})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(rec)
	f.Fuzz(func(t *testing.T, b []byte) {
		var m logMeta
		if err := unseal(logKey, b, &m); err != nil && !errors.Is(err, ErrCorrupt) {
			t.Fatal(err)
		}
	})
}
