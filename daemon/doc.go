// Package daemon joins the libraries into one process: it serves callers,
// endpoints, operators and peers, elects and runs the arbiter of its
// availability zone, and takes part in the control log.
package daemon
