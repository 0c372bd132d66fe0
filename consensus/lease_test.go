package consensus_test

import (
	"math/rand/v2"
	"testing"

	"magnoliastand.example/consensus"
)

// restartedVoter returns voter 1 of three, started from a disk that holds term 4.
func restartedVoter(t *testing.T) *consensus.Core {
	t.Helper()
	members := []consensus.Member{{ID: 1, Voter: true}, {ID: 2, Voter: true}, {ID: 3, Voter: true}}
	st := consensus.InitialState(members)
	st.HardState.Term = 4
	c, err := consensus.New(consensus.DefaultConfig(1, simCluster, rand.NewPCG(1, 1)), st)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// grants reports whether a voter grants a pre-vote or vote for term 5.
func grants(t *testing.T, c *consensus.Core, m consensus.Message) bool {
	t.Helper()
	m.Cluster, m.From, m.To, m.Term, m.Index, m.LogTerm = simCluster, 2, 1, 5, 1, 1
	if err := c.Step(m); err != nil {
		t.Fatal(err)
	}
	rd := c.Ready()
	if rd.Empty() {
		return false
	}
	c.Advance()
	return len(rd.Messages) > 0 && !rd.Messages[0].Reject
}

// TestRestartedVoterAbstainsWhileLeaseMayHold restarts a voter that may have
// acknowledged the leader of term 4 just before. Its vote could elect another
// leader while the lease of the first one still holds.
func TestRestartedVoterAbstainsWhileLeaseMayHold(t *testing.T) {
	for _, kind := range []consensus.MessageType{consensus.MsgPreVote, consensus.MsgVote} {
		c := restartedVoter(t)
		for range consensus.DefaultElectionTicks - 1 {
			c.Tick()
			if grants(t, c, consensus.Message{Type: kind}) {
				t.Fatalf("message type %d: vote granted within the election timeout after a restart", kind)
			}
		}
		c.Tick()
		if !grants(t, c, consensus.Message{Type: kind}) {
			t.Errorf("message type %d: no vote after the election timeout", kind)
		}
	}
	if !grants(t, restartedVoter(t), consensus.Message{Type: consensus.MsgVote, LeadershipTransfer: true}) {
		t.Error("no vote in a leadership transfer, which the leader has asked for")
	}
}

// TestLeaderHasNoLeaseDuringTransfer cuts off a leader that has just asked another
// node to take over. Its successor is elected without waiting for the lease to
// end, so the old leader must not rely on it.
func TestLeaderHasNoLeaseDuringTransfer(t *testing.T) {
	s, old := newSimWithLeader(3, consensus.DisabledSafeguards{})
	if !old.core.Status().QuorumKnown {
		t.Fatal("the leader has no lease")
	}
	if _, err := old.core.Handover(); err != nil {
		t.Fatal(err)
	}
	if old.core.Status().QuorumKnown {
		t.Error("the leader has a lease although it has asked another node to take over")
	}
	drop := func(m consensus.Message) bool { return m.Type == consensus.MsgTimeoutNow }
	s.runInOrder(1, s.nodes, drop)
	term := old.core.Term()
	s.runInOrder(10*consensus.DefaultElectionTicks, s.nodes, func(consensus.Message) bool {
		if st := old.core.Status(); st.QuorumKnown && st.Term == term {
			t.Fatal("the leader has a lease again in the term of its request")
		}
		return false
	})
	next := s.leader()
	if next == nil {
		t.Fatal("no leader after a failed transfer")
	}
	if st := next.core.Status(); st.Term <= term || !st.QuorumKnown {
		t.Errorf("after a failed transfer in term %d: leader of term %d, lease %v", term, st.Term, st.QuorumKnown)
	}
}

// TestLateTakeoverRequestElectsNobodyBesideLease guards against a request to take over that is
// held up, by a link or a suspended successor, until the leader that sent it has its lease
// again. Voters don't wait for the lease in a transfer, so two leaders would act at once.
func TestLateTakeoverRequestElectsNobodyBesideLease(t *testing.T) {
	s, old := newSimWithLeader(4, consensus.DisabledSafeguards{})
	target, err := old.core.Handover()
	if err != nil {
		t.Fatal(err)
	}
	var late []consensus.Message
	holdUp := func(m consensus.Message) bool {
		if m.Type != consensus.MsgTimeoutNow {
			return false
		}
		late = append(late, m)
		return true
	}
	for ticks := 0; len(late) == 0 || !old.core.Status().QuorumKnown; ticks++ {
		if ticks > 20*consensus.DefaultElectionTicks {
			t.Fatal("the cluster has no leader with a lease again")
		}
		s.runInOrder(1, s.nodes, holdUp)
		if lead := s.leader(); lead != nil && lead != old && lead.core.Status().QuorumKnown {
			return // the leader has given up its term, in which the request was made
		}
	}
	for _, m := range late {
		s.step(m)
	}
	s.isolated[old.id] = true
	s.runInOrder(1, s.nodes[1:], nil)
	for _, n := range s.nodes[1:] {
		if n.core.Leads() && old.core.Status().QuorumKnown {
			t.Errorf("node %d leads term %d beside the lease of node %d in term %d",
				target, n.core.Term(), old.id, old.core.Term())
		}
	}
}
