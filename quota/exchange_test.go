package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// exchangeOff disables parts of the exchange, to show that its check matters.
type exchangeOff struct {
	confirm bool // every renewal and demand counts as confirmed once sent
}

// exchangeRun drives one holder and its balancers through lost, crossed and
// repeated messages and changes of leader. After two rounds without faults both
// sides know the same; it returns an error if not.
func exchangeRun(seed uint64, steps int, off exchangeOff) error {
	rng := rand.New(rand.NewPCG(seed, 5))
	b := newBench(1, 50)
	h := b.holders[0]
	var demands []Demand
	var renewals []Renewal
	demand := func() Demand {
		d := h.Demand()
		if off.confirm {
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
			b.ledger.SetLimits([]TeamLimit{{"team-0", limit}, {"team-1", 4}, {"team-2", limit}, {"team-3", 2}})
		case 4:
			demands = append(demands, demand())
		case 5:
			if len(demands) > 0 {
				b.balancer.Report(&demands[rng.IntN(len(demands))])
			}
			c := b.balancer.Plan(b.ledger, b.now)
			b.index++
			b.ledger.Apply(&c)
			if r, ok := b.balancer.Renewal(b.ledger, "z0", 1, b.index); ok {
				renewals = append(renewals, r)
			}
		case 6:
			if len(renewals) > 0 {
				h.Renew(&renewals[rng.IntN(len(renewals))], b.now)
			}
		case 7:
			if rng.IntN(4) == 0 {
				b.balancer = NewBalancer(b.balancer.epoch + 1)
			}
		}
	}
	for range 3 {
		d := demand()
		b.balancer.Report(&d)
		b.index++
		r, _ := b.balancer.Renewal(b.ledger, "z0", 1, b.index)
		h.Renew(&r, b.now)
	}
	return b.agree(h)
}

// agree compares what the holder and the leader know of each other.
func (b *bench) agree(h *Holder) error {
	full, _ := b.ledger.Renewal("z0", 1, b.index)
	for _, r := range full.Teams {
		t := h.team(r.Team)
		if t.granted != r.Granted || t.frozen != r.Frozen {
			return fmt.Errorf("%s: holder has %+v, ledger %+v", r.Team, *t, r)
		}
	}
	for name, t := range h.teams {
		if got := b.balancer.sessions["z0"].teams[name]; got != t.reported || got.Returned != t.returned {
			return fmt.Errorf("%s: balancer has %+v, holder %+v", name, got, *t)
		}
	}
	return nil
}

func TestExchangeSurvivesLossAndCrossing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		if err := exchangeRun(seed, rapid.IntRange(10, 300).Draw(t, "steps"), exchangeOff{}); err != nil {
			t.Fatal(err)
		}
	})
}

func TestExchangeCheckerCatchesMissingConfirmation(t *testing.T) {
	for seed := range uint64(200) {
		if exchangeRun(seed, 200, exchangeOff{confirm: true}) != nil {
			t.Logf("confirmation off: breach with seed %d", seed)
			return
		}
	}
	t.Fatal("no breach found")
}
