package consensus_test

import (
	"bytes"
	"fmt"

	"magnoliastand.example/consensus"
)

// checker sees all nodes of a simulation and judges their joint history.
type checker struct {
	faults []string
	// leaders by term: election safety.
	leaders map[uint64]consensus.NodeID
	// votes by node and term: one durable vote each.
	votes map[[2]uint64]consensus.NodeID
	// entries by index and term: log matching.
	entries map[[2]uint64]known
	// applied by index: state machine safety.
	applied map[uint64]consensus.Entry
	max     uint64
	seen    events
}

// events counts what schedules brought about.
type events struct {
	schedules, leaders, entries, changes, installs, reads, crashes, losses int
}

func (e *events) add(o events) {
	e.schedules++
	e.leaders += o.leaders
	e.entries += o.entries
	e.changes += o.changes
	e.installs += o.installs
	e.reads += o.reads
	e.crashes += o.crashes
	e.losses += o.losses
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
		max:     1,
	}
}

func (k *checker) fault(format string, args ...any) {
	k.faults = append(k.faults, fmt.Sprintf(format, args...))
}

func same(a, b consensus.Entry) bool {
	if a.Index != b.Index || a.Term != b.Term || a.Kind != b.Kind || !bytes.Equal(a.Data, b.Data) || len(a.Members) != len(b.Members) {
		return false
	}
	for i := range a.Members {
		if a.Members[i] != b.Members[i] {
			return false
		}
	}
	return true
}

// saved notes what a node made durable.
func (k *checker) saved(n *simNode, u consensus.Update) {
	if hs := u.HardState; hs != nil && hs.Vote != consensus.None {
		key := [2]uint64{uint64(n.id), hs.Term}
		if old, ok := k.votes[key]; ok && old != hs.Vote {
			k.fault("node %d votes for %d and %d in term %d", n.id, old, hs.Vote, hs.Term)
		}
		k.votes[key] = hs.Vote
	}
	for i, e := range u.Entries {
		prev, held := n.core.TermAt(e.Index - 1)
		if i > 0 {
			prev, held = u.Entries[i-1].Term, true
		}
		key := [2]uint64{e.Index, e.Term}
		old, ok := k.entries[key]
		if ok && (!same(old.entry, e) || held && old.prevTerm != prev) {
			k.fault("log matching: entry %d of term %d differs on node %d", e.Index, e.Term, n.id)
		}
		if !ok && held {
			k.entries[key] = known{prev, e}
		}
	}
}

// committed notes an entry that a node applies.
func (k *checker) committed(n *simNode, e consensus.Entry) {
	old, ok := k.applied[e.Index]
	if ok && !same(old, e) {
		k.fault("state machine safety: entry %d of term %d on node %d, was term %d", e.Index, e.Term, n.id, old.Term)
	}
	if !ok && e.Index != k.max+1 {
		k.fault("node %d applies entry %d after %d", n.id, e.Index, k.max)
	}
	if !ok {
		k.seen.entries++
		if e.Kind == consensus.EntryMembership {
			k.seen.changes++
		}
	}
	k.applied[e.Index] = e
	k.max = max(k.max, e.Index)
}

// observe checks the leader of a term and that it holds all committed entries.
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
		k.seen.leaders++
		k.leaders[s.Term] = n.id
		k.complete(n, s.Term)
	}
	if s.QuorumKnown && s.QuorumTicks < uint64(len(n.maxAt)) && n.maxAt[s.Now-s.QuorumTicks] > s.Commit {
		k.fault("freshness: node %d claims entry %d as of %d ticks ago, %d was committed then",
			n.id, s.Commit, s.QuorumTicks, n.maxAt[s.Now-s.QuorumTicks])
	}
}

// complete checks leader completeness at the start of a term.
func (k *checker) complete(n *simNode, term uint64) {
	for i, e := range k.applied {
		if e.Term >= term || i <= n.core.Compacted() {
			continue
		}
		if t, held := n.core.TermAt(i); !held || t != e.Term {
			k.fault("leader completeness: node %d leads term %d without entry %d of term %d", n.id, term, i, e.Term)
		}
	}
}

// read checks a linearizable read that started when floor was committed.
func (k *checker) read(n *simNode, index, floor uint64) {
	k.seen.reads++
	if index < floor {
		k.fault("stale read: node %d reads at %d, %d was committed before", n.id, index, floor)
	}
}
