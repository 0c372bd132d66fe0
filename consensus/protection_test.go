package consensus_test

import (
	"errors"
	"slices"
	"testing"

	"magnoliastand.example/consensus"
)

// protectionSeeds bounds the schedules in which a fault must show.
const protectionSeeds = 3000

// TestEachProtectionMatters takes one protection out at a time and expects the
// checker, or the program itself, to catch what it prevents.
func TestEachProtectionMatters(t *testing.T) {
	restoreSink(t)
	cases := []struct {
		name   string
		off    consensus.Off
		caller callerFaults
	}{
		{"votes again", consensus.OffSingleVote, callerFaults{}},
		{"votes for older logs", consensus.OffLogCheck, callerFaults{}},
		{"reads without a round", consensus.OffReadRound, callerFaults{}},
		{"answers before sync", consensus.Off{}, callerFaults{answerFirst: true}},
		{"same identity after disk loss", consensus.Off{}, callerFaults{reuseID: true}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range uint64(protectionSeeds) {
				if fault := random(seed, tc.off, tc.caller); fault != "" {
					t.Logf("seed %d: %s", seed, fault)
					return
				}
			}
			t.Errorf("no fault in %d schedules without the protection", protectionSeeds)
		})
	}
}

// TestProtectedSchedules runs the same schedules with all protections on.
func TestProtectedSchedules(t *testing.T) {
	restoreSink(t)
	for seed := range uint64(200) {
		if fault := random(seed, consensus.Off{}, callerFaults{}); fault != "" {
			t.Fatalf("seed %d: %s", seed, fault)
		}
	}
}

// minority lets the leader of three lose the two others, take them out of the
// membership at once, and commit alone, while they elect another leader.
func minority(off consensus.Off) (*sim, error) {
	s := newSim(1, 3, off, callerFaults{})
	s.calm(100)
	old := s.leader()
	s.cut[old.id] = true
	var last error
	for _, n := range s.nodes {
		if n != old {
			_, _, err := old.core.ProposeMembership(consensus.Change{Kind: consensus.Remove, Member: consensus.Member{ID: n.id}})
			if err != nil {
				last = err
			}
		}
	}
	s.turn(old)
	s.calm(100)
	s.propose()
	s.calm(100)
	return s, last
}

func TestOneChangeAtATimeMatters(t *testing.T) {
	restoreSink(t)
	s, err := minority(consensus.Off{})
	if !errors.Is(err, consensus.ErrMembershipPending) || len(s.check.faults) > 0 {
		t.Errorf("error %v, faults %v", err, s.check.faults)
	}
	if s, _ = minority(consensus.OffOneChange); len(s.check.faults) == 0 {
		t.Error("two majorities were not caught")
	}
}

// returnOfTheIsolated isolates a follower for long and returns the terms of the
// leader before and after it comes back.
func returnOfTheIsolated(off consensus.Off) (before, after uint64) {
	s := newSim(2, 3, off, callerFaults{})
	s.calm(100)
	lead := s.leader()
	for _, n := range s.nodes {
		if n != lead {
			s.cut[n.id] = true
			break
		}
	}
	s.calm(500)
	before = s.leader().core.Status().Term
	s.heal()
	s.calm(200)
	return before, s.leader().core.Status().Term
}

func TestPreVoteMatters(t *testing.T) {
	restoreSink(t)
	if before, after := returnOfTheIsolated(consensus.Off{}); before != after {
		t.Errorf("term %d became %d with pre-vote", before, after)
	}
	if before, after := returnOfTheIsolated(consensus.OffPreVote); before == after {
		t.Errorf("term %d stayed without pre-vote", before)
	}
}

// halfDeaf lets one follower hear everyone but the leader, and returns the terms
// before and after.
func halfDeaf(off consensus.Off) (before, after uint64) {
	s := newSim(6, 3, off, callerFaults{})
	s.calm(100)
	lead := s.leader()
	before = lead.core.Status().Term
	deaf := s.nodes[0]
	if deaf == lead {
		deaf = s.nodes[1]
	}
	s.block = map[[2]consensus.NodeID]bool{{min(lead.id, deaf.id), max(lead.id, deaf.id)}: true}
	s.calm(200)
	return before, s.leader().core.Status().Term
}

func TestLeaderLeaseMatters(t *testing.T) {
	restoreSink(t)
	if before, after := halfDeaf(consensus.Off{}); before != after {
		t.Errorf("term %d became %d with the lease", before, after)
	}
	if before, after := halfDeaf(consensus.OffLeaderLease); before == after {
		t.Errorf("term %d stayed without the lease", before)
	}
}

// isolatedLeads reports whether a leader without quorum still leads after long.
func isolatedLeads(off consensus.Off) bool {
	s := newSim(3, 3, off, callerFaults{})
	s.calm(100)
	old := s.leader()
	s.cut[old.id] = true
	s.calm(100)
	return old.core.Leads()
}

func TestCheckQuorumMatters(t *testing.T) {
	restoreSink(t)
	if isolatedLeads(consensus.Off{}) {
		t.Error("an isolated leader still leads")
	}
	if !isolatedLeads(consensus.OffCheckQuorum) {
		t.Error("an isolated leader steps down without quorum check")
	}
}

// promoteEmpty promotes a learner that was never reached, then loses one voter
// of three, and reports whether a proposal still commits.
func promoteEmpty(off consensus.Off) (commits bool, err error) {
	s := newSim(4, 3, off, callerFaults{})
	s.calm(100)
	lead := s.leader()
	_, _, _ = lead.core.ProposeMembership(consensus.Change{Kind: consensus.AddLearner, Member: consensus.Member{ID: 9}})
	s.turn(lead)
	s.calm(100)
	_, _, err = lead.core.ProposeMembership(consensus.Change{Kind: consensus.Promote, Member: consensus.Member{ID: 9}})
	s.turn(lead)
	s.calm(100)
	for _, n := range s.nodes {
		if n != lead {
			n.core = nil
			break
		}
	}
	before := s.check.max
	s.propose()
	s.calm(100)
	return s.check.max > before, err
}

func TestCatchUpMatters(t *testing.T) {
	restoreSink(t)
	if ok, err := promoteEmpty(consensus.Off{}); !ok || !errors.Is(err, consensus.ErrNotCaughtUp) {
		t.Errorf("commits %v, error %v", ok, err)
	}
	if ok, _ := promoteEmpty(consensus.OffCaughtUp); ok {
		t.Error("the loss of a voter is survived although an empty learner was promoted")
	}
}

// oldTerm lets node 1 lead term 4 and store entry 2, which is of term 2, on
// three of five nodes, then lose node 1 and elect node 5, whose entry 2 is of
// term 3.
func oldTerm(off consensus.Off) *sim {
	s := newSim(5, 5, off, callerFaults{})
	for i, term := range []uint64{2, 2, 0, 0, 3} {
		if term > 0 {
			e := consensus.Entry{Index: 2, Term: term, Kind: consensus.EntryData, Data: make([]byte, 90)}
			hs := consensus.HardState{Term: 3}
			_ = s.nodes[i].store.Save(consensus.Update{HardState: &hs, Entries: []consensus.Entry{e}})
			s.start(s.nodes[i])
		}
	}
	s.drive(s.nodes[:1], s.nodes[:3], func(m consensus.Message) bool {
		return m.To == 3 && m.Type == consensus.MsgAppend && m.Index == 2
	})
	s.nodes[0].core = nil
	s.net = nil
	s.drive(s.nodes[2:], s.nodes[2:], func(consensus.Message) bool { return false })
	return s
}

// drive lets some nodes tick and a group talk in order, but for dropped
// messages.
func (s *sim) drive(ticking, group []*simNode, drop func(consensus.Message) bool) {
	for range 40 {
		for _, n := range ticking {
			s.tick(n)
		}
		for len(s.net) > 0 {
			m := s.net[0]
			s.net = s.net[1:]
			if slices.Contains(group, s.byID(m.To)) && !drop(m) {
				_ = s.byID(m.To).core.Step(m)
				s.turn(s.byID(m.To))
			}
		}
	}
}

func TestCommitOfOwnTermMatters(t *testing.T) {
	restoreSink(t)
	s := oldTerm(consensus.Off{})
	if n := s.leader(); len(s.check.faults) > 0 || n == nil || n.id != 5 {
		t.Errorf("leader %+v, faults %v; want node 5 without faults", n, s.check.faults)
	}
	if s = oldTerm(consensus.OffTermCommit); len(s.check.faults) == 0 {
		t.Error("the loss of a committed entry was not caught")
	}
}
