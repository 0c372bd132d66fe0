package workload

import (
	"sync"

	"github.com/pkg/errors"

	"magnoliastand.example/consensus"
)

// Replica is the committed state as a state machine of the log. It is safe for
// concurrent use.
type Replica struct {
	mu    sync.RWMutex
	state *State
}

// NewReplica returns a replica in the initial state.
func NewReplica(decode DecodeDocument) *Replica { return &Replica{state: New(decode)} }

// Apply implements node.StateMachine. The result holds the error of each command.
func (r *Replica) Apply(e consensus.Entry) []error {
	b, err := DecodeBatch(e.Data)
	if err != nil {
		return []error{err}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Apply(b)
}

// Snapshot implements node.StateMachine.
func (r *Replica) Snapshot() ([]byte, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.state.Snapshot()
}

// Restore implements node.StateMachine.
func (r *Replica) Restore(data []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Restore(data)
}

// Read calls f with the committed state, which f must neither keep nor modify.
func (r *Replica) Read(f func(*State)) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	f(r.state)
}

// Clone returns a copy of the committed state.
func (r *Replica) Clone() (*State, error) {
	data, err := r.Snapshot()
	if err != nil {
		return nil, err
	}
	s := New(r.state.decode)
	return s, errors.Wrap(s.Restore(data), "clone state")
}
