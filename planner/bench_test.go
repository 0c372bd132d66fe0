package planner

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"magnoliastand.example/api"
	"magnoliastand.example/fleet"
)

// TestMain sets a fixed seed for property tests unless a seed is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := f.Value.Set("20261204"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// largeFleet returns a fleet of n workers in 21 zones with 4 workers per rack and
// about 15 workers per pool, a running wave, and a demand for every pool.
func largeFleet(tb interface{ Fatal(...any) }, n int) (*fleet.State, Snapshot) {
	pools := n * 110 / 1700
	c := fleet.Config{
		Pools: []api.Pool{{Name: "spare", Spare: true}},
		Budgets: []api.Budget{
			{Scope: api.ScopePool, MaxUnavailable: 2}, {Scope: api.ScopeRack, MaxUnavailable: 4},
			{Scope: api.ScopeZone, MaxUnavailable: 10},
		},
	}
	w := api.Wave{Name: "standing", Canary: 2, MaxBatch: 64, StopAfterFailures: 3, Period: api.Duration(7 * 7 * 24 * time.Hour)}
	for p := 1; p < pools; p++ {
		name := fmt.Sprintf("p%03d", p)
		c.Pools = append(c.Pools, api.Pool{Name: name, MinInstances: 4})
		c.Budgets = append(c.Budgets, api.Budget{Scope: api.ScopePool, Name: name, MaxUnavailable: 2})
		w.Pools = append(w.Pools, name)
	}
	c.Waves = []api.Wave{w}
	s := fleet.New()
	cmds := []fleet.Command{{SetConfig: &fleet.SetConfig{Version: 1, Config: c}}}
	for k := range n {
		id, pool := fmt.Sprintf("w%04d", k), c.Pools[k%pools].Name
		cmds = append(cmds,
			fleet.Command{Register: &fleet.Register{
				Instance: id, Zone: fmt.Sprintf("z%02d", k/4%21), Rack: fmt.Sprintf("r%03d", k/4), Pool: pool,
			}},
			fleet.Command{Join: &fleet.Join{Instance: id, Pool: pool}})
	}
	cmds = append(cmds, fleet.Command{StartWave: &fleet.WaveCommand{Wave: "standing"}})
	snap := Snapshot{Now: 1}
	applyAll(tb, s, cmds)
	snap.Fleet = s.View()
	for k, p := range c.Pools[1:] {
		need := float64(2 + k%7)
		snap.Demand = append(snap.Demand, Demand{Pool: p.Name, Level: need, Low: need, High: need, Lasting: true})
	}
	return s, snap
}

func applyAll(tb interface{ Fatal(...any) }, s *fleet.State, cmds []fleet.Command) {
	for _, c := range cmds {
		c.Actor.Role = fleet.RoleOperator
		if _, err := s.Apply(c); err != nil {
			tb.Fatal(err)
		}
	}
}

// BenchmarkPlan measures one plan, including the view of the state, by the number
// of workers and by the canary size, which limits the number of drains in a plan.
func BenchmarkPlan(b *testing.B) {
	for _, canary := range []int{2, 64} {
		for _, n := range []int{425, 850, 1700} {
			b.Run(fmt.Sprintf("canary=%d/workers=%d", canary, n), func(b *testing.B) {
				s, snap := largeFleet(b, n)
				snap.Fleet.Config.Waves[0].Canary = canary
				cmds := 0
				b.ReportAllocs()
				for b.Loop() {
					snap.Fleet = s.View()
					cmds = len(Plan(snap, Kyushu()))
				}
				b.ReportMetric(float64(cmds), "commands")
			})
		}
	}
}
