package bootstrap

import (
	"math/rand/v2"
	"slices"

	"github.com/pkg/errors"

	"magnoliastand.example/consensus"
	"magnoliastand.example/invariant"
)

// Config holds the settings of a Machine.
type Config struct {
	// Self describes this node; ID and Name are required.
	Self consensus.Member
	// FirstVoters are the names of all first voters, the same on every node.
	// It may be empty on a node that only joins an existing cluster.
	FirstVoters []string
	// JoinOnly keeps the node from proposing a cluster. A first voter still takes part in
	// the proposals of the others, and goes on with a formation that its disk has taken
	// part in.
	JoinOnly bool
	// Peers are the names of additional nodes that may belong to a cluster.
	Peers []string
	// Rand is the random source for the cluster ID.
	Rand rand.Source
	// RetryTicks is the interval between retries, in ticks.
	RetryTicks int
}

// minHelloRounds is the number of rounds in which the coordinator asks all known
// nodes for an existing cluster before it proposes one.
const minHelloRounds = 3

// Machine is the bootstrap state machine of one node. It isn't safe for
// concurrent use.
type Machine struct {
	cfg            Config
	firstVoters    []string
	binding        Binding
	bindingChanged bool
	msgs           []Message
	elapsedTicks   int
	helloRounds    int
	// mayForm tells which nodes have said last that they may form a cluster, by name.
	mayForm map[string]bool
	// ballot is the ballot proposed by this process. It is in force while it is the one
	// that the disk has promised. lastBallot is the highest ballot seen.
	ballot, lastBallot Ballot
	// promised holds the latest promise of each first voter to ballot, accepted the disks
	// that have accepted its cluster, by name. highest is the promise that reports the
	// cluster accepted last.
	promised      map[string]consensus.Member
	accepted      map[string]consensus.NodeID
	highest       Message
	lastRejection string
}

// New returns the state machine of a node with the given stored binding. Errors
// wrap ErrBadConfig.
func New(cfg Config, b Binding) (*Machine, error) {
	names := slices.Clone(cfg.FirstVoters)
	slices.Sort(names)
	switch {
	case cfg.Self.ID == consensus.None || cfg.Self.Name == "":
		return nil, errors.Wrap(ErrBadConfig, "node ID or name is missing")
	case cfg.Rand == nil || cfg.RetryTicks < 1:
		return nil, errors.Wrap(ErrBadConfig, "random source is missing or RetryTicks is below 1")
	case len(slices.Compact(slices.Clone(names))) != len(names):
		return nil, errors.Wrap(ErrBadConfig, "duplicate first voter")
	case slices.Contains(names, ""):
		return nil, errors.Wrap(ErrBadConfig, "empty first voter name")
	}
	return &Machine{
		cfg: cfg, firstVoters: names, binding: b, elapsedTicks: cfg.RetryTicks - 1,
		mayForm: make(map[string]bool), lastBallot: b.Ballot,
	}, nil
}

// Binding returns the current binding. It is durable once the caller has
// processed the Ready that carried it.
func (m *Machine) Binding() Binding { return m.binding }

// Done reports whether the node belongs to an existing cluster.
func (m *Machine) Done() bool { return m.binding.Bound() }

// Problem returns the last rejection, for operators, or an empty string.
func (m *Machine) Problem() string { return m.lastRejection }

// Tick advances the logical clock by one tick.
func (m *Machine) Tick() {
	m.elapsedTicks++
	if m.Done() || m.elapsedTicks < m.cfg.RetryTicks {
		return
	}
	m.elapsedTicks = 0
	m.helloRounds++
	m.broadcast(MsgHello)
	if !m.isCoordinator() || m.helloRounds <= minHelloRounds {
		return
	}
	if !m.proposing() || m.ballot.Less(m.lastBallot) {
		m.propose()
	} else {
		m.sendProposal()
	}
	m.advance()
}

// mayPropose reports whether this node may propose a cluster.
func (m *Machine) mayPropose() bool {
	return slices.Contains(m.firstVoters, m.cfg.Self.Name) && !m.promisedByOlderBuild() &&
		(!m.cfg.JoinOnly || m.binding.Ballot != Ballot{})
}

// promisedByOlderBuild reports whether the disk is promised to a cluster without a ballot.
// Only its issuer knows whether that cluster was formed.
func (m *Machine) promisedByOlderBuild() bool {
	return m.binding.Phase == Promised && m.binding.Accepted == Ballot{}
}

// isCoordinator reports whether this node is the first of those that may propose a cluster.
// Nodes that have not been heard of are taken to be among them.
func (m *Machine) isCoordinator() bool {
	if !m.mayPropose() {
		return false
	}
	for _, name := range m.firstVoters {
		if name == m.cfg.Self.Name {
			return true
		}
		if may, heard := m.mayForm[name]; may || !heard {
			return false
		}
	}
	return false
}

// proposing reports whether the ballot of this process is in force.
func (m *Machine) proposing() bool {
	return m.ballot != Ballot{} && m.ballot == m.binding.Ballot && !m.Done()
}

// Step processes one message. Messages addressed to other nodes are ignored.
func (m *Machine) Step(msg Message) {
	if msg.To != m.cfg.Self.Name || msg.From == msg.To || msg.Sender.ID == consensus.None {
		return
	}
	if slices.Contains(m.firstVoters, msg.From) && m.lastBallot.Less(msg.Ballot) {
		m.lastBallot = msg.Ballot
	}
	switch msg.Type {
	case MsgHello:
		m.mayForm[msg.From] = len(msg.FirstVoters) > 0
		m.handleHello(&msg)
	case MsgUnbound:
		m.mayForm[msg.From] = len(msg.FirstVoters) > 0
	case MsgInvite:
		m.handleInvite(&msg)
	case MsgPromise:
		m.handlePromise(&msg)
	case MsgReject:
		m.lastRejection = msg.From + ": " + msg.Reason
	case MsgClusterExists:
		m.handleClusterExists(&msg)
	case MsgAccept:
		m.handleAccept(&msg)
	case MsgAccepted:
		if p, ok := m.promised[msg.From]; ok && msg.Ballot == m.ballot && p.ID == msg.Sender.ID {
			m.accepted[msg.From] = p.ID
		}
	}
	m.advance()
}

// Ready returns the pending work and clears it.
func (m *Machine) Ready() Ready {
	r := Ready{Messages: m.msgs}
	if m.bindingChanged {
		b := m.binding
		r.Binding = &b
	}
	m.msgs, m.bindingChanged = nil, false
	return r
}

func (m *Machine) handleHello(msg *Message) {
	switch {
	case m.Done():
		m.sendClusterExists(msg.From)
	case m.binding.Phase == Unbound:
		m.send(Message{Type: MsgUnbound, To: msg.From, FirstVoters: m.offeredVoters()})
	}
}

func (m *Machine) handleInvite(msg *Message) {
	b := m.binding
	switch {
	case m.Done():
		m.sendClusterExists(msg.From)
	case !slices.Equal(msg.FirstVoters, m.firstVoters) || !slices.Contains(m.firstVoters, m.cfg.Self.Name):
		m.reject(msg, "first voters differ")
	case m.promisedByOlderBuild() || msg.Ballot == Ballot{}:
		m.reject(msg, "promised to another cluster, or invited, by an older build")
	case msg.Ballot.Less(b.Ballot):
		m.reject(msg, "promised to a later proposal")
	default:
		if b.Ballot != msg.Ballot {
			b.Ballot = msg.Ballot
			m.setBinding(b)
		}
		m.send(Message{Type: MsgPromise, To: msg.From, Ballot: b.Ballot, Accepted: b.Accepted, Cluster: b.Cluster, Members: b.Members})
	}
}

// handlePromise records a promise to the ballot of this process. A promise of another disk
// under the same name replaces that of a disk that was lost.
func (m *Machine) handlePromise(msg *Message) {
	if !m.proposing() || msg.Ballot != m.ballot || !slices.Contains(m.firstVoters, msg.From) {
		return
	}
	v := msg.Sender
	v.Name = msg.From
	v.Voter = true
	if m.promised[msg.From].ID != v.ID {
		delete(m.accepted, msg.From)
		m.promised[msg.From] = v
		if m.binding.Accepted == m.ballot {
			m.sendAccept(msg.From)
		}
	}
	if m.highest.Accepted.Less(msg.Accepted) {
		m.highest = *msg
	}
}

// handleAccept accepts a cluster in the ballot that the disk has promised. An order to a
// disk that was lost under the same name is ignored.
func (m *Machine) handleAccept(msg *Message) {
	b := m.binding
	if m.Done() || m.promisedByOlderBuild() || msg.Target != m.cfg.Self.ID || msg.Ballot == (Ballot{}) || msg.Ballot != b.Ballot {
		return
	}
	if b.Accepted != msg.Ballot {
		m.setBinding(Binding{
			Phase: Promised, Cluster: msg.Cluster, Issuer: msg.Sender.ID, Members: msg.Members, Ballot: b.Ballot, Accepted: b.Ballot,
		})
	}
	m.send(Message{Type: MsgAccepted, To: msg.From, Ballot: msg.Ballot})
}

// handleClusterExists binds the node to an existing cluster: as a first voter if its
// node ID is listed, and as a later member otherwise. A promise to another
// cluster is kept, unless this node issued that cluster ID or its issuer, now a
// member of the existing cluster, sent the message.
func (m *Machine) handleClusterExists(msg *Message) {
	b := &m.binding
	if m.Done() {
		invariant.Check(b.Cluster == msg.Cluster, invariant.Consensus,
			"two clusters exist: %x and %x", uint64(b.Cluster), uint64(msg.Cluster))
		return
	}
	if b.Phase == Promised && b.Cluster != msg.Cluster &&
		b.Issuer != m.cfg.Self.ID && b.Issuer != msg.Sender.ID {
		m.lastRejection = msg.From + ": belongs to another cluster than the one promised to"
		return
	}
	listed := slices.ContainsFunc(msg.Members, func(v consensus.Member) bool { return v.ID == m.cfg.Self.ID })
	switch {
	case listed && b.Cluster == msg.Cluster:
		m.setBinding(Binding{Phase: Formed, Cluster: msg.Cluster, Issuer: b.Issuer, Members: msg.Members})
	case len(msg.Members) > 0 || b.Phase == Unbound || b.Cluster != msg.Cluster:
		m.setBinding(Binding{Phase: Joined, Cluster: msg.Cluster, Members: msg.Members})
	}
}

// propose promises this disk to a new ballot and invites the other first voters to it.
func (m *Machine) propose() {
	m.ballot = Ballot{Round: m.lastBallot.Round + 1, Proposer: m.cfg.Self.ID}
	m.lastBallot = m.ballot
	m.promised, m.accepted = make(map[string]consensus.Member), make(map[string]consensus.NodeID)
	b := m.binding
	m.highest = Message{Accepted: b.Accepted, Cluster: b.Cluster, Members: b.Members}
	b.Ballot = m.ballot
	m.setBinding(b)
	m.sendProposal()
}

// advance performs the next step of a proposal: it chooses the cluster once all first voters
// have promised, and forms it once all have accepted it.
func (m *Machine) advance() {
	if !m.proposing() {
		return
	}
	others := len(m.firstVoters) - 1
	if m.binding.Accepted != m.ballot && len(m.promised) == others {
		m.chooseCluster()
	}
	if m.binding.Accepted == m.ballot && len(m.accepted) == others {
		m.formCluster()
	}
}

// chooseCluster accepts the cluster that was accepted last by any first voter, which may have
// been formed, or else a new one of the disks that have promised.
func (m *Machine) chooseCluster() {
	self := m.cfg.Self
	self.Voter = true
	b := Binding{Phase: Promised, Cluster: m.highest.Cluster, Issuer: self.ID, Members: m.highest.Members, Ballot: m.ballot, Accepted: m.ballot}
	if (m.highest.Accepted == Ballot{}) {
		b.Cluster, b.Members = consensus.ClusterID(m.cfg.Rand.Uint64()|1), []consensus.Member{self}
		for _, name := range m.firstVoters {
			if name != self.Name {
				b.Members = append(b.Members, m.promised[name])
			}
		}
		invariant.Check(len(b.Members) == len(m.firstVoters), invariant.Consensus, "cluster proposed without all first voters")
	}
	m.setBinding(b)
	for name := range m.promised {
		m.sendAccept(name)
	}
}

// formCluster binds this disk to the accepted cluster and announces it. The disk is not among
// the first voters if it replaces one that was lost.
func (m *Machine) formCluster() {
	b := Binding{Phase: Joined, Cluster: m.binding.Cluster, Members: m.binding.Members}
	if slices.ContainsFunc(b.Members, func(v consensus.Member) bool { return v.ID == m.cfg.Self.ID }) {
		b.Phase, b.Issuer = Formed, m.cfg.Self.ID
	}
	m.setBinding(b)
	for _, name := range m.otherNodes() {
		m.sendClusterExists(name)
	}
}

func (m *Machine) setBinding(b Binding) {
	invariant.Check(!m.Done(), invariant.Consensus, "disk that is already bound to a cluster was bound again")
	m.binding = b
	m.bindingChanged = true
}

// otherNodes returns the names of all other configured nodes.
func (m *Machine) otherNodes() []string {
	all := slices.Concat(m.firstVoters, m.cfg.Peers)
	slices.Sort(all)
	all = slices.Compact(all)
	return slices.DeleteFunc(all, func(n string) bool { return n == m.cfg.Self.Name })
}

// sendProposal invites the first voters, or repeats the invitation to those that have not
// accepted the cluster: one of them may have lost its disk since its promise.
func (m *Machine) sendProposal() {
	for _, name := range m.firstVoters {
		if _, accepted := m.accepted[name]; accepted || name == m.cfg.Self.Name {
			continue
		}
		m.send(Message{Type: MsgInvite, To: name, Ballot: m.ballot, FirstVoters: m.firstVoters})
		if _, promised := m.promised[name]; promised && m.binding.Accepted == m.ballot {
			m.sendAccept(name)
		}
	}
}

func (m *Machine) sendAccept(to string) {
	m.send(Message{
		Type: MsgAccept, To: to, Target: m.promised[to].ID, Ballot: m.ballot, Cluster: m.binding.Cluster, Members: m.binding.Members,
	})
}

func (m *Machine) broadcast(t MessageType) {
	for _, name := range m.otherNodes() {
		m.send(Message{Type: t, To: name, FirstVoters: m.offeredVoters()})
	}
}

// offeredVoters returns the first voters if this node may propose a cluster of them.
func (m *Machine) offeredVoters() []string {
	if m.mayPropose() {
		return m.firstVoters
	}
	return nil
}

func (m *Machine) sendClusterExists(to string) {
	m.send(Message{Type: MsgClusterExists, To: to, Cluster: m.binding.Cluster, Members: m.binding.Members})
}

func (m *Machine) reject(msg *Message, reason string) {
	m.send(Message{Type: MsgReject, To: msg.From, Reason: reason, Ballot: m.binding.Ballot})
}

func (m *Machine) send(msg Message) {
	msg.From = m.cfg.Self.Name
	msg.Sender = m.cfg.Self
	m.msgs = append(m.msgs, msg)
}
