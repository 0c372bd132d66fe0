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

// Sizes that both deployments share.
const (
	instances        = 50
	instancesPerRack = 4
	slotsPerInstance = 8
	minExecutors     = 8
	maxExecutors     = 12
	// maxServiceInstances leaves at least four instances in the spare pool.
	maxServiceInstances = 46
	// Availability budgets: maximum unavailable instances per failure domain.
	poolBudget = 2
	rackBudget = instancesPerRack
	zoneBudget = 6
	sparePool  = "spare"
	waveName   = "maintenance"
)

// Deployment describes a fleet on which policies are measured.
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

// team is a team that submits work.
type team struct {
	name  string
	share float64
	// taskFraction is the fraction of tasks that the team submits.
	taskFraction float64
}

var teams = []team{
	{"a", 3, 0.34}, {"b", 3, 0.28}, {"c", 2, 0.14}, {"d", 2, 0.10}, {"e", 1, 0.08}, {"f", 1, 0.06},
}

// service is a service with a pool of the same name.
type service struct {
	name string
	// executors is the initial size of the pool, in instances.
	executors int
	// meanDemand is the mean demand, in busy instances.
	meanDemand float64
	// sizeError and runError are the ratios of actual to declared size and run time
	// of long tasks, by team.
	sizeError []float64
	runError  []float64
}

// scenario holds everything that is drawn from the seed before the replay starts.
type scenario struct {
	deployment Deployment
	seed       uint64
	services   []service
	// faultyFrom holds, by worker, the time from which the worker fails all tasks.
	faultyFrom map[string]placement.Millis
	// rebootFailureRack is the rack in which the first reboot of each instance
	// fails.
	rebootFailureRack string
	// powerLossAt is the time at which powerLossRack loses power.
	powerLossAt   placement.Millis
	powerLossRack string
	// failAt holds the times of failures of single instances.
	failAt map[string]placement.Millis
}

func newScenario(d Deployment, seed uint64, length placement.Millis) *scenario {
	rng := rand.New(rand.NewPCG(seed, 1))
	sc := &scenario{
		deployment: d, seed: seed,
		faultyFrom: map[string]placement.Millis{}, failAt: map[string]placement.Millis{},
	}
	left := maxServiceInstances
	for n, name := range []string{"quotes", "bookings", "allocations", "rosters", "claims"} {
		others := (4 - n) * minExecutors
		size := min(minExecutors+rng.IntN(maxExecutors-minExecutors+1), left-others)
		left -= size
		sc.services = append(sc.services, newService(rng, name, size))
	}
	for range 2 {
		sc.faultyFrom[instanceID(rng.IntN(instances))] = placement.Millis(rng.Int64N(int64(length)))
	}
	for range 3 {
		sc.failAt[instanceID(rng.IntN(instances))] = placement.Millis(rng.Int64N(int64(length)))
	}
	sc.rebootFailureRack = rackOf(rng.IntN(instances), d)
	sc.powerLossRack = rackOf(rng.IntN(instances), d)
	sc.powerLossAt = placement.Millis(rng.Int64N(int64(length)))
	return sc
}

func newService(rng *rand.Rand, name string, size int) service {
	s := service{name: name, executors: size, meanDemand: float64(size) * (0.22 + 0.06*rng.Float64())}
	for range teams {
		s.sizeError = append(s.sizeError, logNormalFactor(rng, 0.7, 0.25, 3))
		s.runError = append(s.runError, logNormalFactor(rng, 0.9, 0.2, 5))
	}
	return s
}

// logNormalFactor draws a log-normal factor with median 1, limited to the range
// from low to high.
func logNormalFactor(rng *rand.Rand, sigma, low, high float64) float64 {
	return min(max(math.Exp(sigma*rng.NormFloat64()), low), high)
}

func instanceID(n int) string { return fmt.Sprintf("w%02d", n) }

func zoneOf(n int, d Deployment) string { return d.Zones[n/instancesPerRack%len(d.Zones)] }

func rackName(n int) string { return fmt.Sprintf("r%02d", n/instancesPerRack) }

func rackOf(n int, d Deployment) string { return zoneOf(n, d) + "/" + rackName(n) }

// config returns the configuration of the fleet.
func (sc *scenario) config() fleet.Config {
	c := fleet.Config{
		Pools: []api.Pool{{Name: sparePool, Spare: true}},
		Budgets: []api.Budget{
			{Scope: api.ScopePool, MaxUnavailable: poolBudget},
			{Scope: api.ScopeRack, MaxUnavailable: rackBudget},
			{Scope: api.ScopeZone, MaxUnavailable: zoneBudget},
		},
		Objective: sc.deployment.Objective,
	}
	wave := api.Wave{
		Name: waveName, Pools: []string{sparePool}, Canary: 2, MaxBatch: 12,
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

// initialPools returns the initial pool of each instance. Instances next to each
// other in a rack are assigned to different pools.
func (sc *scenario) initialPools() []string {
	left := make([]int, len(sc.services))
	for n := range sc.services {
		left[n] = sc.services[n].executors
	}
	out := make([]string, instances)
	at := 0
	for n := range out {
		out[n] = sparePool
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
