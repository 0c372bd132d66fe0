package control

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"magnoliastand.example/api"
	"magnoliastand.example/quota"
)

// Expected sizes of a deployment within two years. Workers are not part of the
// control state.
const (
	largePools    = 110
	largeTeams    = 190
	largeZones    = 21
	largeDaemons  = 63
	changesPerDay = 6_400
)

func largeDocument() api.Document {
	doc := api.Document{Name: "large"}
	for i := range largeZones {
		doc.AvailabilityZones = append(doc.AvailabilityZones, api.AvailabilityZone{Name: fmt.Sprintf("zone-%02d", i), Region: fmt.Sprintf("region-%d", i/3)})
	}
	for i := range largePools {
		pool, service := fmt.Sprintf("pool-%03d", i), fmt.Sprintf("service-%03d", i)
		doc.Pools = append(doc.Pools, api.Pool{Name: pool, MinInstances: 4, MaxInstances: 40, Spare: i == 0})
		doc.Budgets = append(doc.Budgets, api.Budget{Scope: api.ScopePool, Name: pool, MaxUnavailable: 2})
		doc.Services = append(doc.Services, api.Service{
			Name: service, Pool: pool, SlotsPerEndpoint: 8, ConnectionsPerEndpoint: 64, LongestRun: api.Duration(30 * time.Second),
			Queues: []api.Queue{
				{Name: service + "-quick", Objective: &api.QueueObjective{Latency: api.Duration(time.Second), Ratio: 0.99}},
				{Name: service + "-long", Class: api.ClassLong, Idempotent: true},
			},
		})
	}
	for i := range largeTeams {
		doc.Teams = append(doc.Teams, api.Team{Name: fmt.Sprintf("team-%d", i), Share: 1 + i%9, Limit: 100})
	}
	doc.Objective = api.Objective{BufferCost: 1, RollOutTime: 2, Moves: 1, ShareError: 4}
	return doc
}

// largeState returns a state of the expected size, with allotments in all zones.
func largeState() *State {
	s := New(testCluster, Options{})
	applyAll(s, applyDocumentCommand("doc", 0, largeDocument()))
	for i := range largeDaemons {
		applyAll(s, &Command{RegisterDaemon: &RegisterDaemon{Name: fmt.Sprintf("entry-%d", i), Incarnation: "incarnation-1", Zone: fmt.Sprintf("zone-%02d", i%largeZones), Address: "10.0.0.1:7000"}})
	}
	var allot quota.Command
	for z := range largeZones {
		zone := fmt.Sprintf("zone-%02d", z)
		applyAll(s, &Command{AssignArbiter: &AssignArbiter{Zone: zone, Daemon: fmt.Sprintf("entry-%d", z), Incarnation: "incarnation-1", Term: 1}})
		for t := range largeTeams {
			allot.Grants = append(allot.Grants, quota.Grant{Zone: zone, Term: 1, Team: fmt.Sprintf("team-%d", t), Units: 4})
		}
	}
	applyAll(s, &Command{Allot: &allot})
	for i := range 2 * largeTeams {
		k := testKey(i)
		applyAll(s, grantKeyCommand("grant-"+k.ID, fmt.Sprintf("team-%d", i%largeTeams), k))
	}
	return s
}

// applyChange applies the n-th change of a day: mostly key changes, and a new
// document every tenth time.
func applyChange(s *State, n int) Result {
	k := testKey(n % (2 * largeTeams))
	op := fmt.Sprintf("change-%d", n)
	fresh := testKey(1_000 + n)
	team := fmt.Sprintf("team-%d", n%largeTeams)
	c := withdrawKeyCommand(op, k.ID)
	switch {
	case n%10 == 0:
		doc := largeDocument()
		doc.Teams[n%largeTeams].Limit += n
		c = applyDocumentCommand(op, s.docVersion, doc)
	case n%2 == 1:
		c = grantKeyCommand(op, team, fresh)
	}
	c.At = time.Duration(n) * 13 * time.Second
	return applyAll(s, c)
}

func BenchmarkAuthorize(b *testing.B) {
	s := largeState()
	v := s.View()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if _, err := v.Authorize(testKeys[i%len(testKeys)]); err != nil {
			b.Fatal(err)
		}
	}
}

var testKeys = func() []string {
	texts := make([]string, 2*largeTeams)
	for i := range texts {
		texts[i] = testKey(i).Text
	}
	return texts
}()

func BenchmarkSnapshot(b *testing.B) {
	s := largeState()
	var snap []byte
	for b.Loop() {
		snap, _ = s.Snapshot()
	}
	b.ReportMetric(float64(len(snap)), "snapshot-bytes")
}

func BenchmarkRestoreAfter500Changes(b *testing.B) {
	s := largeState()
	for n := range 500 {
		applyChange(s, n)
	}
	snap, err := s.Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if err := New(testCluster, Options{}).Restore(snap); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(snap)), "snapshot-bytes")
}

func BenchmarkApplyDayOfChanges(b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		s := largeState()
		b.StartTimer()
		for n := range changesPerDay {
			applyChange(s, n)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*changesPerDay), "us/change")
}

// BenchmarkDelta measures the transfer of a delta from the leader's state to a
// daemon's view: creating, encoding, decoding and applying it.
func BenchmarkDelta(b *testing.B) {
	limits := largeDocument()
	limits.Teams[7].Limit++
	for name, cmd := range map[string]*Command{
		"key":        grantKeyCommand("g", "team-0", testKey(9_999)),
		"team-limit": applyDocumentCommand("d", 1, limits),
	} {
		b.Run(name, func(b *testing.B) {
			s := largeState()
			applyAll(s, withdrawKeyCommand("w", testKey(0).ID))
			before := s.View()
			applyAll(s, cmd)
			var wire []byte
			for b.Loop() {
				wire, _ = EncodeDelta(s.Delta(before.Version()))
				d, err := DecodeDelta(wire)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := before.ApplyDelta(d); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(wire)), "wire-bytes")
		})
	}
}

// BenchmarkViewMemory measures the heap size of a view.
func BenchmarkViewMemory(b *testing.B) {
	wire, err := EncodeDelta(largeState().View().FullDelta())
	if err != nil {
		b.Fatal(err)
	}
	const copies = 20
	var held uint64
	for b.Loop() {
		views := make([]*View, copies)
		before := heapBytes()
		for i := range views {
			d, _ := DecodeDelta(wire)
			views[i], _ = NewView(testCluster).ApplyDelta(d)
		}
		held = (heapBytes() - before) / copies
		runtime.KeepAlive(views)
	}
	b.ReportMetric(float64(held), "bytes/view")
	b.ReportMetric(float64(len(wire)), "wire-bytes")
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkRenewalExchange measures the bytes that an arbiter and the leader exchange
// per round: in the first round, and later while the demand of ten teams changes.
func BenchmarkRenewalExchange(b *testing.B) {
	s := largeState()
	bal := quota.NewBalancer(1)
	h := quota.NewHolder("zone-01", 1, quota.DefaultBounds(), func() time.Duration { return 0 })
	first, steady := 0, 0
	for n := 0; b.Loop(); n++ {
		for t := range 10 {
			h.SetWaiting(fmt.Sprintf("team-%d", t), int64(n%2))
		}
		d := h.Demand()
		bal.Report(&d)
		r, _ := bal.Renewal(s.Ledger(), "zone-01", 1, s.Index())
		h.Renew(&r, 0)
		sent, _ := encMode.Marshal(&d)
		received, _ := encMode.Marshal(&r)
		steady = len(sent) + len(received)
		if n == 0 {
			first = steady
		}
	}
	b.ReportMetric(float64(first), "first-bytes")
	b.ReportMetric(float64(steady), "steady-bytes")
}
