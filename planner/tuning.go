package planner

import (
	"magnoliastand.example/api"
	"magnoliastand.example/fleet"
)

// Ranges of the tuning parameters. The minimum applies if the weight in favor of
// a larger value is 0, the maximum if the weight against it is 0.
const (
	// minMargin and maxMargin bound the capacity kept above the lasting demand, as
	// a fraction of the demand.
	minMargin = 0.4
	maxMargin = 2.4
	// minHold and maxHold bound the time for which a demand must last before a
	// move, in milliseconds.
	minHold fleet.Millis = 2 * 60_000
	maxHold fleet.Millis = 20 * 60_000
	// minDeadband and maxDeadband bound the excess that causes no move, in
	// instances.
	minDeadband = 0.5
	maxDeadband = 1.5
)

// Tuning holds the parameters of the planner that follow from an objective.
type Tuning struct {
	// Margin is the capacity kept above the lasting demand, as a fraction of the
	// demand.
	Margin float64
	// Hold is the time for which a demand must last before instances move.
	Hold fleet.Millis
	// Deadband is the excess that causes no move, in instances.
	Deadband float64
	// WavesRespectDemand keeps waves from draining a pool below its lasting demand
	// plus the minimum margin. It also gives moves precedence over drains for waves.
	WavesRespectDemand bool
}

// TuningOf returns the tuning for an objective. The margin depends on the
// weights of share error and buffer cost, the hold time and the deadband on
// those of moves and share error, and the restriction of waves on those of
// roll-out time and moves.
func TuningOf(o api.Objective) Tuning {
	bufferWeight := relativeWeight(o.ShareError, o.BufferCost)
	stabilityWeight := relativeWeight(o.Moves, o.ShareError)
	return Tuning{
		Margin:             minMargin + (maxMargin-minMargin)*bufferWeight,
		Hold:               minHold + fleet.Millis(float64(maxHold-minHold)*stabilityWeight),
		Deadband:           minDeadband + (maxDeadband-minDeadband)*stabilityWeight,
		WavesRespectDemand: o.RollOutTime < o.Moves,
	}
}

// relativeWeight returns a/(a+b), and 0.5 if both are 0.
func relativeWeight(a, b float64) float64 {
	if a+b <= 0 {
		return 0.5
	}
	return a / (a + b)
}

// Kyushu returns the predefined objective that gives the most weight to share
// error and roll-out time.
func Kyushu() api.Objective {
	return api.Objective{BufferCost: 1, RollOutTime: 4, Moves: 1, ShareError: 4}
}

// Swanbourne returns the predefined objective that gives the most weight to
// buffer cost and moves.
func Swanbourne() api.Objective {
	return api.Objective{BufferCost: 4, RollOutTime: 1, Moves: 4, ShareError: 1}
}
