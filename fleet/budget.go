package fleet

import (
	"magnoliastand.example/api"
	"magnoliastand.example/invariant"
)

// failureDomain is a failure domain to which budgets apply.
type failureDomain struct {
	scope api.BudgetScope
	name  string
}

// domainCount counts the instances in a failure domain.
type domainCount struct {
	members     int
	unavailable int
}

// domains returns the failure domains of an instance.
func (i *Instance) domains() [3]failureDomain {
	return [3]failureDomain{
		{api.ScopePool, i.Pool},
		{api.ScopeRack, i.RackName()},
		{api.ScopeZone, i.Zone},
	}
}

// noLimit is the limit of a failure domain without a budget.
const noLimit = int(^uint(0) >> 1)

// limit returns the lowest budget that applies to d, or noLimit.
func (c *Config) limit(d failureDomain) int {
	least := noLimit
	for _, b := range c.Budgets {
		if b.Scope == d.scope && (b.Name == "" || b.Name == d.name) {
			least = min(least, b.MaxUnavailable)
		}
	}
	return least
}

// checkBudgets refuses a change from before to after that would exceed the
// budget of a failure domain.
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

// addsUnavailable reports whether the change adds an unavailable instance to d.
func addsUnavailable(before, after *Instance, d failureDomain) bool {
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

// assertBudgets asserts that a voluntary change did not exceed a budget. It
// recounts the instances instead of relying on the index.
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

func (s *State) recount(d failureDomain) int {
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

// assertOnePool asserts that the instance is a member of its own pool and no other.
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
