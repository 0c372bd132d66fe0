package replay

import (
	"fmt"
	"math"
	"math/rand/v2"

	"magnoliastand.example/api"
	"magnoliastand.example/placement"
)

// Shape of the generated demand.
const (
	// turn is how long one queue peaks before the next, in milliseconds.
	turn placement.Millis = 20_000
	// peakFactor and lowFactor are the demand of a queue in its turn and between.
	peakFactor = 5.0
	lowFactor  = 0.05
	// phase is how long a lasting level of demand stands, in milliseconds.
	phase placement.Millis = 45 * 60_000
	// quickPart is the part of quick tasks in the work.
	quickPart = 0.12
	// quickRun and longRun are mean run times in milliseconds.
	quickRun = 800.0
	longRun  = 12_000.0
	// longestRun bounds every run time, in milliseconds.
	longestRun = 60_000.0
	// poisonPart is the part of long tasks that always fail.
	poisonPart = 0.002
	// impossiblePart is the part of long tasks that fit no worker.
	impossiblePart = 0.001
	// cancelTurn is the time between waves of cancels, in milliseconds.
	cancelTurn placement.Millis = 7 * 60_000
	// cancelOffset puts the waves into the turn of a queue, when much waits.
	cancelOffset placement.Millis = 15_000
	// cancelPart is the part of the waiting tasks that is cancelled in a wave.
	cancelPart = 0.8
	// cancelEach is such that one of so many running tasks is cancelled in a wave.
	cancelEach = 3
)

// job is a task with what only the replay knows.
type job struct {
	placement.Task
	svc  int
	team int
	// actual is the true size and left the true work left, in milliseconds at full speed.
	actual placement.Size
	run    float64
	left   float64
	poison bool
}

// phaseFactors are lasting levels relative to the mean; they average 1.
var phaseFactors = []float64{0.5, 0.8, 1.2, 1.5}

// workload generates arrivals. Policies do not influence it.
type workload struct {
	sc     *scenario
	rng    *rand.Rand
	serial int
}

func newWorkload(sc *scenario) *workload {
	return &workload{sc: sc, rng: rand.New(rand.NewPCG(sc.seed, 2))}
}

// demand returns the offered load of a service in busy instances.
func (w *workload) demand(svc int, now placement.Millis) float64 {
	s := &w.sc.services[svc]
	level := phaseFactors[(int(now/phase)+svc+int(w.sc.seed))%len(phaseFactors)]
	peaking := int(now/turn)%len(w.sc.services) == svc
	if peaking {
		return s.load * level * peakFactor
	}
	return s.load * level * lowFactor
}

// arrivals returns the jobs of one service that arrive in [now, now+step).
func (w *workload) arrivals(svc int, now, step placement.Millis) []*job {
	offered := w.demand(svc, now) * float64(step)
	slot := 1.0 / slotsEach
	quick := w.poisson(offered * quickPart / (slot * quickRun))
	long := w.poisson(offered * (1 - quickPart) / (meanLongSize * longRun))
	out := make([]*job, 0, quick+long)
	for n := range quick + long {
		at := now + placement.Millis(w.rng.Int64N(int64(step)))
		out = append(out, w.job(svc, at, n < quick))
	}
	return out
}

// meanLongSize is the mean dominant size of a long job in instances.
const meanLongSize = 0.19

func (w *workload) job(svc int, at placement.Millis, quick bool) *job {
	w.serial++
	t := w.pickTeam()
	s := &w.sc.services[svc]
	j := &job{svc: svc, team: t}
	j.ID = fmt.Sprint(w.serial)
	j.Team = teams[t].name
	j.Submitted = at
	if quick {
		j.Queue = s.name + "-quick"
		j.Class = api.ClassQuick
		j.Declared = w.size(1.0 / 32)
		j.actual = j.Declared
		j.run = quickRun * spread(w.rng, 0.5, 0.2, 5) * 0.9
		j.DeclaredRun = quickRun
		j.left = j.run
		return j
	}
	j.Queue = s.name + "-long"
	j.Class = api.ClassLong
	j.Idempotent = w.rng.IntN(2) == 0
	j.Declared = w.size(1.0 / 8)
	part := min(s.sizeError[t]*spread(w.rng, 0.3, 0.5, 2)/8, 0.5)
	j.actual = w.size(part)
	j.run = min(longRun*spread(w.rng, 0.6, 0.2, 5)*0.85, longestRun)
	j.DeclaredRun = placement.Millis(j.run / s.runError[t])
	j.left = j.run
	switch x := w.rng.Float64(); {
	case x < poisonPart:
		j.poison = true
	case x < poisonPart+impossiblePart:
		j.Declared.Processors = 2000 * w.sc.dep.Cores
	}
	return j
}

// size returns one slot and the given part of a worker.
func (w *workload) size(part float64) placement.Size {
	return placement.Size{
		Slots:      1,
		Processors: int(part * 1000 * float64(w.sc.dep.Cores)),
		MemoryMB:   int(part * float64(w.sc.dep.MemoryMB) / 2),
	}
}

func (w *workload) pickTeam() int {
	x := w.rng.Float64()
	for n, t := range teams {
		if x -= t.part; x < 0 {
			return n
		}
	}
	return len(teams) - 1
}

// poisson draws a Poisson variate by inversion, for small means.
func (w *workload) poisson(mean float64) int {
	limit := math.Exp(-mean)
	n := 0
	for p := w.rng.Float64(); p > limit; p *= w.rng.Float64() {
		n++
	}
	return n
}
