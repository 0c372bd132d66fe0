// Package relay carries orders to workers through other daemons, so that the
// calls of a large fleet don't all cost the leader's processor. The leader's
// Relay sends orders in batches to an Agent in the worker's availability zone; the
// agent makes the calls and sends their outcomes back in batches.
//
// An agent decides nothing about the workload and keeps no state of it: orders carry the leader's fencing
// token and lease, so an order that an agent carries out late meets the same
// checks at the worker as one that the network delayed. Orders that reach an agent
// long after they were sent are not carried out. An order without an outcome
// may have been carried out, or may be carried out later.
package relay
