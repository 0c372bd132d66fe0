// Package planner decides which instances move between pools, which are
// drained for maintenance waves, and which waves start.
//
// Plan is a pure function from a snapshot to commands. The commands are
// proposals: the state applies each one only if it still fits, so that several
// planners may act on one snapshot. A round proposes only the difference from
// the present state.
package planner
