package consensus

import (
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"magnoliastand.example/invariant"
)

// entryOverhead is the size counted for an entry besides its data, in bytes.
const entryOverhead = 32

// entryLog holds the entries after base in memory, and the latest snapshot.
// Invariant: base <= snap.Index <= commit <= last, applied <= commit.
type entryLog struct {
	base     uint64
	baseTerm uint64
	entries  []Entry
	snap     *Snapshot
	commit   uint64
	applied  uint64
	stable   uint64
	// configs are the memberships from the snapshot on, oldest first.
	configs []memberRecord
}

// memberRecord is a membership with the index of the entry that set it.
type memberRecord struct {
	index   uint64
	members []Member
}

// newLog checks a stored state and returns the log for it.
func newLog(st State) (*entryLog, error) {
	l := &entryLog{snap: st.Snapshot}
	if l.snap == nil {
		l.snap = &Snapshot{}
	}
	if uint64(len(l.snap.Data)) != l.snap.Size || xxhash.Sum64(l.snap.Data) != l.snap.Sum && st.Snapshot != nil {
		return nil, errors.Wrap(ErrBadState, "snapshot checksum")
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
		return nil, errors.Wrap(ErrBadState, "log contradicts snapshot")
	}
	l.stable = l.last()
	l.applied = l.snap.Index
	l.commit = max(l.snap.Index, min(st.HardState.Commit, l.last()))
	l.configs = []memberRecord{{l.snap.Index, l.snap.Members}}
	for i := range entries {
		l.noteConfig(&entries[i])
	}
	return l, nil
}

// checkEntries verifies that entries follow the entry (index, term).
func checkEntries(index, term uint64, entries []Entry) error {
	for i := range entries {
		e := &entries[i]
		if e.Index != index+1 || e.Term < term {
			return errors.Wrapf(ErrBadState, "entry %d of term %d follows entry %d of term %d", e.Index, e.Term, index, term)
		}
		if e.Kind < EntryEmpty || e.Kind > EntryMembership {
			return errors.Wrapf(ErrBadState, "entry %d has kind %d", e.Index, e.Kind)
		}
		index, term = e.Index, e.Term
	}
	return nil
}

func (l *entryLog) noteConfig(e *Entry) {
	if e.Kind == EntryMembership && e.Index > l.snap.Index {
		l.configs = append(l.configs, memberRecord{e.Index, e.Members})
	}
}

func (l *entryLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 { return l.term(l.last()) }

// holds reports whether the term of an index is known.
func (l *entryLog) holds(index uint64) bool {
	return index >= l.base && index <= l.last()
}

// term returns the term of an index, or zero when it isn't held.
func (l *entryLog) term(index uint64) uint64 {
	switch {
	case !l.holds(index):
		return 0
	case index == l.base:
		return l.baseTerm
	}
	return l.entries[index-l.base-1].Term
}

// from returns the entries after index prev, up to maxBytes of data but at
// least one. The result is shared and capped, so appending to it copies.
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

// between returns the entries after lo up to hi.
func (l *entryLog) between(lo, hi uint64) []Entry {
	return l.entries[lo-l.base : hi-l.base : hi-l.base]
}

// members returns the membership in force, which is the latest in the log,
// committed or not.
func (l *entryLog) members() []Member {
	return l.configs[len(l.configs)-1].members
}

// configIndex returns the index of the latest membership.
func (l *entryLog) configIndex() uint64 {
	return l.configs[len(l.configs)-1].index
}

// membersAt returns the membership in force at an index not below the snapshot.
func (l *entryLog) membersAt(index uint64) []Member {
	for i := len(l.configs) - 1; i > 0; i-- {
		if l.configs[i].index <= index {
			return l.configs[i].members
		}
	}
	return l.configs[0].members
}

// add appends entries that follow the last one.
func (l *entryLog) add(entries ...Entry) {
	for i := range entries {
		e := entries[i]
		invariant.Check(e.Index == l.last()+1 && e.Term >= l.lastTerm(), invariant.Consensus,
			"entry %d of term %d added after entry %d of term %d", e.Index, e.Term, l.last(), l.lastTerm())
		l.entries = append(l.entries, e)
		l.noteConfig(&e)
	}
}

// merge stores entries that follow a matching entry, and replaces those that
// conflict.
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
		"committed entries removed: truncate to %d, commit %d", index, l.commit) {
		return
	}
	n := index - l.base
	l.entries = l.entries[:n:n]
	l.stable = min(l.stable, index)
	for l.configIndex() > index && len(l.configs) > 1 {
		l.configs = l.configs[:len(l.configs)-1]
	}
}

// commitTo raises the commit index.
func (l *entryLog) commitTo(index uint64) {
	if index <= l.commit {
		return
	}
	if invariant.Check(index <= l.last(), invariant.Consensus,
		"commit %d past the last entry %d", index, l.last()) {
		l.commit = index
	}
}

// restore replaces the whole log by a snapshot.
func (l *entryLog) restore(s *Snapshot) {
	invariant.Check(s.Index > l.commit, invariant.Consensus,
		"snapshot %d installed below commit %d", s.Index, l.commit)
	l.snap = s
	l.base, l.baseTerm = s.Index, s.Term
	l.entries = nil
	l.commit, l.applied, l.stable = s.Index, s.Index, s.Index
	l.configs = []memberRecord{{s.Index, s.Members}}
}

// compact installs a local snapshot and drops entries before it. Behind it stay
// at most trail entries of at most trailBytes.
func (l *entryLog) compact(s *Snapshot, trail uint64, trailBytes int) {
	l.snap = s
	keep := []memberRecord{{s.Index, s.Members}}
	for _, r := range l.configs {
		if r.index > s.Index {
			keep = append(keep, r)
		}
	}
	l.configs = keep
	base := s.Index
	for base > l.base && s.Index-base < trail {
		trailBytes -= len(l.entries[base-l.base-1].Data) + entryOverhead
		if trailBytes < 0 {
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
