// Package system assembles the two daemon roles of a deployment. A core daemon
// has persistent storage: it is a member of the replicated log, serves workers
// and operators, and runs the driver of the workload while it is the leader. An
// edge daemon is stateless: it serves callers and forwards their requests to the
// leader.
package system
