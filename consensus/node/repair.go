package node

import "magnoliastand.example/consensus"

// RepairPolicy tells when a leader replaces a silent voter.
type RepairPolicy struct {
	// Voters is the wanted number of voters.
	Voters int
	// SilentTicks is how long a voter must be silent, in ticks.
	SilentTicks uint64
	// LearnerSilentTicks is how long a learner must be silent to be removed,
	// in ticks; zero keeps silent learners.
	LearnerSilentTicks uint64
	// SupersededTicks is how long a voter must be silent, in ticks, when another
	// member of the same name answers: its disk was lost and replaced. Zero is
	// off.
	SupersededTicks uint64
}

// PlanRepair returns the next change that a repair needs, if any. It plans one
// change at a time: first a spare learner is promoted, so that the data never
// stands on fewer disks, then the silent voter is removed. It is a pure
// function of the status of a leader.
func PlanRepair(s consensus.Status, p RepairPolicy) (consensus.Change, bool) {
	if s.Role != consensus.Leader || !s.QuorumKnown || s.MembersPending {
		return consensus.Change{}, false
	}
	silent := longestSilent(s.Peers, true, p.SilentTicks)
	if silent == nil && p.SupersededTicks > 0 {
		silent = superseded(s.Peers, p.SupersededTicks)
	}
	voters := countVoters(s.Peers)
	switch {
	case silent != nil && voters > p.Voters:
		return removal(silent), true
	case silent != nil || voters < p.Voters:
		if spare := bestSpare(s.Peers, silent); spare != nil {
			return consensus.Change{Kind: consensus.Promote, Member: spare.Member}, true
		}
	}
	if p.LearnerSilentTicks > 0 {
		if l := longestSilent(s.Peers, false, p.LearnerSilentTicks); l != nil {
			return removal(l), true
		}
	}
	return consensus.Change{}, false
}

func removal(p *consensus.PeerStatus) consensus.Change {
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

// longestSilent returns the voter or learner that is silent for longest, if
// that is at least the given number of ticks.
func longestSilent(peers []consensus.PeerStatus, voter bool, ticks uint64) *consensus.PeerStatus {
	var worst *consensus.PeerStatus
	for i := range peers {
		p := &peers[i]
		if p.Member.Voter != voter || p.SilentTicks < ticks {
			continue
		}
		if worst == nil || p.SilentTicks > worst.SilentTicks {
			worst = p
		}
	}
	return worst
}

// superseded returns a silent voter whose name belongs to another member that
// answers, if there is one.
func superseded(peers []consensus.PeerStatus, ticks uint64) *consensus.PeerStatus {
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

// bestSpare returns the learner that has caught up in the zone with the fewest
// answering voters. The zone of the silent voter comes first among equals, then
// the lowest ID.
func bestSpare(peers []consensus.PeerStatus, silent *consensus.PeerStatus) *consensus.PeerStatus {
	inZone := make(map[string]int)
	for i := range peers {
		if p := &peers[i]; p.Member.Voter && p != silent {
			inZone[p.Member.Zone]++
		}
	}
	home := func(p *consensus.PeerStatus) bool {
		return silent != nil && p.Member.Zone == silent.Member.Zone
	}
	var best *consensus.PeerStatus
	for i := range peers {
		p := &peers[i]
		if p.Member.Voter || !p.CaughtUp {
			continue
		}
		switch {
		case best == nil, inZone[p.Member.Zone] < inZone[best.Member.Zone]:
			best = p
		case inZone[p.Member.Zone] == inZone[best.Member.Zone] && home(p) && !home(best):
			best = p
		}
	}
	return best
}
