package planner

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"magnoliastand.example/fleet"
)

// planMoves proposes moves: first one instance to each pool that is short of
// capacity, then one instance to the spare pool from each pool with an excess.
func (r *planRound) planMoves() {
	spare := r.sparePool()
	for _, p := range r.pools {
		if p == spare || p.demand == nil || !p.demand.Lasting || p.shortage(r.tuning) < 1 {
			continue
		}
		if from := r.donor(p, spare); from != nil {
			r.proposeMove(from, p, fmt.Sprintf("lasting demand of %.1f instances", p.demand.Low))
		}
	}
	if spare == nil {
		return
	}
	for _, p := range r.pools {
		if p == spare || p.demand == nil || !p.demand.Lasting || p.excess(r.tuning) < 1 {
			continue
		}
		r.proposeMove(p, spare, fmt.Sprintf("lasting demand of only %.1f instances", p.demand.High))
	}
}

func (r *planRound) sparePool() *pool {
	for _, p := range r.pools {
		if p.config.Spare {
			return p
		}
	}
	return nil
}

// targetSize returns the number of instances for a level of demand with its
// margin, within the size limits of the pool.
func (p *pool) targetSize(level float64, t Tuning) float64 {
	size := math.Ceil(level * (1 + t.Margin))
	size = max(size, float64(p.config.MinInstances))
	if p.config.MaxInstances > 0 {
		size = min(size, float64(p.config.MaxInstances))
	}
	return size
}

// shortage returns the number of instances missing from the pool for its lasting
// demand.
func (p *pool) shortage(t Tuning) float64 {
	return p.targetSize(p.demand.Low, t) - float64(p.capacity())
}

// excess returns the number of instances of the pool beyond its lasting demand
// and the deadband.
func (p *pool) excess(t Tuning) float64 {
	return float64(p.capacity()) - p.targetSize(p.demand.High, t) - t.Deadband
}

// capacity returns the number of instances that can serve the pool's demand, now or
// once the moves in progress are complete.
func (p *pool) capacity() int { return p.remaining + p.incoming - p.withheldIncoming }

// donor returns the pool to move an instance to p from: the spare pool if it can
// shrink, otherwise the pool with the largest excess of at least one instance,
// or nil if there is none.
func (r *planRound) donor(p, spare *pool) *pool {
	if spare != nil && spare != p && spare.canShrink() {
		return spare
	}
	var best *pool
	for _, o := range r.pools {
		if o == p || o == spare || o.demand == nil || !o.canShrink() || o.excess(r.tuning) < 1 {
			continue
		}
		if best == nil || o.excess(r.tuning) > best.excess(r.tuning) {
			best = o
		}
	}
	return best
}

// canShrink reports whether one more instance may leave the pool without
// violating its minimum size. Instances in evacuated zones don't count towards it.
func (p *pool) canShrink() bool {
	members := p.members - p.withheld
	outgoing := p.outgoing - p.withheldOutgoing
	return len(p.active) > 0 && members-outgoing-1 >= p.config.MinInstances
}

// proposeMove proposes to move one instance, if the size limits and availability
// budgets of both pools allow it.
func (r *planRound) proposeMove(from, to *pool, reason string) {
	if !from.canShrink() || !to.canGrow() || r.headroom.Remaining(to.config.Name) <= 0 {
		return
	}
	for _, i := range r.moveCandidates(from, to) {
		p := fleet.PermitDrain{Purpose: fleet.PurposeMove, Target: to.config.Name}
		if r.proposeDrain(i, p, reason) {
			from.remaining--
			from.outgoing++
			to.incoming++
			return
		}
	}
}

// canGrow reports whether one more instance may join the pool without violating
// its maximum size. The fleet state checks the same bound, so instances in evacuated
// zones count.
func (p *pool) canGrow() bool {
	return p.config.MaxInstances == 0 || p.members+p.incoming+1 <= p.config.MaxInstances
}

// moveCandidates returns the instances that can be moved, in order of
// preference. Instances in zones and then racks with the fewest instances of the
// target pool come first, to spread the pool over failure domains.
func (r *planRound) moveCandidates(from, to *pool) []*fleet.Instance {
	zones := map[string]int{}
	racks := map[string]int{}
	for _, i := range to.active {
		zones[i.Zone]++
		racks[i.RackName()]++
	}
	var out []*fleet.Instance
	for _, i := range from.active {
		if !i.Pinned && !r.selected[i.ID] {
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
