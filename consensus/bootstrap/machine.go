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
	// It may be empty on a node that only joins.
	FirstVoters []string
	// Peers are the names of further nodes that may know of a cluster.
	Peers []string
	// Rand draws the cluster ID.
	Rand rand.Source
	// RetryTicks is the time between repetitions, in ticks.
	RetryTicks int
}

// helloRounds is how often the coordinator asks all known nodes for a cluster
// before it draws a cluster ID.
const helloRounds = 3

// Machine is the state machine of one node. It isn't safe for concurrent use.
type Machine struct {
	cfg     Config
	names   []string
	binding Binding
	changed bool
	msgs    []Message
	ticks   int
	rounds  int
	// empty and promises hold the newest answers by name, on the coordinator.
	empty    map[string]consensus.NodeID
	promises map[string]consensus.Member
	problem  string
}

// New returns the machine of a node with its stored binding. Errors wrap
// ErrBadConfig.
func New(cfg Config, b Binding) (*Machine, error) {
	names := slices.Clone(cfg.FirstVoters)
	slices.Sort(names)
	switch {
	case cfg.Self.ID == consensus.None || cfg.Self.Name == "":
		return nil, errors.Wrap(ErrBadConfig, "node without ID or name")
	case cfg.Rand == nil || cfg.RetryTicks < 1:
		return nil, errors.Wrap(ErrBadConfig, "no random source or retry time")
	case len(slices.Compact(slices.Clone(names))) != len(names):
		return nil, errors.Wrap(ErrBadConfig, "first voter listed twice")
	case slices.Contains(names, ""):
		return nil, errors.Wrap(ErrBadConfig, "first voter without name")
	}
	return &Machine{
		cfg: cfg, names: names, binding: b, ticks: cfg.RetryTicks - 1,
		empty:    make(map[string]consensus.NodeID),
		promises: make(map[string]consensus.Member),
	}, nil
}

// Binding returns the current binding. It is durable once the Ready that
// carried it is done.
func (m *Machine) Binding() Binding { return m.binding }

// Done reports whether the node belongs to an existing cluster.
func (m *Machine) Done() bool { return m.binding.Bound() }

// Problem returns the last refusal for operators, or an empty string.
func (m *Machine) Problem() string { return m.problem }

// Tick advances the logical clock by one tick.
func (m *Machine) Tick() {
	m.ticks++
	if m.Done() || m.ticks < m.cfg.RetryTicks {
		return
	}
	m.ticks = 0
	if m.coordinates() && m.binding.Phase == Promised {
		m.invite()
	}
	m.rounds++
	m.broadcast(MsgHello)
	m.advance()
}

// coordinates reports whether this node forms the cluster. A promise to the
// cluster ID of a lost disk ends that role.
func (m *Machine) coordinates() bool {
	first := len(m.names) > 0 && m.names[0] == m.cfg.Self.Name
	return first && (m.binding.Phase == Unbound || m.binding.Issuer == m.cfg.Self.ID)
}

// Step feeds one message. Messages for other names are ignored.
func (m *Machine) Step(msg Message) {
	if msg.To != m.cfg.Self.Name || msg.From == msg.To || msg.Sender.ID == consensus.None {
		return
	}
	switch msg.Type {
	case MsgHello:
		m.handleHello(&msg)
	case MsgEmpty:
		m.empty[msg.From] = msg.Sender.ID
	case MsgInvite:
		m.handleInvite(&msg)
	case MsgPromise:
		m.handlePromise(&msg)
	case MsgRefuse:
		m.problem = msg.From + ": " + msg.Reason
	case MsgExists:
		m.handleExists(&msg)
	}
	m.advance()
}

// Ready returns the work to do and forgets it.
func (m *Machine) Ready() Ready {
	r := Ready{Messages: m.msgs}
	if m.changed {
		b := m.binding
		r.Binding = &b
	}
	m.msgs, m.changed = nil, false
	return r
}

func (m *Machine) handleHello(msg *Message) {
	switch {
	case m.Done():
		m.tellExists(msg.From)
	case m.binding.Phase == Unbound:
		m.send(Message{Type: MsgEmpty, To: msg.From})
	}
}

func (m *Machine) handleInvite(msg *Message) {
	b := &m.binding
	switch {
	case m.Done():
		m.tellExists(msg.From)
	case !slices.Equal(msg.Names, m.names) || !slices.Contains(m.names, m.cfg.Self.Name):
		m.refuse(msg, "first voters differ")
	case msg.From != m.names[0]:
		m.refuse(msg, "not the coordinator")
	case b.Phase == Unbound:
		m.bind(Binding{Phase: Promised, Cluster: msg.Cluster, Issuer: msg.Sender.ID})
		m.send(Message{Type: MsgPromise, To: msg.From, Cluster: msg.Cluster})
	case b.Cluster == msg.Cluster && b.Issuer == msg.Sender.ID:
		m.send(Message{Type: MsgPromise, To: msg.From, Cluster: msg.Cluster})
	default:
		m.refuse(msg, "promised to another cluster")
	}
}

func (m *Machine) handlePromise(msg *Message) {
	if m.binding.Phase == Promised && m.coordinates() && msg.Cluster == m.binding.Cluster {
		v := msg.Sender
		v.Name = msg.From
		v.Voter = true
		m.promises[msg.From] = v
	}
}

// handleExists ends the search: the node becomes a first voter when it is
// listed under its node ID, and a later member otherwise. A promise to another
// cluster holds, unless its issuer itself belongs to the existing one.
func (m *Machine) handleExists(msg *Message) {
	b := &m.binding
	if m.Done() {
		invariant.Check(b.Cluster == msg.Cluster, invariant.Consensus,
			"two clusters exist: %x and %x", uint64(b.Cluster), uint64(msg.Cluster))
		return
	}
	if b.Phase == Promised && b.Cluster != msg.Cluster &&
		b.Issuer != m.cfg.Self.ID && b.Issuer != msg.Sender.ID {
		m.problem = msg.From + ": belongs to another cluster than the one promised to"
		return
	}
	listed := slices.ContainsFunc(msg.Members, func(v consensus.Member) bool { return v.ID == m.cfg.Self.ID })
	switch {
	case listed && b.Cluster == msg.Cluster:
		m.bind(Binding{Phase: Formed, Cluster: msg.Cluster, Issuer: b.Issuer, Members: msg.Members})
	case len(msg.Members) > 0 || b.Phase == Unbound || b.Cluster != msg.Cluster:
		m.bind(Binding{Phase: Joined, Cluster: msg.Cluster, Members: msg.Members})
	}
}

// advance moves the coordinator on: from all empty to a cluster ID, and from
// all promises to the cluster.
func (m *Machine) advance() {
	if !m.coordinates() {
		return
	}
	switch m.binding.Phase {
	case Unbound:
		if m.rounds > helloRounds && m.allOthers(func(name string) bool { return m.empty[name] != consensus.None }) {
			m.issue()
		}
	case Promised:
		if m.allOthers(func(name string) bool { return m.promises[name].ID != consensus.None }) {
			m.form()
		}
	}
}

// issue draws the cluster ID.
func (m *Machine) issue() {
	id := consensus.ClusterID(m.cfg.Rand.Uint64() | 1)
	m.bind(Binding{Phase: Promised, Cluster: id, Issuer: m.cfg.Self.ID})
	m.invite()
	m.advance()
}

// form decides the first membership.
func (m *Machine) form() {
	self := m.cfg.Self
	self.Voter = true
	members := []consensus.Member{self}
	for _, name := range m.names {
		if name != self.Name {
			members = append(members, m.promises[name])
		}
	}
	invariant.Check(len(members) == len(m.names), invariant.Consensus, "cluster formed without all first voters")
	m.bind(Binding{Phase: Formed, Cluster: m.binding.Cluster, Issuer: self.ID, Members: members})
	for _, name := range m.others() {
		m.tellExists(name)
	}
}

func (m *Machine) bind(b Binding) {
	invariant.Check(!m.Done(), invariant.Consensus, "a bound disk is bound again")
	m.binding = b
	m.changed = true
}

func (m *Machine) allOthers(ok func(string) bool) bool {
	for _, name := range m.names {
		if name != m.cfg.Self.Name && !ok(name) {
			return false
		}
	}
	return true
}

// others returns all other nodes that are known by name.
func (m *Machine) others() []string {
	all := slices.Concat(m.names, m.cfg.Peers)
	slices.Sort(all)
	all = slices.Compact(all)
	return slices.DeleteFunc(all, func(n string) bool { return n == m.cfg.Self.Name })
}

func (m *Machine) invite() {
	for _, name := range m.names {
		if name != m.cfg.Self.Name {
			m.send(Message{Type: MsgInvite, To: name, Cluster: m.binding.Cluster, Names: m.names})
		}
	}
}

func (m *Machine) broadcast(t MessageType) {
	for _, name := range m.others() {
		m.send(Message{Type: t, To: name})
	}
}

func (m *Machine) tellExists(to string) {
	m.send(Message{Type: MsgExists, To: to, Cluster: m.binding.Cluster, Members: m.binding.Members})
}

func (m *Machine) refuse(msg *Message, reason string) {
	m.send(Message{Type: MsgRefuse, To: msg.From, Reason: reason})
}

func (m *Machine) send(msg Message) {
	msg.From = m.cfg.Self.Name
	msg.Sender = m.cfg.Self
	m.msgs = append(m.msgs, msg)
}
