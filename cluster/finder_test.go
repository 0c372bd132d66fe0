package cluster

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"magnoliastand.example/clock/clocktest"
)

// fakeCore is a core daemon as a Finder sees it.
type fakeCore struct {
	// silent daemons answer no query.
	silent bool
	leader string
	term   uint64
}

// TestFinderLeavesSilentLeader suspends the leader of term 1. The others elect a
// leader of term 2 after 600 ms. A daemon must know it soon afterwards, although
// queries to the first leader get no answer.
func TestFinderLeavesSilentLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cores := map[string]*fakeCore{"a": {leader: "a", term: 1}, "b": {leader: "a", term: 1}, "c": {leader: "a", term: 1}}
		var mu sync.Mutex
		f := newFinder(func(ctx context.Context, name string) (leadReply, error) {
			time.Sleep(3 * time.Millisecond)
			mu.Lock()
			c := *cores[name]
			mu.Unlock()
			if c.silent {
				<-ctx.Done()
				return leadReply{}, ctx.Err()
			}
			return leadReply{Leader: c.leader, Term: c.term, Members: []string{"a", "b", "c"}}, nil
		}, []string{"a", "b", "c"}, zerolog.Nop())
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); f.Run(ctx) }()
		time.Sleep(3 * time.Second)
		if name, _ := f.Leader(); name != "a" || !f.HasLeader() {
			t.Fatalf("leader %q, want a", name)
		}
		mu.Lock()
		cores["a"].silent = true
		mu.Unlock()
		time.Sleep(600 * time.Millisecond)
		mu.Lock()
		for _, name := range []string{"b", "c"} {
			cores[name].leader, cores[name].term = "b", 2
		}
		mu.Unlock()
		const within = 300 * time.Millisecond
		time.Sleep(within)
		if name, _ := f.Leader(); name != "b" || !f.HasLeader() {
			t.Errorf("leader %q %s after its election, want b", name, within)
		}
		stop()
		<-done
	})
}

// TestLeaderIsNotFreshAfterSuspension guards against a daemon that reports itself ready when its
// machine wakes up, because the leader seems to have confirmed its leadership just now.
func TestLeaderIsNotFreshAfterSuspension(t *testing.T) {
	f := newFinder(func(context.Context, string) (leadReply, error) {
		return leadReply{Leader: "a", Term: 1}, nil
	}, []string{"a"}, zerolog.Nop())
	if !f.refresh(t.Context()) || !f.HasLeader() {
		t.Fatal("no leader")
	}
	clocktest.Suspend(leaderFreshness)
	if f.HasLeader() || f.FreshLeader() != "" {
		t.Errorf("the leader counts as fresh after a suspension of %s", leaderFreshness)
	}
}

// TestSuspectedLeaderIsLeftAtOnce guards against requests that are held until the next regular
// query, because nobody is asked when the leader leaves calls without a reply. The daemons name
// the next leader; the former one answers no query.
func TestSuspectedLeaderIsLeftAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		leader, queries := leadReply{Leader: "a", Term: 1}, 0
		f := newFinder(func(ctx context.Context, name string) (leadReply, error) {
			time.Sleep(3 * time.Millisecond)
			mu.Lock()
			reply := leader
			queries++
			mu.Unlock()
			if name != reply.Leader && name == "a" {
				<-ctx.Done()
				return leadReply{}, ctx.Err()
			}
			return reply, nil
		}, []string{"a", "b", "c"}, zerolog.Nop())
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); f.Run(ctx) }()
		time.Sleep(3*time.Second + 100*time.Millisecond)
		mu.Lock()
		leader = leadReply{Leader: "b", Term: 2}
		mu.Unlock()
		f.Suspect()
		const roundTrip = 5 * time.Millisecond
		time.Sleep(roundTrip)
		if name, _ := f.Leader(); name != "b" {
			t.Errorf("leader %q %s after the suspicion, want b", name, roundTrip)
		}
		// Held requests that report the suspicion again cost no further queries.
		mu.Lock()
		before := queries
		mu.Unlock()
		time.Sleep(pollInterval / 2)
		mu.Lock()
		if queries != before {
			t.Errorf("%d queries after the leader was confirmed, want none before the next interval", queries-before)
		}
		mu.Unlock()
		stop()
		<-done
	})
}
