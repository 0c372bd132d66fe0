package placement

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Thresholds for parking tasks and suspecting workers.
const (
	// parkAfter is the number of healthy workers on which a task must fail to be
	// parked.
	parkAfter = 3
	// suspectAfter is the number of consecutive failures after which a worker may
	// be suspect.
	suspectAfter = 4
	// suspectQueues is the minimum number of distinct reliable queues among those
	// failures. Queues of different teams are distinct.
	suspectQueues = 2
	// maxFailureRate is the failure rate up to which a queue counts as reliable.
	maxFailureRate = 0.5
	// outcomeWeight is the weight of a new outcome in the failure rate of a queue.
	outcomeWeight = 0.1
)

// workerRecord holds the outcomes on one worker since its last success.
type workerRecord struct {
	consecutiveFailures int
	failuresByQueue     map[queueKey]int
	succeeded           bool
}

// Outcomes tracks on which workers tasks succeed and fail, to identify tasks to
// park and suspect workers. It is not safe for concurrent use.
type Outcomes struct {
	workers      map[string]*workerRecord
	failureRates map[queueKey]float64
}

// NewOutcomes returns an empty record.
func NewOutcomes() *Outcomes {
	return &Outcomes{workers: map[string]*workerRecord{}, failureRates: map[queueKey]float64{}}
}

// Succeeded records that the task succeeded on the worker.
func (o *Outcomes) Succeeded(t *Task, worker string) {
	key := queueKey{t.Team, t.Queue}
	o.failureRates[key] *= 1 - outcomeWeight
	o.workers[worker] = &workerRecord{succeeded: true}
}

// Failed records that the task failed on the worker.
func (o *Outcomes) Failed(t *Task, worker string) {
	key := queueKey{t.Team, t.Queue}
	w := o.workers[worker]
	if w == nil {
		w = &workerRecord{}
		o.workers[worker] = w
	}
	if w.failuresByQueue == nil {
		w.failuresByQueue = map[queueKey]int{}
	}
	w.consecutiveFailures++
	w.failuresByQueue[key]++
	// Failures on a suspect worker say little about the queue.
	if w.consecutiveFailures <= suspectAfter {
		o.failureRates[key] += outcomeWeight * (1 - o.failureRates[key])
	}
}

// Forget discards the record of a worker, for use after a repair.
func (o *Outcomes) Forget(worker string) { delete(o.workers, worker) }

// Suspect reports whether the worker fails tasks that succeed elsewhere: it had
// at least suspectAfter consecutive failures, which include tasks of at least
// suspectQueues queues with a low failure rate.
func (o *Outcomes) Suspect(worker string) bool {
	w := o.workers[worker]
	if w == nil || w.consecutiveFailures < suspectAfter {
		return false
	}
	reliable := 0
	for key := range w.failuresByQueue {
		if o.failureRates[key] <= maxFailureRate {
			reliable++
		}
	}
	return reliable >= suspectQueues
}

// Suspects returns the ids of the suspect workers in ascending order.
func (o *Outcomes) Suspects() []string {
	var out []string
	for _, id := range slices.SortedFunc(maps.Keys(o.workers), cmp.Compare[string]) {
		if o.Suspect(id) {
			out = append(out, id)
		}
	}
	return out
}

// ParkReason returns the reason to park the task, or "" if it may be placed
// again. A task is parked once it has failed on parkAfter distinct workers that
// are not suspect.
func (o *Outcomes) ParkReason(t *Task) string {
	healthy := 0
	for n, id := range t.FailedOn {
		if !slices.Contains(t.FailedOn[:n], id) && !o.Suspect(id) {
			healthy++
		}
	}
	if healthy < parkAfter {
		return ""
	}
	return fmt.Sprintf("failed on %d healthy workers, last on %s", healthy, t.FailedOn[len(t.FailedOn)-1])
}
