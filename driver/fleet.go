package driver

import (
	"context"
	"time"

	"github.com/pkg/errors"

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

// fleet carries out waves, and moves instances between pools.
type fleet struct {
	d         *Driver
	instances map[string]*instance
	byWorker  map[string]*instance
	listedAt  time.Time
	plannedAt time.Time
	listing   bool
	listOK    bool
	trends    map[string]*plan.Trend
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
	if wave := f.nextWave(); wave != nil {
		f.dropLeft(wave)
		f.cordon(wave, now)
		for _, name := range wave.Instances {
			if in := f.instances[name]; in != nil && in.wave == wave.ID {
				f.evacuate(wave, in, now)
			}
		}
	}
	if now.Sub(f.plannedAt) >= movesInterval {
		f.plannedAt = now
		f.movePools(now)
	}
}

// nextWave returns the wave with the earliest deadline that is not completed.
func (f *fleet) nextWave() *workload.Wave {
	var next *workload.Wave
	for _, w := range f.d.state.Waves() {
		if !w.Completed() && (next == nil || w.Deadline < next.Deadline || w.Deadline == next.Deadline && w.ID < next.ID) {
			next = w
		}
	}
	return next
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

// dropLeft takes instances that left the fleet out of a wave.
func (f *fleet) dropLeft(w *workload.Wave) {
	for _, name := range w.Instances {
		if f.instances[name] == nil && !w.Begun[name] && !w.Dropped[name] {
			f.commit(&workload.Upkeep{Wave: w.ID, Instance: name, Left: true})
		}
	}
}

func (f *fleet) commit(u *workload.Upkeep) {
	if err := f.d.do(workload.Command{Upkeep: u}, nil); err != nil {
		f.d.cfg.Logger.Error().Err(err).Str("instance", u.Instance).Msg("upkeep refused by the state")
	}
}

// down counts the instances of a wave that are down or about to be.
func (f *fleet) down(w *workload.Wave) int {
	n := 0
	for _, name := range w.Instances {
		in := f.instances[name]
		if in != nil && (in.wave != 0 || in.State != platform.InstanceUp || !in.takenDown.IsZero()) {
			n++
		}
	}
	return n
}

// cordon picks the next instances of a wave: those with the least work first.
func (f *fleet) cordon(w *workload.Wave, now time.Time) {
	for free := w.MaxDown - f.down(w); free > 0; free-- {
		var best *instance
		for _, name := range w.Instances {
			in := f.instances[name]
			if in == nil || w.Begun[name] || w.Dropped[name] || in.wave != 0 || in.moveTo != "" ||
				in.State != platform.InstanceUp || !f.accounted(in, now) {
				continue
			}
			if best == nil || f.work(in) < f.work(best) {
				best = in
			}
		}
		if best == nil {
			return
		}
		best.wave, best.cordonAt = w.ID, now
		f.d.dirty = true
		f.d.cfg.Logger.Info().Str("instance", best.Name).Str("worker", best.Worker).Int64("wave", w.ID).
			Int("runs", len(f.d.state.Runs(best.Worker))).Msg("instance cordoned for upkeep")
	}
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

// evacuate empties a cordoned instance within the budgets and takes it down
// once it is empty, or once waiting longer would miss the end of the wave.
func (f *fleet) evacuate(w *workload.Wave, in *instance, now time.Time) {
	if in.calling || now.Before(in.retryAt) || !f.accounted(in, now) {
		return
	}
	blocked := false
	left := 0
	for ref := range f.d.state.Runs(in.Worker) {
		r := f.d.runs[ref]
		if r == nil {
			continue
		}
		left++
		blocked = f.d.moveAway(r) || blocked
	}
	if left > 0 && (blocked || now.Sub(in.cordonAt) < f.patience(w, now)) {
		return
	}
	f.takeDown(w, in, now)
}

// moveAway stops a run that is worth moving and reports whether a budget forbids
// to end it now. Short tasks are left to end by themselves.
func (d *Driver) moveAway(r *run) (blocked bool) {
	step := r.step()
	if r.stopping {
		return step.MaxUnavailable > 0
	}
	if step.LongRunning && step.MaxUnavailable > 0 && d.away(r) >= step.MaxUnavailable {
		return true
	}
	if step.LongRunning || step.Checkpointing {
		d.stopRun(r, "evacuated")
		return step.MaxUnavailable > 0
	}
	return false
}

// away counts the other tasks of the step of a run that are not surely at work.
func (d *Driver) away(r *run) int {
	now := time.Now()
	n := 0
	for i := range r.job.Tasks[r.ref.Occurrence][r.ref.Step] {
		ref := r.ref
		ref.Index = i
		if i == r.ref.Index {
			continue
		}
		o := d.runs[ref]
		if o == nil || o.phase != phaseStarted || o.stopping || o.percent < fullPace || now.Sub(o.seen) > atWorkFor {
			n++
		}
	}
	return n
}

// patience is how long an instance may take to empty so that the rest of its
// wave still fits before the deadline.
func (f *fleet) patience(w *workload.Wave, now time.Time) time.Duration {
	left := 0
	for _, name := range w.Instances {
		if !w.Begun[name] && !w.Dropped[name] {
			left++
		}
	}
	rounds := (left + w.MaxDown - 1) / w.MaxDown
	window := time.Duration(w.Deadline-now.UnixMilli()) * time.Millisecond
	return window/time.Duration(max(rounds, 1)) - f.d.cfg.Timing.Maintain - listInterval
}

// takeDown orders the upkeep of an instance.
func (f *fleet) takeDown(w *workload.Wave, in *instance, now time.Time) {
	in.calling = true
	if in.takenDown.IsZero() {
		in.takenDown = now
	}
	d := f.d
	holder := platform.Holder{Name: d.cfg.Name, Fence: d.cfg.Term}
	name, worker, wave := in.Name, in.Worker, w.ID
	d.async(func() {
		ctx, cancel := context.WithTimeout(d.ctx, machineTimeout)
		defer cancel()
		err := d.cfg.Instances.StartUpkeep(ctx, d.cfg.MachineAddress, holder, name, wave)
		d.reply(func() { f.takenDown(in, worker, wave, err) })
	})
}

func (f *fleet) takenDown(in *instance, worker string, wave int64, err error) {
	d := f.d
	in.calling = false
	d.cfg.Metrics.Orders.WithLabelValues("upkeep", outcomeOf(err)).Inc()
	if err == nil {
		d.cfg.Logger.Info().Str("instance", in.Name).Str("worker", worker).Int64("wave", wave).
			Uint64("term", d.cfg.Term).Msg("instance down for upkeep")
		in.wave, in.takenDown = 0, time.Now()
		f.commit(&workload.Upkeep{Wave: wave, Instance: in.Name})
		if w := d.state.Workers()[worker]; w != nil {
			d.lose(worker, w.Incarnation, "upkeep", nil)
		}
		return
	}
	d.cfg.Logger.Warn().Err(err).Str("instance", in.Name).Int64("wave", wave).Msg("upkeep not begun")
	in.retryAt = time.Now().Add(machineRetry)
	var refusal *platform.Refusal
	if !errors.As(err, &refusal) {
		return // it may have begun: the order is repeated until it is answered
	}
	in.takenDown = time.Time{}
	switch refusal.Reason {
	case platform.ReasonFence:
		d.cfg.Logger.Warn().Str("instance", in.Name).Msg("fenced off by a later leader")
		d.cancel()
	case platform.ReasonBusy:
		in.wave = 0
	case platform.ReasonWave, platform.ReasonInvalid:
		in.wave = 0
		f.commit(&workload.Upkeep{Wave: wave, Instance: in.Name, Left: true})
	}
}

// evacuateLeaving moves long work away from a worker that is about to leave. The
// budgets don't hold it back: the worker ends in any case.
func (d *Driver) evacuateLeaving(s *session) {
	for _, r := range d.runsOn(s.worker.ID, s.worker.Incarnation) {
		if step := r.step(); step.LongRunning || step.Checkpointing {
			d.stopRun(r, "worker leaves")
		}
	}
}
