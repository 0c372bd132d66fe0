package fleet

import (
	"math/rand/v2"
	"testing"

	"magnoliastand.example/invariant"
)

// drains returns the permits that a planner would ask for on the view, up to
// what the budgets allow there.
func drains(v View, rng *rand.Rand) []Command {
	h := v.Headroom()
	var out []Command
	for _, n := range rng.Perm(len(v.Instances)) {
		i := v.Instances[n]
		if i.State == Active && h.Take(i) {
			out = append(out, Command{
				Actor:       Actor{Role: RolePlanner},
				PermitDrain: &PermitDrain{Instance: i.ID, Purpose: PurposeMaintenance},
			})
		}
	}
	return out
}

// runStale lets two planners drain on one view while instances fail between
// plan and apply, for many seeds. It returns the breaches that the invariant
// noticed.
func runStale(t *testing.T, skipRecheck bool) int {
	breaches := 0
	old := invariant.SetSink(func(invariant.Breach) { breaches++ })
	defer func() { invariant.SetSink(old) }()
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		s := newFleet(t)
		s.skipBudgetCheck = skipRecheck
		v := s.View()
		plans := append(drains(v, rng), drains(v, rng)...)
		for _, c := range plans {
			if rng.IntN(4) == 0 {
				id := s.sortedIDs[rng.IntN(len(s.sortedIDs))]
				fail := Command{Actor: Actor{Role: RolePlatform}, Report: &Report{Instance: id, Health: Broken}}
				if _, err := s.Apply(fail); err != nil {
					t.Fatal(err)
				}
			}
			// A permit that no longer fits is refused.
			_, _ = s.Apply(c)
		}
		s.CheckAll()
	}
	return breaches
}

func TestStalePlansKeepBudgets(t *testing.T) {
	if n := runStale(t, false); n != 0 {
		t.Errorf("%d breaches", n)
	}
}

// TestStalePlansNeedTheRecheck shows that the same runs breach budgets when
// the state trusts the plans.
func TestStalePlansNeedTheRecheck(t *testing.T) {
	n := runStale(t, true)
	if n == 0 {
		t.Error("no breach noticed without the check")
	}
	t.Logf("%d breaches noticed over 200 seeds", n)
}
