// Package replay drives the decision functions with recorded or generated
// demand and measures what they decide. It models no messages, daemons or
// clocks of machines: one loop feeds demand and platform events into the fleet
// state, the planner and the placement.
package replay
