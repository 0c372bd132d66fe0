package record

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"magnoliastand.example/clock"
	"magnoliastand.example/dispatch"
)

// runFaultFree runs f in a synctest bubble with five daemons on a network
// without delays or losses.
func runFaultFree(t *testing.T, f func(s *sim)) {
	synctest.Test(t, func(*testing.T) {
		s := newSim(1, variant{})
		s.faultFree = true
		f(s)
		for _, n := range s.nodes {
			n.service.Close()
		}
	})
}

func claimFor(id, body string) *Claim {
	return &Claim{ID: id, Digest: NewDigest("team", "queue", []byte(body)), Hold: time.Minute, Received: clock.Now()}
}

func begin(n *simNode, c *Claim) Decision { return n.service.Begin(context.Background(), c) }

func finish(n *simNode, c *Claim, r Result, body string) {
	n.service.Finish(context.Background(), c, r, &Answer{Status: 200, Body: []byte(body)})
	time.Sleep(time.Second)
}

func TestResendAfterHomeCrash(t *testing.T) {
	runFaultFree(t, func(s *sim) {
		home, other := s.nodes[0], s.nodes[1]
		answered, lost, fresh := home.service.IssueID(), home.service.IssueID(), home.service.IssueID()
		c := claimFor(answered, "x")
		if d := begin(home, c); d.Verdict != Proceed {
			t.Fatalf("verdict %d", d.Verdict)
		}
		finish(home, c, ResultAnswered, "the answer")
		begin(home, claimFor(lost, "x"))
		s.kill(home)
		if d := begin(other, claimFor(answered, "x")); d.Verdict != Answered || string(d.Answer.Body) != "the answer" {
			t.Fatalf("stored answer: verdict %d", d.Verdict)
		}
		if d := begin(other, claimFor(answered, "y")); d.Verdict != Mismatch {
			t.Fatalf("other body: verdict %d", d.Verdict)
		}
		for _, id := range []string{lost, fresh} {
			if d := begin(other, claimFor(id, "x")); d.Verdict != Unknown {
				t.Fatalf("id of an ended home: verdict %d", d.Verdict)
			}
		}
	})
}

func TestGracefulRestartKeepsRecords(t *testing.T) {
	runFaultFree(t, func(s *sim) {
		home, other := s.nodes[0], s.nodes[1]
		answered, running, fresh := home.service.IssueID(), home.service.IssueID(), home.service.IssueID()
		c := claimFor(answered, "x")
		begin(home, c)
		finish(home, c, ResultAnswered, "the answer")
		begin(other, claimFor(running, "x"))
		for range 2 {
			if s.restart(home); home.service.acceptor.abstainUntil != (time.Time{}) {
				t.Fatal("abstains after it claimed the hand-over")
			}
		}
		if d := begin(other, claimFor(answered, "x")); d.Verdict != Answered {
			t.Fatalf("answered: verdict %d", d.Verdict)
		}
		if d := begin(s.nodes[2], claimFor(running, "x")); d.Verdict != Running {
			t.Fatalf("running: verdict %d", d.Verdict)
		}
		if d := begin(other, claimFor(fresh, "x")); d.Verdict != Proceed {
			t.Fatalf("issued, not begun: verdict %d", d.Verdict)
		}
		err := home.service.Inherit(context.Background(), simPeers{sim: s, from: home})
		s.kill(home)
		if s.restart(home); !home.service.Stats().Abstaining {
			t.Fatal("votes although an earlier incarnation lost its records")
		}
		s.kill(home)
		claimErr := home.service.Inherit(context.Background(), simPeers{sim: s, from: home})
		if err != nil || !errors.Is(claimErr, ErrNoHandOver) {
			t.Fatalf("same incarnation again: %v; another incarnation: %v", err, claimErr)
		}
	})
}

// TestRequestWaitsForRestartingHome begins an id while its home daemon
// restarts.
func TestRequestWaitsForRestartingHome(t *testing.T) {
	runFaultFree(t, func(s *sim) {
		home := s.nodes[0]
		id := home.service.IssueID()
		peers := simPeers{sim: s, from: home}
		if err := home.service.HandOver(context.Background(), peers); err != nil {
			t.Fatal(err)
		}
		done := make(chan Decision)
		go func() { done <- begin(s.nodes[1], claimFor(id, "x")) }()
		time.Sleep(time.Second) // the daemon stops and starts
		s.kill(home)
		time.Sleep(time.Second) // it connects to its peers
		if err := home.service.Inherit(context.Background(), peers); err != nil {
			t.Fatal(err)
		}
		if d := <-done; d.Verdict != Proceed {
			t.Fatalf("verdict %d", d.Verdict)
		}
	})
}

func TestStartNeedsMajorityOfAcceptors(t *testing.T) {
	runFaultFree(t, func(s *sim) {
		acceptors := union(s.nodes[0].service.deciders("mine"))
		caller := s.nodes[0]
		lost := 0
		for _, n := range s.nodes {
			if strings.Contains(strings.Join(acceptors, " "), n.name) && lost < 2 {
				lost++
				s.kill(n) // abstains
			}
		}
		if d := begin(caller, claimFor("mine", "x")); d.Verdict != NoQuorum {
			t.Fatalf("verdict %d with two of three acceptors without records", d.Verdict)
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

// TestMemberChangeNeedsBothMajorities replaces one daemon and expects a start
// to need a majority of the former and of the new members.
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
	live := sets.acceptors("x", time.Minute, now)
	if len(live) != 2 {
		t.Fatalf("%d sets", len(live))
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
	if n := len(sets.acceptors("x", time.Minute, now.Add(time.Minute))); n != 1 {
		t.Fatalf("%d sets after the retention", n)
	}
}

func TestOriginGoneEndsAwait(t *testing.T) {
	runFaultFree(t, func(s *sim) {
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

func TestStoreLimits(t *testing.T) {
	cfg := StoreConfig{Retention: time.Minute, MaxEntries: 2, MaxAnswerBytes: 100, MaxAnswerSize: 60}
	st := NewStore(cfg, time.Time{})
	now := time.Now()
	ask := func(id string, at time.Time) Verdict {
		return st.Begin(BeginRequest{ID: id, Token: Token{Seq: 1}, Hold: time.Second}, at).Verdict
	}
	answer := func(id string, size int, at time.Time) {
		st.Finish(FinishRequest{ID: id, Token: Token{Seq: 1}, Result: ResultAnswered, Answer: &Answer{Body: make([]byte, size)}}, at)
	}
	if a, b, c := ask("a", now), ask("b", now), ask("c", now); a != Proceed || b != Proceed || c != Abstain {
		t.Fatalf("verdicts %d %d %d", a, b, c)
	}
	answer("a", 60, now)
	answer("b", 60, now)
	if a, b := ask("a", now), ask("b", now); a != Unknown || b != Answered || st.AnswerBytes() != 60 {
		t.Fatalf("verdicts %d %d, %d bytes", a, b, st.AnswerBytes())
	}
	later := now.Add(time.Minute)
	if c := ask("c", later); c != Proceed || st.Len() != 1 || st.AnswerBytes() != 0 {
		t.Fatalf("verdict %d, %d ids, %d bytes", c, st.Len(), st.AnswerBytes())
	}
	answer("c", 61, later)
	if c := ask("c", later); c != Unknown {
		t.Fatalf("an answer over the limit is stored: verdict %d", c)
	}
}

func TestIDsNotIssuedByHomeAreUnknown(t *testing.T) {
	h := NewHome("za.d1-i1", DefaultStoreConfig())
	internal, issued := h.Mint(KindInternal), h.Mint(KindIssued)
	parsed, _ := ParseID(issued)
	forged := strings.Replace(issued, parsed.Tag, "aaaaaaaaaa", 1)
	for _, id := range []string{internal, forged, "za.d1-i1.h99-aaaaaaaaaa", "za.d1-i0" + strings.TrimPrefix(issued, "za.d1-i1")} {
		p, ok := ParseID(id)
		if v := h.Begin(p, BeginRequest{ID: id}, time.Now()).Verdict; !ok || v != Unknown {
			t.Errorf("%s: parsed %t, verdict %d", id, ok, v)
		}
	}
	if v := h.Begin(parsed, BeginRequest{ID: issued}, time.Now()).Verdict; v != Proceed {
		t.Fatalf("verdict %d", v)
	}
}

// FuzzParseID checks that an id that parses can be rebuilt exactly from its
// parts.
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

// TestUnregisteredDaemonNeverVotes runs an unregistered daemon past its
// abstention. It must not vote, because the registry may take its successor for
// the first incarnation.
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

// slowBegin delays the replies to Begin, the first one by the first duration and
// so on; further replies are not delayed.
type slowBegin struct {
	Peers
	delays []time.Duration
}

func (p *slowBegin) Begin(ctx context.Context, daemon string, r BeginRequest) (BeginReply, error) {
	reply, err := p.Peers.Begin(ctx, daemon, r)
	if len(p.delays) > 0 {
		time.Sleep(p.delays[0])
		p.delays = p.delays[1:]
	}
	return reply, err
}

// TestSlowReplyDoesNotRefuseResend refuses an id and resends it 10 ms later, while
// the home daemon's reply takes longer than that. The resend arrived after the
// refusal, so it must be permitted. An attempt that arrived before the refusal
// must not be, however long the reply takes.
func TestSlowReplyDoesNotRefuseResend(t *testing.T) {
	for name, test := range map[string]struct {
		arrival time.Duration // of the resend, relative to the refusal
		delays  []time.Duration
		want    Verdict
	}{
		"resend, one slow reply":   {10 * time.Millisecond, []time.Duration{100 * time.Millisecond}, Proceed},
		"resend, slow replies":     {10 * time.Millisecond, []time.Duration{100 * time.Millisecond, 50 * time.Millisecond, 20 * time.Millisecond}, Proceed},
		"earlier attempt":          {-10 * time.Millisecond, nil, Superseded},
		"earlier, one slow reply":  {-10 * time.Millisecond, []time.Duration{100 * time.Millisecond}, Superseded},
		"order stays undetermined": {500 * time.Microsecond, nil, Superseded},
	} {
		t.Run(name, func(t *testing.T) {
			runFaultFree(t, func(s *sim) {
				home, other := s.nodes[0], s.nodes[1]
				id := home.service.IssueID()
				first := claimFor(id, "x")
				if d := begin(home, first); d.Verdict != Proceed {
					t.Fatalf("first attempt: verdict %d", d.Verdict)
				}
				home.service.Finish(t.Context(), first, ResultNotRun, nil)
				refused := clock.Now()
				time.Sleep(50 * time.Millisecond)
				other.service.cfg.Peers = &slowBegin{Peers: other.service.cfg.Peers, delays: test.delays}
				resend := claimFor(id, "x")
				resend.Received = refused.Add(test.arrival)
				if d := begin(other, resend); d.Verdict != test.want {
					t.Errorf("verdict %d, want %d", d.Verdict, test.want)
				}
			})
		})
	}
}

// TestLocalRefusalIsDatedExactly lets the process stall between the decision of a
// local decider and the evaluation of its reply.
func TestLocalRefusalIsDatedExactly(t *testing.T) {
	runFaultFree(t, func(s *sim) {
		home := s.nodes[0]
		id := home.service.IssueID()
		first := claimFor(id, "x")
		begin(home, first)
		home.service.Finish(t.Context(), first, ResultNotRun, nil)
		time.Sleep(time.Millisecond)
		resend := claimFor(id, "x")
		r := home.service.newToken(resend)
		v := home.service.begin(t.Context(), home.name, r)
		time.Sleep(time.Second)
		if d := home.service.proceedUnlessRefused(t.Context(), resend, r, []vote{v}); d.Verdict != Proceed {
			t.Errorf("verdict %d", d.Verdict)
		}
	})
}
