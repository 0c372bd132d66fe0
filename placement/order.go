package placement

import (
	"cmp"
	"slices"
)

// TeamUse is what one team uses of a pool and what it waits for.
type TeamUse struct {
	Team string
	// Share is the team's weight, a positive number.
	Share float64
	// Use is the dominant fraction of the pool that the team's running tasks take.
	Use float64
	// Debt is the use that the team lately had beyond its entitlement; negative
	// for a team that is owed.
	Debt float64
	// Demand is Use plus what the team's waiting tasks would take.
	Demand float64
	// Oldest is when the team's first waiting task was submitted.
	Oldest Millis
}

// Order picks the team that is served next.
type Order interface {
	// Next returns the index of a team. The slice is not empty.
	Next(teams []TeamUse) int
}

// LowestUse serves the team with the lowest use in proportion to its share.
// Ties go to the earlier name.
type LowestUse struct{}

// Next implements Order.
func (LowestUse) Next(teams []TeamUse) int {
	best := 0
	for n := 1; n < len(teams); n++ {
		if before(&teams[n], &teams[best]) {
			best = n
		}
	}
	return best
}

func before(a, b *TeamUse) bool {
	return cmp.Or(
		cmp.Compare((a.Use+a.Debt)/a.Share, (b.Use+b.Debt)/b.Share),
		cmp.Compare(a.Team, b.Team),
	) < 0
}

// Entitlements returns the weighted max-min fair division of capacity among
// the teams, given their demands. Capacity and demands have the same unit.
func Entitlements(capacity float64, teams []TeamUse) []float64 {
	out := make([]float64, len(teams))
	open := make([]int, 0, len(teams))
	shares := 0.0
	for n := range teams {
		open = append(open, n)
		shares += teams[n].Share
	}
	slices.SortFunc(open, func(a, b int) int {
		return cmp.Or(
			cmp.Compare(teams[a].Demand/teams[a].Share, teams[b].Demand/teams[b].Share),
			cmp.Compare(a, b),
		)
	})
	for _, n := range open {
		out[n] = min(teams[n].Demand, capacity*teams[n].Share/shares)
		capacity -= out[n]
		shares -= teams[n].Share
	}
	return out
}
