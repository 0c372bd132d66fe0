package consensus_test

import (
	"errors"
	"slices"
	"testing"

	"magnoliastand.example/consensus"
	"magnoliastand.example/consensus/bootstrap"
)

// safeguardSeeds is the number of schedules within which a disabled safeguard
// must lead to a violation.
const safeguardSeeds = 500

// TestSafeguardsInRandomSchedules disables one safeguard or caller duty at a time
// and expects the checker or an invariant of the package to report a violation.
// This shows that the schedules exercise each safeguard. With all safeguards, no
// schedule may cause a violation.
func TestSafeguardsInRandomSchedules(t *testing.T) {
	restoreSink(t)
	for name, tc := range map[string]struct {
		disabled consensus.DisabledSafeguards
		caller   callerFaults
	}{
		"one vote per term":                {disabled: consensus.WithoutSingleVote},
		"votes for newer logs only":        {disabled: consensus.WithoutLogUpToDate},
		"reads wait for a heartbeat round": {disabled: consensus.WithoutReadConfirmation},
		"sync before response":             {caller: callerFaults{sendBeforeSync: true}},
		"new node ID for a new disk":       {caller: callerFaults{reuseID: true}},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(safeguardSeeds) {
				if violation := runRandomSchedule(seed, tc.disabled, tc.caller); violation != "" {
					t.Logf("seed %d: %s", seed, violation)
					return
				}
			}
			t.Errorf("no violation in %d schedules without the safeguard", safeguardSeeds)
		})
	}
	for seed := range uint64(200) {
		if violation := runRandomSchedule(seed, consensus.DisabledSafeguards{}, callerFaults{}); violation != "" {
			t.Fatalf("violation with all safeguards, seed %d: %s", seed, violation)
		}
	}
}

// TestSafeguardsInScriptedScenarios runs scenarios that random schedules rarely
// reach. Each must fail without its safeguard, and only then.
func TestSafeguardsInScriptedScenarios(t *testing.T) {
	restoreSink(t)
	for name, tc := range map[string]struct {
		disabled consensus.DisabledSafeguards
		fails    func(consensus.DisabledSafeguards) bool
	}{
		"one membership change at a time": {consensus.WithoutSingleChange, concurrentChangesSplitMajority},
		"pre-vote":                        {consensus.WithoutPreVote, isolatedFollowerUnseatsLeader},
		"leader lease":                    {consensus.WithoutLeaderLease, partialPartitionUnseatsLeader},
		"quorum check":                    {consensus.WithoutCheckQuorum, isolatedLeaderStaysLeader},
		"promotion only after catch-up":   {consensus.WithoutLearnerCatchUp, promotedEmptyLearnerBlocksCommit},
		"commit only in own term":         {consensus.WithoutOwnTermCommit, committedOldTermEntryOverwritten},
		"membership change only after commit in own term": {consensus.WithoutOwnTermChange, earlyMembershipChangeOverwritten},
		"voters being removed may campaign":               {consensus.WithoutRemovedVoterCampaign, removedVoterBlocksElection},
	} {
		if tc.fails(consensus.DisabledSafeguards{}) {
			t.Errorf("%s: scenario fails with the safeguard", name)
		}
		if !tc.fails(tc.disabled) {
			t.Errorf("%s: scenario does not fail without the safeguard", name)
		}
	}
}

// newSimWithLeader returns a cluster of three and its leader, which is the first
// node.
func newSimWithLeader(seed uint64, disabled consensus.DisabledSafeguards) (*sim, *simNode) {
	s := newSim(seed, 3, disabled, callerFaults{})
	s.runInOrder(100, s.nodes, nil)
	leader := s.leader()
	i := slices.Index(s.nodes, leader)
	s.nodes[0], s.nodes[i] = leader, s.nodes[0]
	return s, leader
}

// concurrentChangesSplitMajority has an isolated leader remove both other voters
// at the same time and commit alone, while they elect another leader.
func concurrentChangesSplitMajority(disabled consensus.DisabledSafeguards) bool {
	s, old := newSimWithLeader(1, disabled)
	s.isolated[old.id] = true
	for _, n := range s.nodes[1:] {
		_, _, err := old.core.ProposeMembership(consensus.Change{Kind: consensus.Remove, Member: consensus.Member{ID: n.id}})
		if n == s.nodes[2] && disabled == (consensus.DisabledSafeguards{}) && !errors.Is(err, consensus.ErrMembershipPending) {
			return true
		}
	}
	s.process(old)
	s.runInOrder(100, s.nodes, nil)
	return len(s.check.violations) > 0
}

// isolatedFollowerUnseatsLeader reconnects a follower after a long isolation and
// reports whether the term changes.
func isolatedFollowerUnseatsLeader(disabled consensus.DisabledSafeguards) bool {
	s, leader := newSimWithLeader(2, disabled)
	term := leader.core.Status().Term
	s.isolated[s.nodes[1].id] = true
	s.runInOrder(500, s.nodes, nil)
	s.heal()
	s.runInOrder(200, s.nodes, nil)
	return s.leader().core.Status().Term != term
}

// partialPartitionUnseatsLeader cuts only the link between one follower and the
// leader, and reports whether the term changes.
func partialPartitionUnseatsLeader(disabled consensus.DisabledSafeguards) bool {
	s, leader := newSimWithLeader(6, disabled)
	term := leader.core.Status().Term
	follower := s.nodes[1].id
	s.blocked = map[[2]consensus.NodeID]bool{{min(leader.id, follower), max(leader.id, follower)}: true}
	s.runInOrder(200, s.nodes, nil)
	return s.leader().core.Status().Term != term
}

// isolatedLeaderStaysLeader isolates a leader for a long time and reports whether
// it still considers itself leader.
func isolatedLeaderStaysLeader(disabled consensus.DisabledSafeguards) bool {
	s, leader := newSimWithLeader(3, disabled)
	s.isolated[leader.id] = true
	s.runInOrder(100, s.nodes, nil)
	return leader.core.Leads()
}

// promotedEmptyLearnerBlocksCommit promotes a learner that does not exist and then
// stops one of the three voters, and reports whether commits are blocked.
func promotedEmptyLearnerBlocksCommit(disabled consensus.DisabledSafeguards) bool {
	s, leader := newSimWithLeader(4, disabled)
	for _, kind := range []consensus.ChangeKind{consensus.AddLearner, consensus.Promote} {
		_, _, err := leader.core.ProposeMembership(consensus.Change{Kind: kind, Member: consensus.Member{ID: 9}})
		if kind == consensus.Promote && disabled == (consensus.DisabledSafeguards{}) && !errors.Is(err, consensus.ErrNotCaughtUp) {
			return true
		}
		s.process(leader)
		s.runInOrder(100, s.nodes, nil)
	}
	s.nodes[1].core = nil
	before := s.check.maxCommitted
	s.propose()
	s.runInOrder(100, s.nodes, nil)
	return s.check.maxCommitted == before
}

// committedOldTermEntryOverwritten has node 1 as leader of term 4 replicate entry
// 2, which is of term 2, to three of five nodes. Then node 1 stops and node 5,
// whose entry 2 is of term 3, is elected.
func committedOldTermEntryOverwritten(disabled consensus.DisabledSafeguards) bool {
	s := newSim(5, 5, disabled, callerFaults{})
	for i, term := range []uint64{2, 2, 0, 0, 3} {
		if term > 0 {
			e := consensus.Entry{Index: 2, Term: term, Kind: consensus.EntryData, Data: make([]byte, 90)}
			hs := consensus.HardState{Term: 3}
			_ = s.nodes[i].store.Save(consensus.Update{HardState: &hs, Entries: []consensus.Entry{e}})
			s.start(s.nodes[i])
		}
	}
	// The restarted nodes abstain until then.
	s.runInOrder(consensus.DefaultElectionTicks, s.nodes, func(consensus.Message) bool { return true })
	s.runInOrder(40, s.nodes[:1], func(m consensus.Message) bool {
		return m.To > 3 || m.To == 3 && m.Type == consensus.MsgAppend && m.Index == 2
	})
	s.nodes[0].core = nil
	s.runInOrder(40, s.nodes[2:], func(m consensus.Message) bool { return m.To < 3 })
	return len(s.check.violations) > 0
}

// earlyMembershipChangeOverwritten has node 1 promote node 5 with the change stored
// only on these two nodes. Node 2 wins the next term and removes node 1 with the
// change stored only on nodes 2 and 3. Then nodes 1, 4 and 5 form a majority of
// the first membership.
func earlyMembershipChangeOverwritten(disabled consensus.DisabledSafeguards) bool {
	s := newSim(7, 4, disabled, callerFaults{})
	s.addNode(5, bootstrap.Binding{Phase: bootstrap.Joined, Cluster: simCluster})
	only := func(ids ...consensus.NodeID) func(consensus.Message) bool {
		return func(m consensus.Message) bool { return !slices.Contains(ids, m.To) || !slices.Contains(ids, m.From) }
	}
	s.runInOrder(30, s.nodes[:1], nil)
	for _, kind := range []consensus.ChangeKind{consensus.AddLearner, consensus.Promote} {
		_, _, _ = s.nodes[0].core.ProposeMembership(consensus.Change{Kind: kind, Member: consensus.Member{ID: 5}})
		s.process(s.nodes[0])
		if kind == consensus.AddLearner {
			s.runInOrder(10, s.nodes[:1], nil)
		}
	}
	s.runInOrder(2, s.nodes[:1], only(1, 5))
	s.runInOrder(30, s.nodes[1:4], func(m consensus.Message) bool {
		return only(2, 3, 4)(m) || m.Type == consensus.MsgPreVote && m.From != 2 || m.Type == consensus.MsgAppend && m.To == 4
	})
	_, _, _ = s.nodes[1].core.ProposeMembership(consensus.Change{Kind: consensus.Remove, Member: consensus.Member{ID: 1}})
	s.process(s.nodes[1])
	s.runInOrder(2, s.nodes[1:2], only(2, 3))
	s.runInOrder(30, []*simNode{s.nodes[0], s.nodes[3], s.nodes[4]}, only(1, 4, 5))
	return len(s.check.violations) > 0
}

// removedVoterBlocksElection has an isolated leader propose its own removal, and
// stops another of the four voters. Only the leader, whose removal is uncommitted,
// can then win an election. Reports whether no leader is elected.
func removedVoterBlocksElection(disabled consensus.DisabledSafeguards) bool {
	s := newSim(8, 4, disabled, callerFaults{})
	s.runInOrder(100, s.nodes, nil)
	old := s.leader()
	s.isolated[old.id] = true
	_, _, _ = old.core.ProposeMembership(consensus.Change{Kind: consensus.Remove, Member: consensus.Member{ID: old.id}})
	s.process(old)
	s.nodes[slices.Index(s.nodes, old)^1].core = nil
	s.runInOrder(50, []*simNode{old}, nil)
	s.heal()
	s.runInOrder(200, s.nodes, nil)
	return s.leader() == nil
}

// TestLostMessagesAreResent drops all messages of one type in two of three ticks,
// and expects a lagging follower to catch up without a change of the leader.
func TestLostMessagesAreResent(t *testing.T) {
	restoreSink(t)
	for _, typ := range []consensus.MessageType{
		consensus.MsgAppend, consensus.MsgAppendResp, consensus.MsgSnapshot, consensus.MsgSnapshotResp,
	} {
		s, leader := newSimWithLeader(9, consensus.DisabledSafeguards{})
		term := leader.core.Status().Term
		lagging := s.nodes[1]
		s.isolated[lagging.id] = true
		for range 8 {
			_, _, _ = leader.core.Propose(make([]byte, 50))
			s.process(leader)
			s.runInOrder(2, s.nodes, nil)
		}
		if err := leader.core.Compact(leader.core.Status().Applied, leader.state); err != nil {
			t.Fatal(err)
		}
		s.heal()
		for range 10 {
			s.runInOrder(2, s.nodes, func(m consensus.Message) bool { return m.Type == typ })
			s.runInOrder(1, s.nodes, nil)
		}
		s.runInOrder(20, s.nodes, nil)
		if st := lagging.core.Status(); st.Applied != leader.core.Status().Applied || st.Term != term || s.check.counts["installs"] == 0 {
			t.Errorf("message type %d dropped: follower applied %d of %d entries in term %d", typ, st.Applied, leader.core.Status().Applied, st.Term)
		}
	}
}
