// Package planner decides which instances move between pools, which instances
// are drained for maintenance waves, and which waves start.
//
// Plan is a pure function from a snapshot to commands. The commands are
// proposals: the fleet state applies a command only if it is still valid, so
// several planners may act on the same snapshot. A plan contains only the
// changes needed from the current state.
package planner
