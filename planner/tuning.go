package planner

import (
	"magnoliastand.example/api"
	"magnoliastand.example/fleet"
)

// Ranges of what an objective tunes. The first value applies when the weight
// that asks for it is 0, the second when the opposing weight is 0.
const (
	// leastMargin and mostMargin bound the capacity kept above the lasting
	// demand, as a fraction of it.
	leastMargin = 0.4
	mostMargin  = 2.4
	// leastHold and mostHold bound how long a need must last before a move, in milliseconds.
	leastHold fleet.Millis = 2 * 60_000
	mostHold  fleet.Millis = 20 * 60_000
	// leastDeadband and mostDeadband bound the excess that a pool keeps rather
	// than give an instance away, in instances.
	leastDeadband = 0.5
	mostDeadband  = 1.5
)

// Tuning is what an objective means for the planner's choices.
type Tuning struct {
	// Margin is the capacity kept above the lasting demand, as a fraction of it.
	Margin float64
	// Hold is how long a need must last before instances move.
	Hold fleet.Millis
	// Deadband is the excess in instances that a pool keeps rather than move one away.
	Deadband float64
	// GentleWaves keeps waves from taking a pool below its lasting demand and margin.
	GentleWaves bool
}

// TuningOf returns the tuning of an objective: the buffer follows from the
// weights of share error and buffer cost, the patience with moves from those
// of moves and share error, the haste of waves from those of roll-out time and
// moves.
func TuningOf(o api.Objective) Tuning {
	size := ratio(o.ShareError, o.BufferCost)
	calm := ratio(o.Moves, o.ShareError)
	return Tuning{
		Margin:      leastMargin + (mostMargin-leastMargin)*size,
		Hold:        leastHold + fleet.Millis(float64(mostHold-leastHold)*calm),
		Deadband:    leastDeadband + (mostDeadband-leastDeadband)*calm,
		GentleWaves: o.RollOutTime < o.Moves,
	}
}

// ratio returns a/(a+b), and 0.5 if both are 0.
func ratio(a, b float64) float64 {
	if a+b <= 0 {
		return 0.5
	}
	return a / (a + b)
}

// Kyushu returns the shipped objective that weighs share error and roll-out
// time most.
func Kyushu() api.Objective {
	return api.Objective{BufferCost: 1, RollOutTime: 4, Moves: 1, ShareError: 4}
}

// Swanbourne returns the shipped objective that weighs buffer cost and moves
// most.
func Swanbourne() api.Objective {
	return api.Objective{BufferCost: 4, RollOutTime: 1, Moves: 4, ShareError: 1}
}
