package system

import (
	"sync"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"magnoliastand.example/consensus"
	"magnoliastand.example/workload"
)

// replica is the state machine of the replicated log and holds the committed
// state. It is safe for concurrent use.
type replica struct {
	decode workload.DecodeDocument
	mu     sync.RWMutex
	state  *workload.State
}

// newReplica returns a replica in the initial state.
func newReplica(decode workload.DecodeDocument) *replica {
	return &replica{decode: decode, state: workload.New(decode)}
}

// Apply implements node.StateMachine. It returns the error of each command of the
// batch.
func (r *replica) Apply(e consensus.Entry) []error {
	b, err := workload.DecodeBatch(e.Data)
	if err != nil {
		return []error{err}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Apply(b)
}

// Snapshot implements node.StateMachine.
func (r *replica) Snapshot() ([]byte, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.state.Snapshot()
}

// Restore implements node.StateMachine.
func (r *replica) Restore(data []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Restore(data)
}

// read calls f with the committed state, which f must neither retain nor modify.
func (r *replica) read(f func(*workload.State)) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	f(r.state)
}

// clone returns a copy of the committed state.
func (r *replica) clone() (*workload.State, error) {
	data, err := r.Snapshot()
	if err != nil {
		return nil, err
	}
	s := workload.New(r.decode)
	return s, errors.Wrap(s.Restore(data), "clone state")
}

// evacuatedZones returns a gauge of the zones that are evacuated in the committed state.
func evacuatedZones(r *replica) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "magnoliastand_evacuated_zones", Help: "Availability zones in which no task is started.",
	}, func() float64 {
		n := 0
		r.read(func(s *workload.State) {
			for range s.EvacuatedZones() {
				n++
			}
		})
		return float64(n)
	})
}
