package driver

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"magnoliastand.example/platform"
	"magnoliastand.example/workload"
	"magnoliastand.example/workload/plan"
)

const (
	// listInterval is the interval between readings of the instance list while a
	// wave or a move is in progress.
	listInterval = 700 * time.Millisecond
	// movesInterval is the interval between plans of instance moves, well below
	// the duration of a move.
	movesInterval = 100 * time.Millisecond
	// machineTimeout bounds a call to the machine service.
	machineTimeout = 2 * time.Second
	// machineRetry is the delay after a failed call to the machine service.
	machineRetry = 400 * time.Millisecond
	// machineBusyRetry replaces machineRetry if the machine service did nothing
	// because it receives too many orders.
	machineBusyRetry = 100 * time.Millisecond
	// orderBurst is the time for which orders to the machine service may exceed
	// their rate.
	orderBurst = 500 * time.Millisecond
	// unknownWorkerGrace is how long an instance without a known worker is left
	// untouched, so that a worker that has just joined can announce itself.
	unknownWorkerGrace = 3 * time.Second
	// departedLists is the number of complete lists in succession that lack an instance once
	// it has left the fleet. One is not enough: the pages of a list are read one after the other,
	// and entries may change places meanwhile.
	departedLists = 2
	// maxReportAge is the age of a worker's list beyond which its tasks do not
	// count as available.
	maxReportAge = 2 * time.Second
)

// instance is an instance and the operations the driver has in progress on it.
type instance struct {
	platform.Instance
	// full is the largest capacity that the instance has been listed with.
	full workload.Size
	// wave is the ID of the wave that cordoned the instance, or 0.
	wave     int64
	cordonAt time.Time
	// blockedSince is since when availability budgets have kept every stop on a cordoned
	// instance back, and released is set once it was released for that.
	blockedSince time.Time
	released     bool
	callInFlight bool
	retryAt      time.Time
	// moveTo is the target pool of a move in progress.
	moveTo string
	// unknownWorkerSince is when the instance was first seen up without a known
	// worker.
	unknownWorkerSince time.Time
	// idleSince is when the instance was first seen without runs.
	idleSince time.Time
	// upkeepOrderedAt is set when an upkeep is ordered and cleared when a list
	// shows the instance up again.
	upkeepOrderedAt time.Time
	// upkeepOf is the ID of the wave whose upkeep of the instance this driver has seen begin
	// last, or 0.
	upkeepOf int64
	// lateUntil is until when an order without an answer may yet be carried out.
	lateUntil time.Time
	// changedAt is when the machine service last confirmed an order for the instance.
	// Lists that were requested before may not show what it did.
	changedAt time.Time
	// listedAt is when the list that the instance was last read from was requested.
	listedAt time.Time
	// missing counts the complete lists that lack the instance since one that has it.
	missing int
}

// fleet tracks the instances. Maintenance waves are in wave.go, moves between
// pools in pools.go.
type fleet struct {
	d         *Driver
	instances map[string]*instance
	byWorker  map[string]*instance
	// listedAt is when a list was last requested.
	listedAt  time.Time
	plannedAt time.Time
	// poolsLoggedAt is when the demand of the pools was logged last.
	poolsLoggedAt time.Time
	listing       bool
	// received is set once a list has been received. No instance is known before.
	received bool
	// asked is when each of the latest complete lists was requested, oldest first, at most
	// departedLists of them. A list with an entry that can't be read is not complete: the
	// entry may be that of any instance.
	asked []time.Time
	// waveSince is when this driver first saw each wave that is not completed.
	waveSince map[int64]time.Time
	trends    map[string]*plan.Trend
	// loads is the work that arrives for each pool, and runTimes the observed run
	// times of each queue's tasks.
	loads    map[string]*plan.Load
	runTimes map[string]*runTimes
	// orders paces the orders to the machine service.
	orders *rate.Limiter
	// ordered holds the workers on instances whose upkeep has been ordered, as of the last tick.
	ordered map[string]bool
	// unplaced holds the workers with runs whose instance is not known, as of the last tick.
	unplaced []*session
	// leaving holds the workers whose instances a wave has yet to take down.
	leaving     map[string]bool
	relocatedAt time.Time
	// relocationDemand is the capacity, by pool, required by a task that has to
	// leave its instance.
	relocationDemand map[string]workload.Size
}

func newFleet(d *Driver) *fleet {
	orders := rate.NewLimiter(rate.Inf, 0)
	if perS := d.cfg.InstanceOrdersPerS; perS > 0 {
		orders = rate.NewLimiter(rate.Limit(perS), max(1, int(perS*orderBurst.Seconds())))
	}
	f := &fleet{
		d: d, instances: map[string]*instance{}, byWorker: map[string]*instance{}, trends: map[string]*plan.Trend{},
		loads: map[string]*plan.Load{}, runTimes: map[string]*runTimes{}, orders: orders,
		ordered: map[string]bool{}, waveSince: map[int64]time.Time{},
	}
	f.findOrdered()
	return f
}

// machineRetryDelay returns how long to wait after a failed call to the machine service.
func machineRetryDelay(err error) time.Duration {
	if errors.Is(err, platform.ErrBusy) {
		return machineBusyRetry
	}
	return machineRetry
}

// tick advances waves and moves.
func (f *fleet) tick(now time.Time) {
	if f.d.cfg.MachineAddress == "" || f.d.state.Version() == 0 || !f.d.cfg.Log.IsLeader(f.d.cfg.Term) {
		return
	}
	f.findOrdered()
	if now.Sub(f.listedAt) >= listInterval && !f.listing {
		f.list(now)
	}
	if !f.received {
		return
	}
	f.findUnplaced()
	f.advanceWaves(now)
	// After an outage tasks wait until the workers have announced themselves in this term.
	if f.d.knewCapacities(now) && now.Sub(f.plannedAt) >= movesInterval {
		f.plannedAt = now
		f.moveInstances(now)
	}
}

// list requests the instance list.
func (f *fleet) list(now time.Time) {
	f.listing, f.listedAt = true, now
	d := f.d
	d.async(func() {
		ctx, cancel := context.WithTimeout(d.ctx, machineTimeout)
		defer cancel()
		list, err := d.cfg.Instances.Instances(ctx, d.cfg.MachineAddress)
		d.postReply(func() { f.listed(list, now, err) })
	})
}

func (f *fleet) listed(list *platform.InstanceList, asked time.Time, err error) {
	f.listing = false
	if err != nil {
		f.d.cfg.Logger.Warn().Err(err).Msg("instances not listed")
		return
	}
	seen := make(map[string]*instance, len(list.Instances))
	byWorker := make(map[string]*instance, len(list.Instances))
	for _, in := range list.Instances {
		known := f.instances[in.Name]
		if known == nil {
			known = &instance{}
		}
		if in.State == platform.InstanceUp && !known.upkeepOrderedAt.IsZero() && asked.After(known.upkeepOrderedAt.Add(f.d.cfg.Timing.Maintain)) {
			known.upkeepOrderedAt = time.Time{}
		}
		known.full, known.missing = known.full.Max(in.Capacity), 0
		seen[in.Name] = known
		if known.changedAt.After(asked) {
			continue
		}
		if known.Worker != in.Worker {
			known.unknownWorkerSince = time.Time{}
		}
		known.Instance, known.listedAt = in, asked
	}
	complete := list.Unreadable == 0
	for name, known := range f.instances {
		if seen[name] != nil {
			continue
		}
		if complete {
			known.missing++
		}
		if known.missing < departedLists {
			seen[name] = known
		}
	}
	for _, in := range seen {
		if in.Worker != "" {
			byWorker[in.Worker] = in
		}
	}
	f.instances, f.byWorker, f.received = seen, byWorker, true
	if complete {
		f.asked = append(f.asked, asked)
		f.asked = f.asked[max(0, len(f.asked)-departedLists):]
	}
	f.d.needsPlan = true
}

// hasDeparted reports whether an instance has left the fleet, as far as complete lists
// show that were all requested after a time at which it was part of it.
func (f *fleet) hasDeparted(name string, since time.Time) bool {
	return f.instances[name] == nil && len(f.asked) == departedLists && f.asked[0].After(since)
}

// runCount returns the number of runs on an instance.
func (f *fleet) runCount(in *instance) int { return len(f.d.state.Runs(in.Worker)) }
