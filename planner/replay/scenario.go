package replay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"magnoliastand.example/api"
	"magnoliastand.example/fleet"
	"magnoliastand.example/placement"
	"magnoliastand.example/planner"
)

// Sizes of both deployments.
const (
	instances       = 50
	instancesInRack = 4
	slotsEach       = 8
	minExecutors    = 8
	maxExecutors    = 12
	// mostInServices leaves at least four instances in the spare pool.
	mostInServices = 46
	// Availability budgets, in instances of each domain.
	poolBudget = 2
	rackBudget = instancesInRack
	zoneBudget = 6
	spareName  = "spare"
	waveName   = "maintenance"
)

// Deployment is one of the two fleets that policies are measured on.
type Deployment struct {
	Name      string
	Zones     []string
	Cores     int
	MemoryMB  int
	Objective api.Objective
}

// Kyushu returns the deployment with four availability zones.
func Kyushu() Deployment {
	return Deployment{
		Name: "Kyushu", Zones: []string{"fukuoka", "kumamoto", "kagoshima", "oita"},
		Cores: 64, MemoryMB: 128_000, Objective: planner.Kyushu(),
	}
}

// Swanbourne returns the deployment with three availability zones.
func Swanbourne() Deployment {
	return Deployment{
		Name: "Swanbourne", Zones: []string{"osborne", "welshpool", "joondalup"},
		Cores: 32, MemoryMB: 64_000, Objective: planner.Swanbourne(),
	}
}

// team is one customer of a scenario.
type team struct {
	name  string
	share float64
	// part is the fraction of all work that the team submits.
	part float64
}

var teams = []team{
	{"a", 3, 0.34}, {"b", 3, 0.28}, {"c", 2, 0.14}, {"d", 2, 0.10}, {"e", 1, 0.08}, {"f", 1, 0.06},
}

// service is one service of a scenario with its pool of the same name.
type service struct {
	name string
	// executors is the size of the pool in fixed operation.
	executors int
	// load is the mean demand in busy instances.
	load float64
	// sizeError and runError are how far declarations are off, by team.
	sizeError []float64
	runError  []float64
}

// scenario is everything that a seed decides before any policy acts.
type scenario struct {
	dep      Deployment
	seed     uint64
	services []service
	// bad lists workers that fail everything from a time on.
	bad map[string]placement.Millis
	// weakRack is the rack whose first reboots fail.
	weakRack string
	// powerLoss is when darkRack loses power.
	powerLoss placement.Millis
	darkRack  string
	// failures holds times of single failures by instance.
	failures map[string]placement.Millis
}

func newScenario(d Deployment, seed uint64, length placement.Millis) *scenario {
	rng := rand.New(rand.NewPCG(seed, 1))
	sc := &scenario{
		dep: d, seed: seed,
		bad: map[string]placement.Millis{}, failures: map[string]placement.Millis{},
	}
	left := mostInServices
	for n, name := range []string{"quotes", "bookings", "allocations", "rosters", "claims"} {
		others := (4 - n) * minExecutors
		size := min(minExecutors+rng.IntN(maxExecutors-minExecutors+1), left-others)
		left -= size
		sc.services = append(sc.services, newService(rng, name, size))
	}
	for range 2 {
		sc.bad[instanceID(rng.IntN(instances))] = placement.Millis(rng.Int64N(int64(length)))
	}
	for range 3 {
		sc.failures[instanceID(rng.IntN(instances))] = placement.Millis(rng.Int64N(int64(length)))
	}
	sc.weakRack = rackOf(rng.IntN(instances), d)
	sc.darkRack = rackOf(rng.IntN(instances), d)
	sc.powerLoss = placement.Millis(rng.Int64N(int64(length)))
	return sc
}

func newService(rng *rand.Rand, name string, size int) service {
	s := service{name: name, executors: size, load: float64(size) * (0.22 + 0.06*rng.Float64())}
	for range teams {
		s.sizeError = append(s.sizeError, spread(rng, 0.7, 0.25, 3))
		s.runError = append(s.runError, spread(rng, 0.9, 0.2, 5))
	}
	return s
}

// spread draws a log-normal factor around 1 within bounds.
func spread(rng *rand.Rand, sigma, low, high float64) float64 {
	return min(max(math.Exp(sigma*rng.NormFloat64()), low), high)
}

func instanceID(n int) string { return fmt.Sprintf("w%02d", n) }

func zoneOf(n int, d Deployment) string { return d.Zones[n/instancesInRack%len(d.Zones)] }

func rackName(n int) string { return fmt.Sprintf("r%02d", n/instancesInRack) }

func rackOf(n int, d Deployment) string { return zoneOf(n, d) + "/" + rackName(n) }

// config returns the fleet's configuration.
func (sc *scenario) config() fleet.Config {
	c := fleet.Config{
		Pools: []api.Pool{{Name: spareName, Spare: true}},
		Budgets: []api.Budget{
			{Scope: api.ScopePool, MaxUnavailable: poolBudget},
			{Scope: api.ScopeRack, MaxUnavailable: rackBudget},
			{Scope: api.ScopeZone, MaxUnavailable: zoneBudget},
		},
		Objective: sc.dep.Objective,
	}
	wave := api.Wave{
		Name: waveName, Pools: []string{spareName}, Canary: 2, MaxBatch: 12,
		DrainTimeout:      api.Duration(5 * time.Minute),
		RebootTimeout:     api.Duration(5 * time.Minute),
		StopAfterFailures: 2,
	}
	for _, s := range sc.services {
		c.Pools = append(c.Pools, api.Pool{Name: s.name, MinInstances: 4, MaxInstances: 16})
		wave.Pools = append(wave.Pools, s.name)
	}
	c.Waves = []api.Wave{wave}
	return c
}

// firstPools returns the pool of each instance at the start. Neighbours in a
// rack go to different pools.
func (sc *scenario) firstPools() []string {
	left := make([]int, len(sc.services))
	for n := range sc.services {
		left[n] = sc.services[n].executors
	}
	out := make([]string, instances)
	at := 0
	for n := range out {
		out[n] = spareName
		for range left {
			at = (at + 1) % len(left)
			if left[at] > 0 {
				left[at]--
				out[n] = sc.services[at].name
				break
			}
		}
	}
	return out
}
