package driver

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"magnoliastand.example/platform"
	"magnoliastand.example/workload"
)

const (
	// startAttempts is how often an unanswered start order is sent. The order is
	// idempotent for its run.
	startAttempts = 3
	// startTimeout bounds one attempt: a reply takes a few milliseconds, and a
	// local process may be stalled for 100 ms.
	startTimeout = 250 * time.Millisecond
)

// order sends the start order for a committed assignment.
func (d *Driver) order(a *workload.Assign) {
	r := d.runs[a.Task]
	if r == nil || r.number != a.Run {
		return
	}
	s := d.sessions[a.Worker]
	now := time.Now()
	if why := d.withheldBecause(r, s, a.Incarnation, now); why != "" {
		d.endRun(r, workload.OutcomeNotRun, "", 0, why)
		return
	}
	r.phase, r.pace, r.orderedAt, r.sending = phaseOrdered, fullPace, now, true
	o := &platform.StartOrder{
		Task: r.ref, Run: r.number, Payload: r.job.Spec.Payload, Until: d.leaseUntil(s, now), Fence: s.fence,
		Checkpoint: r.checkpoint, Ticket: d.ticketOf(r),
	}
	if r.number == 1 {
		d.cfg.Metrics.StartDelaySeconds.Observe(float64(nowMillis()-r.job.Submitted) / 1000)
	}
	endpoint := s.endpoint()
	d.sending[r.ref]++
	d.async(func() { d.sendStart(r, s, endpoint, o) })
}

// withheldBecause returns why a decided start may not be sent any more, or "" if it may. s may
// be nil.
func (d *Driver) withheldBecause(r *run, s *session, incarnation workload.Millis, now time.Time) string {
	switch {
	case s == nil || s.worker.Incarnation != incarnation || s.replaced || r.stopping || !d.cfg.Log.IsLeader(d.cfg.Term):
		return "start withheld"
	case d.state.IsEvacuated(s.worker.Zone):
		d.cfg.Metrics.WithheldStarts.Inc()
		return "start withheld: zone evacuated"
	case s.ackUnanswered:
		return "start withheld: worker may have restarted"
	case s.unassigned > 0:
		return "start withheld: worker runs an unassigned task"
	case !d.knowsCapacity(s, now):
		return "start withheld: capacity not known"
	case !d.withinCapacity(r, s):
		return "start withheld: worker has shrunk"
	}
	return ""
}

// sendStart sends a start order and repeats it if no reply arrives. After an
// unanswered attempt, a later refusal proves nothing, because the worker may
// still execute the earlier order.
func (d *Driver) sendStart(r *run, s *session, endpoint platform.Endpoint, o *platform.StartOrder) {
	var clock workload.Millis
	var err, unanswered error
	for range startAttempts {
		if r.withheld.Load() {
			err = errZoneEvacuated
			break
		}
		err = d.call(startTimeout, func(ctx context.Context) (err error) {
			clock, err = d.cfg.Workers.Start(ctx, endpoint, o)
			return err
		})
		if isAnswer(err) {
			break
		}
		unanswered = err
		if r.unrepeated.Load() {
			break
		}
	}
	if err != nil && unanswered != nil && !errors.Is(err, platform.ErrOtherIncarnation) {
		err = unanswered
	}
	d.postReply(func() {
		r.sending = false
		if d.sending[r.ref]--; d.sending[r.ref] == 0 {
			delete(d.sending, r.ref)
		}
		if unanswered != nil {
			r.unanswered = true
			d.recordLateStart(s, r, time.Now())
		}
		d.startAnswered(r, s, clock, err)
	})
}

// isAnswer reports whether the result of a call is definite.
func isAnswer(err error) bool {
	var refusal *platform.Refusal
	return err == nil || errors.As(err, &refusal) || errors.Is(err, platform.ErrBusy) ||
		errors.Is(err, platform.ErrNotSent) || errors.Is(err, platform.ErrOtherIncarnation)
}

// startAnswered handles the reply to a start order.
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
		d.recordBegin(r)
		s.readClock(clock, now)
		s.lastContact = now
	case errors.Is(err, platform.ErrOtherIncarnation):
		d.otherIncarnation(s, 0)
		return
	case errors.As(err, &refusal):
		d.startRefused(r, s, refusal, now)
		return
	case errors.Is(err, errZoneEvacuated):
		d.cfg.Metrics.WithheldStarts.Inc()
		d.endRun(r, workload.OutcomeNotRun, "", 0, "start withheld: zone evacuated")
		return
	case errors.Is(err, errLeaseLost): // the worker has no part in it
		d.endRun(r, workload.OutcomeNotRun, "", 0, outcomeOf(err))
		return
	case errors.Is(err, platform.ErrBusy), errors.Is(err, platform.ErrNotSent):
		s.addFailure(refusalWeight, now)
		d.endRun(r, workload.OutcomeNotRun, "", 0, outcomeOf(err))
		return
	default:
		r.phase, r.unknownSince = phaseUnknown, now
		s.addFailure(refusalWeight, now)
		d.cfg.Logger.Warn().Err(err).Str("task", r.ref.String()).Int64("run", r.number).Str("worker", r.worker).
			Msg("start order without an answer")
	}
	if r.stopping {
		d.sendStop(r)
	}
}

// recordBegin records the first confirmed run of a job.
func (d *Driver) recordBegin(r *run) {
	if r.job.State != workload.JobPending {
		return
	}
	if err := d.apply(workload.Command{Begin: &workload.Begin{Job: r.job.ID}}, nil); err != nil {
		d.cfg.Logger.Error().Err(err).Str("job", r.job.ID).Msg("start of job rejected by the state")
	}
}

func (d *Driver) startRefused(r *run, s *session, refusal *platform.Refusal, now time.Time) {
	if refusal.Reason == platform.ReasonFence {
		d.stopFenced(s)
		return // a run on the next incarnation is settled by its lists
	}
	if refusal.Reason == platform.ReasonOld {
		// The run has already ended or was stopped on the worker; its lists
		// determine which.
		r.phase, r.unknownSince = phaseUnknown, now
		d.voidRun(r)
		return
	}
	s.addFailure(refusalWeight, now)
	if refusal.Reason == platform.ReasonTicket {
		d.dropTicket(r)
	}
	d.endRun(r, workload.OutcomeNotRun, "", 0, "refused: "+string(refusal.Reason))
}

// stopFenced stops the driver because the worker has accepted an order with a
// later term. The next incarnation of a worker refuses orders to the earlier one.
func (d *Driver) stopFenced(s *session) {
	if d.sessions[s.worker.ID] != s || s.replaced {
		return
	}
	d.cfg.Logger.Warn().Str("worker", s.worker.ID).Uint64("term", d.cfg.Term).Msg("order rejected: worker has seen a later term")
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
