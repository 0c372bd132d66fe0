package consensus_test

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"

	"magnoliastand.example/consensus"
	"magnoliastand.example/consensus/bootstrap"
	"magnoliastand.example/consensus/storage"
	"magnoliastand.example/invariant"
)

const simCluster = 77

// callerFaults selects caller duties that the simulated caller violates.
type callerFaults struct {
	sendBeforeSync bool
	reuseID        bool
}

// simNode is a process with its disk. core is nil while the process is down.
type simNode struct {
	id    consensus.NodeID
	store *storage.Memory
	core  *consensus.Core
	state []byte
	// committedAt is, by tick of the node, the highest index committed on any node.
	committedAt []uint64
	// reads holds, by read ID, the highest committed index when it started.
	reads map[uint64]uint64
}

type nodeSet map[consensus.NodeID]bool

// sim runs nodes under a seeded schedule. Isolated nodes communicate only with
// each other, paused nodes receive no ticks or randomly delivered messages, and
// nodes with a lost disk are unreachable.
type sim struct {
	rnd                        *rand.Rand
	check                      *checker
	nodes                      []*simNode
	net                        []consensus.Message
	isolated, paused, diskLost nodeSet
	// blocked holds pairs of nodes that cannot communicate, lower ID first.
	blocked map[[2]consensus.NodeID]bool
	// lossy drops and duplicates messages. crashes stops nodes after a sync.
	lossy, crashes bool
	disabled       consensus.DisabledSafeguards
	caller         callerFaults
	nextID         consensus.NodeID
	serial         uint64
}

// newSim starts a cluster of initial voters. Invariant breaches in the package
// under test are reported to the checker.
func newSim(seed uint64, voters int, disabled consensus.DisabledSafeguards, caller callerFaults) *sim {
	s := &sim{
		rnd: rand.New(rand.NewPCG(seed, 1)), check: newChecker(), disabled: disabled, caller: caller,
		isolated: make(nodeSet), paused: make(nodeSet), diskLost: make(nodeSet),
	}
	invariant.SetSink(func(b invariant.Breach) { s.check.report("invariant: %s", b.Detail) })
	var members []consensus.Member
	for range voters {
		s.nextID++
		members = append(members, consensus.Member{ID: s.nextID, Voter: true})
	}
	s.check.initialMembers = members
	for _, m := range members {
		s.addNode(m.ID, bootstrap.Binding{Phase: bootstrap.Formed, Cluster: simCluster, Members: members})
	}
	return s
}

// restoreSink restores the default invariant sink, which panics, after a test.
func restoreSink(t *testing.T) {
	t.Cleanup(func() { invariant.SetSink(nil) })
}

func (s *sim) config(id consensus.NodeID) consensus.Config {
	s.serial++
	c := consensus.DefaultConfig(id, simCluster, rand.NewPCG(s.rnd.Uint64(), s.serial))
	c.ElectionTicks, c.HeartbeatTicks, c.LearnerHeartbeatTicks = 5, 1, 2
	c.MaxAppendBytes, c.MaxInflight, c.MaxPending, c.ChunkBytes = 100, 4, 12, 5
	c.CatchUpEntries, c.TrailEntries, c.TrailBytes = 3, 3, 100
	c.DisableSafeguards(s.disabled)
	return c
}

// addNode adds and starts a node with a new disk.
func (s *sim) addNode(id consensus.NodeID, b bootstrap.Binding) {
	n := &simNode{id: id, store: storage.NewMemory(id, storage.Crash{})}
	_ = n.store.SaveBinding(b)
	s.nodes = append(s.nodes, n)
	s.start(n)
}

func (s *sim) start(n *simNode) {
	n.store = n.store.Reopen(storage.Crash{})
	st, _ := n.store.Load()
	core, err := consensus.New(s.config(n.id), st)
	if err != nil {
		s.check.report("node %d does not start: %v", n.id, err)
		return
	}
	n.core, n.state = core, nil
	if st.Snapshot != nil {
		n.state = st.Snapshot.Data
	}
	n.committedAt = []uint64{s.check.maxCommitted}
	n.reads = make(map[uint64]uint64)
}

// process performs all pending work of a node. A planned crash of its store stops
// the node.
func (s *sim) process(n *simNode) {
	for n.core != nil {
		rd := n.core.Ready()
		if rd.Empty() {
			s.check.checkLeader(n)
			return
		}
		if s.caller.sendBeforeSync {
			s.net = append(s.net, rd.Messages...)
		}
		if !rd.Update.Empty() && n.store.Save(rd.Update) != nil {
			n.core = nil
			return
		}
		s.check.checkUpdate(n, rd.Update)
		if !s.caller.sendBeforeSync {
			s.net = append(s.net, rd.Messages...)
		}
		if s.crashes && s.rnd.IntN(2000) == 0 {
			n.core = nil
			return
		}
		s.apply(n, &rd)
		n.core.Advance()
	}
}

// apply runs the state machine, which is a chain of checksums over all entries,
// and verifies completed reads.
func (s *sim) apply(n *simNode, rd *consensus.Ready) {
	if rd.Install != nil {
		s.check.counts["installs"]++
		n.state = rd.Install.Data
		s.check.checkState(n, rd.Install.Index)
	}
	for _, e := range rd.Committed {
		s.check.checkCommitted(n, e)
		b := binary.BigEndian.AppendUint64(slices.Concat(n.state, e.Data), e.Index)
		n.state = binary.BigEndian.AppendUint64(nil, xxhash.Sum64(b))
		s.check.checkState(n, e.Index)
	}
	for _, r := range rd.Reads {
		minIndex, ok := n.reads[r.ID]
		if ok && !r.Dropped {
			s.check.counts["reads"]++
		}
		if ok && !r.Dropped && r.Index < minIndex {
			s.check.report("stale read: node %d reads at index %d, but %d was committed when the read started", n.id, r.Index, minIndex)
		}
		delete(n.reads, r.ID)
	}
}

// run ticks nodes and delivers messages in random order.
func (s *sim) run(steps int) {
	for range steps {
		if len(s.check.violations) > 0 {
			return
		}
		if len(s.net) > 0 && s.rnd.IntN(12) != 0 {
			s.deliver(s.rnd.IntN(len(s.net)))
			continue
		}
		for _, n := range s.nodes {
			if !s.paused[n.id] && s.rnd.IntN(10) != 0 {
				s.tick(n)
			}
		}
	}
}

func (s *sim) tick(n *simNode) {
	if n.core != nil {
		n.core.Tick()
		n.committedAt = append(n.committedAt, s.check.maxCommitted)
		s.process(n)
	}
}

// runInOrder ticks the given nodes and, after each tick, delivers all messages in
// order except those that drop selects.
func (s *sim) runInOrder(ticks int, ticking []*simNode, drop func(consensus.Message) bool) {
	for range ticks {
		for _, n := range ticking {
			s.tick(n)
		}
		for len(s.net) > 0 {
			m := s.net[0]
			s.net = s.net[1:]
			if drop == nil || !drop(m) {
				s.step(m)
			}
		}
	}
}

// deliver delivers a pending message. On a lossy network, the message may stay
// pending as a duplicate, or be lost.
func (s *sim) deliver(i int) {
	m := s.net[i]
	if s.paused[m.To] {
		return
	}
	if !s.lossy || s.rnd.IntN(10) != 0 {
		s.net[i] = s.net[len(s.net)-1]
		s.net = s.net[:len(s.net)-1]
	}
	if !s.lossy || s.rnd.IntN(10) != 0 {
		s.step(m)
	}
}

// step passes a message to its receiver if that node is running and reachable from
// the sender.
func (s *sim) step(m consensus.Message) {
	n := s.byID(m.To)
	partitioned := s.isolated[m.From] != s.isolated[m.To] || s.blocked[[2]consensus.NodeID{min(m.From, m.To), max(m.From, m.To)}]
	if n == nil || n.core == nil || partitioned {
		return
	}
	if err := n.core.Step(m); err != nil {
		s.check.report("node %d rejects message %+v: %v", n.id, m, err)
	}
	s.process(n)
}

func (s *sim) byID(id consensus.NodeID) *simNode {
	for _, n := range s.nodes {
		if n.id == id && !s.diskLost[id] {
			return n
		}
	}
	return nil
}

// leader returns a random node that considers itself leader, or nil.
func (s *sim) leader() *simNode {
	for _, i := range s.rnd.Perm(len(s.nodes)) {
		if n := s.nodes[i]; n.core != nil && n.core.Leads() {
			return n
		}
	}
	return nil
}
