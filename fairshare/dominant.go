package fairshare

// Resources is an amount of each kind of resource.
type Resources struct {
	// Processors is the number of cores.
	Processors float64
	// Memory is in bytes.
	Memory float64
	// Accelerators is the number of devices.
	Accelerators float64
}

// resourceKinds is the number of fields of Resources.
const resourceKinds = 3

func (r Resources) vector() [resourceKinds]float64 {
	return [resourceKinds]float64{r.Processors, r.Memory, r.Accelerators}
}

// DominantShare returns the largest fraction of the total, over all kinds of
// resource, that is used. Any use of a kind of which the total is zero gives 1.
func DominantShare(used, total Resources) float64 {
	share := 0.0
	t := total.vector()
	for k, u := range used.vector() {
		switch {
		case u <= 0:
		case t[k] <= 0:
			return 1
		default:
			share = max(share, u/t[k])
		}
	}
	return share
}

// TaskDemand is the demand of one team for tasks of one size.
type TaskDemand struct {
	// Task is the resources needed by one task.
	Task Resources
	// Tasks is the maximum number of tasks that the team can use.
	Tasks float64
	// Weight is the team's fair-share weight; it must be positive.
	Weight float64
}

// teamAllocation is the allocation of one team during the progressive filling in
// DominantMaxMin.
type teamAllocation struct {
	task      [resourceKinds]float64
	rate      float64 // tasks per unit of weighted dominant share
	remaining float64 // tasks not allocated yet
	allocated float64
	frozen    bool
}

// DominantMaxMin divides total by weighted dominant resource fairness and
// returns the number of tasks of each team, which may be fractional. It uses
// progressive filling: the dominant shares of all teams grow in proportion to
// their weights, and a team's allocation is frozen when its demand is met or a
// resource that it needs is exhausted.
func DominantMaxMin(total Resources, demands []TaskDemand) []float64 {
	teams := make([]teamAllocation, len(demands))
	for i, d := range demands {
		teams[i] = newTeamAllocation(total, d)
	}
	free := total.vector()
	for fillStep(teams, &free) {
	}
	out := make([]float64, len(demands))
	for i := range teams {
		out[i] = teams[i].allocated
	}
	return out
}

func newTeamAllocation(total Resources, d TaskDemand) teamAllocation {
	f := teamAllocation{task: d.Task.vector(), remaining: d.Tasks}
	share := DominantShare(d.Task, total)
	if share <= 0 || d.Tasks <= 0 || !satisfiable(f.task, total.vector()) {
		f.frozen = true
		return f
	}
	f.rate = max(d.Weight, minWeight) / share
	return f
}

// satisfiable reports whether the total of every resource that the task needs is
// positive.
func satisfiable(task, total [resourceKinds]float64) bool {
	for k := range task {
		if task[k] > 0 && total[k] <= 0 {
			return false
		}
	}
	return true
}

// fillStep grows the allocations of all teams that are not frozen until the next
// demand is met or resource is exhausted. It returns false if all teams are frozen.
func fillStep(teams []teamAllocation, free *[resourceKinds]float64) bool {
	var use [resourceKinds]float64
	step := -1.0
	limitStep := func(v float64) {
		if step < 0 || v < step {
			step = v
		}
	}
	for _, f := range teams {
		if f.frozen {
			continue
		}
		limitStep(f.remaining / f.rate)
		for k := range use {
			use[k] += f.task[k] * f.rate
		}
	}
	if step < 0 {
		return false
	}
	for k := range use {
		if use[k] > 0 {
			limitStep(free[k] / use[k])
		}
	}
	exhausted := [resourceKinds]bool{}
	for k := range use {
		exhausted[k] = use[k] > 0 && free[k]/use[k] <= step
		free[k] = max(free[k]-use[k]*step, 0)
	}
	for i := range teams {
		teams[i].allocate(step, exhausted)
	}
	return true
}

// allocate adds the team's part of a filling step and freezes the team if its demand
// is met or a resource that it needs is exhausted.
func (f *teamAllocation) allocate(step float64, exhausted [resourceKinds]bool) {
	if f.frozen {
		return
	}
	f.frozen = f.remaining/f.rate <= step
	f.allocated += min(f.rate*step, f.remaining)
	f.remaining -= min(f.rate*step, f.remaining)
	for k := range exhausted {
		f.frozen = f.frozen || exhausted[k] && f.task[k] > 0
	}
}
