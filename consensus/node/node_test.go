package node

import (
	"context"
	"errors"
	"testing"
	"time"

	"magnoliastand.example/consensus"
	"magnoliastand.example/consensus/storage"
)

func TestClusterFormsAndSurvivesRestarts(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T, ctx context.Context, c *cluster) {
		c.snapshotEntries = 16
		ms := startThreeNodes(c)
		proposeRange(t, ctx, c.waitForLeader(), 0, 50)
		for _, m := range ms {
			c.stopNode(m)
		}
		for _, m := range ms {
			c.startNode(m)
		}
		lead := c.waitForLeader()
		n, err := lead.node.Propose(ctx, []byte("last"))
		if err != nil || n != 51 {
			t.Fatalf("result %d, %v; want 51 entries after the restart", n, err)
		}
		checkEntries := func(want int) {
			t.Helper()
			for _, m := range ms {
				if err := m.node.ReadIndex(ctx); err != nil {
					t.Fatal(err)
				}
				if got := len(m.recorder.list()); got != want {
					t.Errorf("%s has %d entries after ReadIndex, want %d", m.name, got, want)
				}
			}
		}
		checkEntries(51)
		for _, m := range ms {
			_, err := m.node.Propose(ctx, []byte("x"))
			var nl *consensus.NotLeaderError
			if m == lead && err != nil {
				t.Errorf("proposal at the leader: %v", err)
			}
			if m != lead && (!errors.As(err, &nl) || nl.Leader != lead.store.Node()) {
				t.Errorf("error %v, want NotLeaderError with leader %s", err, lead.name)
			}
		}
		checkEntries(52) // only the leader's proposal is in the log
	})
}

func TestIsolatedLeaderStepsDownAndRejoins(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T, ctx context.Context, c *cluster) {
		startThreeNodes(c)
		old := c.waitForLeader()
		c.setIsolated(old.name, true)
		if _, err := old.node.Propose(ctx, []byte("lost")); !errors.Is(err, ErrOutcomeUnknown) {
			t.Fatalf("proposal of an isolated leader: %v", err)
		}
		next := c.waitForLeader()
		proposeRange(t, ctx, next, 0, 20)
		time.Sleep(10 * time.Minute)
		before := next.node.Status()
		c.setIsolated(old.name, false)
		if err := old.node.WaitApplied(ctx, before.Applied); err != nil {
			t.Fatal(err)
		}
		after := next.node.Status()
		if after.Role != consensus.Leader || after.Term != before.Term {
			t.Errorf("leader lost its leadership: %s in term %d, was leader in term %d", after.Role, after.Term, before.Term)
		}
		if got := len(old.recorder.list()); got != 20 {
			t.Errorf("rejoined node has %d entries, want 20", got)
		}
	})
}

// TestMembershipChanges adds a member with an empty disk, promotes it, and
// removes the old leader while that is isolated. The old leader must learn of its
// removal, join again as a learner, and be removed once more.
func TestMembershipChanges(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T, ctx context.Context, c *cluster) {
		c.snapshotEntries = 8
		c.coreConfig.TrailEntries = 2
		ms := startThreeNodes(c)
		old := c.waitForLeader()
		proposeRange(t, ctx, old, 0, 30)
		d := c.startFormer("d", storage.NewMemory(4, storage.Crash{}), []string{"a", "b", "c"}, nil)
		c.startNode(d)
		if err := old.node.AddLearner(ctx, consensus.Member{ID: 4, Name: "d"}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		if err := old.node.Promote(ctx, 4); err != nil {
			t.Fatal(err)
		}
		c.setIsolated(old.name, true)
		next := c.waitForLeader()
		if err := next.node.Remove(ctx, old.store.Node()); err != nil {
			t.Fatal(err)
		}
		c.setIsolated(old.name, false)
		for !old.node.Status().Removed {
			<-old.node.Changed()
		}
		if err := next.node.AddLearner(ctx, consensus.Member{ID: old.store.Node(), Name: old.name}); err != nil {
			t.Fatal(err)
		}
		proposeRange(t, ctx, next, 30, 40)
		time.Sleep(5 * time.Second)
		for _, m := range append(ms, d) {
			if got := len(m.recorder.list()); got != 40 || m.node.Status().Removed {
				t.Errorf("%s has %d entries, want 40; removed %v", m.name, got, m.node.Status().Removed)
			}
		}
		if err := next.node.Remove(ctx, old.store.Node()); err != nil {
			t.Fatal(err)
		}
		for !old.node.Status().Removed {
			<-old.node.Changed()
		}
	})
}

// TestHandoverAvoidsElectionTimeout stops a leader after a handover. Another node
// must accept proposals immediately.
func TestHandoverAvoidsElectionTimeout(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T, ctx context.Context, c *cluster) {
		ms := startThreeNodes(c)
		old := c.waitForLeader()
		proposeRange(t, ctx, old, 0, 3)
		time.Sleep(time.Second)
		if err := old.node.Handover(ctx); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond)
		c.stopNode(old)
		for _, m := range ms {
			if m != old && m.node.Status().Role == consensus.Leader {
				proposeRange(t, ctx, m, 3, 6)
				return
			}
		}
		t.Error("no other node became leader")
	})
}

// TestProposalOfEarlierTermIsNotAppended lets a leader lose and regain its
// leadership. What it prepared as the leader of the earlier term may rest on a
// state that the entries of the term between have changed.
func TestProposalOfEarlierTermIsNotAppended(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T, ctx context.Context, c *cluster) {
		startThreeNodes(c)
		old := c.waitForLeader()
		term := old.node.Status().Term
		if _, err := old.node.ProposeInTerm(ctx, term, []byte("first")); err != nil {
			t.Fatal(err)
		}
		c.setIsolated(old.name, true)
		next := c.waitForLeader()
		proposeRange(t, ctx, next, 0, 3)
		c.setIsolated(old.name, false)
		if err := old.node.WaitApplied(ctx, next.node.Status().Applied); err != nil {
			t.Fatal(err)
		}
		for lead := next; lead != old; {
			c.setIsolated(lead.name, true)
			successor := c.waitForLeader()
			c.setIsolated(lead.name, false)
			lead = successor
		}
		if old.node.Status().Term <= term {
			t.Fatalf("term %d, led term %d before", old.node.Status().Term, term)
		}
		before := len(old.recorder.list())
		if _, err := old.node.ProposeInTerm(ctx, term, []byte("late")); !errors.Is(err, consensus.ErrNotLeader) {
			t.Errorf("proposal of term %d: error %v, want ErrNotLeader", term, err)
		}
		if err := old.node.ReadIndex(ctx); err != nil || len(old.recorder.list()) != before {
			t.Errorf("%d entries, had %d; %v", len(old.recorder.list()), before, err)
		}
	})
}
