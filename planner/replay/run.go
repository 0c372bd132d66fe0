package replay

import (
	"fmt"
	"math/rand/v2"

	"magnoliastand.example/fleet"
	"magnoliastand.example/placement"
	"magnoliastand.example/planner"
	"magnoliastand.example/planner/baseline"
)

// Step and intervals of a replay, in milliseconds.
const (
	step             placement.Millis = 200
	platformInterval placement.Millis = 1_000
	planInterval     placement.Millis = 10_000
	preemptInterval  placement.Millis = 2_000
	// waveStart is the time at which the operator starts the maintenance wave.
	waveStart placement.Millis = 15 * 60_000
)

// run is the state of one replay.
type run struct {
	scenario     *scenario
	policy       Policy
	now          placement.Millis
	length       placement.Millis
	state        *fleet.State
	workload     *workload
	faults       *rand.Rand
	workers      []*worker
	workersByID  map[string]*worker
	services     []*serviceState
	serviceIndex map[string]int
	estimator    *placement.Estimator
	outcomes     *placement.Outcomes
	forecast     *planner.Forecast
	measures     measures
	lastPlan     placement.Millis
	pausedAt     placement.Millis
}

// Run replays one seed of a deployment under a policy for the given simulated
// length, in milliseconds.
func Run(d Deployment, p Policy, seed uint64, length placement.Millis) (Measures, error) {
	r, err := prepare(d, p, seed, length)
	if err != nil {
		return Measures{}, err
	}
	for ; r.now < length; r.now += step {
		r.tick()
	}
	r.state.CheckAll()
	return r.result(), nil
}

// prepare returns an initialized replay.
func prepare(d Deployment, p Policy, seed uint64, length placement.Millis) (*run, error) {
	sc := newScenario(d, seed, length)
	r := &run{
		scenario: sc, policy: p, length: length,
		state:        fleet.New(),
		workload:     newWorkload(sc),
		faults:       rand.New(rand.NewPCG(seed, 3)),
		workers:      newWorkers(sc),
		workersByID:  map[string]*worker{},
		services:     newServices(sc),
		serviceIndex: map[string]int{},
		estimator:    placement.NewEstimator(),
		outcomes:     placement.NewOutcomes(),
		forecast:     planner.NewForecast(planner.TuningOf(d.Objective).Hold),
		measures:     newMeasures(),
	}
	for n, s := range r.services {
		r.serviceIndex[s.name] = n
	}
	return r, r.initialize()
}

// initialize sets the configuration, registers the instances and joins them to
// their initial pools.
func (r *run) initialize() error {
	operator := fleet.Actor{Role: fleet.RoleOperator}
	cmds := []fleet.Command{{Actor: operator, SetConfig: &fleet.SetConfig{Version: 1, Config: r.scenario.config()}}}
	for n, pool := range r.scenario.initialPools() {
		w := r.workers[n]
		r.workersByID[w.id] = w
		cmds = append(cmds,
			fleet.Command{Actor: operator, Register: &fleet.Register{
				Instance: w.id, Zone: w.zone, Rack: w.rack, Pool: pool, Boot: "0",
				Resources: fleet.Resources{Processors: r.scenario.deployment.Cores, MemoryMB: r.scenario.deployment.MemoryMB},
			}},
			fleet.Command{Actor: operator, Join: &fleet.Join{Instance: w.id, Pool: pool}})
	}
	for _, c := range cmds {
		if _, err := r.state.Apply(c); err != nil {
			return err
		}
	}
	r.refreshWorkers()
	return nil
}

// tick advances the replay by one step.
func (r *run) tick() {
	for n := range r.services {
		r.admitArrivals(n)
	}
	for _, w := range r.workers {
		for _, t := range w.advance(r.now, step) {
			r.finish(w, t)
		}
	}
	if r.now%cancelInterval == cancelOffset {
		r.cancelTasks()
	}
	if r.now%platformInterval == 0 {
		r.runPlatform()
		r.runOperator()
		r.reportUsage()
	}
	if r.now%planInterval == 0 {
		r.plan()
	}
	for _, s := range r.services {
		r.place(s)
	}
	r.observe()
}

// plan makes one plan by the policy and applies its commands.
func (r *run) plan() {
	elapsed := float64(max(r.now-r.lastPlan, 1))
	r.lastPlan = r.now
	var loads []planner.Load
	var pressure []baseline.CurrentLoad
	for _, s := range r.services {
		loads = append(loads, planner.Load{Pool: s.name, Instances: s.arrivedWork / elapsed})
		s.arrivedWork = 0
		p := baseline.CurrentLoad{Pool: s.name}
		for _, t := range s.teams {
			p.Instances += t.estimatedUse + t.estimatedWaiting
		}
		pressure = append(pressure, p)
	}
	r.forecast.Observe(fleet.Millis(r.now), loads)
	snap := planner.Snapshot{
		Now: fleet.Millis(r.now), Fleet: r.state.View(),
		Demand: r.forecast.Demand(), Suspects: r.outcomes.Suspects(),
	}
	for _, c := range r.policy.plan(snap, r.scenario.deployment, pressure) {
		r.apply(c)
	}
	r.refreshWorkers()
}

// refreshWorkers rebuilds the list of workers of each service.
func (r *run) refreshWorkers() {
	for _, s := range r.services {
		s.needsPlacement = true
		s.workers = s.workers[:0]
		s.open = s.open[:0]
	}
	for _, w := range r.workers {
		i, ok := r.state.Instance(w.id)
		if !ok {
			continue
		}
		at, ok := r.serviceIndex[i.Pool]
		if !ok || (i.State != fleet.Active && len(w.tasks) == 0) {
			continue
		}
		s := r.services[at]
		s.workers = append(s.workers, w)
		s.open = append(s.open, i.State == fleet.Active && !r.outcomes.Suspect(w.id))
	}
}

// apply applies a command and counts budget breaches, independently of the checks
// of the fleet state.
func (r *run) apply(c fleet.Command) {
	c.At = fleet.Millis(r.now)
	voluntary := c.PermitDrain != nil || c.ChangePool != nil || c.Quarantine != nil
	var before map[string]int
	if voluntary {
		before = r.unavailable()
	}
	if _, err := r.state.Apply(c); err != nil {
		r.measures.refused++
		return
	}
	if c.ChangePool != nil {
		r.measures.moves++
	}
	if voluntary {
		r.countBreaches(before, r.unavailable())
	}
}

// unavailable returns the number of unavailable instances in each pool, rack and
// zone.
func (r *run) unavailable() map[string]int {
	out := map[string]int{}
	for _, w := range r.workers {
		i, _ := r.state.Instance(w.id)
		if i.State != fleet.Active {
			out["pool "+i.Pool]++
			out["rack "+w.rackName()]++
			out["zone "+w.zone]++
		}
	}
	return out
}

// countBreaches counts a breach for each failure domain in which a voluntary
// command increased the number of unavailable instances beyond the budget.
func (r *run) countBreaches(before, after map[string]int) {
	for d, n := range after {
		limit := poolBudget
		switch d[:4] {
		case "rack":
			limit = rackBudget
		case "zone":
			limit = zoneBudget
		}
		if n > limit && n > before[d] {
			r.measures.breaches++
		}
	}
}

func (r *run) command(role fleet.Role, reason string) fleet.Command {
	return fleet.Command{Actor: fleet.Actor{Role: role}, Reason: reason}
}

func (r *run) bootID(w *worker) string { return fmt.Sprint(w.boots) }
