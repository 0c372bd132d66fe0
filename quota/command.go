package quota

// Command changes allotments. Its parts are applied in order: returns, transfers,
// grants. A part that no longer matches the state of the ledger has no effect.
type Command struct {
	Returns   []Return   `cbor:"1,keyasint,omitempty"`
	Transfers []Transfer `cbor:"2,keyasint,omitempty"`
	Grants    []Grant    `cbor:"3,keyasint,omitempty"`
}

// Empty reports whether the command changes nothing.
func (c *Command) Empty() bool {
	return len(c.Returns) == 0 && len(c.Transfers) == 0 && len(c.Grants) == 0
}

// Return gives units back to the ledger. Returned is the total that the holder
// has returned in the term; nothing runs or will start on these units.
type Return struct {
	Zone     string `cbor:"1,keyasint"`
	Term     uint64 `cbor:"2,keyasint"`
	Team     string `cbor:"3,keyasint"`
	Returned uint64 `cbor:"4,keyasint"`
}

// Transfer moves units of a zone's ended terms to its current term. It takes
// effect at most once for each team and term.
type Transfer struct {
	Zone string `cbor:"1,keyasint"`
	// Term is the current term of the zone, which receives the units.
	Term uint64 `cbor:"2,keyasint"`
	Team string `cbor:"3,keyasint"`
	// Running counts the units of the zone's ended terms that live origins
	// declared as running after the start cutoff.
	Running int64 `cbor:"4,keyasint"`
	// Complete states that every daemon that could hold a grant of the ended
	// terms has declared after the start cutoff, in an incarnation that covers
	// these terms. Units that no daemon declared are then free.
	Complete bool `cbor:"5,keyasint,omitempty"`
}

// Grant assigns units to a term, or as many as are free if that is fewer.
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

// Renewal is the leader's answer to a Demand. The leader sends it only if a
// quorum confirmed its leadership after it received the demand, and takes it from
// a state that includes everything committed before.
type Renewal struct {
	Zone string `cbor:"1,keyasint"`
	Term uint64 `cbor:"2,keyasint"`
	// Index is the log index of the state in the renewal; it orders renewals.
	Index uint64 `cbor:"3,keyasint"`
	// Teams lists the teams that changed since the renewal that the holder has
	// confirmed.
	Teams []TeamRenewal `cbor:"4,keyasint,omitempty"`
	// Epoch identifies the balancer; Seq numbers its renewals of the term.
	Epoch uint64 `cbor:"5,keyasint,omitempty"`
	Seq   uint64 `cbor:"6,keyasint,omitempty"`
	// ConfirmedDemand is the Seq of the newest demand that this balancer has
	// applied, or 0 if it needs the demand of all teams.
	ConfirmedDemand uint64 `cbor:"7,keyasint,omitempty"`
}

// TeamRenewal is the part of a renewal about one team.
type TeamRenewal struct {
	Team string `cbor:"1,keyasint"`
	// Granted is the total number of units granted to the term.
	Granted uint64 `cbor:"2,keyasint"`
	// ReturnTarget is the total number of units that the holder is to return. It
	// returns units as they become idle.
	ReturnTarget uint64 `cbor:"3,keyasint,omitempty"`
	// Frozen makes the holder return every idle unit and start nothing, because
	// the team holds more units than its limit.
	Frozen bool `cbor:"4,keyasint,omitempty"`
}

// Demand is a holder's request for a renewal and reports its demand.
type Demand struct {
	Zone string `cbor:"1,keyasint"`
	Term uint64 `cbor:"2,keyasint"`
	// Teams lists the teams whose demand changed since the demand that the
	// balancer has confirmed.
	Teams []TeamDemand `cbor:"3,keyasint,omitempty"`
	// Seq numbers the demands of the term.
	Seq uint64 `cbor:"4,keyasint,omitempty"`
	// Epoch and AppliedRenewal are the Epoch and Seq of the newest renewal that the
	// holder has applied.
	Epoch          uint64 `cbor:"5,keyasint,omitempty"`
	AppliedRenewal uint64 `cbor:"6,keyasint,omitempty"`
}

// TeamDemand is the demand of one team in one zone.
type TeamDemand struct {
	Team string `cbor:"1,keyasint"`
	// Running is the number of units in use.
	Running int64 `cbor:"2,keyasint,omitempty"`
	// Waiting is the number of requests that only lack a unit to start.
	Waiting int64 `cbor:"3,keyasint,omitempty"`
	// Returned is the total number of units returned in the term.
	Returned uint64 `cbor:"4,keyasint,omitempty"`
}
