// Package baseline holds simple policies that the planner is measured
// against. Their commands pass the same checks of the state as the planner's.
package baseline

import (
	"cmp"

	"magnoliastand.example/api"
	"magnoliastand.example/fleet"
	"magnoliastand.example/placement"
	"magnoliastand.example/planner"
)

// Pressure is the work that runs and waits for a pool at this moment, as the
// number of instances that it would keep busy.
type Pressure struct {
	Pool      string
	Instances float64
}

// FixedPools plans waves but never moves an instance.
func FixedPools(s planner.Snapshot, o api.Objective) []fleet.Command {
	s.Demand = nil
	return planner.Plan(s, o)
}

// OneAtATime plans like the planner but drains for waves one instance at a
// time over the whole fleet.
func OneAtATime(s planner.Snapshot, o api.Objective) []fleet.Command {
	busy := false
	for _, i := range s.Fleet.Instances {
		busy = busy || (i.Permit != nil && i.Permit.Wave != "")
	}
	var out []fleet.Command
	for _, c := range planner.Plan(s, o) {
		if c.PermitDrain != nil && c.PermitDrain.Wave != "" {
			if busy {
				continue
			}
			busy = true
		}
		out = append(out, c)
	}
	return out
}

// Greedy plans waves like the planner and in each round moves one instance
// from the pool with the least pressure for its size to the one with the most.
func Greedy(s planner.Snapshot, o api.Objective, now []Pressure) []fleet.Command {
	out := FixedPools(s, o)
	from, to := extremes(&s, now)
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

// extremes returns the pools with the least and the most pressure for their
// size. The first is empty unless the most pressed pool is over its size.
func extremes(s *planner.Snapshot, now []Pressure) (string, string) {
	active := map[string]int{}
	for _, i := range s.Fleet.Instances {
		if i.State == fleet.Active {
			active[i.Pool]++
		}
	}
	var from, to string
	least, most := 1.0, 1.0
	for _, p := range now {
		load := p.Instances / float64(max(active[p.Pool], 1))
		if load > most {
			to, most = p.Pool, load
		}
		if load < least && active[p.Pool] > 0 {
			from, least = p.Pool, load
		}
	}
	if to == "" {
		return "", ""
	}
	return from, to
}

// FirstInFirstOut serves the team whose first task waits longest, without
// regard to shares.
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
