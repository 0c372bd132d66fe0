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
	s.runInOrder(2*consensus.DefaultElectionTicks, s.nodes, nil)
	if st := old.core.Status(); st.Role != consensus.Leader || !st.QuorumKnown {
		t.Errorf("after a failed transfer: %s, lease %v", st.Role, st.QuorumKnown)
	}
}
