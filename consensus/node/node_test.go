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
	inBubble(t, func(t *testing.T, ctx context.Context, c *cluster) {
		c.every = 16
		ms := three(c)
		propose(t, ctx, c.leader(), 0, 50)
		for _, m := range ms {
			c.kill(m)
		}
		for _, m := range ms {
			c.start(m)
		}
		lead := c.leader()
		n, err := lead.node.Propose(ctx, []byte("last"))
		if err != nil || n != 51 {
			t.Fatalf("result %d, %v; want 51 entries after the restart", n, err)
		}
		for _, m := range ms {
			if err := m.node.ReadIndex(ctx); err != nil {
				t.Fatal(err)
			}
			if got := len(m.journal.all()); got != 51 {
				t.Errorf("%s has %d entries after ReadIndex, want 51", m.name, got)
			}
			_, err := m.node.Propose(ctx, []byte("x"))
			var nl *consensus.NotLeaderError
			if m != lead && (!errors.As(err, &nl) || nl.Leader != lead.store.Node()) {
				t.Errorf("error %v, want NotLeaderError with leader %s", err, lead.name)
			}
		}
	})
}

func TestIsolatedLeaderStepsDownAndRejoins(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, c *cluster) {
		three(c)
		old := c.leader()
		c.isolate(old.name, true)
		if _, err := old.node.Propose(ctx, []byte("lost")); !errors.Is(err, ErrOutcomeUnknown) {
			t.Fatalf("proposal of an isolated leader: %v", err)
		}
		next := c.leader()
		propose(t, ctx, next, 0, 20)
		time.Sleep(10 * time.Minute)
		before := next.node.Status()
		c.isolate(old.name, false)
		if err := old.node.WaitApplied(ctx, before.Applied); err != nil {
			t.Fatal(err)
		}
		after := next.node.Status()
		if after.Role != consensus.Leader || after.Term != before.Term {
			t.Errorf("leader unseated: %s in term %d, was leader in term %d", after.Role, after.Term, before.Term)
		}
		if got := len(old.journal.all()); got != 20 {
			t.Errorf("rejoined node has %d entries, want 20", got)
		}
	})
}

// TestMembersComeAndGo adds an empty disk, promotes it, and removes the leader,
// which learns of it and joins again as a learner, and is removed as such.
func TestMembersComeAndGo(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, c *cluster) {
		c.every = 8
		c.tuning.TrailEntries = 2
		ms := three(c)
		old := c.leader()
		propose(t, ctx, old, 0, 30)
		d := c.form("d", storage.NewMemory(4, storage.Crash{}), []string{"a", "b", "c"}, nil)
		c.start(d)
		if err := old.node.AddLearner(ctx, consensus.Member{ID: 4, Name: "d"}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		if err := old.node.Promote(ctx, 4); err != nil {
			t.Fatal(err)
		}
		c.isolate(old.name, true)
		next := c.leader()
		if err := next.node.Remove(ctx, old.store.Node()); err != nil {
			t.Fatal(err)
		}
		c.isolate(old.name, false)
		for !old.node.Status().Removed {
			<-old.node.Changed()
		}
		if err := next.node.AddLearner(ctx, consensus.Member{ID: old.store.Node(), Name: old.name}); err != nil {
			t.Fatal(err)
		}
		propose(t, ctx, next, 30, 40)
		time.Sleep(5 * time.Second)
		for _, m := range append(ms, d) {
			if got := len(m.journal.all()); got != 40 || m.node.Status().Removed {
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

// TestHandoverCostsNoElectionTimeout stops a leader after a handover; another
// one takes proposals at once.
func TestHandoverCostsNoElectionTimeout(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, c *cluster) {
		ms := three(c)
		old := c.leader()
		propose(t, ctx, old, 0, 3)
		time.Sleep(time.Second)
		if err := old.node.Handover(ctx); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond)
		c.kill(old)
		for _, m := range ms {
			if m != old && m.node.Status().Role == consensus.Leader {
				propose(t, ctx, m, 3, 6)
				return
			}
		}
		t.Error("no successor leads")
	})
}
