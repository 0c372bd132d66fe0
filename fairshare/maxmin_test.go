package fairshare

import (
	"flag"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// Property tests use a fixed seed unless -rapid.seed is given.
var _ = flag.Set("rapid.seed", "1")

const tolerance = 1e-6

func TestMaxMinProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(t, "n")
		capacity := rapid.Float64Range(0, 500).Draw(t, "capacity")
		demands := make([]Demand, n)
		total := 0.0
		for i := range demands {
			demands[i].Amount = rapid.Float64Range(0, 100).Draw(t, "amount")
			demands[i].Weight = rapid.Float64Range(0.5, 50).Draw(t, "weight")
			total += demands[i].Amount
		}
		got := MaxMin(capacity, demands)
		sum := 0.0
		for i, g := range got {
			sum += g
			if g < 0 || g > demands[i].Amount+tolerance {
				t.Fatalf("team %d got %g of %g", i, g, demands[i].Amount)
			}
		}
		if math.Abs(sum-min(total, capacity)) > tolerance {
			t.Fatalf("%g allocated of capacity %g and demand %g", sum, capacity, total)
		}
		for i, g := range got {
			for j, other := range got {
				short := g < demands[i].Amount-tolerance
				if short && other/demands[j].Weight > g/demands[i].Weight+tolerance {
					t.Fatalf("team %d is below its demand at %g while team %d has more per weight: %g", i, g, j, other)
				}
			}
		}
	})
}

// TestDominantExample is the textbook example of dominant resource fairness: two
// teams share 9 cores and 18 GB.
func TestDominantExample(t *testing.T) {
	got := DominantMaxMin(Resources{Processors: 9, Memory: 18}, []TaskDemand{
		{Task: Resources{Processors: 1, Memory: 4}, Tasks: 100, Weight: 1},
		{Task: Resources{Processors: 3, Memory: 1}, Tasks: 100, Weight: 1},
	})
	if math.Abs(got[0]-3) > tolerance || math.Abs(got[1]-2) > tolerance {
		t.Fatalf("got %v tasks, want 3 and 2", got)
	}
}

func drawResources(t *rapid.T, name string, most float64) Resources {
	return Resources{
		Processors:   rapid.Float64Range(0, most).Draw(t, name+" processors"),
		Memory:       rapid.Float64Range(0, most).Draw(t, name+" memory"),
		Accelerators: float64(rapid.IntRange(0, 2).Draw(t, name+" accelerators")),
	}
}

func TestDominantProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := drawResources(t, "total", 100)
		demands := make([]TaskDemand, rapid.IntRange(1, 12).Draw(t, "n"))
		for i := range demands {
			demands[i] = TaskDemand{
				Task:   drawResources(t, "task", 10),
				Tasks:  rapid.Float64Range(0, 40).Draw(t, "tasks"),
				Weight: rapid.Float64Range(0.5, 20).Draw(t, "weight"),
			}
		}
		got := DominantMaxMin(total, demands)
		var used [resourceKinds]float64
		for i, g := range got {
			if g < 0 || g > demands[i].Tasks+tolerance {
				t.Fatalf("team %d got %g of %g tasks", i, g, demands[i].Tasks)
			}
			for k, need := range demands[i].Task.vector() {
				used[k] += need * g
			}
		}
		full := [resourceKinds]bool{}
		for k, have := range total.vector() {
			if used[k] > have+tolerance {
				t.Fatalf("kind %d: %g used of %g", k, used[k], have)
			}
			full[k] = used[k] > have-tolerance
		}
		for i, g := range got {
			checkFrozen(t, demands[i], g, full)
		}
	})
}

// checkFrozen asserts that a team below its demand needs an exhausted resource.
func checkFrozen(t *rapid.T, d TaskDemand, got float64, full [resourceKinds]bool) {
	if got > d.Tasks-tolerance || d.Task == (Resources{}) {
		return
	}
	for k, need := range d.Task.vector() {
		if need > 0 && full[k] {
			return
		}
	}
	t.Fatalf("%g of %g tasks allocated although no resource needed by %v is exhausted", got, d.Tasks, d.Task)
}
