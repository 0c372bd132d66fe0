package quota

import (
	"sort"
	"time"
)

// LedgerState is the serializable state of a Ledger. Its lists are sorted, so
// equal ledgers give equal states.
type LedgerState struct {
	Now     time.Duration `cbor:"1,keyasint"`
	Applied uint64        `cbor:"2,keyasint"`
	Terms   []ZoneTerm    `cbor:"3,keyasint,omitempty"`
	Teams   []TeamState   `cbor:"4,keyasint,omitempty"`
	Runs    RunState      `cbor:"5,keyasint"`
}

// ZoneTerm is the current term of a zone.
type ZoneTerm struct {
	Zone string `cbor:"1,keyasint"`
	Term uint64 `cbor:"2,keyasint"`
}

// TeamState is the state of one team in a LedgerState.
type TeamState struct {
	Team    string           `cbor:"1,keyasint"`
	Limit   int64            `cbor:"2,keyasint"`
	Allots  []AllotmentState `cbor:"3,keyasint,omitempty"`
	Retired []RetiredState   `cbor:"4,keyasint,omitempty"`
}

// AllotmentState is one allotment in a LedgerState.
type AllotmentState struct {
	Zone     string `cbor:"1,keyasint"`
	Granted  uint64 `cbor:"2,keyasint"`
	Returned uint64 `cbor:"3,keyasint,omitempty"`
	Moved    bool   `cbor:"4,keyasint,omitempty"`
}

// RetiredState is one record of retired units in a LedgerState.
type RetiredState struct {
	Zone    string        `cbor:"1,keyasint"`
	Units   int64         `cbor:"2,keyasint"`
	Index   uint64        `cbor:"3,keyasint"`
	Begun   bool          `cbor:"4,keyasint,omitempty"`
	NoStart time.Duration `cbor:"5,keyasint,omitempty"`
	Free    time.Duration `cbor:"6,keyasint,omitempty"`
}

// RunState is the longest run time in a LedgerState.
type RunState struct {
	Current time.Duration `cbor:"1,keyasint"`
	Prior   time.Duration `cbor:"2,keyasint,omitempty"`
	Index   uint64        `cbor:"3,keyasint,omitempty"`
	Begun   bool          `cbor:"4,keyasint,omitempty"`
	Until   time.Duration `cbor:"5,keyasint,omitempty"`
}

// State returns the serializable state.
func (l *Ledger) State() LedgerState {
	s := LedgerState{
		Now:     l.now,
		Applied: l.applied,
		Runs: RunState{
			Current: l.runs.current,
			Prior:   l.runs.prior,
			Index:   l.runs.wait.index,
			Begun:   l.runs.wait.begun,
			Until:   l.runs.until,
		},
	}
	for zone, term := range l.terms {
		s.Terms = append(s.Terms, ZoneTerm{Zone: zone, Term: term})
	}
	sort.Slice(s.Terms, func(i, j int) bool { return s.Terms[i].Zone < s.Terms[j].Zone })
	for _, name := range l.teamNames() {
		s.Teams = append(s.Teams, l.teams[name].state(name))
	}
	return s
}

func (t *teamState) state(name string) TeamState {
	s := TeamState{Team: name, Limit: t.limit}
	for zone, a := range t.allots {
		s.Allots = append(s.Allots, AllotmentState{Zone: zone, Granted: a.granted, Returned: a.returned, Moved: a.moved})
	}
	sort.Slice(s.Allots, func(i, j int) bool { return s.Allots[i].Zone < s.Allots[j].Zone })
	for _, r := range t.retired {
		s.Retired = append(s.Retired, RetiredState{
			Zone:    r.zone,
			Units:   r.units,
			Index:   r.wait.index,
			Begun:   r.wait.begun,
			NoStart: r.noStart,
			Free:    r.free,
		})
	}
	return s
}

// RestoreLedger returns the ledger of a state.
func RestoreLedger(b Bounds, s *LedgerState) *Ledger {
	l := NewLedger(b)
	l.now = s.Now
	l.applied = s.Applied
	l.runs = runBound{
		current: s.Runs.Current,
		prior:   s.Runs.Prior,
		wait:    interval{index: s.Runs.Index, begun: s.Runs.Begun},
		until:   s.Runs.Until,
	}
	for _, zt := range s.Terms {
		l.terms[zt.Zone] = zt.Term
	}
	for i := range s.Teams {
		l.restoreTeam(&s.Teams[i])
	}
	return l
}

func (l *Ledger) restoreTeam(s *TeamState) {
	t := l.team(s.Team)
	t.limit = s.Limit
	for _, a := range s.Allots {
		t.allots[a.Zone] = &allotment{granted: a.Granted, returned: a.Returned, moved: a.Moved}
	}
	for _, r := range s.Retired {
		t.retired = append(t.retired, retired{
			zone:    r.Zone,
			units:   r.Units,
			wait:    interval{index: r.Index, begun: r.Begun},
			noStart: r.NoStart,
			free:    r.Free,
		})
	}
}
