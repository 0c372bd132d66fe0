package placement

import (
	"slices"

	"magnoliastand.example/api"
)

// Weights of the score of a worker; lower scores are better.
const (
	// rackWeight is the cost of each task of the same queue on the same rack.
	rackWeight = 0.02
	// failedWeight is the cost of a worker on which the task failed before.
	failedWeight = 10.0
	// acceleratorWeight is the cost of blocking accelerators that the task does not use.
	acceleratorWeight = 1.0
)

// choose returns the best open worker with room for the size, or nil. Equal
// scores go to the earlier worker of the input.
func (p *placer) choose(t *Task, size Size) *Worker {
	var best *Worker
	var bestScore float64
	for n := range p.workers {
		w := &p.workers[n]
		if !w.Open || (p.held[n] && t.Class == api.ClassLong) || !size.Fits(p.room(t, w)) {
			continue
		}
		score := p.score(t, size, w)
		if best == nil || score < bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// hold keeps the room of the emptiest worker for a long task that is next in
// order and fits nowhere yet, so that smaller tasks do not pass it for ever. At
// most half of the workers are held.
func (p *placer) hold(t *Task) {
	if t.Class != api.ClassLong || 2*(p.holds+1) > len(p.workers) {
		return
	}
	size := p.sizeOf(t)
	best := -1
	var least float64
	for n := range p.workers {
		w := &p.workers[n]
		if !w.Open || p.held[n] || !size.Fits(w.Capacity) {
			continue
		}
		if use := w.Used.Dominant(w.Capacity); best < 0 || use < least {
			best, least = n, use
		}
	}
	if best >= 0 {
		p.held[best] = true
		p.holds++
	}
}

// room returns what the worker has left for the class of the task. Long tasks
// leave the quick reserve of each resource free, but on an empty worker.
func (p *placer) room(t *Task, w *Worker) Size {
	free := w.Capacity.Sub(w.Used)
	if t.Class != api.ClassLong || w.Used == (Size{}) {
		return free
	}
	return free.Sub(w.Capacity.scale(p.in.Classes.QuickReserve))
}

// score prefers workers with much left, racks with few tasks of the queue, and
// workers on which the task did not fail.
func (p *placer) score(t *Task, size Size, w *Worker) float64 {
	score := w.Used.Add(size).Dominant(w.Capacity)
	if len(p.onRack) > 0 {
		score += rackWeight * float64(p.onRack[rackKey{t.Queue, w.Zone, w.Rack}])
	}
	if slices.Contains(t.FailedOn, w.ID) {
		score += failedWeight
	}
	if t.Declared.Accelerators == 0 && w.Capacity.Accelerators > 0 {
		score += acceleratorWeight
	}
	return score
}

// FitsNowhere reports whether no worker, however empty, could run the declared
// size. Such a task is refused at once. Workers that are not open count, since
// they may return.
func FitsNowhere(t *Task, workers []Worker) bool {
	for n := range workers {
		if t.Declared.Fits(workers[n].Capacity) {
			return false
		}
	}
	return true
}
