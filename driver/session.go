package driver

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"magnoliastand.example/platform"
	"magnoliastand.example/workload"
	"magnoliastand.example/workload/plan"
)

const (
	// clockRate is the slowest clock of a worker against true time.
	clockRate = 0.98
	// wantedLease is the lease that is asked for: it outlasts the election of a
	// leader and its first hold, and bounds how long the runs of a lost worker wait.
	wantedLease = 4 * time.Second
	// leaseMargin is kept below the longest lease, and added to the time at
	// which a lease is surely over, for delays of calls and timers.
	leaseMargin = 300 * time.Millisecond
	// holdWait is how long a worker with runs may wait for an end before it
	// answers. A hold that is lost hides ends for so long.
	holdWait = 500 * time.Millisecond
	// startingWait is the same while a lasting task starts up, so that a budget
	// counts it as available soon after it is.
	startingWait = 100 * time.Millisecond
	// holdTimeout bounds a hold beyond its wait; see startTimeout.
	holdTimeout = 250 * time.Millisecond
	// unusableFailures is the number of failed holds in a row after which a worker
	// gets no work.
	unusableFailures = 2
	// holdGap is the least time between two holds of a worker, so that ends that
	// come together are read together. It grows by holdGapPerWorker with the
	// workers, so that holds take a bounded part of the processor: one costs about
	// 0.15 ms.
	holdGap          = 25 * time.Millisecond
	holdGapPerWorker = 100 * time.Microsecond
	// ackDelay is how long the acknowledgement of ends may wait for another hold.
	ackDelay = 500 * time.Millisecond
	// callTimeout bounds a call to a worker, without the time that it may wait.
	callTimeout = 800 * time.Millisecond
	// failBackoff is the pause after a failed call, doubled with each further one
	// up to maxBackoff.
	failBackoff = 100 * time.Millisecond
	maxBackoff  = time.Second
	// maxEnds is the number of ends in one reply, after which there may be more.
	maxEnds = 500
	// silentAnnouncements is how many announcements may be missing from a worker
	// that gets work.
	silentAnnouncements = 3
	// forgetAnnouncements is how many may be missing from a worker without runs
	// before it is forgotten.
	forgetAnnouncements = 8
	// failurePenalty is the score of one recent failure, against a load of 1.
	failurePenalty = 0.5
	// failureHalfLife is the time in which the weight of failures halves.
	failureHalfLife = 5 * time.Second
)

// session is what the leader knows of one incarnation of a worker.
type session struct {
	worker *workload.Worker
	// clock is the worker's steady clock as read at clockAt.
	clock   workload.Millis
	clockAt time.Time
	// boundAt is when no lease on the worker can stand any more.
	boundAt  time.Time
	sequence int64
	// heardAt is the time of the last announcement or reply.
	heardAt   time.Time
	holding   bool
	nextHold  time.Time
	acked     int64
	ackDue    time.Time
	failures  int
	blame     float64
	blamedAt  time.Time
	fillPace  int
	pacedAt   time.Time
	calmSince time.Time
	// ackable is the highest end whose commit is known.
	ackable int64
}

// newSession returns the session of a worker that is in the state. Its lease
// may be as long as a worker grants, by orders of an earlier leader.
func (d *Driver) newSession(w *workload.Worker) *session {
	now := time.Now()
	return &session{
		worker: w, heardAt: now, boundAt: now.Add(d.longestLease()), ackable: w.Acked, fillPace: fullPace,
	}
}

func (d *Driver) longestLease() time.Duration {
	return time.Duration(float64(d.cfg.Timing.MaxLease)/clockRate) + leaseMargin
}

func (s *session) endpoint() platform.Endpoint {
	return platform.Endpoint{ID: s.worker.ID, Address: s.worker.Address, Zone: s.worker.Zone}
}

// readClock notes the worker's clock.
func (s *session) readClock(clock workload.Millis, at time.Time) {
	if clock > 0 {
		s.clock, s.clockAt = clock, at
	}
}

// leaseUntil returns the end of a new lease on the worker's clock, or 0 while
// the clock is not known, and extends the bound of the lease.
func (d *Driver) leaseUntil(s *session, now time.Time) workload.Millis {
	if s.clock == 0 {
		return 0
	}
	lease := min(wantedLease, d.cfg.Timing.MaxLease-leaseMargin)
	elapsed := time.Duration(float64(now.Sub(s.clockAt)) * clockRate)
	until := s.clock + (elapsed + lease).Milliseconds()
	if bound := now.Add(time.Duration(float64(lease)/clockRate) + leaseMargin); bound.After(s.boundAt) {
		s.boundAt = bound
	}
	return until
}

// announced takes an announcement; then is called once it is committed.
func (d *Driver) announced(a *platform.Announcement, then func(error)) {
	now := time.Now()
	id := a.Worker.ID
	known := d.state.Workers()[id]
	s := d.sessions[id]
	stale := known != nil && (a.Worker.Incarnation < known.Incarnation ||
		a.Worker.Incarnation == known.Incarnation && s != nil && a.Sequence <= s.sequence)
	if stale || d.addressTaken(&a.Worker) {
		then(nil)
		return
	}
	if _, ok := d.state.Pool(a.Worker.Pool); !ok && d.state.Version() > 0 {
		then(errors.Wrapf(workload.ErrMalformed, "pool %q is not in the document", a.Worker.Pool))
		return
	}
	if known == nil || !known.Same(&a.Worker) {
		d.register(a, now, then)
		return
	}
	d.heard(s, a, now)
	then(nil)
}

// heard notes an announcement that changes nothing.
func (d *Driver) heard(s *session, a *platform.Announcement, now time.Time) {
	if now.Sub(s.heardAt) > d.silence() {
		d.dirty = true
	}
	s.heardAt, s.sequence = now, a.Sequence
	s.readClock(a.Clock, now)
}

// addressTaken reports whether a later incarnation has the address.
func (d *Driver) addressTaken(w *workload.Worker) bool {
	for id, o := range d.state.Workers() {
		if id != w.ID && o.Address == w.Address && o.Incarnation > w.Incarnation && !o.Gone {
			return true
		}
	}
	return false
}

// register commits a new or changed worker. A worker whose address another one
// has taken over has ended.
func (d *Driver) register(a *platform.Announcement, now time.Time, then func(error)) {
	w := a.Worker
	for id, o := range d.state.Workers() {
		if id != w.ID && o.Address == w.Address && o.Incarnation < w.Incarnation {
			d.lose(id, o.Incarnation, "address reused", nil)
		}
	}
	old := d.state.Workers()[w.ID]
	restarted := old != nil && old.Incarnation < w.Incarnation
	var outstanding []*run
	if restarted {
		outstanding = d.runsOn(w.ID, old.Incarnation)
	}
	err := d.do(workload.Command{Register: &w}, func() {
		d.cfg.Logger.Info().Str("worker", w.ID).Int64("incarnation", w.Incarnation).Str("pool", w.Pool).
			Bool("draining", w.Draining).Int64("remaining_ms", a.Remaining).Bool("restarted", restarted).Int64("seq", a.Sequence).Msg("worker registered")
		then(nil)
	})
	if err != nil {
		then(err)
		return
	}
	s := d.sessions[w.ID]
	if s == nil || restarted {
		s = d.newSession(d.state.Workers()[w.ID])
		s.boundAt = now
		d.sessions[w.ID] = s
	}
	s.worker = d.state.Workers()[w.ID]
	d.heard(s, a, now)
	for _, r := range outstanding {
		d.forgetRun(r)
		d.voidLateOrder(s, r)
	}
	if w.Draining {
		d.evacuateLeaving(s)
	}
}

// voidLateOrder makes sure that an order for an earlier incarnation, which may
// still be on its way, starts nothing on the later one.
func (d *Driver) voidLateOrder(s *session, r *run) {
	if r.phase == phaseStarted {
		return
	}
	d.stopUntracked(s, r.ref, r.number)
}

// lose commits that an incarnation of a worker runs nothing any more.
func (d *Driver) lose(id string, incarnation workload.Millis, reason string, then func()) {
	outstanding := d.runsOn(id, incarnation)
	err := d.do(workload.Command{Lose: &workload.Lose{Worker: id, Incarnation: incarnation}}, func() {
		d.cfg.Logger.Info().Str("worker", id).Int64("incarnation", incarnation).Str("reason", reason).
			Int("runs", len(outstanding)).Msg("worker lost")
		if then != nil {
			then()
		}
	})
	if err != nil {
		d.cfg.Logger.Error().Err(err).Str("worker", id).Msg("loss of worker refused by the state")
		return
	}
	d.cfg.Metrics.Ends.WithLabelValues(workload.OutcomeLost.String()).Add(float64(len(outstanding)))
	for _, r := range outstanding {
		d.forgetRun(r)
	}
	if s := d.sessions[id]; s != nil && s.worker.Incarnation == incarnation {
		delete(d.sessions, id)
	}
}

// silence is how long a worker may be silent and still get work.
func (d *Driver) silence() time.Duration { return silentAnnouncements * d.cfg.Timing.Announce }

// condition returns whether the planner may use a worker, and how gladly.
func (d *Driver) condition(worker string, now time.Time) plan.Condition {
	s := d.sessions[worker]
	if s == nil {
		return plan.Condition{}
	}
	usable := s.failures < unusableFailures && now.Sub(s.heardAt) < d.silence() && s.clock > 0 && !d.fleet.reserved(worker)
	return plan.Condition{Usable: usable, Penalty: s.blameAt(now) * failurePenalty, Leaving: d.fleet.leaving[worker]}
}

// blameAt returns the weight of the recent failures of a worker.
func (s *session) blameAt(now time.Time) float64 {
	halves := now.Sub(s.blamedAt).Seconds() / failureHalfLife.Seconds()
	for ; halves >= 1 && s.blame > 0.01; halves-- {
		s.blame /= 2
		s.blamedAt = s.blamedAt.Add(failureHalfLife)
	}
	return s.blame
}

// blameFor counts a failure of a worker.
func (s *session) blameFor(weight float64, now time.Time) {
	s.blameAt(now)
	s.blame += weight
	s.blamedAt = now
}

// checkSession holds the worker when it is time, and gives it up when no lease
// on it can stand any more.
func (d *Driver) checkSession(s *session, now time.Time) {
	w := s.worker
	runs := len(d.state.Runs(w.ID))
	quiet := now.Sub(s.heardAt)
	switch {
	case runs > 0 && now.After(s.boundAt) && quiet > wantedLease && s.failures > 0:
		d.lose(w.ID, w.Incarnation, "lease over", nil)
		return
	case runs == 0 && quiet > forgetAnnouncements*d.cfg.Timing.Announce && now.After(s.boundAt):
		d.lose(w.ID, w.Incarnation, "silent", nil)
		return
	}
	d.maybeHold(s, now, runs)
}

// maybeHold starts a hold that is due.
func (d *Driver) maybeHold(s *session, now time.Time, runs int) {
	ack := s.acked < s.ackable && now.After(s.ackDue)
	unread := s.clock == 0 // nothing starts on a worker before its clock and lists are read
	if s.holding || now.Before(s.nextHold) || runs == 0 && !ack && !unread || !d.cfg.Log.Leads(d.cfg.Term) {
		return
	}
	s.holding = true
	s.nextHold = now.Add(max(holdGap, time.Duration(len(d.sessions))*holdGapPerWorker))
	order := &platform.HoldOrder{Fence: d.cfg.Term, Acked: s.ackable}
	timeout := holdTimeout
	if s.failures > 0 {
		timeout = callTimeout // the path may be slow
	}
	// A worker that does not answer gets no longer lease, or its lease would never
	// be known to be over.
	if runs > 0 && s.failures == 0 {
		order.Until = d.leaseUntil(s, now)
		if wait := d.holdWaitFor(s); s.clock > 0 && wait > 0 {
			order.Wait = wait.Milliseconds()
			timeout += wait
		}
	}
	endpoint := s.endpoint()
	d.async(func() {
		ctx, cancel := context.WithTimeout(d.ctx, timeout)
		defer cancel()
		lists, err := d.cfg.Workers.Hold(ctx, endpoint, order)
		d.reply(func() { d.held(s, order, now, lists, err) })
	})
}

// held takes the reply to a hold.
func (d *Driver) held(s *session, order *platform.HoldOrder, sent time.Time, lists *platform.Lists, err error) {
	s.holding = false
	now := time.Now()
	if d.sessions[s.worker.ID] != s {
		return
	}
	if err != nil {
		d.holdFailed(s, now, err)
		return
	}
	if lists.Incarnation != 0 && s.worker.Incarnation != 0 && lists.Incarnation != s.worker.Incarnation {
		d.otherIncarnation(s, lists.Incarnation)
		return
	}
	if s.failures >= unusableFailures {
		d.cfg.Logger.Info().Str("worker", s.worker.ID).Int("failures", s.failures).Msg("worker answers again")
		d.dirty = true
	}
	s.failures, s.heardAt = 0, now
	s.readClock(lists.Clock, now)
	s.acked = max(s.acked, order.Acked)
	d.takeLists(s, sent, lists)
}

func (d *Driver) holdFailed(s *session, now time.Time, err error) {
	if errors.Is(err, platform.ErrOtherIncarnation) {
		d.otherIncarnation(s, 0)
		return
	}
	s.failures++
	if s.failures > 1 {
		s.nextHold = now.Add(min(failBackoff<<min(s.failures-2, 10), maxBackoff))
	}
	d.cfg.Metrics.Orders.WithLabelValues("hold", "failed").Inc()
	if s.failures == unusableFailures {
		d.cfg.Logger.Warn().Err(err).Str("worker", s.worker.ID).Dur("silent", now.Sub(s.heardAt)).
			Int("runs", len(d.state.Runs(s.worker.ID))).Msg("worker does not answer")
	}
}

// otherIncarnation gives up a worker whose address another process answers at.
func (d *Driver) otherIncarnation(s *session, other workload.Millis) {
	if other != 0 && other < s.worker.Incarnation {
		return
	}
	d.lose(s.worker.ID, s.worker.Incarnation, "another incarnation answers", nil)
}
