// Package bootstrap forms a cluster from empty nodes, as a pure state machine.
//
// The settings of every first voter list the same names. The first name in
// order is the coordinator. It asks all first voters and other known nodes
// whether they belong to a cluster. Only when every first voter has answered
// that it is empty does it draw a cluster ID and invite them. Each first voter
// durably promises its disk to that cluster ID, at most once, and answers with
// its node ID. When all have promised, the coordinator durably decides the
// first membership and tells it to all.
//
// A second cluster cannot form as long as one first voter of the first cluster
// keeps its disk, because that disk refuses every other cluster ID, and a known
// node that belongs to a cluster makes every empty node join that one.
//
// # Caller duties
//
//   - Persist and sync Ready.Binding before sending Ready.Messages.
//   - Keep feeding messages to the machine after it is done, so that late and
//     replaced nodes learn of the cluster.
//   - A promise that never led to a cluster, because the coordinator lost its
//     disk in between, binds the folder for good. An operator who knows that no
//     cluster was formed empties that folder by hand.
package bootstrap
