package node

import "magnoliastand.example/consensus"

// RepairPolicy sets when a leader replaces an unresponsive voter. A member is
// silent while it acknowledges no messages of the leader; see
// consensus.PeerStatus.
type RepairPolicy struct {
	// Voters is the target number of voters.
	Voters int
	// SilentTicks is how long, in ticks, a voter must be silent to be replaced.
	SilentTicks uint64
	// LearnerSilentTicks is how long, in ticks, a learner must be silent to be
	// removed; zero never removes learners.
	LearnerSilentTicks uint64
	// SupersededTicks is how long, in ticks, a voter must be silent to be replaced
	// if another member of the same name is responsive, which means that the disk
	// was lost and replaced. Zero disables this rule.
	SupersededTicks uint64
}

// PlanRepair returns the next membership change that a repair needs, if any. It
// plans one change at a time: first it promotes a spare learner, so that the data
// is never stored on fewer disks, then it removes the silent voter. It is a pure
// function of the status of a leader and the policy.
func PlanRepair(s consensus.Status, p RepairPolicy) (consensus.Change, bool) {
	if s.Role != consensus.Leader || !s.QuorumKnown || s.MembersPending {
		return consensus.Change{}, false
	}
	silent := longestSilent(s.Peers, true, p.SilentTicks)
	if silent == nil && p.SupersededTicks > 0 {
		silent = replacedVoter(s.Peers, p.SupersededTicks)
	}
	voters := countVoters(s.Peers)
	switch {
	case silent != nil && voters > p.Voters:
		return removeChange(silent), true
	case silent != nil || voters < p.Voters:
		if spare := bestReplacement(s.Peers, silent); spare != nil {
			return consensus.Change{Kind: consensus.Promote, Member: spare.Member}, true
		}
	}
	if p.LearnerSilentTicks > 0 {
		if l := longestSilent(s.Peers, false, p.LearnerSilentTicks); l != nil {
			return removeChange(l), true
		}
	}
	return consensus.Change{}, false
}

func removeChange(p *consensus.PeerStatus) consensus.Change {
	return consensus.Change{Kind: consensus.Remove, Member: p.Member}
}

func countVoters(peers []consensus.PeerStatus) int {
	n := 0
	for i := range peers {
		if peers[i].Member.Voter {
			n++
		}
	}
	return n
}

// longestSilent returns the voter or learner that has been silent for longest, or
// nil if none has been silent for the given number of ticks.
func longestSilent(peers []consensus.PeerStatus, voter bool, ticks uint64) *consensus.PeerStatus {
	var longest *consensus.PeerStatus
	for i := range peers {
		p := &peers[i]
		if p.Member.Voter != voter || p.SilentTicks < ticks {
			continue
		}
		if longest == nil || p.SilentTicks > longest.SilentTicks {
			longest = p
		}
	}
	return longest
}

// replacedVoter returns a silent voter whose name is also used by another,
// responsive member, or nil if there is none.
func replacedVoter(peers []consensus.PeerStatus, ticks uint64) *consensus.PeerStatus {
	for i := range peers {
		p := &peers[i]
		if !p.Member.Voter || p.SilentTicks < ticks || p.Member.Name == "" {
			continue
		}
		for k := range peers {
			if o := &peers[k]; o.Member.ID != p.Member.ID && o.Member.Name == p.Member.Name && o.SilentTicks < ticks {
				return p
			}
		}
	}
	return nil
}

// bestReplacement returns the caught-up learner in the zone with the fewest
// voters, not counting the silent voter. Ties are broken in favour of the zone
// of the silent voter, then of the lowest ID.
func bestReplacement(peers []consensus.PeerStatus, silent *consensus.PeerStatus) *consensus.PeerStatus {
	votersInZone := make(map[string]int)
	for i := range peers {
		if p := &peers[i]; p.Member.Voter && p != silent {
			votersInZone[p.Member.Zone]++
		}
	}
	inSilentZone := func(p *consensus.PeerStatus) bool {
		return silent != nil && p.Member.Zone == silent.Member.Zone
	}
	var best *consensus.PeerStatus
	for i := range peers {
		p := &peers[i]
		if p.Member.Voter || !p.CaughtUp {
			continue
		}
		switch {
		case best == nil, votersInZone[p.Member.Zone] < votersInZone[best.Member.Zone]:
			best = p
		case votersInZone[p.Member.Zone] == votersInZone[best.Member.Zone] && inSilentZone(p) && !inSilentZone(best):
			best = p
		}
	}
	return best
}
