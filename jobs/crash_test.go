package jobs_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"magnoliastand.example/jobs"
	"magnoliastand.example/jobs/scheduler"
)

// TestDeadlyJobsSpareOthers guards against a job that crashes worker after worker: it
// is parked, and the jobs that ran beside it succeed. Workers whose lease expires
// before they are back are weaker evidence: four park the job, and it waits while so many
// may be away without having told, since a run is taken over after 22 s of at most 62 s.
func TestDeadlyJobsSpareOthers(t *testing.T) {
	for _, c := range []struct {
		name                       string
		workers, innocents, deadly int
		longestRestart             int
		crashes                    int
	}{
		{"few", 8, 40, 3, 8_000, 3},
		{"many", 12, 60, 9, 8_000, 3},
		{"slow restarts", 8, 40, 3, 60_000, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(40) {
				sim := newSimulation(rand.New(rand.NewPCG(seed, 7)).IntN, jobs.NoSafetyCheck)
				sim.reliable, sim.longestRestart = true, c.longestRestart
				sim.teams = []jobs.Team{{Name: "a", Share: 1, Limit: 100}}
				sim.apply(jobs.Change{SetTeams: &jobs.SetTeams{Teams: sim.teams}})
				sim.workers = nil
				for n := range c.workers {
					sim.workers = append(sim.workers, &modelWorker{id: fmt.Sprint("w", n), zone: "z", tasks: map[string]*modelTask{}})
				}
				sim.submitDeadly(c.innocents, c.deadly)
				sim.runReliably(4_000)
				if len(sim.violations) > 0 {
					t.Fatalf("seed %d: %s", seed, sim.violations[0])
				}
				for _, id := range sim.ids {
					j, want := sim.state.View().Job(id), jobs.Succeeded
					if sim.deadly[id] {
						want = jobs.Parked
					}
					if j.State != want || sim.crashes[id] > c.crashes {
						t.Fatalf("seed %d: %s is %s after %d crashes, want %s: %+v", seed, id, j.State, sim.crashes[id], want, j.History)
					}
				}
			}
		})
	}
}

// submitDeadly submits idempotent jobs, of which some crash their worker.
func (sim *simulation) submitDeadly(innocents, deadly int) {
	for n := range innocents + deadly {
		id := jobs.JobID("a", fmt.Sprint(n))
		sim.ids = append(sim.ids, id)
		sim.deadly[id] = n*deadly/(innocents+deadly) != (n+1)*deadly/(innocents+deadly)
		sim.apply(jobs.Change{Submit: &jobs.Submit{ID: id, Team: "a", Spec: jobs.Spec{
			Queue: "q", Pool: "p", RunTime: 5_000, Size: jobs.Size{Processors: 1_000}, Idempotent: true,
		}}})
	}
}

// runReliably runs the workers, without other faults than crashes, until no job is
// open, for at most the number of rounds.
func (sim *simulation) runReliably(rounds int) {
	for round := 0; round < rounds && (round == 0 || sim.openJobs() > 0); round++ {
		for _, m := range sim.workers {
			if sim.now >= m.frozen {
				sim.tick(m)
				sim.postOutcomes(m)
				sim.heartbeat(m)
			}
		}
		sim.apply(scheduler.Plan(sim.state.View().At(sim.now))...)
		sim.advance(500)
	}
}
