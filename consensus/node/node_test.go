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
	inBubble(t, func(t *testing.T, ctx context.Context) {
		c := newCluster(t)
		c.every = 16
		defer c.stop()
		ms := three(c)
		propose(t, ctx, c.leader(), 0, 50)
		for _, m := range ms {
			c.kill(m)
		}
		for _, m := range ms {
			c.start(m)
		}
		n, err := c.leader().node.Propose(ctx, []byte("last"))
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
		}
	})
}

func TestProposeOnFollowerNamesLeader(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		c := newCluster(t)
		defer c.stop()
		ms := three(c)
		lead := c.leader()
		time.Sleep(time.Second)
		for _, m := range ms {
			if m == lead {
				continue
			}
			_, err := m.node.Propose(ctx, []byte("x"))
			var nl *consensus.NotLeaderError
			if !errors.As(err, &nl) || nl.Leader != lead.store.Node() {
				t.Errorf("error %v, want NotLeaderError with leader %s", err, lead.name)
			}
		}
	})
}

func TestIsolatedLeaderStepsDownAndRejoins(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		c := newCluster(t)
		defer c.stop()
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
		time.Sleep(10 * time.Second)
		after := next.node.Status()
		if after.Role != consensus.Leader || after.Term != before.Term {
			t.Errorf("leader unseated: %s in term %d, was leader in term %d", after.Role, after.Term, before.Term)
		}
		if got := len(old.journal.all()); got != 20 {
			t.Errorf("rejoined node has %d entries, want 20", got)
		}
	})
}

func TestEmptyDiskJoinsAsLearnerAndIsPromoted(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		c := newCluster(t)
		c.every = 8
		c.tuning.TrailEntries = 2
		defer c.stop()
		ms := three(c)
		lead := c.leader()
		propose(t, ctx, lead, 0, 30)
		d := c.form("d", storage.NewMemory(4, storage.Crash{}), []string{"a", "b", "c"}, nil)
		c.start(d)
		if err := lead.node.AddLearner(ctx, consensus.Member{ID: 4, Name: "d"}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		if err := lead.node.Promote(ctx, 4); err != nil {
			t.Fatal(err)
		}
		if err := lead.node.Remove(ctx, lead.store.Node()); err != nil {
			t.Fatal(err)
		}
		c.kill(lead)
		propose(t, ctx, c.leader(), 30, 40)
		time.Sleep(time.Second)
		for _, m := range append(ms, d) {
			if got := len(m.journal.all()); m != lead && got != 40 {
				t.Errorf("%s has %d entries, want 40", m.name, got)
			}
		}
	})
}
