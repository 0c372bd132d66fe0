package record

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"magnoliastand.example/dispatch"
)

// calm runs f in a bubble with five daemons on a network that loses nothing.
func calm(t *testing.T, f func(s *sim)) {
	synctest.Test(t, func(*testing.T) {
		s := newSim(1, variant{})
		s.calm = true
		f(s)
		for _, n := range s.nodes {
			n.service.Close()
		}
	})
}

func claimFor(id, body string) *Claim {
	return &Claim{ID: id, Digest: NewDigest("team", "queue", []byte(body)), Hold: time.Minute, Received: time.Now()}
}

func begin(n *simNode, c *Claim) Decision { return n.service.Begin(context.Background(), c) }

func finish(n *simNode, c *Claim, r Result, body string) {
	n.service.Finish(context.Background(), c, r, &Answer{Status: 200, Body: []byte(body)})
	time.Sleep(time.Second)
}

func TestResendAfterTheHomeWasKilled(t *testing.T) {
	calm(t, func(s *sim) {
		home, other := s.nodes[0], s.nodes[1]
		answered, lost, fresh := home.service.Fresh(), home.service.Fresh(), home.service.Fresh()
		c := claimFor(answered, "x")
		if d := begin(home, c); d.Verdict != Proceed {
			t.Fatalf("verdict %d", d.Verdict)
		}
		finish(home, c, ResultAnswered, "the answer")
		begin(home, claimFor(lost, "x"))
		s.kill(home)
		if d := begin(other, claimFor(answered, "x")); d.Verdict != Answered || string(d.Answer.Body) != "the answer" {
			t.Fatalf("kept answer: verdict %d", d.Verdict)
		}
		if d := begin(other, claimFor(answered, "y")); d.Verdict != Mismatch {
			t.Fatalf("other body: verdict %d", d.Verdict)
		}
		for _, id := range []string{lost, fresh} {
			if d := begin(other, claimFor(id, "x")); d.Verdict != Unknown {
				t.Fatalf("id of a dead home: verdict %d", d.Verdict)
			}
		}
	})
}

func TestOrderlyRestartKeepsEverything(t *testing.T) {
	calm(t, func(s *sim) {
		home, other := s.nodes[0], s.nodes[1]
		answered, running, fresh := home.service.Fresh(), home.service.Fresh(), home.service.Fresh()
		c := claimFor(answered, "x")
		begin(home, c)
		finish(home, c, ResultAnswered, "the answer")
		begin(other, claimFor(running, "x"))
		for range 2 {
			if s.restart(home); home.service.keeper.abstainUntil != (time.Time{}) {
				t.Fatal("abstains after it inherited")
			}
		}
		if d := begin(other, claimFor(answered, "x")); d.Verdict != Answered {
			t.Fatalf("answered: verdict %d", d.Verdict)
		}
		if d := begin(s.nodes[2], claimFor(running, "x")); d.Verdict != Running {
			t.Fatalf("running: verdict %d", d.Verdict)
		}
		if d := begin(other, claimFor(fresh, "x")); d.Verdict != Proceed {
			t.Fatalf("handed out, not begun: verdict %d", d.Verdict)
		}
		err := home.service.Inherit(context.Background(), simPeers{sim: s, from: home})
		s.kill(home)
		if s.restart(home); !home.service.Stats().Abstaining {
			t.Fatal("votes although an incarnation before lost its records")
		}
		s.kill(home)
		heir := home.service.Inherit(context.Background(), simPeers{sim: s, from: home})
		if err != nil || !errors.Is(heir, ErrNoEstate) {
			t.Fatalf("same incarnation again: %v; another incarnation: %v", err, heir)
		}
	})
}

// TestRequestsWaitForARestartingHome begins ids while their home restarts.
func TestRequestsWaitForARestartingHome(t *testing.T) {
	calm(t, func(s *sim) {
		home := s.nodes[0]
		id := home.service.Fresh()
		peers := simPeers{sim: s, from: home}
		if err := home.service.HandOver(context.Background(), peers); err != nil {
			t.Fatal(err)
		}
		done := make(chan Decision)
		go func() { done <- begin(s.nodes[1], claimFor(id, "x")) }()
		time.Sleep(time.Second) // the daemon stops and starts
		s.kill(home)
		time.Sleep(time.Second) // it joins its peers
		if err := home.service.Inherit(context.Background(), peers); err != nil {
			t.Fatal(err)
		}
		if d := <-done; d.Verdict != Proceed {
			t.Fatalf("verdict %d", d.Verdict)
		}
	})
}

func TestKeepersNeedAMajority(t *testing.T) {
	calm(t, func(s *sim) {
		keepers := union(s.nodes[0].service.deciders("mine"))
		caller := s.nodes[0]
		lost := 0
		for _, n := range s.nodes {
			if strings.Contains(strings.Join(keepers, " "), n.name) && lost < 2 {
				lost++
				s.kill(n) // abstains
			}
		}
		if d := begin(caller, claimFor("mine", "x")); d.Verdict != NoQuorum {
			t.Fatalf("verdict %d with two of three keepers without memory", d.Verdict)
		}
		idempotent := claimFor("mine", "x")
		idempotent.Idempotent = true
		if d := begin(caller, idempotent); d.Verdict != Proceed || !d.Earlier {
			t.Fatalf("idempotent: verdict %d, earlier %t", d.Verdict, d.Earlier)
		}
		time.Sleep(DefaultRetention)
		if d := begin(caller, claimFor("mine", "x")); d.Verdict != Proceed {
			t.Fatalf("verdict %d after the abstention", d.Verdict)
		}
	})
}

// TestMemberChangeNeedsBothMajorities replaces daemons one after another while
// one daemon still goes by the former members.
func TestMemberChangeNeedsBothMajorities(t *testing.T) {
	old := []Member{{"a", "z1"}, {"b", "z2"}, {"c", "z3"}}
	changed := []Member{{"a", "z1"}, {"b", "z2"}, {"d", "z3"}}
	var sets memberSets
	now := time.Now()
	sets.update(old, time.Minute, now)
	sets.update(changed, time.Minute, now)
	if sets.update(changed, time.Minute, now) {
		t.Fatal("the same members count as a change")
	}
	live := sets.keepers("x", time.Minute, now)
	if len(live) != 2 {
		t.Fatalf("%d live sets", len(live))
	}
	permit := func(names ...string) []vote {
		var votes []vote
		for _, n := range names {
			votes = append(votes, vote{daemon: n, reply: BeginReply{Verdict: Proceed}})
		}
		return votes
	}
	if d := tally(live, permit("a", "d")); d.Verdict != NoQuorum {
		t.Fatalf("majority of the new members only: verdict %d", d.Verdict)
	}
	if d := tally(live, permit("a", "b")); d.Verdict != Proceed {
		t.Fatalf("majority of both: verdict %d", d.Verdict)
	}
	if n := len(sets.keepers("x", time.Minute, now.Add(time.Minute))); n != 1 {
		t.Fatalf("%d live sets after the retention", n)
	}
}

func TestOriginGoneEndsTheWait(t *testing.T) {
	calm(t, func(s *sim) {
		begin(s.nodes[0], claimFor("mine", "x"))
		start := time.Now()
		go func() {
			time.Sleep(time.Second)
			for _, n := range s.nodes {
				n.service.OriginGone(dispatch.DaemonID{Name: "d0", Incarnation: "i1"})
			}
		}()
		if d := s.nodes[1].service.Await(context.Background(), claimFor("mine", "x"), time.Minute); d.Verdict != Unknown {
			t.Fatalf("verdict %d", d.Verdict)
		}
		if waited := time.Since(start); waited > 10*time.Second {
			t.Fatalf("waited %s", waited)
		}
	})
}

func TestKeeperBounds(t *testing.T) {
	cfg := KeeperConfig{Retention: time.Minute, MaxEntries: 2, MaxAnswerBytes: 100, MaxAnswer: 60}
	k := NewKeeper(cfg, time.Time{})
	now := time.Now()
	ask := func(id string, at time.Time) Verdict {
		return k.Begin(BeginRequest{ID: id, Token: Token{Seq: 1}, Hold: time.Second}, at).Verdict
	}
	answer := func(id string, size int, at time.Time) {
		k.Finish(FinishRequest{ID: id, Token: Token{Seq: 1}, Result: ResultAnswered, Answer: &Answer{Body: make([]byte, size)}}, at)
	}
	if a, b, c := ask("a", now), ask("b", now), ask("c", now); a != Proceed || b != Proceed || c != Abstain {
		t.Fatalf("verdicts %d %d %d", a, b, c)
	}
	answer("a", 60, now)
	answer("b", 60, now)
	if a, b := ask("a", now), ask("b", now); a != Unknown || b != Answered || k.AnswerBytes() != 60 {
		t.Fatalf("verdicts %d %d, %d bytes", a, b, k.AnswerBytes())
	}
	later := now.Add(time.Minute)
	if c := ask("c", later); c != Proceed || k.Len() != 1 || k.AnswerBytes() != 0 {
		t.Fatalf("verdict %d, %d ids, %d bytes", c, k.Len(), k.AnswerBytes())
	}
	answer("c", 61, later)
	if c := ask("c", later); c != Unknown {
		t.Fatalf("an answer over the bound is kept: verdict %d", c)
	}
}

func TestForeignIDsOfThisHomeAreUnknown(t *testing.T) {
	h := NewHome("za.d1-i1", DefaultKeeperConfig())
	own, handed := h.Mint(KindOwn), h.Mint(KindHanded)
	parsed, _ := ParseID(handed)
	forged := strings.Replace(handed, parsed.Tag, "aaaaaaaaaa", 1)
	for _, id := range []string{own, forged, "za.d1-i1.h99-aaaaaaaaaa", "za.d1-i0" + strings.TrimPrefix(handed, "za.d1-i1")} {
		p, ok := ParseID(id)
		if v := h.Begin(p, BeginRequest{ID: id}, time.Now()).Verdict; !ok || v != Unknown {
			t.Errorf("%s: parsed %t, verdict %d", id, ok, v)
		}
	}
	if v := h.Begin(parsed, BeginRequest{ID: handed}, time.Now()).Verdict; v != Proceed {
		t.Fatalf("verdict %d", v)
	}
}

// FuzzParseID checks that what parses is rebuilt exactly from its parts.
func FuzzParseID(f *testing.F) {
	for _, s := range []string{"za.d-1-i1.h1z-abcdefghij", "mine", "a.b-c.d", "..-.h0-", "z.d-.h1-aaaaaaaaaa", "z.-i.h1-aaaaaaaaaa", "z.d-i.a1", "z.d-i.a1-aaaaaaaaaa"} {
		f.Add(s)
	}
	m := newMinter("z.d-i")
	f.Fuzz(func(t *testing.T, s string) {
		id, ok := ParseID(s)
		if !ok {
			return
		}
		rebuilt := id.Home() + "." + m.mint(id.Kind, id.Counter)[len(m.prefix):]
		if cut := len(rebuilt) - len(id.Tag); rebuilt[:cut]+id.Tag != s {
			t.Fatalf("%q was parsed as %+v", s, id)
		}
		if m.verify(id) && id.Home() == "z.d-i" {
			t.Fatalf("%q verifies by chance", s)
		}
	})
}

// TestUnregisteredDaemonNeverVotes keeps a daemon running past its abstention:
// its successor may be taken for the first incarnation.
func TestUnregisteredDaemonNeverVotes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{Self: dispatch.DaemonID{Name: "d0", Incarnation: "i1"}, Zone: "za", AwaitRegistration: true})
		s.SetMembers([]Member{{Name: "d0", Zone: "za"}})
		time.Sleep(2 * DefaultRetention)
		if d := s.Begin(t.Context(), claimFor("mine", "x")); d.Verdict != NoQuorum {
			t.Fatalf("verdict %d before the registration", d.Verdict)
		}
		s.Registered(false)
		if d := s.Begin(t.Context(), claimFor("other", "x")); d.Verdict != Proceed {
			t.Fatalf("verdict %d after the registration", d.Verdict)
		}
	})
}
