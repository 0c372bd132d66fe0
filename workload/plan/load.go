package plan

import (
	"math"

	"magnoliastand.example/workload"
)

// loadWindows are the times in milliseconds over which the rate of arriving work
// is measured. The short ones show a rise early, the long ones with less
// variation.
var loadWindows = [...]workload.Millis{250, 500, LoadMemory}

// LoadMemory is the time in milliseconds for which a Load remembers arrivals.
const LoadMemory workload.Millis = 1000

// minArrivals is the number of jobs below which a window shows no rate.
const minArrivals = 8

// Load tracks the work that arrives for a pool. By Little's law, work that arrives
// at a rate and runs at once occupies the rate times the run time, so Load shows
// the capacity that a pool needs before its tasks have been placed.
type Load struct {
	arrivals []arrival
}

// arrival is the work of one job: its resources times its run time in
// milliseconds.
type arrival struct {
	at   workload.Millis
	work workload.Size
}

// Add records a job. Times must not decrease. factor is the ratio of run times to
// estimates that the queue's tasks have shown. Jobs with a start time and
// long-running steps are left out: they do not follow from a rate.
func (l *Load) Add(at workload.Millis, spec *workload.Spec, factor float64) {
	if spec.StartAt != 0 {
		return
	}
	var work workload.Size
	for i := range spec.Steps {
		s := &spec.Steps[i]
		if s.LongRunning {
			continue
		}
		n := workload.Millis(float64(s.Estimate)*factor) * int64(s.Count) * int64(max(spec.Repeat, 1))
		need := s.Reserved()
		work = work.Add(workload.Size{Processors: need.Processors * n, MemoryMB: need.MemoryMB * n, Accelerators: need.Accelerators * n})
	}
	if work != (workload.Size{}) {
		l.arrivals = append(l.arrivals, arrival{at, work})
	}
}

// Expect returns the resources that work arriving at the present rate occupies,
// less the random variation of the rate: the largest value that any window shows.
func (l *Load) Expect(now workload.Millis) workload.Size {
	old := 0
	for old < len(l.arrivals) && l.arrivals[old].at <= now-LoadMemory {
		old++
	}
	l.arrivals = l.arrivals[old:]
	var most, sum workload.Size
	next := len(l.arrivals)
	for _, window := range loadWindows {
		for next > 0 && l.arrivals[next-1].at > now-window {
			next--
			sum = sum.Add(l.arrivals[next].work)
		}
		if n := len(l.arrivals) - next; n >= minArrivals {
			share := (1 - 1/math.Sqrt(float64(n))) / float64(window)
			most = most.Max(workload.Size{
				Processors: int64(float64(sum.Processors) * share), MemoryMB: int64(float64(sum.MemoryMB) * share),
				Accelerators: int64(float64(sum.Accelerators) * share),
			})
		}
	}
	return most
}
