// Package replay runs the planner and the placement against generated demand and
// measures the results. It simulates neither messages nor daemons nor separate
// machine clocks: a single loop feeds demand and platform events to the fleet
// state, the planner and the placement.
package replay
