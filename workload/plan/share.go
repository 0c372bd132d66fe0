package plan

import (
	"magnoliastand.example/fairshare"
	"magnoliastand.example/workload"
)

// overShare tells which of the waiting teams use more than their weight's share of
// what is in use. A share counts against the teams that use or wait for something.
func overShare(state *workload.State, waiting map[string]bool) map[string]bool {
	var total workload.Size
	var weights float64
	document := state.Document()
	for i := range document.Teams {
		t := &document.Teams[i]
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

// resources converts an amount; only proportions matter, so the units are kept.
func resources(s workload.Size) fairshare.Resources {
	return fairshare.Resources{
		Processors: float64(s.Processors), Memory: float64(s.MemoryMB), Accelerators: float64(s.Accelerators),
	}
}
