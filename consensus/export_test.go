package consensus

// DisabledSafeguards exports disabledSafeguards to tests that show what each
// safeguard prevents.
type DisabledSafeguards = disabledSafeguards

// DisableSafeguards turns off the given safeguards.
func (c *Config) DisableSafeguards(disabled DisabledSafeguards) { c.disabled = disabled }

// Values that each disable a single safeguard.
var (
	WithoutPreVote              = DisabledSafeguards{preVote: true}
	WithoutLeaderLease          = DisabledSafeguards{leaderLease: true}
	WithoutCheckQuorum          = DisabledSafeguards{checkQuorum: true}
	WithoutLogUpToDate          = DisabledSafeguards{logUpToDate: true}
	WithoutSingleVote           = DisabledSafeguards{singleVote: true}
	WithoutOwnTermCommit        = DisabledSafeguards{ownTermCommit: true}
	WithoutSingleChange         = DisabledSafeguards{singleChange: true}
	WithoutOwnTermChange        = DisabledSafeguards{ownTermChange: true}
	WithoutRemovedVoterCampaign = DisabledSafeguards{removedVoterCampaign: true}
	WithoutLearnerCatchUp       = DisabledSafeguards{learnerCatchUp: true}
	WithoutReadConfirmation     = DisabledSafeguards{readConfirmation: true}
)

// TermAt returns the term of the entry at index, or false if the log does not
// hold it.
func (c *Core) TermAt(index uint64) (uint64, bool) {
	return c.log.term(index), c.log.holds(index)
}

// MembersOf returns the membership in force according to a stored state.
func MembersOf(st State) []Member {
	l, err := newLog(st)
	if err != nil {
		panic(err)
	}
	return l.members()
}
