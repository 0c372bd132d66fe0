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

// TestMain sets defaults for the rapid flags, so that the random schedules are
// reproducible. Command-line flags override them.
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

// actions returns the actions of a schedule by name. Some have two names, so that
// they are chosen more often. A seed stands for the same schedule only as long as
// the sort order of the names does not change.
func (s *sim) actions() map[string]func() {
	return map[string]func(){
		"propose": s.propose, "propose again": s.propose, "read": s.read, "handover": s.transferLeadership,
		"change": s.change, "change again": s.change, "compact": s.compact,
		"crash": s.crash, "restart": s.restart, "restart again": s.restart, "lose disk": s.loseDisk,
		"partition": s.partition, "heal": s.heal, "freeze leader": s.pauseLeader,
		"lossy": func() { s.lossy = !s.lossy },
		"run":   func() { s.run(60) }, "long run": func() { s.run(400) },
	}
}

func (s *sim) randomNode() *simNode { return s.nodes[s.rnd.IntN(len(s.nodes))] }

func (s *sim) propose() {
	if n := s.leader(); n != nil {
		s.serial++
		_, _, _ = n.core.Propose(binary.BigEndian.AppendUint64(nil, s.serial))
		s.process(n)
	}
}

func (s *sim) transferLeadership() {
	if n := s.leader(); n != nil {
		_, _ = n.core.Handover()
		s.process(n)
	}
}

func (s *sim) read() {
	if n := s.randomNode(); n.core != nil {
		s.serial++
		n.reads[s.serial] = s.check.maxCommitted
		_ = n.core.ReadIndex(s.serial)
		s.process(n)
	}
}

func (s *sim) compact() {
	n := s.randomNode()
	if n.core == nil {
		return
	}
	if st := n.core.Status(); st.Applied > st.Snapshot {
		if err := n.core.Compact(st.Applied, n.state); err != nil {
			s.check.report("compact: %v", err)
		}
		s.process(n)
	}
}

// crash plans a crash of a node at one of its next syncs, before or after the data
// is durable.
func (s *sim) crash() {
	s.randomNode().store.Plan(storage.Crash{AtSync: 1 + s.rnd.IntN(4), Durable: s.rnd.IntN(2) == 0})
}

// restart starts all stopped nodes that still have their disk.
func (s *sim) restart() {
	for _, n := range s.nodes {
		if n.core == nil && !s.diskLost[n.id] {
			s.check.counts["restarts"]++
			s.start(n)
		}
	}
}

// partition splits the nodes randomly into two sides. Either side may hold the
// quorum.
func (s *sim) partition() {
	for _, n := range s.nodes {
		s.isolated[n.id] = s.rnd.IntN(3) == 0
	}
}

func (s *sim) heal() {
	clear(s.isolated)
	clear(s.paused)
}

// pauseLeader suspends a leader. Messages to it remain pending.
func (s *sim) pauseLeader() {
	if n := s.leader(); n != nil {
		s.paused[n.id] = true
	}
}

// loseDisk erases the disk of a node, unless a voter with a lost disk is still part
// of a stored membership, or the loss would make the quorum unavailable. A
// replacement node with a new ID is added.
func (s *sim) loseDisk() {
	n := s.randomNode()
	wouldLoseQuorum := slices.ContainsFunc(s.nodes, func(o *simNode) bool { return o.hasVoter(n.id, 1) && !o.hasVoter(n.id, 3) })
	if s.diskLost[n.id] || wouldLoseQuorum || s.hasLostVoter() || len(s.nodes) > 9 {
		return
	}
	s.check.counts["lost disks"]++
	n.core = nil
	joined := bootstrap.Binding{Phase: bootstrap.Joined, Cluster: simCluster}
	if s.caller.reuseID {
		n.store = storage.NewMemory(n.id, storage.Crash{})
		_ = n.store.SaveBinding(joined)
		s.start(n)
		return
	}
	s.diskLost[n.id] = true
	s.nextID++
	s.addNode(s.nextID, joined)
}

// hasLostVoter reports whether a node with a lost disk is a voter in the
// membership stored by another node.
func (s *sim) hasLostVoter() bool {
	return slices.ContainsFunc(s.nodes, func(n *simNode) bool {
		return !s.diskLost[n.id] && slices.ContainsFunc(s.nodes, func(o *simNode) bool { return s.diskLost[o.id] && n.hasVoter(o.id, 1) })
	})
}

// hasVoter reports whether the membership stored by a node has id as a voter and
// at least minVoters voters.
func (n *simNode) hasVoter(id consensus.NodeID, minVoters int) bool {
	st, _ := n.store.Load()
	voters := slices.DeleteFunc(slices.Clone(consensus.MembersOf(st)), func(m consensus.Member) bool { return !m.Voter })
	return len(voters) >= minVoters && slices.ContainsFunc(voters, func(m consensus.Member) bool { return m.ID == id })
}

// change proposes a membership change. No voter with an intact disk is removed
// while a voter with a lost disk is still a member, because that would make the
// quorum permanently unavailable.
func (s *sim) change() {
	n := s.leader()
	if n == nil {
		return
	}
	members := n.core.Status().Members
	m := members[s.rnd.IntN(len(members))]
	candidate := s.randomNode().id
	ch := consensus.Change{Kind: consensus.AddLearner, Member: consensus.Member{ID: candidate}}
	isMember := slices.ContainsFunc(members, func(m consensus.Member) bool { return m.ID == candidate })
	switch {
	case !isMember && !s.diskLost[candidate]:
	case !m.Voter:
		ch = consensus.Change{Kind: consensus.Promote, Member: m}
	case s.diskLost[m.ID] || !s.hasLostVoter() && n.hasVoter(m.ID, 3+s.rnd.IntN(2)):
		ch = consensus.Change{Kind: consensus.Remove, Member: m}
	}
	_, _, _ = n.core.ProposeMembership(ch)
	s.process(n)
}

// expectRecovery ends all faults and expects a new entry to be applied by all
// members that have a disk.
func (s *sim) expectRecovery() {
	s.lossy, s.crashes = false, false
	s.heal()
	target := uint64(0)
	for i := range 200 {
		s.restart()
		s.run(200)
		n := s.leader()
		if len(s.check.violations) > 0 || n != nil && target > 0 && s.allApplied(n, target) {
			return
		}
		if n != nil && (target == 0 || i%20 == 0) {
			target, _, _ = n.core.Propose([]byte("goal"))
			s.process(n)
		}
	}
	s.check.report("no progress after all faults have ended: target index %d, committed %d", target, s.check.maxCommitted)
}

// allApplied reports whether all members known to a leader have applied the entry
// at index.
func (s *sim) allApplied(leader *simNode, index uint64) bool {
	return !slices.ContainsFunc(leader.core.Status().Members, func(m consensus.Member) bool {
		n := s.byID(m.ID)
		return n != nil && (n.core == nil || n.core.Status().Applied < index)
	})
}

// TestRandomSchedules verifies safety in random schedules with crashes, lost
// disks, partitions, pauses and message loss, and progress once these faults end.
func TestRandomSchedules(t *testing.T) {
	restoreSink(t)
	seen := make(map[string]int)
	rapid.Check(t, func(t *rapid.T) {
		voters := rapid.SampledFrom([]int{1, 3, 3, 5}).Draw(t, "voters")
		s := newSim(rapid.Uint64().Draw(t, "seed"), voters, consensus.DisabledSafeguards{}, callerFaults{})
		s.crashes = true
		actions := make(map[string]func(*rapid.T))
		for name, act := range s.actions() {
			actions[name] = func(*rapid.T) {
				act()
				s.run(s.rnd.IntN(40))
			}
		}
		actions[""] = func(t *rapid.T) {
			if len(s.check.violations) > 0 {
				t.Fatal(s.check.violations[0])
			}
		}
		t.Repeat(actions)
		s.expectRecovery()
		actions[""](t)
		for what, n := range s.check.counts {
			seen[what] += n
		}
		seen["schedules"]++
	})
	t.Log(seen)
}

// runRandomSchedule runs a schedule without rapid and returns its first violation.
// A panic counts as a violation, unless one was reported before it.
func runRandomSchedule(seed uint64, disabled consensus.DisabledSafeguards, caller callerFaults) (violation string) {
	s := newSim(seed, 3, disabled, caller)
	s.crashes = true
	defer func() {
		if r := recover(); r != nil {
			violation = fmt.Sprint(r)
		}
		if len(s.check.violations) > 0 {
			violation = s.check.violations[0]
		}
	}()
	actions := s.actions()
	names := make([]string, 0, len(actions))
	for name := range actions {
		names = append(names, name)
	}
	slices.Sort(names)
	for i := 0; i < 120 && len(s.check.violations) == 0; i++ {
		actions[names[s.rnd.IntN(len(names))]]()
		s.run(s.rnd.IntN(40))
	}
	return ""
}
