package consensus

// Off names protections that a test switches off to show what each prevents.
type Off = protections

// SwitchOff sets the protections that are off, for tests only.
func (c *Config) SwitchOff(off Off) { c.off = off }

// Protections that can be switched off, each alone.
var (
	OffPreVote     = Off{preVote: true}
	OffLeaderLease = Off{leaderLease: true}
	OffCheckQuorum = Off{checkQuorum: true}
	OffLogCheck    = Off{logCheck: true}
	OffSingleVote  = Off{singleVote: true}
	OffTermCommit  = Off{termCommit: true}
	OffOneChange   = Off{oneChange: true}
	OffTermChange  = Off{termChange: true}
	OffLeaving     = Off{leaving: true}
	OffCaughtUp    = Off{caughtUp: true}
	OffReadRound   = Off{readRound: true}
)

// TermAt returns the term of an entry, or false when the log doesn't hold it.
func (c *Core) TermAt(index uint64) (uint64, bool) {
	return c.log.term(index), c.log.holds(index)
}

// MembersOf returns the membership in force on a disk.
func MembersOf(st State) []Member {
	l, err := newLog(st)
	if err != nil {
		panic(err)
	}
	return l.members()
}
