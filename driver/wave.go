package driver

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"magnoliastand.example/platform"
	"magnoliastand.example/workload"
)

// rotateInterval is the time between two looks for tasks to move ahead of a wave,
// below the time that one of them takes to be at work again.
const rotateInterval = 100 * time.Millisecond

// carryOutWave moves the wave under way on.
func (f *fleet) carryOutWave(now time.Time) {
	f.leaving = nil
	wave := f.nextWave()
	if wave == nil {
		f.wanted = nil
		return
	}
	f.dropLeft(wave)
	f.cordon(wave, now)
	f.markLeaving(wave)
	if now.Sub(f.rotatedAt) >= rotateInterval {
		f.rotatedAt = now
		f.rotate()
	}
	for _, name := range wave.Instances {
		if in := f.instances[name]; in != nil && in.wave == wave.ID {
			f.evacuate(wave, in, now)
		}
	}
}

// markLeaving notes the workers that the wave will take down.
func (f *fleet) markLeaving(w *workload.Wave) {
	f.leaving = map[string]bool{}
	for _, name := range w.Instances {
		if in := f.instances[name]; in != nil && in.Worker != "" && w.Awaits(name) {
			f.leaving[in.Worker] = true
		}
	}
}

// rotate moves lasting tasks with a budget off instances that wait for their
// turn in the wave. A budget lets few tasks of a step move at a time, so that the
// wave would be late if they began only when their instance is cordoned. A task
// that finds no room calls for a further instance.
func (f *fleet) rotate() {
	f.wanted = map[string]workload.Size{}
	for worker := range f.leaving {
		if f.reserved(worker) {
			continue // cordoned: evacuate empties it
		}
		for ref := range f.d.state.Runs(worker) {
			r := f.d.runs[ref]
			if r == nil || r.stopping || r.phase != phaseStarted {
				continue
			}
			step := r.step()
			if !step.LongRunning || step.MaxUnavailable == 0 || f.d.away(r) >= step.MaxUnavailable {
				continue
			}
			if f.hasRefuge(r) {
				f.d.stopRun(r, "moved ahead of a wave")
				continue
			}
			pool := f.d.state.PoolOf(r.job)
			f.wanted[pool] = f.wanted[pool].Max(step.Reserved())
		}
	}
}

// hasRefuge reports whether a worker that stays has room for a task.
func (f *fleet) hasRefuge(r *run) bool {
	d := f.d
	now := time.Now()
	step := r.step()
	for _, w := range d.state.PoolWorkers(d.state.PoolOf(r.job)) {
		if w.ID == r.worker || f.leaving[w.ID] || w.Draining || w.Gone || !d.condition(w.ID, now).Usable {
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

// dropLeft takes instances that left the fleet out of a wave.
func (f *fleet) dropLeft(w *workload.Wave) {
	for _, name := range w.Instances {
		if f.instances[name] == nil && w.Awaits(name) {
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
			if in == nil || !w.Awaits(name) || in.wave != 0 || in.moveTo != "" ||
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
		if w.Awaits(name) {
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
