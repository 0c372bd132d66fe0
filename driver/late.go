package driver

import (
	"maps"
	"slices"
	"time"

	"magnoliastand.example/workload"
)

const (
	// lateOrderTime is how long after its sending an order without a reply may still be
	// carried out. The platform allows for some seconds.
	lateOrderTime = 15 * time.Second
	// lateRunTime is how long the end of a done task is not acknowledged after a late run of
	// it: longer than a worker takes to list maxHeldEnds further ends.
	lateRunTime = time.Hour
	// departedLife is how long the fencing token of a worker that is gone is remembered.
	departedLife = time.Hour
	// watchInterval is the interval between holds of a worker without runs on which a
	// late order may begin one.
	watchInterval = 250 * time.Millisecond
	// maxHeldEnds is how many ends a worker may list while acknowledgements are held back.
	// The rest of its list is left for the ends of the next seconds.
	maxHeldEnds = maxEnds / 2
)

// lateStart is a start order without a reply.
type lateStart struct {
	ref    workload.TaskRef
	number int64
	// incarnation is that of the worker that the order was sent to.
	incarnation workload.Millis
	until       time.Time
}

// fenceBits is the number of low bits of a fencing token that count the incarnations of a
// worker. The term is above them.
const fenceBits = 16

// Fences numbers the incarnations of workers for their fencing tokens. A driver that
// follows another one in the same term, as after a panic, has to continue its numbers:
// workers refuse lower ones. It is used by one driver at a time.
type Fences struct{ lives map[string]life }

// life is the latest incarnation of a worker that had a session.
type life struct {
	incarnation workload.Millis
	// number counts the incarnations before it.
	number uint64
	// at is when the worker was known last.
	at time.Time
}

// fenceOf returns the fencing token of orders to an incarnation of a worker. It is above that
// of orders to its earlier incarnations, which are refused from its first hold on.
func (d *Driver) fenceOf(w *workload.Worker, now time.Time) uint64 {
	l, known := d.lives[w.ID]
	if known && l.incarnation != w.Incarnation {
		l.number = min(l.number+1, 1<<fenceBits-1)
	}
	d.lives[w.ID] = life{w.Incarnation, l.number, now}
	return d.cfg.Term<<fenceBits | l.number
}

// recordLateStart remembers that a start order of a run may be carried out late, perhaps
// by the next incarnation of its worker, which does not know of a stop of the run.
func (d *Driver) recordLateStart(s *session, r *run, now time.Time) {
	d.holdBackUntil(r.ref, now.Add(lateOrderTime))
	d.lateStarts[r.worker] = append(d.lateStarts[r.worker], lateStart{r.ref, r.number, s.worker.Incarnation, now.Add(lateOrderTime)})
	if next := d.sessions[r.worker]; next != nil && next != s {
		d.stopLateStarts(next, now)
	}
}

// holdBackUntil keeps the ends of a done task from being acknowledged until a time, or until a
// later one that was set before.
func (d *Driver) holdBackUntil(ref workload.TaskRef, until time.Time) {
	if until.After(d.lateTasks[ref]) {
		d.lateTasks[ref] = until
	}
}

// stopLateStarts voids the late starts of a worker on its next incarnation, and has that
// one held until they can no longer be carried out.
func (d *Driver) stopLateStarts(s *session, now time.Time) {
	for _, l := range d.lateStarts[s.worker.ID] {
		if now.After(l.until) {
			continue
		}
		if l.until.After(s.watchUntil) {
			s.watchUntil = l.until
		}
		if r := d.runs[l.ref]; r == nil || r.number != l.number || r.worker != s.worker.ID {
			d.stopUntracked(s, l.ref, l.number)
		}
	}
}

// pruneLateStarts forgets the starts that can no longer be carried out, and the numbers of
// workers that have been gone for long.
func (d *Driver) pruneLateStarts(now time.Time) {
	for id, l := range d.lives {
		switch {
		case d.state.Workers()[id] != nil:
			l.at = now
			d.lives[id] = l
		case now.Sub(l.at) > departedLife:
			delete(d.lives, id)
		}
	}
	maps.DeleteFunc(d.lateTasks, func(_ workload.TaskRef, until time.Time) bool { return now.After(until) })
	maps.DeleteFunc(d.lateStarts, func(_ string, list []lateStart) bool { return now.After(list[len(list)-1].until) })
}

// heldEnd is a committed end of a done run that may not be acknowledged yet.
type heldEnd struct {
	number int64
	ref    workload.TaskRef
}

// mayStartLate reports whether a start order of a task may yet be carried out, perhaps by the
// next incarnation of the worker that it was sent to.
func (d *Driver) mayStartLate(ref workload.TaskRef, now time.Time) bool {
	return d.sending[ref] > 0 || now.Before(d.lateTasks[ref])
}

// holdBack keeps the end of a done run from being acknowledged while a start order of its task
// may be carried out late. An incarnation that has not been held yet carries it out, and the
// task must not run again once the worker has been told that its end is recorded.
func (d *Driver) holdBack(s *session, ref workload.TaskRef, o workload.Outcome, number int64) {
	if s != nil && o == workload.OutcomeDone && number > 0 && d.mayStartLate(ref, time.Now()) {
		s.held = append(s.held, heldEnd{number, ref})
	}
}

// noteLateRun handles a listed run that is not current. If its start order was sent to an
// earlier incarnation, it may have begun after another run of its task was done. The end of
// that one is not acknowledged any more, unless it has been.
func (d *Driver) noteLateRun(s *session, ref workload.TaskRef, number int64) {
	late := slices.ContainsFunc(d.lateStarts[s.worker.ID], func(l lateStart) bool {
		return l.ref == ref && l.number == number && l.incarnation != s.worker.Incarnation
	})
	if !late {
		return
	}
	for _, o := range d.sessions {
		if slices.ContainsFunc(o.held, func(h heldEnd) bool { return h.ref == ref }) {
			d.holdBackUntil(ref, time.Now().Add(lateRunTime))
		}
	}
}

// acknowledgeable returns the highest number that may be acknowledged to a worker.
// Acknowledgements are cumulative, so an end that is held back holds up all later ones,
// unless they would fill the list.
func (d *Driver) acknowledgeable(s *session, now time.Time) int64 {
	s.held = slices.DeleteFunc(s.held, func(h heldEnd) bool { return h.number <= s.acked || !d.mayStartLate(h.ref, now) })
	highest := s.ackable
	if s.listedEnds >= maxHeldEnds {
		return highest
	}
	for _, h := range s.held {
		highest = min(highest, h.number-1)
	}
	return highest
}
