package fairshare

import (
	"cmp"
	"slices"
)

// Demand is the demand of one team for a divisible capacity.
type Demand struct {
	// Amount is the maximum that the team can use; it must not be negative.
	Amount float64
	// Weight is the team's fair-share weight; it must be positive.
	Weight float64
}

// MaxMin divides capacity by weighted max-min fairness and returns one allocation
// per demand. No allocation exceeds its demand, capacity is left over only if every
// demand is met, and no allocation can be increased without decreasing one that is
// smaller in relation to its weight.
func MaxMin(capacity float64, demands []Demand) []float64 {
	out := make([]float64, len(demands))
	order := make([]int, len(demands))
	weights := 0.0
	for i, d := range demands {
		order[i] = i
		weights += max(d.Weight, minWeight)
	}
	// Teams are sorted by the allocation per unit of weight that meets their demand.
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
