package fleet

import (
	"math/rand/v2"
	"testing"

	"magnoliastand.example/invariant"
)

// planDrains returns the drain permits that a planner would request from the
// view, as many as the budgets allow in it.
func planDrains(v View, rng *rand.Rand) []Command {
	h := v.Headroom()
	var out []Command
	for _, n := range rng.Perm(len(v.Instances)) {
		i := v.Instances[n]
		if i.State == Active && h.Reserve(i) {
			out = append(out, Command{
				Actor:       Actor{Role: RolePlanner},
				PermitDrain: &PermitDrain{Instance: i.ID, Purpose: PurposeMaintenance},
			})
		}
	}
	return out
}

// runStalePlans applies the plans of two planners that used the same view, with
// random instance failures between the commands, for 200 seeds. It returns the
// number of invariant violations detected.
func runStalePlans(t *testing.T, skipBudgetCheck bool) int {
	breaches := 0
	previous := invariant.SetSink(func(invariant.Breach) { breaches++ })
	defer func() { invariant.SetSink(previous) }()
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		s := newFleet(t)
		s.skipBudgetCheck = skipBudgetCheck
		v := s.View()
		plans := append(planDrains(v, rng), planDrains(v, rng)...)
		for _, c := range plans {
			if rng.IntN(4) == 0 {
				id := s.sortedIDs[rng.IntN(len(s.sortedIDs))]
				fail := Command{Actor: Actor{Role: RolePlatform}, Report: &Report{Instance: id, Health: Broken}}
				if _, err := s.Apply(fail); err != nil {
					t.Fatal(err)
				}
			}
			// A permit that would now exceed a budget is refused.
			_, _ = s.Apply(c)
		}
		s.CheckAll()
	}
	return breaches
}

func TestStalePlansStayWithinBudgets(t *testing.T) {
	if n := runStalePlans(t, false); n != 0 {
		t.Errorf("%d invariant violations, want 0", n)
	}
}

// TestInvariantDetectsStalePlansWithoutBudgetCheck verifies that the same runs
// exceed budgets if Apply does not check them.
func TestInvariantDetectsStalePlansWithoutBudgetCheck(t *testing.T) {
	n := runStalePlans(t, true)
	if n == 0 {
		t.Error("no budget violation detected with the budget check disabled")
	}
	t.Logf("%d invariant violations detected over 200 seeds", n)
}
