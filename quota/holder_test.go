package quota

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// bench is a fault-free cluster of holders with one team.
type bench struct {
	now      time.Duration
	ledger   *Ledger
	balancer *Balancer
	holders  []*Holder
	cut      map[int]bool
	cutFirst bool // cut zone 0 off once it has run something
	index    uint64
}

func newBench(zones int, limit int64) *bench {
	b := &bench{ledger: NewLedger(modelBounds), balancer: NewBalancer(1), cut: make(map[int]bool)}
	b.setLimit(limit)
	for z := range zones {
		zone := fmt.Sprintf("z%d", z)
		b.ledger.SetTerm(zone, 1, b.index)
		b.holders = append(b.holders, NewHolder(zone, 1, modelBounds, func() time.Duration { return b.now }))
	}
	return b
}

func (b *bench) setLimit(limit int64) {
	b.ledger.SetLimits([]TeamLimit{{Team: "team", Limit: limit}})
}

// round lets every reachable holder report and renew, and applies the plan.
func (b *bench) round() {
	for z, h := range b.holders {
		if b.cut[z] {
			continue
		}
		d := h.Demand()
		b.balancer.Report(&d)
	}
	c := b.balancer.Plan(b.ledger, b.now)
	b.index++
	b.ledger.Advance(b.now, b.index)
	b.ledger.Apply(&c)
	for z, h := range b.holders {
		if r, ok := b.balancer.Renewal(b.ledger, h.zone, 1, b.index); ok && !b.cut[z] {
			h.Renew(&r, b.now)
		}
	}
}

// rotate keeps demand in all zones under a limit of 3 for two minutes and
// returns how many units ran in each zone. No zone that is reachable may wait
// longer than the quanta of the units that rotate, after cut zones fell silent.
func (b *bench) rotate(t *testing.T) []int {
	const (
		tick        = 100 * time.Millisecond
		runTime     = 300 * time.Millisecond
		total       = 2 * time.Minute
		longestWait = 3*rotationQuantum + zoneTimeout
	)
	zones := len(b.holders)
	ran := make([]int, zones)
	last := make([]time.Duration, zones)
	ends := make([][]time.Duration, zones)
	for b.now = 0; b.now < total; b.now += tick {
		running := 0
		for z, h := range b.holders {
			for len(ends[z]) > 0 && ends[z][0] <= b.now {
				ends[z] = ends[z][1:]
				h.Release("team")
			}
			h.SetWaiting("team", 2)
			for h.Acquire("team") {
				ends[z] = append(ends[z], b.now+runTime)
				ran[z]++
				last[z] = b.now
			}
			if !b.cut[z] && b.now-last[z] > longestWait {
				t.Fatalf("zone %d waits since %s at %s; units run %v", z, last[z], b.now, ran)
			}
			running += len(ends[z])
		}
		if running > 3 {
			t.Fatalf("%d run with a limit of 3", running)
		}
		b.round()
		b.cut[0] = b.cutFirst && ran[0] > 0
	}
	t.Logf("units run by zone: %v", ran)
	return ran
}

func TestSmallLimitRotatesOverZones(t *testing.T) {
	ran := newBench(4, 3).rotate(t)
	if slices.Min(ran) < slices.Max(ran)*4/5 {
		t.Fatalf("zones ran unevenly: %v", ran)
	}
}

// TestSilentZoneDoesNotBlockRotation cuts a zone off while it holds a unit; the
// other three share the other two units.
func TestSilentZoneDoesNotBlockRotation(t *testing.T) {
	b := newBench(4, 3)
	b.cutFirst = true
	ran := b.rotate(t)
	if slices.Min(ran[1:]) < slices.Max(ran[1:])*4/5 {
		t.Fatalf("zones ran unevenly: %v", ran)
	}
}

// TestSteadyDemandIsServedEvenly draws demand that changes and then stays. Units
// must end up where they are wanted, evenly: none idle while a zone is short,
// and no zone two units ahead of a zone that is short.
func TestSteadyDemandIsServedEvenly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(2, 6).Draw(t, "zones")
		limit := rapid.Int64Range(1, 40).Draw(t, "limit")
		b := newBench(zones, limit)
		var want []int64
		for range rapid.IntRange(1, 4).Draw(t, "phases") {
			want = rapid.SliceOfN(rapid.Int64Range(0, 25), zones, zones).Draw(t, "want")
			for z, h := range b.holders {
				h.SetWaiting("team", want[z])
			}
			for range 40 {
				b.now += 100 * time.Millisecond
				b.round()
			}
		}
		for range 5 { // time stands still, so that no unit is on its way
			b.round()
		}
		var held, short, spare []int64
		var total int64
		for z, h := range b.holders {
			n := b.ledger.Held(h.zone, "team")
			held = append(held, n)
			total += n
			if n < min(want[z], limit) {
				short = append(short, n)
			}
			spare = append(spare, n-want[z])
		}
		if len(short) == 0 {
			return
		}
		if total < limit || slices.Max(spare) > 0 || slices.Max(held) > slices.Min(short)+1 {
			t.Fatalf("limit %d, wanted %v, held %v", limit, want, held)
		}
	})
}

// TestDemandMovesIdleUnits moves a whole limit to the one zone with demand.
func TestDemandMovesIdleUnits(t *testing.T) {
	b := newBench(4, 40)
	for z := range 4 {
		b.holders[z].SetWaiting("team", 40)
		for range 4 {
			b.round()
		}
		if held := b.ledger.Held(b.holders[z].zone, "team"); held != 40 {
			t.Fatalf("zone %d holds %d of 40 units", z, held)
		}
		b.holders[z].SetWaiting("team", 0)
	}
}

// TestLoweredLimitStartsNothingUntilItFits also cuts one holder off, which must
// stop at the end of its lease.
func TestLoweredLimitStartsNothingUntilItFits(t *testing.T) {
	for _, endless := range []bool{false, true} {
		b := newBench(2, 8)
		for _, h := range b.holders {
			h.SetWaiting("team", 4)
			h.leaseExpiryDisabled = endless
		}
		b.round()
		b.round()
		for range 3 {
			b.holders[0].Acquire("team")
			b.holders[1].Acquire("team")
		}
		b.cut[1] = true
		b.setLimit(4)
		b.round()
		if b.holders[0].Acquire("team") {
			t.Fatal("a frozen team started work")
		}
		b.now += modelBounds.Lease
		cutStarts := b.holders[1].Acquire("team")
		if cutStarts != endless {
			t.Fatalf("lease off %t: the cut-off holder starts work: %t", endless, cutStarts)
		}
		if endless {
			continue // the checker saw the breach
		}
		b.cut[1] = false
		for range 3 {
			b.holders[0].Release("team")
			b.round()
		}
		b.round()
		if out := b.ledger.Outstanding("team"); out > 4 {
			t.Fatalf("%d units are held with a limit of 4 after three ended", out)
		}
		if !b.holders[0].Acquire("team") || b.holders[0].Acquire("team") {
			t.Fatal("exactly one more unit fits")
		}
	}
}

func TestHolderStopsBeforeTheGrantor(t *testing.T) {
	b := newBench(1, 4)
	h := b.holders[0]
	h.SetWaiting("team", 1)
	if h.Acquire("team") || h.Leased() {
		t.Fatal("a holder without a renewal is leased")
	}
	b.round()
	b.round()
	b.now += modelBounds.holderLease() - 1
	if !h.Acquire("team") {
		t.Fatal("the lease ended early")
	}
	// A clock slow by the drift bound shows this moment within the real lease.
	slow := float64(modelBounds.holderLease()) / (1 - 1.0/DriftDivisor)
	if slow > float64(modelBounds.Lease) {
		t.Fatalf("a slow holder stops after %f of %s", slow, modelBounds.Lease)
	}
	b.now += time.Hour // the process was stopped
	if h.Acquire("team") {
		t.Fatal("a holder started work after a pause without a renewal")
	}
	b.round()
	if !h.Acquire("team") {
		t.Fatal("a renewal after the pause does not count")
	}
	h.End()
	if h.Acquire("team") {
		t.Fatal("an ended holder started work")
	}
}

func TestRenewalsMayRepeatAndCross(t *testing.T) {
	h := NewHolder("z", 3, modelBounds, func() time.Duration { return 0 })
	renewal := func(index, granted, target uint64, frozen bool) *Renewal {
		return &Renewal{Zone: "z", Term: 3, Index: index, Teams: []TeamRenewal{{Team: "t", Granted: granted, ReturnTarget: target, Frozen: frozen}}}
	}
	newer, older := renewal(9, 5, 2, false), renewal(7, 3, 0, true)
	for _, r := range []*Renewal{newer, older, newer, older} {
		if !h.Renew(r, 0) {
			t.Fatal("a renewal of the term was ignored")
		}
	}
	if h.Idle("t") != 3 || h.Demand().Teams[0].Returned != 2 {
		t.Fatalf("idle %d, demand %+v", h.Idle("t"), h.Demand())
	}
	if h.Renew(&Renewal{Zone: "z", Term: 2}, 0) {
		t.Fatal("a renewal of another term was used")
	}
	h.Release("t")
	if h.Idle("t") != 3 {
		t.Fatal("a release without a unit in use made one")
	}
	h.Adopt("t", 2)
	if !h.Acquire("t") || h.Acquire("t") {
		t.Fatal("adopted units do not occupy units")
	}
}

func TestUnitsOfALostArbiterReturnAfterTheLongestRun(t *testing.T) {
	b := newBench(2, 4)
	b.ledger.SetLongestRun(10*time.Second, 0)
	b.holders[0].SetWaiting("team", 4)
	b.round()
	b.round()
	b.index++
	b.ledger.SetTerm("z0", 2, b.index)
	if b.ledger.Retired("z0", "team") != 4 || b.ledger.SetTerm("z0", 2, b.index) {
		t.Fatal("the units of the ended term are not retired once")
	}
	b.round()
	b.now += modelBounds.runWindow(10*time.Second) - 1
	b.round()
	if !b.ledger.Waiting() || b.ledger.Outstanding("team") != 4 {
		t.Fatal("units returned before the longest run had passed")
	}
	b.now++
	b.round()
	if b.ledger.Waiting() || b.ledger.Outstanding("team") != 0 {
		t.Fatal("units did not return after the longest run")
	}
}
