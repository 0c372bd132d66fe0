package driver

import (
	"cmp"
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

// maxBlocked is how long availability budgets may hold up a cordoned instance that is needed
// for work. A displaced task runs again within 6 s where capacity allows, so a task that is
// unavailable for longer may be so for good.
const maxBlocked = 10 * time.Second

// advanceWaves advances all waves that are not completed. Those that are due first come
// first where waves compete for an instance or for an availability budget.
func (f *fleet) advanceWaves(now time.Time) {
	waves := f.openWaves()
	for _, w := range waves {
		if _, seen := f.waveSince[w.ID]; !seen {
			f.waveSince[w.ID] = now
		}
		f.resumeOrdered(w, now)
		f.removeDeparted(w)
	}
	f.releaseCordoned()
	f.markLeaving(waves)
	if len(waves) == 0 {
		f.relocationDemand = nil
		return
	}
	for _, w := range waves {
		f.cordon(w, now)
	}
	if now.Sub(f.relocatedAt) >= relocateInterval {
		f.relocatedAt = now
		f.relocateBeforeWave(now)
	}
	for _, w := range waves {
		for _, name := range w.Instances {
			if in := f.instances[name]; in != nil && in.wave == w.ID {
				f.evacuate(w, in, now)
			}
		}
	}
}

// openWaves returns the waves that are not completed, by deadline.
func (f *fleet) openWaves() []*workload.Wave {
	var waves []*workload.Wave
	for _, w := range f.d.state.Waves() {
		if w.Completed() {
			delete(f.waveSince, w.ID)
			continue
		}
		waves = append(waves, w)
	}
	slices.SortFunc(waves, func(a, b *workload.Wave) int {
		return cmp.Or(cmp.Compare(a.Deadline, b.Deadline), cmp.Compare(a.ID, b.ID))
	})
	return waves
}

// releaseCordoned releases the instances that are cordoned for an upkeep that has begun or is
// not wanted any more, as a late answer may show.
func (f *fleet) releaseCordoned() {
	for _, in := range f.instances {
		if in.wave == 0 || in.callInFlight {
			continue
		}
		if w := f.d.state.Waves()[in.wave]; w == nil || !w.IsPending(in.Name) {
			in.wave = 0
			f.d.needsPlan = true
		}
	}
}

// markLeaving records the workers whose instances a wave has yet to take down.
func (f *fleet) markLeaving(waves []*workload.Wave) {
	f.leaving = map[string]bool{}
	for _, w := range waves {
		for _, name := range w.Instances {
			if in := f.instances[name]; in != nil && in.Worker != "" && w.IsPending(name) {
				f.leaving[in.Worker] = true
			}
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

// fitsElsewhere reports whether a worker outside the waves has room for a run's task.
func (f *fleet) fitsElsewhere(r *run) bool {
	return f.hasRoom(r.ref, r.job, func(w *workload.Worker) bool { return w.ID != r.worker && !f.leaving[w.ID] })
}

// hasRoom reports whether one of the selected workers has room for a task.
func (f *fleet) hasRoom(ref workload.TaskRef, j *workload.Job, selected func(*workload.Worker) bool) bool {
	d := f.d
	now := time.Now()
	step := &j.Spec.Steps[ref.Step]
	for _, w := range d.state.PoolWorkers(d.state.PoolOf(j)) {
		if !selected(w) || w.Draining || w.Lost || !d.condition(w.ID, now).Usable {
			continue
		}
		fits := d.state.Reserved(w.ID).Add(step.Reserved()).Fits(w.Capacity)
		apart := step.AntiAffinity == 0 || d.state.SameStep(w.ID, ref) < step.AntiAffinity
		if fits && apart && (step.Requires == "" || slices.Contains(w.Labels, step.Requires)) {
			return true
		}
	}
	return false
}

// removeDeparted removes instances from a wave that have left the fleet since it was
// started. Lists that were requested before may be older than the instance.
func (f *fleet) removeDeparted(w *workload.Wave) {
	for _, name := range w.Instances {
		if w.IsPending(name) && f.hasDeparted(name, f.waveSince[w.ID]) {
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

// down counts the instances of a wave that are cordoned, ordered or down for it.
func (f *fleet) down(w *workload.Wave) int {
	n := 0
	for _, name := range w.Instances {
		if f.isDown(w, name) {
			n++
		}
	}
	return n
}

// isDown reports whether an instance counts as down for a wave. One that no list of this
// leader has shown may still be down for the upkeep that has begun.
func (f *fleet) isDown(w *workload.Wave, name string) bool {
	in := f.instances[name]
	_, ordered := w.Ordered[name]
	switch {
	case ordered:
		return true
	case in == nil:
		return w.Begun[name] && !f.hasDeparted(name, time.Time{})
	case in.wave != 0:
		return in.wave == w.ID
	}
	away := in.State != platform.InstanceUp || !in.upkeepOrderedAt.IsZero()
	return away && !f.downForOther(w, in)
}

// downForOther reports whether an instance that is down is so for the upkeep of another wave.
// If an earlier leader has begun the upkeeps of several waves, it may be down for any of them.
func (f *fleet) downForOther(w *workload.Wave, in *instance) bool {
	if in.upkeepOf != 0 {
		return in.upkeepOf != w.ID
	}
	if w.Begun[in.Name] {
		return false
	}
	for _, other := range f.d.state.Waves() {
		if _, ordered := other.Ordered[in.Name]; other.ID != w.ID && (ordered || other.Begun[in.Name]) {
			return true
		}
	}
	return false
}

// othersAside reports whether other waves than w have set instances aside. Waves together may
// set aside more instances than the limit of each.
func (f *fleet) othersAside(w *workload.Wave) bool {
	for _, in := range f.instances {
		down := in.State == platform.InstanceUpkeep || !in.upkeepOrderedAt.IsZero()
		if in.wave != 0 && in.wave != w.ID || in.wave == 0 && down && f.downForOther(w, in) {
			return true
		}
	}
	return false
}

// displaced returns the long-running tasks that have to leave a cordoned instance or are not
// assigned, with their jobs.
func (f *fleet) displaced() map[workload.TaskRef]*workload.Job {
	tasks := f.waitingLongRunning()
	for _, in := range f.instances {
		if in.wave != 0 {
			f.addLongRunning(tasks, in)
		}
	}
	return tasks
}

// addLongRunning adds the long-running tasks on an instance, with their jobs.
func (f *fleet) addLongRunning(tasks map[workload.TaskRef]*workload.Job, in *instance) {
	for ref, j := range f.d.state.Runs(in.Worker) {
		if j.Spec.Steps[ref.Step].LongRunning {
			tasks[ref] = j
		}
	}
}

// takesRoom reports whether cordoning an instance would leave a long-running task without
// room: one on it that fits nowhere else, or a displaced one that fits only here. Each task is
// considered by itself.
func (f *fleet) takesRoom(in *instance, displaced map[workload.TaskRef]*workload.Job) bool {
	elsewhere := func(o *workload.Worker) bool { return o.ID != in.Worker }
	here := func(o *workload.Worker) bool { return o.ID == in.Worker }
	own := map[workload.TaskRef]*workload.Job{}
	f.addLongRunning(own, in)
	for ref, j := range own {
		if !f.hasRoom(ref, j, elsewhere) {
			return true
		}
	}
	for ref, j := range displaced {
		if f.hasRoom(ref, j, here) && !f.hasRoom(ref, j, elsewhere) {
			return true
		}
	}
	return false
}

// waitingLongRunning returns the long-running tasks that are not assigned, with their jobs.
func (f *fleet) waitingLongRunning() map[workload.TaskRef]*workload.Job {
	waiting := map[workload.TaskRef]*workload.Job{}
	for _, j := range f.d.state.Active() {
		if j.Runnable() == 0 || !j.Spec.LongRunning() {
			continue
		}
		for k := range j.Tasks {
			for st := range j.Tasks[k] {
				for i := range j.Tasks[k][st] {
					if j.Spec.Steps[st].LongRunning && j.Tasks[k][st][i].State == workload.TaskWaiting {
						waiting[workload.TaskRef{Job: j.ID, Occurrence: k, Step: st, Index: i}] = j
					}
				}
			}
		}
	}
	return waiting
}

// cordon selects the next instances of a wave, those with the fewest runs first. While other
// waves have set instances aside, one whose room long-running tasks need waits, unless the
// wave would miss its deadline.
func (f *fleet) cordon(w *workload.Wave, now time.Time) {
	free := w.MaxDown - f.down(w)
	if free <= 0 {
		return
	}
	careful := f.evacuationTimeout(w, now) > 0 && f.othersAside(w)
	for ; free > 0; free-- {
		var displaced map[workload.TaskRef]*workload.Job
		if careful {
			displaced = f.displaced()
		}
		var best *instance
		for _, name := range w.Instances {
			in := f.instances[name]
			switch {
			case in == nil || !w.IsPending(name) || !f.mayCordon(in, now):
			case best != nil && f.runCount(in) >= f.runCount(best):
			case careful && f.takesRoom(in, displaced):
			default:
				best = in
			}
		}
		if best == nil {
			return
		}
		best.wave, best.cordonAt, best.blockedSince, best.released = w.ID, now, time.Time{}, false
		f.d.needsPlan = true
		f.d.cfg.Logger.Info().Str("instance", best.Name).Str("worker", best.Worker).Int64("wave", w.ID).
			Int("runs", len(f.d.state.Runs(best.Worker))).Msg("instance cordoned for upkeep")
	}
}

// mayCordon reports whether an instance is up, is neither moving nor cordoned or down for
// another wave, and has no runs that are not known. One that was released waits until
// availability budgets allow it.
func (f *fleet) mayCordon(in *instance, now time.Time) bool {
	if in.released && f.isBlocked(in) {
		return false
	}
	return in.wave == 0 && in.moveTo == "" && in.State == platform.InstanceUp && in.upkeepOrderedAt.IsZero() && f.runsKnown(in, now)
}

// evacuate empties a cordoned instance within the availability budgets and takes it
// down once it is empty. Runs are stopped if waiting longer for their ends would miss the
// wave's deadline. No run is left to the upkeep to end: an order that an earlier leader
// gave is answered as carried out, and the runs go on.
func (f *fleet) evacuate(w *workload.Wave, in *instance, now time.Time) {
	if in.callInFlight || now.Before(in.retryAt) || !f.runsKnown(in, now) {
		return
	}
	blocked, stopping := false, false
	var left []*run
	for ref := range f.d.state.Runs(in.Worker) {
		r := f.d.runs[ref]
		if r == nil {
			continue
		}
		left = append(left, r)
		blocked = f.d.evacuateRun(r) || blocked
		stopping = stopping || r.stopping
	}
	switch {
	case !blocked || stopping:
		in.blockedSince = time.Time{}
	case in.blockedSince.IsZero():
		in.blockedSince = now
	case now.Sub(in.blockedSince) >= maxBlocked && f.releaseHelps(w, in, now):
		f.releaseBlocked(w, in)
		return
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

// releaseHelps reports whether tasks wait for room in a blocked instance's pool, or another
// instance of its wave can take its turn. An instance with an ordered upkeep is not released.
func (f *fleet) releaseHelps(w *workload.Wave, in *instance, now time.Time) bool {
	if _, ordered := w.Ordered[in.Name]; ordered || !in.upkeepOrderedAt.IsZero() {
		return false
	}
	if f.d.waiting[in.Pool] != (workload.Size{}) {
		return true
	}
	return slices.ContainsFunc(w.Instances, func(name string) bool {
		o := f.instances[name]
		return o != nil && o != in && w.IsPending(name) && f.mayCordon(o, now) && !f.isBlocked(o)
	})
}

// releaseBlocked ends the cordon of an instance that availability budgets hold up. It is not
// cordoned again before they allow its runs to be stopped.
func (f *fleet) releaseBlocked(w *workload.Wave, in *instance) {
	in.wave, in.blockedSince, in.released = 0, time.Time{}, true
	f.d.needsPlan = true
	f.d.cfg.Logger.Info().Str("instance", in.Name).Str("worker", in.Worker).Int64("wave", w.ID).
		Int("runs", f.runCount(in)).Msg("instance released: availability budgets hold up its upkeep")
}

// isBlocked reports whether an availability budget keeps a run on an instance from being
// stopped now.
func (f *fleet) isBlocked(in *instance) bool {
	for ref := range f.d.state.Runs(in.Worker) {
		if r := f.d.runs[ref]; r != nil && !r.stopping && !f.d.withinBudget(r) {
			return true
		}
	}
	return false
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
		in.wave, in.upkeepOf, in.upkeepOrderedAt, in.changedAt = 0, wave, time.Now(), time.Now()
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
