package scheduler

import (
	"fmt"
	"testing"

	"magnoliastand.example/jobs"
)

// newFleet returns a state with workers spread over the pools, and with running
// and waiting jobs of 190 teams.
func newFleet(workers, pools, waiting, full int) *jobs.State {
	s := jobs.New()
	c := jobs.Command{At: 1}
	teams := &jobs.SetTeams{}
	for n := range 190 {
		teams.Teams = append(teams.Teams, jobs.Team{Name: fmt.Sprintf("t%03d", n), Share: 1 + n%5, Limit: 1_000})
	}
	c.Changes = append(c.Changes, jobs.Change{SetTeams: teams})
	for n := range workers {
		c.Changes = append(c.Changes, jobs.Change{Heartbeat: &jobs.Heartbeat{
			Worker: fmt.Sprintf("w%04d", n), Zone: fmt.Sprint("z", n%21), Rack: fmt.Sprint("r", n/4), Pool: fmt.Sprint("p", n%pools),
			Capacity: jobs.Size{Processors: 64_000, MemoryMB: 128_000}, Slots: 64, Incarnation: "1", Seq: 1,
		}})
	}
	s.Apply(c)
	submit(s, "run", full, pools)
	for range 40 {
		if plan := Plan(s.View()); len(plan) > 0 {
			s.Apply(jobs.Command{At: s.Now(), Changes: plan})
		}
	}
	submit(s, "wait", waiting, pools)
	return s
}

func submit(s *jobs.State, name string, count, pools int) {
	c := jobs.Command{At: s.Now()}
	for n := range count {
		team := fmt.Sprintf("t%03d", n%190)
		c.Changes = append(c.Changes, jobs.Change{Submit: &jobs.Submit{
			ID: jobs.JobID(team, fmt.Sprint(name, n)), Team: team,
			Spec: jobs.Spec{
				Queue: "q", Pool: fmt.Sprint("p", n%pools), RunTime: 60_000, Idempotent: n%2 == 0, Urgent: n%20 == 0,
				Size: jobs.Size{Processors: 4_000 + 1_000*(n%5), MemoryMB: 8_000}, Payload: make([]byte, 64),
			},
		}})
	}
	s.Apply(c)
}

// BenchmarkPlan measures one plan; full is the number of running jobs.
func BenchmarkPlan(b *testing.B) {
	for _, c := range []struct{ workers, pools, waiting, full int }{
		{50, 5, 500, 0}, {50, 5, 500, 600}, {1_700, 110, 5_000, 0}, {1_700, 110, 5_000, 10_000}, {1_700, 10, 5_000, 10_000},
	} {
		b.Run(fmt.Sprintf("workers=%d/pools=%d/waiting=%d/running=%d", c.workers, c.pools, c.waiting, c.full), func(b *testing.B) {
			v := newFleet(c.workers, c.pools, c.waiting, c.full).View()
			planned := 0
			for b.Loop() {
				planned = len(Plan(v))
			}
			b.ReportMetric(float64(planned), "changes")
		})
	}
}

// BenchmarkView measures creating a view after a command, and a snapshot.
func BenchmarkView(b *testing.B) {
	s := newFleet(1_700, 110, 5_000, 10_000)
	b.Run("view", func(b *testing.B) {
		for b.Loop() {
			s.Apply(jobs.Command{At: s.Now()})
			s.View()
		}
	})
	b.Run("snapshot", func(b *testing.B) {
		size := 0
		for b.Loop() {
			image, err := s.Snapshot()
			if err != nil {
				b.Fatal(err)
			}
			size = len(image)
		}
		b.ReportMetric(float64(size)/15_000, "B/job")
	})
}
