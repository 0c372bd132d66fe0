package plan

import (
	"magnoliastand.example/fairshare"
	"magnoliastand.example/workload"
)

// teamsOverShare reports which of the waiting teams have a dominant share of the
// resources in use that exceeds their weighted fair share. Fair shares are relative
// to the weights of all teams that use resources or wait for them.
func teamsOverShare(state *workload.State, waiting map[string]bool) map[string]bool {
	var total workload.Size
	var weights float64
	for t := range state.Teams() {
		use := state.TeamUse(t.Name)
		if waiting[t.Name] || use != (workload.Size{}) {
			total = total.Add(use)
			weights += t.Weight
		}
	}
	over := map[string]bool{}
	if weights <= 0 {
		return over
	}
	for name := range waiting {
		if t, ok := state.Team(name); ok {
			used := fairshare.DominantShare(resources(state.TeamUse(name)), resources(total))
			over[name] = used > t.Weight/weights
		}
	}
	return over
}

// resources converts a size without converting units: only ratios are compared.
func resources(s workload.Size) fairshare.Resources {
	return fairshare.Resources{
		Processors: float64(s.Processors), Memory: float64(s.MemoryMB), Accelerators: float64(s.Accelerators),
	}
}
