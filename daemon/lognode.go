package daemon

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"magnoliastand.example/cluster"
	"magnoliastand.example/consensus"
	"magnoliastand.example/consensus/node"
	"magnoliastand.example/control"
	"magnoliastand.example/peerlink"
)

const (
	// voterSilence is how long a voter is silent before a spare replaces it.
	voterSilence = 60 * time.Second
	// readTimeout bounds one read of the log.
	readTimeout = 2 * time.Second
)

// logNode is this daemon's member of the replicated log.
type logNode struct {
	member  *cluster.Member[control.Result]
	machine *controlLog
}

// openLogNode opens the log under the data folder.
func openLogNode(dataFolder, self, zone string, voters, peers []string, link *peerlink.Node, machine *controlLog, metrics *cluster.Metrics, log zerolog.Logger) (*logNode, error) {
	member, err := cluster.Open(cluster.Config[control.Result]{
		Self: self, Zone: zone, DataFolder: dataFolder, Seeds: voters, Peers: peers, Form: true,
		Voters: len(voters), Silence: voterSilence, Machine: machine, BeforeStart: machine.hide, Link: link,
		Metrics: metrics, Log: log,
	})
	if err != nil {
		return nil, err
	}
	return &logNode{member: member, machine: machine}, nil
}

// run takes part in the log until ctx ends or the log fails.
func (n *logNode) run(ctx context.Context) error {
	go n.keepCurrent(ctx)
	return n.member.Run(ctx)
}

// running returns the node once it has started.
func (n *logNode) running() *node.Node[control.Result] { return n.member.Node() }

// keepCurrent puts the applied state in force once a read of the log has shown
// that it is current, again after each start of the log.
func (n *logNode) keepCurrent(ctx context.Context) {
	for ctx.Err() == nil {
		generation, hidden := n.machine.hidden()
		if started := n.running(); started != nil && hidden {
			readCtx, cancel := context.WithTimeout(ctx, readTimeout)
			err := started.ReadIndex(readCtx)
			cancel()
			if err == nil {
				n.machine.show(generation)
			}
		}
		sleepCtx(ctx, pollBackoff)
	}
}

// handOver passes the lead on, so that a planned stop costs no election timeout.
func (n *logNode) handOver(ctx context.Context) { n.member.TransferLeadership(ctx) }

// leads reports whether this node leads the log.
func (n *logNode) leads() bool { return n.member.IsLeader() }

// vouched returns the newest time at which this node is known to have led a quorum.
func (n *logNode) vouched() (time.Time, bool) {
	started := n.running()
	if started == nil {
		return time.Time{}, false
	}
	status := started.Status()
	if status.Role != consensus.Leader || !status.QuorumKnown {
		return time.Time{}, false
	}
	return status.QuorumAt, true
}

// leaderName returns the daemon that leads, as far as this node knows.
func (n *logNode) leaderName() string { return n.member.Leader() }
