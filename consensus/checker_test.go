package consensus_test

import (
	"fmt"
	"reflect"
	"slices"

	"magnoliastand.example/consensus"
)

// checker sees all nodes of a simulation and judges their joint history.
type checker struct {
	faults []string
	// leaders by term, votes by node and term, entries by index and term.
	leaders map[uint64]consensus.NodeID
	votes   map[[2]uint64]consensus.NodeID
	entries map[[2]uint64]known
	// applied by index, up to max.
	applied map[uint64]consensus.Entry
	first   []consensus.Member
	saves   int
	max     uint64
	// states by index of the last applied entry.
	states map[uint64]string
	// seen counts what the schedule brought about.
	seen map[string]int
}

// known is an entry with the term of its predecessor.
type known struct {
	prevTerm uint64
	entry    consensus.Entry
}

func newChecker() *checker {
	return &checker{
		leaders: make(map[uint64]consensus.NodeID),
		votes:   make(map[[2]uint64]consensus.NodeID),
		entries: make(map[[2]uint64]known),
		applied: make(map[uint64]consensus.Entry),
		states:  make(map[uint64]string),
		seen:    make(map[string]int),
		max:     1,
	}
}

func (k *checker) fault(format string, args ...any) {
	k.faults = append(k.faults, fmt.Sprintf(format, args...))
}

// saved checks what a node made durable: one vote a term, and log matching.
func (k *checker) saved(n *simNode, u consensus.Update) {
	if hs := u.HardState; hs != nil && hs.Vote != consensus.None {
		key := [2]uint64{uint64(n.id), hs.Term}
		if old, ok := k.votes[key]; ok && old != hs.Vote {
			k.fault("node %d votes for %d and %d in term %d", n.id, old, hs.Vote, hs.Term)
		}
		k.votes[key] = hs.Vote
	}
	if k.saves++; k.saves%8 == 0 {
		st, _ := n.store.Load()
		if got := n.core.Status().Members; !reflect.DeepEqual(got, slices.Clone(consensus.MembersOf(st))) {
			k.fault("node %d goes by members %v, its disk by %v", n.id, got, consensus.MembersOf(st))
		}
	}
	if u.Snapshot != nil && !reflect.DeepEqual(u.Snapshot.Members, k.membersAt(u.Snapshot.Index)) {
		k.fault("snapshot %d of node %d has members %v", u.Snapshot.Index, n.id, u.Snapshot.Members)
	}
	for i, e := range u.Entries {
		prev, held := n.core.TermAt(e.Index - 1)
		if i > 0 {
			prev, held = u.Entries[i-1].Term, true
		}
		key := [2]uint64{e.Index, e.Term}
		old, ok := k.entries[key]
		if ok && (!reflect.DeepEqual(old.entry, e) || held && old.prevTerm != prev) {
			k.fault("log matching: entry %d of term %d differs on node %d", e.Index, e.Term, n.id)
		}
		if !ok && held {
			k.entries[key] = known{prev, e}
		}
	}
}

// membersAt returns the membership after a committed entry.
func (k *checker) membersAt(index uint64) []consensus.Member {
	for ; index > 1; index-- {
		if e := k.applied[index]; e.Kind == consensus.EntryMembership {
			return e.Members
		}
	}
	return k.first
}

// committed checks an entry that a node applies: state machine safety.
func (k *checker) committed(n *simNode, e consensus.Entry) {
	old, ok := k.applied[e.Index]
	if ok && !reflect.DeepEqual(old, e) || !ok && e.Index != k.max+1 {
		k.fault("state machine safety: entry %d of term %d on node %d, was term %d", e.Index, e.Term, n.id, old.Term)
	}
	if !ok {
		k.seen[fmt.Sprint("entries of kind ", e.Kind)]++
	}
	k.applied[e.Index] = e
	k.max = max(k.max, e.Index)
}

// reached checks that all nodes have the same state after an entry.
func (k *checker) reached(n *simNode, index uint64) {
	if old, ok := k.states[index]; ok && old != string(n.state) {
		k.fault("state of node %d differs after entry %d", n.id, index)
	}
	k.states[index] = string(n.state)
}

// observe checks election safety, leader completeness at the start of a term,
// and that what a leader claims of its quorum was true then.
func (k *checker) observe(n *simNode) {
	s := n.core.Status()
	if s.Role != consensus.Leader {
		return
	}
	old, ok := k.leaders[s.Term]
	if ok && old != n.id {
		k.fault("election safety: %d and %d lead term %d", old, n.id, s.Term)
	}
	if !ok {
		k.seen["leaders"]++
		k.leaders[s.Term] = n.id
	}
	for i, e := range k.applied {
		if t, held := n.core.TermAt(i); !ok && e.Term < s.Term && i > s.Snapshot && (!held || t != e.Term) {
			k.fault("leader completeness: node %d leads term %d without entry %d of term %d", n.id, s.Term, i, e.Term)
		}
	}
	if s.QuorumKnown && n.maxAt[s.Now-s.QuorumTicks] > s.Commit {
		k.fault("freshness: node %d claims entry %d as of %d ticks ago", n.id, s.Commit, s.QuorumTicks)
	}
}
