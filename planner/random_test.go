package planner

import (
	"testing"

	"pgregory.net/rapid"

	"magnoliastand.example/api"
	"magnoliastand.example/fleet"
)

// randomRun is one random sequence of plans, concurrent commands and failures.
// The fleet state asserts its invariants. A violation panics, since no sink is
// set.
type randomRun struct {
	*rapid.T
	state *fleet.State
	now   fleet.Millis
}

func (c *randomRun) drawInstance() string {
	all := c.state.View().Instances
	return all[rapid.IntRange(0, len(all)-1).Draw(c.T, "instance")].ID
}

func (c *randomRun) snapshot() Snapshot {
	s := Snapshot{Now: c.now, Fleet: c.state.View()}
	for _, p := range s.Fleet.Config.Pools {
		if p.Spare {
			continue
		}
		low := rapid.Float64Range(0, 6).Draw(c.T, "low")
		s.Demand = append(s.Demand, Demand{
			Pool: p.Name, Low: low, High: low + rapid.Float64Range(0, 2).Draw(c.T, "more"), Lasting: true,
		})
	}
	if rapid.Bool().Draw(c.T, "suspect") {
		s.Suspects = []string{c.drawInstance()}
	}
	return s
}

// applyRandomCommand applies a random report of the platform or command of an
// operator. The state may refuse it.
func (c *randomRun) applyRandomCommand() {
	id := c.drawInstance()
	operator := fleet.Actor{Role: fleet.RoleOperator}
	platform := fleet.Actor{Role: fleet.RolePlatform}
	on := &fleet.InstanceCommand{Instance: id}
	cmd := rapid.SampledFrom([]fleet.Command{
		{Actor: platform, Report: &fleet.Report{Instance: id, Health: fleet.Broken}},
		{Actor: platform, Report: &fleet.Report{Instance: id, Health: fleet.Silent}},
		{Actor: platform, Report: &fleet.Report{Instance: id, Health: fleet.Healthy}},
		{Actor: operator, PermitDrain: &fleet.PermitDrain{Instance: id, Purpose: fleet.PurposeMaintenance}},
		{Actor: operator, PermitDrain: &fleet.PermitDrain{Instance: id, Purpose: fleet.PurposeMove, Target: "p001"}},
		{Actor: operator, CancelPermit: on},
		{Actor: operator, Release: on},
		{Actor: operator, ResumeWave: &fleet.WaveCommand{Wave: "standing"}},
		{Actor: operator, AbortWave: &fleet.WaveCommand{Wave: "standing"}},
		{Actor: operator, StartWave: &fleet.WaveCommand{Wave: "standing"}},
	}).Draw(c.T, "disturbance")
	cmd.At = c.now
	_, _ = c.state.Apply(cmd)
}

// TestPlanApplyFailCycles checks the invariants of the fleet state while the
// plans for two objectives, made from the same snapshot, are applied in random
// order together with failure reports and operator commands.
func TestPlanApplyFailCycles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &randomRun{T: t}
		c.state, _ = largeFleet(t, 62)
		for range rapid.IntRange(1, 25).Draw(t, "rounds") {
			c.now += fleet.Millis(rapid.IntRange(1, 400_000).Draw(t, "elapsed"))
			snap := c.snapshot()
			commands := append(Plan(snap, Kyushu()), Plan(snap, Swanbourne())...)
			for _, cmd := range rapid.Permutation(commands).Draw(t, "order") {
				if rapid.IntRange(0, 3).Draw(t, "race") == 0 {
					c.applyRandomCommand()
				}
				_, _ = c.state.Apply(cmd)
				checkDrains(t, c.state, cmd)
			}
			if rapid.Bool().Draw(t, "progress") {
				platformStep(t, c.state, c.now)
			}
		}
		c.state.CheckAll()
	})
}

// checkDrains checks that the number of drains in progress in each pool does not
// exceed the pool's budget. Failed instances are not counted.
func checkDrains(t *rapid.T, s *fleet.State, cmd fleet.Command) {
	draining := map[string]int{}
	for _, i := range s.View().Instances {
		if i.Permit != nil && (i.State == fleet.Permitted || i.State == fleet.Draining) {
			draining[i.Pool]++
		}
	}
	for pool, n := range draining {
		if n > 2 {
			t.Fatalf("pool %s has %d drains with a budget of 2 after %+v", pool, n, cmd)
		}
	}
}

// TestSecondPlannerChangesNothing checks that a second plan from a snapshot whose
// plan was already applied is refused as a whole and leaves the state unchanged.
func TestSecondPlannerChangesNothing(t *testing.T) {
	s, snap := largeFleet(t, 425)
	plan := Plan(snap, Kyushu())
	if len(plan) < 4 {
		t.Fatalf("plan has %d commands, want at least 4", len(plan))
	}
	for _, c := range plan {
		if _, err := s.Apply(c); err != nil {
			t.Errorf("%s: %v", describe(c), err)
		}
	}
	before, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range Plan(snap, Kyushu()) {
		if _, err := s.Apply(c); err == nil {
			t.Errorf("%s was accepted by a state that already has the plan", describe(c))
		}
	}
	if after, _ := s.Snapshot(); string(after) != string(before) {
		t.Error("the second plan changed the state")
	}
}

// TestStandingWaveVisitsAll runs a periodic wave for two periods and checks that
// every instance is maintained in each of them.
func TestStandingWaveVisitsAll(t *testing.T) {
	s, snap := largeFleet(t, 425)
	week := fleet.Millis(7 * 24 * 3_600_000)
	snap.Demand = nil
	rounds := map[uint64]fleet.Millis{}
	for now := fleet.Millis(1); now < 14*week; {
		snap.Now, snap.Fleet = now, s.View()
		for _, c := range Plan(snap, Swanbourne()) {
			if _, err := s.Apply(c); err != nil {
				t.Fatal(err)
			}
		}
		platformStep(t, s, now)
		w := s.View().Waves["standing"]
		if w.State == fleet.WaveFinished {
			rounds[w.Round] = w.Ended - w.Started
			checkVisited(t, s, w.Round)
			now += week
			continue
		}
		now += 60_000
	}
	if len(rounds) != 2 {
		t.Fatalf("finished rounds and their durations are %v, want 2 rounds", rounds)
	}
}

func checkVisited(t *testing.T, s *fleet.State, round uint64) {
	v := s.View()
	for _, i := range v.Instances {
		covered := false
		for _, p := range v.Config.Waves[0].Pools {
			covered = covered || p == i.Pool
		}
		if covered && i.VisitOf("standing").Round != round {
			t.Errorf("%s was not maintained in round %d", i.ID, round)
		}
	}
}

// TestTuningFollowsObjective checks the direction in which the weights of an
// objective change the tuning.
func TestTuningFollowsObjective(t *testing.T) {
	k, s := TuningOf(Kyushu()), TuningOf(Swanbourne())
	if k.Margin <= s.Margin || k.Hold >= s.Hold || k.WavesRespectDemand || !s.WavesRespectDemand {
		t.Errorf("Kyushu %+v, Swanbourne %+v", k, s)
	}
	if z := TuningOf(api.Objective{}); z.Margin <= s.Margin || z.Margin >= k.Margin {
		t.Errorf("margin without weights is not between those of Swanbourne and Kyushu: %+v", z)
	}
}
