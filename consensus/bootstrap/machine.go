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
	// Peers are the names of additional nodes that may belong to a cluster.
	Peers []string
	// Rand is the random source for the cluster ID.
	Rand rand.Source
	// RetryTicks is the interval between retries, in ticks.
	RetryTicks int
}

// minHelloRounds is the number of rounds in which the coordinator asks all known
// nodes for an existing cluster before it generates a cluster ID.
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
	// unboundIDs and promised hold the latest answer of each node, by name. Only
	// the coordinator uses them.
	unboundIDs    map[string]consensus.NodeID
	promised      map[string]consensus.Member
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
		unboundIDs: make(map[string]consensus.NodeID),
		promised:   make(map[string]consensus.Member),
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
	if m.isCoordinator() && m.binding.Phase == Promised {
		m.sendInvites()
	}
	m.helloRounds++
	m.broadcast(MsgHello)
	m.advance()
}

// isCoordinator reports whether this node forms the cluster. A node that has
// promised to a cluster ID issued by its own previous, lost disk no longer does.
func (m *Machine) isCoordinator() bool {
	first := len(m.firstVoters) > 0 && m.firstVoters[0] == m.cfg.Self.Name
	return first && (m.binding.Phase == Unbound || m.binding.Issuer == m.cfg.Self.ID)
}

// Step processes one message. Messages addressed to other nodes are ignored.
func (m *Machine) Step(msg Message) {
	if msg.To != m.cfg.Self.Name || msg.From == msg.To || msg.Sender.ID == consensus.None {
		return
	}
	switch msg.Type {
	case MsgHello:
		m.handleHello(&msg)
	case MsgUnbound:
		m.unboundIDs[msg.From] = msg.Sender.ID
	case MsgInvite:
		m.handleInvite(&msg)
	case MsgPromise:
		m.handlePromise(&msg)
	case MsgReject:
		m.lastRejection = msg.From + ": " + msg.Reason
	case MsgClusterExists:
		m.handleClusterExists(&msg)
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
		m.send(Message{Type: MsgUnbound, To: msg.From})
	}
}

func (m *Machine) handleInvite(msg *Message) {
	b := &m.binding
	switch {
	case m.Done():
		m.sendClusterExists(msg.From)
	case !slices.Equal(msg.FirstVoters, m.firstVoters) || !slices.Contains(m.firstVoters, m.cfg.Self.Name):
		m.reject(msg, "first voters differ")
	case msg.From != m.firstVoters[0]:
		m.reject(msg, "not the coordinator")
	case b.Phase == Unbound:
		m.setBinding(Binding{Phase: Promised, Cluster: msg.Cluster, Issuer: msg.Sender.ID})
		m.send(Message{Type: MsgPromise, To: msg.From, Cluster: msg.Cluster})
	case b.Cluster == msg.Cluster && b.Issuer == msg.Sender.ID:
		m.send(Message{Type: MsgPromise, To: msg.From, Cluster: msg.Cluster})
	default:
		m.reject(msg, "promised to another cluster")
	}
}

func (m *Machine) handlePromise(msg *Message) {
	if m.binding.Phase == Promised && m.isCoordinator() && msg.Cluster == m.binding.Cluster {
		v := msg.Sender
		v.Name = msg.From
		v.Voter = true
		m.promised[msg.From] = v
	}
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

// advance performs the next step of the coordinator: it issues a cluster ID once
// all first voters have answered that they are unbound and minHelloRounds have
// passed, and forms the cluster once all have promised.
func (m *Machine) advance() {
	if !m.isCoordinator() {
		return
	}
	switch m.binding.Phase {
	case Unbound:
		if m.helloRounds > minHelloRounds && m.allOtherVoters(func(name string) bool { return m.unboundIDs[name] != consensus.None }) {
			m.issueClusterID()
		}
	case Promised:
		if m.allOtherVoters(func(name string) bool { return m.promised[name].ID != consensus.None }) {
			m.formCluster()
		}
	}
}

// issueClusterID generates the cluster ID, promises this disk to it and invites
// the other first voters.
func (m *Machine) issueClusterID() {
	id := consensus.ClusterID(m.cfg.Rand.Uint64() | 1)
	m.setBinding(Binding{Phase: Promised, Cluster: id, Issuer: m.cfg.Self.ID})
	m.sendInvites()
	m.advance()
}

// formCluster decides the initial membership and announces it.
func (m *Machine) formCluster() {
	self := m.cfg.Self
	self.Voter = true
	members := []consensus.Member{self}
	for _, name := range m.firstVoters {
		if name != self.Name {
			members = append(members, m.promised[name])
		}
	}
	invariant.Check(len(members) == len(m.firstVoters), invariant.Consensus, "cluster formed without all first voters")
	m.setBinding(Binding{Phase: Formed, Cluster: m.binding.Cluster, Issuer: self.ID, Members: members})
	for _, name := range m.otherNodes() {
		m.sendClusterExists(name)
	}
}

func (m *Machine) setBinding(b Binding) {
	invariant.Check(!m.Done(), invariant.Consensus, "disk that is already bound to a cluster was bound again")
	m.binding = b
	m.bindingChanged = true
}

func (m *Machine) allOtherVoters(ok func(string) bool) bool {
	for _, name := range m.firstVoters {
		if name != m.cfg.Self.Name && !ok(name) {
			return false
		}
	}
	return true
}

// otherNodes returns the names of all other configured nodes.
func (m *Machine) otherNodes() []string {
	all := slices.Concat(m.firstVoters, m.cfg.Peers)
	slices.Sort(all)
	all = slices.Compact(all)
	return slices.DeleteFunc(all, func(n string) bool { return n == m.cfg.Self.Name })
}

func (m *Machine) sendInvites() {
	for _, name := range m.firstVoters {
		if name != m.cfg.Self.Name {
			m.send(Message{Type: MsgInvite, To: name, Cluster: m.binding.Cluster, FirstVoters: m.firstVoters})
		}
	}
}

func (m *Machine) broadcast(t MessageType) {
	for _, name := range m.otherNodes() {
		m.send(Message{Type: t, To: name})
	}
}

func (m *Machine) sendClusterExists(to string) {
	m.send(Message{Type: MsgClusterExists, To: to, Cluster: m.binding.Cluster, Members: m.binding.Members})
}

func (m *Machine) reject(msg *Message, reason string) {
	m.send(Message{Type: MsgReject, To: msg.From, Reason: reason})
}

func (m *Machine) send(msg Message) {
	msg.From = m.cfg.Self.Name
	msg.Sender = m.cfg.Self
	m.msgs = append(m.msgs, msg)
}
