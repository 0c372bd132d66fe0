package driver

import (
	"context"
	"time"

	"magnoliastand.example/platform"
	"magnoliastand.example/workload"
	"magnoliastand.example/workload/plan"
)

const (
	// listInterval is the time between two readings of the instances while a
	// wave or a move is under way.
	listInterval = 700 * time.Millisecond
	// movesInterval is the time between two plans of moves, well below the time of a move.
	movesInterval = 100 * time.Millisecond
	// machineTimeout bounds a call to the machine service.
	machineTimeout = 2 * time.Second
	// machineRetry is the pause after a call to it that failed.
	machineRetry = 400 * time.Millisecond
	// strangerTime is how long an instance without a known worker is left alone:
	// the list may be older than the worker that has just joined.
	strangerTime = 3 * time.Second
	// atWorkFor is how old the word may be that a task is at work.
	atWorkFor = 2 * time.Second
)

// instance is one instance with what the driver does with it.
type instance struct {
	platform.Instance
	// wave is the wave that takes it down; 0 is none.
	wave     int64
	cordonAt time.Time
	calling  bool
	retryAt  time.Time
	// moveTo is the pool to which a move is under way.
	moveTo string
	// strangeSince is when the instance was first seen up without a known worker.
	strangeSince time.Time
	// idleSince is when the instance was first seen without runs.
	idleSince time.Time
	// takenDown is set from the order of an upkeep until a list shows the instance up again.
	takenDown time.Time
}

// fleet keeps the list of instances. Its waves are in wave.go, its moves between
// pools in pools.go.
type fleet struct {
	d         *Driver
	instances map[string]*instance
	byWorker  map[string]*instance
	listedAt  time.Time
	plannedAt time.Time
	listing   bool
	listOK    bool
	trends    map[string]*plan.Trend
	// leaving holds the workers whose instances the wave under way has yet to take down.
	leaving   map[string]bool
	rotatedAt time.Time
	// wanted is the room, by pool, for which a task waits that has to leave its instance.
	wanted map[string]workload.Size
}

func newFleet(d *Driver) *fleet {
	return &fleet{d: d, instances: map[string]*instance{}, byWorker: map[string]*instance{}, trends: map[string]*plan.Trend{}}
}

// reserved reports whether a worker's instance is about to be taken down.
func (f *fleet) reserved(worker string) bool {
	in := f.byWorker[worker]
	return in != nil && (in.wave != 0 || in.moveTo != "" || in.State != platform.InstanceUp)
}

// tick moves waves and moves on.
func (f *fleet) tick(now time.Time) {
	if f.d.cfg.MachineAddress == "" || f.d.state.Version() == 0 || !f.d.cfg.Log.Leads(f.d.cfg.Term) {
		return
	}
	if now.Sub(f.listedAt) >= listInterval && !f.listing {
		f.list(now)
	}
	if !f.listOK {
		return
	}
	f.carryOutWave(now)
	if now.Sub(f.plannedAt) >= movesInterval {
		f.plannedAt = now
		f.movePools(now)
	}
}

// list reads the instances.
func (f *fleet) list(now time.Time) {
	f.listing, f.listedAt = true, now
	d := f.d
	d.async(func() {
		ctx, cancel := context.WithTimeout(d.ctx, machineTimeout)
		defer cancel()
		list, err := d.cfg.Instances.Instances(ctx, d.cfg.MachineAddress)
		d.reply(func() { f.listed(list, now, err) })
	})
}

func (f *fleet) listed(list []platform.Instance, asked time.Time, err error) {
	f.listing = false
	if err != nil {
		f.d.cfg.Logger.Warn().Err(err).Msg("instances not listed")
		return
	}
	seen := make(map[string]*instance, len(list))
	byWorker := make(map[string]*instance, len(list))
	for _, in := range list {
		known := f.instances[in.Name]
		if known == nil {
			known = &instance{}
		}
		if in.State == platform.InstanceUp && !known.takenDown.IsZero() && asked.After(known.takenDown.Add(f.d.cfg.Timing.Maintain)) {
			known.takenDown = time.Time{}
		}
		if known.Worker != in.Worker {
			known.strangeSince = time.Time{}
		}
		known.Instance = in
		seen[in.Name] = known
		if in.Worker != "" {
			byWorker[in.Worker] = known
		}
	}
	f.instances, f.byWorker, f.listOK = seen, byWorker, true
	f.d.dirty = true
}

// accounted reports whether all runs on an instance are known: its worker is, or
// it is off, or no worker has shown up for long.
func (f *fleet) accounted(in *instance, now time.Time) bool {
	if f.d.sessions[in.Worker] != nil {
		in.strangeSince = time.Time{}
		return true
	}
	if p, ok := f.d.state.Pool(in.Pool); ok && p.Standby {
		return true
	}
	if in.strangeSince.IsZero() {
		in.strangeSince = now
	}
	return now.Sub(in.strangeSince) >= strangerTime
}

// work returns the number of runs on an instance.
func (f *fleet) work(in *instance) int { return len(f.d.state.Runs(in.Worker)) }
