package placement

import (
	"slices"

	"magnoliastand.example/api"
)

// TeamQueue holds the usage and the waiting tasks of one team in a pool.
type TeamQueue struct {
	TeamUse
	// Quick and Long are the waiting tasks of each class, in order of service.
	Quick []Task
	Long  []Task
	// Limit is the maximum number of tasks to start. Negative means no limit.
	Limit int
}

// Classes bounds the capacity of a pool that each class may use.
type Classes struct {
	// QuickReserve is the fraction of the pool's slots, and of each worker's
	// processors and memory, that long tasks leave free.
	QuickReserve float64
	// LongReserve is the fraction of the pool's slots that quick tasks leave free
	// while long tasks wait.
	LongReserve float64
	// QuickRunning and LongRunning are the numbers of slots in use.
	QuickRunning int
	LongRunning  int
}

// Input describes one pool.
type Input struct {
	Workers []Worker
	Teams   []TeamQueue
	Classes Classes
	Order   Order
	// Estimator corrects declared sizes. Nil means no correction.
	Estimator *Estimator
	// MaxAttempts is the maximum number of tasks to try to place. 0 means no
	// limit.
	MaxAttempts int
}

// Start is the decision to start a task on a worker.
type Start struct {
	Task   Task
	Worker string
	// Size is the estimated size that is reserved on the worker.
	Size Size
}

// rackKey identifies the tasks of one queue on one rack, for spreading.
type rackKey struct{ queue, zone, rack string }

// placer is the working state of one call of Place.
type placer struct {
	input         *Input
	workers       []Worker
	totalCapacity Size
	maxCapacity   Size
	quickRunning  int
	longRunning   int
	starts        []Start
	attempts      int
	// reserved marks the workers reserved for long tasks that cannot be placed yet.
	reserved      []bool
	reservedCount int
	tasksOnRack   map[rackKey]int
}

// Place returns the tasks to start, in the order in which they were chosen. It
// does not modify the input.
func Place(in Input) []Start {
	p := &placer{
		input:        &in,
		workers:      slices.Clone(in.Workers),
		quickRunning: in.Classes.QuickRunning,
		longRunning:  in.Classes.LongRunning,
		tasksOnRack:  map[rackKey]int{},
	}
	p.reserved = make([]bool, len(p.workers))
	for n := range p.workers {
		w := &p.workers[n]
		if w.Open {
			p.totalCapacity = p.totalCapacity.Add(w.Capacity)
			p.maxCapacity = maxSize(p.maxCapacity, w.Capacity)
		}
	}
	if p.totalCapacity.Slots == 0 {
		return nil
	}
	p.placeClass(api.ClassQuick)
	p.placeClass(api.ClassLong)
	return p.starts
}

// placeClass starts tasks of the class, picking teams by the input's order,
// until no team has a task that can be placed.
func (p *placer) placeClass(class api.Class) {
	eligible := make([]TeamUse, 0, len(p.input.Teams))
	queues := map[string][]Task{}
	limits := map[string]int{}
	for n := range p.input.Teams {
		t := &p.input.Teams[n]
		waiting := t.Quick
		if class == api.ClassLong {
			waiting = t.Long
		}
		if len(waiting) == 0 {
			continue
		}
		eligible = append(eligible, p.currentUse(t))
		queues[t.Team] = waiting
		limits[t.Team] = p.remainingLimit(t)
	}
	for len(eligible) > 0 && p.classHasCapacity(class) {
		n := p.input.Order.Next(eligible)
		u := &eligible[n]
		if limits[u.Team] == 0 {
			eligible = slices.Delete(eligible, n, n+1)
			continue
		}
		if !p.placeFirst(queues[u.Team], u, class) {
			p.reserveWorker(&queues[u.Team][0])
			eligible = slices.Delete(eligible, n, n+1)
			continue
		}
		limits[u.Team]--
		queues[u.Team] = queues[u.Team][1:]
		if len(queues[u.Team]) == 0 {
			eligible = slices.Delete(eligible, n, n+1)
			continue
		}
		u.Oldest = queues[u.Team][0].Submitted
	}
}

// currentUse returns the usage of the team including the tasks started by this
// call.
func (p *placer) currentUse(t *TeamQueue) TeamUse {
	u := t.TeamUse
	for _, s := range p.starts {
		if s.Task.Team == t.Team {
			u.Use += s.Size.DominantShare(p.totalCapacity)
		}
	}
	return u
}

// remainingLimit returns the number of tasks that the team may still start.
// Negative means no limit.
func (p *placer) remainingLimit(t *TeamQueue) int {
	if t.Limit < 0 {
		return t.Limit
	}
	left := t.Limit
	for _, s := range p.starts {
		if s.Task.Team == t.Team {
			left--
		}
	}
	return max(left, 0)
}

// classHasCapacity reports whether the class may use one more slot of the pool.
func (p *placer) classHasCapacity(class api.Class) bool {
	if p.input.MaxAttempts > 0 && p.attempts >= p.input.MaxAttempts {
		return false
	}
	slots := float64(p.totalCapacity.Slots)
	if class == api.ClassLong {
		return float64(p.longRunning+1) <= slots*(1-p.input.Classes.QuickReserve)
	}
	if !p.hasWaitingLong() {
		return true
	}
	return float64(p.quickRunning+1) <= slots*(1-p.input.Classes.LongReserve)
}

func (p *placer) hasWaitingLong() bool {
	for n := range p.input.Teams {
		if len(p.input.Teams[n].Long) > 0 {
			return true
		}
	}
	return false
}

// placeFirst places the first task of the queue and adds its size to the usage
// of the team. It returns false if no worker has capacity for the task.
func (p *placer) placeFirst(queue []Task, u *TeamUse, class api.Class) bool {
	t := &queue[0]
	p.attempts++
	size := p.reservedSize(t)
	w := p.chooseWorker(t, size)
	if w == nil {
		return false
	}
	w.Used = w.Used.Add(size)
	p.tasksOnRack[rackKey{t.Queue, w.Zone, w.Rack}]++
	u.Use += size.DominantShare(p.totalCapacity)
	if class == api.ClassLong {
		p.longRunning++
	} else {
		p.quickRunning++
	}
	p.starts = append(p.starts, Start{Task: *t, Worker: w.ID, Size: size})
	return true
}

// reservedSize returns the size to reserve for the task. A corrected size is
// bounded by the largest capacity of any open worker, so that the correction
// does not keep a task from running alone on the largest worker.
func (p *placer) reservedSize(t *Task) Size {
	if p.input.Estimator == nil {
		return t.Declared
	}
	return p.input.Estimator.Size(t).Min(maxSize(p.maxCapacity, t.Declared))
}

func maxSize(a, b Size) Size {
	return Size{
		max(a.Slots, b.Slots), max(a.Processors, b.Processors),
		max(a.MemoryMB, b.MemoryMB), max(a.Accelerators, b.Accelerators),
	}
}
