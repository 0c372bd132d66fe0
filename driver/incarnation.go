package driver

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"magnoliastand.example/platform"
	"magnoliastand.example/workload"
)

// doubtWorker handles an announcement of another worker at a worker's address. The worker
// receives no work and no longer lease until a list shows that it is alive. If it is not,
// the other one refuses the hold, or no lease can stand any more.
func (d *Driver) doubtWorker(w *workload.Worker) {
	s := d.sessions[w.ID]
	if s == nil || len(d.runsOn(w.ID, w.Incarnation)) == 0 {
		d.loseWorker(w.ID, w.Incarnation, "address reused", nil)
		return
	}
	s.doubted, s.nextHold = true, time.Time{}
}

// moveRuns moves the runs of a worker to its next incarnation, whose lists show what
// became of them: some may have begun there, and the announcement alone does not prove that
// the earlier incarnation has ended. Runs whose starts have not been sent end.
func (d *Driver) moveRuns(old, next *workload.Worker) (ended, moved []*run) {
	if s := d.sessions[old.ID]; s != nil && !s.replaced {
		d.markCrash(s)
	}
	c := &workload.MoveRuns{Worker: old.ID, From: old.Incarnation, To: next.Incarnation}
	for _, r := range d.runsOn(old.ID, old.Incarnation) {
		if r.phase == phaseCommitting {
			ended = append(ended, r)
		} else {
			moved, c.Tasks = append(moved, r), append(c.Tasks, r.ref)
			if r.crash != nil {
				c.Crashes = append(c.Crashes, *r.crash)
				r.crash = nil
			}
		}
	}
	if len(moved) == 0 {
		return ended, nil
	}
	if err := d.apply(workload.Command{MoveRuns: c}, nil); err != nil {
		d.cfg.Logger.Error().Err(err).Str("worker", old.ID).Msg("move of runs rejected by the state")
	}
	return ended, moved
}

// settleMoved leaves it to the lists of the worker's next incarnation whether a run has
// begun there.
func (d *Driver) settleMoved(s *session, r *run) {
	r.endedBefore = !r.mayBeginLater()
	r.incarnation, r.phase, r.unknownSince = s.worker.Incarnation, phaseUnknown, time.Now()
	r.confirmedAt, r.seen, r.stopAcked, r.stopSent = time.Time{}, time.Time{}, time.Time{}, time.Time{}
	r.progress, r.percent, r.orderedAt = progress{}, 0, time.Now()
	if s.worker.Pool != d.state.PoolOf(r.job) {
		r.stopping, r.voluntary = true, false
	}
}

// otherIncarnation handles an answer of another incarnation at a worker's address. other
// is its start time if it has the worker's ID, and otherwise 0: then it refuses orders to
// the worker, so that nothing of the worker runs any more.
func (d *Driver) otherIncarnation(s *session, other workload.Millis) {
	d.cfg.Logger.Info().Str("worker", s.worker.ID).Int64("incarnation", s.worker.Incarnation).Int64("other", other).
		Int64("acked", s.acked).Msg("another incarnation answers")
	if other == 0 && s.inherits && s.listedAt.IsZero() {
		// Only an announcement says that this incarnation was ever at the address.
		d.awaitNext(s)
		return
	}
	if other == 0 {
		d.loseWorker(s.worker.ID, s.worker.Incarnation, reasonReplaced, nil)
		return
	}
	d.fenceNext(s, other)
	d.awaitNext(s)
}

// fenceNext raises the fencing token at the next incarnation of a worker before that one
// has registered.
func (d *Driver) fenceNext(s *session, incarnation workload.Millis) {
	next := *s.worker
	next.Incarnation = incarnation
	d.raiseFence(s.endpoint(), d.fenceOf(&next, time.Now()))
}

// raiseFence makes a worker that has restarted refuse late orders to its earlier
// incarnation. If the leader does not reach the worker by itself, its agent is asked: no hold
// follows before the next incarnation has registered.
func (d *Driver) raiseFence(endpoint platform.Endpoint, fence uint64) {
	if !d.cfg.Log.IsLeader(d.cfg.Term) {
		return
	}
	raise := func(ctx context.Context) error { return d.cfg.Workers.RaiseFence(ctx, endpoint, fence) }
	raiseThroughAgent := func(ctx context.Context) error {
		_, err := d.cfg.Workers.Hold(ctx, endpoint, &platform.HoldOrder{Fence: fence})
		return err
	}
	d.async(func() {
		var err error
		for range startAttempts {
			for _, order := range []func(context.Context) error{raise, raiseThroughAgent} {
				var refusal *platform.Refusal
				err = d.call(startTimeout, order)
				if err == nil || errors.As(err, &refusal) || errors.Is(err, platform.ErrOtherIncarnation) {
					return // the worker has seen a later token, or is gone
				}
			}
		}
		d.cfg.Logger.Warn().Err(err).Str("worker", endpoint.ID).Uint64("fence", fence).
			Msg("fencing token not raised at a restarted worker; its first hold will")
	})
}

// awaitNext ends the runs that ended with a worker's incarnation when the next one took
// its place. Runs that may have begun on the next one wait for its registration, or until
// no lease on it can stand.
func (d *Driver) awaitNext(s *session) {
	if !s.replaced {
		d.markCrash(s)
	}
	s.replaced, s.failures = true, max(s.failures, 1)
	if bound := time.Now().Add(d.longestLease()); bound.After(s.leaseExpiry) {
		s.leaseExpiry = bound
	}
	waiting := false
	for _, r := range d.runsOn(s.worker.ID, s.worker.Incarnation) {
		switch {
		case r.mayBeginLater():
			waiting = true
		case r.phase != phaseCommitting: // order withholds a start that has not been sent
			d.endRun(r, workload.OutcomeLost, "", 0, "worker restarted")
		}
	}
	if !waiting {
		d.loseWorker(s.worker.ID, s.worker.Incarnation, "worker restarted", nil)
	}
}

// loseIdleWorker removes a worker whose instance is said to have been taken down. The
// answer proves nothing if the order had been carried out before the worker started, so a
// worker with runs is left to its lists.
func (d *Driver) loseIdleWorker(w *workload.Worker, reason string) {
	if w != nil && len(d.runsOn(w.ID, w.Incarnation)) == 0 {
		d.loseWorker(w.ID, w.Incarnation, reason, nil)
	}
}

// departWorker handles the departure message of a worker, which may go on for seconds if
// it does not learn that the message has arrived. Its runs are stopped and keep their
// tasks until they have ended.
func (d *Driver) departWorker(w *workload.Worker, then func(error)) {
	runs, s := d.runsOn(w.ID, w.Incarnation), d.sessions[w.ID]
	if len(runs) == 0 || s == nil {
		d.loseWorker(w.ID, w.Incarnation, reasonDeparted, func() { then(nil) })
		return
	}
	leaving := *w
	leaving.Draining = true
	if err := d.apply(workload.Command{Register: &leaving}, func() { then(nil) }); err != nil {
		then(err)
		return
	}
	s.worker, s.departed = d.state.Workers()[w.ID], true
	d.cfg.Logger.Info().Str("worker", w.ID).Int64("incarnation", w.Incarnation).Int("runs", len(runs)).Msg("worker departs with runs")
	for _, r := range runs {
		d.stopRun(r, "worker departs")
	}
}
