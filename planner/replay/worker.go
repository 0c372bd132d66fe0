package replay

import (
	"magnoliastand.example/placement"
)

// Behaviour of workers.
const (
	// throttledRate is the speed of a throttled task.
	throttledRate = 0.25
	// badRun is how long a bad worker takes to fail a task, in milliseconds.
	badRun = 300.0
	// reportLag is how long after its start the use of a task is reported, in milliseconds.
	reportLag placement.Millis = 5_000
	never                      = placement.Millis(1) << 60
)

// running is a job on a worker.
type running struct {
	*job
	on         placement.Running
	est        float64
	checkpoint float64
	// reported is set once the worker reported what the task uses.
	reported bool
}

// worker is one instance with the tasks that it runs.
type worker struct {
	id       string
	zone     string
	rack     string
	capacity placement.Size
	used     placement.Size
	tasks    []*running
	badFrom  placement.Millis
	failAt   placement.Millis
	// nextAt is when the platform next changes the instance.
	nextAt placement.Millis
	boots  int
}

func newWorkers(sc *scenario) []*worker {
	var out []*worker
	for n := range instances {
		w := &worker{
			id: instanceID(n), zone: zoneOf(n, sc.dep), rack: rackName(n),
			capacity: placement.Size{
				Slots: slotsEach, Processors: 1000 * sc.dep.Cores, MemoryMB: sc.dep.MemoryMB,
			},
			badFrom: never, failAt: never,
		}
		if at, ok := sc.bad[w.id]; ok {
			w.badFrom = at
		}
		if at, ok := sc.failures[w.id]; ok {
			w.failAt = at
		}
		if w.rackName() == sc.darkRack {
			w.failAt = min(w.failAt, sc.powerLoss)
		}
		out = append(out, w)
	}
	return out
}

func (w *worker) rackName() string { return w.zone + "/" + w.rack }

// advance runs the worker's tasks for a step and returns those that ended.
func (w *worker) advance(now, step placement.Millis) []*running {
	if len(w.tasks) == 0 {
		return nil
	}
	asked := 0
	for _, r := range w.tasks {
		asked += r.actual.Processors
	}
	rate := min(1, float64(w.capacity.Processors)/float64(max(asked, 1)))
	var ended []*running
	kept := w.tasks[:0]
	for _, r := range w.tasks {
		speed := rate
		if r.on.Stage == placement.Throttle {
			speed *= throttledRate
		}
		r.left -= speed * float64(step)
		if r.left <= 0 || (now >= w.badFrom && float64(now-r.on.Started) >= badRun) {
			ended = append(ended, r)
			w.used = w.used.Sub(r.on.Size)
			continue
		}
		kept = append(kept, r)
	}
	clear(w.tasks[len(kept):])
	w.tasks = kept
	return ended
}

// take removes a task from the worker.
func (w *worker) take(id string) *running {
	for n, r := range w.tasks {
		if r.ID == id {
			w.tasks = append(w.tasks[:n], w.tasks[n+1:]...)
			w.used = w.used.Sub(r.on.Size)
			return r
		}
	}
	return nil
}
