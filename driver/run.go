package driver

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"magnoliastand.example/platform"
	"magnoliastand.example/workload"
)

const (
	// stopRetry is the interval between stop orders for the same run.
	stopRetry = 300 * time.Millisecond
	// retryDelay keeps a task that a worker refused out of planning, so that a
	// fleet that refuses all starts is not retried in a busy loop.
	retryDelay = 150 // milliseconds
	// refusalWeight and failureWeight are the weights of a refused start and of a
	// failed run in the worker's failure score.
	refusalWeight = 2
	failureWeight = 1
)

// phase is the progress of a run as known to this leader.
type phase uint8

const (
	// phaseCommitting: the assignment's batch is not yet committed.
	phaseCommitting phase = iota
	// phaseOrdered: a start order is in flight.
	phaseOrdered
	// phaseUnknown: the run may have started, or may still start.
	phaseUnknown
	// phaseStarted: the worker confirmed the run.
	phaseStarted
)

// run is one run of a task tracked by this leader.
type run struct {
	ref         workload.TaskRef
	number      int64
	worker      string
	incarnation workload.Millis
	// checkpoint is the one to start from, fixed with the assignment: members of a gang are
	// assigned together, and the end of one may arrive before another is ordered. It is not
	// known for runs of an earlier leader, which are not ordered again.
	checkpoint string
	job        *workload.Job
	phase      phase
	// serial numbers the assignments of this leader; it is 0 for an adopted run.
	serial int64
	// confirmedAt is when the worker last confirmed the start.
	confirmedAt time.Time
	// stopping is set once the run is to be stopped. stopSent and stopAcked are
	// the times of the last stop order and of its acknowledgement.
	stopping bool
	// voluntary is set while the run is stopped only to empty its instance. Each order to stop
	// it needs the availability budget.
	voluntary bool
	// voiding is set while the run is stopped only because its start has no answer and no
	// list shows it. It goes on if a list does before a stop is acknowledged.
	voiding      bool
	stopInFlight bool
	stopSent     time.Time
	stopAcked    time.Time
	// unanswered is set if a start order may still be carried out although its reply
	// did not arrive.
	unanswered bool
	// sending is set while a start order is under way. Once unrepeated is set it is not sent
	// again.
	sending    bool
	unrepeated atomic.Bool
	// withheld is set once the zone of the run's worker is evacuated: a start order that is
	// not under way is not sent any more.
	withheld atomic.Bool
	// orderedAt is when the start was ordered, or taken over from an earlier leader.
	orderedAt time.Time
	// trial is how likely the task was to crash its worker when it was assigned.
	trial workload.Suspicion
	// crash is what the crash of its incarnation of the worker means for the run, until the
	// run is moved.
	crash *workload.CrashedRun
	// endedBefore is set if the run ended with an earlier incarnation of its worker, once
	// a list of the present one confirms that this has taken its place.
	endedBefore bool
	// unknownSince is when the start order timed out without a reply.
	unknownSince time.Time
	// seen, percent and tail are from the last list of the worker that contained
	// the run.
	seen time.Time
	// missing describes the lists with an unreadable row that lack the run.
	missing  absence
	progress progress
	percent  int
	tail     int64
	pace     int
	// pacedAt is when the pace was ordered last, and paceOrders are the orders that may yet be
	// carried out, oldest first.
	pacedAt    time.Time
	paceOrders []*paceOrder
}

func (r *run) step() *workload.Step { return &r.job.Spec.Steps[r.ref.Step] }

// servesOn reports whether the run serves under an availability budget and its job has
// failed. Stopping it would exceed the budget, since a task of the job is away for good.
func (r *run) servesOn() bool {
	step := r.step()
	return r.job.State == workload.JobFailed && step.LongRunning && step.MaxUnavailable > 0
}

// mayBeginLater reports whether a start order of the run may have begun, or may yet
// begin, on the incarnation that follows the one it was sent to. A run ends with an
// incarnation that has listed it.
func (r *run) mayBeginLater() bool {
	return r.phase != phaseCommitting && (r.sending || r.unanswered || r.seen.IsZero())
}

// mayBeStopped reports whether a stop order of the run may yet be carried out, perhaps one
// that was to void it.
func (r *run) mayBeStopped(now time.Time) bool {
	return !r.stopSent.IsZero() && now.Sub(r.stopSent) < lateOrderTime
}

// adoptRun takes over a run that an earlier leader assigned.
func (d *Driver) adoptRun(ref workload.TaskRef, j *workload.Job) {
	_, t := d.state.TaskOf(ref)
	r := &run{
		ref: ref, number: t.Run, worker: t.Worker, incarnation: t.Incarnation, job: j,
		phase: phaseUnknown, unknownSince: time.Now(), pace: fullPace, unanswered: true, orderedAt: time.Now(),
	}
	d.runs[ref] = r
	if j.State.Finished() && !r.servesOn() || j.IsSuperseded(ref, t.Run) {
		r.stopping = true
	}
}

// runsOn returns the tracked runs on an incarnation of a worker.
func (d *Driver) runsOn(worker string, incarnation workload.Millis) []*run {
	var out []*run
	for ref := range d.state.Runs(worker) {
		if r := d.runs[ref]; r != nil && r.incarnation == incarnation {
			out = append(out, r)
		}
	}
	return out
}

func (d *Driver) forgetRun(r *run) {
	if d.runs[r.ref] == r {
		delete(d.runs, r.ref)
	}
	if d.trials[r.ref] == r {
		delete(d.trials, r.ref)
	}
}

// endRun commits the end of a run. number is the run's number in the worker's
// list of ended runs, or 0.
func (d *Driver) endRun(r *run, o workload.Outcome, checkpoint string, number int64, reason string) {
	job := r.job
	if o == workload.OutcomeLost || o == workload.OutcomeNotRun {
		d.recordNoted(r)
	}
	before := job.State
	if o == workload.OutcomeDone {
		d.observeRunTime(r)
	}
	end := &workload.End{
		Task: r.ref, Run: r.number, Worker: r.worker, Incarnation: r.incarnation, Outcome: o,
		Checkpoint: checkpoint, Number: number, GangCheckpoint: true,
	}
	s := d.sessions[r.worker]
	d.holdBack(s, r.ref, o, number)
	err := d.apply(workload.Command{End: end}, func() { d.ackEnd(s, number) })
	if err != nil {
		d.cfg.Logger.Error().Err(err).Str("task", r.ref.String()).Msg("end of run rejected by the state")
		return
	}
	d.forgetRun(r)
	d.cfg.Metrics.Ends.WithLabelValues(o.String()).Inc()
	d.logEnd(r, o, reason)
	if o == workload.OutcomeNotRun {
		d.notBefore[r.ref] = nowMillis() + retryDelay
		d.stopGang(r)
	}
	if o == workload.OutcomeFailed && s != nil {
		s.addFailure(failureWeight, time.Now())
		if !job.State.Finished() {
			d.failedOn[r.ref] = r.worker
		}
	}
	d.stopFinished(job, before)
}

// stopGang stops the other members of a gang of which one has not started. They would wait
// for it in vain, and the gang starts again only once none is assigned.
func (d *Driver) stopGang(r *run) {
	if r.job.State.Finished() || !r.step().Gang {
		return
	}
	d.stopRunsOf(r.job, "a member of its gang has not started", func(o *run) bool {
		return o.ref.Occurrence == r.ref.Occurrence && o.ref.Step == r.ref.Step && o.number == r.number
	})
}

// logEnd logs the end of a run. Runs that are done are logged once for their step
// or, with the last step, for the job.
func (d *Driver) logEnd(r *run, o workload.Outcome, reason string) {
	if o != workload.OutcomeDone {
		event := d.cfg.Logger.Info()
		if o != workload.OutcomeStopped && o != workload.OutcomeNotRun {
			event = d.cfg.Logger.Warn()
		}
		event.Str("task", r.ref.String()).Int64("run", r.number).Str("worker", r.worker).
			Stringer("outcome", o).Str("reason", reason).Uint64("term", d.cfg.Term).Msg("run ended")
		return
	}
	if r.job.StepDone(r.ref.Occurrence, r.ref.Step) {
		d.cfg.Logger.Info().Str("job", r.job.ID).Int("occurrence", r.ref.Occurrence).Int("step", r.ref.Step).
			Int64("age_ms", nowMillis()-r.job.Submitted).Uint64("term", d.cfg.Term).Msg("step done")
	}
}

// logFinished logs the end of a job. A job that failed or missed its latency
// objective is not routine.
func (d *Driver) logFinished(j *workload.Job) {
	age := j.Ended - j.Submitted
	event, objective := d.cfg.Logger.Info(), workload.Millis(0)
	if q, ok := d.state.QueueOf(j); ok {
		objective = q.Objective(j)
	}
	late := j.Spec.StartAt == 0 && objective > 0 && age > objective
	if j.State == workload.JobFailed || late {
		event = d.cfg.Logger.Warn()
	}
	event.Str("job", j.ID).Str("queue", j.Queue).Str("team", j.Team).Stringer("state", j.State).Int64("age_ms", age).
		Int64("objective_ms", objective).Bool("late", late).Uint64("term", d.cfg.Term).Msg("job finished")
}

// ackEnd records that an end is committed and may be acknowledged to its worker.
func (d *Driver) ackEnd(s *session, number int64) {
	if s == nil || number <= s.ackable {
		return
	}
	if s.ackable <= s.acked {
		s.ackDue = time.Now().Add(ackDelay)
	}
	s.ackable = number
}

// stopFinished stops what still runs of a job that has finished since before.
func (d *Driver) stopFinished(j *workload.Job, before workload.JobState) {
	if j.State != before && j.State.Finished() {
		d.logFinished(j)
		if j.State == workload.JobFailed {
			d.stopFailed(j)
			return
		}
		d.stopJob(j, j.State.String())
	}
}

// stopUntracked stops a run for which the driver has no record. The order is not
// retried: if the run continues, the worker lists it again.
func (d *Driver) stopUntracked(s *session, ref workload.TaskRef, number int64) {
	endpoint := s.endpoint()
	d.async(func() {
		err := d.call(callTimeout, func(ctx context.Context) error {
			return d.cfg.Workers.Stop(ctx, endpoint, ref, number, s.fence)
		})
		if err != nil {
			d.cfg.Logger.Warn().Err(err).Str("task", ref.String()).Int64("run", number).Str("worker", endpoint.ID).
				Msg("failed to stop untracked run")
		}
	})
}

// stopFailed stops the runs of a failed job, without those that serve under an
// availability budget: they run on until the job is cancelled.
func (d *Driver) stopFailed(j *workload.Job) {
	d.stopRunsOf(j, "job failed", func(r *run) bool { return !r.servesOn() })
}

// stopJob stops all runs of a job.
func (d *Driver) stopJob(j *workload.Job, why string) {
	d.stopRunsOf(j, why, func(*run) bool { return true })
}

// stopRunsOf stops the runs of a job that are selected.
func (d *Driver) stopRunsOf(j *workload.Job, why string, selected func(*run) bool) {
	for k := range j.Tasks {
		for st := range j.Tasks[k] {
			for i := range j.Tasks[k][st] {
				ref := workload.TaskRef{Job: j.ID, Occurrence: k, Step: st, Index: i}
				if r := d.runs[ref]; r != nil && selected(r) {
					d.stopRun(r, why)
				}
			}
		}
	}
}

// stopRun requests the end of a run, whatever its availability budget.
func (d *Driver) stopRun(r *run, why string) {
	if r.stopping && !r.voluntary {
		return
	}
	r.stopping, r.voluntary = true, false
	d.beginStop(r, why)
}

// displaceRun requests the end of a run to empty its instance, and reports whether its
// availability budget allows that now.
func (d *Driver) displaceRun(r *run, why string) bool {
	switch {
	case r.stopping:
		return true
	case !d.withinBudget(r):
		return false
	}
	r.stopping, r.voluntary = true, true
	d.beginStop(r, why)
	return true
}

// beginStop sends the first order to stop a run. A start that is not sent yet is withheld.
func (d *Driver) beginStop(r *run, why string) {
	d.cfg.Logger.Info().Str("task", r.ref.String()).Int64("run", r.number).Str("worker", r.worker).
		Str("reason", why).Msg("run stopped")
	if r.phase != phaseCommitting {
		d.sendStop(r)
	}
}

// voidRun keeps a run from beginning whose start order may not have been carried out.
func (d *Driver) voidRun(r *run) {
	r.voiding = true
	d.sendStop(r)
}

// sendStop sends a stop order unless one is in flight or was sent within
// stopRetry.
func (d *Driver) sendStop(r *run) {
	s := d.sessions[r.worker]
	now := time.Now()
	if s == nil || r.stopInFlight || now.Sub(r.stopSent) < stopRetry || !d.cfg.Log.IsLeader(d.cfg.Term) {
		return
	}
	if r.voluntary && !r.voiding && !d.withinBudget(r) {
		d.withdrawStop(r)
		return
	}
	r.stopInFlight, r.stopSent = true, now
	endpoint := s.endpoint()
	d.async(func() {
		err := d.call(callTimeout, func(ctx context.Context) error {
			return d.cfg.Workers.Stop(ctx, endpoint, r.ref, r.number, s.fence)
		})
		d.postReply(func() { d.stopAnswered(r, s, err) })
	})
}

// withdrawStop gives up the stop of a run that its availability budget no longer allows. An
// order without an answer may yet be carried out, so the run counts as unavailable meanwhile;
// see mayBeStopped. A stop that the worker has acknowledged stands, and is repeated once the
// budget allows it.
func (d *Driver) withdrawStop(r *run) {
	if !r.stopAcked.IsZero() {
		return
	}
	r.stopping, r.voluntary = false, false
	d.cfg.Metrics.Decisions.WithLabelValues("withdraw-stop", "budget").Inc()
	d.cfg.Logger.Info().Str("task", r.ref.String()).Int64("run", r.number).Str("worker", r.worker).
		Time("last_sent", r.stopSent).Msg("stop withdrawn: other tasks of the step are unavailable")
}

func (d *Driver) stopAnswered(r *run, s *session, err error) {
	r.stopInFlight = false
	d.cfg.Metrics.Orders.WithLabelValues("stop", outcomeOf(err)).Inc()
	var refusal *platform.Refusal
	switch {
	case d.runs[r.ref] != r:
	case err == nil && s.worker.Incarnation != r.incarnation: // the earlier incarnation stopped it
	case err == nil:
		r.stopAcked = time.Now()
	case errors.Is(err, platform.ErrOtherIncarnation):
		d.otherIncarnation(s, 0)
	case errors.As(err, &refusal) && refusal.Reason == platform.ReasonFence:
		d.stopFenced(s)
	}
}

// retryRuns repeats stop orders that have not taken effect, and paces that may be changed by
// earlier orders.
func (d *Driver) retryRuns(now time.Time) {
	for _, r := range d.runs {
		d.repeatPace(r, now)
		if (r.stopping || r.voiding) && r.phase != phaseCommitting && r.phase != phaseOrdered && now.Sub(r.stopSent) > stopRetry {
			d.sendStop(r)
		}
	}
}
