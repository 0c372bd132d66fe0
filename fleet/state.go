package fleet

import (
	"slices"

	"magnoliastand.example/api"
	"magnoliastand.example/invariant"
)

// State is the replicated state of instances, pools, permits and waves.
// Stored instances are replaced and never modified in place, so views can
// share them.
type State struct {
	version   uint64
	cfg       Config
	instances map[string]*Instance
	// sortedIDs lists the instance IDs in ascending order.
	sortedIDs []string
	waves     map[string]*WaveRun

	// The indexes below are derived from instances.

	// members holds the instance IDs of each pool.
	members map[string]map[string]struct{}
	counts  map[failureDomain]domainCount
	// leaving and arriving count, per pool, the instances whose permit takes
	// them out of the pool or into it.
	leaving  map[string]int
	arriving map[string]int
	// wavePermits counts the permits held per wave.
	wavePermits map[string]int

	// skipBudgetCheck disables the budget check when commands are applied.
	// Tests set it to verify that the invariant check detects the violation.
	skipBudgetCheck bool
}

// New returns an empty state.
func New() *State {
	s := &State{waves: map[string]*WaveRun{}}
	s.resetIndexes()
	return s
}

func (s *State) resetIndexes() {
	s.instances = map[string]*Instance{}
	s.sortedIDs = nil
	s.members = map[string]map[string]struct{}{}
	s.counts = map[failureDomain]domainCount{}
	s.leaving = map[string]int{}
	s.arriving = map[string]int{}
	s.wavePermits = map[string]int{}
}

// Version returns the version of the current configuration.
func (s *State) Version() uint64 { return s.version }

// Instance returns the instance with the given ID. The caller must not modify it.
func (s *State) Instance(id string) (*Instance, bool) {
	i, ok := s.instances[id]
	return i, ok
}

// HasZone reports whether any instance is in the availability zone.
func (s *State) HasZone(zone string) bool {
	return s.counts[failureDomain{api.ScopeZone, zone}].members > 0
}

// put inserts i, or replaces the instance with the same ID, and updates the
// indexes.
func (s *State) put(i *Instance) {
	if old, ok := s.instances[i.ID]; ok {
		s.updateIndexes(old, -1)
	} else {
		at, _ := slices.BinarySearch(s.sortedIDs, i.ID)
		s.sortedIDs = slices.Insert(s.sortedIDs, at, i.ID)
	}
	s.instances[i.ID] = i
	s.updateIndexes(i, 1)
}

// remove deletes the instance and updates the indexes.
func (s *State) remove(i *Instance) {
	s.updateIndexes(i, -1)
	delete(s.instances, i.ID)
	if at, ok := slices.BinarySearch(s.sortedIDs, i.ID); ok {
		s.sortedIDs = slices.Delete(s.sortedIDs, at, at+1)
	}
}

// updateIndexes adds i to every index if sign is 1 and removes it if sign is -1.
func (s *State) updateIndexes(i *Instance, sign int) {
	for _, d := range i.domains() {
		c := s.counts[d]
		c.members += sign
		if !i.State.Available() {
			c.unavailable += sign
		}
		s.counts[d] = c
	}
	s.updateMembers(i, sign)
	if i.Permit == nil {
		return
	}
	if i.Permit.Wave != "" {
		s.wavePermits[i.Permit.Wave] += sign
	}
	if leavesPool(i) {
		s.leaving[i.Pool] += sign
		if i.Permit.Target != "" {
			s.arriving[i.Permit.Target] += sign
		}
	}
}

func (s *State) updateMembers(i *Instance, sign int) {
	if sign < 0 {
		delete(s.members[i.Pool], i.ID)
		return
	}
	if s.members[i.Pool] == nil {
		s.members[i.Pool] = map[string]struct{}{}
	}
	s.members[i.Pool][i.ID] = struct{}{}
}

// leavesPool reports whether i leaves its pool when its permit is carried out.
func leavesPool(i *Instance) bool {
	switch i.Permit.Purpose {
	case PurposeMove:
		return i.Permit.Target != i.Pool
	case PurposeRetire:
		return true
	}
	return false
}

// transition applies e to a copy of i, calls change on the copy and stores it.
// A voluntary transition is refused if it would exceed a budget.
func (s *State) transition(i *Instance, cmd *Command, e Event, voluntary bool, change func(*Instance)) (Result, error) {
	next, ok := Next(i.State, e)
	if !ok {
		return Result{}, refuse(CodeWrongState, "instance %s is %s: %s is not allowed", i.ID, i.State, e)
	}
	c := i.clone()
	if c.State != next {
		c.State = next
		c.Since = cmd.At
	}
	if change != nil {
		change(c)
	}
	if voluntary && !s.skipBudgetCheck {
		if err := s.checkBudgets(i, c); err != nil {
			return Result{}, err
		}
	}
	c.Revision++
	c.record(cmd, e, i.State)
	s.put(c)
	if voluntary {
		s.assertBudgets(i, c)
	}
	s.assertOnePool(c)
	return resultOf(c), nil
}

func resultOf(i *Instance) Result {
	return Result{Instance: i.ID, State: i.State, Pool: i.Pool, Revision: i.Revision}
}

// CheckAll checks the invariants and indexes of the whole state and reports
// whether all hold. Its cost grows with the size of the state.
func (s *State) CheckAll() bool {
	ok := true
	for _, id := range s.sortedIDs {
		ok = s.assertOnePool(s.instances[id]) && ok
	}
	ok = invariant.Check(len(s.sortedIDs) == len(s.instances), invariant.OnePoolPerInstance,
		"%d sorted IDs for %d instances", len(s.sortedIDs), len(s.instances)) && ok
	for d, c := range s.counts {
		n := s.recount(d)
		ok = invariant.Check(n == c.unavailable, invariant.AvailabilityBudget,
			"%s %q: index counts %d unavailable instances, recount found %d", d.scope, d.name, c.unavailable, n) && ok
	}
	for pool, members := range s.members {
		n := s.counts[failureDomain{api.ScopePool, pool}].members
		ok = invariant.Check(n == len(members), invariant.OnePoolPerInstance,
			"pool %q: index counts %d instances, member set has %d", pool, n, len(members)) && ok
	}
	return ok
}
