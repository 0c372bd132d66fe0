// Package invariant reports breaches of what must always hold. Checks stay on
// in every build. A breach is counted and handed to the sink that the program
// installs, which logs it and, by setting, stops the process.
package invariant

import (
	"fmt"
	"sync"
	"sync/atomic"
)

// Name identifies one invariant, with bounded cardinality for metrics.
type Name string

// Invariants of the system, one for each promise to its users.
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
	// Consensus covers election safety, log matching and state-machine safety.
	Consensus Name = "consensus"
	// SlotBound covers slots and connections of an endpoint.
	SlotBound Name = "slot_bound"
)

// Breach is one observed breach of an invariant.
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

// SetSink installs the receiver of breaches and returns the previous one. A nil
// sink makes a breach panic, so that tests without a sink fail.
func SetSink(s Sink) Sink {
	mu.Lock()
	defer mu.Unlock()
	old := sink
	sink = s
	return old
}

// Check reports a breach of name when ok is false. It returns ok.
func Check(ok bool, name Name, format string, args ...any) bool {
	if !ok {
		report(Breach{Invariant: name, Detail: fmt.Sprintf(format, args...)})
	}
	return ok
}

// Count returns how often name was breached in this process.
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
