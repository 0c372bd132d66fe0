package planner

import (
	"slices"

	"magnoliastand.example/api"
	"magnoliastand.example/fleet"
)

// Snapshot is the input of a plan.
type Snapshot struct {
	Now   fleet.Millis
	Fleet fleet.View
	// Demand holds the forecasts of the pools that the planner may resize. Pools
	// without a forecast keep their size. The spare pool needs none.
	Demand []Demand
	// EvacuatedZones lists the availability zones in which nothing is started. Their
	// instances are no capacity of their pools.
	EvacuatedZones []string
	// Suspects lists the instances that fail tasks which succeed elsewhere.
	Suspects []string
}

// planRound is the working state of one call of Plan.
type planRound struct {
	snapshot    *Snapshot
	tuning      Tuning
	headroom    *fleet.Headroom
	pools       []*pool
	poolsByName map[string]*pool
	selected    map[string]bool
	commands    []fleet.Command
}

// pool is the planner's view of one pool, updated as commands are proposed.
type pool struct {
	config api.Pool
	demand *Demand
	// active holds the available instances outside evacuated zones.
	active []*fleet.Instance
	// remaining counts the instances outside evacuated zones that are or will be
	// available and that are not moving to another pool.
	remaining int
	// members counts all instances, withheld those of them in evacuated zones.
	members  int
	withheld int
	// outgoing and incoming count the moves in progress from and to the pool,
	// withheldOutgoing and withheldIncoming those of instances in evacuated zones.
	outgoing         int
	incoming         int
	withheldOutgoing int
	withheldIncoming int
}

// Plan returns the commands that bring the fleet closer to the objective: the
// next steps of moves and maintenance in progress, cancellations and failure
// reports after time-outs, quarantines, wave starts, drains for waves, and moves.
// Equal snapshots give equal plans.
func Plan(s Snapshot, o api.Objective) []fleet.Command {
	r := newPlanRound(&s, TuningOf(o))
	r.advancePermits()
	r.quarantineSuspects()
	r.startWaves()
	if r.tuning.WavesRespectDemand {
		r.planMoves()
		r.planWaves()
		return r.commands
	}
	r.planWaves()
	r.planMoves()
	return r.commands
}

func newPlanRound(s *Snapshot, t Tuning) *planRound {
	r := &planRound{
		snapshot:    s,
		tuning:      t,
		headroom:    s.Fleet.Headroom(),
		poolsByName: make(map[string]*pool, len(s.Fleet.Config.Pools)),
		selected:    map[string]bool{},
	}
	for _, config := range s.Fleet.Config.Pools {
		p := &pool{config: config}
		r.pools = append(r.pools, p)
		r.poolsByName[config.Name] = p
	}
	for n := range s.Demand {
		if p := r.poolsByName[s.Demand[n].Pool]; p != nil {
			p.demand = &s.Demand[n]
		}
	}
	for _, i := range s.Fleet.Instances {
		r.countInstance(i)
	}
	return r
}

// countInstance adds the instance to the counts of its pool and, for a move, of
// the target pool.
func (r *planRound) countInstance(i *fleet.Instance) {
	p := r.poolsByName[i.Pool]
	if p == nil {
		return
	}
	p.members++
	withheld := r.withheld(i)
	if withheld {
		p.withheld++
	}
	if i.Permit != nil && i.Permit.Purpose != fleet.PurposeMaintenance && i.Permit.Target != i.Pool {
		p.outgoing++
		if withheld {
			p.withheldOutgoing++
		}
		if to := r.poolsByName[i.Permit.Target]; to != nil {
			to.incoming++
			if withheld {
				to.withheldIncoming++
			}
		}
		return
	}
	if withheld {
		return
	}
	switch i.State {
	case fleet.Active:
		p.active = append(p.active, i)
		p.remaining++
	case fleet.Failed, fleet.Unknown, fleet.Quarantined:
	default:
		p.remaining++
	}
}

// withheld reports whether the instance is in an evacuated zone.
func (r *planRound) withheld(i *fleet.Instance) bool {
	return slices.Contains(r.snapshot.EvacuatedZones, i.Zone)
}

func (r *planRound) propose(c fleet.Command, reason string) {
	c.At = r.snapshot.Now
	c.Actor = fleet.Actor{Role: fleet.RolePlanner}
	c.Reason = reason
	r.commands = append(r.commands, c)
}

// proposeDrain proposes a drain of the instance if the availability budgets
// allow it. It returns false if they do not, or if the instance was already
// selected by this plan.
func (r *planRound) proposeDrain(i *fleet.Instance, p fleet.PermitDrain, reason string) bool {
	if r.selected[i.ID] || !r.headroom.Reserve(i) {
		return false
	}
	r.selected[i.ID] = true
	p.Instance = i.ID
	p.IfRevision = i.Revision
	r.propose(fleet.Command{PermitDrain: &p}, reason)
	return true
}

// quarantineSuspects proposes to quarantine suspect instances within the
// availability budgets.
func (r *planRound) quarantineSuspects() {
	for _, id := range r.snapshot.Suspects {
		i := r.snapshot.Fleet.Instance(id)
		if i == nil || i.State != fleet.Active || r.selected[id] || !r.headroom.Reserve(i) {
			continue
		}
		r.selected[id] = true
		on := &fleet.InstanceCommand{Instance: id, IfRevision: i.Revision}
		r.propose(fleet.Command{Quarantine: on}, "fails tasks that succeed elsewhere")
	}
}
