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

// callerFaults break duties of the simulated caller on purpose.
type callerFaults struct {
	answerFirst bool
	reuseID     bool
}

// simNode is one process with its disk. core is nil while it is down.
type simNode struct {
	id    consensus.NodeID
	store *storage.Memory
	core  *consensus.Core
	state []byte
	// maxAt is, by tick, the highest entry known to be committed anywhere.
	maxAt []uint64
	// reads holds, by ID, what was committed when a read started.
	reads map[uint64]uint64
}

type nodeSet map[consensus.NodeID]bool

// sim runs nodes under one seeded schedule. Cut nodes hear only each other,
// frozen ones wake for requests only, and lost ones have no disk.
type sim struct {
	rnd               *rand.Rand
	check             *checker
	nodes             []*simNode
	net               []consensus.Message
	cut, frozen, lost nodeSet
	// block holds pairs of nodes that don't hear each other.
	block map[[2]consensus.NodeID]bool
	// lossy loses and repeats messages; crashes end nodes after a sync.
	lossy, crashes bool
	off            consensus.Off
	caller         callerFaults
	nextID         consensus.NodeID
	serial         uint64
}

// newSim starts a cluster of first voters. Breaches inside the program count as
// faults of the checker.
func newSim(seed uint64, voters int, off consensus.Off, caller callerFaults) *sim {
	s := &sim{
		rnd: rand.New(rand.NewPCG(seed, 1)), check: newChecker(), off: off, caller: caller,
		cut: make(nodeSet), frozen: make(nodeSet), lost: make(nodeSet),
	}
	invariant.SetSink(func(b invariant.Breach) { s.check.fault("inside: %s", b.Detail) })
	var members []consensus.Member
	for range voters {
		s.nextID++
		members = append(members, consensus.Member{ID: s.nextID, Voter: true})
	}
	s.check.first = members
	for _, m := range members {
		s.boot(m.ID, bootstrap.Binding{Phase: bootstrap.Formed, Cluster: simCluster, Members: members})
	}
	return s
}

// restoreSink makes breaches panic again after a test.
func restoreSink(t *testing.T) {
	t.Cleanup(func() { invariant.SetSink(nil) })
}

func (s *sim) config(id consensus.NodeID) consensus.Config {
	s.serial++
	c := consensus.DefaultConfig(id, simCluster, rand.NewPCG(s.rnd.Uint64(), s.serial))
	c.ElectionTicks, c.HeartbeatTicks, c.LearnerHeartbeatTicks = 5, 1, 2
	c.MaxAppendBytes, c.MaxInflight, c.MaxPending, c.ChunkBytes = 100, 4, 12, 5
	c.CatchUpEntries, c.TrailEntries, c.TrailBytes = 3, 3, 100
	c.SwitchOff(s.off)
	return c
}

// boot adds a node with a new disk.
func (s *sim) boot(id consensus.NodeID, b bootstrap.Binding) {
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
		s.check.fault("node %d doesn't start: %v", n.id, err)
		return
	}
	n.core, n.state = core, nil
	if st.Snapshot != nil {
		n.state = st.Snapshot.Data
	}
	n.maxAt = []uint64{s.check.max}
	n.reads = make(map[uint64]uint64)
}

// turn carries out all work of a node; a planned crash of its disk ends it.
func (s *sim) turn(n *simNode) {
	for n.core != nil {
		rd := n.core.Ready()
		if rd.Empty() {
			s.check.observe(n)
			return
		}
		if s.caller.answerFirst {
			s.net = append(s.net, rd.Messages...)
		}
		if !rd.Update.Empty() && n.store.Save(rd.Update) != nil {
			n.core = nil
			return
		}
		s.check.saved(n, rd.Update)
		if !s.caller.answerFirst {
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

// apply runs the state machine, a chain of checksums over all entries, and
// checks the reads.
func (s *sim) apply(n *simNode, rd *consensus.Ready) {
	if rd.Install != nil {
		s.check.seen["installs"]++
		n.state = rd.Install.Data
		s.check.reached(n, rd.Install.Index)
	}
	for _, e := range rd.Committed {
		s.check.committed(n, e)
		b := binary.BigEndian.AppendUint64(slices.Concat(n.state, e.Data), e.Index)
		n.state = binary.BigEndian.AppendUint64(nil, xxhash.Sum64(b))
		s.check.reached(n, e.Index)
	}
	for _, r := range rd.Reads {
		floor, ok := n.reads[r.ID]
		if ok && !r.Dropped {
			s.check.seen["reads"]++
		}
		if ok && !r.Dropped && r.Index < floor {
			s.check.fault("stale read: node %d reads at %d, %d was committed before", n.id, r.Index, floor)
		}
		delete(n.reads, r.ID)
	}
}

// run lets ticks and messages happen in random order.
func (s *sim) run(steps int) {
	for range steps {
		if len(s.check.faults) > 0 {
			return
		}
		if len(s.net) > 0 && s.rnd.IntN(12) != 0 {
			s.deliver(s.rnd.IntN(len(s.net)))
			continue
		}
		for _, n := range s.nodes {
			if !s.frozen[n.id] && s.rnd.IntN(10) != 0 {
				s.tick(n)
			}
		}
	}
}

func (s *sim) tick(n *simNode) {
	if n.core != nil {
		n.core.Tick()
		n.maxAt = append(n.maxAt, s.check.max)
		s.turn(n)
	}
}

// calm lets some nodes tick, and delivers all messages in order in between but
// those that drop names.
func (s *sim) calm(ticks int, ticking []*simNode, drop func(consensus.Message) bool) {
	for range ticks {
		for _, n := range ticking {
			s.tick(n)
		}
		for len(s.net) > 0 {
			m := s.net[0]
			s.net = s.net[1:]
			if drop == nil || !drop(m) {
				s.hand(m)
			}
		}
	}
}

// deliver hands over one message, which may stay in the net as a duplicate or
// be lost.
func (s *sim) deliver(i int) {
	m := s.net[i]
	if s.frozen[m.To] {
		return
	}
	if !s.lossy || s.rnd.IntN(10) != 0 {
		s.net[i] = s.net[len(s.net)-1]
		s.net = s.net[:len(s.net)-1]
	}
	if !s.lossy || s.rnd.IntN(10) != 0 {
		s.hand(m)
	}
}

// hand gives a message to its receiver, if that is up and hears the sender.
func (s *sim) hand(m consensus.Message) {
	n := s.byID(m.To)
	apart := s.cut[m.From] != s.cut[m.To] || s.block[[2]consensus.NodeID{min(m.From, m.To), max(m.From, m.To)}]
	if n == nil || n.core == nil || apart {
		return
	}
	if err := n.core.Step(m); err != nil {
		s.check.fault("node %d refuses %+v: %v", n.id, m, err)
	}
	s.turn(n)
}

func (s *sim) byID(id consensus.NodeID) *simNode {
	for _, n := range s.nodes {
		if n.id == id && !s.lost[id] {
			return n
		}
	}
	return nil
}

// leader returns a node that believes it leads, or nil.
func (s *sim) leader() *simNode {
	for _, i := range s.rnd.Perm(len(s.nodes)) {
		if n := s.nodes[i]; n.core != nil && n.core.Leads() {
			return n
		}
	}
	return nil
}
