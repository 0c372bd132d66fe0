package replay

import (
	"fmt"
	"math/rand/v2"

	"magnoliastand.example/fleet"
	"magnoliastand.example/placement"
	"magnoliastand.example/planner"
	"magnoliastand.example/planner/baseline"
)

// Timing of a replay, in milliseconds.
const (
	step         placement.Millis = 200
	platformTurn placement.Millis = 1_000
	planTurn     placement.Millis = 10_000
	preemptTurn  placement.Millis = 2_000
	// waveStart is when the operator starts the maintenance wave.
	waveStart placement.Millis = 15 * 60_000
)

// run is one replay of one policy.
type run struct {
	sc        *scenario
	policy    Policy
	now       placement.Millis
	length    placement.Millis
	state     *fleet.State
	work      *workload
	faults    *rand.Rand
	workers   []*worker
	byID      map[string]*worker
	services  []*serviceState
	byName    map[string]int
	estimator *placement.Estimator
	outcomes  *placement.Outcomes
	forecast  *planner.Forecast
	m         measures
	lastPlan  placement.Millis
	pausedAt  placement.Millis
}

// Run replays one seed of a deployment under a policy for the given length in
// milliseconds.
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

// prepare returns a replay at its start.
func prepare(d Deployment, p Policy, seed uint64, length placement.Millis) (*run, error) {
	sc := newScenario(d, seed, length)
	r := &run{
		sc: sc, policy: p, length: length,
		state:     fleet.New(),
		work:      newWorkload(sc),
		faults:    rand.New(rand.NewPCG(seed, 3)),
		workers:   newWorkers(sc),
		byID:      map[string]*worker{},
		services:  newServices(sc),
		byName:    map[string]int{},
		estimator: placement.NewEstimator(),
		outcomes:  placement.NewOutcomes(),
		forecast:  planner.NewForecast(planner.TuningOf(d.Objective).Hold),
		m:         newMeasures(),
	}
	for n, s := range r.services {
		r.byName[s.name] = n
	}
	return r, r.setUp()
}

// setUp registers the instances and brings them into their first pools.
func (r *run) setUp() error {
	operator := fleet.Actor{Role: fleet.RoleOperator}
	cmds := []fleet.Command{{Actor: operator, SetConfig: &fleet.SetConfig{Version: 1, Config: r.sc.config()}}}
	for n, pool := range r.sc.firstPools() {
		w := r.workers[n]
		r.byID[w.id] = w
		cmds = append(cmds,
			fleet.Command{Actor: operator, Register: &fleet.Register{
				Instance: w.id, Zone: w.zone, Rack: w.rack, Pool: pool, Boot: "0",
				Resources: fleet.Resources{Processors: r.sc.dep.Cores, MemoryMB: r.sc.dep.MemoryMB},
			}},
			fleet.Command{Actor: operator, Join: &fleet.Join{Instance: w.id, Pool: pool}})
	}
	for _, c := range cmds {
		if _, err := r.state.Apply(c); err != nil {
			return err
		}
	}
	r.refresh()
	return nil
}

// tick advances everything by one step.
func (r *run) tick() {
	for n := range r.services {
		r.arrive(n)
	}
	for _, w := range r.workers {
		for _, t := range w.advance(r.now, step) {
			r.end(w, t)
		}
	}
	if r.now%cancelTurn == cancelOffset {
		r.cancelWave()
	}
	if r.now%platformTurn == 0 {
		r.platform()
		r.operate()
		r.reportUse()
	}
	if r.now%planTurn == 0 {
		r.plan()
	}
	for _, s := range r.services {
		r.place(s)
	}
	r.observe()
}

// plan runs one round of the policy and applies its commands.
func (r *run) plan() {
	elapsed := float64(max(r.now-r.lastPlan, 1))
	r.lastPlan = r.now
	var loads []planner.Load
	var pressure []baseline.CurrentLoad
	for _, s := range r.services {
		loads = append(loads, planner.Load{Pool: s.name, Instances: s.arrived / elapsed})
		s.arrived = 0
		p := baseline.CurrentLoad{Pool: s.name}
		for _, t := range s.teams {
			p.Instances += t.useEst + t.waitEst
		}
		pressure = append(pressure, p)
	}
	r.forecast.Observe(fleet.Millis(r.now), loads)
	snap := planner.Snapshot{
		Now: fleet.Millis(r.now), Fleet: r.state.View(),
		Demand: r.forecast.Demand(), Suspects: r.outcomes.Suspects(),
	}
	for _, c := range r.policy.plan(snap, r.sc.dep, pressure) {
		r.apply(c)
	}
	r.refresh()
}

// refresh rebuilds the lists of workers by pool.
func (r *run) refresh() {
	for _, s := range r.services {
		s.dirty = true
		s.workers = s.workers[:0]
		s.open = s.open[:0]
	}
	for _, w := range r.workers {
		i, ok := r.state.Instance(w.id)
		if !ok {
			continue
		}
		at, ok := r.byName[i.Pool]
		if !ok || (i.State != fleet.Active && len(w.tasks) == 0) {
			continue
		}
		s := r.services[at]
		s.workers = append(s.workers, w)
		s.open = append(s.open, i.State == fleet.Active && !r.outcomes.Suspect(w.id))
	}
}

// apply applies a command and judges it on its own against the budgets.
func (r *run) apply(c fleet.Command) {
	c.At = fleet.Millis(r.now)
	voluntary := c.PermitDrain != nil || c.ChangePool != nil || c.Quarantine != nil
	var before map[string]int
	if voluntary {
		before = r.unavailable()
	}
	if _, err := r.state.Apply(c); err != nil {
		r.m.refused++
		return
	}
	if c.ChangePool != nil {
		r.m.moves++
	}
	if voluntary {
		r.judgeBudgets(before, r.unavailable())
	}
}

// unavailable counts the unavailable instances by pool, rack and zone.
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

// judgeBudgets counts a breach for each domain that a voluntary command
// brought further above its budget.
func (r *run) judgeBudgets(before, after map[string]int) {
	for d, n := range after {
		limit := poolBudget
		switch d[:4] {
		case "rack":
			limit = rackBudget
		case "zone":
			limit = zoneBudget
		}
		if n > limit && n > before[d] {
			r.m.breaches++
		}
	}
}

func (r *run) command(role fleet.Role, why string) fleet.Command {
	return fleet.Command{Actor: fleet.Actor{Role: role}, Reason: why}
}

func (r *run) boot(w *worker) string { return fmt.Sprint(w.boots) }
