package driver

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"magnoliastand.example/platform"
	"magnoliastand.example/workload"
	"magnoliastand.example/workload/plan"
)

// poolLogInterval is the interval between log lines on the demand of each pool.
const poolLogInterval = 2 * time.Second

// joinTime is how long a moved worker takes to announce itself, have its lists
// read and receive its first task.
const joinTime = 400 * time.Millisecond

// moveInstances executes the moves that the planner proposes.
func (f *fleet) moveInstances(now time.Time) {
	in := f.poolInput(now)
	if now.Sub(f.poolsLoggedAt) >= poolLogInterval {
		f.poolsLoggedAt = now
		f.logPools(in)
	}
	for _, m := range plan.Moves(in) {
		f.beginMove(f.instances[m.Instance], m.To, now)
	}
	for _, i := range f.instances {
		if i.moveTo != "" && !i.callInFlight && now.After(i.retryAt) && f.orders.Allow() {
			f.sendMove(i, now)
		}
	}
}

// poolInput builds the planner's view of the pools and instances.
func (f *fleet) poolInput(now time.Time) *plan.PoolInput {
	d := f.d
	in := &plan.PoolInput{Pools: map[string]plan.PoolDemand{}, Settle: d.cfg.Timing.Migrate.Milliseconds()}
	for i := range d.state.Document().Pools {
		p := &d.state.Document().Pools[i]
		in.Pools[p.Name] = plan.PoolDemand{Standby: p.Standby, Waiting: d.waiting[p.Name].Add(f.relocationDemand[p.Name])}
	}
	for id, w := range d.state.Workers() {
		if demand, ok := in.Pools[w.Pool]; ok {
			demand.Running = demand.Running.Add(d.state.Reserved(id))
			in.Pools[w.Pool] = demand
		}
	}
	f.updateTrends(in.Pools, now)
	f.addArriving(in.Pools, now)
	f.leaveOutStaying(in.Pools)
	for _, i := range f.instances {
		in.Instances = append(in.Instances, f.poolInstance(i, in.Pools, now))
	}
	return in
}

// updateTrends records the demand of each pool and adds the increase expected by
// the time an instance ordered now can accept work.
func (f *fleet) updateTrends(pools map[string]plan.PoolDemand, now time.Time) {
	d := f.d
	jobs := map[string]int{}
	for _, j := range d.state.Active() {
		if j.Runnable() > 0 || j.Assigned() > 0 {
			jobs[d.state.PoolOf(j)]++
		}
	}
	ahead := (d.cfg.Timing.Migrate + joinTime).Milliseconds()
	for name, demand := range pools {
		t := f.trends[name]
		if t == nil {
			t = &plan.Trend{}
			f.trends[name] = t
		}
		t.Add(now.UnixMilli(), demand.Running.Add(demand.Waiting))
		demand.Rising = t.Rise(ahead, jobs[name])
		pools[name] = demand
	}
	for name := range f.trends {
		if _, known := pools[name]; !known {
			delete(f.trends, name)
		}
	}
}

// logPools writes one line per pool with the inputs of its moves, in thousandths of
// a processor.
func (f *fleet) logPools(in *plan.PoolInput) {
	ready := map[string]int{}
	idle := map[string]int{}
	for i := range in.Instances {
		if p := &in.Instances[i]; p.Ready {
			ready[p.Pool]++
			if p.Movable {
				idle[p.Pool]++
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(in.Pools)) {
		d := in.Pools[name]
		f.d.cfg.Logger.Info().Str("pool", name).Int("ready", ready[name]).Int("idle", idle[name]).
			Int64("running", d.Running.Processors).Int64("lasting", d.Lasting.Processors).Int64("waiting", d.Waiting.Processors).
			Int64("rising", d.Rising.Processors).Int64("arriving", d.Arriving.Processors).Uint64("term", f.d.cfg.Term).Msg("pool demand")
	}
}

// recordArrival records an accepted job for the load of its pool.
func (f *fleet) recordArrival(j *workload.Job) {
	f.loadOf(j).Add(nowMillis(), &j.Spec, f.runTimes[j.Queue].factor())
}

// loadOf returns the load of the pool that runs a job.
func (f *fleet) loadOf(j *workload.Job) *plan.Load {
	pool := f.d.state.PoolOf(j)
	l := f.loads[pool]
	if l == nil {
		l = &plan.Load{}
		f.loads[pool] = l
	}
	return l
}

// inheritLoads records the jobs accepted last under an earlier leader as if no
// time had passed since the last one, so that the change of leader does not look
// like the end of the demand.
func (f *fleet) inheritLoads(now workload.Millis) {
	var recent []*workload.Job
	var last workload.Millis
	for _, j := range f.d.state.Active() {
		recent = append(recent, j)
		last = max(last, j.Submitted)
	}
	slices.SortFunc(recent, func(a, b *workload.Job) int { return cmp.Compare(a.Submitted, b.Submitted) })
	for _, j := range recent {
		if last-j.Submitted <= plan.LoadMemory {
			f.loadOf(j).Add(now-(last-j.Submitted), &j.Spec, 1)
		}
	}
}

// addArriving adds the load of each pool to its demand.
func (f *fleet) addArriving(pools map[string]plan.PoolDemand, now time.Time) {
	for _, j := range f.d.state.Active() {
		if !j.Spec.LongRunning() {
			continue
		}
		pool := f.d.state.PoolOf(j)
		if demand, ok := pools[pool]; ok {
			demand.Lasting = demand.Lasting.Add(j.ReservedByLongRunning())
			pools[pool] = demand
		}
	}
	ahead := (f.d.cfg.Timing.Migrate + joinTime).Milliseconds()
	for name, l := range f.loads {
		demand, ok := pools[name]
		if !ok {
			delete(f.loads, name)
			continue
		}
		demand.Arriving = l.Expect(now.UnixMilli(), ahead)
		pools[name] = demand
	}
}

// leaveOutStaying takes the long-running tasks that go on in evacuated zones out of the demand
// of the pools: they need no instance elsewhere. The trends count them, so that the start and the
// end of an evacuation are no change of the demand.
func (f *fleet) leaveOutStaying(pools map[string]plan.PoolDemand) {
	d := f.d
	for id, w := range d.state.Workers() {
		if !d.state.IsEvacuated(w.Zone) {
			continue
		}
		for ref, j := range d.state.Runs(id) {
			step := &j.Spec.Steps[ref.Step]
			if !step.LongRunning {
				continue
			}
			if demand, ok := pools[w.Pool]; ok {
				demand.Running = demand.Running.Sub(step.Reserved())
				pools[w.Pool] = demand
			}
			pool := d.state.PoolOf(j)
			if demand, ok := pools[pool]; ok && !j.State.Finished() {
				demand.Lasting = demand.Lasting.Sub(step.Reserved())
				pools[pool] = demand
			}
		}
	}
}

// isEvacuated reports whether an instance is in an evacuated zone, as listed or as announced by
// its worker.
func (f *fleet) isEvacuated(i *instance) bool {
	if f.d.state.IsEvacuated(i.Zone) {
		return true
	}
	w := f.d.state.Workers()[i.Worker]
	return w != nil && f.d.state.IsEvacuated(w.Zone)
}

func (f *fleet) poolInstance(i *instance, pools map[string]plan.PoolDemand, now time.Time) plan.PoolInstance {
	d := f.d
	session := d.sessions[i.Worker]
	idle := len(d.state.Runs(i.Worker)) == 0
	if !idle || session == nil && !pools[i.Pool].Standby {
		i.idleSince = now
	}
	p := plan.PoolInstance{
		Name: i.Name, Pool: i.Pool, Capacity: i.full, IdleFor: now.Sub(i.idleSince).Milliseconds(),
	}
	if session != nil {
		p.Missing = i.full.Sub(session.worker.Capacity).Max(workload.Size{})
	}
	if len(i.Labels) > 0 {
		p.Kind = i.Labels[0]
	}
	free := i.wave == 0 && i.moveTo == "" && i.State == platform.InstanceUp && i.upkeepOrderedAt.IsZero()
	leaving := session != nil && session.worker.Draining
	switch {
	case i.moveTo != "":
		p.Pool, p.Ready = i.moveTo, true
	case i.State == platform.InstanceMoving || i.State == platform.InstanceUp && session == nil:
		p.Ready = true
	default:
		p.Ready = free && d.inService(session, now)
	}
	if f.isEvacuated(i) {
		p.Evacuated, p.Ready = true, false
	}
	// A move that may yet be carried out would take the instance back from where the next one
	// puts it, with the tasks that run there by then.
	p.Movable = free && idle && !leaving && !now.Before(i.lateUntil) && f.runsKnown(i, now)
	return p
}

// beginMove starts the move of an instance. From here on its worker receives no
// work.
func (f *fleet) beginMove(i *instance, to string, now time.Time) {
	i.moveTo, i.retryAt = to, now
	f.d.cfg.Logger.Info().Str("instance", i.Name).Str("worker", i.Worker).Str("from", i.Pool).Str("to", to).
		Int64("waiting", f.d.waiting[to].Processors).Msg("instance moves to another pool")
}

func (f *fleet) sendMove(i *instance, now time.Time) {
	d := f.d
	if f.runCount(i) > 0 {
		i.moveTo = "" // a task was assigned after the move was planned
		return
	}
	if p, ok := d.state.Pool(i.moveTo); f.isEvacuated(i) && (!ok || !p.Standby) && now.After(i.lateUntil) {
		i.moveTo = "" // its zone was evacuated after the move was planned
		return
	}
	if !f.runsKnown(i, now) {
		return // an order without an answer may yet be carried out: the instance stays reserved
	}
	i.callInFlight = true
	holder := platform.Holder{Name: d.cfg.Name, Fence: d.cfg.Term}
	name, to, worker := i.Name, i.moveTo, d.state.Workers()[i.Worker]
	d.async(func() {
		err := d.call(machineTimeout, func(ctx context.Context) error {
			return d.cfg.Instances.MoveInstance(ctx, d.cfg.MachineAddress, holder, name, to)
		})
		d.postReply(func() { f.moveAnswered(i, worker, to, err) })
	})
}

// recordLate records an order that may be carried out although it has no answer.
func (i *instance) recordLate(err error) {
	if !isAnswer(err) {
		i.lateUntil = time.Now().Add(lateOrderTime)
	}
}

// moveAnswered handles the answer to a move. worker is the registration of the instance's
// worker when the move was ordered, or nil.
func (f *fleet) moveAnswered(i *instance, worker *workload.Worker, to string, err error) {
	d := f.d
	i.callInFlight = false
	d.cfg.Metrics.Orders.WithLabelValues("move", outcomeOf(err)).Inc()
	if err == nil {
		i.Pool, i.State, i.Worker, i.moveTo = to, platform.InstanceMoving, "", ""
		i.idleSince, i.changedAt = time.Now(), time.Now()
		d.loseIdleWorker(worker, "moved to another pool")
		return
	}
	d.cfg.Logger.Warn().Err(err).Str("instance", i.Name).Str("to", to).Msg("move not carried out")
	i.retryAt = time.Now().Add(machineRetryDelay(err))
	var refusal *platform.Refusal
	switch {
	case !errors.As(err, &refusal):
		i.recordLate(err)
	case refusal.Reason == platform.ReasonFence:
		i.moveTo = ""
		d.cancel()
	case time.Now().Before(i.lateUntil): // an earlier order without an answer may yet be carried out
	default:
		i.moveTo = ""
	}
}
