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
	// clockRate is the assumed rate of the slowest worker clock relative to real
	// time.
	clockRate = 0.98
	// requestedLease is the requested lease duration. It outlasts a leader election
	// and the new leader's first hold, and bounds how long the runs of a lost
	// worker are blocked.
	requestedLease = 4 * time.Second
	// leaseMargin allows for call and timer delays. It is subtracted from the
	// longest lease and added to the time after which a lease is treated as
	// expired.
	leaseMargin = 300 * time.Millisecond
	// holdWait is how long a worker with runs may delay its reply to a hold until
	// a run ends. A lost hold delays reports of ends by this time.
	holdWait = 500 * time.Millisecond
	// startingWait replaces holdWait while a long-running task starts up, so that
	// the availability budget counts the task soon after it becomes available.
	startingWait = 100 * time.Millisecond
	// holdTimeout bounds a hold in addition to its wait time; see startTimeout.
	holdTimeout = 250 * time.Millisecond
	// maxHoldFailures is the number of consecutive failed holds after which a
	// worker receives no work.
	maxHoldFailures = 2
	// minHoldInterval is the minimum interval between holds of a worker, so that
	// ends close together are read in one reply. With many workers the interval
	// is holdIntervalPerWorker times their number, which bounds the CPU share of
	// holds: one costs about 0.15 ms.
	minHoldInterval       = 25 * time.Millisecond
	holdIntervalPerWorker = 100 * time.Microsecond
	// heldEndsInterval is the minimum interval while ends are kept from being acknowledged:
	// a worker may not delay its reply while it lists ends. It bounds the delay of further
	// ends to far less than the time for which ends are kept.
	heldEndsInterval = 200 * time.Millisecond
	// ackDelay is how long the acknowledgement of ends may be delayed to be sent
	// with another hold.
	ackDelay = 500 * time.Millisecond
	// ackWindow is how long after a reply to a hold an acknowledgement may be sent, besides
	// the interval between holds. It is far below the time that a process takes to end and
	// start again.
	ackWindow = 250 * time.Millisecond
	// callTimeout bounds a call to a worker, excluding any requested wait.
	callTimeout = 800 * time.Millisecond
	// failBackoff is the delay after a failed call. It doubles with each further
	// failure up to maxBackoff.
	failBackoff = 100 * time.Millisecond
	maxBackoff  = time.Second
	// maxEnds is the maximum number of ends in one reply. A reply with that many
	// may be incomplete.
	maxEnds = 500
	// maxMissedAnnouncements is how many announcements a worker may miss and
	// still receive work.
	maxMissedAnnouncements = 3
	// maxCapacityAge is how many announcements a worker may miss before its capacity counts as
	// not known: it may have shrunk unheard. A worker that has shrunk may be started on for
	// longer than this by one announcement, which leaves time for the commit and the order.
	maxCapacityAge = 2
	// forgetAfterAnnouncements is how many announcements a worker without runs
	// may miss before it is removed.
	forgetAfterAnnouncements = 8
	// failurePenalty is the scheduling penalty of one recent failure, relative to
	// a load of 1.
	failurePenalty = 0.5
	// failureHalfLife is the half-life of the failure score.
	failureHalfLife = 5 * time.Second
)

// session is the leader's view of one incarnation of a worker.
type session struct {
	worker *workload.Worker
	// clock is the worker's monotonic clock, read at clockAt.
	clock   workload.Millis
	clockAt time.Time
	// leaseExpiry is when every lease on the worker has certainly expired.
	leaseExpiry time.Time
	sequence    int64
	// registeredAt is when this driver first knew of the incarnation.
	registeredAt time.Time
	// lastContact is the time of the last announcement or reply, listedAt that of the last
	// list, which names the incarnation, and listSent when that list was requested.
	lastContact time.Time
	listedAt    time.Time
	listSent    time.Time
	// announcedAt is the time of the last announcement, which alone shows the worker's
	// capacity. Before the first one in this term it is announcedBefore.
	announcedAt time.Time
	// coldUntil is until when the worker is slow after its start, as it announced last, and
	// assignedAt when a task was last assigned to it.
	coldUntil, assignedAt time.Time

	holdInFlight   bool
	nextHold       time.Time
	acked          int64
	ackDue         time.Time
	failures       int
	failureScore   float64
	failureScoreAt time.Time
	fillPace       int
	pacedAt        time.Time
	lowTailSince   time.Time
	// ackable is the highest number of an end whose commit is known.
	ackable int64
	// held are the ends up to ackable that may not be acknowledged yet, and listedEnds is how
	// many ends the last list had, with the unreadable ones.
	held       []heldEnd
	listedEnds int
	// ackUnanswered is set while a hold with an acknowledgement has no response. If the worker
	// has restarted, it may take the number for its own ends and never list them.
	ackUnanswered bool
	// fence is the fencing token of orders to this incarnation.
	fence uint64
	// inherits is set if the runs of an earlier incarnation were moved to this one.
	inherits bool
	// watchUntil is until when a late order may begin a run on the worker.
	watchUntil time.Time
	// registrations counts the registrations that are being committed, and confirms are
	// the answers to announcements that wait for them.
	registrations int
	confirms      []func(error)
	// unassigned counts the runs in the last list that are not assigned to the worker. They
	// are being stopped, and use an unknown part of its capacity.
	unassigned int
	// unreadable describes the rows of its lists that cannot be read.
	unreadable unreadableRows
	// departed is set once the worker has announced its end.
	departed bool
	// downSince is when the worker last stopped answering.
	downSince time.Time
	// doubted is set while another worker is said to be at the worker's address.
	doubted bool
	// replaced is set once a later incarnation, not registered yet, has answered under
	// the worker's ID.
	replaced bool
}

// newSession returns the session of a worker in the state. An earlier leader may
// have extended its lease up to the maximum, so the longest lease is assumed.
func (d *Driver) newSession(w *workload.Worker) *session {
	now := time.Now()
	return &session{
		worker: w, registeredAt: now, lastContact: now, leaseExpiry: now.Add(d.longestLease()), ackable: w.Acked, fillPace: fullPace,
		fence: d.fenceOf(w, now),
	}
}

func (d *Driver) longestLease() time.Duration {
	return time.Duration(float64(d.cfg.Timing.MaxLease)/clockRate) + leaseMargin
}

func (s *session) endpoint() platform.Endpoint {
	return platform.Endpoint{ID: s.worker.ID, Address: s.worker.Address, Zone: s.worker.Zone}
}

// readClock records a reading of the worker's clock.
func (s *session) readClock(clock workload.Millis, at time.Time) {
	if clock > 0 {
		s.clock, s.clockAt = clock, at
	}
}

// leaseUntil returns the end of a new lease on the worker's clock and extends
// leaseExpiry accordingly. It returns 0 while the clock is not known.
func (d *Driver) leaseUntil(s *session, now time.Time) workload.Millis {
	if s.clock == 0 {
		return 0
	}
	lease := min(requestedLease, d.cfg.Timing.MaxLease-leaseMargin)
	elapsed := time.Duration(float64(now.Sub(s.clockAt)) * clockRate)
	until := s.clock + (elapsed + lease).Milliseconds()
	if bound := now.Add(time.Duration(float64(lease)/clockRate) + leaseMargin); bound.After(s.leaseExpiry) {
		s.leaseExpiry = bound
	}
	return until
}

// Reasons of loseWorker that have consequences.
const (
	// reasonDeparted is that of a worker that announced its end.
	reasonDeparted = "departed"
	// reasonReplaced is that of a worker in whose place another one answers: it crashed.
	reasonReplaced = "another incarnation answers"
	// reasonLeaseOver is that of a worker that was silent until no lease could stand: it
	// may have crashed.
	reasonLeaseOver = "lease over"
)

// loseWorker commits that an incarnation of a worker no longer runs anything.
func (d *Driver) loseWorker(id string, incarnation workload.Millis, reason string, then func()) {
	outstanding := d.runsOn(id, incarnation)
	for _, r := range outstanding {
		if _, noted := r.job.NotedCrash(r.ref, r.number); noted {
			d.recordNoted(r) // it ended with an earlier incarnation, or ends with this one
		}
	}
	if s := d.sessions[id]; s != nil && s.worker.Incarnation == incarnation {
		switch reason {
		case reasonReplaced:
			d.recordCrash(s.worker, d.crashOf(s), false)
		case reasonLeaseOver:
			d.recordCrash(s.worker, d.crashOf(s), true)
		}
	}
	lost := &workload.MarkWorkerLost{Worker: id, Incarnation: incarnation, Departed: reason == reasonDeparted}
	err := d.apply(workload.Command{MarkWorkerLost: lost}, func() {
		d.cfg.Logger.Info().Str("worker", id).Int64("incarnation", incarnation).Str("reason", reason).
			Int("runs", len(outstanding)).Msg("worker lost")
		if then != nil {
			then()
		}
	})
	if err != nil {
		d.cfg.Logger.Error().Err(err).Str("worker", id).Msg("loss of worker rejected by the state")
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

// maxSilence is how long a worker may be silent and still receive work.
func (d *Driver) maxSilence() time.Duration { return maxMissedAnnouncements * d.cfg.Timing.Announce }

// condition returns whether the planner may use a worker, and with which penalty.
func (d *Driver) condition(worker string, now time.Time) plan.Condition {
	s := d.sessions[worker]
	if s == nil {
		return plan.Condition{}
	}
	c := plan.Condition{
		Usable:  d.inService(s, now) && d.knowsCapacity(s, now) && !d.state.IsEvacuated(s.worker.Zone),
		Penalty: s.decayedFailureScore(now) * failurePenalty, Leaving: d.fleet.leaving[worker],
	}
	d.coldStarts(s, now, &c)
	d.trialOn(worker, &c)
	return c
}

// inService reports whether a worker can run tasks, as far as its capacity is known.
func (d *Driver) inService(s *session, now time.Time) bool {
	inTouch := s.failures < maxHoldFailures && now.Sub(s.lastContact) < d.maxSilence()
	certain := !s.replaced && !s.doubted && s.clock > 0 && !s.listedAt.IsZero()
	return inTouch && certain && !s.ackUnanswered && s.unassigned == 0 && !d.fleet.reserved(s, now)
}

// decayedFailureScore applies the decay due by now and returns the failure score.
func (s *session) decayedFailureScore(now time.Time) float64 {
	halves := now.Sub(s.failureScoreAt).Seconds() / failureHalfLife.Seconds()
	for ; halves >= 1 && s.failureScore > 0.01; halves-- {
		s.failureScore /= 2
		s.failureScoreAt = s.failureScoreAt.Add(failureHalfLife)
	}
	return s.failureScore
}

// addFailure adds a failure to the worker's failure score.
func (s *session) addFailure(weight float64, now time.Time) {
	s.decayedFailureScore(now)
	s.failureScore += weight
	s.failureScoreAt = now
}

// checkSession sends a hold when one is due, and removes a silent worker once
// every lease on it has expired.
func (d *Driver) checkSession(s *session, now time.Time) {
	w := s.worker
	runs := len(d.state.Runs(w.ID))
	quiet := now.Sub(s.lastContact)
	switch {
	case runs == 0 && s.departed, runs > 0 && s.departed && s.leaseOver(now):
		d.loseWorker(w.ID, w.Incarnation, reasonDeparted, nil)
		return
	case runs > 0 && s.leaseOver(now):
		d.loseWorker(w.ID, w.Incarnation, reasonLeaseOver, nil)
		return
	case runs == 0 && quiet > forgetAfterAnnouncements*d.cfg.Timing.Announce && now.After(s.leaseExpiry):
		d.loseWorker(w.ID, w.Incarnation, "silent", nil)
		return
	}
	d.maybeHold(s, now, runs)
}

// leaseOver reports whether a worker has answered no hold until no lease on it can stand.
func (s *session) leaseOver(now time.Time) bool {
	return now.After(s.leaseExpiry) && now.Sub(s.listedAt) > requestedLease && s.failures > 0
}

// maybeHold sends a hold if one is due.
func (d *Driver) maybeHold(s *session, now time.Time, runs int) {
	ack := s.acked < d.acknowledgeable(s, now) && now.After(s.ackDue)
	// A worker receives no work before its lists are read, and not while it may not answer.
	unread := s.listedAt.IsZero() || s.failures > 0 || s.doubted
	watch := runs == 0 && (now.Before(s.watchUntil) || s.unassigned > 0 || s.unreadable.pending || len(s.held) > 0)
	if s.holdInFlight || s.replaced || now.Before(s.nextHold) || runs == 0 && !ack && !unread && !watch || !d.cfg.Log.IsLeader(d.cfg.Term) {
		return
	}
	s.holdInFlight = true
	s.nextHold = now.Add(max(minHoldInterval, time.Duration(len(d.sessions))*holdIntervalPerWorker))
	if watch && !ack {
		s.nextHold = now.Add(watchInterval)
	}
	if runs > 0 && !ack && (len(s.held) > 0 || s.unreadable.pending) && d.holdWaitFor(s) == holdWait {
		s.nextHold = now.Add(max(heldEndsInterval, s.nextHold.Sub(now)))
	}
	order := &platform.HoldOrder{Fence: s.fence, Acked: d.nextAck(s, now)}
	timeout := holdTimeout
	if s.failures > 0 {
		timeout = callTimeout // the network path may be slow
	}
	// The lease of a worker that does not answer is not extended; otherwise its
	// expiry could never be established.
	// A lease that expires would devalue the ends that are not acknowledged yet.
	if (runs > 0 || len(s.held) > 0 || s.unreadable.pending) && s.failures == 0 && !s.doubted {
		order.Until = d.leaseUntil(s, now)
		if wait := d.holdWaitFor(s); runs > 0 && s.clock > 0 && wait > 0 {
			order.Wait = wait.Milliseconds()
			timeout += wait
		}
	}
	endpoint := s.endpoint()
	d.async(func() {
		var lists *platform.Lists
		err := d.call(timeout, func(ctx context.Context) (err error) {
			lists, err = d.cfg.Workers.Hold(ctx, endpoint, order)
			return err
		})
		d.postReply(func() { d.holdAnswered(s, order, now, lists, err) })
	})
}

// nextAck returns the number to acknowledge with a hold, or 0 for none. A worker that
// restarts counts its ends anew and would forget those up to a number that was meant for
// its earlier incarnation, so a number is sent only right after a list of this one.
func (d *Driver) nextAck(s *session, now time.Time) int64 {
	window := ackWindow + 2*time.Duration(len(d.sessions))*holdIntervalPerWorker
	number := d.acknowledgeable(s, now)
	if s.acked >= number || s.failures > 0 || s.doubted || now.Sub(s.listedAt) > window {
		return 0
	}
	return number
}

// holdAnswered handles the reply to a hold.
func (d *Driver) holdAnswered(s *session, order *platform.HoldOrder, sent time.Time, lists *platform.Lists, err error) {
	s.holdInFlight = false
	now := time.Now()
	if d.sessions[s.worker.ID] != s || errors.Is(err, errLeaseLost) {
		return
	}
	if err != nil {
		s.ackUnanswered = s.ackUnanswered || order.Acked > 0 && !isAnswer(err)
		d.holdFailed(s, now, err)
		return
	}
	if lists.Incarnation != 0 && s.worker.Incarnation != 0 && lists.Incarnation != s.worker.Incarnation {
		d.otherIncarnation(s, lists.Incarnation)
		return
	}
	if s.listedAt.IsZero() {
		d.needsPlan = true // the worker receives work from now on
		d.recordReturn(s.worker)
	}
	if s.failures >= maxHoldFailures {
		d.cfg.Logger.Info().Str("worker", s.worker.ID).Int("failures", s.failures).Msg("worker is answering again")
		d.needsPlan = true
	}
	if s.ackUnanswered {
		s.ackUnanswered, d.needsPlan = false, true
	}
	s.failures, s.lastContact, s.listedAt, s.listSent, s.doubted = 0, now, now, sent, false
	s.readClock(lists.Clock, now)
	s.acked = max(s.acked, order.Acked)
	d.handleLists(s, sent, lists)
}

func (d *Driver) holdFailed(s *session, now time.Time, err error) {
	if errors.Is(err, platform.ErrOtherIncarnation) {
		d.otherIncarnation(s, 0)
		return
	}
	if s.failures == 0 {
		d.recordDown(s, now)
	}
	s.failures++
	if s.failures > 1 {
		s.nextHold = now.Add(min(failBackoff<<min(s.failures-2, 10), maxBackoff))
	}
	d.cfg.Metrics.Orders.WithLabelValues("hold", "failed").Inc()
	if s.failures == maxHoldFailures {
		d.cfg.Logger.Warn().Err(err).Str("worker", s.worker.ID).Dur("silent", now.Sub(s.lastContact)).
			Int("runs", len(d.state.Runs(s.worker.ID))).Msg("worker does not answer")
	}
}
