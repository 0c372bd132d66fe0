package record

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"magnoliastand.example/dispatch"
)

// BenchmarkStore begins and finishes caller-chosen ids as decoded from
// messages, and reports the memory that one id uses during the retention.
func BenchmarkStore(b *testing.B) {
	cfg := DefaultStoreConfig()
	cfg.MaxEntries = b.N + 1
	st := NewStore(cfg, time.Time{})
	now := time.Now()
	before := heapBytes()
	b.ReportAllocs()
	for i := range b.N {
		id := fmt.Sprintf("8e8f1c52-6f5b-4a55-9d0e-%012d", i)
		token := Token{Origin: dispatch.DaemonID{Name: strings.Clone("fukuoka-1"), Incarnation: strings.Clone("6a1b2c3d")}, Seq: uint64(i)}
		digest := append(Digest(nil), make([]byte, DigestBytes)...)
		st.Begin(BeginRequest{ID: id, Token: token, Digest: digest, Hold: time.Minute}, now)
		st.Finish(FinishRequest{ID: id, Token: token, Digest: digest, Result: ResultAnswered}, now)
	}
	b.StopTimer()
	b.ReportMetric(float64(heapBytes()-before)/float64(b.N), "B/id")
	runtime.KeepAlive(st)
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func BenchmarkMintAndVerify(b *testing.B) {
	h := NewHome("za.fukuoka-1-6a1b2c3d", DefaultStoreConfig())
	b.ReportAllocs()
	for b.Loop() {
		id, ok := ParseID(h.Mint(KindIssued))
		if !ok || !h.issued(id) {
			b.Fatal("issued id does not verify")
		}
	}
}
