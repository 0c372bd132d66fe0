package placement

import (
	"slices"

	"magnoliastand.example/api"
)

// Weights of the score of a worker. Lower scores are better.
const (
	// rackWeight is the cost of each task of the same queue placed on the rack.
	rackWeight = 0.02
	// failedWeight is the cost of a worker on which the task failed before.
	failedWeight = 10.0
	// acceleratorWeight is the cost of placing a task that uses no accelerator on
	// a worker that has some.
	acceleratorWeight = 1.0
)

// chooseWorker returns the open worker with the lowest score among those with
// capacity for the size, or nil if there is none. Ties are broken in favor of
// the earlier worker of the input.
func (p *placer) chooseWorker(t *Task, size Size) *Worker {
	var best *Worker
	var bestScore float64
	for n := range p.workers {
		w := &p.workers[n]
		if !w.Open || (p.reserved[n] && t.Class == api.ClassLong) || !size.Fits(p.available(t, w)) {
			continue
		}
		score := p.score(t, size, w)
		if best == nil || score < bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// reserveWorker reserves the least used open worker with enough capacity for a
// long task that is next in order but cannot be placed yet. No further long
// task is placed on a reserved worker in this call, so that smaller tasks do not
// starve the larger one. At most half of the workers are reserved.
func (p *placer) reserveWorker(t *Task) {
	if t.Class != api.ClassLong || 2*(p.reservedCount+1) > len(p.workers) {
		return
	}
	size := p.reservedSize(t)
	best := -1
	var least float64
	for n := range p.workers {
		w := &p.workers[n]
		if !w.Open || p.reserved[n] || !size.Fits(w.Capacity) {
			continue
		}
		if use := w.Used.DominantShare(w.Capacity); best < 0 || use < least {
			best, least = n, use
		}
	}
	if best >= 0 {
		p.reserved[best] = true
		p.reservedCount++
	}
}

// available returns the free capacity of the worker for the class of the task.
// Long tasks leave the quick reserve of processors and memory free, except on
// an empty worker.
func (p *placer) available(t *Task, w *Worker) Size {
	free := w.Capacity.Sub(w.Used)
	if t.Class != api.ClassLong || w.Used == (Size{}) {
		return free
	}
	return free.Sub(w.Capacity.scale(p.input.Classes.QuickReserve))
}

// score favors workers with more free capacity, racks with fewer tasks of the
// queue, and workers on which the task has not failed.
func (p *placer) score(t *Task, size Size, w *Worker) float64 {
	score := w.Used.Add(size).DominantShare(w.Capacity)
	if len(p.tasksOnRack) > 0 {
		score += rackWeight * float64(p.tasksOnRack[rackKey{t.Queue, w.Zone, w.Rack}])
	}
	if slices.Contains(t.FailedOn, w.ID) {
		score += failedWeight
	}
	if t.Declared.Accelerators == 0 && w.Capacity.Accelerators > 0 {
		score += acceleratorWeight
	}
	return score
}

// FitsNowhere reports whether the declared size exceeds the capacity of every
// worker, so that the task can be refused immediately. Workers that are not
// open are included, since they may become open again.
func FitsNowhere(t *Task, workers []Worker) bool {
	for n := range workers {
		if t.Declared.Fits(workers[n].Capacity) {
			return false
		}
	}
	return true
}
