package driver

import (
	"maps"
	"slices"
	"time"

	"magnoliastand.example/platform"
)

const (
	// unreadableWait is how long ends behind an unreadable row are not acknowledged, since the
	// row would be forgotten with them and may be readable in a later list. Ends are to be
	// acknowledged within 4 s.
	unreadableWait = 2 * time.Second
	// missingWait is how long a run that is listed neither as running nor as ended is left
	// unsettled beside an unreadable row that may be its own: longer than faults that harm
	// replies for some seconds.
	missingWait = 10 * time.Second
)

// unreadableRows is what is known of the unreadable rows in the lists of a worker.
type unreadableRows struct {
	// rows is their number in the last list. It does not tell whether they are still the same.
	rows int
	// listed holds when the ends behind an unreadable row were first listed, by number.
	listed map[int64]time.Time
	// passed is the highest number of an end behind an unreadable row whose acknowledgement is
	// being sent; the rows before it are forgotten with it.
	passed int64
	// pending is set while the last list has ends that may not be acknowledged yet.
	pending bool
	// counted holds the numbers of the ends behind an unreadable row that are committed but
	// not acknowledged.
	counted map[int64]bool
}

// absence is how long the lists of a worker have lacked a run beside an unreadable row.
type absence struct {
	since time.Time
	// stopped is when a stop of the run was first known to be acknowledged.
	stopped time.Time
}

// record updates the rows with a list, whose ends are in the order of their numbers. acked is
// the highest number that the worker has confirmed to have forgotten.
func (u *unreadableRows) record(l *platform.Lists, acked int64, now time.Time) {
	if acked >= u.passed {
		u.passed = 0
	}
	u.rows, u.pending = l.Unreadable, false
	if u.rows == 0 {
		u.counted, u.listed = nil, nil
		return
	}
	if u.listed == nil {
		u.listed = map[int64]time.Time{}
	}
	maps.DeleteFunc(u.listed, func(number int64, _ time.Time) bool { return number <= acked })
	// The row of an end was there, readable or not, when a later one was first listed.
	first := now
	for _, e := range slices.Backward(l.Ended) {
		number := numberOf(&e)
		if t, known := u.listed[number]; known && t.Before(first) {
			first = t
		}
		u.listed[number] = first
	}
}

// count records the number of an end that is committed but may not be acknowledged yet.
func (u *unreadableRows) count(number int64) {
	if u.counted == nil {
		u.counted = map[int64]bool{}
	}
	u.counted[number] = true
}

// numberOf returns the number of an end, also if it is behind an unreadable row.
func numberOf(e *platform.EndedTask) int64 { return max(e.Number, -e.Number) }

// mayHide reports whether one of the unreadable rows may be that of a missing run. Any of them
// may: as many rows as before may be other ones.
func (u *unreadableRows) mayHide(r *run) bool { return u.rows > 0 && r.phase != phaseCommitting }

// recordMissing updates how long the missing runs of a worker may have been hidden.
func (u *unreadableRows) recordMissing(missing []*run, now time.Time) {
	for _, r := range missing {
		switch {
		case !u.mayHide(r):
			r.missing = absence{}
		case r.missing.since.IsZero():
			r.missing.since = now
		}
	}
}

// passableUntil returns until when an end behind an unreadable row must have been listed first
// to be acknowledged. Rows that may be those of missing runs are kept longer, unless the list is
// full. The row of a run is behind that of an end that was listed before the run was ordered or
// seen running.
func (u *unreadableRows) passableUntil(missing []*run, whole bool, now time.Time) time.Time {
	until := now.Add(-unreadableWait)
	if !whole {
		return until
	}
	for _, r := range missing {
		if !u.mayHide(r) || now.Sub(r.missing.since) >= missingWait {
			continue
		}
		running := r.orderedAt
		if r.seen.After(running) {
			running = r.seen
		}
		if running.Before(until) {
			until = running
		}
	}
	return until
}

// mayBeUnreadable reports whether a missing run is to be left unsettled because an unreadable
// row may be its own. The row may list it as running, so the run is stopped before it is
// taken as over, within its availability budget.
func (d *Driver) mayBeUnreadable(s *session, r *run, now time.Time) bool {
	if !s.unreadable.mayHide(r) {
		return false
	}
	if r.missing.since.IsZero() || now.Sub(r.missing.since) < missingWait {
		return true
	}
	if !r.stopAcked.IsZero() {
		if r.missing.stopped.IsZero() {
			r.missing.stopped = now
		}
		return now.Sub(r.missing.stopped) < unreadableWait
	}
	if step := r.step(); r.stopping || !step.LongRunning || step.MaxUnavailable == 0 || d.unavailableTasks(r) < step.MaxUnavailable {
		d.voidRun(r)
	}
	return true
}
