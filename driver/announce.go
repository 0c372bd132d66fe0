package driver

import (
	"time"

	"github.com/pkg/errors"

	"magnoliastand.example/platform"
	"magnoliastand.example/workload"
)

// handleAnnouncement processes an announcement. then is called once the resulting
// change is committed.
func (d *Driver) handleAnnouncement(a *platform.Announcement, then func(error)) {
	now := time.Now()
	id := a.Worker.ID
	a.Worker.Sequence = a.Sequence
	known := d.state.Workers()[id]
	s := d.sessions[id]
	stale := known != nil && (a.Worker.Precedes(known) ||
		a.Worker.Incarnation == known.Incarnation && s != nil && a.Sequence <= s.sequence)
	if stale || d.state.HasDeparted(id, a.Worker.Incarnation) || d.addressTaken(&a.Worker) {
		s.confirm(then)
		return
	}
	if known != nil && known.Incarnation == a.Worker.Incarnation && known.Address != a.Worker.Address {
		then(errors.Wrapf(workload.ErrMalformed, "worker %s is at %s", id, known.Address))
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
	d.recordAnnouncement(s, a, now)
	s.confirm(then)
}

// confirm answers an announcement that changes nothing, once the changes before it are
// committed. s may be nil.
func (s *session) confirm(then func(error)) {
	if s == nil || s.registrations == 0 {
		then(nil)
		return
	}
	s.confirms = append(s.confirms, then)
}

// registered records the commit of a registration.
func (s *session) registered() {
	s.registrations--
	if s.registrations > 0 {
		return
	}
	for _, then := range s.confirms {
		then(nil)
	}
	s.confirms = nil
}

// recordAnnouncement records an announcement that does not change the worker's
// registration.
func (d *Driver) recordAnnouncement(s *session, a *platform.Announcement, now time.Time) {
	if now.Sub(s.lastContact) > d.maxSilence() || !d.knowsCapacity(s, now) {
		d.needsPlan = true
	}
	s.lastContact, s.announcedAt, s.sequence = now, now, a.Sequence
	if a.Cold == 0 && now.Before(s.coldUntil) {
		d.needsPlan = true
	}
	s.coldUntil = now.Add(time.Duration(a.Cold) * time.Millisecond)
	s.readClock(a.Clock, now)
}

// addressTaken reports whether a worker with a later incarnation uses the
// address.
func (d *Driver) addressTaken(w *workload.Worker) bool {
	for id, o := range d.state.Workers() {
		if id != w.ID && o.Address == w.Address && o.Incarnation > w.Incarnation && !o.Lost {
			return true
		}
	}
	return false
}

// register commits a new or changed worker. Another worker with the same address and an
// earlier incarnation has ended if the announcement is true, and is asked.
func (d *Driver) register(a *platform.Announcement, now time.Time, then func(error)) {
	w := a.Worker
	for id, o := range d.state.Workers() {
		if id != w.ID && o.Address == w.Address && o.Incarnation < w.Incarnation {
			d.doubtWorker(o)
		}
	}
	old := d.state.Workers()[w.ID]
	restarted := old != nil && old.Incarnation < w.Incarnation
	var ended, moved []*run
	var s *session
	if restarted {
		ended, moved = d.moveRuns(old, &w)
	}
	if old != nil && !restarted && old.Capacity != w.Capacity {
		d.logCapacity(old, &w)
	}
	err := d.apply(workload.Command{Register: &w}, func() {
		d.cfg.Logger.Info().Str("worker", w.ID).Int64("incarnation", w.Incarnation).Str("pool", w.Pool).
			Bool("draining", w.Draining).Int64("remaining_ms", a.Remaining).Bool("restarted", restarted).Int("ended", len(ended)).Int("moved", len(moved)).
			Int64("seq", a.Sequence).Msg("worker registered")
		then(nil)
		s.registered()
	})
	if err != nil {
		then(err)
		return
	}
	s = d.sessions[w.ID]
	if s == nil || restarted {
		s = d.newSession(d.state.Workers()[w.ID])
		if d.lives[w.ID].number == 0 {
			s.leaseExpiry = now // no order to an earlier incarnation can have extended its lease
		} else {
			d.raiseFence(s.endpoint(), s.fence)
		}
		s.inherits = len(moved) > 0
		d.sessions[w.ID] = s
	}
	s.worker = d.state.Workers()[w.ID]
	s.registrations++
	d.recordAnnouncement(s, a, now)
	for _, r := range ended {
		d.forgetRun(r)
	}
	for _, r := range moved {
		r.unrepeated.Store(true) // the order was meant for the earlier incarnation
		d.settleMoved(s, r)
	}
	d.withdrawRepeats(s.worker)
	if restarted || old == nil {
		d.stopLateStarts(s, now)
	}
	if w.Draining {
		d.evacuateDraining(s)
	}
}
