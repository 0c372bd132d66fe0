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

// faults of the simulated caller, which break its duties on purpose.
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
	reads map[uint64]uint64
}

// sim runs nodes under one seeded schedule.
type sim struct {
	rnd   *rand.Rand
	check *checker
	nodes []*simNode
	net   []consensus.Message
	cut   map[consensus.NodeID]bool
	// block holds pairs of nodes that don't hear each other.
	block  map[[2]consensus.NodeID]bool
	lost   map[consensus.NodeID]bool
	frozen map[consensus.NodeID]bool
	lossy  bool
	// crashes lets nodes crash anywhere between sync and apply.
	crashes bool
	off     consensus.Off
	caller  callerFaults
	nextID  consensus.NodeID
	serial  uint64
}

// newSim starts a cluster of first voters. Breaches inside the program count as
// faults of the checker.
func newSim(seed uint64, voters int, off consensus.Off, caller callerFaults) *sim {
	s := &sim{
		rnd: rand.New(rand.NewPCG(seed, 1)), check: newChecker(), off: off, caller: caller,
		cut: make(map[consensus.NodeID]bool), lost: make(map[consensus.NodeID]bool),
		frozen: make(map[consensus.NodeID]bool),
	}
	invariant.SetSink(func(b invariant.Breach) { s.check.fault("inside: %s", b.Detail) })
	var members []consensus.Member
	for range voters {
		s.nextID++
		members = append(members, consensus.Member{ID: s.nextID, Voter: true})
	}
	for _, m := range members {
		st := storage.NewMemory(m.ID, storage.Crash{})
		_ = st.SaveBinding(bootstrap.Binding{Phase: bootstrap.Formed, Cluster: simCluster, Members: members})
		s.boot(st)
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
	c.ElectionTicks = 5
	c.MaxAppendBytes = 100
	c.MaxInflight = 4
	c.MaxPending = 12
	c.ChunkBytes = 5
	c.CatchUpEntries = 3
	c.TrailEntries = 3
	c.SwitchOff(s.off)
	return c
}

// boot adds a node with the given disk.
func (s *sim) boot(st *storage.Memory) {
	n := &simNode{id: st.Node(), store: st}
	s.nodes = append(s.nodes, n)
	s.start(n)
}

func (s *sim) start(n *simNode) {
	st, _ := n.store.Load()
	core, err := consensus.New(s.config(n.id), st)
	if err != nil {
		s.check.fault("node %d doesn't start: %v", n.id, err)
		return
	}
	n.core = core
	n.state = nil
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
		if !rd.Update.Empty() {
			if n.store.Save(rd.Update) != nil {
				n.core = nil
				return
			}
			s.check.saved(n, rd.Update)
		}
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

func (s *sim) apply(n *simNode, rd *consensus.Ready) {
	if rd.Install != nil {
		s.check.seen.installs++
		n.state = rd.Install.Data
	}
	for _, e := range rd.Committed {
		s.check.committed(n, e)
		n.state = fold(n.state, e)
	}
	for _, r := range rd.Reads {
		if floor, ok := n.reads[r.ID]; ok && !r.Dropped {
			s.check.read(n, r.Index, floor)
		}
		delete(n.reads, r.ID)
	}
}

// fold is the state machine: a chain of checksums over all entries.
func fold(state []byte, e consensus.Entry) []byte {
	b := slices.Concat(state, e.Data)
	b = binary.BigEndian.AppendUint64(b, e.Index)
	return binary.BigEndian.AppendUint64(nil, xxhash.Sum64(b))
}

// run lets ticks and messages happen in random order.
func (s *sim) run(steps int) {
	for range steps {
		if len(s.check.faults) > 0 {
			return
		}
		if len(s.net) == 0 || s.rnd.IntN(12) == 0 {
			s.tickAll()
			continue
		}
		s.deliver(s.rnd.IntN(len(s.net)))
	}
}

func (s *sim) tickAll() {
	for _, n := range s.nodes {
		if n.core == nil || s.frozen[n.id] || s.rnd.IntN(10) == 0 {
			continue
		}
		s.tick(n)
	}
}

func (s *sim) tick(n *simNode) {
	n.core.Tick()
	n.maxAt = append(n.maxAt, s.check.max)
	s.turn(n)
}

// calm lets all nodes tick, with all messages delivered in order in between.
func (s *sim) calm(ticks int) {
	for range ticks {
		for _, n := range s.nodes {
			if n.core != nil {
				s.tick(n)
			}
		}
		for len(s.net) > 0 {
			m := s.net[0]
			s.net = s.net[1:]
			if n := s.byID(m.To); n != nil && n.core != nil && !s.apart(m) {
				_ = n.core.Step(m)
				s.turn(n)
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
	n := s.byID(m.To)
	dropped := s.lossy && s.rnd.IntN(10) == 0
	if n == nil || n.core == nil || dropped || s.apart(m) {
		return
	}
	if err := n.core.Step(m); err != nil {
		s.check.fault("node %d refuses %+v: %v", n.id, m, err)
	}
	s.turn(n)
}

// apart reports whether a cut is between sender and receiver.
func (s *sim) apart(m consensus.Message) bool {
	return s.cut[m.From] != s.cut[m.To] || s.block[[2]consensus.NodeID{min(m.From, m.To), max(m.From, m.To)}]
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

func (s *sim) pick() *simNode { return s.nodes[s.rnd.IntN(len(s.nodes))] }

func (s *sim) propose() {
	if n := s.leader(); n != nil {
		s.serial++
		_, _, _ = n.core.Propose(binary.BigEndian.AppendUint64(nil, s.serial))
		s.turn(n)
	}
}

func (s *sim) read() {
	n := s.pick()
	if n.core == nil {
		return
	}
	s.serial++
	n.reads[s.serial] = s.check.max
	if n.core.ReadIndex(s.serial) != nil {
		delete(n.reads, s.serial)
	}
	s.turn(n)
}

// compact lets a node take a snapshot, whose content must be that of all.
func (s *sim) compact() {
	n := s.pick()
	if n.core == nil {
		return
	}
	st := n.core.Status()
	if st.Applied > st.Snapshot {
		if err := n.core.Compact(st.Applied, n.state); err != nil {
			s.check.fault("compact: %v", err)
		}
		s.turn(n)
	}
}

// crash plans a crash at one of the next syncs of a node, durable or not.
func (s *sim) crash() {
	if n := s.pick(); n.core != nil {
		n.store.Plan(storage.Crash{AtSync: 1 + s.rnd.IntN(4), Durable: s.rnd.IntN(2) == 0})
	}
}

// restart starts all nodes that are down and still have their disk.
func (s *sim) restart() {
	for _, n := range s.nodes {
		if n.core == nil && !s.lost[n.id] {
			s.check.seen.crashes++
			n.store = n.store.Reopen(storage.Crash{})
			s.start(n)
		}
	}
}

// partition cuts a random side off; the quorum may be on either side.
func (s *sim) partition() {
	for _, n := range s.nodes {
		s.cut[n.id] = s.rnd.IntN(3) == 0
	}
}

func (s *sim) heal() {
	clear(s.cut)
	clear(s.frozen)
}

// freeze stops a node without its knowledge; messages to it wait. Requests of
// callers are what wakes it for a moment.
func (s *sim) freeze() {
	if n := s.leader(); n != nil {
		s.frozen[n.id] = true
	}
}

// loseDisk empties the disk of a node, unless a lost voter is still a member
// anywhere, or the loss would take the quorum. The successor is a new identity that joins as a learner.
func (s *sim) loseDisk() {
	if s.lostVoters() > 0 || len(s.nodes) > 9 {
		return
	}
	n := s.pick()
	survives := func(o *simNode) bool { return !o.counts(n.id, 1) || o.counts(n.id, 3) }
	if s.lost[n.id] || slices.ContainsFunc(s.nodes, func(o *simNode) bool { return !survives(o) }) {
		return
	}
	n.core = nil
	s.check.seen.losses++
	id := n.id
	if !s.caller.reuseID {
		s.lost[n.id] = true
		s.nextID++
		id = s.nextID
	}
	st := storage.NewMemory(id, storage.Crash{})
	_ = st.SaveBinding(bootstrap.Binding{Phase: bootstrap.Joined, Cluster: simCluster})
	if s.caller.reuseID {
		n.store = st
		s.start(n)
		return
	}
	s.boot(st)
}

// lostVoters counts the lost disks that count as voters on some node.
func (s *sim) lostVoters() int {
	count := 0
	for id := range s.lost {
		if slices.ContainsFunc(s.nodes, func(n *simNode) bool { return !s.lost[n.id] && n.counts(id, 1) }) {
			count++
		}
	}
	return count
}

// counts reports whether a node takes id for one of at least so many voters, on
// disk.
func (n *simNode) counts(id consensus.NodeID, least int) bool {
	st, _ := n.store.Load()
	members := []consensus.Member(nil)
	if st.Snapshot != nil {
		members = st.Snapshot.Members
	}
	for _, e := range st.Entries {
		if e.Kind == consensus.EntryMembership && e.Index > snapIndex(st) {
			members = e.Members
		}
	}
	voters := slices.DeleteFunc(slices.Clone(members), func(m consensus.Member) bool { return !m.Voter })
	return len(voters) >= least && slices.ContainsFunc(voters, func(m consensus.Member) bool { return m.ID == id })
}

func snapIndex(st consensus.State) uint64 {
	if st.Snapshot == nil {
		return 0
	}
	return st.Snapshot.Index
}

// change proposes a membership change. A voter with a disk is not removed while
// a lost one still counts, because that would take the quorum for good.
func (s *sim) change() {
	n := s.leader()
	if n == nil {
		return
	}
	_, _, _ = n.core.ProposeMembership(s.nextChange(n.core.Status().Members))
	s.turn(n)
}

func (s *sim) nextChange(members []consensus.Member) consensus.Change {
	voters := 0
	for _, m := range members {
		if m.Voter {
			voters++
		}
	}
	m := members[s.rnd.IntN(len(members))]
	id := s.nodes[s.rnd.IntN(len(s.nodes))].id
	inside := slices.ContainsFunc(members, func(m consensus.Member) bool { return m.ID == id })
	switch {
	case !inside && !s.lost[id]:
		return consensus.Change{Kind: consensus.AddLearner, Member: consensus.Member{ID: id}}
	case !m.Voter:
		return consensus.Change{Kind: consensus.Promote, Member: m}
	case s.lost[m.ID] || s.lostVoters() == 0 && (voters > 3 || voters > 2 && s.rnd.IntN(3) == 0):
		return consensus.Change{Kind: consensus.Remove, Member: m}
	}
	return consensus.Change{Kind: consensus.AddLearner, Member: consensus.Member{ID: id}}
}
