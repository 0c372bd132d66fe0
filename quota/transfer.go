package quota

import (
	"sort"
	"time"
)

// retire turns the allotment of a zone's ended term into a retired record.
func (t *teamState) retire(zone string, index uint64) {
	a, ok := t.allotments[zone]
	if !ok {
		return
	}
	delete(t.allotments, zone)
	if a.units() == 0 {
		return
	}
	r := retiredRecord{zone: zone, units: a.units(), timer: commitTimer{index: index}}
	t.retired = append(t.retired, r)
	sort.SliceStable(t.retired, func(i, j int) bool { return t.retired[i].zone < t.retired[j].zone })
	t.mergeRetired(zone)
}

// mergeRetired merges the two oldest records of a zone until at most
// maxRetiredRecords remain.
func (t *teamState) mergeRetired(zone string) {
	first, n := t.retiredRange(zone)
	for ; n > maxRetiredRecords; n-- {
		older, newer := &t.retired[first], &t.retired[first+1]
		newer.units += older.units
		if older.timer.started {
			newer.startCutoff = max(newer.startCutoff, older.startCutoff)
			newer.freeAt = max(newer.freeAt, older.freeAt)
		}
		t.retired = append(t.retired[:first], t.retired[first+1:]...)
	}
}

// retiredRange returns the index of a zone's first record and their number.
func (t *teamState) retiredRange(zone string) (first, n int) {
	first = sort.Search(len(t.retired), func(i int) bool { return t.retired[i].zone >= zone })
	for first+n < len(t.retired) && t.retired[first+n].zone == zone {
		n++
	}
	return first, n
}

// applyTransfer moves declared units to the current term. It takes units from the
// oldest records first, so that units whose origin is unknown stay counted for as
// long as any of them may run.
func (l *Ledger) applyTransfer(tr *Transfer) {
	t, ok := l.teams[tr.Team]
	if !ok || tr.Running < 0 || tr.Term == 0 || l.terms[tr.Zone] != tr.Term {
		return
	}
	first, n := t.retiredRange(tr.Zone)
	records := t.retired[first : first+n]
	allowed := !t.allotment(tr.Zone).transferred || l.disabled.transferOnce
	if n == 0 || !allowed || !l.pastStartCutoff(records) {
		return
	}
	moved := takeUnits(records, tr.Running)
	a := t.allotment(tr.Zone)
	a.granted += uint64(moved)
	a.transferred = true
	if tr.Complete {
		takeUnits(records, totalUnits(records))
	}
	t.dropEmptyRecords()
}

// Transferable returns the teams with units of a zone's ended terms that a
// Transfer to the current term may move now, sorted by name. The leader then lets
// the zone's arbiter collect declarations.
func (l *Ledger) Transferable(zone string) []string {
	var teams []string
	for _, name := range l.teamNames() {
		t := l.teams[name]
		first, n := t.retiredRange(zone)
		a, ok := t.allotments[zone]
		transferred := ok && a.transferred
		if n > 0 && !transferred && l.pastStartCutoff(t.retired[first:first+n]) {
			teams = append(teams, name)
		}
	}
	return teams
}

// pastStartCutoff reports whether every record is past its start cutoff, so that
// no work of the ended terms can still start.
func (l *Ledger) pastStartCutoff(records []retiredRecord) bool {
	for _, r := range records {
		if l.disabled.transferWait {
			break
		}
		if !r.timer.started || l.now < r.startCutoff {
			return false
		}
	}
	return true
}

// takeUnits removes up to want units from the records, oldest first, and returns
// the number removed.
func takeUnits(records []retiredRecord, want int64) int64 {
	var taken int64
	for i := range records {
		n := min(records[i].units, want-taken)
		records[i].units -= n
		taken += n
	}
	return taken
}

func totalUnits(records []retiredRecord) int64 {
	var sum int64
	for _, r := range records {
		sum += r.units
	}
	return sum
}

func (t *teamState) dropEmptyRecords() {
	kept := t.retired[:0]
	for _, r := range t.retired {
		if r.units > 0 {
			kept = append(kept, r)
		}
	}
	t.retired = kept
}

// runTimeBound tracks the longest run time of work that may be running, under the
// document in force or an earlier one.
type runTimeBound struct {
	current time.Duration
	// previous is the longest run time of earlier documents under which work may
	// still run, or 0 if there is none.
	previous      time.Duration
	timer         commitTimer
	previousUntil time.Duration
}

func (r *runTimeBound) longest() time.Duration { return max(r.current, r.previous) }

func (r *runTimeBound) set(run time.Duration, index uint64) {
	if run < r.current {
		r.previous = max(r.previous, r.current)
		r.timer = commitTimer{index: index}
	}
	r.current = run
}

// advance clears the previous bound once all work under it has ended.
func (r *runTimeBound) advance(now time.Duration, applied uint64, b Bounds) {
	if r.previous == 0 {
		return
	}
	if !r.timer.started && applied >= r.timer.index {
		r.timer.started = true
		r.previousUntil = now + b.runWindow(r.previous)
	}
	if r.timer.started && now >= r.previousUntil {
		r.previous = 0
	}
}
