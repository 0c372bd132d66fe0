package plan_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"magnoliastand.example/workload"
	"magnoliastand.example/workload/plan"
)

// BenchmarkTasks measures one plan for a pool of 300 workers under the load of a
// large fleet: with free capacity for a few arriving jobs, and with full workers
// and a thousand jobs that wait.
func BenchmarkTasks(b *testing.B) {
	for _, bc := range []struct {
		name             string
		running, waiting int
	}{{"free", 120, 4}, {"half full", 300, 20}, {"full", 600, 1000}} {
		b.Run(bc.name, func(b *testing.B) {
			w := newPeakFixture(b, bc.running, bc.waiting)
			b.ReportAllocs()
			for b.Loop() {
				w.plan(3000)
			}
		})
	}
}

// newPeakFixture returns a pool of 300 workers with running jobs, as far as they
// fit, and jobs that wait.
func newPeakFixture(t testing.TB, running, waiting int) *fixture {
	t.Helper()
	const workers = 300
	rnd := rand.New(rand.NewPCG(1, 1))
	w := newFixture(t, workload.Size{})
	for i := range workers {
		w.addWorker(fmt.Sprintf("w%03d", i), 64000, "a", fmt.Sprintf("r%d", i/20))
		w.conditions[fmt.Sprintf("w%03d", i)] = plan.Condition{Usable: true}
	}
	add := func(id string, at workload.Millis) {
		steps := make([]workload.Step, 1+rnd.IntN(4))
		for i := range steps {
			steps[i] = step(1+rnd.IntN(15), 4000+int64(rnd.IntN(12000)))
			if i > 0 {
				steps[i].After = []int{i - 1}
			}
		}
		w.addJob(id, "q", at, steps...)
	}
	for i := range running {
		add(fmt.Sprintf("r%04d", i), workload.Millis(i))
	}
	w.applyPlan(w.plan(1000))
	for i := range waiting {
		add(fmt.Sprintf("s%04d", i), workload.Millis(1000+i))
	}
	return w
}
