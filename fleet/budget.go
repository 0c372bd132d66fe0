package fleet

import (
	"magnoliastand.example/api"
	"magnoliastand.example/invariant"
)

// domain is one failure domain that budgets range over.
type domain struct {
	scope api.BudgetScope
	name  string
}

// count is the number of instances in a domain.
type count struct {
	members     int
	unavailable int
}

// domains returns the failure domains of an instance.
func (i *Instance) domains() [3]domain {
	return [3]domain{
		{api.ScopePool, i.Pool},
		{api.ScopeRack, i.RackName()},
		{api.ScopeZone, i.Zone},
	}
}

// noLimit is the limit of a domain without a budget.
const noLimit = int(^uint(0) >> 1)

// limit returns the smallest budget of the domain, or noLimit.
func (c *Config) limit(d domain) int {
	least := noLimit
	for _, b := range c.Budgets {
		if b.Scope == d.scope && (b.Name == "" || b.Name == d.name) {
			least = min(least, b.MaxUnavailable)
		}
	}
	return least
}

// checkBudgets refuses a change from before to after that would make a domain
// pass its budget.
func (s *State) checkBudgets(before, after *Instance) error {
	for _, d := range after.domains() {
		if !addsUnavailable(before, after, d) {
			continue
		}
		have, limit := s.counts[d].unavailable, s.cfg.limit(d)
		if have+1 > limit {
			return refuse(CodeBudget, "%s %q has %d unavailable of at most %d", d.scope, d.name, have, limit)
		}
	}
	return nil
}

// addsUnavailable reports whether the change makes one more instance of d
// unavailable.
func addsUnavailable(before, after *Instance, d domain) bool {
	if after.State.Available() {
		return false
	}
	if before.State.Available() {
		return true
	}
	for _, old := range before.domains() {
		if old == d {
			return false
		}
	}
	return true
}

// assertBudgets checks that a voluntary change did not pass a budget. It
// counts the instances afresh rather than reading the counters.
func (s *State) assertBudgets(before, after *Instance) {
	for _, d := range after.domains() {
		if !addsUnavailable(before, after, d) {
			continue
		}
		n := s.recount(d)
		limit := s.cfg.limit(d)
		invariant.Check(n <= limit, invariant.AvailabilityBudget,
			"%s %q has %d unavailable of at most %d after %s became %s",
			d.scope, d.name, n, limit, after.ID, after.State)
	}
}

func (s *State) recount(d domain) int {
	n := 0
	for _, i := range s.instances {
		if i.State.Available() {
			continue
		}
		for _, own := range i.domains() {
			if own == d {
				n++
			}
		}
	}
	return n
}

// assertOnePool checks that the instance is a member of exactly one pool, its own.
func (s *State) assertOnePool(i *Instance) bool {
	n := 0
	for _, members := range s.members {
		if _, ok := members[i.ID]; ok {
			n++
		}
	}
	_, own := s.members[i.Pool][i.ID]
	return invariant.Check(n == 1 && own, invariant.OnePoolPerInstance,
		"instance %s of pool %q is a member of %d pools", i.ID, i.Pool, n)
}
