package plan_test

import (
	"testing"

	"magnoliastand.example/workload"
	"magnoliastand.example/workload/plan"
)

// expectedRise returns the processor growth that a Trend expects after samples taken
// every 100 ms.
func expectedRise(ahead workload.Millis, jobs int, demand ...int64) int64 {
	var t plan.Trend
	for i, d := range demand {
		t.Add(workload.Millis(i)*100, workload.Size{Processors: d})
	}
	return t.Rise(ahead, jobs).Processors
}

// ramp returns samples that grow by step each.
func ramp(from, step int64, samples int) []int64 {
	out := make([]int64, samples)
	for i := range out {
		out[i] = from + int64(i)*step
	}
	return out
}

func TestTrendExtrapolatesRamp(t *testing.T) {
	// The ramp grows by 100 every 100 ms, or 1,000 per second, and reaches 3,000 after
	// 2 s, made up of 100 jobs. The random variation subtracted from the last second's
	// growth is sqrt(1,000 x 30) = 173.
	got := expectedRise(2000, 100, ramp(1000, 100, 21)...)
	if want := int64((1000 - 173) * 2); got < want-2 || got > want+2 {
		t.Errorf("rise %d, want about %d", got, want)
	}
}

func TestTrendIgnoresInsignificantGrowth(t *testing.T) {
	flat := ramp(500, 0, 20)
	for name, tc := range map[string]struct {
		demand []int64
		jobs   int
	}{
		"constant demand":                 {flat, 10},
		"falling demand":                  {ramp(5000, -100, 20), 10},
		"arrival of one job":              {append(ramp(500, 0, 19), 1000), 2},
		"no jobs":                         {ramp(0, 100, 20), 0},
		"less than one window of samples": {ramp(0, 100, 5), 100},
		"single sample":                   {[]int64{1000}, 10},
		"growth before the window":        {append(ramp(0, 1000, 5), ramp(5000, 0, 20)...), 100},
	} {
		if got := expectedRise(2000, tc.jobs, tc.demand...); got != 0 {
			t.Errorf("%s: rise of %d", name, got)
		}
	}
}

func TestTrendAtMostDoublesDemand(t *testing.T) {
	if got := expectedRise(60_000, 1000, ramp(0, 1000, 20)...); got != 19_000 {
		t.Errorf("rise %d, want 19000", got)
	}
}

// TestPoolsGrowAheadOfRisingDemand verifies that Moves takes the expected growth of a pool
// into account.
func TestPoolsGrowAheadOfRisingDemand(t *testing.T) {
	in := &plan.PoolInput{Settle: 1000, Pools: map[string]plan.PoolDemand{
		"busy": {Running: workload.Size{Processors: 90}}, "off": {Standby: true},
	}}
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		pool := "off"
		if name < "c" {
			pool = "busy"
		}
		in.Instances = append(in.Instances, plan.PoolInstance{
			Name: name, Pool: pool, Capacity: workload.Size{Processors: 100}, Ready: pool == "busy", Movable: pool == "off", IdleFor: 5000,
		})
	}
	if moves := plan.Moves(in); len(moves) != 0 {
		t.Fatalf("moves without expected growth: %v", moves)
	}
	in.Pools["busy"] = plan.PoolDemand{Running: workload.Size{Processors: 90}, Rising: workload.Size{Processors: 90}}
	if moves := plan.Moves(in); len(moves) != 1 || moves[0].To != "busy" {
		t.Errorf("moves with expected growth: %v", moves)
	}
}
