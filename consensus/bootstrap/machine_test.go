package bootstrap

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"magnoliastand.example/consensus"
	"magnoliastand.example/invariant"
)

// simNode is a simulated node with its disk.
type simNode struct {
	name    string
	id      consensus.NodeID
	disk    Binding
	machine *Machine
	// joinOnly is set once the node was started again with an empty disk and without the
	// permission to form a cluster.
	joinOnly bool
}

// sim simulates the bootstrap of first voters a, b and c, with d as an
// additional node, under one seeded schedule.
type sim struct {
	rnd        *rand.Rand
	nodes      []*simNode
	inFlight   []Message
	clusters   map[consensus.ClusterID]bool
	violations []string
	// losePromises skips the persistence of promises.
	losePromises bool
	isolated     string
	// keepDisks keeps faulty steps from losing disks.
	keepDisks bool
}

var firstVoters = []string{"a", "b", "c"}

func newSim(t *testing.T, seed uint64, losePromises bool) *sim {
	t.Cleanup(func() { invariant.SetSink(nil) })
	s := &sim{rnd: rand.New(rand.NewPCG(seed, 3)), clusters: make(map[consensus.ClusterID]bool), losePromises: losePromises}
	invariant.SetSink(func(b invariant.Breach) { s.violations = append(s.violations, b.Detail) })
	for _, name := range []string{"a", "b", "c", "d"} {
		n := &simNode{name: name}
		s.nodes = append(s.nodes, n)
		s.loseDisk(n)
	}
	return s
}

func (s *sim) loseDisk(n *simNode) {
	n.id = consensus.NodeID(s.rnd.Uint64() | 1) // the ID of a new disk may be below that of the lost one
	n.disk = Binding{}
	s.restart(n)
}

func (s *sim) restart(n *simNode) {
	peers := append([]string{"d"}, firstVoters...)
	m, err := New(Config{
		Self: consensus.Member{ID: n.id, Name: n.name}, FirstVoters: firstVoters, Peers: peers, JoinOnly: n.joinOnly,
		Rand: rand.NewPCG(s.rnd.Uint64(), 4), RetryTicks: 2,
	}, n.disk)
	if err != nil {
		panic(err)
	}
	n.machine = m
}

// processReady sends the messages of a Ready and persists its binding. A crash
// loses both.
func (s *sim) processReady(n *simNode, crash bool) {
	rd := n.machine.Ready()
	if crash {
		s.restart(n)
		return
	}
	s.inFlight = append(s.inFlight, rd.Messages...)
	if rd.Binding == nil || s.losePromises && rd.Binding.Phase == Promised {
		return
	}
	n.disk = *rd.Binding
	if n.disk.Phase == Formed {
		s.clusters[n.disk.Cluster] = true
	}
	if len(s.clusters) > 1 {
		s.violations = append(s.violations, fmt.Sprintf("%d clusters formed", len(s.clusters)))
	}
}

// boundVoters counts the first voters other than n whose disk is promised or
// bound to a cluster.
func (s *sim) boundVoters(n *simNode) int {
	count := 0
	for _, o := range s.nodes {
		if o != n && o.name != "d" && o.disk.Phase != Unbound {
			count++
		}
	}
	return count
}

func (s *sim) step(faulty bool) {
	n := s.nodes[s.rnd.IntN(len(s.nodes))]
	crash := faulty && s.rnd.IntN(30) == 0
	switch k := s.rnd.IntN(100); {
	case faulty && k == 0 && !s.keepDisks && (len(s.clusters) == 0 || s.boundVoters(n) > 0):
		n.joinOnly = s.rnd.IntN(2) == 0
		s.loseDisk(n)
	case faulty && k == 1:
		s.isolated = n.name
	case faulty && k == 2:
		s.isolated = ""
	case k < 20 || len(s.inFlight) == 0:
		n.machine.Tick()
		s.processReady(n, crash)
	default:
		s.deliver(s.rnd.IntN(len(s.inFlight)), faulty, crash)
	}
}

func (s *sim) deliver(i int, faulty, crash bool) {
	m := s.inFlight[i]
	if !faulty || s.rnd.IntN(8) != 0 {
		s.inFlight = slices.Delete(s.inFlight, i, i+1)
	}
	if faulty && s.rnd.IntN(8) == 0 || m.From == s.isolated || m.To == s.isolated {
		return
	}
	for _, n := range s.nodes {
		if n.name == m.To {
			n.machine.Step(m)
			s.processReady(n, crash)
		}
	}
}

// TestOnlyOneClusterForms runs random schedules with lost and duplicated
// messages, isolated nodes, crashes and lost disks. Once a cluster has formed, a
// disk is lost only if another first voter has a promised or bound disk.
func TestOnlyOneClusterForms(t *testing.T) {
	formed := 0
	for seed := range uint64(3000) {
		s := newSim(t, seed, false)
		for range 1000 {
			s.step(true)
		}
		formed += len(s.clusters)
		if len(s.violations) > 0 {
			t.Fatalf("seed %d: %s", seed, s.violations[0])
		}
	}
	t.Logf("%d clusters formed in 3000 schedules", formed)
}

// clustersAfterPowerLoss returns the number of clusters formed when the power
// fails after a has formed a cluster and before b and c know of it, and the disk
// of a is lost.
func clustersAfterPowerLoss(t *testing.T, losePromises bool) int {
	s := newSim(t, 1, losePromises)
	for len(s.clusters) == 0 {
		s.step(false)
	}
	s.inFlight = nil
	s.restart(s.nodes[1])
	s.restart(s.nodes[2])
	s.loseDisk(s.nodes[0])
	s.converge()
	return len(s.clusters)
}

func TestDurablePromisePreventsSecondCluster(t *testing.T) {
	if n := clustersAfterPowerLoss(t, false); n != 1 {
		t.Errorf("%d clusters formed", n)
	}
	if n := clustersAfterPowerLoss(t, true); n != 2 {
		t.Errorf("%d clusters formed without durable promises, want 2", n)
	}
}

// converge runs 3000 steps without faults and reports whether all nodes are then
// bound to the same cluster and no violation occurred.
func (s *sim) converge() bool {
	s.isolated = ""
	for range 3000 {
		s.step(false)
	}
	for _, n := range s.nodes {
		if !n.machine.Done() || n.disk.Cluster != s.nodes[0].disk.Cluster {
			return false
		}
	}
	return len(s.violations) == 0
}

// hasQuorum reports whether most of the first voters of the cluster have kept their disks.
func (s *sim) hasQuorum() bool {
	members := s.nodes[0].disk.Members
	kept := 0
	for _, v := range members {
		for _, n := range s.nodes {
			if n.id == v.ID && n.disk.Phase == Formed {
				kept++
			}
		}
	}
	return 2*kept > len(members)
}

// A seed that loses its disk at the very first start comes back with an empty one, without the
// permission to form a cluster. The others waited for its promise for good, or for an
// invitation if it was the coordinator.
func TestClusterFormsAfterDiskLostAtFirstStart(t *testing.T) {
	begun, accepted := 0, 0
	for victim := range firstVoters {
		for steps := range 400 {
			s := newSim(t, uint64(steps), false)
			for range steps {
				s.step(false)
			}
			if slices.ContainsFunc(s.nodes, func(n *simNode) bool { return n.disk.Ballot != Ballot{} }) {
				begun++
			}
			if slices.ContainsFunc(s.nodes, func(n *simNode) bool { return n.disk.Phase == Promised }) {
				accepted++
			}
			n := s.nodes[victim]
			n.joinOnly = true
			s.loseDisk(n)
			if !s.converge() || len(s.clusters) != 1 || !s.hasQuorum() {
				t.Fatalf("%s lost its disk after %d steps: %d clusters formed, violations %v, bindings %+v %+v %+v", n.name, steps,
					len(s.clusters), s.violations, s.nodes[0].disk, s.nodes[1].disk, s.nodes[2].disk)
			}
		}
	}
	t.Logf("%d disks lost during a proposal, %d after a cluster was accepted", begun, accepted)
	if begun < 150 || accepted < 90 {
		t.Errorf("%d disks lost during a proposal, %d after a cluster was accepted: too few", begun, accepted)
	}
}

// As TestClusterFormsAfterDiskLostAtFirstStart, with lost and duplicated messages, isolated
// nodes and crashes before and after the disk is lost, also one that comes back with the
// permission to form a cluster.
func TestClusterFormsAfterDiskLostAmongFaults(t *testing.T) {
	for seed := range uint64(1500) {
		s := newSim(t, seed, false)
		s.keepDisks = true
		for range s.rnd.IntN(300) {
			s.step(true)
		}
		n := s.nodes[s.rnd.IntN(len(firstVoters))]
		n.joinOnly = s.rnd.IntN(4) > 0
		s.loseDisk(n)
		for range s.rnd.IntN(300) {
			s.step(true)
		}
		if !s.converge() || len(s.clusters) != 1 || !s.hasQuorum() {
			t.Fatalf("seed %d, %s lost its disk: %d clusters formed, violations %v, bindings %+v %+v %+v", seed, n.name,
				len(s.clusters), s.violations, s.nodes[0].disk, s.nodes[1].disk, s.nodes[2].disk)
		}
	}
}

// All seeds are started again without the permission to form a cluster once their disks take
// part in the formation. They must complete it.
func TestFormationGoesOnWithoutPermission(t *testing.T) {
	for steps := range 120 {
		s := newSim(t, uint64(steps), false)
		for range steps {
			s.step(false)
		}
		begun := false
		for _, n := range s.nodes {
			begun = begun || n.disk.Ballot != Ballot{}
		}
		for _, n := range s.nodes {
			n.joinOnly = true
			s.restart(n)
		}
		if formed := s.converge(); begun && !formed {
			t.Fatalf("not formed after a restart of all nodes after %d steps: %v", steps, s.violations)
		}
	}
}

// The new disk of a proposer got a node ID below that of the lost one, and proposed a ballot of
// the same round. It was rejected, and repeated the invitation for good.
func TestClusterFormsAfterReplacementWithLowerID(t *testing.T) {
	for _, joinOnly := range []bool{false, true} {
		s := newSim(t, 1, false)
		a, b := s.nodes[0], s.nodes[1]
		a.id = consensus.NodeID(1<<64 - 1) // above the IDs of all other disks
		s.restart(a)
		s.isolated = "b"
		for range 2000 {
			s.step(false)
		}
		s.inFlight, s.isolated = nil, ""
		a.joinOnly = joinOnly // b proposes if it is set
		s.loseDisk(a)
		s.loseDisk(b)
		if !s.converge() {
			t.Errorf("join only %t: not formed, problems %q and %q, bindings %+v %+v %+v", joinOnly, a.machine.Problem(), b.machine.Problem(),
				a.disk, b.disk, s.nodes[2].disk)
		}
	}
}

// Guards against a seed that is left out because it may not form a cluster: one permission is
// enough, also for a new cluster after the loss of all disks, as docs/CONFIGURATION.md says.
func TestOnePermissionFormsClusterAfterLossOfAllDisks(t *testing.T) {
	for permitted := range firstVoters {
		s := newSim(t, 1, false)
		if !s.converge() {
			t.Fatalf("not formed: %v", s.violations)
		}
		s.inFlight, s.clusters = nil, make(map[consensus.ClusterID]bool)
		for i, n := range s.nodes {
			n.joinOnly = i != permitted
			s.loseDisk(n)
		}
		if !s.converge() || len(s.clusters) != 1 {
			t.Errorf("permission of %s: %d clusters formed, violations %v", s.nodes[permitted].name, len(s.clusters), s.violations)
		}
	}
}

func TestReplacedDisksJoinFormedCluster(t *testing.T) {
	s := newSim(t, 1, false)
	if !s.converge() {
		t.Fatalf("not formed: %v", s.violations)
	}
	for i, want := range []Phase{Formed, Formed, Formed, Joined} {
		if got := s.nodes[i].disk.Phase; got != want {
			t.Errorf("%s is %s, want %s", s.nodes[i].name, got, want)
		}
	}
	members := s.nodes[0].disk.Members
	if len(members) != 3 || !members[1].Voter || members[1].ID != s.nodes[1].id {
		t.Errorf("members %+v", members)
	}
	s.loseDisk(s.nodes[0])
	s.loseDisk(s.nodes[1])
	if !s.converge() || s.nodes[0].disk.Phase != Joined || s.nodes[1].disk.Phase != Joined {
		t.Errorf("replaced disks did not join: %+v %+v", s.nodes[0].disk, s.nodes[1].disk)
	}
}

// TestAbandonedPromiseIsReleased checks that disks promised to a cluster ID that
// the coordinator issued join an existing cluster of which it learns later.
func TestAbandonedPromiseIsReleased(t *testing.T) {
	s := newSim(t, 1, false)
	a, b, d := s.nodes[0], s.nodes[1], s.nodes[3]
	a.disk = Binding{Phase: Promised, Cluster: 5, Issuer: a.id}
	b.disk = a.disk
	d.disk = Binding{Phase: Joined, Cluster: 9}
	for _, n := range []*simNode{a, b, d} {
		s.restart(n)
	}
	s.isolated = "c"
	for range 500 {
		s.step(false)
	}
	if !s.converge() || b.disk.Cluster != 9 {
		t.Errorf("bindings %+v and %+v, want cluster 9", a.disk, b.disk)
	}
}

func TestDifferentFirstVotersAreRejected(t *testing.T) {
	s := newSim(t, 1, false)
	m, err := New(Config{
		Self: consensus.Member{ID: 50, Name: "c"}, FirstVoters: []string{"a", "c"},
		Rand: rand.NewPCG(1, 1), RetryTicks: 2,
	}, Binding{})
	if err != nil {
		t.Fatal(err)
	}
	s.nodes[2].machine = m
	if s.converge() || len(s.clusters) > 0 {
		t.Error("cluster formed although the first voters differ")
	}
	if p := s.nodes[0].machine.Problem(); !strings.Contains(p, "first voters differ") {
		t.Errorf("rejection %q", p)
	}
}

func TestBadConfigIsRejected(t *testing.T) {
	self, src := consensus.Member{ID: 1, Name: "a"}, rand.NewPCG(1, 1)
	for name, c := range map[string]Config{
		"no ID":      {Self: consensus.Member{Name: "a"}, Rand: src, RetryTicks: 1},
		"twice":      {Self: self, FirstVoters: []string{"a", "a"}, Rand: src, RetryTicks: 1},
		"empty name": {Self: self, FirstVoters: []string{""}, Rand: src, RetryTicks: 1},
		"no retry":   {Self: self, Rand: src},
	} {
		if _, err := New(c, Binding{}); !errors.Is(err, ErrBadConfig) {
			t.Errorf("%s: error %v", name, err)
		}
	}
}

// Builds without ballots reject unknown fields. They must be able to read bound disks, and the
// messages of bound nodes and of nodes that look for a cluster.
func TestEncodingWithoutBallots(t *testing.T) {
	s := newSim(t, 1, false)
	if !s.converge() {
		t.Fatalf("not formed: %v", s.violations)
	}
	for name, v := range map[string]any{
		"binding": s.nodes[0].disk,
		"hello":   Message{Type: MsgHello, From: "a", To: "b", FirstVoters: firstVoters},
		"exists":  Message{Type: MsgClusterExists, From: "a", To: "b", Cluster: 5, Members: s.nodes[0].disk.Members},
	} {
		data, err := cbor.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		var fields map[int]any
		if err := cbor.Unmarshal(data, &fields); err != nil {
			t.Fatal(err)
		}
		last := 4
		if name != "binding" {
			last = 8
		}
		for key := range fields {
			if key > last {
				t.Errorf("%s has field %d", name, key)
			}
		}
	}
}
