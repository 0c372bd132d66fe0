package consensus_test

import (
	"errors"
	"slices"
	"testing"

	"magnoliastand.example/consensus"
	"magnoliastand.example/consensus/bootstrap"
)

// protectionSeeds bounds the schedules in which a fault must show.
const protectionSeeds = 500

// TestScheduleProtections takes one protection out at a time and expects the
// checker, or the program itself, to catch what it prevents.
func TestScheduleProtections(t *testing.T) {
	restoreSink(t)
	for name, tc := range map[string]struct {
		off    consensus.Off
		caller callerFaults
	}{
		"one vote a term":            {off: consensus.OffSingleVote},
		"votes for newer logs only":  {off: consensus.OffLogCheck},
		"reads wait for a round":     {off: consensus.OffReadRound},
		"sync before answer":         {caller: callerFaults{answerFirst: true}},
		"new identity with new disk": {caller: callerFaults{reuseID: true}},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(protectionSeeds) {
				if fault := random(seed, tc.off, tc.caller); fault != "" {
					t.Logf("seed %d: %s", seed, fault)
					return
				}
			}
			t.Errorf("no fault in %d schedules without the protection", protectionSeeds)
		})
	}
	for seed := range uint64(200) {
		if fault := random(seed, consensus.Off{}, callerFaults{}); fault != "" {
			t.Fatalf("with all protections, seed %d: %s", seed, fault)
		}
	}
}

// TestScriptedProtections plays scenes that random schedules rarely reach. The
// harm of each must show without the protection, and only then.
func TestScriptedProtections(t *testing.T) {
	restoreSink(t)
	for name, tc := range map[string]struct {
		off  consensus.Off
		harm func(consensus.Off) bool
	}{
		"one change at a time": {consensus.OffOneChange, twoMajorities},
		"pre-vote":             {consensus.OffPreVote, isolatedUnseats},
		"leader lease":         {consensus.OffLeaderLease, halfDeafUnseats},
		"quorum check":         {consensus.OffCheckQuorum, isolatedLeads},
		"catch-up of learners": {consensus.OffCaughtUp, emptyLearnerCounts},
		"commit of own term":   {consensus.OffTermCommit, oldTermOverwritten},
		"change in own term":   {consensus.OffTermChange, earlyChangeOverwritten},
		"leaving voters lead":  {consensus.OffLeaving, leavingBlocks},
	} {
		if tc.harm(consensus.Off{}) {
			t.Errorf("%s: harm with the protection", name)
		}
		if !tc.harm(tc.off) {
			t.Errorf("%s: no harm without the protection", name)
		}
	}
}

// calmThree returns a cluster of three with a leader, which is its first node.
func calmThree(seed uint64, off consensus.Off) (*sim, *simNode) {
	s := newSim(seed, 3, off, callerFaults{})
	s.calm(100, s.nodes, nil)
	lead := s.leader()
	i := slices.Index(s.nodes, lead)
	s.nodes[0], s.nodes[i] = lead, s.nodes[0]
	return s, lead
}

// twoMajorities lets a cut-off leader take the two others out of the membership
// at once and commit alone, while they elect another leader.
func twoMajorities(off consensus.Off) bool {
	s, old := calmThree(1, off)
	s.cut[old.id] = true
	for _, n := range s.nodes[1:] {
		_, _, err := old.core.ProposeMembership(consensus.Change{Kind: consensus.Remove, Member: consensus.Member{ID: n.id}})
		if n == s.nodes[2] && off == (consensus.Off{}) && !errors.Is(err, consensus.ErrMembershipPending) {
			return true
		}
	}
	s.turn(old)
	s.calm(100, s.nodes, nil)
	return len(s.check.faults) > 0
}

// isolatedUnseats lets a long isolated follower come back.
func isolatedUnseats(off consensus.Off) bool {
	s, lead := calmThree(2, off)
	term := lead.core.Status().Term
	s.cut[s.nodes[1].id] = true
	s.calm(500, s.nodes, nil)
	s.heal()
	s.calm(200, s.nodes, nil)
	return s.leader().core.Status().Term != term
}

// halfDeafUnseats lets one follower hear everyone but the leader.
func halfDeafUnseats(off consensus.Off) bool {
	s, lead := calmThree(6, off)
	term := lead.core.Status().Term
	deaf := s.nodes[1].id
	s.block = map[[2]consensus.NodeID]bool{{min(lead.id, deaf), max(lead.id, deaf)}: true}
	s.calm(200, s.nodes, nil)
	return s.leader().core.Status().Term != term
}

// isolatedLeads cuts a leader off for long.
func isolatedLeads(off consensus.Off) bool {
	s, lead := calmThree(3, off)
	s.cut[lead.id] = true
	s.calm(100, s.nodes, nil)
	return lead.core.Leads()
}

// emptyLearnerCounts promotes a learner that was never reached, and then loses
// one voter of three: nothing commits any more.
func emptyLearnerCounts(off consensus.Off) bool {
	s, lead := calmThree(4, off)
	for _, kind := range []consensus.ChangeKind{consensus.AddLearner, consensus.Promote} {
		_, _, err := lead.core.ProposeMembership(consensus.Change{Kind: kind, Member: consensus.Member{ID: 9}})
		if kind == consensus.Promote && off == (consensus.Off{}) && !errors.Is(err, consensus.ErrNotCaughtUp) {
			return true
		}
		s.turn(lead)
		s.calm(100, s.nodes, nil)
	}
	s.nodes[1].core = nil
	before := s.check.max
	s.propose()
	s.calm(100, s.nodes, nil)
	return s.check.max == before
}

// oldTermOverwritten lets node 1 lead term 4 and store entry 2, which is of
// term 2, on three of five nodes. Then node 1 is lost and node 5 is elected,
// whose entry 2 is of term 3.
func oldTermOverwritten(off consensus.Off) bool {
	s := newSim(5, 5, off, callerFaults{})
	for i, term := range []uint64{2, 2, 0, 0, 3} {
		if term > 0 {
			e := consensus.Entry{Index: 2, Term: term, Kind: consensus.EntryData, Data: make([]byte, 90)}
			hs := consensus.HardState{Term: 3}
			_ = s.nodes[i].store.Save(consensus.Update{HardState: &hs, Entries: []consensus.Entry{e}})
			s.start(s.nodes[i])
		}
	}
	s.calm(40, s.nodes[:1], func(m consensus.Message) bool {
		return m.To > 3 || m.To == 3 && m.Type == consensus.MsgAppend && m.Index == 2
	})
	s.nodes[0].core = nil
	s.calm(40, s.nodes[2:], func(m consensus.Message) bool { return m.To < 3 })
	return len(s.check.faults) > 0
}

// earlyChangeOverwritten lets node 1 promote node 5 on their two disks only, and
// node 2 win the next term and remove node 1 with the help of node 3 only. Then
// nodes 1, 4 and 5 are a majority of the first change.
func earlyChangeOverwritten(off consensus.Off) bool {
	s := newSim(7, 4, off, callerFaults{})
	s.boot(5, bootstrap.Binding{Phase: bootstrap.Joined, Cluster: simCluster})
	only := func(ids ...consensus.NodeID) func(consensus.Message) bool {
		return func(m consensus.Message) bool { return !slices.Contains(ids, m.To) || !slices.Contains(ids, m.From) }
	}
	s.calm(30, s.nodes[:1], nil)
	for _, kind := range []consensus.ChangeKind{consensus.AddLearner, consensus.Promote} {
		_, _, _ = s.nodes[0].core.ProposeMembership(consensus.Change{Kind: kind, Member: consensus.Member{ID: 5}})
		s.turn(s.nodes[0])
		if kind == consensus.AddLearner {
			s.calm(10, s.nodes[:1], nil)
		}
	}
	s.calm(2, s.nodes[:1], only(1, 5))
	s.calm(30, s.nodes[1:4], func(m consensus.Message) bool {
		return only(2, 3, 4)(m) || m.Type == consensus.MsgPreVote && m.From != 2 || m.Type == consensus.MsgAppend && m.To == 4
	})
	_, _, _ = s.nodes[1].core.ProposeMembership(consensus.Change{Kind: consensus.Remove, Member: consensus.Member{ID: 1}})
	s.turn(s.nodes[1])
	s.calm(2, s.nodes[1:2], only(2, 3))
	s.calm(30, []*simNode{s.nodes[0], s.nodes[3], s.nodes[4]}, only(1, 4, 5))
	return len(s.check.faults) > 0
}

// leavingBlocks lets a leader propose its own removal while it is cut off, and
// another voter of four be lost: only the leaving one can win.
func leavingBlocks(off consensus.Off) bool {
	s := newSim(8, 4, off, callerFaults{})
	s.calm(100, s.nodes, nil)
	old := s.leader()
	s.cut[old.id] = true
	_, _, _ = old.core.ProposeMembership(consensus.Change{Kind: consensus.Remove, Member: consensus.Member{ID: old.id}})
	s.turn(old)
	s.nodes[slices.Index(s.nodes, old)^1].core = nil
	s.calm(50, []*simNode{old}, nil)
	s.heal()
	s.calm(200, s.nodes, nil)
	return s.leader() == nil
}

// TestLostMessagesAreSentAgain loses all messages of one kind for some ticks, in
// a cluster that keeps its leader.
func TestLostMessagesAreSentAgain(t *testing.T) {
	restoreSink(t)
	for _, typ := range []consensus.MessageType{
		consensus.MsgAppend, consensus.MsgAppendResp, consensus.MsgSnapshot, consensus.MsgSnapshotResp,
	} {
		s, lead := calmThree(9, consensus.Off{})
		term := lead.core.Status().Term
		behind := s.nodes[1]
		s.cut[behind.id] = true
		for range 8 {
			_, _, _ = lead.core.Propose(make([]byte, 50))
			s.turn(lead)
			s.calm(2, s.nodes, nil)
		}
		if err := lead.core.Compact(lead.core.Status().Applied, lead.state); err != nil {
			t.Fatal(err)
		}
		s.heal()
		for range 10 {
			s.calm(2, s.nodes, func(m consensus.Message) bool { return m.Type == typ })
			s.calm(1, s.nodes, nil)
		}
		s.calm(20, s.nodes, nil)
		if st := behind.core.Status(); st.Applied != lead.core.Status().Applied || st.Term != term || s.check.seen["installs"] == 0 {
			t.Errorf("message type %d lost: applied %d of %d in term %d", typ, st.Applied, lead.core.Status().Applied, st.Term)
		}
	}
}
