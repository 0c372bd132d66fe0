// Package bootstrap forms a cluster from unbound nodes, as a pure state machine.
//
// Every first voter is configured with the same list of names. The coordinator is the first
// one in sorted order that may propose a cluster. It asks all first voters and other known
// nodes whether they belong to a cluster, and then proposes one in two rounds, each with a
// ballot that orders it among all proposals:
//
//   - It invites all first voters. Each one durably promises its disk to the ballot, so that
//     it takes part in no earlier one, and answers with its node ID and with the cluster that
//     it has accepted, if any.
//   - When all have promised, the coordinator proposes the cluster that was accepted last, or
//     else a new one of the disks that have promised. Each first voter durably accepts it.
//
// When all have accepted, the coordinator persists the initial membership and sends it to all
// nodes.
//
// If a node loses its disk before that, its new disk takes the place of the old one in these
// rounds. If it was the coordinator, the next one that may propose takes over, with a later
// ballot. Before a cluster has formed, all first voters have accepted it. Since a later
// proposal asks all of them first, it is for the same cluster as long as one of them keeps its
// disk, and a second cluster cannot form: an unbound node joins the cluster of any known
// node that belongs to one. This does not hold if all first voters lose their disks one after
// another while two proposals are under way: the later one may count the promise of a lost disk
// whose replacement then accepts the earlier one, and choose another cluster. A promise that
// reports the earlier cluster after the choice does not change it. Both rounds need all first
// voters: with a majority, two lost disks could hide a cluster that has formed.
//
// # Caller duties
//
//   - Persist and sync Ready.Binding before sending Ready.Messages.
//   - Keep passing messages to the machine after it is done, so that late and
//     replaced nodes learn of the cluster.
//   - All first voters have to be up for a cluster to form, if need be with empty disks.
//     If most of the disks of an accepted cluster are lost before it is formed, it forms
//     without a quorum. An operator who knows that no cluster was formed must empty the
//     data directories of all first voters. The same applies if all of them have lost their
//     disks, one after another, before they were bound to a cluster.
//   - A disk that a build without ballots has promised takes part in no later proposal.
package bootstrap
