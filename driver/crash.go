package driver

import (
	"time"

	"magnoliastand.example/workload"
	"magnoliastand.example/workload/plan"
)

const (
	// freshTime is how long a run must have been alive, by its worker's lists, before a
	// crash of the worker is no longer taken to be caused by its start.
	freshTime = 200 * time.Millisecond
	// youngTime is how long a run must have been alive beside others before a crash of its
	// worker does not count for its task at all. For a run that is alone it is provenTime.
	youngTime = 5 * time.Second
	// provenTime is how long a run must have been alive before the crashes under earlier runs
	// of its task no longer count. A task that may crash its worker so late is not told from
	// others in any case.
	provenTime = 10 * time.Second
	// trialWait is how long a suspected task waits for a suitable worker before it is
	// treated one degree less strictly.
	trialWait = 1500 * time.Millisecond
	// rackWindow is the time within which the workers of a rack fall silent when the rack
	// is lost: the longest hold.
	rackWindow = holdWait + holdTimeout
	// downMemory is how long a worker that fell silent is remembered.
	downMemory = 30 * time.Second
)

// down is a worker that stopped answering.
type down struct {
	worker, rack string
	at           time.Time
}

// rackOf returns the availability zone and rack of a worker, or "" if it names no rack.
func rackOf(w *workload.Worker) string {
	if len(w.Labels) == 0 {
		return ""
	}
	return w.Zone + "/" + w.Labels[len(w.Labels)-1]
}

// recordDown remembers when a worker stopped answering.
func (d *Driver) recordDown(s *session, now time.Time) {
	s.downSince = now
	d.downs = append(d.downs, down{worker: s.worker.ID, rack: rackOf(s.worker), at: now})
	old := 0
	for old < len(d.downs) && now.Sub(d.downs[old].at) > downMemory {
		old++
	}
	d.downs = d.downs[old:]
}

// rackLost reports whether the other workers of a worker's rack stopped answering with it
// and none has been heard of since. Then hardly any task is to blame.
func (d *Driver) rackLost(s *session) bool {
	rack := rackOf(s.worker)
	if rack == "" || s.downSince.IsZero() {
		return false
	}
	silent := map[string]bool{}
	for _, o := range d.downs {
		if o.rack == rack && o.worker != s.worker.ID && o.at.Sub(s.downSince).Abs() <= rackWindow {
			silent[o.worker] = true
		}
	}
	for id, o := range d.sessions {
		if o != s && !silent[id] && rackOf(o.worker) == rack && o.failures == 0 && o.lastContact.After(s.downSince) {
			return false
		}
	}
	return len(silent) >= 2
}

// crashOf returns the runs for which a crash of a worker counts. A worker that leaves did
// not crash under its runs. One that ended with its rack is weak evidence: tasks of one job
// may have crashed all workers of the rack, again and again.
func (d *Driver) crashOf(s *session) []workload.CrashedRun {
	if s.departed || s.worker.Draining {
		return nil
	}
	weak := d.rackLost(s)
	runs := d.runsOn(s.worker.ID, s.worker.Incarnation)
	alone := 0
	for _, r := range runs {
		if r.phase != phaseCommitting {
			alone++
		}
	}
	limit := youngTime
	if alone == 1 {
		limit = provenTime // there is no other run to blame
	}
	var out []workload.CrashedRun
	for _, r := range runs {
		age := s.listedAt.Sub(r.orderedAt)
		if r.phase == phaseCommitting || !r.seen.IsZero() && age >= limit {
			continue
		}
		out = append(out, workload.CrashedRun{
			Task: r.ref, Run: r.number, Fresh: !weak && (r.seen.IsZero() || age < freshTime),
			Begun: !weak && (!r.seen.IsZero() || !r.confirmedAt.IsZero()), Alone: alone == 1,
		})
	}
	return out
}

// recordCrash commits that a worker crashed under runs, or that it may have while it was
// silent.
func (d *Driver) recordCrash(w *workload.Worker, runs []workload.CrashedRun, silent bool) {
	if len(runs) == 0 {
		return
	}
	c := &workload.Crash{Worker: w.ID, Incarnation: w.Incarnation, Address: w.Address, Runs: runs, Silent: silent, Expires: true}
	if err := d.apply(workload.Command{Crash: c}, nil); err != nil {
		d.cfg.Logger.Error().Err(err).Str("worker", w.ID).Msg("crash rejected by the state")
		return
	}
	d.recordAddress(w.Address, runs)
	if silent {
		d.logDoubts(runs)
		return
	}
	d.logCrash(c)
}

// logCrash logs and counts a proven crash of a worker.
func (d *Driver) logCrash(c *workload.Crash) {
	fresh, task := 0, c.Runs[0].Task
	for i := range c.Runs {
		if c.Runs[i].Fresh {
			fresh++
			task = c.Runs[i].Task
		}
	}
	d.cfg.Metrics.Crashes.Inc()
	d.cfg.Logger.Warn().Str("worker", c.Worker).Str("address", c.Address).Int("runs", len(c.Runs)).
		Int("fresh", fresh).Bool("alone", c.Runs[0].Alone).Bool("silent", c.Silent).Str("task", task.String()).
		Uint64("term", d.cfg.Term).Msg("worker crashed under its runs")
}

// logProven logs and counts the crashes of silent workers that a change has proven.
func (d *Driver) logProven() {
	for _, c := range d.state.TakeProven() {
		if len(c.Runs) > 0 {
			d.logCrash(&c)
		}
	}
}

// recordAddress remembers where a worker crashed, or may have, under runs.
func (d *Driver) recordAddress(address string, runs []workload.CrashedRun) {
	for i := range runs {
		task := runs[i].Task
		at := d.crashedAt[task]
		if len(at) < 2 || at[0] == at[1] {
			d.crashedAt[task] = append(at[:min(len(at), 1)], address)
		}
	}
}

// crashedOnlyAt reports whether several workers crashed under a task in this term, all of
// them at an address.
func (d *Driver) crashedOnlyAt(task workload.TaskRef, address string) bool {
	at := d.crashedAt[task]
	return len(at) == 2 && at[0] == address && at[1] == address
}

// recordReturn commits that a worker whose runs were given up has only been silent.
func (d *Driver) recordReturn(w *workload.Worker) {
	if !d.state.IsSilent(w.ID, w.Incarnation) {
		return
	}
	c := &workload.Crash{Worker: w.ID, Incarnation: w.Incarnation, Returned: true}
	if err := d.apply(workload.Command{Crash: c}, nil); err != nil {
		d.cfg.Logger.Error().Err(err).Str("worker", w.ID).Msg("return of worker rejected by the state")
	}
}

// logDoubts logs which tasks of silent runs wait until it is known whether workers have
// crashed under them.
func (d *Driver) logDoubts(runs []workload.CrashedRun) {
	now := nowMillis()
	for i := range runs {
		if until := d.state.InDoubtUntil(runs[i].Task, now); until > 0 {
			d.cfg.Logger.Warn().Str("task", runs[i].Task.String()).Int64("for_ms", until-now).Uint64("term", d.cfg.Term).
				Msg("task waits: silent workers may have crashed under it")
		}
	}
}

// markCrash notes on the runs of an incarnation that has been replaced what its crash
// means for them. It counts once they are known to have ended with it.
func (d *Driver) markCrash(s *session) {
	for _, c := range d.crashOf(s) {
		if r := d.runs[c.Task]; r != nil && r.number == c.Run {
			r.crash = &c
		}
	}
}

// recordNoted commits the crash noted for a run that is known to have ended with it.
func (d *Driver) recordNoted(r *run) {
	c, noted := r.job.NotedCrash(r.ref, r.number)
	if r.crash != nil {
		c, noted = *r.crash, true
	}
	if w := d.state.Workers()[r.worker]; noted && w != nil {
		d.recordCrash(w, []workload.CrashedRun{c}, false)
	}
}

// dropNote drops the crash noted for a run that its worker's next incarnation lists: the
// run began there.
func (d *Driver) dropNote(r *run) {
	r.crash = nil
	if _, noted := r.job.NotedCrash(r.ref, r.number); !noted {
		return
	}
	c := &workload.ClearSuspicion{Task: r.ref, Run: r.number, Noted: true}
	if err := d.apply(workload.Command{ClearSuspicion: c}, nil); err != nil {
		d.cfg.Logger.Error().Err(err).Str("task", r.ref.String()).Msg("drop of a noted crash rejected by the state")
	}
}

// giveUpTasks stops the jobs of tasks that the state has given up.
func (d *Driver) giveUpTasks() {
	for _, g := range d.state.TakeGivenUp() {
		j, ok := d.state.Job(g.Task.Job)
		if !ok {
			continue
		}
		event := d.cfg.Logger.Warn().Str("job", g.Task.Job).Str("task", g.Task.String()).Uint64("term", d.cfg.Term)
		if g.Crashes > 0 {
			d.cfg.Metrics.GivenUp.Inc()
			event.Int("crashes", g.Crashes).Msg("task given up: workers crashed under it")
		} else {
			event.Int64("version", d.state.Version()).Msg("task given up: it has failed as often as its queue allows now")
		}
		d.logFinished(j)
		d.stopFailed(j)
	}
}

// suspicion returns how strictly a suspected task is to be placed. A task that has waited
// long for a suitable worker is treated less strictly, so that it is tried at all.
func (d *Driver) suspicion(ref workload.TaskRef, now time.Time) workload.Suspicion {
	j, _ := d.state.TaskOf(ref)
	level := j.SuspicionOf(ref)
	if level == workload.Unsuspected {
		return level
	}
	since, waits := d.suspects[ref]
	if !waits {
		d.suspects[ref] = now
		return level
	}
	relaxed := int(now.Sub(since) / trialWait)
	return level - min(level, workload.Suspicion(min(relaxed, int(level))))
}

// trialsOf counts the suspected tasks of a job that may still crash their workers.
func (d *Driver) trialsOf(job string) int {
	n := 0
	for ref := range d.trials {
		if ref.Job == job {
			n++
		}
	}
	return n
}

// trialOn adds to a worker's condition whether a suspected task may still crash it.
func (d *Driver) trialOn(worker string, c *plan.Condition) {
	for _, r := range d.trials {
		if r.worker == worker {
			c.Trial, c.Closed = true, c.Closed || r.trial == workload.Isolated
		}
	}
}

// watchTrial ends the trial of a suspected task whose run has outlived freshTime, and the
// count of its crashes once the run has outlived provenTime.
func (d *Driver) watchTrial(r *run, now time.Time) {
	if now.Sub(r.orderedAt) >= provenTime && r.job.CrashesUnder(r.ref) > 0 {
		delete(d.crashedAt, r.ref)
		c := &workload.ClearSuspicion{Task: r.ref, Run: r.number, Outlived: true}
		if err := d.apply(workload.Command{ClearSuspicion: c}, nil); err != nil {
			d.cfg.Logger.Error().Err(err).Str("task", r.ref.String()).Msg("end of suspicion rejected by the state")
		}
	}
	if d.trials[r.ref] != r || now.Sub(r.orderedAt) < freshTime {
		return
	}
	delete(d.trials, r.ref)
	c := &workload.ClearSuspicion{Task: r.ref, Run: r.number}
	if err := d.apply(workload.Command{ClearSuspicion: c}, nil); err != nil {
		d.cfg.Logger.Error().Err(err).Str("task", r.ref.String()).Msg("end of trial rejected by the state")
	}
}
