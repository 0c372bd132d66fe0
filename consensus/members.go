package consensus

import (
	"slices"

	"github.com/pkg/errors"
)

// Member is a member of the cluster.
type Member struct {
	ID NodeID `cbor:"1,keyasint"`
	// Name, Zone and Addr are not interpreted by this package.
	Name string `cbor:"2,keyasint,omitempty"`
	Zone string `cbor:"3,keyasint,omitempty"`
	Addr string `cbor:"4,keyasint,omitempty"`
	// Voter distinguishes voters from learners.
	Voter bool `cbor:"5,keyasint,omitempty"`
}

// ChangeKind is the kind of a membership change.
type ChangeKind uint8

// Kinds of membership changes.
const (
	// AddLearner adds a new non-voting member.
	AddLearner ChangeKind = iota + 1
	// Promote makes a learner a voter.
	Promote
	// Remove removes a voter or a learner.
	Remove
)

// String returns the name of the change kind.
func (k ChangeKind) String() string {
	switch k {
	case AddLearner:
		return "add-learner"
	case Promote:
		return "promote"
	case Remove:
		return "remove"
	}
	return "unknown"
}

// Change is a membership change. Promote and Remove use only Member.ID.
type Change struct {
	Kind   ChangeKind
	Member Member
}

// applyChange returns the membership that results from a change, without modifying
// members.
func applyChange(members []Member, ch Change) ([]Member, error) {
	i := slices.IndexFunc(members, func(m Member) bool { return m.ID == ch.Member.ID })
	out := slices.Clone(members)
	if ch.Kind == AddLearner {
		if i >= 0 {
			return nil, ErrMemberExists
		}
		if ch.Member.ID == None {
			return nil, errors.Wrap(ErrUnknownMember, "node ID is zero")
		}
		m := ch.Member
		m.Voter = false
		out = append(out, m)
		sortMembers(out)
		return out, nil
	}
	if i < 0 {
		return nil, ErrUnknownMember
	}
	switch ch.Kind {
	case Promote:
		if out[i].Voter {
			return nil, ErrMemberExists
		}
		out[i].Voter = true
		return out, nil
	case Remove:
		out = slices.Delete(out, i, i+1)
		if len(voterIDs(out)) == 0 {
			return nil, errors.Wrap(ErrQuorumAtRisk, "cannot remove the last voter")
		}
		return out, nil
	}
	return nil, errors.Wrapf(ErrBadMessage, "unknown membership change kind %d", ch.Kind)
}

func sortMembers(members []Member) {
	slices.SortFunc(members, func(a, b Member) int {
		switch {
		case a.ID < b.ID:
			return -1
		case a.ID > b.ID:
			return 1
		}
		return 0
	})
}

// voterIDs returns the IDs of the voters in ascending order.
func voterIDs(members []Member) []NodeID {
	var ids []NodeID
	for _, m := range members {
		if m.Voter {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// isVoter reports whether id is a voter.
func isVoter(members []Member, id NodeID) bool {
	for _, m := range members {
		if m.ID == id {
			return m.Voter
		}
	}
	return false
}

// isMember reports whether id is a voter or a learner.
func isMember(members []Member, id NodeID) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.ID == id })
}

// quorum returns the size of a majority of n voters.
func quorum(n int) int {
	return n/2 + 1
}

// quorumValue returns the highest value that a majority of the voters has reached,
// or zero if there are no voters.
func quorumValue(members []Member, value func(NodeID) uint64) uint64 {
	var vals []uint64
	for _, m := range members {
		if m.Voter {
			vals = append(vals, value(m.ID))
		}
	}
	if len(vals) == 0 {
		return 0
	}
	slices.Sort(vals)
	return vals[len(vals)-quorum(len(vals))]
}

// votersChanged returns the number of voters that are in only one of the two
// memberships.
func votersChanged(a, b []Member) int {
	n := 0
	for _, id := range voterIDs(a) {
		if !isVoter(b, id) {
			n++
		}
	}
	for _, id := range voterIDs(b) {
		if !isVoter(a, id) {
			n++
		}
	}
	return n
}
