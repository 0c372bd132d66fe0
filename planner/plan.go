package planner

import (
	"magnoliastand.example/api"
	"magnoliastand.example/fleet"
)

// Snapshot is what a plan is made from.
type Snapshot struct {
	Now   fleet.Millis
	Fleet fleet.View
	// Demand is the forecast of the pools that the planner may resize. Pools
	// without one keep their size; the spare pool needs none.
	Demand []Demand
	// Suspects lists instances that fail what others run.
	Suspects []string
}

// round is the working state of one call of Plan.
type round struct {
	snap     *Snapshot
	tuning   Tuning
	headroom *fleet.Headroom
	pools    []*pool
	byName   map[string]*pool
	taken    map[string]bool
	out      []fleet.Command
}

// pool is the planner's sight of one pool.
type pool struct {
	conf   api.Pool
	demand *Demand
	// active instances are available now.
	active []*fleet.Instance
	// staying counts instances that serve now or soon and are not leaving.
	staying int
	// members counts all instances.
	members int
	// leaving and arriving count moves under way.
	leaving  int
	arriving int
}

// Plan returns the commands that bring the fleet nearer to the objective: the
// next steps of moves and maintenance under way, time-outs, quarantine, new
// waves, drains for waves, and moves. Equal snapshots give equal plans.
func Plan(s Snapshot, o api.Objective) []fleet.Command {
	r := newRound(&s, TuningOf(o))
	r.progress()
	r.quarantine()
	r.startWaves()
	if r.tuning.GentleWaves {
		r.moves()
		r.waves()
		return r.out
	}
	r.waves()
	r.moves()
	return r.out
}

func newRound(s *Snapshot, t Tuning) *round {
	r := &round{
		snap:     s,
		tuning:   t,
		headroom: s.Fleet.Headroom(),
		byName:   make(map[string]*pool, len(s.Fleet.Config.Pools)),
		taken:    map[string]bool{},
	}
	for _, conf := range s.Fleet.Config.Pools {
		p := &pool{conf: conf}
		r.pools = append(r.pools, p)
		r.byName[conf.Name] = p
	}
	for n := range s.Demand {
		if p := r.byName[s.Demand[n].Pool]; p != nil {
			p.demand = &s.Demand[n]
		}
	}
	for _, i := range s.Fleet.Instances {
		r.count(i)
	}
	return r
}

// count adds the instance to its pools.
func (r *round) count(i *fleet.Instance) {
	p := r.byName[i.Pool]
	if p == nil {
		return
	}
	p.members++
	if i.Permit != nil && i.Permit.Purpose != fleet.PurposeMaintenance && i.Permit.Target != i.Pool {
		p.leaving++
		if to := r.byName[i.Permit.Target]; to != nil {
			to.arriving++
		}
		return
	}
	switch i.State {
	case fleet.Active:
		p.active = append(p.active, i)
		p.staying++
	case fleet.Failed, fleet.Unknown, fleet.Quarantined:
	default:
		p.staying++
	}
}

// propose appends a command.
func (r *round) propose(c fleet.Command, reason string) {
	c.At = r.snap.Now
	c.Actor = fleet.Actor{Role: fleet.RolePlanner}
	c.Reason = reason
	r.out = append(r.out, c)
}

// permit proposes a drain if no budget stands against it.
func (r *round) permit(i *fleet.Instance, p fleet.PermitDrain, reason string) bool {
	if r.taken[i.ID] || !r.headroom.Take(i) {
		return false
	}
	r.taken[i.ID] = true
	p.Instance = i.ID
	p.IfRevision = i.Revision
	r.propose(fleet.Command{PermitDrain: &p}, reason)
	return true
}

// quarantine takes suspect instances out of service.
func (r *round) quarantine() {
	for _, id := range r.snap.Suspects {
		i := r.snap.Fleet.Instance(id)
		if i == nil || i.State != fleet.Active || r.taken[id] || !r.headroom.Take(i) {
			continue
		}
		r.taken[id] = true
		on := &fleet.OnInstance{Instance: id, IfRevision: i.Revision}
		r.propose(fleet.Command{Quarantine: on}, "fails tasks that succeed elsewhere")
	}
}
