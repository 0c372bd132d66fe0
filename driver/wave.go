package driver

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"magnoliastand.example/platform"
	"magnoliastand.example/workload"
)

// stopTime is how long the runs on an instance take to end once they are stopped, with
// the list that shows it.
const stopTime = 500 * time.Millisecond

// relocateInterval is the interval between checks for tasks to relocate before a
// wave, shorter than the time a relocated task takes to become available again.
const relocateInterval = 100 * time.Millisecond

// advanceWave advances the current wave.
func (f *fleet) advanceWave(now time.Time) {
	f.leaving = nil
	for _, w := range f.d.state.Waves() {
		f.resumeOrdered(w, now)
	}
	wave := f.nextWave()
	if wave == nil {
		f.relocationDemand = nil
		return
	}
	if f.wave != wave.ID {
		f.wave, f.waveSince = wave.ID, now
	}
	f.removeDeparted(wave)
	f.cordon(wave, now)
	f.markLeaving(wave)
	if now.Sub(f.relocatedAt) >= relocateInterval {
		f.relocatedAt = now
		f.relocateBeforeWave(now)
	}
	for _, name := range wave.Instances {
		if in := f.instances[name]; in != nil && in.wave == wave.ID {
			f.evacuate(wave, in, now)
		}
	}
}

// markLeaving records the workers whose instances the wave has yet to take down.
func (f *fleet) markLeaving(w *workload.Wave) {
	f.leaving = map[string]bool{}
	for _, name := range w.Instances {
		if in := f.instances[name]; in != nil && in.Worker != "" && w.IsPending(name) {
			f.leaving[in.Worker] = true
		}
	}
}

// relocateBeforeWave moves long-running tasks with an availability budget off
// instances that are still waiting for their turn in the wave. The budget allows
// few tasks of a step to move at a time, so starting only when the instance is
// cordoned would delay the wave. A task that fits on no other worker adds to the
// demand for instances.
func (f *fleet) relocateBeforeWave(now time.Time) {
	f.relocationDemand = map[string]workload.Size{}
	for worker := range f.leaving {
		if s := f.d.sessions[worker]; s == nil || f.reserved(s, now) {
			continue // cordoned instances are emptied by evacuate
		}
		for ref := range f.d.state.Runs(worker) {
			r := f.d.runs[ref]
			if r == nil || r.stopping || r.phase != phaseStarted {
				continue
			}
			step := r.step()
			if !step.LongRunning || step.MaxUnavailable == 0 || !f.d.withinBudget(r) {
				continue
			}
			if f.fitsElsewhere(r) {
				f.d.displaceRun(r, "moved ahead of a wave")
				continue
			}
			pool := f.d.state.PoolOf(r.job)
			f.relocationDemand[pool] = f.relocationDemand[pool].Max(step.Reserved())
		}
	}
}

// fitsElsewhere reports whether a worker outside the wave has room for a run's
// task.
func (f *fleet) fitsElsewhere(r *run) bool {
	d := f.d
	now := time.Now()
	step := r.step()
	for _, w := range d.state.PoolWorkers(d.state.PoolOf(r.job)) {
		if w.ID == r.worker || f.leaving[w.ID] || w.Draining || w.Lost || !d.condition(w.ID, now).Usable {
			continue
		}
		fits := d.state.Reserved(w.ID).Add(step.Reserved()).Fits(w.Capacity)
		apart := step.AntiAffinity == 0 || d.state.SameStep(w.ID, r.ref) < step.AntiAffinity
		if fits && apart && (step.Requires == "" || slices.Contains(w.Labels, step.Requires)) {
			return true
		}
	}
	return false
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

// removeDeparted removes instances from a wave that have left the fleet since it was
// started. Lists that were requested before may be older than the instance.
func (f *fleet) removeDeparted(w *workload.Wave) {
	for _, name := range w.Instances {
		if w.IsPending(name) && f.hasDeparted(name, f.waveSince) {
			f.d.cfg.Logger.Info().Str("instance", name).Int64("wave", w.ID).Time("first_list", f.asked[0]).
				Time("last_list", f.asked[len(f.asked)-1]).Msg("instance left the fleet before its upkeep")
			f.commit(&workload.Upkeep{Wave: w.ID, Instance: name, Left: true})
		}
	}
}

func (f *fleet) commit(u *workload.Upkeep) {
	if err := f.d.apply(workload.Command{Upkeep: u}, nil); err != nil {
		f.d.cfg.Logger.Error().Err(err).Str("instance", u.Instance).Msg("upkeep rejected by the state")
	}
}

// commitOrder commits an OrderUpkeep. then is called after the commit and may be nil.
func (f *fleet) commitOrder(o *workload.OrderUpkeep, then func()) {
	if err := f.d.apply(workload.Command{OrderUpkeep: o}, then); err != nil {
		f.d.cfg.Logger.Error().Err(err).Str("instance", o.Instance).Msg("order of an upkeep rejected by the state")
	}
}

// findOrdered records the workers on instances whose upkeep has been ordered.
func (f *fleet) findOrdered() {
	clear(f.ordered)
	for _, w := range f.d.state.Waves() {
		for _, worker := range w.Ordered {
			f.ordered[worker] = true
		}
	}
}

// resumeOrdered cordons the instances whose upkeep an earlier leader has ordered. The order
// may be carried out late, so it is repeated before another instance takes its place.
func (f *fleet) resumeOrdered(w *workload.Wave, now time.Time) {
	for name := range w.Ordered {
		in := f.instances[name]
		if in == nil || in.wave != 0 || !in.upkeepOrderedAt.IsZero() {
			continue
		}
		in.wave, in.cordonAt, in.moveTo = w.ID, now, ""
		in.upkeepOrderedAt, in.lateUntil = now, now.Add(lateOrderTime)
		f.d.cfg.Logger.Info().Str("instance", name).Str("worker", in.Worker).Int64("wave", w.ID).
			Msg("upkeep that an earlier leader ordered is repeated")
	}
}

// down counts the instances of a wave that are cordoned, ordered or down. One that no list of
// this leader has shown may still be down for its upkeep.
func (f *fleet) down(w *workload.Wave) int {
	n := 0
	for _, name := range w.Instances {
		in := f.instances[name]
		_, ordered := w.Ordered[name]
		unseen := in == nil && w.Begun[name] && !f.hasDeparted(name, time.Time{})
		if ordered || unseen || in != nil && (in.wave != 0 || in.State != platform.InstanceUp || !in.upkeepOrderedAt.IsZero()) {
			n++
		}
	}
	return n
}

// cordon selects the next instances of a wave, those with the fewest runs first.
func (f *fleet) cordon(w *workload.Wave, now time.Time) {
	for free := w.MaxDown - f.down(w); free > 0; free-- {
		var best *instance
		for _, name := range w.Instances {
			in := f.instances[name]
			if in == nil || !w.IsPending(name) || in.wave != 0 || in.moveTo != "" ||
				in.State != platform.InstanceUp || !f.runsKnown(in, now) {
				continue
			}
			if best == nil || f.runCount(in) < f.runCount(best) {
				best = in
			}
		}
		if best == nil {
			return
		}
		best.wave, best.cordonAt = w.ID, now
		f.d.needsPlan = true
		f.d.cfg.Logger.Info().Str("instance", best.Name).Str("worker", best.Worker).Int64("wave", w.ID).
			Int("runs", len(f.d.state.Runs(best.Worker))).Msg("instance cordoned for upkeep")
	}
}

// evacuate empties a cordoned instance within the availability budgets and takes it
// down once it is empty. Runs are stopped if waiting longer for their ends would miss the
// wave's deadline. No run is left to the upkeep to end: an order that an earlier leader
// gave is answered as carried out, and the runs go on.
func (f *fleet) evacuate(w *workload.Wave, in *instance, now time.Time) {
	if in.callInFlight || now.Before(in.retryAt) || !f.runsKnown(in, now) {
		return
	}
	blocked := false
	var left []*run
	for ref := range f.d.state.Runs(in.Worker) {
		r := f.d.runs[ref]
		if r == nil {
			continue
		}
		left = append(left, r)
		blocked = f.d.evacuateRun(r) || blocked
	}
	switch {
	case len(left) == 0:
		if f.orders.Allow() {
			f.startUpkeep(w, in, now)
		}
	case !blocked && now.Sub(in.cordonAt) >= f.evacuationTimeout(w, now):
		for _, r := range left {
			f.d.displaceRun(r, "upkeep is due")
		}
	}
}

// evacuateRun stops a run if it is long-running or checkpointing, and reports
// whether an availability budget prevents ending it now. Short tasks are left to
// finish.
func (d *Driver) evacuateRun(r *run) (blocked bool) {
	step := r.step()
	if !r.stopping {
		if !step.LongRunning && !step.Checkpointing {
			return false
		}
		if !d.displaceRun(r, "evacuated") {
			return true
		}
	}
	return step.MaxUnavailable > 0
}

// withinBudget reports whether the availability budget of a run's step allows the run to
// be stopped now.
func (d *Driver) withinBudget(r *run) bool {
	step := r.step()
	return !step.LongRunning || step.MaxUnavailable == 0 || d.unavailableTasks(r) < step.MaxUnavailable
}

// unavailableTasks counts the other tasks of a run's step that are not known to
// be available.
func (d *Driver) unavailableTasks(r *run) int {
	now := time.Now()
	n := 0
	for i := range r.job.Tasks[r.ref.Occurrence][r.ref.Step] {
		ref := r.ref
		ref.Index = i
		if i == r.ref.Index {
			continue
		}
		o := d.runs[ref]
		if o == nil || o.phase != phaseStarted || o.stopping || o.mayBeStopped(now) || o.percent < fullPace || now.Sub(o.seen) > maxReportAge {
			n++
		}
	}
	return n
}

// evacuationTimeout returns how long an instance may take to empty so that the
// rest of its wave can finish before the deadline.
func (f *fleet) evacuationTimeout(w *workload.Wave, now time.Time) time.Duration {
	left := 0
	for _, name := range w.Instances {
		if w.IsPending(name) {
			left++
		}
	}
	rounds := (left + w.MaxDown - 1) / w.MaxDown
	window := time.Duration(w.Deadline-now.UnixMilli()) * time.Millisecond
	return window/time.Duration(max(rounds, 1)) - f.d.cfg.Timing.Maintain - listInterval - stopTime
}

// startUpkeep orders the upkeep of an instance, once the log holds that it is ordered.
func (f *fleet) startUpkeep(w *workload.Wave, in *instance, now time.Time) {
	in.callInFlight = true
	if in.upkeepOrderedAt.IsZero() {
		in.upkeepOrderedAt = now
	}
	if _, ordered := w.Ordered[in.Name]; ordered {
		f.sendUpkeep(w, in)
		return
	}
	f.commitOrder(&workload.OrderUpkeep{Wave: w.ID, Instance: in.Name, Worker: in.Worker}, func() { f.sendUpkeep(w, in) })
}

// sendUpkeep sends the order for the upkeep of an instance.
func (f *fleet) sendUpkeep(w *workload.Wave, in *instance) {
	d := f.d
	holder := platform.Holder{Name: d.cfg.Name, Fence: d.cfg.Term}
	name, worker, wave := in.Name, d.state.Workers()[in.Worker], w.ID
	d.async(func() {
		err := d.call(machineTimeout, func(ctx context.Context) error {
			return d.cfg.Instances.StartUpkeep(ctx, d.cfg.MachineAddress, holder, name, wave)
		})
		d.postReply(func() { f.upkeepAnswered(in, worker, wave, err) })
	})
}

// upkeepAnswered handles the answer to an upkeep. worker is the registration of the
// instance's worker when the upkeep was ordered, or nil.
func (f *fleet) upkeepAnswered(in *instance, worker *workload.Worker, wave int64, err error) {
	d := f.d
	in.callInFlight = false
	d.cfg.Metrics.Orders.WithLabelValues("upkeep", outcomeOf(err)).Inc()
	if err == nil {
		d.cfg.Logger.Info().Str("instance", in.Name).Str("worker", in.Worker).Int64("wave", wave).
			Uint64("term", d.cfg.Term).Msg("instance down for upkeep")
		in.wave, in.upkeepOrderedAt, in.changedAt = 0, time.Now(), time.Now()
		f.commit(&workload.Upkeep{Wave: wave, Instance: in.Name})
		d.loseIdleWorker(worker, "upkeep")
		return
	}
	d.cfg.Logger.Warn().Err(err).Str("instance", in.Name).Int64("wave", wave).Msg("failed to start upkeep")
	in.retryAt = time.Now().Add(machineRetryDelay(err))
	var refusal *platform.Refusal
	if !errors.As(err, &refusal) {
		in.recordLate(err)
		return // the upkeep may have started; the order is repeated until it is answered
	}
	in.upkeepOrderedAt = time.Time{}
	switch refusal.Reason {
	case platform.ReasonFence:
		d.cfg.Logger.Warn().Str("instance", in.Name).Msg("order rejected: machine service has seen a later term")
		d.cancel()
	case platform.ReasonBusy:
		if time.Now().Before(in.lateUntil) {
			in.upkeepOrderedAt = time.Now() // an earlier order without an answer may yet be carried out
			return
		}
		in.wave = 0
		f.commitOrder(&workload.OrderUpkeep{Wave: wave, Instance: in.Name, Withdrawn: true}, nil)
	case platform.ReasonWave, platform.ReasonInvalid:
		in.wave = 0
		f.commit(&workload.Upkeep{Wave: wave, Instance: in.Name, Left: true})
	}
}

// evacuateDraining stops long-running and checkpointing runs on a worker that is
// about to leave. Availability budgets do not apply, because the worker ends in
// any case.
func (d *Driver) evacuateDraining(s *session) {
	for _, r := range d.runsOn(s.worker.ID, s.worker.Incarnation) {
		if step := r.step(); step.LongRunning || step.Checkpointing {
			d.stopRun(r, "worker leaves")
		}
	}
}
