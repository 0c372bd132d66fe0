package fairshare

// Resources is an amount of each kind that a worker offers.
type Resources struct {
	// Processors is a number of cores.
	Processors float64
	// Memory is in bytes.
	Memory float64
	// Accelerators is a number of devices.
	Accelerators float64
}

// kinds is the number of kinds of resources.
const kinds = 3

func (r Resources) vector() [kinds]float64 {
	return [kinds]float64{r.Processors, r.Memory, r.Accelerators}
}

// DominantShare returns the largest fraction of any kind of the total that
// used takes. Use of a kind that the total lacks counts as all of it.
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

// TaskDemand is what one team asks for tasks of one size.
type TaskDemand struct {
	// Task is the need of one task.
	Task Resources
	// Tasks is the most tasks that the team can use.
	Tasks float64
	// Weight is the team's share, positive.
	Weight float64
}

// fill is the state of one team while DominantMaxMin raises all teams' shares.
type fill struct {
	task   [kinds]float64
	rate   float64 // tasks per unit of level
	left   float64 // tasks still wanted
	got    float64
	frozen bool
}

// DominantMaxMin divides total by weighted dominant resource fairness and
// returns the number of tasks of each team, which may be fractional. All teams'
// dominant shares rise together in proportion to their weights; a team stops
// when its demand is met or a kind that it needs is used up.
func DominantMaxMin(total Resources, demands []TaskDemand) []float64 {
	fills := make([]fill, len(demands))
	for i, d := range demands {
		fills[i] = newFill(total, d)
	}
	free := total.vector()
	for raise(fills, &free) {
	}
	out := make([]float64, len(demands))
	for i := range fills {
		out[i] = fills[i].got
	}
	return out
}

func newFill(total Resources, d TaskDemand) fill {
	f := fill{task: d.Task.vector(), left: d.Tasks}
	share := DominantShare(d.Task, total)
	if share <= 0 || d.Tasks <= 0 || !fits(f.task, total.vector()) {
		f.frozen = true
		return f
	}
	f.rate = max(d.Weight, minWeight) / share
	return f
}

// fits reports whether every kind that the task needs exists.
func fits(task, total [kinds]float64) bool {
	for k := range task {
		if task[k] > 0 && total[k] <= 0 {
			return false
		}
	}
	return true
}

// raise lifts the level of all unfrozen teams to the next point at which a
// demand is met or a kind is used up. It reports whether any team is left.
func raise(fills []fill, free *[kinds]float64) bool {
	var use [kinds]float64
	step := -1.0
	lower := func(v float64) {
		if step < 0 || v < step {
			step = v
		}
	}
	for _, f := range fills {
		if f.frozen {
			continue
		}
		lower(f.left / f.rate)
		for k := range use {
			use[k] += f.task[k] * f.rate
		}
	}
	if step < 0 {
		return false
	}
	for k := range use {
		if use[k] > 0 {
			lower(free[k] / use[k])
		}
	}
	spent := [kinds]bool{}
	for k := range use {
		spent[k] = use[k] > 0 && free[k]/use[k] <= step
		free[k] = max(free[k]-use[k]*step, 0)
	}
	for i := range fills {
		fills[i].advance(step, spent)
	}
	return true
}

// advance gives the team its part of a step and freezes it where it must stop.
func (f *fill) advance(step float64, spent [kinds]bool) {
	if f.frozen {
		return
	}
	f.frozen = f.left/f.rate <= step
	f.got += min(f.rate*step, f.left)
	f.left -= min(f.rate*step, f.left)
	for k := range spent {
		f.frozen = f.frozen || spent[k] && f.task[k] > 0
	}
}
