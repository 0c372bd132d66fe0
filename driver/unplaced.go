package driver

import (
	"slices"
	"time"

	"magnoliastand.example/platform"
)

// The list of instances names the worker on each. It is read at intervals and fails at times,
// while workers register by themselves and don't name their instance. A worker that no list
// has placed yet may be on one of several instances: those are left alone while it has runs,
// and it receives none while one of them is to be taken down or moved.

// reserved reports whether a worker's instance is cordoned, moving or not up, or may be one
// that is to be taken down or moved.
func (f *fleet) reserved(s *session, now time.Time) bool {
	if in := f.byWorker[s.worker.ID]; in != nil && (in.isOrdered() || in.State != platform.InstanceUp) || f.ordered[s.worker.ID] {
		return true
	}
	if f.isPlaced(s) {
		return false
	}
	for _, in := range f.instances {
		if in.isOrdered() && f.mayHost(in, s, now) {
			return true
		}
	}
	return false
}

// isOrdered reports whether an upkeep or a move of the instance is due or under way.
func (i *instance) isOrdered() bool { return i.wave != 0 || i.moveTo != "" }

// isPlaced reports whether a list shows on which instance a worker is. A list that was
// requested before the worker registered may be older than the worker. A complete one that was
// requested later and does not name the worker shows that it has ended, unless it still answers.
func (f *fleet) isPlaced(s *session) bool {
	if in := f.byWorker[s.worker.ID]; in != nil {
		return in.listedAt.After(s.registeredAt)
	}
	if len(f.asked) == 0 || !f.asked[len(f.asked)-1].After(s.registeredAt) {
		return false
	}
	return s.failures > 0 || s.replaced
}

// mayHost reports whether a worker that is not placed may be on an instance, other than as
// the worker that was listed for it. It is not if that one has answered since, or if the
// instance has labels that the worker lacks: labels stay with the instance. The pool does as
// long as no order can have moved it unheard.
func (f *fleet) mayHost(in *instance, s *session, now time.Time) bool {
	listed := f.d.sessions[in.Worker]
	if listed == s || listed != nil && listed.listSent.After(s.registeredAt) {
		return false
	}
	if in.Pool != s.worker.Pool && !f.mayHaveMoved(in, now) {
		return false
	}
	return !slices.ContainsFunc(in.Labels, func(label string) bool { return !slices.Contains(s.worker.Labels, label) })
}

// mayHaveMoved reports whether an instance may be in another pool than the one known, by a
// late order of an earlier leader or one that this leader has no answer to.
func (f *fleet) mayHaveMoved(in *instance, now time.Time) bool {
	return now.Before(in.lateUntil) || now.Sub(f.d.started) < lateOrderTime
}

// findUnplaced records the workers with runs whose instance is not known.
func (f *fleet) findUnplaced() {
	f.unplaced = f.unplaced[:0]
	for id, s := range f.d.sessions {
		if len(f.d.state.Runs(id)) > 0 && !f.isPlaced(s) {
			f.unplaced = append(f.unplaced, s)
		}
	}
}

// runsKnown reports whether all runs on an instance are those of the worker that is listed
// for it: no other worker with runs may be on it, and the listed one has a session, the pool
// is a standby pool, or no worker has appeared within unknownWorkerGrace.
func (f *fleet) runsKnown(in *instance, now time.Time) bool {
	for _, s := range f.unplaced {
		if f.mayHost(in, s, now) {
			return false
		}
	}
	if f.d.sessions[in.Worker] != nil {
		in.unknownWorkerSince = time.Time{}
		return true
	}
	if p, ok := f.d.state.Pool(in.Pool); ok && p.Standby {
		return true
	}
	if in.unknownWorkerSince.IsZero() {
		in.unknownWorkerSince = now
	}
	return now.Sub(in.unknownWorkerSince) >= unknownWorkerGrace
}
