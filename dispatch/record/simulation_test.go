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

// simulate sends 40 ids up to 4 times each within 20 s. Two in three sends of
// an id are made at once, to several daemons; the rest follow some seconds
// later.
func simulate(t *testing.T, seed uint64, v variant, issuedIDs, noFaults bool) *sim {
	var s *sim
	synctest.Test(t, func(*testing.T) {
		s = newSim(seed, v)
		s.faultFree = v.faultFree
		var wg sync.WaitGroup
		start := time.Now()
		if !noFaults {
			wg.Go(func() { s.faults(start.Add(20 * time.Second)) })
		}
		for i := range 40 {
			id := fmt.Sprintf("own-%d", i)
			if issuedIDs {
				id = s.nodes[s.intn(len(s.nodes))].service.IssueID()
			}
			at := s.randomDuration(10 * time.Second)
			for range 1 + s.intn(4) {
				n := s.nodes[s.intn(len(s.nodes))]
				if s.intn(3) == 0 {
					at += s.randomDuration(6 * time.Second)
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
		time.Sleep(time.Minute) // messages in transit arrive
	})
	return s
}

// checkUnseen refuses a caller without a key. ConfirmUnseen must not report an
// id that ran before.
func (s *sim) checkUnseen(service *Service, c *Claim) {
	s.mu.Lock()
	ran := s.runs[c.ID]
	s.mu.Unlock()
	if service.ConfirmUnseen(context.Background(), c) && ran > 0 {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.violation("%s was reported as unseen after it ran", c.ID)
	}
}

func TestRandomRunsStartAtMostOnce(t *testing.T) {
	var answered, notRun, unknown, inherited int
	before := invariant.Count(invariant.AtMostOnce)
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		issuedIDs := rapid.Bool().Draw(rt, "issuedIDs")
		noFaults := rapid.Bool().Draw(rt, "noFaults")
		churn := rapid.Bool().Draw(rt, "churn")
		s := simulate(t, seed, variant{churn: churn}, issuedIDs, noFaults)
		if len(s.violations) > 0 || invariant.Count(invariant.AtMostOnce) != before {
			rt.Fatalf("violations: %v, detected by invariants: %d", s.violations, invariant.Count(invariant.AtMostOnce)-before)
		}
		answered, notRun, unknown = answered+s.answered, notRun+s.notRun, unknown+s.unknown
		inherited += s.inherited
	})
	outcomes := fmt.Sprintf("%d answered, %d not run, %d unknown, %d hand-overs", answered, notRun, unknown, inherited)
	if answered == 0 || notRun == 0 || unknown == 0 || inherited == 0 {
		t.Fatal("the runs do not cover all outcomes: " + outcomes)
	}
	t.Log(outcomes)
}

// TestSimulationDetectsDisabledProtections runs the same simulation with one
// protection disabled and expects the model to detect a violation.
func TestSimulationDetectsDisabledProtections(t *testing.T) {
	cases := []struct {
		name      string
		variant   variant
		issuedIDs bool
	}{
		{"acceptors without their records do not abstain", variant{abstentionDisabled: true}, false},
		{"home has no watermark", variant{watermarkDisabled: true, maxEntries: 2}, true},
		{"records are used after the hand-over, issued ids", variant{decidesAfterHandOver: true}, true},
		{"records are used after the hand-over, caller-chosen ids", variant{decidesAfterHandOver: true}, false},
		{"a hand-over ends the abstention", variant{endsAbstention: true, churn: true}, false},
		{"refusals are ignored, issued ids", variant{refusalCheckDisabled: true}, true},
		{"refusals are ignored, caller-chosen ids", variant{refusalCheckDisabled: true}, false},
	}
	const seeds = 600
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				if s := simulate(t, seed, c.variant, c.issuedIDs, false); len(s.violations) > 0 {
					t.Logf("seed %d: %s", seed, s.violations[0])
					return
				}
			}
			t.Fatalf("no violation detected in %d seeds without the protection", seeds)
		})
	}
}

// TestFaultFreeRunsLeaveNothingUnknown expects every send to return an answer
// or "not run" when no fault occurs, including concurrent sends of one id.
func TestFaultFreeRunsLeaveNothingUnknown(t *testing.T) {
	for seed := range uint64(40) {
		s := simulate(t, seed, variant{faultFree: true}, seed%2 == 0, true)
		if len(s.violations) > 0 || s.unknown > 0 {
			t.Errorf("seed %d: %d unknown, %d answered, %d not run: %v", seed, s.unknown, s.answered, s.notRun, s.violations)
		}
	}
}

// TestInvariantDetectsDoubleRun expects the invariant check inside the stores
// to detect, without the model, that two tokens ran.
func TestInvariantDetectsDoubleRun(t *testing.T) {
	before := invariant.Count(invariant.AtMostOnce)
	for seed := range uint64(600) {
		simulate(t, seed, variant{abstentionDisabled: true, churn: true}, false, false)
		if invariant.Count(invariant.AtMostOnce) > before {
			t.Logf("detected at seed %d", seed)
			return
		}
	}
	t.Fatal("no double run detected")
}

// TestHomeWithFewEntriesKeepsAtMostOnce runs with the same small home as the
// disabled watermark, but with the watermark in place.
func TestHomeWithFewEntriesKeepsAtMostOnce(t *testing.T) {
	for seed := range uint64(40) {
		if s := simulate(t, seed, variant{maxEntries: 2}, true, false); len(s.violations) > 0 {
			t.Fatalf("seed %d: %v", seed, s.violations)
		}
	}
}
