package plan_test

import (
	"testing"

	"magnoliastand.example/workload"
	"magnoliastand.example/workload/plan"
)

// risen returns the expected rise after a demand of processors each 100 ms.
func risen(ahead workload.Millis, jobs int, demand ...int64) int64 {
	var t plan.Trend
	for i, d := range demand {
		t.Add(workload.Millis(i)*100, workload.Size{Processors: d})
	}
	return t.Rise(ahead, jobs).Processors
}

// ramp returns a demand that grows by step each 100 ms.
func ramp(from, step int64, samples int) []int64 {
	out := make([]int64, samples)
	for i := range out {
		out[i] = from + int64(i)*step
	}
	return out
}

func TestTrendFollowsARamp(t *testing.T) {
	// From 1,000 by 100 each 100 ms: 1,000 a second. After 2 s demand is 3,000 of
	// 100 jobs; the growth of the last second that chance explains is sqrt(1,000 x 30).
	got := risen(2000, 100, ramp(1000, 100, 21)...)
	if want := int64((1000 - 173) * 2); got < want-2 || got > want+2 {
		t.Errorf("rise %d, want about %d", got, want)
	}
}

func TestTrendLeavesOut(t *testing.T) {
	flat := ramp(500, 0, 20)
	for name, tc := range map[string]struct {
		demand []int64
		jobs   int
	}{
		"a level demand":             {flat, 10},
		"a falling demand":           {ramp(5000, -100, 20), 10},
		"the arrival of one job":     {append(ramp(500, 0, 19), 1000), 2},
		"a pool without jobs":        {ramp(0, 100, 20), 0},
		"less than a window":         {ramp(0, 100, 5), 100},
		"a single look":              {[]int64{1000}, 10},
		"what the window has passed": {append(ramp(0, 1000, 5), ramp(5000, 0, 20)...), 100},
	} {
		if got := risen(2000, tc.jobs, tc.demand...); got != 0 {
			t.Errorf("%s: rise of %d", name, got)
		}
	}
}

func TestTrendAtMostDoublesTheDemand(t *testing.T) {
	if got := risen(60_000, 1000, ramp(0, 1000, 20)...); got != 19_000 {
		t.Errorf("rise %d, want 19000", got)
	}
}

// TestPoolsGrowAheadOfARisingDemand fails when the planner leaves the trend out.
func TestPoolsGrowAheadOfARisingDemand(t *testing.T) {
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
		t.Fatalf("moves without a trend: %v", moves)
	}
	in.Pools["busy"] = plan.PoolDemand{Running: workload.Size{Processors: 90}, Rising: workload.Size{Processors: 90}}
	if moves := plan.Moves(in); len(moves) != 1 || moves[0].To != "busy" {
		t.Errorf("moves with a trend: %v", moves)
	}
}
