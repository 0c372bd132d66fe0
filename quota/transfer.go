package quota

import (
	"sort"
	"time"
)

// retire moves the allotment of a zone's ended term to the retired units.
func (t *teamState) retire(zone string, index uint64) {
	a, ok := t.allots[zone]
	if !ok {
		return
	}
	delete(t.allots, zone)
	if a.units() == 0 {
		return
	}
	r := retired{zone: zone, units: a.units(), wait: interval{index: index}}
	t.retired = append(t.retired, r)
	sort.SliceStable(t.retired, func(i, j int) bool { return t.retired[i].zone < t.retired[j].zone })
	t.mergeRetired(zone)
}

// mergeRetired joins the two oldest records of a zone while there are too many.
func (t *teamState) mergeRetired(zone string) {
	first, n := t.retiredOf(zone)
	for ; n > maxRetired; n-- {
		older, newer := &t.retired[first], &t.retired[first+1]
		newer.units += older.units
		if older.wait.begun {
			newer.noStart = max(newer.noStart, older.noStart)
			newer.free = max(newer.free, older.free)
		}
		t.retired = append(t.retired[:first], t.retired[first+1:]...)
	}
}

// retiredOf returns the position and number of a zone's records.
func (t *teamState) retiredOf(zone string) (first, n int) {
	first = sort.Search(len(t.retired), func(i int) bool { return t.retired[i].zone >= zone })
	for first+n < len(t.retired) && t.retired[first+n].zone == zone {
		n++
	}
	return first, n
}

// applyTransfer moves declared units to the current term. Records are used up
// from the oldest on, so that units whose origin is unknown stay counted for as
// long as any of them may run.
func (l *Ledger) applyTransfer(tr *Transfer) {
	t, ok := l.teams[tr.Team]
	if !ok || tr.Running < 0 || tr.Term == 0 || l.terms[tr.Zone] != tr.Term {
		return
	}
	first, n := t.retiredOf(tr.Zone)
	records := t.retired[first : first+n]
	once := !t.allot(tr.Zone).moved || l.off.transferOnce
	if n == 0 || !once || !l.nothingStarts(records) {
		return
	}
	moved := takeUnits(records, tr.Running)
	a := t.allot(tr.Zone)
	a.granted += uint64(moved)
	a.moved = true
	if tr.Complete {
		takeUnits(records, totalUnits(records))
	}
	t.dropEmpty()
}

// Transferable lists the teams with units of a zone's ended terms that a
// Transfer to the current term may move now, in order of name. The leader then
// lets the zone's arbiter collect declarations.
func (l *Ledger) Transferable(zone string) []string {
	var teams []string
	for _, name := range l.teamNames() {
		t := l.teams[name]
		first, n := t.retiredOf(zone)
		a, ok := t.allots[zone]
		moved := ok && a.moved
		if n > 0 && !moved && l.nothingStarts(t.retired[first:first+n]) {
			teams = append(teams, name)
		}
	}
	return teams
}

// nothingStarts reports whether every record is past its no-start time.
func (l *Ledger) nothingStarts(records []retired) bool {
	for _, r := range records {
		if l.off.transferWait {
			break
		}
		if !r.wait.begun || l.now < r.noStart {
			return false
		}
	}
	return true
}

// takeUnits removes up to want units from the records, the oldest first.
func takeUnits(records []retired, want int64) int64 {
	var taken int64
	for i := range records {
		n := min(records[i].units, want-taken)
		records[i].units -= n
		taken += n
	}
	return taken
}

func totalUnits(records []retired) int64 {
	var sum int64
	for _, r := range records {
		sum += r.units
	}
	return sum
}

func (t *teamState) dropEmpty() {
	kept := t.retired[:0]
	for _, r := range t.retired {
		if r.units > 0 {
			kept = append(kept, r)
		}
	}
	t.retired = kept
}

// runBound tracks the longest run time of work that may be running: that of the
// document in force, or of an earlier one under which work may still run.
type runBound struct {
	current time.Duration
	// prior is the longest of the earlier ones; 0 if none counts any more.
	prior time.Duration
	wait  interval
	until time.Duration
}

func (r *runBound) longest() time.Duration { return max(r.current, r.prior) }

func (r *runBound) set(run time.Duration, index uint64) {
	if run < r.current {
		r.prior = max(r.prior, r.current)
		r.wait = interval{index: index}
	}
	r.current = run
}

// advance ends the prior bound once all work under it has ended.
func (r *runBound) advance(now time.Duration, applied uint64, b Bounds) {
	if r.prior == 0 {
		return
	}
	if !r.wait.begun && applied >= r.wait.index {
		r.wait.begun = true
		r.until = now + b.ended(r.prior)
	}
	if r.wait.begun && now >= r.until {
		r.prior = 0
	}
}
