package daemon

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"magnoliastand.example/consensus"
	"magnoliastand.example/consensus/bootstrap"
	"magnoliastand.example/consensus/node"
	"magnoliastand.example/consensus/storage"
	"magnoliastand.example/control"
	"magnoliastand.example/peerlink"
)

const (
	// logFolder is the folder of the replicated log under the data folder.
	logFolder = "log"
	// logTick is the log's logical clock.
	logTick = 50 * time.Millisecond
	// formRetryTicks is the time between two attempts to find or form a cluster.
	formRetryTicks = 10
	// voterSilence is how long a voter is silent before a spare replaces it.
	voterSilence = 60 * time.Second
	// joinInterval is the time between two requests to become a member.
	joinInterval = time.Second
	// readTimeout bounds one read of the log.
	readTimeout = 2 * time.Second
)

// logNode is this daemon's member of the replicated log.
type logNode struct {
	self    string
	zone    string
	voters  []string
	peers   []string
	link    *peerlink.Node
	machine *controlLog
	log     zerolog.Logger
	disk    *storage.Disk
	former  *node.Former

	mu    sync.Mutex
	node  *node.Node[control.Result]
	names map[consensus.NodeID]string
}

// openLogNode opens the log under the data folder.
func openLogNode(dataFolder, self, zone string, voters, peers []string, link *peerlink.Node, machine *controlLog, log zerolog.Logger) (*logNode, error) {
	disk, err := storage.Open(filepath.Join(dataFolder, logFolder))
	if err != nil {
		return nil, errors.Wrap(err, "data_folder")
	}
	n := &logNode{
		self:    self,
		zone:    zone,
		voters:  voters,
		peers:   peers,
		link:    link,
		machine: machine,
		log:     log,
		disk:    disk,
		names:   make(map[consensus.NodeID]string),
	}
	link.HandleNotify(methodLog, n.handleLog)
	link.HandleNotify(methodForm, n.handleForm)
	return n, nil
}

func newRandSource() rand.Source {
	var seed [16]byte
	_, _ = crand.Read(seed[:]) // crypto/rand.Read never returns an error
	return rand.NewPCG(binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:]))
}

// run binds the disk to the cluster, then runs the node until ctx ends or the
// node fails.
func (n *logNode) run(ctx context.Context) error {
	defer func() { _ = n.disk.Close() }()
	if err := n.startFormer(); err != nil {
		return err
	}
	defer n.former.Stop()
	select {
	case <-n.former.Bound():
	case <-n.former.Done():
		return errors.Wrap(n.former.Err(), "form the control log")
	case <-ctx.Done():
		return nil
	}
	started, err := n.startNode()
	if err != nil {
		return err
	}
	defer started.Stop()
	go n.joinUntilMember(ctx)
	go n.readUntilCurrent(ctx)
	select {
	case <-started.Done():
		return errors.Wrap(started.Err(), "control log")
	case <-ctx.Done():
		return nil
	}
}

func (n *logNode) startFormer() error {
	former, err := node.StartFormer(node.FormConfig{
		Machine: bootstrap.Config{
			Self:        consensus.Member{Name: n.self, Zone: n.zone},
			FirstVoters: n.voters,
			Peers:       n.peers,
			Rand:        newRandSource(),
			RetryTicks:  formRetryTicks,
		},
		Storage:    n.disk,
		Send:       func(to string, m bootstrap.Message) { n.link.Notify(to, methodForm, m) },
		TickPeriod: logTick,
	})
	if err != nil {
		return errors.Wrap(err, "first_voters")
	}
	n.mu.Lock()
	n.former = former
	n.mu.Unlock()
	return nil
}

func (n *logNode) startNode() (*node.Node[control.Result], error) {
	started, err := node.Start(node.Config[control.Result]{
		Storage:    n.disk,
		Transport:  n,
		Machine:    n.machine,
		TickPeriod: logTick,
		Rand:       newRandSource(),
		Repair: &node.RepairPolicy{
			Voters:             len(n.voters),
			SilentTicks:        uint64(voterSilence / logTick),
			LearnerSilentTicks: uint64(voterSilence / logTick),
		},
	})
	if err != nil {
		return nil, errors.Wrap(err, "control log")
	}
	n.mu.Lock()
	n.node = started
	n.mu.Unlock()
	return started, nil
}

// running returns the node once it has started.
func (n *logNode) running() *node.Node[control.Result] {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.node
}

// Send implements node.Transport.
func (n *logNode) Send(to consensus.NodeID, m consensus.Message) {
	if name := n.nameOf(to); name != "" {
		n.link.Notify(name, methodLog, m)
	}
}

// nameOf returns the daemon that has a node id, by the membership or by the
// messages received.
func (n *logNode) nameOf(id consensus.NodeID) string {
	n.mu.Lock()
	started := n.node
	name := n.names[id]
	n.mu.Unlock()
	if name != "" || started == nil {
		return name
	}
	for _, m := range started.Status().Members {
		if m.ID == id {
			return m.Name
		}
	}
	return ""
}

func (n *logNode) handleLog(from peerlink.Identity, payload []byte) {
	var m consensus.Message
	started := n.running()
	if started == nil || decodeMessage(payload, &m) != nil {
		return
	}
	if !n.belongs(started, m.From, from.Name) {
		n.log.Warn().Str("peer", from.Name).Msg("log message under another node's identity refused")
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), logTick)
	defer cancel()
	if err := started.Step(ctx, m); err != nil {
		n.log.Debug().Err(err).Str("peer", from.Name).Msg("log message not taken")
	}
}

// belongs reports whether a node id is that of the named daemon, by the
// membership or by the first message under that id, which it then records.
func (n *logNode) belongs(started *node.Node[control.Result], id consensus.NodeID, daemon string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if name, ok := n.names[id]; ok {
		return name == daemon
	}
	for _, m := range started.Status().Members {
		if m.ID == id && m.Name != daemon {
			return false
		}
	}
	n.names[id] = daemon
	return true
}

func (n *logNode) handleForm(from peerlink.Identity, payload []byte) {
	var m bootstrap.Message
	n.mu.Lock()
	former := n.former
	n.mu.Unlock()
	if former == nil || decodeMessage(payload, &m) != nil || m.From != from.Name {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), logTick)
	defer cancel()
	if err := former.Step(ctx, m); err != nil {
		n.log.Debug().Err(err).Str("peer", from.Name).Msg("bootstrap message not taken")
	}
}

// readUntilCurrent puts the applied state in force once a read of the log has
// shown that it is current.
func (n *logNode) readUntilCurrent(ctx context.Context) {
	for ctx.Err() == nil {
		readCtx, cancel := context.WithTimeout(ctx, readTimeout)
		err := n.running().ReadIndex(readCtx)
		cancel()
		if err == nil {
			n.machine.show()
			return
		}
		sleepCtx(ctx, pollBackoff)
	}
}

// isMember reports whether the disk's identity is in the membership.
func (n *logNode) isMember() bool {
	status := n.running().Status()
	for _, m := range status.Members {
		if m.ID == status.ID {
			return true
		}
	}
	return false
}

// joinUntilMember asks the leader to add this node as a learner, while it is
// no member. An identity that was removed never comes back: its folder has to
// be emptied, and the daemon goes on without a part in the log until then.
func (n *logNode) joinUntilMember(ctx context.Context) {
	for ctx.Err() == nil {
		if n.running().Status().Removed {
			n.log.Error().Str("folder", logFolder).Msg("this disk was replaced as a member of the control log; stop the daemon, empty the folder and start it again")
			return
		}
		if n.isMember() {
			sleepCtx(ctx, joinInterval)
			continue
		}
		self := consensus.Member{ID: n.disk.Node(), Name: n.self, Zone: n.zone}
		for _, peer := range n.voters {
			callCtx, cancel := context.WithTimeout(ctx, readTimeout)
			_ = n.link.Call(callCtx, peer, methodJoin, self, nil) // asked again until it is a member
			cancel()
		}
		sleepCtx(ctx, joinInterval)
	}
}

// addLearner serves a request to become a member, on the leader.
func (n *logNode) addLearner(ctx context.Context, m consensus.Member) error {
	started := n.running()
	if started == nil || !n.leads() {
		return &peerlink.RemoteError{Code: codeNotLeader, Detail: "this daemon does not lead the control log"}
	}
	return started.AddLearner(ctx, m)
}

// handOver passes the lead on, so that a planned stop costs no election time-out.
func (n *logNode) handOver(ctx context.Context) {
	if !n.leads() {
		return
	}
	if err := n.running().Handover(ctx); err != nil {
		n.log.Warn().Err(err).Msg("lead of the control log not handed over")
		return
	}
	for n.leads() && ctx.Err() == nil {
		sleepCtx(ctx, catchUpBackoff)
	}
}

// leads reports whether this node leads the log.
func (n *logNode) leads() bool {
	started := n.running()
	return started != nil && started.Status().Role == consensus.Leader
}

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
func (n *logNode) leaderName() string {
	started := n.running()
	if started == nil {
		return ""
	}
	if leader := started.Status().Leader; leader != consensus.None {
		return n.nameOf(leader)
	}
	return ""
}
