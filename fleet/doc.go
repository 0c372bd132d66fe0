// Package fleet holds the part of the replicated control state that describes
// instances, pools, drain permits and maintenance waves.
//
// State is a deterministic state machine: it performs no I/O, reads no clock
// and takes the time from its commands. Every command is checked again against
// the newest state when it is applied, whoever decided on it, so that planners
// and operators may act on old snapshots. A State is not safe for concurrent
// use.
package fleet
