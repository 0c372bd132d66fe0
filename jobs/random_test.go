package jobs_test

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"

	"pgregory.net/rapid"

	"magnoliastand.example/invariant"
	"magnoliastand.example/jobs"
)

// TestMain sets a fixed seed for rapid unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := f.Value.Set("20261204"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestRandomRuns checks the state against simulated workers that freeze, restart
// and report late, under bulk cancellations, stale plans, evacuations of zones and
// restarts of the state.
func TestRandomRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "draw") }, jobs.NoSafetyCheck)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			sim.step()
		}
		rng := rand.New(rand.NewPCG(1, 1))
		sim.draw = rng.IntN
		sim.finishJobs()
		if len(sim.violations) > 0 {
			t.Fatal(sim.violations[0])
		}
	})
}

// TestLongRandomRuns runs longer simulations with fixed seeds.
func TestLongRandomRuns(t *testing.T) {
	starts := 0
	for seed := range uint64(60) {
		sim := run(seed, jobs.NoSafetyCheck, 300)
		sim.finishJobs()
		if len(sim.violations) > 0 {
			t.Fatalf("seed %d: %s", seed, sim.violations[0])
		}
		for _, n := range sim.starts {
			starts += n
		}
	}
	t.Logf("%d tasks started", starts)
}

func run(seed uint64, off jobs.SafetyCheck, steps int) *simulation {
	rng := rand.New(rand.NewPCG(seed, 20261204))
	sim := newSimulation(rng.IntN, off)
	for range steps {
		sim.step()
	}
	return sim
}

// TestSafetyChecksAreNeeded disables each safety check and requires that the
// simulation, which knows the tasks that really run, detects violations, and so
// does the invariant check of the state where there is one.
func TestSafetyChecksAreNeeded(t *testing.T) {
	for _, c := range []struct {
		name   string
		off    jobs.SafetyCheck
		inside invariant.Name
	}{
		{"run", jobs.RerunCheck, invariant.AtMostOnce},
		{"limit", jobs.TeamLimitCheck, invariant.TeamLimit},
		{"lease", jobs.LeaseCheck, invariant.AtMostOnce},
		{"past", jobs.IncarnationCheck, ""},
		{"late", jobs.LateSuccessCheck, ""},
		{"confirmation", jobs.ConfirmationCheck, ""},
		{"evacuation", jobs.EvacuationCheck, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			inside, model := 0, 0
			old := invariant.SetSink(func(b invariant.Breach) {
				if b.Invariant == c.inside {
					inside++
				}
			})
			t.Cleanup(func() { invariant.SetSink(old) })
			for seed := range uint64(40) {
				model += len(run(seed, c.off, 300).violations)
			}
			t.Logf("%d breaches in the state, %d in the simulation", inside, model)
			if model == 0 || (c.inside != "" && inside == 0) {
				t.Fatal("no violation detected")
			}
		})
	}
}
