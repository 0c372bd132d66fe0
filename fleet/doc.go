// Package fleet holds the part of the replicated control state that describes
// instances, pools, drain permits and maintenance waves.
//
// State is a deterministic state machine: it performs no I/O, reads no clock
// and takes the time from its commands. Every command is validated against the
// current state when it is applied, regardless of who issued it, so planners
// and operators may act on stale snapshots. A State is not safe for concurrent
// use.
package fleet
