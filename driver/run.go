package driver

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"magnoliastand.example/platform"
	"magnoliastand.example/workload"
)

const (
	// startAttempts is how often a start without an answer is sent again; the
	// order is idempotent for its run.
	startAttempts = 3
	// startTimeout bounds one attempt: an answer takes a few milliseconds, and a
	// process of ours may stand still for a tenth of a second.
	startTimeout = 250 * time.Millisecond
	// stopRetry is the time between two stop orders for one run.
	stopRetry = 300 * time.Millisecond
	// retryDelay keeps a task that was refused by a worker from the next plan,
	// so that a fleet that refuses all starts is not asked in a loop.
	retryDelay = 150 // milliseconds
	// refusalBlame and failureBlame are the weights of a refused start and of a
	// failed run against the worker.
	refusalBlame = 2
	failureBlame = 1
)

// phase is how far the run of a task is, as this leader knows.
type phase uint8

// Phases of a run.
const (
	// phaseCommitting runs are assigned in a batch that is under way.
	phaseCommitting phase = iota
	// phaseOrdered runs have a start order under way.
	phaseOrdered
	// phaseUnknown runs may have started, or may start later.
	phaseUnknown
	// phaseStarted runs were confirmed by the worker.
	phaseStarted
)

// run is one run of a task under this leader.
type run struct {
	ref         workload.TaskRef
	number      int64
	worker      string
	incarnation workload.Millis
	job         *workload.Job
	phase       phase
	// confirmedAt is when the worker last confirmed the start.
	confirmedAt time.Time
	// stopping is set once the run is to end; stopSent and stopAcked are the
	// times of the last order and of its answer.
	stopping  bool
	stopBusy  bool
	stopSent  time.Time
	stopAcked time.Time
	// unknownSince is when the start order was left without an answer.
	unknownSince time.Time
	// seen and percent are from the last list of the worker.
	seen     time.Time
	progress progress
	percent  int
	tail     int64
	pace     int
}

func (r *run) step() *workload.Step { return &r.job.Spec.Steps[r.ref.Step] }

// inherit takes over a run of an earlier leader.
func (d *Driver) inherit(ref workload.TaskRef, j *workload.Job) {
	_, t := d.state.TaskOf(ref)
	r := &run{
		ref: ref, number: t.Run, worker: t.Worker, incarnation: t.Incarnation, job: j,
		phase: phaseUnknown, unknownSince: time.Now(), pace: fullPace,
	}
	d.runs[ref] = r
	if j.State.Finished() {
		r.stopping = true
	}
}

// runsOn returns the runs on an incarnation of a worker.
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
}

// order sends the start order of a committed assignment.
func (d *Driver) order(a *workload.Assign) {
	r := d.runs[a.Task]
	if r == nil || r.number != a.Run {
		return
	}
	s := d.sessions[a.Worker]
	now := time.Now()
	if s == nil || s.worker.Incarnation != a.Incarnation || r.stopping || !d.cfg.Log.Leads(d.cfg.Term) {
		d.endRun(r, workload.OutcomeNotRun, "", 0, "start withheld")
		return
	}
	r.phase, r.pace = phaseOrdered, fullPace
	_, t := d.state.TaskOf(r.ref)
	o := &platform.StartOrder{
		Task: r.ref, Run: r.number, Payload: r.job.Spec.Payload, Until: d.leaseUntil(s, now), Fence: d.cfg.Term,
		Checkpoint: t.Checkpoint, Ticket: d.ticketOf(r),
	}
	if r.number == 1 {
		d.cfg.Metrics.StartDelaySeconds.Observe(float64(nowMillis()-r.job.Submitted) / 1000)
	}
	endpoint := s.endpoint()
	d.async(func() { d.sendStart(r, s, endpoint, o) })
}

// sendStart sends a start order, again when it gets no answer. Once an attempt
// was left without an answer, a later refusal proves nothing: the first may still
// be carried out.
func (d *Driver) sendStart(r *run, s *session, endpoint platform.Endpoint, o *platform.StartOrder) {
	var clock workload.Millis
	var err, unanswered error
	for range startAttempts {
		err = d.call(startTimeout, func(ctx context.Context) (err error) {
			clock, err = d.cfg.Workers.Start(ctx, endpoint, o)
			return err
		})
		if isAnswer(err) {
			break
		}
		unanswered = err
	}
	if err != nil && unanswered != nil && !errors.Is(err, platform.ErrOtherIncarnation) {
		err = unanswered
	}
	d.reply(func() { d.startAnswered(r, s, clock, err) })
}

// isAnswer reports whether the outcome of a call is known.
func isAnswer(err error) bool {
	var refusal *platform.Refusal
	return err == nil || errors.As(err, &refusal) || errors.Is(err, platform.ErrBusy) ||
		errors.Is(err, platform.ErrNotSent) || errors.Is(err, platform.ErrOtherIncarnation)
}

// startAnswered takes the answer to a start order.
func (d *Driver) startAnswered(r *run, s *session, clock workload.Millis, err error) {
	now := time.Now()
	if d.runs[r.ref] != r {
		return
	}
	d.cfg.Metrics.Orders.WithLabelValues("start", outcomeOf(err)).Inc()
	var refusal *platform.Refusal
	switch {
	case err == nil:
		r.confirmedAt = now
		if r.phase == phaseOrdered {
			r.phase = phaseStarted
		}
		d.noteBegin(r)
		s.readClock(clock, now)
		s.heardAt = now
	case errors.Is(err, platform.ErrOtherIncarnation):
		d.otherIncarnation(s, 0)
		return
	case errors.As(err, &refusal):
		d.startRefused(r, s, refusal, now)
		return
	case errors.Is(err, platform.ErrBusy), errors.Is(err, platform.ErrNotSent):
		s.blameFor(refusalBlame, now)
		d.endRun(r, workload.OutcomeNotRun, "", 0, outcomeOf(err))
		return
	default:
		r.phase, r.unknownSince = phaseUnknown, now
		s.blameFor(refusalBlame, now)
		d.cfg.Logger.Warn().Err(err).Str("task", r.ref.String()).Int64("run", r.number).Str("worker", r.worker).
			Msg("start order without an answer")
	}
	if r.stopping {
		d.sendStop(r)
	}
}

// noteBegin records the first confirmed run of a job.
func (d *Driver) noteBegin(r *run) {
	if r.job.State != workload.JobPending {
		return
	}
	if err := d.do(workload.Command{Begin: &workload.Begin{Job: r.job.ID}}, nil); err != nil {
		d.cfg.Logger.Error().Err(err).Str("job", r.job.ID).Msg("beginning refused by the state")
	}
}

func (d *Driver) startRefused(r *run, s *session, refusal *platform.Refusal, now time.Time) {
	if refusal.Reason == platform.ReasonFence {
		d.fenced(s)
		return
	}
	if refusal.Reason == platform.ReasonOld {
		// The run ended or was stopped there: the lists of the worker settle it.
		r.phase, r.unknownSince = phaseUnknown, now
		d.sendStop(r)
		return
	}
	s.blameFor(refusalBlame, now)
	if refusal.Reason == platform.ReasonTicket {
		d.dropAdvice(r)
	}
	d.endRun(r, workload.OutcomeNotRun, "", 0, "refused: "+string(refusal.Reason))
}

// fenced ends the driver: a later leader has spoken to the worker.
func (d *Driver) fenced(s *session) {
	d.cfg.Logger.Warn().Str("worker", s.worker.ID).Uint64("term", d.cfg.Term).Msg("fenced off by a later leader")
	d.cancel()
}

func outcomeOf(err error) string {
	var refusal *platform.Refusal
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &refusal):
		return string(refusal.Reason)
	case errors.Is(err, platform.ErrBusy):
		return "busy"
	case errors.Is(err, platform.ErrNotSent):
		return "not-sent"
	case errors.Is(err, platform.ErrOtherIncarnation):
		return "other-incarnation"
	}
	return "no-answer"
}

// endRun commits the end of a run. Number is that of the worker's list, or 0.
func (d *Driver) endRun(r *run, o workload.Outcome, checkpoint string, number int64, reason string) {
	job := r.job
	before := job.State
	end := &workload.End{
		Task: r.ref, Run: r.number, Worker: r.worker, Incarnation: r.incarnation, Outcome: o,
		Checkpoint: checkpoint, Number: number,
	}
	s := d.sessions[r.worker]
	err := d.do(workload.Command{End: end}, func() { d.ackEnd(s, number) })
	if err != nil {
		d.cfg.Logger.Error().Err(err).Str("task", r.ref.String()).Msg("end refused by the state")
		return
	}
	d.forgetRun(r)
	d.cfg.Metrics.Ends.WithLabelValues(o.String()).Inc()
	d.cfg.Logger.Info().Str("task", r.ref.String()).Int64("run", r.number).Str("worker", r.worker).
		Stringer("outcome", o).Str("reason", reason).Uint64("term", d.cfg.Term).Msg("run ended")
	if o == workload.OutcomeNotRun {
		d.notBefore[r.ref] = nowMillis() + retryDelay
	}
	if o == workload.OutcomeFailed && s != nil {
		s.blameFor(failureBlame, time.Now())
		if !job.State.Finished() {
			d.failedOn[r.ref] = r.worker
		}
	}
	if job.State != before && job.State.Finished() {
		d.cfg.Logger.Info().Str("job", job.ID).Stringer("state", job.State).Msg("job finished")
		d.stopJob(job, job.State.String())
	}
}

// ackEnd allows an end to be acknowledged to its worker.
func (d *Driver) ackEnd(s *session, number int64) {
	if s == nil || number <= s.ackable {
		return
	}
	if s.ackable <= s.acked {
		s.ackDue = time.Now().Add(ackDelay)
	}
	s.ackable = number
}

// takeLists compares what a worker lists with what it should run.
func (d *Driver) takeLists(s *session, sent time.Time, l *platform.Lists) {
	now := time.Now()
	ended := make(map[workload.TaskRef]int64, len(l.Ended))
	for i := range l.Ended {
		e := &l.Ended[i]
		ended[e.Task] = max(ended[e.Task], e.Run)
		d.takeEnd(s, e)
	}
	running := make(map[workload.TaskRef]int64, len(l.Running))
	for i := range l.Running {
		t := &l.Running[i]
		running[t.Task] = max(running[t.Task], t.Run)
		d.takeRunning(s, t, now)
	}
	if len(l.Ended) < maxEnds && l.Unreadable == 0 {
		d.settleMissing(s, sent, running, ended)
	}
	d.pace(s, now)
	d.maybeHold(s, now, len(d.state.Runs(s.worker.ID)))
}

// takeEnd commits an end that the worker lists, once.
func (d *Driver) takeEnd(s *session, e *platform.EndedTask) {
	if e.Number <= s.worker.Acked {
		return
	}
	r := d.runs[e.Task]
	if r != nil && r.number == e.Run && r.worker == s.worker.ID && r.incarnation == s.worker.Incarnation {
		d.endRun(r, e.Outcome, e.Checkpoint, e.Number, "listed by the worker")
		return
	}
	end := &workload.End{
		Task: e.Task, Run: e.Run, Worker: s.worker.ID, Incarnation: s.worker.Incarnation,
		Outcome: e.Outcome, Number: e.Number,
	}
	number := e.Number
	if err := d.do(workload.Command{End: end}, func() { d.ackEnd(s, number) }); err != nil {
		d.cfg.Logger.Error().Err(err).Str("task", e.Task.String()).Msg("end refused by the state")
	}
}

// takeRunning notes a run that the worker lists. A run that should not be there
// is stopped.
func (d *Driver) takeRunning(s *session, t *platform.RunningTask, now time.Time) {
	r := d.runs[t.Task]
	if r == nil || r.number != t.Run || r.worker != s.worker.ID {
		d.stopStray(s, t)
		return
	}
	if r.phase != phaseStarted && r.phase != phaseCommitting {
		r.phase, r.confirmedAt = phaseStarted, now
		d.noteBegin(r)
	}
	r.seen, r.percent, r.tail = now, t.Percent, t.Tail
	d.watchProgress(s, r, t.Percent, now)
	if r.stopping {
		d.sendStop(r)
	}
}

// stopStray stops a run that the state does not place on the worker.
func (d *Driver) stopStray(s *session, t *platform.RunningTask) {
	d.cfg.Logger.Warn().Str("task", t.Task.String()).Int64("run", t.Run).Str("worker", s.worker.ID).Msg("stray run stopped")
	d.stopUntracked(s, t.Task, t.Run)
}

// stopUntracked stops a run that the driver holds no record of. It is not
// repeated: a run that goes on is listed again.
func (d *Driver) stopUntracked(s *session, ref workload.TaskRef, number int64) {
	endpoint := s.endpoint()
	d.async(func() {
		err := d.call(callTimeout, func(ctx context.Context) error {
			return d.cfg.Workers.Stop(ctx, endpoint, ref, number, d.cfg.Term)
		})
		if err != nil {
			d.cfg.Logger.Warn().Err(err).Str("task", ref.String()).Int64("run", number).Str("worker", endpoint.ID).
				Msg("untracked run not stopped")
		}
	})
}

// settleMissing settles runs that the worker does not list. A hold that was sent
// after the start was confirmed, or after a stop was acknowledged, proves that
// the run is over.
func (d *Driver) settleMissing(s *session, sent time.Time, running, ended map[workload.TaskRef]int64) {
	for _, r := range d.runsOn(s.worker.ID, s.worker.Incarnation) {
		if running[r.ref] == r.number || ended[r.ref] == r.number {
			continue
		}
		switch {
		case !r.stopAcked.IsZero() && r.stopAcked.Before(sent):
			d.endRun(r, workload.OutcomeNotRun, "", 0, "stopped before it began")
		case r.phase == phaseStarted && !r.confirmedAt.IsZero() && r.confirmedAt.Before(sent):
			d.endRun(r, workload.OutcomeLost, "", 0, "worker no longer lists it")
		case r.phase == phaseUnknown && r.unknownSince.Before(sent):
			d.sendStop(r)
		}
	}
}

// holdWaitFor returns how long a worker may wait for an end: not at all while a
// run waits for a list that settles it.
func (d *Driver) holdWaitFor(s *session) time.Duration {
	wait := holdWait
	for _, r := range d.runsOn(s.worker.ID, s.worker.Incarnation) {
		if r.phase == phaseUnknown || r.stopping {
			return 0
		}
		if step := r.step(); step.LongRunning && step.MaxUnavailable > 0 && r.percent < fullPace {
			wait = startingWait
		}
	}
	return wait
}

// stopJob stops all runs of a job.
func (d *Driver) stopJob(j *workload.Job, why string) {
	for k := range j.Tasks {
		for st := range j.Tasks[k] {
			for i := range j.Tasks[k][st] {
				ref := workload.TaskRef{Job: j.ID, Occurrence: k, Step: st, Index: i}
				if r := d.runs[ref]; r != nil {
					d.stopRun(r, why)
				}
			}
		}
	}
}

// stopRun makes a run end.
func (d *Driver) stopRun(r *run, why string) {
	if r.stopping {
		return
	}
	r.stopping = true
	d.cfg.Logger.Info().Str("task", r.ref.String()).Int64("run", r.number).Str("worker", r.worker).
		Str("reason", why).Msg("run stopped")
	if r.phase != phaseCommitting {
		d.sendStop(r)
	}
}

// sendStop sends a stop order unless one was just sent.
func (d *Driver) sendStop(r *run) {
	s := d.sessions[r.worker]
	now := time.Now()
	if s == nil || r.stopBusy || now.Sub(r.stopSent) < stopRetry || !d.cfg.Log.Leads(d.cfg.Term) {
		return
	}
	r.stopping, r.stopBusy, r.stopSent = true, true, now
	endpoint := s.endpoint()
	d.async(func() {
		err := d.call(callTimeout, func(ctx context.Context) error {
			return d.cfg.Workers.Stop(ctx, endpoint, r.ref, r.number, d.cfg.Term)
		})
		d.reply(func() { d.stopAnswered(r, s, err) })
	})
}

func (d *Driver) stopAnswered(r *run, s *session, err error) {
	r.stopBusy = false
	d.cfg.Metrics.Orders.WithLabelValues("stop", outcomeOf(err)).Inc()
	var refusal *platform.Refusal
	switch {
	case d.runs[r.ref] != r:
	case err == nil:
		r.stopAcked = time.Now()
	case errors.Is(err, platform.ErrOtherIncarnation):
		d.otherIncarnation(s, 0)
	case errors.As(err, &refusal) && refusal.Reason == platform.ReasonFence:
		d.fenced(s)
	}
}

// retryRuns repeats stops that had no effect yet.
func (d *Driver) retryRuns(now time.Time) {
	for _, r := range d.runs {
		if r.stopping && r.phase != phaseCommitting && r.phase != phaseOrdered && now.Sub(r.stopSent) > stopRetry {
			d.sendStop(r)
		}
	}
}
