package plan

import (
	"math"

	"magnoliastand.example/workload"
)

// trendWindow is the time in milliseconds over which demand growth is measured. It
// is long enough for several jobs to arrive, and short compared with the seconds
// in which a peak builds up.
const trendWindow workload.Millis = 1000

// Trend tracks the demand on a pool over time and extrapolates its growth.
type Trend struct {
	samples []sample
}

type sample struct {
	at     workload.Millis
	demand workload.Size
}

// Add records the demand at a time. Times must not decrease.
func (t *Trend) Add(at workload.Millis, demand workload.Size) {
	old := 0
	for old+1 < len(t.samples) && t.samples[old+1].at <= at-trendWindow {
		old++
	}
	t.samples = append(t.samples[old:], sample{at, demand})
}

// Rise extrapolates the growth of the window and returns the growth expected within
// ahead, at most the current demand. The random variation expected of a demand made
// up of the given number of jobs is subtracted from the measured growth.
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
