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

// TestMain fixes the seed of random runs unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := f.Value.Set("20261204"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestRandomRuns lets workers freeze, restart and report late while waves of
// cancels, stale plans and restarts of the state happen, and compares the state
// with what really ran.
func TestRandomRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "draw") }, jobs.NoProtection)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			w.step()
		}
		rng := rand.New(rand.NewPCG(1, 1))
		w.draw = rng.IntN
		w.settle()
		if len(w.faults) > 0 {
			t.Fatal(w.faults[0])
		}
	})
}

// TestLongRandomRuns repeats longer runs over fixed seeds.
func TestLongRandomRuns(t *testing.T) {
	starts := 0
	for seed := range uint64(60) {
		w := run(seed, jobs.NoProtection, 300)
		w.settle()
		if len(w.faults) > 0 {
			t.Fatalf("seed %d: %s", seed, w.faults[0])
		}
		for _, n := range w.starts {
			starts += n
		}
	}
	t.Logf("%d tasks started", starts)
}

func run(seed uint64, off jobs.Protection, steps int) *world {
	rng := rand.New(rand.NewPCG(seed, 20261204))
	w := newWorld(rng.IntN, off)
	for range steps {
		w.step()
	}
	return w
}

// TestProtectionsMatter turns each protection off and expects the model, which
// sees what really runs, and the checks inside to notice.
func TestProtectionsMatter(t *testing.T) {
	for _, c := range []struct {
		name   string
		off    jobs.Protection
		inside invariant.Name
	}{
		{"run", jobs.ProtectRun, invariant.AtMostOnce},
		{"limit", jobs.ProtectLimit, invariant.TeamLimit},
		{"lease", jobs.ProtectLease, invariant.AtMostOnce},
		{"past", jobs.ProtectPast, ""},
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
				model += len(run(seed, c.off, 300).faults)
			}
			t.Logf("%d breaches inside, %d in the model", inside, model)
			if model == 0 || (c.inside != "" && inside == 0) {
				t.Fatal("nothing noticed")
			}
		})
	}
}
