package consensus

import (
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"magnoliastand.example/invariant"
)

// entryOverhead is the size in bytes counted for an entry besides its data.
const entryOverhead = 32

// entryLog holds the latest snapshot and, in memory, the entries after base.
// Entries up to stable are durable.
// Invariant: base <= snap.Index <= commit <= last, applied <= commit.
type entryLog struct {
	base     uint64
	baseTerm uint64
	entries  []Entry
	snap     *Snapshot
	commit   uint64
	applied  uint64
	stable   uint64
	// memberships are the memberships from the snapshot on, oldest first.
	memberships []membershipRecord
}

// membershipRecord is a membership and the index of the entry that introduced
// it.
type membershipRecord struct {
	index   uint64
	members []Member
}

// newLog validates a stored state and returns its log.
func newLog(st State) (*entryLog, error) {
	l := &entryLog{snap: st.Snapshot}
	if l.snap == nil {
		l.snap = &Snapshot{}
	}
	if uint64(len(l.snap.Data)) != l.snap.Size || xxhash.Sum64(l.snap.Data) != l.snap.Sum && st.Snapshot != nil {
		return nil, errors.Wrap(ErrBadState, "snapshot size or checksum mismatch")
	}
	l.base, l.baseTerm = l.snap.Index, l.snap.Term
	entries := st.Entries
	if len(entries) > 0 && entries[0].Index <= l.snap.Index {
		l.base, l.baseTerm = entries[0].Index, entries[0].Term
		entries = entries[1:]
	}
	if err := checkEntries(l.base, l.baseTerm, entries); err != nil {
		return nil, err
	}
	l.entries = entries
	if l.last() < l.snap.Index || l.term(l.snap.Index) != l.snap.Term {
		return nil, errors.Wrap(ErrBadState, "log does not contain the last entry of the snapshot")
	}
	l.stable = l.last()
	l.applied = l.snap.Index
	l.commit = max(l.snap.Index, min(st.HardState.Commit, l.last()))
	l.memberships = []membershipRecord{{l.snap.Index, l.snap.Members}}
	for i := range entries {
		l.recordMembership(&entries[i])
	}
	return l, nil
}

// checkEntries verifies that entries continue the log after the entry with the
// given index and term.
func checkEntries(index, term uint64, entries []Entry) error {
	for i := range entries {
		e := &entries[i]
		if e.Index != index+1 || e.Term < term {
			return errors.Wrapf(ErrBadState, "entry %d of term %d follows entry %d of term %d", e.Index, e.Term, index, term)
		}
		if e.Kind < EntryEmpty || e.Kind > EntryMembership {
			return errors.Wrapf(ErrBadState, "entry %d has unknown kind %d", e.Index, e.Kind)
		}
		index, term = e.Index, e.Term
	}
	return nil
}

func (l *entryLog) recordMembership(e *Entry) {
	if e.Kind == EntryMembership && e.Index > l.snap.Index {
		l.memberships = append(l.memberships, membershipRecord{e.Index, e.Members})
	}
}

func (l *entryLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 { return l.term(l.last()) }

// holds reports whether the term at index is known.
func (l *entryLog) holds(index uint64) bool {
	return index >= l.base && index <= l.last()
}

// term returns the term at index, or zero if it is not known.
func (l *entryLog) term(index uint64) uint64 {
	switch {
	case !l.holds(index):
		return 0
	case index == l.base:
		return l.baseTerm
	}
	return l.entries[index-l.base-1].Term
}

// from returns entries after index prev, up to maxBytes in total but at least one
// if any exists. The result shares memory with the log; its capacity is limited
// to its length, so that appending to it copies.
func (l *entryLog) from(prev uint64, maxBytes int) []Entry {
	rest := l.entries[prev-l.base:]
	size := 0
	for i := range rest {
		size += len(rest[i].Data) + entryOverhead
		if i > 0 && size > maxBytes {
			return rest[:i:i]
		}
	}
	return rest[:len(rest):len(rest)]
}

// between returns the entries after lo up to and including hi.
func (l *entryLog) between(lo, hi uint64) []Entry {
	return l.entries[lo-l.base : hi-l.base : hi-l.base]
}

// members returns the membership in force: the latest one in the log, whether or
// not it is committed.
func (l *entryLog) members() []Member {
	return l.memberships[len(l.memberships)-1].members
}

// membershipIndex returns the index of the entry that introduced the latest
// membership.
func (l *entryLog) membershipIndex() uint64 {
	return l.memberships[len(l.memberships)-1].index
}

// membersAt returns the membership in force at index, which must not be below the
// snapshot.
func (l *entryLog) membersAt(index uint64) []Member {
	for i := len(l.memberships) - 1; i > 0; i-- {
		if l.memberships[i].index <= index {
			return l.memberships[i].members
		}
	}
	return l.memberships[0].members
}

// add appends entries that continue the log.
func (l *entryLog) add(entries ...Entry) {
	for i := range entries {
		e := entries[i]
		invariant.Check(e.Index == l.last()+1 && e.Term >= l.lastTerm(), invariant.Consensus,
			"entry %d of term %d appended after entry %d of term %d", e.Index, e.Term, l.last(), l.lastTerm())
		l.entries = append(l.entries, e)
		l.recordMembership(&e)
	}
}

// merge stores entries that follow a matching entry, replacing conflicting
// entries and everything after them.
func (l *entryLog) merge(entries []Entry) {
	for i := range entries {
		e := &entries[i]
		if e.Index <= l.base || e.Index <= l.last() && l.term(e.Index) == e.Term {
			continue
		}
		if e.Index <= l.last() {
			l.truncate(e.Index - 1)
		}
		l.add(entries[i:]...)
		return
	}
}

// truncate removes the entries after index.
func (l *entryLog) truncate(index uint64) {
	if !invariant.Check(index >= l.commit, invariant.Consensus,
		"truncation to %d removes committed entries up to %d", index, l.commit) {
		return
	}
	n := index - l.base
	l.entries = l.entries[:n:n]
	l.stable = min(l.stable, index)
	for l.membershipIndex() > index && len(l.memberships) > 1 {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
}

// commitTo raises the commit index.
func (l *entryLog) commitTo(index uint64) {
	if index <= l.commit {
		return
	}
	if invariant.Check(index <= l.last(), invariant.Consensus,
		"commit index %d exceeds the last index %d", index, l.last()) {
		l.commit = index
	}
}

// restore replaces the whole log with a received snapshot.
func (l *entryLog) restore(s *Snapshot) {
	invariant.Check(s.Index > l.commit, invariant.Consensus,
		"snapshot %d installed at or below commit %d", s.Index, l.commit)
	l.snap = s
	l.base, l.baseTerm = s.Index, s.Term
	l.entries = nil
	l.commit, l.applied, l.stable = s.Index, s.Index, s.Index
	l.memberships = []membershipRecord{{s.Index, s.Members}}
}

// compact records a local snapshot and discards entries that it covers. It
// retains the last retainEntries of them at most, with a total size of at most
// retainBytes.
func (l *entryLog) compact(s *Snapshot, retainEntries uint64, retainBytes int) {
	l.snap = s
	keep := []membershipRecord{{s.Index, s.Members}}
	for _, r := range l.memberships {
		if r.index > s.Index {
			keep = append(keep, r)
		}
	}
	l.memberships = keep
	base := s.Index
	for base > l.base && s.Index-base < retainEntries {
		retainBytes -= len(l.entries[base-l.base-1].Data) + entryOverhead
		if retainBytes < 0 {
			break
		}
		base--
	}
	if base == l.base {
		return
	}
	term := l.term(base)
	l.entries = append([]Entry(nil), l.entries[base-l.base:]...)
	l.base, l.baseTerm = base, term
}
