package consensus_test

import (
	"encoding/binary"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"magnoliastand.example/consensus"
	"magnoliastand.example/consensus/bootstrap"
	"magnoliastand.example/consensus/storage"
)

// TestMain fixes seed and number of the random schedules; flags override them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{
		"seed": "20261204", "checks": "1500", "steps": "40", "nofailfile": "true", "shrinktime": "5s",
	} {
		if err := flag.Set("rapid."+name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// actions are the moves of a schedule; some have two names, to come up more.
func (s *sim) actions() map[string]func() {
	return map[string]func(){
		"propose": s.propose, "propose again": s.propose, "read": s.read, "handover": s.handover,
		"change": s.change, "change again": s.change, "compact": s.compact,
		"crash": s.crash, "restart": s.restart, "restart again": s.restart, "lose disk": s.loseDisk,
		"partition": s.partition, "heal": s.heal, "freeze": s.freeze,
		"lossy": func() { s.lossy = !s.lossy },
		"run":   func() { s.run(60) }, "long quiet": func() { s.run(400) },
	}
}

func (s *sim) pick() *simNode { return s.nodes[s.rnd.IntN(len(s.nodes))] }

func (s *sim) propose() {
	if n := s.leader(); n != nil {
		s.serial++
		_, _, _ = n.core.Propose(binary.BigEndian.AppendUint64(nil, s.serial))
		s.turn(n)
	}
}

func (s *sim) handover() {
	if n := s.leader(); n != nil {
		_, _ = n.core.Handover()
		s.turn(n)
	}
}

func (s *sim) read() {
	if n := s.pick(); n.core != nil {
		s.serial++
		n.reads[s.serial] = s.check.max
		_ = n.core.ReadIndex(s.serial)
		s.turn(n)
	}
}

func (s *sim) compact() {
	n := s.pick()
	if n.core == nil {
		return
	}
	if st := n.core.Status(); st.Applied > st.Snapshot {
		if err := n.core.Compact(st.Applied, n.state); err != nil {
			s.check.fault("compact: %v", err)
		}
		s.turn(n)
	}
}

// crash plans a crash at one of the next syncs of a node, durable or not.
func (s *sim) crash() {
	s.pick().store.Plan(storage.Crash{AtSync: 1 + s.rnd.IntN(4), Durable: s.rnd.IntN(2) == 0})
}

// restart starts all nodes that are down and still have their disk.
func (s *sim) restart() {
	for _, n := range s.nodes {
		if n.core == nil && !s.lost[n.id] {
			s.check.seen["restarts"]++
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

// freeze stops a leader without its knowledge; messages to it wait.
func (s *sim) freeze() {
	if n := s.leader(); n != nil {
		s.frozen[n.id] = true
	}
}

// loseDisk empties the disk of a node, unless a lost voter still counts on some
// disk, or the loss would take the quorum. The successor is a new identity.
func (s *sim) loseDisk() {
	n := s.pick()
	vital := slices.ContainsFunc(s.nodes, func(o *simNode) bool { return o.counts(n.id, 1) && !o.counts(n.id, 3) })
	if s.lost[n.id] || vital || s.lostVoter() || len(s.nodes) > 9 {
		return
	}
	s.check.seen["lost disks"]++
	n.core = nil
	joined := bootstrap.Binding{Phase: bootstrap.Joined, Cluster: simCluster}
	if s.caller.reuseID {
		n.store = storage.NewMemory(n.id, storage.Crash{})
		_ = n.store.SaveBinding(joined)
		s.start(n)
		return
	}
	s.lost[n.id] = true
	s.nextID++
	s.boot(s.nextID, joined)
}

// lostVoter reports whether a lost disk counts as voter on some other disk.
func (s *sim) lostVoter() bool {
	return slices.ContainsFunc(s.nodes, func(n *simNode) bool {
		return !s.lost[n.id] && slices.ContainsFunc(s.nodes, func(o *simNode) bool { return s.lost[o.id] && n.counts(o.id, 1) })
	})
}

// counts reports whether a node takes id for one of at least so many voters, on
// disk.
func (n *simNode) counts(id consensus.NodeID, least int) bool {
	st, _ := n.store.Load()
	voters := slices.DeleteFunc(slices.Clone(consensus.MembersOf(st)), func(m consensus.Member) bool { return !m.Voter })
	return len(voters) >= least && slices.ContainsFunc(voters, func(m consensus.Member) bool { return m.ID == id })
}

// change proposes a membership change. A voter with a disk is not removed while
// a lost one still counts, because that would take the quorum for good.
func (s *sim) change() {
	n := s.leader()
	if n == nil {
		return
	}
	members := n.core.Status().Members
	m := members[s.rnd.IntN(len(members))]
	spare := s.pick().id
	ch := consensus.Change{Kind: consensus.AddLearner, Member: consensus.Member{ID: spare}}
	inside := slices.ContainsFunc(members, func(m consensus.Member) bool { return m.ID == spare })
	switch {
	case !inside && !s.lost[spare]:
	case !m.Voter:
		ch = consensus.Change{Kind: consensus.Promote, Member: m}
	case s.lost[m.ID] || !s.lostVoter() && n.counts(m.ID, 3+s.rnd.IntN(2)):
		ch = consensus.Change{Kind: consensus.Remove, Member: m}
	}
	_, _, _ = n.core.ProposeMembership(ch)
	s.turn(n)
}

// settle mends all faults and expects an entry to reach all members with a disk.
func (s *sim) settle() {
	s.lossy, s.crashes = false, false
	s.heal()
	goal := uint64(0)
	for i := range 200 {
		s.restart()
		s.run(200)
		n := s.leader()
		if len(s.check.faults) > 0 || n != nil && goal > 0 && s.reached(n, goal) {
			return
		}
		if n != nil && (goal == 0 || i%20 == 0) {
			goal, _, _ = n.core.Propose([]byte("goal"))
			s.turn(n)
		}
	}
	s.check.fault("no progress after all faults are mended: goal %d, committed %d", goal, s.check.max)
}

// reached reports whether all members of a leader have applied an entry.
func (s *sim) reached(leader *simNode, index uint64) bool {
	return !slices.ContainsFunc(leader.core.Status().Members, func(m consensus.Member) bool {
		n := s.byID(m.ID)
		return n != nil && (n.core == nil || n.core.Status().Applied < index)
	})
}

// TestRandomSchedules runs random schedules with all faults.
func TestRandomSchedules(t *testing.T) {
	restoreSink(t)
	seen := make(map[string]int)
	rapid.Check(t, func(t *rapid.T) {
		voters := rapid.SampledFrom([]int{1, 3, 3, 5}).Draw(t, "voters")
		s := newSim(rapid.Uint64().Draw(t, "seed"), voters, consensus.Off{}, callerFaults{})
		s.crashes = true
		actions := make(map[string]func(*rapid.T))
		for name, act := range s.actions() {
			actions[name] = func(*rapid.T) {
				act()
				s.run(s.rnd.IntN(40))
			}
		}
		actions[""] = func(t *rapid.T) {
			if len(s.check.faults) > 0 {
				t.Fatal(s.check.faults[0])
			}
		}
		t.Repeat(actions)
		s.settle()
		actions[""](t)
		for what, n := range s.check.seen {
			seen[what] += n
		}
		seen["schedules"]++
	})
	t.Log(seen)
}

// random runs one schedule without rapid and returns its first fault. A panic
// after a breach counts as that breach.
func random(seed uint64, off consensus.Off, caller callerFaults) (fault string) {
	s := newSim(seed, 3, off, caller)
	s.crashes = true
	defer func() {
		if r := recover(); r != nil {
			fault = fmt.Sprint(r)
		}
		if len(s.check.faults) > 0 {
			fault = s.check.faults[0]
		}
	}()
	actions := s.actions()
	names := make([]string, 0, len(actions))
	for name := range actions {
		names = append(names, name)
	}
	slices.Sort(names)
	for i := 0; i < 120 && len(s.check.faults) == 0; i++ {
		actions[names[s.rnd.IntN(len(names))]]()
		s.run(s.rnd.IntN(40))
	}
	return ""
}
