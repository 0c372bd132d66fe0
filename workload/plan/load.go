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

// maxGrowth bounds the growth that is expected, as a multiple of the present rate.
const maxGrowth = 1

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
		l.forget(at)
		l.arrivals = append(l.arrivals, arrival{at, work})
	}
}

// Len returns the number of remembered arrivals.
func (l *Load) Len() int { return len(l.arrivals) }

// forget removes the arrivals older than LoadMemory.
func (l *Load) forget(now workload.Millis) {
	old := 0
	for old < len(l.arrivals) && l.arrivals[old].at <= now-LoadMemory {
		old++
	}
	l.arrivals = l.arrivals[old:]
}

// Expect returns the resources that arriving work will occupy when the given time
// in milliseconds has passed: at the present rate, less its random variation, as
// the window that shows the largest value has it, plus the growth of the rate.
func (l *Load) Expect(now, ahead workload.Millis) workload.Size {
	l.forget(now)
	var rate, sum workload.Size
	next := len(l.arrivals)
	for _, window := range loadWindows {
		for next > 0 && l.arrivals[next-1].at > now-window {
			next--
			sum = sum.Add(l.arrivals[next].work)
		}
		if n := len(l.arrivals) - next; n >= minArrivals {
			rate = rate.Max(scale(sum, (1-1/math.Sqrt(float64(n)))/float64(window)))
		}
	}
	growth := l.growth(now, ahead)
	limit := scale(rate, maxGrowth)
	return rate.Add(workload.Size{
		Processors: min(growth.Processors, limit.Processors), MemoryMB: min(growth.MemoryMB, limit.MemoryMB),
		Accelerators: min(growth.Accelerators, limit.Accelerators),
	})
}

// growth extrapolates the growth of the rate between the two halves of the
// remembered time, less its random variation.
func (l *Load) growth(now, ahead workload.Millis) workload.Size {
	const half = LoadMemory / 2
	var before, after, squares [3]float64
	for _, a := range l.arrivals {
		work := [3]float64{float64(a.work.Processors), float64(a.work.MemoryMB), float64(a.work.Accelerators)}
		for i, w := range work {
			squares[i] += w * w
			if a.at > now-half {
				after[i] += w
			} else {
				before[i] += w
			}
		}
	}
	// The rate of the second half is that of its middle.
	factor := float64(ahead+half/2) / float64(half*half)
	var grown [3]int64
	for i := range grown {
		grown[i] = int64(max(0, after[i]-before[i]-math.Sqrt(squares[i])) * factor)
	}
	return workload.Size{Processors: grown[0], MemoryMB: grown[1], Accelerators: grown[2]}
}

func scale(s workload.Size, by float64) workload.Size {
	return workload.Size{
		Processors: int64(float64(s.Processors) * by), MemoryMB: int64(float64(s.MemoryMB) * by), Accelerators: int64(float64(s.Accelerators) * by),
	}
}
