package plan

import (
	"cmp"
	"slices"

	"magnoliastand.example/workload"
)

// Parameters of moves between pools.
const (
	// usablePercent is the percentage of an instance that tasks can be expected to
	// use; the rest is lost to fragmentation.
	usablePercent = 90
	// spareInstances is the number of instances that a pool keeps beyond its demand.
	spareInstances = 1
)

// PoolInstance describes an instance to Moves.
type PoolInstance struct {
	Name string
	Pool string
	// Kind is the type of the instance; instances of different kinds are not
	// interchangeable.
	Kind     string
	Capacity workload.Size
	// Missing is the part of Capacity that the instance does not offer, because the
	// capacity of its worker has shrunk.
	Missing workload.Size
	// Ready instances can run tasks now or will soon arrive in their pool.
	Ready bool
	// Movable instances run no tasks and have no pending order.
	Movable bool
	// Evacuated instances are in an evacuated availability zone. They are not ready, and no
	// pool takes them to cover a shortage.
	Evacuated bool
	// IdleFor is how long the instance has run no tasks.
	IdleFor workload.Millis
}

// wholeShare is the share of an instance that offers all of its capacity.
const wholeShare = 1000

// share returns the share of its capacity that an instance offers, in thousandths, in the
// dimension in which it is smallest.
func (i *PoolInstance) share() int64 {
	share := int64(wholeShare)
	for _, dim := range [...][2]int64{
		{i.Capacity.Processors, i.Missing.Processors}, {i.Capacity.MemoryMB, i.Missing.MemoryMB}, {i.Capacity.Accelerators, i.Missing.Accelerators},
	} {
		if dim[0] > 0 {
			share = min(share, max(0, dim[0]-dim[1])*wholeShare/dim[0])
		}
	}
	return share
}

// PoolDemand is the demand on a pool.
type PoolDemand struct {
	Standby bool
	// Running is reserved by current runs; Waiting is needed by tasks that could not
	// be placed.
	Running, Waiting workload.Size
	// Rising is the growth expected before an instance ordered now becomes
	// available.
	Rising workload.Size
	// Lasting is the part of Running that long-running tasks reserve.
	Lasting workload.Size
	// Arriving is what the work that arrives at the present rate will occupy.
	Arriving workload.Size
}

// total returns the resources that the pool needs: what runs, waits and is
// expected to grow, or what the arriving work occupies beside long-running tasks
// if that is more.
func (d *PoolDemand) total() workload.Size {
	return d.Running.Add(d.Waiting).Add(d.Rising).Max(d.Lasting.Add(d.Arriving))
}

// PoolInput is the input of Moves.
type PoolInput struct {
	Pools     map[string]PoolDemand
	Instances []PoolInstance
	// Settle is how long an instance of a pool with a surplus must be idle before it
	// is moved to a standby pool. A move costs about as much as running an instance
	// for that time.
	Settle workload.Millis
}

// Move moves an instance to another pool.
type Move struct {
	Instance, From, To string
}

// poolState is the state of a pool under the plan.
type poolState struct {
	name     string
	demand   PoolDemand
	kind     string
	required int
	// ready is the sum of the shares of the ready instances.
	ready     int64
	instances []*PoolInstance
}

// available returns to how many whole instances the ready ones amount.
func (p *poolState) available() int { return int((p.ready + wholeShare/2) / wholeShare) }

// Moves plans which instances change pools. Pools with a shortage take idle
// instances from standby pools first, then from pools with a surplus. Surplus
// instances that stay idle are moved to a standby pool.
func Moves(in *PoolInput) []Move {
	pools := collectPools(in)
	var moves []Move
	slices.SortFunc(pools, func(a, b *poolState) int {
		return cmp.Or(cmp.Compare(b.required-b.available(), a.required-a.available()), cmp.Compare(a.name, b.name))
	})
	for _, p := range pools {
		for !p.demand.Standby && p.available() < p.required {
			donor, instance := findDonor(pools, p, in.Settle)
			if instance == nil {
				break
			}
			moves = append(moves, applyMove(donor, instance, p))
		}
	}
	return append(moves, returnToStandby(pools, in.Settle)...)
}

// collectPools computes the number of instances that each pool requires.
func collectPools(in *PoolInput) []*poolState {
	byName := map[string]*poolState{}
	var pools []*poolState
	for name, d := range in.Pools {
		p := &poolState{name: name, demand: d}
		byName[name] = p
		pools = append(pools, p)
	}
	var unit workload.Size
	for i := range in.Instances {
		instance := &in.Instances[i]
		unit = unit.Max(instance.Capacity)
		p := byName[instance.Pool]
		if p == nil {
			continue
		}
		p.kind = instance.Kind
		p.instances = append(p.instances, instance)
		if instance.Ready {
			p.ready += instance.share()
		}
	}
	for _, p := range pools {
		slices.SortFunc(p.instances, func(a, b *PoolInstance) int {
			return cmp.Or(cmp.Compare(b.IdleFor, a.IdleFor), cmp.Compare(a.Name, b.Name))
		})
		if !p.demand.Standby {
			p.required = p.requiredInstances(unit)
		}
	}
	return pools
}

// requiredInstances returns the number of instances needed for the demand of the
// pool. If tasks wait although the total capacity is sufficient, the pool needs
// one more instance.
func (p *poolState) requiredInstances(unit workload.Size) int {
	n := 0
	want := p.demand.total()
	for _, dim := range [...][2]int64{
		{want.Processors, unit.Processors}, {want.MemoryMB, unit.MemoryMB}, {want.Accelerators, unit.Accelerators},
	} {
		if usable := dim[1] * usablePercent; usable > 0 {
			n = max(n, int((dim[0]*100+usable-1)/usable))
		}
	}
	if p.demand.Waiting != (workload.Size{}) && n <= p.available() {
		n = p.available() + 1
	}
	return n + spareInstances
}

// findDonor returns an idle instance that a pool with a shortage may take, and its
// pool. Instances of pools other than standby pools must have been idle for a
// quarter of settle.
func findDonor(pools []*poolState, to *poolState, settle workload.Millis) (*poolState, *PoolInstance) {
	var from *poolState
	var best *PoolInstance
	for _, p := range pools {
		spare := p.demand.Standby || p.available() > p.required
		if p == to || !spare || p.kind != to.kind && to.kind != "" {
			continue
		}
		for _, i := range p.instances {
			if !i.Movable || i.Evacuated || !p.demand.Standby && i.IdleFor < settle/4 {
				continue
			}
			if best == nil || p.demand.Standby && !from.demand.Standby {
				from, best = p, i
			}
			break
		}
	}
	return from, best
}

// applyMove updates the pools for the move of an instance and returns the move.
func applyMove(from *poolState, i *PoolInstance, to *poolState) Move {
	from.instances = slices.DeleteFunc(from.instances, func(o *PoolInstance) bool { return o == i })
	if i.Ready {
		from.ready -= i.share()
	}
	to.ready += wholeShare
	return Move{Instance: i.Name, From: from.name, To: to.name}
}

// returnToStandby moves surplus instances that have been idle for at least settle to
// a standby pool, those that offer least first. Evacuated instances are surplus once their
// pool has what it needs without them.
func returnToStandby(pools []*poolState, settle workload.Millis) []Move {
	var moves []Move
	for _, p := range pools {
		if !p.demand.Standby && p.available() >= p.required {
			moves = append(moves, returnEvacuated(pools, p, settle)...)
		}
		for !p.demand.Standby && p.available() > p.required {
			var least *PoolInstance
			for _, i := range p.instances {
				if i.Movable && i.Ready && i.IdleFor >= settle && (least == nil || i.share() < least.share()) {
					least = i
				}
			}
			to := standbyPoolFor(pools, p)
			if least == nil || to == nil {
				break
			}
			moves = append(moves, applyMove(p, least, to))
		}
	}
	return moves
}

// returnEvacuated moves the evacuated instances of a pool that have been idle for at least
// settle to a standby pool.
func returnEvacuated(pools []*poolState, p *poolState, settle workload.Millis) []Move {
	to := standbyPoolFor(pools, p)
	if to == nil {
		return nil
	}
	var moves []Move
	for _, i := range slices.Clone(p.instances) {
		if i.Evacuated && i.Movable && i.IdleFor >= settle {
			moves = append(moves, applyMove(p, i, to))
		}
	}
	return moves
}

func standbyPoolFor(pools []*poolState, from *poolState) *poolState {
	for _, p := range pools {
		if p.demand.Standby && (p.kind == "" || p.kind == from.kind) {
			return p
		}
	}
	return nil
}
