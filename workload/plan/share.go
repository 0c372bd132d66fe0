package plan

import (
	"magnoliastand.example/fairshare"
	"magnoliastand.example/workload"
)

// shares tells which teams are beyond their share while others wait.
type shares struct {
	over map[string]bool
}

// newShares compares the use of the waiting teams with their weights. A team's
// share counts against the teams that use or wait for something.
func newShares(state *workload.State, waiting map[string]bool) shares {
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
	s := shares{over: map[string]bool{}}
	if weights <= 0 {
		return s
	}
	for name := range waiting {
		if t, ok := state.Team(name); ok {
			used := fairshare.DominantShare(resources(state.TeamUse(name)), resources(total))
			s.over[name] = used > t.Weight/weights
		}
	}
	return s
}

// resources converts an amount; only proportions matter, so the units are kept.
func resources(s workload.Size) fairshare.Resources {
	return fairshare.Resources{
		Processors: float64(s.Processors), Memory: float64(s.MemoryMB), Accelerators: float64(s.Accelerators),
	}
}
