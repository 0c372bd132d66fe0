package quota

import (
	"sort"
	"time"

	"magnoliastand.example/invariant"
)

// maxRetiredRecords bounds the retired records of one team and zone; older ones are
// merged, which delays their units.
const maxRetiredRecords = 8

// Ledger records which arbiter term holds how many units of which team. It is
// deterministic and not safe for concurrent use.
type Ledger struct {
	bounds Bounds
	// now is the cluster time of the newest command.
	now time.Duration
	// applied is the log index that the newest command's proposer had applied.
	applied uint64
	terms   map[string]uint64 // zone to its current term
	teams   map[string]*teamState
	runTime runTimeBound
	// disabled disables protections, for tests of the checkers.
	disabled disabledChecks
}

// disabledChecks names protections that a test can disable to show that its
// checker catches the breach.
type disabledChecks struct {
	freeCheck        bool // grant more units than are free
	retirement       bool // free the units of an ended term at once
	appliedCheck     bool // begin waits at stamps from before the commit
	transferOnce     bool // apply a transfer as often as it is repeated
	transferWait     bool // transfer before the no-start time
	previousRunBound bool // forget a longer run time at once when it is lowered
}

// teamState is the state of one team.
type teamState struct {
	limit      int64
	allotments map[string]*allotment // zone to the allotment of its current term
	retired    []retiredRecord       // ordered by zone, then by age
}

// allotment holds the counters of one team in the current term of one zone.
type allotment struct {
	granted  uint64
	returned uint64
	// transferred tells that a Transfer into this term was applied.
	transferred bool
}

func (a *allotment) units() int64 { return int64(a.granted - a.returned) }

// retiredRecord holds the units of an ended term that may still be running.
type retiredRecord struct {
	zone  string
	units int64
	timer commitTimer
	// startCutoff and free are cluster times, valid once wait has begun.
	startCutoff time.Duration
	freeAt      time.Duration
}

// commitTimer begins with the first command whose proposer had applied index.
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

// Advance moves cluster time. It is called before every command of the log:
// now is the command's cluster time and applied the log index that its proposer
// had applied. Older values than before are ignored.
func (l *Ledger) Advance(now time.Duration, applied uint64) {
	l.now = max(l.now, now)
	l.applied = max(l.applied, applied)
	l.runTime.advance(l.now, applied, l.bounds)
	if l.disabled.previousRunBound {
		l.runTime.previous = 0
	}
	// The order does not matter: each team is advanced by itself.
	for name := range l.teams {
		l.advanceTeam(name, applied)
	}
}

// advanceTeam starts and ends the waits of retired units. A wait begins at the
// time stamp of the command itself, at or after the entry it follows.
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
		over := r.timer.started && l.now >= r.freeAt || l.disabled.retirement
		if !over {
			kept = append(kept, r)
		}
	}
	t.retired = kept
	if t.limit == 0 && t.outstanding() == 0 {
		delete(l.teams, name)
	}
}

// SetLimits installs the limits of a new document. Teams that are missing keep
// what they hold with a limit of 0.
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
// index. A longer one of before counts until work under it has ended.
func (l *Ledger) SetLongestRun(run time.Duration, index uint64) { l.runTime.set(run, index) }

// SetTerm makes term the current term of zone; index is the log index of the
// entry that assigns it. Units of older terms are retired. It reports false,
// and changes nothing, if the term is not newer.
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

// Term returns the current term of a zone; 0 if it never had one.
func (l *Ledger) Term(zone string) uint64 { return l.terms[zone] }

// Apply applies a command.
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

// Limit returns the limit of a team; 0 if it has none.
func (l *Ledger) Limit(team string) int64 {
	if t, ok := l.teams[team]; ok {
		return t.limit
	}
	return 0
}

// Outstanding returns the units of a team that are held or retired.
func (l *Ledger) Outstanding(team string) int64 {
	if t, ok := l.teams[team]; ok {
		return t.outstanding()
	}
	return 0
}

// Held returns the units of a team that the current term of a zone holds.
func (l *Ledger) Held(zone, team string) int64 {
	t, ok := l.teams[team]
	if !ok || t.allotments[zone] == nil {
		return 0
	}
	return t.allotments[zone].units()
}

// Retired returns the units of a team that ended terms of a zone may still use.
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

// Waiting reports whether any units wait for time to pass. The leader then
// proposes commands now and then, so that time advances.
func (l *Ledger) Waiting() bool {
	for _, t := range l.teams {
		if len(t.retired) > 0 {
			return true
		}
	}
	return l.runTime.previous > 0
}

// Renewal returns the renewal of a term at log index, with every team that the
// term was ever granted units of. It reports false if the term is not current.
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

// current returns the allotment of a current term; nil if there is none.
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

// outstanding sums held and retired units.
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
