package replay

import (
	"magnoliastand.example/fleet"
	"magnoliastand.example/placement"
	"magnoliastand.example/planner"
	"magnoliastand.example/planner/baseline"
)

// Policy is one way to decide, to be measured.
type Policy struct {
	Name string
	// plan proposes commands.
	plan func(s planner.Snapshot, d Deployment, now []baseline.CurrentLoad) []fleet.Command
	// order picks teams; shares tells whether debts and preemption are used.
	order  placement.Order
	shares bool
}

func planned(s planner.Snapshot, d Deployment, _ []baseline.CurrentLoad) []fleet.Command {
	return planner.Plan(s, d.Objective)
}

// Policies returns the planner and the baselines, each of which replaces one
// part of it.
func Policies() []Policy {
	return []Policy{
		{"planner", planned, placement.LowestUse{}, true},
		{"fixed pools", func(s planner.Snapshot, d Deployment, _ []baseline.CurrentLoad) []fleet.Command {
			return baseline.FixedPools(s, d.Objective)
		}, placement.LowestUse{}, true},
		{"greedy follow-the-queue", func(s planner.Snapshot, d Deployment, now []baseline.CurrentLoad) []fleet.Command {
			return baseline.Greedy(s, d.Objective, now)
		}, placement.LowestUse{}, true},
		{"first-in-first-out", planned, baseline.FirstInFirstOut{}, false},
		{"one-at-a-time", func(s planner.Snapshot, d Deployment, _ []baseline.CurrentLoad) []fleet.Command {
			return baseline.OneAtATime(s, d.Objective)
		}, placement.LowestUse{}, true},
	}
}

// Select returns the policy with the name, or all for an empty name.
func Select(name string) []Policy {
	var out []Policy
	for _, p := range Policies() {
		if name == "" || p.Name == name {
			out = append(out, p)
		}
	}
	return out
}
