package jobs

import (
	"slices"

	"magnoliastand.example/api"
	"magnoliastand.example/invariant"
)

const (
	// maxPastIncarnations bounds the previous incarnations that are kept for a
	// worker, to refuse their late heartbeats.
	maxPastIncarnations = 8
	// lostWorkerRetention is how long a lost worker is kept, in milliseconds,
	// once MaxWorkers are known.
	lostWorkerRetention Millis = 24 * 3_600_000
)

func (c *Heartbeat) check() error {
	for _, f := range []struct{ name, value string }{
		{"worker", c.Worker}, {"zone", c.Zone}, {"rack", c.Rack}, {"pool", c.Pool}, {"incarnation", c.Incarnation},
	} {
		if f.value == "" || len(f.value) > api.MaxIncarnationLen {
			return invalid(f.name, "1 to %d bytes are required", api.MaxIncarnationLen)
		}
	}
	if !c.Capacity.valid() || c.Slots < 1 || c.Slots > MaxTasksPerWorker {
		return invalid("capacity", "amounts of 0 to %d and 1 to %d slots are required", MaxAmount, MaxTasksPerWorker)
	}
	if len(c.Tasks) > MaxTasksPerWorker {
		return invalid("tasks", "at most %d are allowed", MaxTasksPerWorker)
	}
	for n := range c.Tasks {
		if !c.Tasks[n].Used.valid() {
			return invalid("tasks", "the use of task %q is out of bounds", c.Tasks[n].ID)
		}
	}
	return nil
}

// heartbeat registers a worker or renews its lease, and reconciles its jobs with
// the reported tasks.
func (s *State) heartbeat(c *Heartbeat) (ChangeResult, error) {
	if err := c.check(); err != nil {
		return ChangeResult{}, err
	}
	old := s.workers[c.Worker]
	if old == nil && !s.ensureWorkerCapacity() {
		return ChangeResult{}, refuse(CodeFull, "%d workers are registered", len(s.workers))
	}
	if err := s.checkHeartbeat(old, c); err != nil {
		return ChangeResult{}, err
	}
	if old != nil && !s.mayRegister(old, c) {
		return s.keepCandidate(old, c), nil
	}
	w := &Worker{ID: c.Worker, Since: s.now}
	if old != nil {
		*w = *old
	}
	crashed := s.applyHeartbeat(w, old, c)
	s.putWorker(w)
	s.reconcileTasks(c)
	return ChangeResult{Lease: LeaseDuration, LeaseEpoch: w.LeaseEpoch, Crashed: crashed}, nil
}

// mayRegister reports whether the heartbeat is of the registered incarnation or of one
// that is known to be alive. Without that, a delayed heartbeat of an incarnation that
// never registered would displace the running one.
func (s *State) mayRegister(old *Worker, c *Heartbeat) bool {
	if old.Incarnation == c.Incarnation || c.LeaseEpoch == nil || s.rules < RulesConfirmedIncarnation || s.opts.ignoreConfirmation {
		return true
	}
	return old.Candidate != nil && *old.Candidate == Candidate{c.Incarnation, *c.LeaseEpoch}
}

// keepCandidate keeps the incarnation as the candidate of the worker and answers with
// its lease epoch and no lease.
func (s *State) keepCandidate(old *Worker, c *Heartbeat) ChangeResult {
	if old.Candidate != nil && old.Candidate.Incarnation == c.Incarnation {
		return ChangeResult{LeaseEpoch: old.Candidate.LeaseEpoch}
	}
	w := *old
	w.Candidate = &Candidate{Incarnation: c.Incarnation, LeaseEpoch: w.nextLeaseEpoch()}
	s.putWorker(&w)
	return ChangeResult{LeaseEpoch: w.Candidate.LeaseEpoch}
}

// nextLeaseEpoch returns a lease epoch that no incarnation of the worker was told.
func (w *Worker) nextLeaseEpoch() uint64 {
	if w.Candidate != nil {
		return max(w.LeaseEpoch, w.Candidate.LeaseEpoch) + 1
	}
	return w.LeaseEpoch + 1
}

// renewLease renews the lease of a worker without any other change.
func (s *State) renewLease(c *Renew) (ChangeResult, error) {
	old, ok := s.workers[c.Worker]
	if !ok || old.State == Lost || old.LeaseEpoch != c.LeaseEpoch || c.Seq <= old.Seq {
		return ChangeResult{}, refuse(CodeStaleSeq, "worker %q holds no lease %d, or sent a later heartbeat than %d", c.Worker, c.LeaseEpoch, c.Seq)
	}
	w := *old
	w.Seq, w.Until = c.Seq, s.now+LeaseDuration
	s.putWorker(&w)
	return ChangeResult{Lease: LeaseDuration, LeaseEpoch: w.LeaseEpoch}, nil
}

// checkHeartbeat refuses heartbeats of previous incarnations and heartbeats that
// arrive out of order.
func (s *State) checkHeartbeat(old *Worker, c *Heartbeat) error {
	if old == nil {
		return nil
	}
	if slices.Contains(s.pastIncarnations[c.Worker], c.Incarnation) && !s.opts.ignorePastIncarnations {
		return refuse(CodeStaleSeq, "worker %s has a later incarnation than %s", c.Worker, c.Incarnation)
	}
	if old.Incarnation == c.Incarnation && c.Seq <= old.Seq {
		return refuse(CodeStaleSeq, "worker %s sent heartbeat %d, this is %d", c.Worker, old.Seq, c.Seq)
	}
	return nil
}

// applyHeartbeat updates w from the heartbeat. The tasks of a previous incarnation
// end without an outcome. It returns the jobs under which the worker crashed.
func (s *State) applyHeartbeat(w, old *Worker, c *Heartbeat) []string {
	restarted := old != nil && old.Incarnation != c.Incarnation
	var crashed []string
	if restarted {
		crashed = s.recordCrashes(old)
		s.endAllWithoutOutcome(w.ID, "worker restarted")
		past := append(slices.Clone(s.pastIncarnations[w.ID]), old.Incarnation)
		s.pastIncarnations[w.ID] = past[max(len(past)-maxPastIncarnations, 0):]
	}
	switch {
	case restarted && w.Candidate != nil && w.Candidate.Incarnation == c.Incarnation:
		w.LeaseEpoch, w.Candidate = w.Candidate.LeaseEpoch, nil
	case old == nil || restarted || old.State == Lost:
		w.LeaseEpoch = w.nextLeaseEpoch()
	}
	if old == nil || restarted || old.State == Lost {
		w.Held = nil
		s.setWorkerState(w, WorkerRegister, "registered")
	}
	w.Zone, w.Rack, w.Pool, w.Capacity, w.Slots = c.Zone, c.Rack, c.Pool, c.Capacity, c.Slots
	w.Incarnation, w.Seq, w.Until = c.Incarnation, c.Seq, s.now+LeaseDuration
	if c.Leaving {
		s.setWorkerState(w, WorkerDrain, "leaving")
	}
	return crashed
}

// setWorkerState applies e to w if it is allowed.
func (s *State) setWorkerState(w *Worker, e WorkerEvent, reason string) bool {
	next, ok := NextWorker(w.State, e)
	if ok && next != w.State {
		w.State, w.Since, w.Reason = next, s.now, truncateReason(reason)
	}
	return ok
}

// reconcileTasks compares the tasks reported by a worker with the jobs assigned
// to it.
func (s *State) reconcileTasks(c *Heartbeat) {
	reports := make(map[string]*TaskReport, len(c.Tasks))
	for n := range c.Tasks {
		reports[c.Tasks[n].ID] = &c.Tasks[n]
	}
	for _, j := range s.onWorker[c.Worker] {
		r := reports[j.ID]
		switch {
		case r != nil && r.Epoch == j.Epoch:
			s.recordReport(j, r)
		case j.Started > 0:
			s.endWithoutOutcome(j, "worker no longer holds it")
		}
	}
}

// recordReport records that the worker reported the task of the job.
func (s *State) recordReport(j *Job, r *TaskReport) {
	if j.State == Assigned {
		// The transition is allowed for every assigned job.
		_, _ = s.transition(j, EventStarted, "", func(n *Job) { n.Started, n.Used = s.now, r.Used })
		return
	}
	if j.Used == r.Used && j.Started > 0 {
		return
	}
	n := *j
	n.Used = r.Used
	if n.Started == 0 {
		n.Started = s.now
	}
	s.putJob(&n)
}

// endAllWithoutOutcome ends the jobs of a worker that can no longer be running
// them.
func (s *State) endAllWithoutOutcome(worker, reason string) {
	for _, j := range s.onWorker[worker] {
		s.endWithoutOutcome(j, reason)
	}
}

// loseWorker declares a worker lost whose lease expired more than TakeoverMargin
// ago.
func (s *State) loseWorker(c *WorkerAction) error {
	w, ok := s.workers[c.Worker]
	if !ok {
		return refuse(CodeNotFound, "there is no worker %q", c.Worker)
	}
	expired := s.now > w.Until+TakeoverMargin
	if !expired && !s.opts.ignoreLease {
		return refuse(CodeLeaseActive, "the lease of worker %q stands until %d", w.ID, w.Until)
	}
	if _, ok := NextWorker(w.State, WorkerLose); !ok {
		return refuse(CodeWrongState, "worker %q is %s", w.ID, w.State)
	}
	invariant.Check(expired, invariant.AtMostOnce, "worker %q declared lost while its lease is valid until %d", w.ID, w.Until)
	if err := s.transitionWorker(c, WorkerLose); err != nil {
		return err
	}
	if s.rules >= RulesCrashes {
		s.keepHeld(w.ID)
	}
	s.endAllWithoutOutcome(w.ID, "lease of the worker lapsed")
	return nil
}

// keepHeld keeps the jobs on a worker that was lost, in case its process has ended.
func (s *State) keepHeld(id string) {
	w := *s.workers[id]
	for _, j := range s.onWorker[id] {
		w.Held = append(w.Held, j.ID)
	}
	s.putWorker(&w)
	s.weakenCrashes(w.Zone, w.Rack)
}

func (s *State) transitionWorker(c *WorkerAction, e WorkerEvent) error {
	old, ok := s.workers[c.Worker]
	if !ok {
		return refuse(CodeNotFound, "there is no worker %q", c.Worker)
	}
	w := *old
	if !s.setWorkerState(&w, e, c.Reason) {
		return refuse(CodeWrongState, "worker %q is %s: %s is not allowed", w.ID, w.State, e)
	}
	s.putWorker(&w)
	return nil
}

// releaseWorker ends a quarantine and discards the outcome samples of the worker.
func (s *State) releaseWorker(c *WorkerAction) error {
	if err := s.transitionWorker(c, WorkerRelease); err != nil {
		return err
	}
	s.samples = slices.DeleteFunc(s.samples, func(x Sample) bool { return x.Worker == c.Worker })
	return nil
}

// ensureWorkerCapacity removes workers lost for longer than lostWorkerRetention
// if MaxWorkers are known, and reports whether one more can register.
func (s *State) ensureWorkerCapacity() bool {
	if len(s.workers) < MaxWorkers {
		return true
	}
	s.workerList = slices.DeleteFunc(s.workerList, func(w *Worker) bool {
		old := w.State == Lost && s.now-w.Since > lostWorkerRetention
		if old {
			delete(s.workers, w.ID)
			delete(s.pastIncarnations, w.ID)
		}
		return old
	})
	return len(s.workers) < MaxWorkers
}
