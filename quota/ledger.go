package quota

import (
	"sort"
	"time"

	"magnoliastand.example/invariant"
)

// maxRetiredRecords limits the retired records of one team in one zone. Beyond it
// the oldest records are merged, which delays the release of their units.
const maxRetiredRecords = 8

// Ledger records which arbiter term holds how many units of which team. It is
// deterministic and not safe for concurrent use.
type Ledger struct {
	bounds Bounds
	// now is the newest cluster time of all commands.
	now time.Duration
	// applied is the highest log index that the proposer of a command had applied.
	applied uint64
	terms   map[string]uint64 // current term by zone
	teams   map[string]*teamState
	runTime runTimeBound
	// disabled turns off safety checks in tests.
	disabled disabledChecks
}

// disabledChecks selects safety checks that a test turns off to verify that its
// checker detects the violation.
type disabledChecks struct {
	freeCheck        bool // grants may exceed the free units
	retirement       bool // units of an ended term are freed at once
	appliedCheck     bool // timers may start at a timestamp from before the commit
	transferOnce     bool // a repeated transfer is applied again
	transferWait     bool // transfers may precede the start cutoff
	previousRunBound bool // a lowered longest run time applies to running work too
}

// teamState is the state of one team.
type teamState struct {
	limit      int64
	allotments map[string]*allotment // allotment of the current term by zone
	retired    []retiredRecord       // sorted by zone, then from oldest to newest
}

// allotment holds the counters of one team in the current term of one zone.
type allotment struct {
	granted  uint64
	returned uint64
	// transferred reports whether a Transfer to this term was applied.
	transferred bool
}

func (a *allotment) units() int64 { return int64(a.granted - a.returned) }

// retiredRecord holds the units of an ended term that may still be running.
type retiredRecord struct {
	zone  string
	units int64
	timer commitTimer
	// startCutoff and freeAt are cluster times, valid once the timer has started.
	startCutoff time.Duration
	freeAt      time.Duration
}

// commitTimer starts at the first command whose proposer had applied index.
type commitTimer struct {
	index   uint64
	started bool
}

// NewLedger returns an empty ledger.
func NewLedger(b Bounds) *Ledger {
	return &Ledger{
		bounds: b,
		terms:  make(map[string]uint64),
		teams:  make(map[string]*teamState),
	}
}

// Advance advances cluster time. It is called before every command of the log:
// now is the command's cluster time and applied the log index that its proposer
// had applied. Neither value ever decreases in the ledger.
func (l *Ledger) Advance(now time.Duration, applied uint64) {
	l.now = max(l.now, now)
	l.applied = max(l.applied, applied)
	l.runTime.advance(l.now, applied, l.bounds)
	if l.disabled.previousRunBound {
		l.runTime.previous = 0
	}
	// Map order does not affect the result: teams are independent of each other.
	for name := range l.teams {
		l.advanceTeam(name, applied)
	}
}

// advanceTeam starts the timers of retired units and frees the units whose timer
// has expired. A timer starts at the cluster time of the current command, which is
// not earlier than the entry that set the timer.
func (l *Ledger) advanceTeam(name string, applied uint64) {
	t := l.teams[name]
	kept := t.retired[:0]
	for _, r := range t.retired {
		if !r.timer.started && (applied >= r.timer.index || l.disabled.appliedCheck) {
			start := l.now
			r.timer.started = true
			r.startCutoff = start + l.bounds.startWindow()
			r.freeAt = start + l.bounds.runWindow(l.runTime.longest())
		}
		expired := r.timer.started && l.now >= r.freeAt || l.disabled.retirement
		if !expired {
			kept = append(kept, r)
		}
	}
	t.retired = kept
	if t.limit == 0 && t.outstanding() == 0 {
		delete(l.teams, name)
	}
}

// SetLimits installs the limits of a new document. Teams that are not listed get a
// limit of 0 and keep the units that they hold.
func (l *Ledger) SetLimits(limits []TeamLimit) {
	for _, t := range l.teams {
		t.limit = 0
	}
	for _, tl := range limits {
		if tl.Limit > 0 {
			l.team(tl.Team).limit = tl.Limit
		}
	}
}

// SetLongestRun installs the longest run time of a new document, committed at
// index. A longer previous value stays in effect until work under it has ended.
func (l *Ledger) SetLongestRun(run time.Duration, index uint64) { l.runTime.set(run, index) }

// SetTerm makes term the current term of zone and retires the units of older
// terms. index is the log index of the entry that assigns the term. It returns
// false and changes nothing if the term is not newer.
func (l *Ledger) SetTerm(zone string, term, index uint64) bool {
	if term <= l.terms[zone] {
		return false
	}
	l.terms[zone] = term
	for _, t := range l.teams {
		t.retire(zone, index)
	}
	return true
}

// Term returns the current term of a zone, or 0 if it never had one.
func (l *Ledger) Term(zone string) uint64 { return l.terms[zone] }

// Apply applies the parts of a command that match the state of the ledger.
func (l *Ledger) Apply(c *Command) {
	for i := range c.Returns {
		l.applyReturn(&c.Returns[i])
	}
	for i := range c.Transfers {
		l.applyTransfer(&c.Transfers[i])
	}
	for i := range c.Grants {
		l.applyGrant(&c.Grants[i])
	}
}

func (l *Ledger) applyReturn(r *Return) {
	a := l.current(r.Zone, r.Term, r.Team)
	if a == nil {
		return
	}
	a.returned = max(a.returned, min(r.Returned, a.granted))
}

func (l *Ledger) applyGrant(g *Grant) {
	t, ok := l.teams[g.Team]
	if !ok || g.Units <= 0 || g.Term == 0 || l.terms[g.Zone] != g.Term {
		return
	}
	units := g.Units
	if !l.disabled.freeCheck {
		units = min(units, t.limit-t.outstanding())
	}
	if units <= 0 {
		return
	}
	t.allotment(g.Zone).granted += uint64(units)
	invariant.Check(t.outstanding() <= t.limit, invariant.TeamLimit,
		"team %s holds %d units with a limit of %d", g.Team, t.outstanding(), t.limit)
}

// Limit returns the limit of a team, or 0 if it has none.
func (l *Ledger) Limit(team string) int64 {
	if t, ok := l.teams[team]; ok {
		return t.limit
	}
	return 0
}

// Outstanding returns the number of units of a team that are held or retired.
func (l *Ledger) Outstanding(team string) int64 {
	if t, ok := l.teams[team]; ok {
		return t.outstanding()
	}
	return 0
}

// Held returns the number of units of a team that the current term of a zone holds.
func (l *Ledger) Held(zone, team string) int64 {
	t, ok := l.teams[team]
	if !ok || t.allotments[zone] == nil {
		return 0
	}
	return t.allotments[zone].units()
}

// Retired returns the number of units of a team that ended terms of a zone may
// still use.
func (l *Ledger) Retired(zone, team string) int64 {
	var sum int64
	if t, ok := l.teams[team]; ok {
		for _, r := range t.retired {
			if r.zone == zone {
				sum += r.units
			}
		}
	}
	return sum
}

// Waiting reports whether any timer is pending. The leader then proposes commands
// periodically, so that cluster time advances.
func (l *Ledger) Waiting() bool {
	for _, t := range l.teams {
		if len(t.retired) > 0 {
			return true
		}
	}
	return l.runTime.previous > 0
}

// Renewal returns the renewal of a term at a log index, with every team of which
// the term was ever granted units. It returns false if the term is not current.
func (l *Ledger) Renewal(zone string, term, index uint64) (Renewal, bool) {
	r := Renewal{Zone: zone, Term: term, Index: index}
	if term == 0 || l.terms[zone] != term {
		return r, false
	}
	for _, name := range l.teamNames() {
		t := l.teams[name]
		a, ok := t.allotments[zone]
		if !ok {
			continue
		}
		r.Teams = append(r.Teams, TeamRenewal{
			Team:    name,
			Granted: a.granted,
			Frozen:  t.outstanding() > t.limit,
		})
	}
	return r, true
}

// current returns the allotment of a team in a current term, or nil if there is
// none.
func (l *Ledger) current(zone string, term uint64, team string) *allotment {
	t, ok := l.teams[team]
	if !ok || term == 0 || l.terms[zone] != term {
		return nil
	}
	return t.allotments[zone]
}

func (l *Ledger) team(name string) *teamState {
	t, ok := l.teams[name]
	if !ok {
		t = &teamState{allotments: make(map[string]*allotment)}
		l.teams[name] = t
	}
	return t
}

func (l *Ledger) teamNames() []string {
	names := make([]string, 0, len(l.teams))
	for name := range l.teams {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (t *teamState) allotment(zone string) *allotment {
	a, ok := t.allotments[zone]
	if !ok {
		a = &allotment{}
		t.allotments[zone] = a
	}
	return a
}

// outstanding returns the sum of held and retired units.
func (t *teamState) outstanding() int64 {
	var sum int64
	for _, a := range t.allotments {
		sum += a.units()
	}
	for _, r := range t.retired {
		sum += r.units
	}
	return sum
}
