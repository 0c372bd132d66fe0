// Package baseline provides simple policies to compare the planner with. The
// fleet state checks their commands in the same way as those of the planner.
package baseline

import (
	"cmp"

	"magnoliastand.example/api"
	"magnoliastand.example/fleet"
	"magnoliastand.example/placement"
	"magnoliastand.example/planner"
)

// CurrentLoad is the running and waiting work of a pool at present, as the number
// of instances that it keeps busy.
type CurrentLoad struct {
	Pool      string
	Instances float64
}

// FixedPools plans waves but no moves.
func FixedPools(s planner.Snapshot, o api.Objective) []fleet.Command {
	s.Demand = nil
	return planner.Plan(s, o)
}

// OneAtATime plans like the planner but drains at most one instance of the fleet
// at a time for waves.
func OneAtATime(s planner.Snapshot, o api.Objective) []fleet.Command {
	inProgress := false
	for _, i := range s.Fleet.Instances {
		inProgress = inProgress || (i.Permit != nil && i.Permit.Wave != "")
	}
	var out []fleet.Command
	for _, c := range planner.Plan(s, o) {
		if c.PermitDrain != nil && c.PermitDrain.Wave != "" {
			if inProgress {
				continue
			}
			inProgress = true
		}
		out = append(out, c)
	}
	return out
}

// Greedy plans waves like the planner. In each plan it moves one instance from
// the pool with the lowest current load per active instance to the pool with the
// highest.
func Greedy(s planner.Snapshot, o api.Objective, loads []CurrentLoad) []fleet.Command {
	out := FixedPools(s, o)
	from, to := leastAndMostLoaded(&s, loads)
	if from == "" || from == to {
		return out
	}
	for _, i := range s.Fleet.Instances {
		if i.Pool != from || i.State != fleet.Active {
			continue
		}
		p := &fleet.PermitDrain{Instance: i.ID, IfRevision: i.Revision, Purpose: fleet.PurposeMove, Target: to}
		return append(out, fleet.Command{
			At: s.Now, Actor: fleet.Actor{Role: fleet.RolePlanner}, Reason: "longest queue", PermitDrain: p,
		})
	}
	return out
}

// leastAndMostLoaded returns the pools with the lowest and the highest load per
// active instance. It returns empty names if no pool has a load above 1. The
// first name is also empty if no pool has a load below 1.
func leastAndMostLoaded(s *planner.Snapshot, loads []CurrentLoad) (string, string) {
	active := map[string]int{}
	for _, i := range s.Fleet.Instances {
		if i.State == fleet.Active {
			active[i.Pool]++
		}
	}
	var from, to string
	minLoad, maxLoad := 1.0, 1.0
	for _, p := range loads {
		load := p.Instances / float64(max(active[p.Pool], 1))
		if load > maxLoad {
			to, maxLoad = p.Pool, load
		}
		if load < minLoad && active[p.Pool] > 0 {
			from, minLoad = p.Pool, load
		}
	}
	if to == "" {
		return "", ""
	}
	return from, to
}

// FirstInFirstOut selects the team whose first task has waited longest,
// regardless of shares.
type FirstInFirstOut struct{}

// Next implements placement.Order.
func (FirstInFirstOut) Next(teams []placement.TeamUse) int {
	best := 0
	for n := 1; n < len(teams); n++ {
		a, b := &teams[n], &teams[best]
		if cmp.Or(cmp.Compare(a.Oldest, b.Oldest), cmp.Compare(a.Team, b.Team)) < 0 {
			best = n
		}
	}
	return best
}
