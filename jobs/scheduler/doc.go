// Package scheduler decides what happens to jobs next: which worker runs which
// job, what is refused, parked or preempted, and which workers are lost or
// quarantined. It is a pure function of a view; the state checks each change
// again when it is applied.
package scheduler
