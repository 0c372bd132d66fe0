package placement

import (
	"slices"

	"magnoliastand.example/api"
)

// TeamQueue is what one team has running and waiting in a pool.
type TeamQueue struct {
	TeamUse
	// Quick and Long are the waiting tasks by class, each in order of service.
	Quick []Task
	Long  []Task
	// Limit bounds how many more tasks may start; negative means no bound.
	Limit int
}

// Classes bounds what each class may take of a pool's slots.
type Classes struct {
	// QuickReserve is the fraction of the pool's slots, and of each worker's
	// processors and memory, that long tasks leave free.
	QuickReserve float64
	// LongReserve is the fraction of slots that quick tasks leave free while long tasks wait.
	LongReserve float64
	// QuickRunning and LongRunning count slots in use.
	QuickRunning int
	LongRunning  int
}

// Input describes one pool.
type Input struct {
	Workers []Worker
	Teams   []TeamQueue
	Classes Classes
	Order   Order
	// Estimator corrects sizes; nil means that declared sizes are used.
	Estimator *Estimator
	// Attempts bounds the tasks that are tried in one call; 0 means no bound.
	Attempts int
}

// Start places one task on one worker.
type Start struct {
	Task   Task
	Worker string
	// Size is the estimate that the placement reserved.
	Size Size
}

// rackKey identifies the tasks of one queue on one rack.
type rackKey struct{ queue, zone, rack string }

// placer is the working copy of an input.
type placer struct {
	in      *Input
	workers []Worker
	total   Size
	largest Size
	quick   int
	long    int
	starts  []Start
	tries   int
	// held marks workers whose room is kept for a task that does not fit yet.
	held   []bool
	holds  int
	onRack map[rackKey]int
}

// Place returns the tasks to start now, in the order in which they were
// chosen. It does not modify the input.
func Place(in Input) []Start {
	p := &placer{
		in:      &in,
		workers: slices.Clone(in.Workers),
		quick:   in.Classes.QuickRunning,
		long:    in.Classes.LongRunning,
		onRack:  map[rackKey]int{},
	}
	p.held = make([]bool, len(p.workers))
	for n := range p.workers {
		w := &p.workers[n]
		if w.Open {
			p.total = p.total.Add(w.Capacity)
			p.largest = maxSize(p.largest, w.Capacity)
		}
	}
	if p.total.Slots == 0 {
		return nil
	}
	p.placeClass(api.ClassQuick)
	p.placeClass(api.ClassLong)
	return p.starts
}

// placeClass serves the teams in order until none can be placed.
func (p *placer) placeClass(class api.Class) {
	open := make([]TeamUse, 0, len(p.in.Teams))
	queues := map[string][]Task{}
	limits := map[string]int{}
	for n := range p.in.Teams {
		t := &p.in.Teams[n]
		waiting := t.Quick
		if class == api.ClassLong {
			waiting = t.Long
		}
		if len(waiting) == 0 {
			continue
		}
		open = append(open, p.useOf(t))
		queues[t.Team] = waiting
		limits[t.Team] = p.limitOf(t)
	}
	for len(open) > 0 && p.roomFor(class) {
		n := p.in.Order.Next(open)
		u := &open[n]
		if limits[u.Team] == 0 {
			open = slices.Delete(open, n, n+1)
			continue
		}
		if !p.placeHead(queues[u.Team], u, class) {
			p.hold(&queues[u.Team][0])
			open = slices.Delete(open, n, n+1)
			continue
		}
		limits[u.Team]--
		queues[u.Team] = queues[u.Team][1:]
		if len(queues[u.Team]) == 0 {
			open = slices.Delete(open, n, n+1)
			continue
		}
		u.Oldest = queues[u.Team][0].Submitted
	}
}

// useOf returns the use of the team with the starts of this call.
func (p *placer) useOf(t *TeamQueue) TeamUse {
	u := t.TeamUse
	for _, s := range p.starts {
		if s.Task.Team == t.Team {
			u.Use += s.Size.Dominant(p.total)
		}
	}
	return u
}

// limitOf returns how many more tasks the team may start, or a negative number
// for no bound.
func (p *placer) limitOf(t *TeamQueue) int {
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

// roomFor reports whether the class may take one more slot of the pool.
func (p *placer) roomFor(class api.Class) bool {
	if p.in.Attempts > 0 && p.tries >= p.in.Attempts {
		return false
	}
	slots := float64(p.total.Slots)
	if class == api.ClassLong {
		return float64(p.long+1) <= slots*(1-p.in.Classes.QuickReserve)
	}
	if !p.longWaits() {
		return true
	}
	return float64(p.quick+1) <= slots*(1-p.in.Classes.LongReserve)
}

func (p *placer) longWaits() bool {
	for n := range p.in.Teams {
		if len(p.in.Teams[n].Long) > 0 {
			return true
		}
	}
	return false
}

// placeHead places the first task of the queue and adds it to the team's use.
func (p *placer) placeHead(queue []Task, u *TeamUse, class api.Class) bool {
	t := &queue[0]
	p.tries++
	size := p.sizeOf(t)
	w := p.choose(t, size)
	if w == nil {
		return false
	}
	w.Used = w.Used.Add(size)
	p.onRack[rackKey{t.Queue, w.Zone, w.Rack}]++
	u.Use += size.Dominant(p.total)
	if class == api.ClassLong {
		p.long++
	} else {
		p.quick++
	}
	p.starts = append(p.starts, Start{Task: *t, Worker: w.ID, Size: size})
	return true
}

// sizeOf returns the estimate of the task. A corrected size never keeps a task
// from running alone on the largest worker.
func (p *placer) sizeOf(t *Task) Size {
	if p.in.Estimator == nil {
		return t.Declared
	}
	return p.in.Estimator.Size(t).Min(maxSize(p.largest, t.Declared))
}

func maxSize(a, b Size) Size {
	return Size{
		max(a.Slots, b.Slots), max(a.Processors, b.Processors),
		max(a.MemoryMB, b.MemoryMB), max(a.Accelerators, b.Accelerators),
	}
}
