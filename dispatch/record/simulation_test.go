package record

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"magnoliastand.example/invariant"
)

// simulate sends 40 ids up to 4 times each within 20 s. Two in three ids are
// sent at once to several daemons; the rest are resent some seconds later.
func simulate(t *testing.T, seed uint64, v variant, home, quiet bool) *sim {
	var s *sim
	synctest.Test(t, func(*testing.T) {
		s = newSim(seed, v)
		s.calm = v.calm
		var wg sync.WaitGroup
		start := time.Now()
		if !quiet {
			wg.Go(func() { s.faults(start.Add(20 * time.Second)) })
		}
		for i := range 40 {
			id := fmt.Sprintf("own-%d", i)
			if home {
				id = s.nodes[s.intn(len(s.nodes))].service.Fresh()
			}
			at := s.upTo(10 * time.Second)
			for range 1 + s.intn(4) {
				n := s.nodes[s.intn(len(s.nodes))]
				if s.intn(3) == 0 {
					at += s.upTo(6 * time.Second)
				}
				delay := at
				wg.Go(func() {
					time.Sleep(delay)
					s.attempt(n, id)
				})
			}
		}
		wg.Wait()
		for _, n := range s.nodes {
			n.service.Close()
		}
		time.Sleep(time.Minute) // messages under way arrive
	})
	return s
}

// checkUnseen refuses a caller without a key. What ran before must show.
func (s *sim) checkUnseen(service *Service, c *Claim) {
	s.mu.Lock()
	ran := s.runs[c.ID]
	s.mu.Unlock()
	if service.Unseen(context.Background(), c) && ran > 0 {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.breach("%s was called unseen after it ran", c.ID)
	}
}

func TestRandomRunsStartAtMostOnce(t *testing.T) {
	var answered, notRun, unknown, inherited int
	before := invariant.Count(invariant.AtMostOnce)
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		home := rapid.Bool().Draw(rt, "home")
		quiet := rapid.Bool().Draw(rt, "quiet")
		churn := rapid.Bool().Draw(rt, "churn")
		s := simulate(t, seed, variant{churn: churn}, home, quiet)
		if len(s.breaches) > 0 || invariant.Count(invariant.AtMostOnce) != before {
			rt.Fatalf("breaches: %v, seen inside: %d", s.breaches, invariant.Count(invariant.AtMostOnce)-before)
		}
		answered, notRun, unknown = answered+s.answered, notRun+s.notRun, unknown+s.unknown
		inherited += s.inherited
	})
	ends := fmt.Sprintf("%d answered, %d not run, %d unknown, %d hand-overs", answered, notRun, unknown, inherited)
	if answered == 0 || notRun == 0 || unknown == 0 || inherited == 0 {
		t.Fatal("the runs do not cover all ends: " + ends)
	}
	t.Log(ends)
}

// TestProtectionsMatter runs the same simulation with one protection switched
// off and expects the model to see the breach.
func TestProtectionsMatter(t *testing.T) {
	cases := []struct {
		name    string
		variant variant
		home    bool
	}{
		{"keepers that lost their memory vote", variant{votesWithoutMemory: true}, false},
		{"home forgets its watermark", variant{forgetsWatermark: true, maxEntries: 2}, true},
		{"records are used after the hand-over, home ids", variant{unsealed: true}, true},
		{"records are used after the hand-over, own ids", variant{unsealed: true}, false},
		{"a hand-over ends the abstention", variant{endsAbstention: true, churn: true}, false},
		{"refusals are ignored, home ids", variant{ignoresRefusals: true}, true},
		{"refusals are ignored, own ids", variant{ignoresRefusals: true}, false},
	}
	const seeds = 600
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				if s := simulate(t, seed, c.variant, c.home, false); len(s.breaches) > 0 {
					t.Logf("seed %d: %s", seed, s.breaches[0])
					return
				}
			}
			t.Fatalf("no breach seen in %d seeds without the protection", seeds)
		})
	}
}

// TestCalmRunsLeaveNothingUnknown expects every send to be told an answer or
// "not run" when nothing fails, also where sends of one id race.
func TestCalmRunsLeaveNothingUnknown(t *testing.T) {
	for seed := range uint64(40) {
		s := simulate(t, seed, variant{calm: true}, seed%2 == 0, true)
		if len(s.breaches) > 0 || s.unknown > 0 {
			t.Errorf("seed %d: %d unknown, %d answered, %d not run: %v", seed, s.unknown, s.answered, s.notRun, s.breaches)
		}
	}
}

// TestInvariantSeesDoubledRuns expects the check inside the keepers to notice,
// without the model, that two tokens ran.
func TestInvariantSeesDoubledRuns(t *testing.T) {
	before := invariant.Count(invariant.AtMostOnce)
	for seed := range uint64(600) {
		simulate(t, seed, variant{votesWithoutMemory: true, churn: true}, false, false)
		if invariant.Count(invariant.AtMostOnce) > before {
			t.Logf("seen at seed %d", seed)
			return
		}
	}
	t.Fatal("not seen")
}

// TestSmallHomeKeepsAtMostOnce is the counterpart of the watermark's variant.
func TestSmallHomeKeepsAtMostOnce(t *testing.T) {
	for seed := range uint64(40) {
		if s := simulate(t, seed, variant{maxEntries: 2}, true, false); len(s.breaches) > 0 {
			t.Fatalf("seed %d: %v", seed, s.breaches)
		}
	}
}
