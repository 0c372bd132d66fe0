package driver

import (
	"cmp"
	"slices"
	"time"

	"magnoliastand.example/platform"
	"magnoliastand.example/workload"
)

// handleLists reconciles a worker's lists with the runs assigned to it.
func (d *Driver) handleLists(s *session, sent time.Time, l *platform.Lists) {
	now := time.Now()
	s.listedEnds = len(l.Ended) + l.Unreadable
	ended := make(map[workload.TaskRef]int64, len(l.Ended))
	slices.SortFunc(l.Ended, func(a, b platform.EndedTask) int { return cmp.Compare(numberOf(&a), numberOf(&b)) })
	for i := range l.Ended {
		ended[l.Ended[i].Task] = max(ended[l.Ended[i].Task], l.Ended[i].Run)
	}
	running := make(map[workload.TaskRef]int64, len(l.Running))
	for i := range l.Running {
		running[l.Running[i].Task] = max(running[l.Running[i].Task], l.Running[i].Run)
	}
	missing := d.missingRuns(s, running, ended)
	// A list of the maximum size may be cut, and then lacks runs for that reason.
	whole := len(l.Ended)+l.Unreadable < maxEnds
	s.unreadable.record(l, s.acked, now)
	s.unreadable.recordMissing(missing, now)
	passable := s.unreadable.passableUntil(missing, whole, now)
	for i := range l.Ended {
		d.handleEnded(s, &l.Ended[i], passable)
	}
	before := s.unassigned
	s.unassigned = 0
	for i := range l.Running {
		d.handleRunning(s, &l.Running[i], now)
	}
	if before > 0 && s.unassigned == 0 {
		d.needsPlan = true // the worker receives work again
	}
	if whole {
		d.resolveMissing(s, sent, missing, now)
	}
	d.pace(s, now)
	d.maybeHold(s, now, len(d.state.Runs(s.worker.ID)))
}

// handleEnded commits an end listed by the worker, once. The end of a current run counts even if
// a later number is committed: its row may have been unreadable until now. An end behind an unreadable row is
// acknowledged only if it was first listed at passable or before.
func (d *Driver) handleEnded(s *session, e *platform.EndedTask, passable time.Time) {
	number := numberOf(e)
	r := d.runs[e.Task]
	current := r != nil && r.number == e.Run && r.worker == s.worker.ID && r.incarnation == s.worker.Incarnation
	if !current && number <= s.worker.Acked {
		return
	}
	behind := e.Number < 0
	acked := number
	switch {
	case behind && !s.unreadable.listed[number].After(passable):
		if s.unreadable.passed == 0 {
			d.cfg.Logger.Warn().Str("worker", s.worker.ID).Int64("incarnation", s.worker.Incarnation).
				Int("rows", s.unreadable.rows).Int64("number", number).Msg("acknowledging ends behind rows that cannot be read")
		}
		s.unreadable.passed = max(s.unreadable.passed, number)
	case behind:
		acked, s.unreadable.pending = 0, true
	}
	if current {
		d.endRun(r, e.Outcome, e.Checkpoint, acked, "listed by the worker")
		if acked == 0 {
			s.unreadable.count(number)
		}
		return
	}
	if acked == 0 {
		return // settled once it may be acknowledged
	}
	settled := *e
	settled.Number = acked
	d.settleEarlier(s, &settled)
}

// settleEarlier commits the end of a run that is not the current one of its task. If it
// is done, the current run has become useless.
func (d *Driver) settleEarlier(s *session, e *platform.EndedTask) {
	if !s.unreadable.counted[e.Number] {
		d.logSuperseded(s, e)
	}
	job, _ := d.state.TaskOf(e.Task)
	before := workload.JobPending
	if job != nil {
		before = job.State
	}
	end := &workload.End{
		Task: e.Task, Run: e.Run, Worker: s.worker.ID, Incarnation: s.worker.Incarnation,
		Outcome: e.Outcome, Number: e.Number, Settles: true,
	}
	number := e.Number
	d.noteLateRun(s, e.Task, e.Run)
	d.holdBack(s, e.Task, e.Outcome, number)
	if err := d.apply(workload.Command{End: end}, func() { d.ackEnd(s, number) }); err != nil {
		d.cfg.Logger.Error().Err(err).Str("task", e.Task.String()).Msg("end of run rejected by the state")
		return
	}
	if job == nil {
		return
	}
	if r := d.runs[e.Task]; r != nil && job.IsSuperseded(r.ref, r.number) {
		d.stopRun(r, "an earlier run is done")
	}
	d.stopFinished(job, before)
}

// logSuperseded logs the end of a run that is not the current run of its task on the
// worker that lists it, beside what the state knows of the task.
func (d *Driver) logSuperseded(s *session, e *platform.EndedTask) {
	d.cfg.Metrics.SupersededEnds.WithLabelValues(e.Outcome.String()).Inc()
	event := d.cfg.Logger.Info()
	if e.Outcome == workload.OutcomeDone {
		event = d.cfg.Logger.Warn()
	}
	event = event.Str("task", e.Task.String()).Int64("run", e.Run).Str("worker", s.worker.ID).
		Int64("incarnation", s.worker.Incarnation).Stringer("outcome", e.Outcome).Int64("number", e.Number)
	if _, t := d.state.TaskOf(e.Task); t != nil {
		event = event.Stringer("task_state", t.State).Int64("current_run", t.Run).Str("current_worker", t.Worker).
			Int64("current_incarnation", t.Incarnation)
	}
	event.Msg("end of a run that is not current")
}

// handleRunning records a run listed by the worker and stops it if it is not
// assigned there.
func (d *Driver) handleRunning(s *session, t *platform.RunningTask, now time.Time) {
	r := d.runs[t.Task]
	if r == nil || r.number != t.Run || r.worker != s.worker.ID {
		s.unassigned++
		d.stopUnexpected(s, t)
		return
	}
	if r.phase != phaseStarted && r.phase != phaseCommitting {
		r.phase, r.confirmedAt = phaseStarted, now
		d.recordBegin(r)
	}
	d.dropNote(r)
	d.watchTrial(r, now)
	r.seen, r.missing, r.percent, r.tail = now, absence{}, t.Percent, t.Tail
	d.watchProgress(s, r, t.Percent, now)
	if r.stopAcked.IsZero() {
		r.voiding = false
	}
	if r.stopping || r.voiding {
		d.sendStop(r)
	}
}

// stopUnexpected stops a run that the state does not assign to the worker.
func (d *Driver) stopUnexpected(s *session, t *platform.RunningTask) {
	d.cfg.Logger.Warn().Str("task", t.Task.String()).Int64("run", t.Run).Str("worker", s.worker.ID).Msg("stopping unexpected run")
	d.noteLateRun(s, t.Task, t.Run)
	d.stopUntracked(s, t.Task, t.Run)
}

// missingRuns returns the runs on the worker that its lists show neither as running nor as
// ended.
func (d *Driver) missingRuns(s *session, running, ended map[workload.TaskRef]int64) []*run {
	missing := d.runsOn(s.worker.ID, s.worker.Incarnation)
	return slices.DeleteFunc(missing, func(r *run) bool { return running[r.ref] == r.number || ended[r.ref] == r.number })
}

// resolveMissing resolves runs that the worker does not list. A run is over if
// the hold was sent after its start was confirmed or after a stop was
// acknowledged, unless an unreadable row may be its own.
func (d *Driver) resolveMissing(s *session, sent time.Time, missing []*run, now time.Time) {
	for _, r := range missing {
		if d.runs[r.ref] != r || d.mayBeUnreadable(s, r, now) {
			continue
		}
		switch {
		case r.endedBefore && r.unknownSince.Before(sent):
			d.endRun(r, workload.OutcomeLost, "", 0, "worker restarted")
		case !r.stopAcked.IsZero() && r.stopAcked.Before(sent) && r.phase == phaseStarted && s.unreadable.rows > 0:
			d.endRun(r, workload.OutcomeLost, "", 0, "worker no longer lists it, beside an unreadable row")
		case !r.stopAcked.IsZero() && r.stopAcked.Before(sent):
			d.endRun(r, workload.OutcomeNotRun, "", 0, "stopped before it began")
		case r.phase == phaseStarted && !r.confirmedAt.IsZero() && r.confirmedAt.Before(sent):
			d.endRun(r, workload.OutcomeLost, "", 0, "worker no longer lists it")
		case r.phase == phaseUnknown && r.unknownSince.Before(sent):
			d.voidRun(r)
		}
	}
}

// holdWaitFor returns how long a worker may delay its reply to a hold while it
// waits for a run to end. It is 0 while a run's state depends on the next list.
func (d *Driver) holdWaitFor(s *session) time.Duration {
	wait := holdWait
	for _, r := range d.trials {
		if r.worker == s.worker.ID {
			wait = startingWait
		}
	}
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
