package fleet

import (
	"fmt"
	"testing"

	"magnoliastand.example/api"
)

// newFleetOfSize returns a state with n active instances in pools of about 15.
func newFleetOfSize(b *testing.B, n int) *State {
	s := New()
	c := Config{Budgets: []api.Budget{{Scope: api.ScopePool, MaxUnavailable: 2}}}
	pools := n * 110 / 1700
	for p := range pools {
		c.Pools = append(c.Pools, api.Pool{Name: fmt.Sprintf("p%03d", p)})
	}
	cmds := []Command{{SetConfig: &SetConfig{Version: 1, Config: c}}}
	for k := range n {
		id, pool := fmt.Sprintf("w%04d", k), c.Pools[k%pools].Name
		cmds = append(cmds,
			Command{Register: &Register{Instance: id, Zone: fmt.Sprint(k % 21), Rack: fmt.Sprint(k / 4), Pool: pool}},
			Command{Join: &Join{Instance: id, Pool: pool}})
	}
	for _, cmd := range cmds {
		cmd.Actor.Role = RoleOperator
		if _, err := s.Apply(cmd); err != nil {
			b.Fatal(err)
		}
	}
	return s
}

// BenchmarkApply measures a cycle of permit, cancel and join, as encoded commands.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{425, 850, 1700} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newFleetOfSize(b, n)
			actor := Actor{Role: RolePlanner}
			var encoded [][]byte
			for _, c := range []Command{
				{Actor: actor, PermitDrain: &PermitDrain{Instance: "w0007", Purpose: PurposeMaintenance}},
				{Actor: actor, CancelPermit: &InstanceCommand{Instance: "w0007"}},
				{Actor: actor, Join: &Join{Instance: "w0007", Pool: "p007"}},
			} {
				e, err := EncodeCommand(c)
				if err != nil {
					b.Fatal(err)
				}
				encoded = append(encoded, e)
			}
			b.ReportAllocs()
			for b.Loop() {
				for _, e := range encoded {
					if _, err := s.ApplyBytes(e); err != nil {
						b.Fatal(err)
					}
				}
			}
		})
	}
}

// BenchmarkSnapshot measures encoding a snapshot in which the history of every
// instance has maxHistory entries.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{425, 850, 1700} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newFleetOfSize(b, n)
			for _, id := range s.sortedIDs {
				i := s.instances[id].clone()
				for len(i.History) < maxHistory {
					i.History = append(i.History, i.History[0])
				}
				s.put(i)
			}
			size := 0
			for b.Loop() {
				out, err := s.Snapshot()
				if err != nil {
					b.Fatal(err)
				}
				size = len(out)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
