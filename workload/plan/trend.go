package plan

import (
	"math"

	"magnoliastand.example/workload"
)

// trendWindow is the time over which the growth of a demand is measured: long
// enough for several jobs to arrive, short against the seconds that a peak takes to build up.
const trendWindow workload.Millis = 1000

// Trend follows the demand of a pool.
type Trend struct {
	samples []sample
}

type sample struct {
	at     workload.Millis
	demand workload.Size
}

// Add notes the demand at a time; times must not go back.
func (t *Trend) Add(at workload.Millis, demand workload.Size) {
	old := 0
	for old+1 < len(t.samples) && t.samples[old+1].at <= at-trendWindow {
		old++
	}
	t.samples = append(t.samples[old:], sample{at, demand})
}

// Rise returns how much the demand is expected to grow within ahead if it goes on
// as in the window, at most by itself again. Growth that a few jobs more or less
// explain is left out: jobs is the number of jobs that make up the demand.
func (t *Trend) Rise(ahead workload.Millis, jobs int) workload.Size {
	if len(t.samples) < 2 || jobs == 0 {
		return workload.Size{}
	}
	first, last := t.samples[0], t.samples[len(t.samples)-1]
	span := last.at - first.at
	if span < trendWindow {
		return workload.Size{}
	}
	grow := func(before, now int64) int64 {
		growth := float64(now - before)
		if growth <= 0 {
			return 0
		}
		growth -= math.Sqrt(growth * float64(now) / float64(jobs))
		return max(0, min(now, int64(growth*float64(ahead)/float64(span))))
	}
	return workload.Size{
		Processors:   grow(first.demand.Processors, last.demand.Processors),
		MemoryMB:     grow(first.demand.MemoryMB, last.demand.MemoryMB),
		Accelerators: grow(first.demand.Accelerators, last.demand.Accelerators),
	}
}
