package replay

import (
	"magnoliastand.example/fleet"
	"magnoliastand.example/placement"
	"magnoliastand.example/planner"
	"magnoliastand.example/planner/baseline"
)

// Policy is a combination of planning and placement rules to measure.
type Policy struct {
	Name string
	// plan returns the commands to apply to the fleet.
	plan func(s planner.Snapshot, d Deployment, now []baseline.CurrentLoad) []fleet.Command
	// order selects the team to serve next. FairShare enables debts and preemption.
	order     placement.Order
	fairShare bool
}

func planWithPlanner(s planner.Snapshot, d Deployment, _ []baseline.CurrentLoad) []fleet.Command {
	return planner.Plan(s, d.Objective)
}

// Policies returns the planner and the baselines. Each baseline replaces one part
// of the planner.
func Policies() []Policy {
	return []Policy{
		{"planner", planWithPlanner, placement.LowestUse{}, true},
		{"fixed pools", func(s planner.Snapshot, d Deployment, _ []baseline.CurrentLoad) []fleet.Command {
			return baseline.FixedPools(s, d.Objective)
		}, placement.LowestUse{}, true},
		{"greedy follow-the-queue", func(s planner.Snapshot, d Deployment, now []baseline.CurrentLoad) []fleet.Command {
			return baseline.Greedy(s, d.Objective, now)
		}, placement.LowestUse{}, true},
		{"first-in-first-out", planWithPlanner, baseline.FirstInFirstOut{}, false},
		{"one-at-a-time", func(s planner.Snapshot, d Deployment, _ []baseline.CurrentLoad) []fleet.Command {
			return baseline.OneAtATime(s, d.Objective)
		}, placement.LowestUse{}, true},
	}
}

// Select returns the policy with the name, or all policies if the name is empty.
func Select(name string) []Policy {
	var out []Policy
	for _, p := range Policies() {
		if name == "" || p.Name == name {
			out = append(out, p)
		}
	}
	return out
}
