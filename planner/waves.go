package planner

import (
	"cmp"
	"math"
	"slices"

	"magnoliastand.example/api"
	"magnoliastand.example/fleet"
)

// startWaves proposes to start the periodic waves whose period has passed since
// their last start.
func (r *planRound) startWaves() {
	for _, w := range r.snapshot.Fleet.Config.Waves {
		if w.Period <= 0 {
			continue
		}
		run := r.snapshot.Fleet.Waves[w.Name]
		if run != nil {
			ended := run.State == fleet.WaveFinished || run.State == fleet.WaveAborted
			if !ended || r.snapshot.Now < run.Started+fleet.Millis(w.Period.Std().Milliseconds()) {
				continue
			}
		}
		r.propose(fleet.Command{StartWave: &fleet.WaveCommand{Wave: w.Name}}, "period has passed")
	}
}

// planWaves proposes drains for all running waves.
func (r *planRound) planWaves() {
	for _, w := range r.snapshot.Fleet.Config.Waves {
		run := r.snapshot.Fleet.Waves[w.Name]
		if run == nil || run.State != fleet.WaveRunning {
			continue
		}
		r.planWave(w, run)
	}
}

// waveCandidate is an instance that a wave has not maintained yet.
type waveCandidate struct {
	*fleet.Instance
	// pendingInPool is the number of instances in the same pool that the wave has
	// not started to maintain.
	pendingInPool int
	// startedInRack is the number of instances in the same rack whose maintenance
	// has started or finished in this round of the wave.
	startedInRack int
}

// planWave proposes drains for one wave, up to the width that its run allows.
func (r *planRound) planWave(w api.Wave, run *fleet.WaveRun) {
	candidates, permits := r.waveCandidates(w, run)
	available := run.PermitLimit(w, r.snapshot.Now) - permits
	for _, d := range candidates {
		if available <= 0 {
			return
		}
		if !r.canDrainForWave(d.Instance) {
			continue
		}
		p := fleet.PermitDrain{Purpose: fleet.PurposeMaintenance, Wave: w.Name}
		if r.proposeDrain(d.Instance, p, "wave "+w.Name) {
			if !r.withheld(d.Instance) {
				r.poolsByName[d.Pool].remaining--
			}
			available--
		}
	}
}

// waveCandidates returns the instances that can be drained for the wave, in
// order of preference, and the number of permits that the wave holds. Pools with
// the most pending instances come first, since their budgets determine the
// duration of the wave. Within those, racks with the most started instances come
// first, so that started racks are completed early.
func (r *planRound) waveCandidates(w api.Wave, run *fleet.WaveRun) ([]waveCandidate, int) {
	var out []waveCandidate
	startedInRack := map[string]int{}
	pendingInPool := map[string]int{}
	permits := 0
	for _, i := range r.snapshot.Fleet.Instances {
		if !slices.Contains(w.Pools, i.Pool) {
			continue
		}
		held := i.Permit != nil && i.Permit.Wave == w.Name
		if held {
			permits++
		}
		if held || i.VisitOf(w.Name).Round == run.Round {
			startedInRack[i.RackName()]++
			continue
		}
		pendingInPool[i.Pool]++
		if i.State == fleet.Active && !i.Pinned {
			out = append(out, waveCandidate{Instance: i})
		}
	}
	for n := range out {
		out[n].pendingInPool = pendingInPool[out[n].Pool]
		out[n].startedInRack = startedInRack[out[n].RackName()]
	}
	slices.SortStableFunc(out, func(a, b waveCandidate) int {
		return cmp.Or(
			cmp.Compare(b.pendingInPool, a.pendingInPool),
			cmp.Compare(b.startedInRack, a.startedInRack),
			cmp.Compare(a.RackName(), b.RackName()),
		)
	})
	return out, permits
}

// canDrainForWave reports whether the pool keeps enough instances for its demand
// without the instance. One in an evacuated zone serves no demand. If
// WavesRespectDemand is not set, only the availability budgets restrict a wave.
func (r *planRound) canDrainForWave(i *fleet.Instance) bool {
	p := r.poolsByName[i.Pool]
	if p == nil || p.demand == nil || !r.tuning.WavesRespectDemand || r.withheld(i) {
		return true
	}
	return p.serving() > int(math.Ceil(p.demand.High*(1+minMargin)))
}

// serving returns the number of available instances of the pool, limited by the
// number that remain in it after the drains proposed so far.
func (p *pool) serving() int { return min(len(p.active), p.remaining) }
