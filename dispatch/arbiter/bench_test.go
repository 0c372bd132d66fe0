package arbiter

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"magnoliastand.example/api"
	"magnoliastand.example/dispatch"
	"magnoliastand.example/dispatch/endpoint"
)

const benchSlots = 8

// benchArbiter returns an arbiter with five services, the given number of
// endpoints for each, and 190 teams.
func benchArbiter(b testing.TB, endpoints int) *Arbiter {
	var doc api.Document
	reg := endpoint.NewRegistry(endpoint.Options{Lease: time.Hour})
	for s := range 5 {
		name := fmt.Sprint("s", s)
		doc.Services = append(doc.Services, api.Service{
			Name:             name,
			SlotsPerEndpoint: benchSlots,
			LongestRun:       api.Duration(time.Minute),
			Queues:           []api.Queue{{Name: "q" + name, MaxQueued: 1 << 20, MaxWait: api.Duration(time.Hour)}},
		})
		for e := range endpoints {
			a := announce("1", benchSlots)
			a.Service = name
			mustAnnounce(b, reg, epoch, fmt.Sprint(name, "e", e), a)
		}
	}
	for i := range 190 {
		doc.Teams = append(doc.Teams, api.Team{Name: fmt.Sprint("t", i), Share: 1 + i%20})
	}
	return New(epoch, firstTermOptions(), NewConfig(doc), reg, unlimited{})
}

func benchAsk(i int) dispatch.Ask {
	return dispatch.Ask{
		RequestID: fmt.Sprintf("oita.1a2b3c4d.%08x", i),
		Origin:    testOrigin("entry"),
		Queue:     fmt.Sprint("qs", i%5),
		Team:      fmt.Sprint("t", i%190),
		Patience:  time.Hour,
	}
}

// BenchmarkFree measures a grant of a free slot and its release.
func BenchmarkFree(b *testing.B) {
	for _, endpoints := range []int{12, 200} {
		b.Run(fmt.Sprint(5*endpoints, "endpoints"), func(b *testing.B) {
			a := benchArbiter(b, endpoints)
			asks := make([]dispatch.Ask, 1024)
			for i := range asks {
				asks[i] = benchAsk(i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := epoch.Add(time.Duration(i) * time.Microsecond)
				evs := a.Ask(now, asks[i%len(asks)])
				a.Release(now, dispatch.Release{Grant: evs[0].(Granted).Grant.ID, Outcome: dispatch.OutcomeAnswered})
			}
		})
	}
}

// BenchmarkWaiting measures the release of a slot, its grant to a waiting ask and
// the queueing of a new ask, with all slots occupied and 10,000 asks waiting.
func BenchmarkWaiting(b *testing.B) {
	for _, endpoints := range []int{12, 200} {
		b.Run(fmt.Sprint(5*endpoints, "endpoints"), func(b *testing.B) {
			a := benchArbiter(b, endpoints)
			a.opts.MaxWaiting = 1 << 20
			var running []dispatch.GrantID
			next := 0
			ask := func(now time.Time) {
				next++
				for _, ev := range a.Ask(now, benchAsk(next)) {
					running = append(running, ev.(Granted).Grant.ID)
				}
			}
			for a.Stats().Waiting < 10_000 {
				ask(epoch)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := epoch.Add(time.Duration(i) * time.Microsecond)
				id := running[0]
				running = running[1:]
				evs := a.Release(now, dispatch.Release{Grant: id, Outcome: dispatch.OutcomeAnswered})
				for _, ev := range evs {
					running = append(running, ev.(Granted).Grant.ID)
				}
				ask(now)
			}
		})
	}
}

// maxWaitingBytes is the required bound of the memory per waiting ask.
const maxWaitingBytes = 4096

func TestMemoryPerWaitingAsk(t *testing.T) {
	const asks = 20_000
	a := benchArbiter(t, 1)
	a.opts.MaxWaiting = 1 << 20
	heap := func() uint64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	for i := range asks {
		a.Ask(epoch, benchAsk(i))
	}
	per := (heap() - before) / uint64(a.Stats().Waiting)
	t.Logf("%d bytes per waiting ask, its strings included", per)
	if per > maxWaitingBytes {
		t.Fatalf("%d bytes per waiting ask, bound %d", per, maxWaitingBytes)
	}
	runtime.KeepAlive(a)
}
