// Package bootstrap forms a cluster from unbound nodes, as a pure state machine.
//
// Every first voter is configured with the same list of names. The first name
// in sorted order is the coordinator. It asks all first voters and other known
// nodes whether they belong to a cluster. Only after every first voter has
// answered that it is unbound does the coordinator generate a cluster ID and
// invite them. Each first voter durably promises its disk to that cluster ID,
// at most once, and answers with its node ID. When all have promised, the
// coordinator persists the initial membership and sends it to all nodes.
//
// A second cluster cannot form as long as one first voter of the first cluster
// keeps its disk: that disk rejects every other cluster ID, and an unbound node
// joins the cluster of any known node that belongs to one.
//
// # Caller duties
//
//   - Persist and sync Ready.Binding before sending Ready.Messages.
//   - Keep passing messages to the machine after it is done, so that late and
//     replaced nodes learn of the cluster.
//   - If the coordinator loses its disk before the cluster is formed, promises
//     to its cluster ID bind their data directories permanently. An operator
//     who knows that no cluster was formed must empty those directories.
package bootstrap
