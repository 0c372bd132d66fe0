package record

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"magnoliastand.example/dispatch"
)

// BenchmarkKeeper begins and finishes ids in a caller's own form, as decoded
// from messages, and reports the memory that one id takes for the retention.
func BenchmarkKeeper(b *testing.B) {
	cfg := DefaultKeeperConfig()
	cfg.MaxEntries = b.N + 1
	k := NewKeeper(cfg, time.Time{})
	now := time.Now()
	before := heap()
	b.ReportAllocs()
	for i := range b.N {
		id := fmt.Sprintf("8e8f1c52-6f5b-4a55-9d0e-%012d", i)
		token := Token{Origin: dispatch.DaemonID{Name: strings.Clone("fukuoka-1"), Incarnation: strings.Clone("6a1b2c3d")}, Seq: uint64(i)}
		digest := append(Digest(nil), make([]byte, DigestBytes)...)
		k.Begin(BeginRequest{ID: id, Token: token, Digest: digest, Hold: time.Minute}, now)
		k.Finish(FinishRequest{ID: id, Token: token, Digest: digest, Result: ResultAnswered}, now)
	}
	b.StopTimer()
	b.ReportMetric(float64(heap()-before)/float64(b.N), "B/id")
	runtime.KeepAlive(k)
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func BenchmarkMintAndVerify(b *testing.B) {
	h := NewHome("za.fukuoka-1-6a1b2c3d", DefaultKeeperConfig())
	b.ReportAllocs()
	for b.Loop() {
		id, ok := ParseID(h.Mint(KindHanded))
		if !ok || !h.owns(id) {
			b.Fatal("own id does not verify")
		}
	}
}
