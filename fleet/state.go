package fleet

import (
	"slices"

	"magnoliastand.example/api"
	"magnoliastand.example/invariant"
)

// State is the replicated state of instances, pools, permits and waves.
// Stored instances are replaced and never modified, so that views may share
// them.
type State struct {
	version   uint64
	cfg       Config
	instances map[string]*Instance
	// order lists the instance ids in ascending order.
	order []string
	waves map[string]*WaveRun

	// The indexes below are derived from instances.
	members  map[string]map[string]struct{}
	counts   map[domain]count
	leaving  map[string]int
	arriving map[string]int
	inFlight map[string]int

	// skipRecheck turns the applier's budget check off, to show that the
	// invariant notices.
	skipRecheck bool
}

// New returns an empty state.
func New() *State {
	s := &State{waves: map[string]*WaveRun{}}
	s.resetIndexes()
	return s
}

func (s *State) resetIndexes() {
	s.instances = map[string]*Instance{}
	s.order = nil
	s.members = map[string]map[string]struct{}{}
	s.counts = map[domain]count{}
	s.leaving = map[string]int{}
	s.arriving = map[string]int{}
	s.inFlight = map[string]int{}
}

// Version returns the version of the configuration in force.
func (s *State) Version() uint64 { return s.version }

// Instance returns the instance with the id. The caller must not modify it.
func (s *State) Instance(id string) (*Instance, bool) {
	i, ok := s.instances[id]
	return i, ok
}

// put stores i in place of the instance with the same id and updates the indexes.
func (s *State) put(i *Instance) {
	if old, ok := s.instances[i.ID]; ok {
		s.index(old, -1)
	} else {
		at, _ := slices.BinarySearch(s.order, i.ID)
		s.order = slices.Insert(s.order, at, i.ID)
	}
	s.instances[i.ID] = i
	s.index(i, 1)
}

// remove forgets the instance.
func (s *State) remove(i *Instance) {
	s.index(i, -1)
	delete(s.instances, i.ID)
	if at, ok := slices.BinarySearch(s.order, i.ID); ok {
		s.order = slices.Delete(s.order, at, at+1)
	}
}

// index adds sign times the contribution of i to every index.
func (s *State) index(i *Instance, sign int) {
	for _, d := range i.domains() {
		c := s.counts[d]
		c.members += sign
		if !i.State.Available() {
			c.unavailable += sign
		}
		s.counts[d] = c
	}
	s.indexMember(i, sign)
	if i.Permit == nil {
		return
	}
	if i.Permit.Wave != "" {
		s.inFlight[i.Permit.Wave] += sign
	}
	if leavesPool(i) {
		s.leaving[i.Pool] += sign
		if i.Permit.Target != "" {
			s.arriving[i.Permit.Target] += sign
		}
	}
}

func (s *State) indexMember(i *Instance, sign int) {
	if sign < 0 {
		delete(s.members[i.Pool], i.ID)
		return
	}
	if s.members[i.Pool] == nil {
		s.members[i.Pool] = map[string]struct{}{}
	}
	s.members[i.Pool][i.ID] = struct{}{}
}

// leavesPool reports whether the permit of i will take it out of its pool.
func leavesPool(i *Instance) bool {
	switch i.Permit.Purpose {
	case PurposeMove:
		return i.Permit.Target != i.Pool
	case PurposeRetire:
		return true
	}
	return false
}

// transition applies e to a copy of i, lets change edit the copy, and stores
// it. A voluntary transition is refused where it would pass a budget.
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
	if voluntary && !s.skipRecheck {
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

// CheckAll checks the invariants and indexes of the whole state. It costs time
// in proportion to the state and returns whether all hold.
func (s *State) CheckAll() bool {
	good := true
	for _, id := range s.order {
		good = s.assertOnePool(s.instances[id]) && good
	}
	good = invariant.Check(len(s.order) == len(s.instances), invariant.OnePoolPerInstance,
		"%d ids in order for %d instances", len(s.order), len(s.instances)) && good
	for d, c := range s.counts {
		n := s.recount(d)
		good = invariant.Check(n == c.unavailable, invariant.AvailabilityBudget,
			"%s %q counts %d unavailable, has %d", d.scope, d.name, c.unavailable, n) && good
	}
	for pool, members := range s.members {
		n := s.counts[domain{api.ScopePool, pool}].members
		good = invariant.Check(n == len(members), invariant.OnePoolPerInstance,
			"pool %q counts %d members, has %d", pool, n, len(members)) && good
	}
	return good
}
