package plan_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"magnoliastand.example/workload"
	"magnoliastand.example/workload/plan"
)

// newRateFixture returns a fixture with team "t" of 10 jobs a second, "slow" of a fifth of a
// job a second and "free" without a contracted rate.
func newRateFixture(t testing.TB) *fixture {
	t.Helper()
	w := newFixture(t, workload.Size{})
	d := *w.state.Document()
	d.Version = 2
	d.Teams = []workload.Team{{Name: "t", Weight: 10}, {Name: "slow", Weight: 0.2}, {Name: "free"}}
	raw, err := json.Marshal(d)
	if err != nil {
		t.Fatal(err)
	}
	w.apply(workload.Command{PutDocument: &workload.PutDocument{Raw: raw}}, 0)
	return w
}

// submitAs submits a job of a team and records it.
func (w *fixture) submitAs(rates *plan.Rates, team, id string, at workload.Millis) bool {
	w.t.Helper()
	w.apply(workload.Command{Submit: &workload.Submit{
		ID: id, Queue: "q", Team: team, Spec: workload.Spec{Repeat: 1, Steps: []workload.Step{step(1, 1)}},
	}}, at)
	j, _ := w.state.Job(id)
	return rates.Add(w.state, j)
}

// TestRatesKeepJobsWithinRate fails if a team that submits within its rate has jobs beyond
// it, if a surge is not beyond it, or if a surge takes the jobs of its rate from a team.
func TestRatesKeepJobsWithinRate(t *testing.T) {
	for name, tc := range map[string]struct {
		team     string
		interval workload.Millis
		within   int
	}{
		"at its rate":               {"t", 100, 100},
		"ten times its rate":        {"t", 10, 30},
		"all at once":               {"t", 0, 20},
		"no rate":                   {"free", 0, 100},
		"not in the document":       {"other", 0, 100},
		"less than one job at once": {"slow", 0, 1},
		"every five seconds":        {"slow", 5000, 100},
	} {
		t.Run(name, func(t *testing.T) {
			w, rates, within := newRateFixture(t), &plan.Rates{}, 0
			for i := range 100 {
				if !w.submitAs(rates, tc.team, fmt.Sprintf("j%02d", i), 1000+workload.Millis(i)*tc.interval) {
					within++
				}
			}
			// The rate's part of the last interval is not complete.
			if within < tc.within-1 || within > tc.within {
				t.Errorf("%d of 100 jobs within the rate, want %d", within, tc.within)
			}
		})
	}
}

// TestRatesAfterLeaderChange fails if the next leader takes other jobs for those beyond the
// rate than the one that accepted them.
func TestRatesAfterLeaderChange(t *testing.T) {
	w, rates := newRateFixture(t), &plan.Rates{}
	var want []string
	for i := range 200 {
		if id := fmt.Sprintf("j%03d", i); w.submitAs(rates, []string{"t", "free"}[i%2], id, workload.Millis(i*20)) {
			want = append(want, id)
		}
	}
	next := plan.NewRates(w.state)
	for id := range w.state.Jobs() {
		if next.Beyond(id) != slices.Contains(want, id) {
			t.Errorf("job %s: beyond its rate %t", id, next.Beyond(id))
		}
	}
	for now := workload.Millis(4000); now < 9000; now += 10 {
		if next.Exceeds(w.state, "t", now) != rates.Exceeds(w.state, "t", now) {
			t.Errorf("at %d ms the rate in use is not that of the jobs before", now)
		}
	}
	next.Retain(nil)
	if slices.ContainsFunc(want, next.Beyond) {
		t.Error("finished jobs are kept")
	}
}

// TestJobsBeyondRateWait fails if a job beyond its team's rate goes before one within, also
// if that has a lower priority, another team or a later deadline.
func TestJobsBeyondRateWait(t *testing.T) {
	w := newRateFixture(t)
	w.addWorker("w", 2)
	w.addJob("a", "urgent", 0, step(1, 1))
	w.addJob("b", "urgent", 1, step(1, 1))
	w.addJob("c", "patient", 2, step(1, 1))
	if got := assignedJobs(w.plan(10)); !slices.Equal(got, []string{"a", "b"}) {
		t.Errorf("assigned %v without rates", got)
	}
	w.beyond = func(job string) bool { return job == "a" }
	if got := assignedJobs(w.plan(10)); !slices.Equal(got, []string{"b", "c"}) {
		t.Errorf("assigned %v, want the jobs within their rate", got)
	}
}

// TestLargeJobsWaitForSmallOnes fails if a job that occupies the whole pool goes before many
// small ones that were submitted a little later, or if it waits while nothing else does.
func TestLargeJobsWaitForSmallOnes(t *testing.T) {
	w := newFixture(t, workload.Size{})
	w.addWorker("w", 8)
	w.addJob("large", "q", 0, step(1, 8))
	if got := assignedJobs(w.plan(0)); !slices.Equal(got, []string{"large"}) {
		t.Errorf("assigned %v, want the only job", got)
	}
	for i := range 20 {
		w.addJob(fmt.Sprintf("s%02d", i), "q", 50, step(1, 1))
	}
	if got := assignedJobs(w.plan(50)); len(got) != 8 || slices.Contains(got, "large") {
		t.Errorf("assigned %v, want eight small jobs", got)
	}
}
