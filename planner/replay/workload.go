package replay

import (
	"fmt"
	"math"
	"math/rand/v2"

	"magnoliastand.example/api"
	"magnoliastand.example/placement"
)

// Parameters of the generated demand.
const (
	// peakDuration is the time for which a service has its peak demand before the
	// peak passes to the next service, in milliseconds.
	peakDuration placement.Millis = 20_000
	// peakFactor and offPeakFactor are the demand of a service during and outside
	// its peak, relative to its current level of demand.
	peakFactor    = 5.0
	offPeakFactor = 0.05
	// levelDuration is the time between changes of the lasting level of demand, in
	// milliseconds.
	levelDuration placement.Millis = 45 * 60_000
	// quickFraction is the fraction of the demand that consists of quick tasks.
	quickFraction = 0.12
	// quickMeanRun and longMeanRun are the mean run times, in milliseconds.
	quickMeanRun = 800.0
	longMeanRun  = 12_000.0
	// maxRun is the maximum run time, in milliseconds.
	maxRun = 60_000.0
	// poisonFraction is the fraction of long tasks that always fail.
	poisonFraction = 0.002
	// oversizedFraction is the fraction of long tasks that fit no worker.
	oversizedFraction = 0.001
	// cancelInterval is the time between bursts of cancellations, in milliseconds.
	cancelInterval placement.Millis = 7 * 60_000
	// cancelOffset places the bursts within the peak of a service, when many tasks
	// are waiting, in milliseconds.
	cancelOffset placement.Millis = 15_000
	// cancelFraction is the fraction of waiting tasks that a burst cancels.
	cancelFraction = 0.8
	// A burst cancels every cancelStride-th running task of a worker.
	cancelStride = 3
)

// job is a task with its actual properties, which the placement does not know.
type job struct {
	placement.Task
	service int
	team    int
	// actual is the actual size.
	actual placement.Size
	// run is the run time and remaining the remaining work, in milliseconds at full
	// speed.
	run       float64
	remaining float64
	// poison tasks always fail.
	poison bool
}

// levelFactors are the lasting levels of demand relative to the mean demand. Their
// mean is 1.
var levelFactors = []float64{0.5, 0.8, 1.2, 1.5}

// workload generates the arrivals of jobs, independently of the policy.
type workload struct {
	scenario *scenario
	rng      *rand.Rand
	lastID   int
}

func newWorkload(sc *scenario) *workload {
	return &workload{scenario: sc, rng: rand.New(rand.NewPCG(sc.seed, 2))}
}

// demand returns the offered load of a service, in busy instances.
func (w *workload) demand(svc int, now placement.Millis) float64 {
	s := &w.scenario.services[svc]
	level := levelFactors[(int(now/levelDuration)+svc+int(w.scenario.seed))%len(levelFactors)]
	peaking := int(now/peakDuration)%len(w.scenario.services) == svc
	if peaking {
		return s.meanDemand * level * peakFactor
	}
	return s.meanDemand * level * offPeakFactor
}

// arrivals returns the jobs of one service that arrive from now to before
// now+step.
func (w *workload) arrivals(svc int, now, step placement.Millis) []*job {
	offered := w.demand(svc, now) * float64(step)
	slot := 1.0 / slotsPerInstance
	quick := w.poisson(offered * quickFraction / (slot * quickMeanRun))
	long := w.poisson(offered * (1 - quickFraction) / (meanLongSize * longMeanRun))
	out := make([]*job, 0, quick+long)
	for n := range quick + long {
		at := now + placement.Millis(w.rng.Int64N(int64(step)))
		out = append(out, w.job(svc, at, n < quick))
	}
	return out
}

// meanLongSize is the mean size of a long job, in instances.
const meanLongSize = 0.19

func (w *workload) job(svc int, at placement.Millis, quick bool) *job {
	w.lastID++
	t := w.pickTeam()
	s := &w.scenario.services[svc]
	j := &job{service: svc, team: t}
	j.ID = fmt.Sprint(w.lastID)
	j.Team = teams[t].name
	j.Submitted = at
	if quick {
		j.Queue = s.name + "-quick"
		j.Class = api.ClassQuick
		j.Declared = w.sizeOfFraction(1.0 / 32)
		j.actual = j.Declared
		j.run = quickMeanRun * logNormalFactor(w.rng, 0.5, 0.2, 5) * 0.9
		j.DeclaredRun = quickMeanRun
		j.remaining = j.run
		return j
	}
	j.Queue = s.name + "-long"
	j.Class = api.ClassLong
	j.Idempotent = w.rng.IntN(2) == 0
	j.Declared = w.sizeOfFraction(1.0 / 8)
	fraction := min(s.sizeError[t]*logNormalFactor(w.rng, 0.3, 0.5, 2)/8, 0.5)
	j.actual = w.sizeOfFraction(fraction)
	j.run = min(longMeanRun*logNormalFactor(w.rng, 0.6, 0.2, 5)*0.85, maxRun)
	j.DeclaredRun = placement.Millis(j.run / s.runError[t])
	j.remaining = j.run
	switch x := w.rng.Float64(); {
	case x < poisonFraction:
		j.poison = true
	case x < poisonFraction+oversizedFraction:
		j.Declared.Processors = 2000 * w.scenario.deployment.Cores
	}
	return j
}

// sizeOfFraction returns a size with one slot, the given fraction of a worker's
// processors and half that fraction of its memory.
func (w *workload) sizeOfFraction(fraction float64) placement.Size {
	return placement.Size{
		Slots:      1,
		Processors: int(fraction * 1000 * float64(w.scenario.deployment.Cores)),
		MemoryMB:   int(fraction * float64(w.scenario.deployment.MemoryMB) / 2),
	}
}

func (w *workload) pickTeam() int {
	x := w.rng.Float64()
	for n, t := range teams {
		if x -= t.taskFraction; x < 0 {
			return n
		}
	}
	return len(teams) - 1
}

// poisson draws a Poisson variate by Knuth's method, which is fast only for small
// means.
func (w *workload) poisson(mean float64) int {
	limit := math.Exp(-mean)
	n := 0
	for p := w.rng.Float64(); p > limit; p *= w.rng.Float64() {
		n++
	}
	return n
}
