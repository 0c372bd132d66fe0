package storage

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/cespare/xxhash/v2"

	"magnoliastand.example/consensus"
)

// BenchmarkSave measures one durable update with a batch of entries.
func BenchmarkSave(b *testing.B) {
	for _, batch := range []int{1, 64, 512} {
		b.Run(fmt.Sprintf("entries=%d", batch), func(b *testing.B) {
			d, err := Open(b.TempDir())
			if err != nil {
				b.Fatal(err)
			}
			defer d.Close()
			data := make([]byte, 512)
			next := uint64(1)
			for b.Loop() {
				u := consensus.Update{HardState: &consensus.HardState{Term: 1}}
				for range batch {
					u.Entries = append(u.Entries, consensus.Entry{Index: next, Term: 1, Kind: consensus.EntryData, Data: data})
					next++
				}
				if next > 8192 {
					u.KeepFrom = next - 8192
				}
				save(b, d, u)
			}
			b.ReportMetric(float64(b.N*batch)/b.Elapsed().Seconds(), "entries/s")
		})
	}
}

// BenchmarkSnapshot measures saving a snapshot durably, by data size.
func BenchmarkSnapshot(b *testing.B) {
	for _, size := range []int{64 << 10, 1 << 20, 16 << 20} {
		b.Run(fmt.Sprintf("KiB=%d", size>>10), func(b *testing.B) {
			d, err := Open(b.TempDir())
			if err != nil {
				b.Fatal(err)
			}
			defer d.Close()
			data := make([]byte, size)
			b.SetBytes(int64(size))
			index := uint64(1)
			for b.Loop() {
				index++
				save(b, d, consensus.Update{Snapshot: &consensus.Snapshot{Data: data, SnapshotMeta: consensus.SnapshotMeta{
					Index: index, Term: 1, Size: uint64(size), Sum: xxhash.Sum64(data),
				}}})
			}
		})
	}
}

// heap returns the live heap in bytes, after garbage collection.
func heap() int64 {
	var m runtime.MemStats
	for range 3 {
		runtime.GC()
	}
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkOpen measures opening and loading a storage with 500 entries of 512
// bytes, and the heap that each entry takes.
func BenchmarkOpen(b *testing.B) {
	const count = 500
	dir := b.TempDir()
	fill(b, dir, count)
	before := heap()
	var kept consensus.State
	for b.Loop() {
		kept = load(b, dir)
	}
	b.ReportMetric(float64(heap()-before)/count, "heapB/entry")
	runtime.KeepAlive(kept)
}

func fill(b *testing.B, dir string, count uint64) {
	d, err := Open(dir)
	if err != nil {
		b.Fatal(err)
	}
	defer d.Close()
	u := consensus.Update{HardState: &consensus.HardState{Term: 1}}
	for i := range count {
		u.Entries = append(u.Entries, consensus.Entry{Index: i + 1, Term: 1, Kind: consensus.EntryData, Data: make([]byte, 512)})
	}
	save(b, d, u)
}
