package fleet

import (
	"slices"

	"magnoliastand.example/api"
)

// View is an immutable snapshot of a State. It may be read concurrently with
// the application of later commands. Readers must not modify it.
type View struct {
	Version uint64
	Config  Config
	// Instances is sorted by ID in ascending order.
	Instances []*Instance
	Waves     map[string]*WaveRun
}

// View returns a snapshot of the state. Its cost is linear in the number of
// instances and does not depend on the length of their histories.
func (s *State) View() View {
	v := View{
		Version:   s.version,
		Config:    s.cfg,
		Instances: make([]*Instance, 0, len(s.sortedIDs)),
		Waves:     make(map[string]*WaveRun, len(s.waves)),
	}
	for _, id := range s.sortedIDs {
		v.Instances = append(v.Instances, s.instances[id])
	}
	for name, w := range s.waves {
		v.Waves[name] = w
	}
	return v
}

// Instance returns the instance with the given ID, or nil.
func (v *View) Instance(id string) *Instance {
	at, ok := slices.BinarySearchFunc(v.Instances, id, func(i *Instance, id string) int {
		switch {
		case i.ID < id:
			return -1
		case i.ID > id:
			return 1
		}
		return 0
	})
	if !ok {
		return nil
	}
	return v.Instances[at]
}

// Headroom tracks how many more instances may become unavailable in each
// failure domain. A planner consumes it while it plans; State checks the
// budgets again when it applies the resulting commands.
type Headroom struct {
	limits map[failureDomain]int
	used   map[failureDomain]int
	cfg    *Config
}

// Headroom returns the headroom that the view's instances and budgets leave.
func (v *View) Headroom() *Headroom {
	h := &Headroom{limits: map[failureDomain]int{}, used: map[failureDomain]int{}, cfg: &v.Config}
	for _, i := range v.Instances {
		if i.State.Available() {
			continue
		}
		for _, d := range i.domains() {
			h.used[d]++
		}
	}
	return h
}

// Reserve reserves headroom for making i unavailable. It returns false and
// reserves nothing if any applicable budget is exhausted.
func (h *Headroom) Reserve(i *Instance) bool {
	for _, d := range i.domains() {
		if h.used[d] >= h.limit(d) {
			return false
		}
	}
	for _, d := range i.domains() {
		h.used[d]++
	}
	return true
}

// Remaining returns how many more instances of the pool may become unavailable
// under the pool's own budgets, without regard to those of racks and zones.
func (h *Headroom) Remaining(pool string) int {
	d := failureDomain{api.ScopePool, pool}
	return h.limit(d) - h.used[d]
}

func (h *Headroom) limit(d failureDomain) int {
	l, ok := h.limits[d]
	if !ok {
		l = h.cfg.limit(d)
		h.limits[d] = l
	}
	return l
}
