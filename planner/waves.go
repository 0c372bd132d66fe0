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

// rack is what is left of a wave in one rack.
type rack struct {
	name  string
	begun int
	due   []*fleet.Instance
}

// wave proposes drains up to the width of the run, rack by rack.
func (r *round) wave(w api.Wave, run *fleet.WaveRun) {
	racks, inFlight := r.racks(w, run)
	room := run.Width(w, r.snap.Now) - inFlight
	for _, k := range racks {
		for _, i := range k.due {
			if room <= 0 {
				return
			}
			if !r.spares(i) {
				continue
			}
			p := fleet.PermitDrain{Purpose: fleet.PurposeMaintenance, Wave: w.Name}
			if r.permit(i, p, "wave "+w.Name) {
				r.byName[i.Pool].staying--
				room--
			}
		}
	}
}

// racks returns what is left of the wave by rack, begun racks first, then the
// fullest, and the number of permits in flight.
func (r *round) racks(w api.Wave, run *fleet.WaveRun) ([]*rack, int) {
	byName := map[string]*rack{}
	var out []*rack
	inFlight := 0
	for _, i := range r.snap.Fleet.Instances {
		if !slices.Contains(w.Pools, i.Pool) {
			continue
		}
		k := byName[i.RackName()]
		if k == nil {
			k = &rack{name: i.RackName()}
			byName[k.name] = k
			out = append(out, k)
		}
		held := i.Permit != nil && i.Permit.Wave == w.Name
		if held {
			inFlight++
		}
		done := i.VisitOf(w.Name).Round == run.Round
		if held || done {
			k.begun++
			continue
		}
		if i.State == fleet.Active && !i.Pinned {
			k.due = append(k.due, i)
		}
	}
	slices.SortStableFunc(out, func(a, b *rack) int {
		return cmp.Or(
			cmp.Compare(b.begun, a.begun),
			cmp.Compare(len(b.due), len(a.due)),
			cmp.Compare(a.name, b.name),
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
