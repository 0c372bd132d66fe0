package api

import "strings"

func (v *validator) budgets() {
	if !v.count("budgets", len(v.doc.Budgets), MaxBudgets) {
		return
	}
	seen := make(map[string]string)
	for i := range v.doc.Budgets {
		b := &v.doc.Budgets[i]
		path := itemPath("budgets", i)
		v.budgetDomain(path, b)
		v.unique(seen, path, string(b.Scope)+"/"+b.Name)
		v.intRange(path+".max_unavailable", int64(b.MaxUnavailable), 0, MaxInstances)
	}
}

// budgetDomain checks the scope and that a named domain exists. Racks are not
// part of the document, so only the form of their name is checked.
func (v *validator) budgetDomain(path string, b *Budget) {
	switch b.Scope {
	case ScopePool:
		if b.Name != "" {
			v.poolRef(path+".name", b.Name)
		}
	case ScopeZone:
		if _, ok := v.zoneNames[b.Name]; b.Name != "" && !ok {
			v.addf(path+".name", "there is no availability zone %s", quote(b.Name))
		}
	case ScopeRack:
		if b.Name != "" {
			v.rackName(path+".name", b.Name)
		}
	default:
		v.addf(path+".scope", "%s is not a scope: use %q, %q or %q", quote(string(b.Scope)), ScopePool, ScopeRack, ScopeZone)
	}
}

// rackName checks the form "zone/rack" and that the zone exists.
func (v *validator) rackName(path, name string) {
	zone, rack, ok := strings.Cut(name, "/")
	if !ok {
		v.addf(path, "%s is not of the form \"zone/rack\"", quote(name))
		return
	}
	if _, known := v.zoneNames[zone]; !known {
		v.addf(path, "there is no availability zone %s", quote(zone))
	}
	v.name(path, rack)
}

func (v *validator) waves() {
	if !v.count("waves", len(v.doc.Waves), MaxWaves) {
		return
	}
	names := make(map[string]string)
	for i := range v.doc.Waves {
		w := &v.doc.Waves[i]
		path := itemPath("waves", i)
		v.name(path+".name", w.Name)
		v.unique(names, path+".name", w.Name)
		v.wavePools(path+".pools", w.Pools)
		v.waveSizes(path, w)
	}
}

func (v *validator) wavePools(path string, pools []string) {
	if len(pools) == 0 {
		v.addf(path, "at least one pool is required")
	}
	if !v.count(path, len(pools), MaxPools) {
		return
	}
	seen := make(map[string]string)
	for i, p := range pools {
		v.poolRef(itemPath(path, i), p)
		v.unique(seen, itemPath(path, i), p)
	}
}

func (v *validator) waveSizes(path string, w *Wave) {
	v.intRange(path+".canary", int64(w.Canary), 1, MaxInstances)
	v.intRange(path+".max_batch", int64(w.MaxBatch), 1, MaxInstances)
	if w.MaxBatch > 0 && w.MaxBatch < w.Canary {
		v.addf(path+".max_batch", "%d is below canary %d", w.MaxBatch, w.Canary)
	}
	v.duration(path+".drain_timeout", w.DrainTimeout, MinLongestRun, MaxWaveTimeout)
	v.duration(path+".reboot_timeout", w.RebootTimeout, MinLongestRun, MaxWaveTimeout)
	v.intRange(path+".stop_after_failures", int64(w.StopAfterFailures), 1, MaxInstances)
	if w.Period != 0 {
		v.duration(path+".period", w.Period, MinWavePeriod, MaxWavePeriod)
	}
}

func (v *validator) objective() {
	o := v.doc.Objective
	v.weight("objective.buffer_cost", o.BufferCost)
	v.weight("objective.roll_out_time", o.RollOutTime)
	v.weight("objective.moves", o.Moves)
	v.weight("objective.share_error", o.ShareError)
}

// weight checks that w is a number from 0 to the bound.
func (v *validator) weight(path string, w float64) {
	if !(w >= 0 && w <= MaxObjectiveWeight) {
		v.addf(path, "%g is outside 0 to %g", w, MaxObjectiveWeight)
	}
}
