package record

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// AcceptorCount is the number of acceptors of a caller-chosen id.
const AcceptorCount = 3

// Member is a daemon of the configured cluster.
type Member struct {
	Name string
	Zone string
}

// rankByHash orders members for id by rendezvous hashing.
func rankByHash(members []Member, id string) []Member {
	type scored struct {
		member Member
		score  uint64
	}
	var h xxhash.Digest
	all := make([]scored, 0, len(members))
	for _, m := range members {
		h.Reset()
		_, _ = h.WriteString(m.Name)
		_, _ = h.WriteString("\x00")
		_, _ = h.WriteString(id)
		all = append(all, scored{member: m, score: h.Sum64()})
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.member.Name, b.member.Name))
	})
	ranked := make([]Member, 0, len(all))
	for _, s := range all {
		ranked = append(ranked, s.member)
	}
	return ranked
}

// chooseAcrossZones returns the names of up to n members for id, from different
// zones where there are enough zones.
func chooseAcrossZones(members []Member, id string, n int) []string {
	ranked := rankByHash(members, id)
	var names []string
	zones := make(map[string]bool)
	for _, m := range ranked {
		if len(names) < n && !zones[m.Zone] {
			zones[m.Zone] = true
			names = append(names, m.Name)
		}
	}
	for _, m := range ranked {
		if len(names) < n && !slices.Contains(names, m.Name) {
			names = append(names, m.Name)
		}
	}
	return names
}

// memberSets holds the current member set and those replaced within the
// retention. A start needs a majority in each set, so daemons that learn of a
// change at different times still agree through the set they have in common.
type memberSets struct {
	mu   sync.RWMutex
	sets []memberSet // current one first
}

type memberSet struct {
	members []Member
	// replaced is when a newer set was installed. It is zero for the current
	// set.
	replaced time.Time
}

// update installs members and returns false if they equal the current set.
func (s *memberSets) update(members []Member, retention time.Duration, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	members = sortedByName(members)
	if len(s.sets) > 0 && s.sets[0].replaced.IsZero() {
		if slices.Equal(s.sets[0].members, members) {
			return false
		}
		s.sets[0].replaced = now
	}
	live := []memberSet{{members: members}}
	for _, old := range s.sets {
		if now.Sub(old.replaced) < retention {
			live = append(live, old)
		}
	}
	s.sets = live
	return true
}

// addFormer adds a set that was replaced before this daemon started.
func (s *memberSets) addFormer(members []Member, replaced time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sets = append(s.sets, memberSet{members: sortedByName(members), replaced: replaced})
}

func sortedByName(members []Member) []Member {
	members = slices.Clone(members)
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

// acceptors returns the acceptors of id in each set that is current or within
// the retention.
func (s *memberSets) acceptors(id string, retention time.Duration, now time.Time) [][]string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var all [][]string
	for _, set := range s.sets {
		if set.replaced.IsZero() || now.Sub(set.replaced) < retention {
			all = append(all, chooseAcrossZones(set.members, id, AcceptorCount))
		}
	}
	return all
}

// copyHolders returns up to n members that store answer copies for an id whose
// home is daemon.
func (s *memberSets) copyHolders(id, daemon string, n int) []string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if len(s.sets) == 0 {
		return nil
	}
	others := make([]Member, 0, len(s.sets[0].members))
	for _, m := range s.sets[0].members {
		if m.Name != daemon {
			others = append(others, m)
		}
	}
	return chooseAcrossZones(others, id, n)
}

// isMember reports whether daemon is a current member.
func (s *memberSets) isMember(daemon string) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if len(s.sets) == 0 {
		return false
	}
	return slices.ContainsFunc(s.sets[0].members, func(m Member) bool { return m.Name == daemon })
}
