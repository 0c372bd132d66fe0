package fleet

import (
	"slices"

	"magnoliastand.example/api"
)

// View is a snapshot of a state for readers. It does not change when the state
// does, so it may be read while later commands are applied. Readers must not
// modify it.
type View struct {
	Version uint64
	Config  Config
	// Instances is in ascending order of id.
	Instances []*Instance
	Waves     map[string]*WaveRun
}

// View returns a snapshot for readers. Its cost grows with the number of
// instances, not with their history.
func (s *State) View() View {
	v := View{
		Version:   s.version,
		Config:    s.cfg,
		Instances: make([]*Instance, 0, len(s.order)),
		Waves:     make(map[string]*WaveRun, len(s.waves)),
	}
	for _, id := range s.order {
		v.Instances = append(v.Instances, s.instances[id])
	}
	for name, w := range s.waves {
		v.Waves[name] = w
	}
	return v
}

// Instance returns the instance with the id, or nil.
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

// Headroom tells how many more instances may be made unavailable in failure
// domains. A planner spends it as it plans; the applier checks again.
type Headroom struct {
	limits map[domain]int
	used   map[domain]int
	cfg    *Config
}

// Headroom returns the headroom of the view.
func (v *View) Headroom() *Headroom {
	h := &Headroom{limits: map[domain]int{}, used: map[domain]int{}, cfg: &v.Config}
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

// Take spends headroom for making i unavailable. It returns false and spends
// nothing if a budget has none left.
func (h *Headroom) Take(i *Instance) bool {
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

// Left returns how many more instances of the pool may become unavailable by
// the budgets of the pool alone.
func (h *Headroom) Left(pool string) int {
	d := domain{api.ScopePool, pool}
	return h.limit(d) - h.used[d]
}

func (h *Headroom) limit(d domain) int {
	l, ok := h.limits[d]
	if !ok {
		l = h.cfg.limit(d)
		h.limits[d] = l
	}
	return l
}
