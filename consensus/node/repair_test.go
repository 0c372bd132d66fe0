package node

import (
	"context"
	"testing"
	"time"

	"magnoliastand.example/consensus"
	"magnoliastand.example/consensus/storage"
)

// peerStatus returns the status of a member as input for PlanRepair.
func peerStatus(id consensus.NodeID, zone string, voter, caughtUp bool, silent uint64) consensus.PeerStatus {
	return consensus.PeerStatus{
		Member:   consensus.Member{ID: id, Zone: zone, Voter: voter},
		CaughtUp: caughtUp, SilentTicks: silent,
	}
}

func TestPlanRepair(t *testing.T) {
	const voter, learner, ready, behind = true, false, true, false
	healthy := []consensus.PeerStatus{
		peerStatus(1, "f", voter, ready, 0), peerStatus(2, "k", voter, ready, 1), peerStatus(3, "o", voter, ready, 1),
	}
	with := func(more ...consensus.PeerStatus) []consensus.PeerStatus {
		return append(append([]consensus.PeerStatus(nil), healthy[:2]...), more...)
	}
	silentVoter := peerStatus(3, "o", voter, behind, 500)
	spare := peerStatus(4, "f", learner, ready, 1)
	cases := []struct {
		name  string
		peers []consensus.PeerStatus
		kind  consensus.ChangeKind
		id    consensus.NodeID
	}{
		{"healthy", append(healthy, spare), 0, 0},
		{"silent without spare", with(silentVoter), 0, 0},
		{"silent with a lagging spare", with(silentVoter, peerStatus(4, "f", learner, behind, 1)), 0, 0},
		{"silent with a spare", with(silentVoter, spare), consensus.Promote, 4},
		{"spare in the same zone", with(silentVoter, spare, peerStatus(5, "o", learner, ready, 1)), consensus.Promote, 5},
		{"spare promoted", with(silentVoter, peerStatus(4, "f", voter, ready, 1)), consensus.Remove, 3},
		{"too few voters", with(spare), consensus.Promote, 4},
		{"short silence", with(peerStatus(3, "o", voter, behind, 50), spare), 0, 0},
		{"silent learner", append(healthy, peerStatus(4, "f", learner, behind, 900)), consensus.Remove, 4},
	}
	policy := RepairPolicy{Voters: 3, SilentTicks: 100, LearnerSilentTicks: 800}
	for _, tc := range cases {
		s := consensus.Status{Role: consensus.Leader, QuorumKnown: true, Peers: tc.peers}
		ch, ok := PlanRepair(s, policy)
		if ok != (tc.kind != 0) || ch.Kind != tc.kind || ch.Member.ID != tc.id {
			t.Errorf("%s: %v %s of %d, want %s of %d", tc.name, ok, ch.Kind, ch.Member.ID, tc.kind, tc.id)
		}
		s.MembersPending = true
		if _, ok := PlanRepair(s, policy); ok {
			t.Errorf("%s: planned while a change is pending", tc.name)
		}
	}
}

// TestSecondFailureAfterRepair stops a voter, waits until the spare has replaced
// it, then stops the leader. No entries may be lost, and the cluster must accept
// further proposals.
func TestSecondFailureAfterRepair(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T, ctx context.Context, c *cluster) {
		c.repair = &RepairPolicy{Voters: 3, SilentTicks: 50}
		ms := startThreeNodes(c)
		lead := c.waitForLeader()
		d := c.startFormer("d", storage.NewMemory(4, storage.Crash{}), nil, []string{"a", "b", "c"})
		c.startNode(d)
		if err := lead.node.AddLearner(ctx, consensus.Member{ID: 4, Name: "d"}); err != nil {
			t.Fatal(err)
		}
		proposeRange(t, ctx, lead, 0, 30)
		var others []*member
		for _, m := range ms {
			if m != lead {
				others = append(others, m)
			}
		}
		c.stopNode(others[0])
		for repaired := false; !repaired; time.Sleep(100 * time.Millisecond) {
			s := lead.node.Status()
			repaired = len(s.Members) == 3 && !s.MembersPending
		}
		c.stopNode(lead)
		next := c.waitForLeader()
		proposeRange(t, ctx, next, 30, 40)
		if got := len(next.recorder.list()); got != 40 {
			t.Errorf("%d entries after the second failure, want 40", got)
		}
	})
}
