package driver

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"magnoliastand.example/platform"
	"magnoliastand.example/workload/plan"
)

// joinTime is how long a worker that has moved takes to announce itself, to be
// read and to get its first task.
const joinTime = 400 * time.Millisecond

// movePools carries out the moves that the planner wants.
func (f *fleet) movePools(now time.Time) {
	in := f.poolInput(now)
	for _, m := range plan.Moves(in) {
		f.move(f.instances[m.Instance], m.To, now)
	}
	for _, i := range f.instances {
		if i.moveTo != "" && !i.calling && now.After(i.retryAt) {
			f.sendMove(i)
		}
	}
}

// poolInput describes the pools and instances to the planner.
func (f *fleet) poolInput(now time.Time) *plan.PoolInput {
	d := f.d
	in := &plan.PoolInput{Pools: map[string]plan.PoolDemand{}, Settle: d.cfg.Timing.Migrate.Milliseconds()}
	for i := range d.state.Document().Pools {
		p := &d.state.Document().Pools[i]
		in.Pools[p.Name] = plan.PoolDemand{Standby: p.Standby, Waiting: d.waiting[p.Name].Add(f.wanted[p.Name])}
	}
	for id, w := range d.state.Workers() {
		if demand, ok := in.Pools[w.Pool]; ok {
			demand.Running = demand.Running.Add(d.state.Reserved(id))
			in.Pools[w.Pool] = demand
		}
	}
	f.followTrends(in.Pools, now)
	for _, i := range f.instances {
		in.Instances = append(in.Instances, f.poolInstance(i, in.Pools, now))
	}
	return in
}

// followTrends notes the demand of each pool and adds what is expected by the time
// at which an instance ordered now takes work.
func (f *fleet) followTrends(pools map[string]plan.PoolDemand, now time.Time) {
	d := f.d
	jobs := map[string]int{}
	for _, j := range d.state.Active() {
		if j.Open() > 0 || j.Assigned() > 0 {
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

func (f *fleet) poolInstance(i *instance, pools map[string]plan.PoolDemand, now time.Time) plan.PoolInstance {
	d := f.d
	session := d.sessions[i.Worker]
	idle := len(d.state.Runs(i.Worker)) == 0
	if !idle || session == nil && !pools[i.Pool].Standby {
		i.idleSince = now
	}
	p := plan.PoolInstance{
		Name: i.Name, Pool: i.Pool, Capacity: i.Capacity, IdleFor: now.Sub(i.idleSince).Milliseconds(),
	}
	if len(i.Labels) > 0 {
		p.Kind = i.Labels[0]
	}
	free := i.wave == 0 && i.moveTo == "" && i.State == platform.InstanceUp && i.takenDown.IsZero()
	leaving := session != nil && session.worker.Draining
	switch {
	case i.moveTo != "":
		p.Pool, p.Ready = i.moveTo, true
	case i.State == platform.InstanceMoving || i.State == platform.InstanceUp && session == nil:
		p.Ready = true
	default:
		p.Ready = free && d.condition(i.Worker, now).Usable
	}
	p.Movable = free && idle && !leaving && f.accounted(i, now)
	return p
}

// move begins the move of an instance. Its worker gets no work from here on.
func (f *fleet) move(i *instance, to string, now time.Time) {
	i.moveTo, i.retryAt = to, now
	f.d.cfg.Logger.Info().Str("instance", i.Name).Str("worker", i.Worker).Str("from", i.Pool).Str("to", to).
		Int64("waiting", f.d.waiting[to].Processors).Msg("instance moves to another pool")
}

func (f *fleet) sendMove(i *instance) {
	d := f.d
	if len(d.state.Runs(i.Worker)) > 0 {
		i.moveTo = "" // an assignment was under way when the move was planned
		return
	}
	i.calling = true
	holder := platform.Holder{Name: d.cfg.Name, Fence: d.cfg.Term}
	name, to, worker := i.Name, i.moveTo, i.Worker
	d.async(func() {
		ctx, cancel := context.WithTimeout(d.ctx, machineTimeout)
		defer cancel()
		err := d.cfg.Instances.MoveInstance(ctx, d.cfg.MachineAddress, holder, name, to)
		d.reply(func() { f.moved(i, worker, to, err) })
	})
}

func (f *fleet) moved(i *instance, worker, to string, err error) {
	d := f.d
	i.calling = false
	d.cfg.Metrics.Orders.WithLabelValues("move", outcomeOf(err)).Inc()
	if err == nil {
		i.Pool, i.State, i.Worker, i.moveTo = to, platform.InstanceMoving, "", ""
		i.idleSince = time.Now()
		if w := d.state.Workers()[worker]; w != nil {
			d.lose(worker, w.Incarnation, "moved to another pool", nil)
		}
		return
	}
	d.cfg.Logger.Warn().Err(err).Str("instance", i.Name).Str("to", to).Msg("move not carried out")
	i.retryAt = time.Now().Add(machineRetry)
	var refusal *platform.Refusal
	if errors.As(err, &refusal) {
		i.moveTo = ""
		if refusal.Reason == platform.ReasonFence {
			d.cancel()
		}
	}
}
