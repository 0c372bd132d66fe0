package driver

import (
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
	// rows is their number in the last list.
	rows int
	// since is when rows were last added.
	since time.Time
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

// record updates the rows with the number of unreadable rows in a list. acked is the highest
// number that the worker has confirmed to have forgotten: rows listed after that are new ones.
func (u *unreadableRows) record(rows int, acked int64, now time.Time) {
	replaced := u.passed > 0 && acked >= u.passed
	if replaced {
		u.passed = 0
	}
	if rows > u.rows || replaced {
		u.since = now
	}
	u.rows, u.pending = rows, false
	if rows == 0 {
		u.counted = nil
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

// mayHide reports whether one of the unreadable rows may be that of a missing run. It is not
// if the run was ordered or listed after the rows were there.
func (u *unreadableRows) mayHide(r *run) bool {
	return u.rows > 0 && r.orderedAt.Before(u.since) && r.seen.Before(u.since)
}

// passesUnreadable reports whether ends behind unreadable rows may be acknowledged. Rows that
// may be those of missing runs are kept longer, unless the list is full.
func (d *Driver) passesUnreadable(s *session, missing []*run, whole bool, now time.Time) bool {
	waits := s.unreadable.rows > 0 && now.Sub(s.unreadable.since) < unreadableWait
	for _, r := range missing {
		if !s.unreadable.mayHide(r) {
			r.missing = absence{}
			continue
		}
		if r.missing.since.IsZero() {
			r.missing.since = now
		}
		waits = waits || whole && now.Sub(r.missing.since) < missingWait
	}
	return !waits
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
