package replay

import (
	"magnoliastand.example/placement"
)

// Parameters of workers.
const (
	// throttledSpeed is the speed of a throttled task relative to its full speed.
	throttledSpeed = 0.25
	// faultyRunTime is the time after which a task fails on a faulty worker, in
	// milliseconds.
	faultyRunTime = 300.0
	// usageReportDelay is the time from the start of a task to the report of its
	// usage, in milliseconds.
	usageReportDelay placement.Millis = 5_000
	// never is a time after the end of every replay.
	never = placement.Millis(1) << 60
)

// runningTask is a job on a worker.
type runningTask struct {
	*job
	placed placement.Running
	// chargedSize is the size charged to the team, in instances.
	chargedSize float64
	// checkpoint is the work that remained at the last checkpoint.
	checkpoint float64
	// reported is set once the worker has reported the usage of the task.
	reported bool
}

// worker is an instance and the tasks that it runs.
type worker struct {
	id         string
	zone       string
	rack       string
	capacity   placement.Size
	used       placement.Size
	tasks      []*runningTask
	faultyFrom placement.Millis
	failAt     placement.Millis
	// nextChange is the time at which a reboot or repair in progress ends.
	nextChange placement.Millis
	boots      int
}

func newWorkers(sc *scenario) []*worker {
	var out []*worker
	for n := range instances {
		w := &worker{
			id: instanceID(n), zone: zoneOf(n, sc.deployment), rack: rackName(n),
			capacity: placement.Size{
				Slots: slotsPerInstance, Processors: 1000 * sc.deployment.Cores, MemoryMB: sc.deployment.MemoryMB,
			},
			faultyFrom: never, failAt: never,
		}
		if at, ok := sc.faultyFrom[w.id]; ok {
			w.faultyFrom = at
		}
		if at, ok := sc.failAt[w.id]; ok {
			w.failAt = at
		}
		if w.rackName() == sc.powerLossRack {
			w.failAt = min(w.failAt, sc.powerLossAt)
		}
		out = append(out, w)
	}
	return out
}

func (w *worker) rackName() string { return w.zone + "/" + w.rack }

// advance runs the tasks of the worker for one step and returns those that ended.
// If the tasks need more processors than the worker has, all slow down equally.
func (w *worker) advance(now, step placement.Millis) []*runningTask {
	if len(w.tasks) == 0 {
		return nil
	}
	requested := 0
	for _, r := range w.tasks {
		requested += r.actual.Processors
	}
	speedLimit := min(1, float64(w.capacity.Processors)/float64(max(requested, 1)))
	var ended []*runningTask
	kept := w.tasks[:0]
	for _, r := range w.tasks {
		speed := speedLimit
		if r.placed.Stage == placement.Throttle {
			speed *= throttledSpeed
		}
		r.remaining -= speed * float64(step)
		if r.remaining <= 0 || (now >= w.faultyFrom && float64(now-r.placed.Started) >= faultyRunTime) {
			ended = append(ended, r)
			w.used = w.used.Sub(r.placed.Size)
			continue
		}
		kept = append(kept, r)
	}
	clear(w.tasks[len(kept):])
	w.tasks = kept
	return ended
}

// removeTask removes a task from the worker and returns it, or nil if the worker
// does not run it.
func (w *worker) removeTask(id string) *runningTask {
	for n, r := range w.tasks {
		if r.ID == id {
			w.tasks = append(w.tasks[:n], w.tasks[n+1:]...)
			w.used = w.used.Sub(r.placed.Size)
			return r
		}
	}
	return nil
}
