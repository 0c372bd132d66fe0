package planner

import (
	"cmp"
	"math"
	"slices"

	"magnoliastand.example/api"
	"magnoliastand.example/fleet"
)

// startWaves starts standing waves whose period has passed.
func (r *round) startWaves() {
	for _, w := range r.snap.Fleet.Config.Waves {
		if w.Period <= 0 {
			continue
		}
		run := r.snap.Fleet.Waves[w.Name]
		if run != nil {
			ended := run.State == fleet.WaveFinished || run.State == fleet.WaveAborted
			if !ended || r.snap.Now < run.Started+fleet.Millis(w.Period.Std().Milliseconds()) {
				continue
			}
		}
		r.propose(fleet.Command{StartWave: &fleet.OnWave{Wave: w.Name}}, "period has passed")
	}
}

// waves proposes drains for the running waves.
func (r *round) waves() {
	for _, w := range r.snap.Fleet.Config.Waves {
		run := r.snap.Fleet.Waves[w.Name]
		if run == nil || run.State != fleet.WaveRunning {
			continue
		}
		r.wave(w, run)
	}
}

// due is an instance that a wave has yet to maintain.
type due struct {
	*fleet.Instance
	// inPool is the number of instances of its pool that are due.
	inPool int
	// begun is the number of instances of its rack that were begun.
	begun int
}

// wave proposes drains up to the width of the run.
func (r *round) wave(w api.Wave, run *fleet.WaveRun) {
	candidates, inFlight := r.due(w, run)
	room := run.Width(w, r.snap.Now) - inFlight
	for _, d := range candidates {
		if room <= 0 {
			return
		}
		if !r.spares(d.Instance) {
			continue
		}
		p := fleet.PermitDrain{Purpose: fleet.PurposeMaintenance, Wave: w.Name}
		if r.permit(d.Instance, p, "wave "+w.Name) {
			r.byName[d.Pool].staying--
			room--
		}
	}
}

// due returns what is left of the wave in the order of service, and the number
// of permits in flight. Pools with much left come first, since their budgets
// decide how long the wave takes; then racks that were begun, so that a rack is
// done with soon.
func (r *round) due(w api.Wave, run *fleet.WaveRun) ([]due, int) {
	var out []due
	begun := map[string]int{}
	inPool := map[string]int{}
	inFlight := 0
	for _, i := range r.snap.Fleet.Instances {
		if !slices.Contains(w.Pools, i.Pool) {
			continue
		}
		held := i.Permit != nil && i.Permit.Wave == w.Name
		if held {
			inFlight++
		}
		if held || i.VisitOf(w.Name).Round == run.Round {
			begun[i.RackName()]++
			continue
		}
		inPool[i.Pool]++
		if i.State == fleet.Active && !i.Pinned {
			out = append(out, due{Instance: i})
		}
	}
	for n := range out {
		out[n].inPool = inPool[out[n].Pool]
		out[n].begun = begun[out[n].RackName()]
	}
	slices.SortStableFunc(out, func(a, b due) int {
		return cmp.Or(
			cmp.Compare(b.inPool, a.inPool),
			cmp.Compare(b.begun, a.begun),
			cmp.Compare(a.RackName(), b.RackName()),
		)
	})
	return out, inFlight
}

// spares reports whether the pool can do without the instance. Waves that are
// not gentle rely on the budgets alone.
func (r *round) spares(i *fleet.Instance) bool {
	p := r.byName[i.Pool]
	if p == nil || p.demand == nil || !r.tuning.GentleWaves {
		return true
	}
	return p.serving() > int(math.Ceil(p.demand.High*(1+leastMargin)))
}

// serving returns how many instances of the pool serve now.
func (p *pool) serving() int { return min(len(p.active), p.staying) }
