package fleet

import (
	"fmt"

	"magnoliastand.example/api"
)

// pool returns the configuration of the named pool.
func (c *Config) pool(name string) (api.Pool, bool) {
	for _, p := range c.Pools {
		if p.Name == name {
			return p, true
		}
	}
	return api.Pool{}, false
}

// wave returns the configuration of the named wave.
func (c *Config) wave(name string) (api.Wave, bool) {
	for _, w := range c.Waves {
		if w.Name == name {
			return w, true
		}
	}
	return api.Wave{}, false
}

// sparePool returns the name of the spare pool, or "" if there is none.
func (c *Config) sparePool() string {
	for _, p := range c.Pools {
		if p.Spare {
			return p.Name
		}
	}
	return ""
}

// CheckConfig returns the faults that make c incompatible with the current
// instances. It assumes that the document itself has been validated.
func (s *State) CheckConfig(c *Config) []api.Fault {
	var faults []api.Fault
	for _, p := range s.cfg.Pools {
		if _, ok := c.pool(p.Name); ok {
			continue
		}
		if n := s.counts[failureDomain{api.ScopePool, p.Name}].members; n > 0 {
			faults = append(faults, api.Fault{
				Path:    "pools",
				Message: fmt.Sprintf("pool %q is removed but has %d instances", p.Name, n),
			})
			continue
		}
		if n := s.arriving[p.Name]; n > 0 {
			faults = append(faults, api.Fault{
				Path:    "pools",
				Message: fmt.Sprintf("pool %q is removed but %d instances are moving to it", p.Name, n),
			})
		}
	}
	for n, b := range c.Budgets {
		if b.MaxUnavailable < 0 {
			faults = append(faults, api.Fault{
				Path:    fmt.Sprintf("budgets[%d].max_unavailable", n),
				Message: "must not be negative",
			})
		}
	}
	return faults
}

func (s *State) setConfig(c *SetConfig) (Result, error) {
	if c.Version <= s.version {
		return Result{}, refuse(CodeStaleConfig, "version %d is not above %d", c.Version, s.version)
	}
	if faults := s.CheckConfig(&c.Config); len(faults) > 0 {
		return Result{}, refuse(CodePoolInUse, "%s", faults[0])
	}
	s.version = c.Version
	s.cfg = c.Config
	return Result{}, nil
}
