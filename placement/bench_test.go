package placement

import (
	"fmt"
	"testing"

	"magnoliastand.example/api"
)

// BenchmarkPlace measures the placement of tasks in an empty pool of 16 workers
// with 8 slots each, by the number of teams with waiting tasks.
func BenchmarkPlace(b *testing.B) {
	for _, teams := range []int{6, 48, 190} {
		b.Run(fmt.Sprint(teams), func(b *testing.B) {
			in := Input{Order: LowestUse{}, Estimator: NewEstimator(), Classes: Classes{QuickReserve: 0.25}}
			for n := range 16 {
				in.Workers = append(in.Workers, Worker{
					ID: fmt.Sprint(n), Rack: fmt.Sprint(n / 4), Open: true,
					Capacity: Size{Slots: 8, Processors: 64_000, MemoryMB: 128_000},
				})
			}
			for n := range teams {
				q := TeamQueue{TeamUse: TeamUse{Team: fmt.Sprintf("t%03d", n), Share: 1 + float64(n%3)}, Limit: -1}
				for k := range 24 {
					t := Task{
						ID: fmt.Sprint(n, k), Team: q.Team, Queue: "q", Class: api.ClassQuick,
						Declared: Size{Slots: 1, Processors: 4_000, MemoryMB: 1_000},
					}
					q.Quick = append(q.Quick, t)
					t.Class = api.ClassLong
					q.Long = append(q.Long, t)
				}
				in.Teams = append(in.Teams, q)
			}
			starts := 0
			for b.Loop() {
				starts = len(Place(in))
			}
			b.ReportMetric(float64(starts), "starts")
		})
	}
}

// BenchmarkCancel measures the time per task of pushing n tasks to a backlog
// and cancelling half of them.
func BenchmarkCancel(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var ids []string
			for k := range n {
				ids = append(ids, fmt.Sprint(k))
			}
			for b.Loop() {
				l := NewBacklog()
				for _, id := range ids {
					l.Push(Task{ID: id})
				}
				for k := 0; k < n; k += 2 {
					l.Cancel(ids[k])
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/task")
		})
	}
}
