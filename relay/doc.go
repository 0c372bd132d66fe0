// Package relay sends orders to workers through other daemons, so that the
// leader does not spend processor time on every call to a large fleet. The
// leader's Relay sends orders in batches to an Agent in the worker's availability
// zone; the agent makes the calls and returns their outcomes in batches.
//
// An agent makes no scheduling decisions and keeps no state of the workload.
// Orders carry the leader's fencing token and lease, so the worker checks an
// order that an agent executes late like one that the network delayed. Agents
// reject orders that arrive long after they were sent. An order without an
// outcome may have been executed, or may still be executed later.
package relay
