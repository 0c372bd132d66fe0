package placement

import (
	"cmp"
	"slices"
)

// TeamUse is the usage and demand of one team in a pool.
type TeamUse struct {
	Team string
	// Share is the weight of the team. It is positive.
	Share float64
	// Use is the dominant share of the pool that the team's running tasks use.
	Use float64
	// Debt is the recent usage beyond the team's entitlement. It is negative for
	// a team that was below its entitlement.
	Debt float64
	// Demand is Use plus the dominant share that the team's waiting tasks would
	// use.
	Demand float64
	// Oldest is the submission time of the team's first waiting task.
	Oldest Millis
}

// Order selects the team to serve next.
type Order interface {
	// Next returns the index of the team to serve. The slice must not be empty.
	Next(teams []TeamUse) int
}

// LowestUse selects the team with the lowest sum of usage and debt relative to
// its share. Ties are broken by name.
type LowestUse struct{}

// Next implements Order.
func (LowestUse) Next(teams []TeamUse) int {
	best := 0
	for n := 1; n < len(teams); n++ {
		if servedBefore(&teams[n], &teams[best]) {
			best = n
		}
	}
	return best
}

func servedBefore(a, b *TeamUse) bool {
	return cmp.Or(
		cmp.Compare((a.Use+a.Debt)/a.Share, (b.Use+b.Debt)/b.Share),
		cmp.Compare(a.Team, b.Team),
	) < 0
}

// Entitlements returns the weighted max-min fair allocation of capacity to the
// teams, given their demands. Capacity and demands have the same unit.
func Entitlements(capacity float64, teams []TeamUse) []float64 {
	out := make([]float64, len(teams))
	byDemand := make([]int, 0, len(teams))
	shareSum := 0.0
	for n := range teams {
		byDemand = append(byDemand, n)
		shareSum += teams[n].Share
	}
	slices.SortFunc(byDemand, func(a, b int) int {
		return cmp.Or(
			cmp.Compare(teams[a].Demand/teams[a].Share, teams[b].Demand/teams[b].Share),
			cmp.Compare(a, b),
		)
	})
	for _, n := range byDemand {
		out[n] = min(teams[n].Demand, capacity*teams[n].Share/shareSum)
		capacity -= out[n]
		shareSum -= teams[n].Share
	}
	return out
}
