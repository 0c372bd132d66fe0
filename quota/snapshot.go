package quota

import (
	"sort"
	"time"
)

// LedgerState is the serializable state of a Ledger. Its lists are sorted, so
// equal ledgers have equal states.
type LedgerState struct {
	Now     time.Duration `cbor:"1,keyasint"`
	Applied uint64        `cbor:"2,keyasint"`
	Terms   []ZoneTerm    `cbor:"3,keyasint,omitempty"`
	Teams   []TeamState   `cbor:"4,keyasint,omitempty"`
	RunTime RunTimeState  `cbor:"5,keyasint"`
}

// ZoneTerm is the current term of a zone.
type ZoneTerm struct {
	Zone string `cbor:"1,keyasint"`
	Term uint64 `cbor:"2,keyasint"`
}

// TeamState is the state of one team in a LedgerState.
type TeamState struct {
	Team       string           `cbor:"1,keyasint"`
	Limit      int64            `cbor:"2,keyasint"`
	Allotments []AllotmentState `cbor:"3,keyasint,omitempty"`
	Retired    []RetiredState   `cbor:"4,keyasint,omitempty"`
}

// AllotmentState is one allotment in a LedgerState.
type AllotmentState struct {
	Zone        string `cbor:"1,keyasint"`
	Granted     uint64 `cbor:"2,keyasint"`
	Returned    uint64 `cbor:"3,keyasint,omitempty"`
	Transferred bool   `cbor:"4,keyasint,omitempty"`
}

// RetiredState is one record of retired units in a LedgerState.
type RetiredState struct {
	Zone        string        `cbor:"1,keyasint"`
	Units       int64         `cbor:"2,keyasint"`
	Index       uint64        `cbor:"3,keyasint"`
	Started     bool          `cbor:"4,keyasint,omitempty"`
	StartCutoff time.Duration `cbor:"5,keyasint,omitempty"`
	FreeAt      time.Duration `cbor:"6,keyasint,omitempty"`
}

// RunTimeState is the bound on run times in a LedgerState.
type RunTimeState struct {
	Current       time.Duration `cbor:"1,keyasint"`
	Previous      time.Duration `cbor:"2,keyasint,omitempty"`
	Index         uint64        `cbor:"3,keyasint,omitempty"`
	Started       bool          `cbor:"4,keyasint,omitempty"`
	PreviousUntil time.Duration `cbor:"5,keyasint,omitempty"`
}

// State returns the serializable state.
func (l *Ledger) State() LedgerState {
	s := LedgerState{
		Now:     l.now,
		Applied: l.applied,
		RunTime: RunTimeState{
			Current:       l.runTime.current,
			Previous:      l.runTime.previous,
			Index:         l.runTime.timer.index,
			Started:       l.runTime.timer.started,
			PreviousUntil: l.runTime.previousUntil,
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
	for zone, a := range t.allotments {
		s.Allotments = append(s.Allotments, AllotmentState{Zone: zone, Granted: a.granted, Returned: a.returned, Transferred: a.transferred})
	}
	sort.Slice(s.Allotments, func(i, j int) bool { return s.Allotments[i].Zone < s.Allotments[j].Zone })
	for _, r := range t.retired {
		s.Retired = append(s.Retired, RetiredState{
			Zone:        r.zone,
			Units:       r.units,
			Index:       r.timer.index,
			Started:     r.timer.started,
			StartCutoff: r.startCutoff,
			FreeAt:      r.freeAt,
		})
	}
	return s
}

// RestoreLedger returns a ledger with the given state.
func RestoreLedger(b Bounds, s *LedgerState) *Ledger {
	l := NewLedger(b)
	l.now = s.Now
	l.applied = s.Applied
	l.runTime = runTimeBound{
		current:       s.RunTime.Current,
		previous:      s.RunTime.Previous,
		timer:         commitTimer{index: s.RunTime.Index, started: s.RunTime.Started},
		previousUntil: s.RunTime.PreviousUntil,
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
	for _, a := range s.Allotments {
		t.allotments[a.Zone] = &allotment{granted: a.Granted, returned: a.Returned, transferred: a.Transferred}
	}
	for _, r := range s.Retired {
		t.retired = append(t.retired, retiredRecord{
			zone:        r.Zone,
			units:       r.Units,
			timer:       commitTimer{index: r.Index, started: r.Started},
			startCutoff: r.StartCutoff,
			freeAt:      r.FreeAt,
		})
	}
}
