package fairshare

import (
	"cmp"
	"slices"
)

// Demand is what one team asks of a divisible capacity.
type Demand struct {
	// Amount is the most that the team can use, not negative.
	Amount float64
	// Weight is the team's share, positive.
	Weight float64
}

// MaxMin divides capacity by weighted max-min fairness and returns one
// allocation per demand. No team gets more than its demand; capacity is left
// over only when every demand is met; and no team can get more without taking
// from one that has less for its weight.
func MaxMin(capacity float64, demands []Demand) []float64 {
	out := make([]float64, len(demands))
	order := make([]int, len(demands))
	weights := 0.0
	for i, d := range demands {
		order[i] = i
		weights += max(d.Weight, minWeight)
	}
	// The team whose demand is met at the lowest level comes first.
	level := func(i int) float64 {
		return demands[i].Amount / max(demands[i].Weight, minWeight)
	}
	slices.SortFunc(order, func(i, j int) int {
		return cmp.Or(cmp.Compare(level(i), level(j)), cmp.Compare(i, j))
	})
	left := max(capacity, 0)
	for _, i := range order {
		weight := max(demands[i].Weight, minWeight)
		fair := left
		if weights > weight {
			fair = left * weight / weights
		}
		out[i] = min(max(demands[i].Amount, 0), fair)
		left -= out[i]
		weights -= weight
	}
	return out
}
