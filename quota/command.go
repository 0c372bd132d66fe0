package quota

// Command changes the allotments. All parts are applied in order: returns,
// transfers, grants. A part that no longer fits the ledger has no effect.
type Command struct {
	Returns   []Return   `cbor:"1,keyasint,omitempty"`
	Transfers []Transfer `cbor:"2,keyasint,omitempty"`
	Grants    []Grant    `cbor:"3,keyasint,omitempty"`
}

// Empty reports whether the command changes nothing.
func (c *Command) Empty() bool {
	return len(c.Returns) == 0 && len(c.Transfers) == 0 && len(c.Grants) == 0
}

// Return hands units back: the holder has returned Returned units in total.
// Nothing runs or will start on them.
type Return struct {
	Zone     string `cbor:"1,keyasint"`
	Term     uint64 `cbor:"2,keyasint"`
	Team     string `cbor:"3,keyasint"`
	Returned uint64 `cbor:"4,keyasint"`
}

// Transfer moves units of a zone's ended terms to its current term, at most
// once for each team and term.
type Transfer struct {
	Zone string `cbor:"1,keyasint"`
	// Term is the current term of the zone, which receives the units.
	Term uint64 `cbor:"2,keyasint"`
	Team string `cbor:"3,keyasint"`
	// Running counts the units of the zone's ended terms that live origins
	// declared as running after the no-start time.
	Running int64 `cbor:"4,keyasint"`
	// Complete states that every daemon that could hold a grant of the ended
	// terms has declared after the no-start time, in an incarnation that covers
	// them. Units that nobody declared are then free.
	Complete bool `cbor:"5,keyasint,omitempty"`
}

// Grant gives units to a term. Fewer are given when fewer are free.
type Grant struct {
	Zone  string `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
	Team  string `cbor:"3,keyasint"`
	Units int64  `cbor:"4,keyasint"`
}

// TeamLimit is the upper limit of one team.
type TeamLimit struct {
	Team  string
	Limit int64
}

// Renewal is the leader's answer to a Demand. The leader sends it only after a
// quorum confirmed, later than receipt of the demand, that it still leads, and
// from a state that includes everything committed before.
type Renewal struct {
	Zone string `cbor:"1,keyasint"`
	Term uint64 `cbor:"2,keyasint"`
	// Index orders renewals: it is the log index of the state that they show.
	Index uint64 `cbor:"3,keyasint"`
	// Teams lists what changed since the renewal that the holder has confirmed.
	Teams []Holding `cbor:"4,keyasint,omitempty"`
	// Epoch names the balancer; Seq numbers its renewals of the term.
	Epoch uint64 `cbor:"5,keyasint,omitempty"`
	Seq   uint64 `cbor:"6,keyasint,omitempty"`
	// Reported is the newest demand that this balancer has; 0 if it needs all teams.
	Reported uint64 `cbor:"7,keyasint,omitempty"`
}

// Holding is what a renewal says about one team.
type Holding struct {
	Team string `cbor:"1,keyasint"`
	// Granted counts the units ever granted to the term.
	Granted uint64 `cbor:"2,keyasint"`
	// ReturnTarget asks the holder to hand back units, as they become idle,
	// until it has returned this many in total.
	ReturnTarget uint64 `cbor:"3,keyasint,omitempty"`
	// Frozen asks the holder to hand back every idle unit and to start nothing:
	// the team holds more units than its limit.
	Frozen bool `cbor:"4,keyasint,omitempty"`
}

// Demand is what a holder reports with its question for a renewal.
type Demand struct {
	Zone string `cbor:"1,keyasint"`
	Term uint64 `cbor:"2,keyasint"`
	// Teams lists what changed since the demand that the balancer has confirmed.
	Teams []TeamDemand `cbor:"3,keyasint,omitempty"`
	// Seq numbers the demands of the term.
	Seq uint64 `cbor:"4,keyasint,omitempty"`
	// Epoch and Have name the newest renewal that the holder has applied.
	Epoch uint64 `cbor:"5,keyasint,omitempty"`
	Have  uint64 `cbor:"6,keyasint,omitempty"`
}

// TeamDemand is the demand of one team in one zone.
type TeamDemand struct {
	Team string `cbor:"1,keyasint"`
	// Running counts units in use.
	Running int64 `cbor:"2,keyasint,omitempty"`
	// Waiting counts requests that could start if units were held.
	Waiting int64 `cbor:"3,keyasint,omitempty"`
	// Returned counts the units ever returned.
	Returned uint64 `cbor:"4,keyasint,omitempty"`
}
