package storage

import (
	"slices"
	"sync"

	"github.com/pkg/errors"

	"magnoliastand.example/consensus"
	"magnoliastand.example/consensus/bootstrap"
)

// ErrCrashed is returned by the write at which a Memory crashes, and by all later
// ones.
var ErrCrashed = errors.New("storage: simulated crash")

// Crash describes a simulated crash of a Memory.
type Crash struct {
	// AtSync is the number of the write that crashes, counted from 1. Zero means
	// no crash.
	AtSync int
	// Durable makes the crashing write take effect before the crash.
	Durable bool
}

// Memory is a Storage in memory, for tests and for nodes without a disk. It can
// simulate a crash at a chosen write. It is safe for concurrent use.
type Memory struct {
	node consensus.NodeID

	mu      sync.Mutex
	binding bootstrap.Binding
	state   consensus.State
	crash   Crash
	syncs   int
	crashed bool
}

// NewMemory returns an empty storage with the given node ID.
func NewMemory(node consensus.NodeID, crash Crash) *Memory {
	return &Memory{node: node, crash: crash}
}

// Reopen returns a storage with the state that a restarted process would find,
// and with the given simulated crash.
func (m *Memory) Reopen(crash Crash) *Memory {
	m.mu.Lock()
	defer m.mu.Unlock()
	return &Memory{node: m.node, binding: m.binding, state: m.state, crash: crash}
}

// Node returns the node ID of the storage.
func (m *Memory) Node() consensus.NodeID { return m.node }

// Binding returns the stored binding.
func (m *Memory) Binding() bootstrap.Binding {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.binding
}

// SaveBinding stores a binding.
func (m *Memory) SaveBinding(b bootstrap.Binding) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := checkBinding(m.binding); err != nil {
		return err
	}
	return m.write(func() {
		m.binding = b
		if b.Phase == bootstrap.Formed {
			m.state = consensus.InitialState(b.Members)
		}
	})
}

// Load returns the stored state.
func (m *Memory) Load() (consensus.State, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	st := m.state
	st.Entries = slices.Clone(st.Entries)
	return st, nil
}

// Save stores an update.
func (m *Memory) Save(u consensus.Update) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.write(func() { m.state = apply(m.state, u) })
}

// Close does nothing.
func (m *Memory) Close() error { return nil }

// write performs one write, unless the storage has crashed or crashes before it
// takes effect. The caller holds the lock.
func (m *Memory) write(do func()) error {
	if m.crashed {
		return ErrCrashed
	}
	m.syncs++
	m.crashed = m.syncs == m.crash.AtSync
	if !m.crashed || m.crash.Durable {
		do()
	}
	if m.crashed {
		return ErrCrashed
	}
	return nil
}

// apply returns the state after an update. It shares no slice of entries with the
// old state.
func apply(st consensus.State, u consensus.Update) consensus.State {
	if u.HardState != nil {
		st.HardState = *u.HardState
	}
	if u.Snapshot != nil {
		st.Snapshot = u.Snapshot
	}
	keep := slices.Clone(st.Entries)
	if u.Reset {
		keep = nil
	}
	if len(u.Entries) > 0 {
		first := u.Entries[0].Index
		keep = slices.DeleteFunc(keep, func(e consensus.Entry) bool { return e.Index >= first })
		keep = append(keep, u.Entries...)
	}
	st.Entries = slices.DeleteFunc(keep, func(e consensus.Entry) bool { return e.Index < u.KeepFrom })
	return st
}

// Plan sets the next simulated crash. Its write number counts from this call.
func (m *Memory) Plan(crash Crash) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crash = crash
	m.syncs = 0
}
