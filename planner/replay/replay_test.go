package replay

import (
	"testing"

	"magnoliastand.example/invariant"
	"magnoliastand.example/placement"
)

// testLength is the simulated length of a replay, in milliseconds.
const testLength placement.Millis = 20 * 60_000

// TestReplayIsDeterministic checks that two replays with the same seed return the
// same measures.
func TestReplayIsDeterministic(t *testing.T) {
	for _, p := range Policies()[:3] {
		first, err := Run(Kyushu(), p, 7, testLength)
		if err != nil {
			t.Fatal(err)
		}
		if again, _ := Run(Kyushu(), p, 7, testLength); first != again {
			t.Errorf("policy %s: first replay returned %+v, second replay %+v", p.Name, first, again)
		}
	}
}

// TestNoPolicyBreachesBudgets checks that the fleet state enforces the
// availability budgets for every policy. Breaches are counted independently by
// the replay and by the invariant.
func TestNoPolicyBreachesBudgets(t *testing.T) {
	for _, d := range []Deployment{Kyushu(), Swanbourne()} {
		for _, p := range Policies() {
			m, err := Run(d, p, 11, testLength)
			if err != nil {
				t.Fatal(err)
			}
			if m.Breaches != 0 || m.Done == 0 {
				t.Errorf("%s, %s: %+v", d.Name, p.Name, m)
			}
		}
	}
	if n := invariant.Count(invariant.AvailabilityBudget); n != 0 {
		t.Errorf("invariant counted %d breaches", n)
	}
}
