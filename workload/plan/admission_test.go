package plan_test

import (
	"fmt"
	"testing"

	"magnoliastand.example/workload"
	"magnoliastand.example/workload/plan"
)

// TestAdmissionRejects has a pool of 8 cores with jobs of 8 core seconds each that may take
// long, and asks whether a job of a second with an objective of 1.1 s can be done. It fails if a
// job is rejected that may be possible, or one is accepted that is not.
func TestAdmissionRejects(t *testing.T) {
	for name, tc := range map[string]struct {
		backlog int
		// estimate is the run time of the jobs of the backlog; their objective follows from it.
		estimate    workload.Millis
		queue, team string
		beyond      bool
		limit       int64
		later       int64
		spec        workload.Spec
		want        string
	}{
		"no backlog":                               {queue: "patient"},
		"short backlog of a higher priority":       {backlog: 2, estimate: 1000, queue: "patient"},
		"long backlog of a higher priority":        {backlog: 4, estimate: 20_000, queue: "patient", want: "backlog"},
		"more instances later":                     {backlog: 4, estimate: 20_000, queue: "patient", later: 10_000},
		"backlog that is late when its turn comes": {backlog: 100, estimate: 1000, queue: "patient", want: "backlog"},
		"backlog of the same priority":             {backlog: 100, estimate: 1000, queue: "q"},
		"beyond the rate":                          {backlog: 4, estimate: 20_000, queue: "q", beyond: true, want: "beyond rate"},
		"timed":                                    {backlog: 4, estimate: 20_000, queue: "patient", spec: workload.Spec{StartAt: 1}},
		"limit of its team":                        {backlog: 4, estimate: 20_000, queue: "patient", limit: 1, later: 10_000, want: "team limit"},
		"limit of another team":                    {backlog: 4, estimate: 20_000, queue: "patient", team: "other", limit: 1, later: 10_000},
	} {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t, workload.Size{Processors: tc.limit})
			for i := range tc.backlog {
				s := step(8, 1)
				s.Estimate = tc.estimate
				w.addJob(fmt.Sprint("j", i), "q", 0, s)
			}
			if tc.team == "" {
				tc.team = "t"
			}
			tc.spec.Repeat, tc.spec.Steps = 1, []workload.Step{step(1, 1)}
			a := plan.NewAdmission(&plan.AdmissionInput{
				State: w.state, Now: 10, Pool: "p", Beyond: func(string) bool { return false }, Factor: func(string) float64 { return 1 },
				Supply: plan.Supply{Now: workload.Size{Processors: 8, MemoryMB: 1000}, Later: workload.Size{Processors: tc.later}, LaterAt: 500},
			})
			q, _ := w.state.Queue(tc.queue)
			got := ""
			if r := a.Check(&plan.Request{Queue: q, Team: tc.team, Spec: &tc.spec, Beyond: tc.beyond}, 10); r != nil {
				got = r.Reason
				if r.Done <= r.Expires {
					t.Errorf("rejected although done at %d ms, before %d ms", r.Done, r.Expires)
				}
			}
			if got != tc.want {
				t.Errorf("rejected for %q, want %q", got, tc.want)
			}
		})
	}
}

// TestAdmissionCountsAcceptedJobs fails if jobs that were accepted after the estimate of the
// backlog are missing from it, or if a pool without known capacity rejects any.
func TestAdmissionCountsAcceptedJobs(t *testing.T) {
	for cores, want := range map[int64]bool{8: true, 0: false} {
		w := newFixture(t, workload.Size{})
		a := plan.NewAdmission(&plan.AdmissionInput{
			State: w.state, Pool: "p", Beyond: func(string) bool { return false }, Factor: func(string) float64 { return 1 },
			Supply: plan.Supply{Now: workload.Size{Processors: cores, MemoryMB: cores}},
		})
		for i := range 4 {
			s := step(8, 1)
			s.Estimate = 20_000
			id := fmt.Sprint("j", i)
			w.addJob(id, "q", 0, s)
			j, _ := w.state.Job(id)
			a.Accepted(j)
		}
		q, _ := w.state.Queue("patient")
		r := a.Check(&plan.Request{Queue: q, Team: "t", Spec: &workload.Spec{Repeat: 1, Steps: []workload.Step{step(1, 1)}}}, 0)
		if (r != nil) != want {
			t.Errorf("%d cores: rejection %+v", cores, r)
		}
	}
}

// BenchmarkAdmission measures the estimate of a backlog of a thousand jobs and one check.
func BenchmarkAdmission(b *testing.B) {
	w := newPeakFixture(b, 600, 1000)
	in := &plan.AdmissionInput{
		State: w.state, Now: 3000, Pool: "p", Beyond: func(string) bool { return false }, Factor: func(string) float64 { return 1 },
		Supply: plan.Supply{Now: workload.Size{Processors: 64000, MemoryMB: 1 << 20}},
	}
	q, _ := w.state.Queue("patient")
	r := &plan.Request{Queue: q, Team: "t", Spec: &workload.Spec{Repeat: 1, Steps: []workload.Step{step(1, 1)}}}
	b.Run("build", func(b *testing.B) {
		for b.Loop() {
			plan.NewAdmission(in)
		}
	})
	b.Run("check", func(b *testing.B) {
		a := plan.NewAdmission(in)
		for b.Loop() {
			a.Check(r, 3000)
		}
	})
}
