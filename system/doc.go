// Package system joins the libraries into the two roles of a deployment. A core
// daemon has a disk: it is a member of the replicated log, serves workers and
// operators, and drives the workload while it leads. An edge daemon holds no
// state: it serves callers and passes their requests to the leader.
package system
