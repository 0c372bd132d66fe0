package api

import "strings"

func (v *validator) checkBudgets() {
	if !v.checkCount("budgets", len(v.doc.Budgets), MaxBudgets) {
		return
	}
	seen := make(map[string]string)
	for i := range v.doc.Budgets {
		b := &v.doc.Budgets[i]
		path := itemPath("budgets", i)
		v.checkBudgetDomain(path, b)
		v.checkUnique(seen, path, string(b.Scope)+"/"+b.Name)
		v.checkIntRange(path+".max_unavailable", int64(b.MaxUnavailable), 0, MaxInstances)
	}
}

// checkBudgetDomain checks the scope and that a named domain exists. Racks are
// not part of the document, so for a rack only the form of the name and the
// availability zone in it are checked.
func (v *validator) checkBudgetDomain(path string, b *Budget) {
	switch b.Scope {
	case ScopePool:
		if b.Name != "" {
			v.checkPoolRef(path+".name", b.Name)
		}
	case ScopeZone:
		if _, ok := v.zoneNames[b.Name]; b.Name != "" && !ok {
			v.addf(path+".name", "there is no availability zone %s", quote(b.Name))
		}
	case ScopeRack:
		if b.Name != "" {
			v.checkRackName(path+".name", b.Name)
		}
	default:
		v.addf(path+".scope", "%s is not a scope: use %q, %q or %q", quote(string(b.Scope)), ScopePool, ScopeRack, ScopeZone)
	}
}

// checkRackName checks that name has the form "zone/rack" and that the zone exists.
func (v *validator) checkRackName(path, name string) {
	zone, rack, ok := strings.Cut(name, "/")
	if !ok {
		v.addf(path, "%s is not of the form \"zone/rack\"", quote(name))
		return
	}
	if _, known := v.zoneNames[zone]; !known {
		v.addf(path, "there is no availability zone %s", quote(zone))
	}
	v.checkName(path, rack)
}

func (v *validator) checkWaves() {
	if !v.checkCount("waves", len(v.doc.Waves), MaxWaves) {
		return
	}
	names := make(map[string]string)
	for i := range v.doc.Waves {
		w := &v.doc.Waves[i]
		path := itemPath("waves", i)
		v.checkName(path+".name", w.Name)
		v.checkUnique(names, path+".name", w.Name)
		v.checkWavePools(path+".pools", w.Pools)
		v.checkWaveLimits(path, w)
	}
}

func (v *validator) checkWavePools(path string, pools []string) {
	if len(pools) == 0 {
		v.addf(path, "at least one pool is required")
	}
	if !v.checkCount(path, len(pools), MaxPools) {
		return
	}
	seen := make(map[string]string)
	for i, p := range pools {
		v.checkPoolRef(itemPath(path, i), p)
		v.checkUnique(seen, itemPath(path, i), p)
	}
}

func (v *validator) checkWaveLimits(path string, w *Wave) {
	v.checkIntRange(path+".canary", int64(w.Canary), 1, MaxInstances)
	v.checkIntRange(path+".max_batch", int64(w.MaxBatch), 1, MaxInstances)
	if w.MaxBatch > 0 && w.MaxBatch < w.Canary {
		v.addf(path+".max_batch", "%d is below canary %d", w.MaxBatch, w.Canary)
	}
	v.checkDuration(path+".drain_timeout", w.DrainTimeout, MinLongestRun, MaxWaveTimeout)
	v.checkDuration(path+".reboot_timeout", w.RebootTimeout, MinLongestRun, MaxWaveTimeout)
	v.checkIntRange(path+".stop_after_failures", int64(w.StopAfterFailures), 1, MaxInstances)
	if w.Period != 0 {
		v.checkDuration(path+".period", w.Period, MinWavePeriod, MaxWavePeriod)
	}
}

func (v *validator) checkObjective() {
	o := v.doc.Objective
	v.checkWeight("objective.buffer_cost", o.BufferCost)
	v.checkWeight("objective.roll_out_time", o.RollOutTime)
	v.checkWeight("objective.moves", o.Moves)
	v.checkWeight("objective.share_error", o.ShareError)
}

// checkWeight checks that w is between 0 and MaxObjectiveWeight. The negated
// condition also rejects NaN.
func (v *validator) checkWeight(path string, w float64) {
	if !(w >= 0 && w <= MaxObjectiveWeight) {
		v.addf(path, "%g is outside 0 to %g", w, MaxObjectiveWeight)
	}
}
