package planner

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"magnoliastand.example/fleet"
)

// moves proposes at most one instance to and one from each pool: first for
// pools that lack capacity, then to hand back what pools hold in excess.
func (r *round) moves() {
	spare := r.spare()
	for _, p := range r.pools {
		if p == spare || p.demand == nil || !p.demand.Lasting || p.lack(r.tuning) < 1 {
			continue
		}
		if from := r.donor(p, spare); from != nil {
			r.move(from, p, fmt.Sprintf("lasting demand of %.1f instances", p.demand.Low))
		}
	}
	if spare == nil {
		return
	}
	for _, p := range r.pools {
		if p == spare || p.demand == nil || !p.demand.Lasting || p.excess(r.tuning) < 1 {
			continue
		}
		r.move(p, spare, fmt.Sprintf("lasting demand of only %.1f instances", p.demand.High))
	}
}

func (r *round) spare() *pool {
	for _, p := range r.pools {
		if p.conf.Spare {
			return p
		}
	}
	return nil
}

// want returns the size for a level of demand within the bounds of the pool.
func (p *pool) want(level float64, t Tuning) float64 {
	size := math.Ceil(level * (1 + t.Margin))
	size = max(size, float64(p.conf.MinInstances))
	if p.conf.MaxInstances > 0 {
		size = min(size, float64(p.conf.MaxInstances))
	}
	return size
}

// lack returns how many instances the pool lacks for its lasting demand.
func (p *pool) lack(t Tuning) float64 {
	return p.want(p.demand.Low, t) - float64(p.staying+p.arriving)
}

// excess returns how many instances the pool holds beyond its lasting demand
// and the deadband.
func (p *pool) excess(t Tuning) float64 {
	return float64(p.staying+p.arriving) - p.want(p.demand.High, t) - t.Deadband
}

// donor returns the pool that gives an instance to p: the spare pool if it
// can, else the one with the largest excess.
func (r *round) donor(p, spare *pool) *pool {
	if spare != nil && spare != p && spare.canGive() {
		return spare
	}
	var best *pool
	for _, o := range r.pools {
		if o == p || o == spare || o.demand == nil || !o.canGive() || o.excess(r.tuning) < 1 {
			continue
		}
		if best == nil || o.excess(r.tuning) > best.excess(r.tuning) {
			best = o
		}
	}
	return best
}

// canGive reports whether the pool may lose one more instance by its lower bound.
func (p *pool) canGive() bool {
	return len(p.active) > 0 && p.members-p.leaving-1 >= p.conf.MinInstances
}

// move proposes the move of one instance, if one can be drained.
func (r *round) move(from, to *pool, reason string) {
	if !from.canGive() || !to.canTake() || r.headroom.Left(to.conf.Name) <= 0 {
		return
	}
	for _, i := range r.byFit(from, to) {
		p := fleet.PermitDrain{Purpose: fleet.PurposeMove, Target: to.conf.Name}
		if r.permit(i, p, reason) {
			from.staying--
			from.leaving++
			to.arriving++
			return
		}
	}
}

// canTake reports whether the pool may get one more instance by its upper bound.
func (p *pool) canTake() bool {
	return p.conf.MaxInstances == 0 || p.members+p.arriving+1 <= p.conf.MaxInstances
}

// byFit returns the best instance to move, as a list that is empty or holds
// candidates in order: zones and racks with few instances of the target first.
func (r *round) byFit(from, to *pool) []*fleet.Instance {
	zones := map[string]int{}
	racks := map[string]int{}
	for _, i := range to.active {
		zones[i.Zone]++
		racks[i.RackName()]++
	}
	var out []*fleet.Instance
	for _, i := range from.active {
		if !i.Pinned && !r.taken[i.ID] {
			out = append(out, i)
		}
	}
	slices.SortStableFunc(out, func(a, b *fleet.Instance) int {
		return cmp.Or(
			cmp.Compare(zones[a.Zone], zones[b.Zone]),
			cmp.Compare(racks[a.RackName()], racks[b.RackName()]),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return out
}
