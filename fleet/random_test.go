package fleet

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"magnoliastand.example/api"
	"magnoliastand.example/invariant"
)

const testWave = "kernel"

// TestMain sets a fixed seed for rapid unless -rapid.seed is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := f.Value.Set("20261204"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func testConfig() Config {
	return Config{
		Pools: []api.Pool{
			{Name: "spare", Spare: true}, {Name: "quotes", MinInstances: 1}, {Name: "rosters", MaxInstances: 4},
		},
		Budgets: []api.Budget{
			{Scope: api.ScopePool, MaxUnavailable: 2},
			{Scope: api.ScopePool, Name: "quotes", MaxUnavailable: 1},
			{Scope: api.ScopeRack, MaxUnavailable: 2},
			{Scope: api.ScopeZone, Name: "z0", MaxUnavailable: 3},
		},
		Waves: []api.Wave{{
			Name: testWave, Pools: []string{"spare", "quotes", "rosters"},
			Canary: 1, MaxBatch: 3, StopAfterFailures: 2,
		}},
	}
}

// newFleet returns a state with 12 active instances in 2 zones, 2 per rack.
func newFleet(t interface{ Fatal(...any) }) *State {
	s := New()
	cmds := []Command{{SetConfig: &SetConfig{Version: 1, Config: testConfig()}}}
	pools := []string{"spare", "quotes", "rosters"}
	for n := range 12 {
		id := fmt.Sprintf("w%02d", n)
		pool := pools[n%3]
		cmds = append(cmds,
			Command{Register: &Register{
				Instance: id, Zone: fmt.Sprintf("z%d", n%2), Rack: fmt.Sprintf("r%d", n/4), Pool: pool, Boot: "0",
			}},
			Command{Join: &Join{Instance: id, Pool: pool}})
	}
	for _, c := range cmds {
		c.Actor.Role = RoleOperator
		if _, err := s.Apply(c); err != nil {
			t.Fatal(err)
		}
	}
	return s
}

// drawCommand draws a random command from a planner, an operator or the platform.
func drawCommand(t *rapid.T, at Millis) Command {
	id := fmt.Sprintf("w%02d", rapid.IntRange(0, 11).Draw(t, "id"))
	pool := rapid.SampledFrom([]string{"spare", "quotes", "rosters"}).Draw(t, "pool")
	from := rapid.SampledFrom([]string{"spare", "quotes", "rosters"}).Draw(t, "from")
	body := &InstanceCommand{Instance: id}
	wave := &WaveCommand{Wave: testWave}
	bodies := []Command{
		{PermitDrain: &PermitDrain{Instance: id, Purpose: PurposeMove, Target: pool}},
		{PermitDrain: &PermitDrain{Instance: id, Purpose: PurposeMaintenance}},
		{PermitDrain: &PermitDrain{Instance: id, Purpose: PurposeMaintenance, Wave: testWave}},
		{BeginDrain: body}, {ConfirmDrained: body}, {ConfirmDrained: body}, {BeginReboot: body},
		{ConfirmReboot: &ConfirmReboot{Instance: id, Boot: fmt.Sprint(at)}},
		{ChangePool: &ChangePool{Instance: id, From: from, To: pool}},
		{Join: &Join{Instance: id, Pool: pool}}, {Join: &Join{Instance: id, Pool: pool}},
		{CancelPermit: body}, {Quarantine: body}, {Release: body},
		{Report: &Report{Instance: id, Health: Broken}},
		{Report: &Report{Instance: id, Health: Silent}},
		{Report: &Report{Instance: id, Health: Healthy}},
		{Pin: &Pin{Instance: id, Pinned: at%2 == 0}},
		{StartWave: wave}, {PauseWave: wave}, {ResumeWave: wave}, {AbortWave: wave},
	}
	c := rapid.SampledFrom(bodies).Draw(t, "body")
	c.At = at
	c.Reason = rapid.SampledFrom([]string{"", "x" + strings.Repeat("é", maxReasonBytes)}).Draw(t, "reason")
	c.Actor.Role = rapid.SampledFrom([]Role{RolePlanner, RoleOperator, RolePlatform}).Draw(t, "role")
	return c
}

// runRandom applies random commands to two replicas, one of which is repeatedly
// restored from snapshots, and compares their results and snapshots.
func runRandom(t *rapid.T, s *State) {
	replica := New()
	replica.skipBudgetCheck = s.skipBudgetCheck
	restore(t, replica, s)
	var at Millis
	steps := rapid.IntRange(1, 120).Draw(t, "steps")
	for range steps {
		at += Millis(rapid.IntRange(0, 200_000).Draw(t, "elapsed"))
		b, err := EncodeCommand(drawCommand(t, at))
		if err != nil {
			t.Fatal(err)
		}
		first, err := s.ApplyBytes(b)
		if err != nil {
			t.Fatal(err)
		}
		second, _ := replica.ApplyBytes(b)
		if !bytes.Equal(first, second) {
			t.Fatalf("replicas returned different results: %x and %x", first, second)
		}
		checkWavePermits(t, s)
		if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
			restore(t, replica, s)
		}
	}
	s.CheckAll()
	restore(t, replica, s)
}

// restore compares the snapshots of src and dst and restores dst from that of
// src. An empty dst is not compared.
func restore(t *rapid.T, dst, src *State) {
	want, err := src.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if have, _ := dst.Snapshot(); len(dst.sortedIDs) > 0 && !bytes.Equal(have, want) {
		t.Fatal("replicas have different snapshots")
	}
	if err := dst.Restore(want); err != nil {
		t.Fatal(err)
	}
	if again, _ := dst.Snapshot(); !bytes.Equal(again, want) {
		t.Fatal("snapshot differs after restore")
	}
}

// checkWavePermits checks the number of permits in a wave without using
// WaveRun.PermitLimit or the indexes.
func checkWavePermits(t *rapid.T, s *State) {
	permits := 0
	for _, i := range s.instances {
		if i.Permit != nil && i.Permit.Wave == testWave {
			permits++
		}
	}
	run := s.waves[testWave]
	if run == nil {
		return
	}
	if permits > 3 || (run.Round == 1 && run.Done == 0 && permits > 1) {
		t.Fatalf("wave holds %d permits after %d maintained instances", permits, run.Done)
	}
}

func TestRandomCommandsKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runRandom(t, newFleet(t)) })
}

// TestInvariantDetectsSkippedBudgetCheck verifies that the random commands exceed
// a budget if Apply does not check budgets, and that the invariant check detects
// it. Otherwise TestRandomCommandsKeepInvariants would prove nothing.
func TestInvariantDetectsSkippedBudgetCheck(t *testing.T) {
	breaches := 0
	old := invariant.SetSink(func(b invariant.Breach) {
		if b.Invariant == invariant.AvailabilityBudget {
			breaches++
		}
	})
	defer func() { invariant.SetSink(old) }()
	rapid.Check(t, func(t *rapid.T) {
		s := newFleet(t)
		s.skipBudgetCheck = true
		runRandom(t, s)
	})
	if breaches == 0 {
		t.Fatal("no budget violation detected with the budget check disabled")
	}
}

// TestCheckAllDetectsInstanceInTwoPools adds an instance to the member set of a
// second pool.
func TestCheckAllDetectsInstanceInTwoPools(t *testing.T) {
	breaches := 0
	old := invariant.SetSink(func(invariant.Breach) { breaches++ })
	defer func() { invariant.SetSink(old) }()
	s := newFleet(t)
	s.members["spare"]["w01"] = struct{}{}
	if s.CheckAll() || breaches == 0 {
		t.Fatal("CheckAll did not detect an instance in two pools")
	}
}

func FuzzApplyBytes(f *testing.F) {
	for _, c := range []Command{
		{Actor: Actor{Role: RolePlanner}, PermitDrain: &PermitDrain{Instance: "w00", Purpose: PurposeMaintenance}},
		{Actor: Actor{Role: RoleOperator}, StartWave: &WaveCommand{Wave: testWave}},
		{Actor: Actor{Role: RoleOperator}, SetConfig: &SetConfig{Version: 2, Config: testConfig()}},
	} {
		b, err := EncodeCommand(c)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		s := newFleet(t)
		before, _ := s.Snapshot()
		if _, err := s.ApplyBytes(b); err != nil {
			if after, _ := s.Snapshot(); !bytes.Equal(before, after) {
				t.Fatal("undecodable bytes changed the state")
			}
			return
		}
		s.CheckAll()
		after, err := s.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if err := New().Restore(after); err != nil {
			t.Fatal(err)
		}
	})
}
