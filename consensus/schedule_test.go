package consensus_test

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"

	"magnoliastand.example/consensus"
)

// Fixed seed and number of the random schedules.
const (
	rapidSeed   = "20261204"
	rapidChecks = "1500"
	rapidSteps  = "40"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{
		"rapid.seed": rapidSeed, "rapid.checks": rapidChecks, "rapid.steps": rapidSteps, "rapid.nofailfile": "true", "rapid.shrinktime": "5s",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// actions are the moves of a schedule. Each is followed by a random number of
// ticks and deliveries.
func (s *sim) actions() map[string]func() {
	return map[string]func(){
		"propose":    s.propose,
		"propose2":   s.propose,
		"read":       s.read,
		"compact":    s.compact,
		"crash":      s.crash,
		"restart":    s.restart,
		"partition":  s.partition,
		"heal":       s.heal,
		"freeze":     s.freeze,
		"lose disk":  s.loseDisk,
		"change":     s.change,
		"change2":    s.change,
		"lossy":      func() { s.lossy = !s.lossy },
		"run":        func() { s.run(60) },
		"long quiet": func() { s.run(400) },
	}
}

// settle mends all faults and expects the cluster to make progress on every
// member that has a disk.
func (s *sim) settle() {
	s.lossy, s.crashes = false, false
	s.heal()
	s.restart()
	goal := uint64(0)
	for i := range 200 {
		s.run(200)
		s.restart()
		if len(s.check.faults) > 0 {
			return
		}
		if goal == 0 || i%20 == 0 {
			goal = s.goal()
		}
		if goal > 0 && s.reached(goal) {
			return
		}
	}
	s.check.fault("no progress after all faults are mended: goal %d, committed %d", goal, s.check.max)
	for _, n := range s.nodes {
		if n.core != nil {
			s.check.faults[0] += fmt.Sprintf("\n%+v", n.core.Status())
		}
	}
}

// goal proposes an entry and returns its index, or zero.
func (s *sim) goal() uint64 {
	n := s.leader()
	if n == nil {
		return 0
	}
	index, _, err := n.core.Propose([]byte("goal"))
	s.turn(n)
	if err != nil {
		return 0
	}
	return index
}

// reached reports whether all members have applied the entry at index.
func (s *sim) reached(index uint64) bool {
	n := s.leader()
	if n == nil {
		return false
	}
	for _, m := range n.core.Status().Members {
		peer := s.byID(m.ID)
		if s.lost[m.ID] {
			continue
		}
		if peer.core == nil || peer.core.Status().Applied < index {
			return false
		}
	}
	return true
}

// TestRandomSchedules runs thousands of random schedules with all faults.
func TestRandomSchedules(t *testing.T) {
	restoreSink(t)
	var seen events
	defer func() { t.Logf("%+v", seen) }()
	rapid.Check(t, func(t *rapid.T) {
		voters := rapid.SampledFrom([]int{1, 3, 3, 5}).Draw(t, "voters")
		s := newSim(rapid.Uint64().Draw(t, "seed"), voters, consensus.Off{}, callerFaults{})
		s.crashes = true
		actions := make(map[string]func(*rapid.T))
		for name, act := range s.actions() {
			actions[name] = func(*rapid.T) {
				act()
				s.run(s.rnd.IntN(40))
			}
		}
		actions[""] = func(t *rapid.T) {
			if len(s.check.faults) > 0 {
				t.Fatal(s.check.faults[0])
			}
		}
		t.Repeat(actions)
		s.settle()
		actions[""](t)
		seen.add(s.check.seen)
	})
}

// random runs one schedule without rapid and returns its first fault. A panic
// after a breach counts as that breach.
func random(seed uint64, off consensus.Off, caller callerFaults) (fault string) {
	s := newSim(seed, 3, off, caller)
	s.crashes = true
	defer func() {
		if r := recover(); r != nil {
			fault = fmt.Sprint(r)
		}
		if len(s.check.faults) > 0 {
			fault = s.check.faults[0]
		}
	}()
	names := []string{
		"propose", "propose", "read", "compact", "crash", "restart", "restart", "partition", "heal", "freeze",
		"lose disk", "change", "change", "lossy", "run", "long quiet",
	}
	actions := s.actions()
	for range 120 {
		actions[names[s.rnd.IntN(len(names))]]()
		s.run(s.rnd.IntN(40))
		if len(s.check.faults) > 0 {
			return ""
		}
	}
	return ""
}
