// Package invariant checks the system's invariants at run time and reports
// breaches. The checks are enabled in every build. Each breach is counted and
// passed to the sink that the program installs. The sink logs it and, if so
// configured, stops the process.
package invariant

import (
	"fmt"
	"sync"
	"sync/atomic"
)

// Name identifies an invariant. The names form a small fixed set, so they can
// serve as metric labels.
type Name string

// Invariants of the system, one for each guarantee given to its users.
const (
	AvailabilityBudget  Name = "availability_budget"
	OnePoolPerInstance  Name = "one_pool_per_instance"
	KeyedWork           Name = "keyed_work"
	TeamLimit           Name = "team_limit"
	WholeOwnAnswer      Name = "whole_own_answer"
	NotRunIsTrue        Name = "not_run_is_true"
	AtMostOnce          Name = "at_most_once"
	LeavingGetsNoWork   Name = "leaving_gets_no_work"
	ShutdownCutsNothing Name = "shutdown_cuts_nothing"
	ConfigNeverReverts  Name = "config_never_reverts"
	// Consensus covers election safety, log matching and state machine safety.
	Consensus Name = "consensus"
	// SlotBound covers the limits on the slots and connections of an endpoint.
	SlotBound Name = "slot_bound"
)

// Breach is a detected violation of an invariant.
type Breach struct {
	Invariant Name
	Detail    string
}

// Sink receives breaches. It must be safe for concurrent use.
type Sink func(Breach)

var (
	mu     sync.RWMutex
	sink   Sink
	counts sync.Map // Name to *atomic.Int64
)

// SetSink installs the sink for breaches and returns the previous one. Without a
// sink, a breach panics, so that tests that install none fail.
func SetSink(next Sink) Sink {
	mu.Lock()
	defer mu.Unlock()
	previous := sink
	sink = next
	return previous
}

// Check reports a breach of the named invariant if ok is false. It returns ok.
func Check(ok bool, name Name, format string, args ...any) bool {
	if !ok {
		report(Breach{Invariant: name, Detail: fmt.Sprintf(format, args...)})
	}
	return ok
}

// Count returns the number of breaches of the named invariant in this process.
func Count(name Name) int64 {
	c, ok := counts.Load(name)
	if !ok {
		return 0
	}
	return c.(*atomic.Int64).Load()
}

func report(b Breach) {
	c, _ := counts.LoadOrStore(b.Invariant, new(atomic.Int64))
	c.(*atomic.Int64).Add(1)
	mu.RLock()
	s := sink
	mu.RUnlock()
	if s == nil {
		panic(fmt.Sprintf("invariant %s breached: %s", b.Invariant, b.Detail))
	}
	s(b)
}
