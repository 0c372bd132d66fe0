package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// exchangeFaults selects faults in the exchange that its checker must detect.
type exchangeFaults struct {
	assumeConfirmed bool // every renewal and demand counts as confirmed when sent
}

// runExchange drives one holder and its balancers through lost, reordered and
// repeated messages and leader changes. It returns an error unless both sides
// have the same state after the final rounds without faults.
func runExchange(seed uint64, steps int, faults exchangeFaults) error {
	rng := rand.New(rand.NewPCG(seed, 5))
	tc := newTestCluster(1, 50)
	h := tc.holders[0]
	var demands []Demand
	var renewals []Renewal
	demand := func() Demand {
		d := h.Demand()
		if faults.assumeConfirmed {
			h.exchange.confirmedDemand = d.Seq
			d.AppliedRenewal = 1 << 40
		}
		return d
	}
	for range steps {
		team := fmt.Sprintf("team-%d", rng.IntN(4))
		switch rng.IntN(8) {
		case 0:
			h.SetWaiting(team, int64(rng.IntN(4)))
		case 1:
			h.Acquire(team)
		case 2:
			h.Release(team)
		case 3:
			limit := int64(rng.IntN(9))
			tc.ledger.SetLimits([]TeamLimit{{"team-0", limit}, {"team-1", 4}, {"team-2", limit}, {"team-3", 2}})
		case 4:
			demands = append(demands, demand())
		case 5:
			if len(demands) > 0 {
				tc.balancer.Report(&demands[rng.IntN(len(demands))])
			}
			c := tc.balancer.Plan(tc.ledger, tc.now)
			tc.index++
			tc.ledger.Apply(&c)
			if r, ok := tc.balancer.Renewal(tc.ledger, "z0", 1, tc.index); ok {
				renewals = append(renewals, r)
			}
		case 6:
			if len(renewals) > 0 {
				h.Renew(&renewals[rng.IntN(len(renewals))], tc.now)
			}
		case 7:
			if rng.IntN(4) == 0 {
				tc.balancer = NewBalancer(tc.balancer.epoch + 1)
			}
		}
	}
	for range 3 {
		d := demand()
		tc.balancer.Report(&d)
		tc.index++
		r, _ := tc.balancer.Renewal(tc.ledger, "z0", 1, tc.index)
		h.Renew(&r, tc.now)
	}
	return tc.compareState(h)
}

// compareState returns an error if the states of the holder and the leader differ.
func (tc *testCluster) compareState(h *Holder) error {
	full, _ := tc.ledger.Renewal("z0", 1, tc.index)
	for _, r := range full.Teams {
		t := h.team(r.Team)
		if t.granted != r.Granted || t.frozen != r.Frozen {
			return fmt.Errorf("%s: holder has %+v, ledger %+v", r.Team, *t, r)
		}
	}
	for name, t := range h.teams {
		if got := tc.balancer.sessions["z0"].teams[name]; got != t.reported || got.Returned != t.returned {
			return fmt.Errorf("%s: balancer has %+v, holder %+v", name, got, *t)
		}
	}
	return nil
}

func TestExchangeConvergesAfterLossAndReordering(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		if err := runExchange(seed, rapid.IntRange(10, 300).Draw(t, "steps"), exchangeFaults{}); err != nil {
			t.Fatal(err)
		}
	})
}

func TestExchangeCheckerDetectsMissingConfirmation(t *testing.T) {
	for seed := range uint64(200) {
		if runExchange(seed, 200, exchangeFaults{assumeConfirmed: true}) != nil {
			t.Logf("confirmation disabled: violation with seed %d", seed)
			return
		}
	}
	t.Fatal("no violation found")
}
