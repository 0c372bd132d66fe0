package consensus_test

import (
	"fmt"
	"reflect"
	"slices"

	"magnoliastand.example/consensus"
)

// checker observes all nodes of a simulation and verifies the safety properties
// of Raft over their joint history.
type checker struct {
	violations []string
	// leaders is keyed by term, votes by node and term, entries by index and
	// term.
	leaders map[uint64]consensus.NodeID
	votes   map[[2]uint64]consensus.NodeID
	entries map[[2]uint64]knownEntry
	// applied holds the applied entries by index, up to maxCommitted.
	applied        map[uint64]consensus.Entry
	initialMembers []consensus.Member
	updates        int
	maxCommitted   uint64
	// states holds the state machine state by index of the last applied entry.
	states map[uint64]string
	// counts holds the number of events of each kind in the schedule.
	counts map[string]int
}

// knownEntry is an entry and the term of its predecessor.
type knownEntry struct {
	prevTerm uint64
	entry    consensus.Entry
}

func newChecker() *checker {
	return &checker{
		leaders:      make(map[uint64]consensus.NodeID),
		votes:        make(map[[2]uint64]consensus.NodeID),
		entries:      make(map[[2]uint64]knownEntry),
		applied:      make(map[uint64]consensus.Entry),
		states:       make(map[uint64]string),
		counts:       make(map[string]int),
		maxCommitted: 1,
	}
}

func (k *checker) report(format string, args ...any) {
	k.violations = append(k.violations, fmt.Sprintf(format, args...))
}

// checkUpdate verifies a persisted update: at most one vote per term, log
// matching, and a membership equal to the stored one.
func (k *checker) checkUpdate(n *simNode, u consensus.Update) {
	if hs := u.HardState; hs != nil && hs.Vote != consensus.None {
		key := [2]uint64{uint64(n.id), hs.Term}
		if old, ok := k.votes[key]; ok && old != hs.Vote {
			k.report("single vote: node %d votes for %d and %d in term %d", n.id, old, hs.Vote, hs.Term)
		}
		k.votes[key] = hs.Vote
	}
	if k.updates++; k.updates%8 == 0 {
		st, _ := n.store.Load()
		if got := n.core.Status().Members; !reflect.DeepEqual(got, slices.Clone(consensus.MembersOf(st))) {
			k.report("membership: node %d uses members %v, its disk holds %v", n.id, got, consensus.MembersOf(st))
		}
	}
	if u.Snapshot != nil && !reflect.DeepEqual(u.Snapshot.Members, k.membersAt(u.Snapshot.Index)) {
		k.report("membership: snapshot %d of node %d has wrong members %v", u.Snapshot.Index, n.id, u.Snapshot.Members)
	}
	for i, e := range u.Entries {
		prev, held := n.core.TermAt(e.Index - 1)
		if i > 0 {
			prev, held = u.Entries[i-1].Term, true
		}
		key := [2]uint64{e.Index, e.Term}
		old, ok := k.entries[key]
		if ok && (!reflect.DeepEqual(old.entry, e) || held && old.prevTerm != prev) {
			k.report("log matching: entry %d of term %d differs on node %d", e.Index, e.Term, n.id)
		}
		if !ok && held {
			k.entries[key] = knownEntry{prev, e}
		}
	}
}

// membersAt returns the membership in force at a committed index.
func (k *checker) membersAt(index uint64) []consensus.Member {
	for ; index > 1; index-- {
		if e := k.applied[index]; e.Kind == consensus.EntryMembership {
			return e.Members
		}
	}
	return k.initialMembers
}

// checkCommitted verifies state machine safety for an entry that a node applies.
func (k *checker) checkCommitted(n *simNode, e consensus.Entry) {
	old, ok := k.applied[e.Index]
	if ok && !reflect.DeepEqual(old, e) || !ok && e.Index != k.maxCommitted+1 {
		k.report("state machine safety: entry %d of term %d on node %d, was term %d", e.Index, e.Term, n.id, old.Term)
	}
	if !ok {
		k.counts[fmt.Sprint("entries of kind ", e.Kind)]++
	}
	k.applied[e.Index] = e
	k.maxCommitted = max(k.maxCommitted, e.Index)
}

// checkState verifies that all nodes have the same state after the same entry.
func (k *checker) checkState(n *simNode, index uint64) {
	if old, ok := k.states[index]; ok && old != string(n.state) {
		k.report("state machine safety: state of node %d differs after entry %d", n.id, index)
	}
	k.states[index] = string(n.state)
}

// checkLeader verifies election safety, leader completeness at the start of a
// term, and that the leader knows all entries that were committed when it was last
// acknowledged by a quorum.
func (k *checker) checkLeader(n *simNode) {
	s := n.core.Status()
	if s.Role != consensus.Leader {
		return
	}
	old, ok := k.leaders[s.Term]
	if ok && old != n.id {
		k.report("election safety: nodes %d and %d are both leader in term %d", old, n.id, s.Term)
	}
	if !ok {
		k.counts["leaders"]++
		k.leaders[s.Term] = n.id
	}
	for i, e := range k.applied {
		if t, held := n.core.TermAt(i); !ok && e.Term < s.Term && i > s.Snapshot && (!held || t != e.Term) {
			k.report("leader completeness: leader %d of term %d lacks entry %d of term %d", n.id, s.Term, i, e.Term)
		}
	}
	if s.QuorumKnown && n.committedAt[s.Now-s.QuorumTicks] > s.Commit {
		k.report("freshness: leader %d reports commit index %d as complete %d ticks ago", n.id, s.Commit, s.QuorumTicks)
	}
}
