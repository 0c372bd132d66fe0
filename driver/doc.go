// Package driver carries out the workload while this daemon leads: it takes
// submissions, plans starts, orders runs and stops, extends the workers' leases
// and records the ends of runs.
//
// One goroutine owns the leader's copy of the state. Events reach it over a
// bounded queue. It applies each change to its copy, collects the changes in a
// batch, and proposes one batch at a time; what depends on a change, such as an
// order or an answer, follows its commit. A driver lives for one term.
package driver
