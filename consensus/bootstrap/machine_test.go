package bootstrap

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"magnoliastand.example/consensus"
	"magnoliastand.example/invariant"
)

// process is one node with its disk.
type process struct {
	name    string
	id      consensus.NodeID
	disk    Binding
	machine *Machine
}

// sim runs the bootstrap of first voters a, b and c with d as a further node,
// under one seeded schedule.
type sim struct {
	rnd      *rand.Rand
	nodes    []*process
	net      []Message
	nextID   consensus.NodeID
	clusters map[consensus.ClusterID]bool
	faults   []string
	// forget breaks the duty to persist a promise.
	forget bool
	cut    string
}

var firstVoters = []string{"a", "b", "c"}

func newSim(t *testing.T, seed uint64, forget bool) *sim {
	t.Cleanup(func() { invariant.SetSink(nil) })
	s := &sim{rnd: rand.New(rand.NewPCG(seed, 3)), clusters: make(map[consensus.ClusterID]bool), forget: forget}
	invariant.SetSink(func(b invariant.Breach) { s.faults = append(s.faults, b.Detail) })
	for _, name := range []string{"a", "b", "c", "d"} {
		n := &process{name: name}
		s.nodes = append(s.nodes, n)
		s.loseDisk(n)
	}
	return s
}

func (s *sim) loseDisk(n *process) {
	s.nextID++
	n.id = s.nextID
	n.disk = Binding{}
	s.restart(n)
}

func (s *sim) restart(n *process) {
	peers := append([]string{"d"}, firstVoters...)
	m, err := New(Config{
		Self: consensus.Member{ID: n.id, Name: n.name}, FirstVoters: firstVoters, Peers: peers,
		Rand: rand.NewPCG(s.rnd.Uint64(), 4), RetryTicks: 2,
	}, n.disk)
	if err != nil {
		panic(err)
	}
	n.machine = m
}

// turn persists and sends. A crash loses what isn't persisted yet.
func (s *sim) turn(n *process, crash bool) {
	rd := n.machine.Ready()
	if crash {
		s.restart(n)
		return
	}
	s.net = append(s.net, rd.Messages...)
	if rd.Binding == nil || s.forget && rd.Binding.Phase == Promised {
		return
	}
	n.disk = *rd.Binding
	if n.disk.Phase == Formed {
		s.clusters[n.disk.Cluster] = true
	}
	if len(s.clusters) > 1 {
		s.faults = append(s.faults, fmt.Sprintf("%d clusters formed", len(s.clusters)))
	}
}

// bound counts the first voters that promised their disk, besides n.
func (s *sim) bound(n *process) int {
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
	case faulty && k == 0 && (len(s.clusters) == 0 || s.bound(n) > 0):
		s.loseDisk(n)
	case faulty && k == 1:
		s.cut = n.name
	case faulty && k == 2:
		s.cut = ""
	case k < 20 || len(s.net) == 0:
		n.machine.Tick()
		s.turn(n, crash)
	default:
		s.deliver(s.rnd.IntN(len(s.net)), faulty, crash)
	}
}

func (s *sim) deliver(i int, faulty, crash bool) {
	m := s.net[i]
	if !faulty || s.rnd.IntN(8) != 0 {
		s.net = slices.Delete(s.net, i, i+1)
	}
	if faulty && s.rnd.IntN(8) == 0 || m.From == s.cut || m.To == s.cut {
		return
	}
	for _, n := range s.nodes {
		if n.name == m.To {
			n.machine.Step(m)
			s.turn(n, crash)
		}
	}
}

// TestOnlyOneClusterForms runs random schedules with losses of messages, crashes
// and lost disks, as long as one bound first voter keeps its disk.
func TestOnlyOneClusterForms(t *testing.T) {
	formed := 0
	for seed := range uint64(3000) {
		s := newSim(t, seed, false)
		for range 600 {
			s.step(true)
		}
		formed += len(s.clusters)
		if len(s.faults) > 0 {
			t.Fatalf("seed %d: %s", seed, s.faults[0])
		}
	}
	t.Logf("%d clusters formed in 3000 schedules", formed)
}

// afterPowerLoss forms a cluster, of which b and c haven't heard when the power
// fails and the disk of a is lost, and returns the number of clusters formed.
func afterPowerLoss(t *testing.T, forget bool) int {
	s := newSim(t, 1, forget)
	for len(s.clusters) == 0 {
		s.step(false)
	}
	s.net = nil
	s.restart(s.nodes[1])
	s.restart(s.nodes[2])
	s.loseDisk(s.nodes[0])
	s.settle()
	return len(s.clusters)
}

func TestDurablePromiseMatters(t *testing.T) {
	if n := afterPowerLoss(t, false); n != 1 {
		t.Errorf("%d clusters formed", n)
	}
	if n := afterPowerLoss(t, true); n != 2 {
		t.Errorf("%d clusters formed without durable promises, want the second to show", n)
	}
}

// settle runs without faults until all are bound to one cluster.
func (s *sim) settle() bool {
	s.cut = ""
	for range 3000 {
		s.step(false)
	}
	for _, n := range s.nodes {
		if !n.machine.Done() || n.disk.Cluster != s.nodes[0].disk.Cluster {
			return false
		}
	}
	return len(s.faults) == 0
}

func TestFormsAndLaterDisksJoin(t *testing.T) {
	s := newSim(t, 1, false)
	if !s.settle() {
		t.Fatalf("not formed: %v", s.faults)
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
	if !s.settle() || s.nodes[0].disk.Phase != Joined || s.nodes[1].disk.Phase != Joined {
		t.Errorf("lost disks didn't join: %+v %+v", s.nodes[0].disk, s.nodes[1].disk)
	}
}

// TestAbandonedPromiseIsReleased lets the coordinator issue a second cluster ID
// and then learn of the first cluster.
func TestAbandonedPromiseIsReleased(t *testing.T) {
	s := newSim(t, 1, false)
	a, b, d := s.nodes[0], s.nodes[1], s.nodes[3]
	a.disk = Binding{Phase: Promised, Cluster: 5, Issuer: a.id}
	b.disk = a.disk
	d.disk = Binding{Phase: Joined, Cluster: 9}
	for _, n := range []*process{a, b, d} {
		s.restart(n)
	}
	s.cut = "c"
	for range 500 {
		s.step(false)
	}
	if !s.settle() || b.disk.Cluster != 9 {
		t.Errorf("bindings %+v and %+v, want cluster 9", a.disk, b.disk)
	}
}

func TestDifferentNamesAreRefused(t *testing.T) {
	s := newSim(t, 1, false)
	m, err := New(Config{
		Self: consensus.Member{ID: 50, Name: "c"}, FirstVoters: []string{"a", "c"},
		Rand: rand.NewPCG(1, 1), RetryTicks: 2,
	}, Binding{})
	if err != nil {
		t.Fatal(err)
	}
	s.nodes[2].machine = m
	if s.settle() || len(s.clusters) > 0 {
		t.Error("formed although the settings differ")
	}
	if p := s.nodes[0].machine.Problem(); !strings.Contains(p, "first voters differ") {
		t.Errorf("problem %q", p)
	}
}

func TestBadConfigIsRefused(t *testing.T) {
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
