package jobs

import (
	"slices"

	"magnoliastand.example/api"
	"magnoliastand.example/invariant"
)

const (
	// maxPast bounds the earlier incarnations that are remembered of a worker.
	maxPast = 8
	// keepLost is how long a lost worker is kept, in milliseconds.
	keepLost Millis = 24 * 3_600_000
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

// heartbeat registers a worker or renews its lease, and settles what the
// worker holds.
func (s *State) heartbeat(c *Heartbeat) (ChangeResult, error) {
	if err := c.check(); err != nil {
		return ChangeResult{}, err
	}
	old := s.workers[c.Worker]
	if old == nil && !s.roomForWorker() {
		return ChangeResult{}, refuse(CodeFull, "%d workers are registered", len(s.workers))
	}
	if err := s.checkHeartbeat(old, c); err != nil {
		return ChangeResult{}, err
	}
	w := &Worker{ID: c.Worker, Since: s.now}
	if old != nil {
		*w = *old
	}
	s.renew(w, old, c)
	s.putWorker(w)
	s.settle(c)
	return ChangeResult{Lease: LeaseTime, LeaseEpoch: w.LeaseEpoch}, nil
}

// renewLease renews the lease of a worker and changes nothing else.
func (s *State) renewLease(c *Renew) (ChangeResult, error) {
	old, ok := s.workers[c.Worker]
	if !ok || old.State == Lost || old.LeaseEpoch != c.LeaseEpoch || c.Seq <= old.Seq {
		return ChangeResult{}, refuse(CodeStaleSeq, "worker %q holds no lease %d, or sent a later heartbeat than %d", c.Worker, c.LeaseEpoch, c.Seq)
	}
	w := *old
	w.Seq, w.Until = c.Seq, s.now+LeaseTime
	s.putWorker(&w)
	return ChangeResult{Lease: LeaseTime, LeaseEpoch: w.LeaseEpoch}, nil
}

// checkHeartbeat refuses heartbeats that arrive late.
func (s *State) checkHeartbeat(old *Worker, c *Heartbeat) error {
	if old == nil {
		return nil
	}
	if slices.Contains(s.past[c.Worker], c.Incarnation) && !s.opts.ignorePast {
		return refuse(CodeStaleSeq, "worker %s has a later incarnation than %s", c.Worker, c.Incarnation)
	}
	if old.Incarnation == c.Incarnation && c.Seq <= old.Seq {
		return refuse(CodeStaleSeq, "worker %s sent heartbeat %d, this is %d", c.Worker, old.Seq, c.Seq)
	}
	return nil
}

// renew brings w up to the heartbeat.
func (s *State) renew(w, old *Worker, c *Heartbeat) {
	restarted := old != nil && old.Incarnation != c.Incarnation
	if restarted {
		s.forgetTasks(w.ID, "worker restarted")
		past := append(slices.Clone(s.past[w.ID]), old.Incarnation)
		s.past[w.ID] = past[max(len(past)-maxPast, 0):]
	}
	if old == nil || restarted || old.State == Lost {
		w.LeaseEpoch++
		s.setWorkerState(w, WorkerRegister, "registered")
	}
	w.Zone, w.Rack, w.Pool, w.Capacity, w.Slots = c.Zone, c.Rack, c.Pool, c.Capacity, c.Slots
	w.Incarnation, w.Seq, w.Until = c.Incarnation, c.Seq, s.now+LeaseTime
	if c.Leaving {
		s.setWorkerState(w, WorkerDrain, "leaving")
	}
}

// setWorkerState applies e to w if it is allowed.
func (s *State) setWorkerState(w *Worker, e WorkerEvent, reason string) bool {
	next, ok := NextWorker(w.State, e)
	if ok && next != w.State {
		w.State, w.Since, w.Reason = next, s.now, cut(reason)
	}
	return ok
}

// settle compares the tasks that a worker holds with the jobs assigned to it.
func (s *State) settle(c *Heartbeat) {
	reports := make(map[string]*TaskReport, len(c.Tasks))
	for n := range c.Tasks {
		reports[c.Tasks[n].ID] = &c.Tasks[n]
	}
	for _, j := range s.onWorker[c.Worker] {
		r := reports[j.ID]
		switch {
		case r != nil && r.Epoch == j.Epoch:
			s.seen(j, r)
		case j.Started > 0:
			s.vanish(j, "worker no longer holds it")
		}
	}
}

// seen records that the worker holds the job.
func (s *State) seen(j *Job, r *TaskReport) {
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
	s.put(&n)
}

// forgetTasks settles the jobs of a worker that no longer runs them.
func (s *State) forgetTasks(worker, reason string) {
	for _, j := range s.onWorker[worker] {
		s.vanish(j, reason)
	}
}

// lose declares a worker lost whose lease lapsed TakeoverMargin ago.
func (s *State) lose(c *OnWorker) error {
	w, ok := s.workers[c.Worker]
	if !ok {
		return refuse(CodeNotFound, "there is no worker %q", c.Worker)
	}
	lapsed := s.now > w.Until+TakeoverMargin
	if !lapsed && !s.opts.ignoreLease {
		return refuse(CodeLease, "the lease of worker %q stands until %d", w.ID, w.Until)
	}
	if _, ok := NextWorker(w.State, WorkerLose); !ok {
		return refuse(CodeWrongState, "worker %q is %s", w.ID, w.State)
	}
	invariant.Check(lapsed, invariant.AtMostOnce, "worker %q is lost while its lease stands until %d", w.ID, w.Until)
	if err := s.moveWorker(c, WorkerLose); err != nil {
		return err
	}
	s.forgetTasks(w.ID, "lease of the worker lapsed")
	return nil
}

func (s *State) moveWorker(c *OnWorker, e WorkerEvent) error {
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

// release ends a quarantine and forgets the outcomes on the worker.
func (s *State) release(c *OnWorker) error {
	if err := s.moveWorker(c, WorkerRelease); err != nil {
		return err
	}
	s.samples = slices.DeleteFunc(s.samples, func(x Sample) bool { return x.Worker == c.Worker })
	return nil
}

// roomForWorker forgets workers that are lost for long once MaxWorkers are
// known, and returns whether one more may register.
func (s *State) roomForWorker() bool {
	if len(s.workers) < MaxWorkers {
		return true
	}
	s.workerList = slices.DeleteFunc(s.workerList, func(w *Worker) bool {
		old := w.State == Lost && s.now-w.Since > keepLost
		if old {
			delete(s.workers, w.ID)
			delete(s.past, w.ID)
		}
		return old
	})
	return len(s.workers) < MaxWorkers
}
