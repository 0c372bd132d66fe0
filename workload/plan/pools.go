package plan

import (
	"cmp"
	"slices"

	"magnoliastand.example/workload"
)

// Weights and times of the moves between pools.
const (
	// roomPercent is the share of an instance that work is expected to fill; the
	// rest is lost to sizes that don't add up.
	roomPercent = 90
	// headroom is the number of instances that a pool keeps beyond its need.
	headroom = 1
)

// PoolInstance is one instance as the moves see it.
type PoolInstance struct {
	Name string
	Pool string
	// Kind tells instances apart that can't take each other's place.
	Kind     string
	Capacity workload.Size
	// Ready instances can take work now, or arrive in their pool soon.
	Ready bool
	// Movable instances run nothing and wait for no order.
	Movable bool
	// IdleFor is how long the instance has run nothing.
	IdleFor workload.Millis
}

// PoolDemand is what a pool has to carry.
type PoolDemand struct {
	Standby bool
	// Running is what its runs occupy, Waiting what found no room.
	Running, Waiting workload.Size
	// Rising is how much more is expected until an instance ordered now is there.
	Rising workload.Size
}

// PoolInput is a snapshot to plan moves from.
type PoolInput struct {
	Pools     map[string]PoolDemand
	Instances []PoolInstance
	// Settle is how long an instance of a pool with too many must be idle before it
	// moves away; a move costs about as much as an instance in that time.
	Settle workload.Millis
}

// Move takes one instance to another pool.
type Move struct {
	Instance, From, To string
}

// poolState is a pool with what the plan makes of it.
type poolState struct {
	name      string
	demand    PoolDemand
	kind      string
	need      int
	have      int
	instances []*PoolInstance
}

// Moves plans which instances change their pool: pools in need take idle
// instances of standby pools first, then those of pools with too many; what is
// left idle goes to a standby pool.
func Moves(in *PoolInput) []Move {
	pools := collectPools(in)
	var moves []Move
	slices.SortFunc(pools, func(a, b *poolState) int {
		return cmp.Or(cmp.Compare(b.need-b.have, a.need-a.have), cmp.Compare(a.name, b.name))
	})
	for _, p := range pools {
		for !p.demand.Standby && p.have < p.need {
			donor, instance := findDonor(pools, p, in.Settle)
			if instance == nil {
				break
			}
			moves = append(moves, take(donor, instance, p))
		}
	}
	return append(moves, park(pools, in.Settle)...)
}

// collectPools derives the need of each pool in instances.
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
			p.have++
		}
	}
	for _, p := range pools {
		slices.SortFunc(p.instances, func(a, b *PoolInstance) int {
			return cmp.Or(cmp.Compare(b.IdleFor, a.IdleFor), cmp.Compare(a.Name, b.Name))
		})
		if !p.demand.Standby {
			p.need = p.needed(unit)
		}
	}
	return pools
}

// needed returns how many instances carry the demand of the pool. Work that
// waits although the sum of its instances would do needs one more.
func (p *poolState) needed(unit workload.Size) int {
	n := 0
	want := p.demand.Running.Add(p.demand.Waiting).Add(p.demand.Rising)
	for _, dim := range [...][2]int64{
		{want.Processors, unit.Processors}, {want.MemoryMB, unit.MemoryMB}, {want.Accelerators, unit.Accelerators},
	} {
		if room := dim[1] * roomPercent; room > 0 {
			n = max(n, int((dim[0]*100+room-1)/room))
		}
	}
	if p.demand.Waiting != (workload.Size{}) && n <= p.have {
		n = p.have + 1
	}
	return n + headroom
}

// findDonor returns an idle instance that a pool in need may take.
func findDonor(pools []*poolState, to *poolState, settle workload.Millis) (*poolState, *PoolInstance) {
	var from *poolState
	var best *PoolInstance
	for _, p := range pools {
		spare := p.demand.Standby || p.have > p.need
		if p == to || !spare || p.kind != to.kind && to.kind != "" {
			continue
		}
		for _, i := range p.instances {
			if !i.Movable || !p.demand.Standby && i.IdleFor < settle/4 {
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

// take moves an instance in the plan.
func take(from *poolState, i *PoolInstance, to *poolState) Move {
	from.instances = slices.DeleteFunc(from.instances, func(o *PoolInstance) bool { return o == i })
	if i.Ready {
		from.have--
	}
	to.have++
	return Move{Instance: i.Name, From: from.name, To: to.name}
}

// park sends instances that were idle for long to a standby pool.
func park(pools []*poolState, settle workload.Millis) []Move {
	var moves []Move
	for _, p := range pools {
		for !p.demand.Standby && p.have > p.need {
			at := slices.IndexFunc(p.instances, func(i *PoolInstance) bool { return i.Movable && i.Ready && i.IdleFor >= settle })
			if at < 0 {
				break
			}
			to := standbyFor(pools, p)
			if to == nil {
				break
			}
			moves = append(moves, take(p, p.instances[at], to))
		}
	}
	return moves
}

func standbyFor(pools []*poolState, from *poolState) *poolState {
	for _, p := range pools {
		if p.demand.Standby && (p.kind == "" || p.kind == from.kind) {
			return p
		}
	}
	return nil
}
