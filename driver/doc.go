// Package driver runs the workload on the leading daemon: it accepts submissions,
// plans and orders the start and stop of runs, extends the workers' leases and
// records how runs end.
//
// A single goroutine owns the leader's copy of the state and receives events
// through a bounded queue. It applies each change to its copy, collects the
// changes in a batch and proposes one batch at a time. Effects of a change, such
// as an order or a reply, are deferred until its commit. A driver lives for one
// term.
package driver
