package placement

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Bounds for judging tasks and workers by their outcomes.
const (
	// parkAfter is the number of healthy workers on which a task must fail.
	parkAfter = 3
	// suspectAfter is the number of failures in a row that make a worker suspect.
	suspectAfter = 4
	// suspectStreams is the number of distinct streams among those failures.
	suspectStreams = 2
	// maxFailureRate is the rate of failures elsewhere up to which a stream counts as sound.
	maxFailureRate = 0.5
	// outcomeWeight is the weight of a new outcome in the rate of a stream.
	outcomeWeight = 0.1
)

// workerRecord is the record of one worker.
type workerRecord struct {
	failures  int
	streams   map[stream]int
	succeeded bool
}

// Outcomes judges tasks and workers by what succeeded and failed where. It is
// not safe for concurrent use.
type Outcomes struct {
	workers map[string]*workerRecord
	rates   map[stream]float64
}

// NewOutcomes returns an empty record.
func NewOutcomes() *Outcomes {
	return &Outcomes{workers: map[string]*workerRecord{}, rates: map[stream]float64{}}
}

// Succeeded records that the task succeeded on the worker.
func (o *Outcomes) Succeeded(t *Task, worker string) {
	key := stream{t.Team, t.Queue}
	o.rates[key] *= 1 - outcomeWeight
	o.workers[worker] = &workerRecord{succeeded: true}
}

// Failed records that the task failed on the worker.
func (o *Outcomes) Failed(t *Task, worker string) {
	key := stream{t.Team, t.Queue}
	w := o.workers[worker]
	if w == nil {
		w = &workerRecord{}
		o.workers[worker] = w
	}
	if w.streams == nil {
		w.streams = map[stream]int{}
	}
	w.failures++
	w.streams[key]++
	// Failures on a suspect worker say little about the stream.
	if w.failures <= suspectAfter {
		o.rates[key] += outcomeWeight * (1 - o.rates[key])
	}
}

// Forget drops the record of a worker, after a repair.
func (o *Outcomes) Forget(worker string) { delete(o.workers, worker) }

// Suspect reports whether the worker fails tasks that succeed elsewhere: many
// failures in a row, of several streams that mostly succeed.
func (o *Outcomes) Suspect(worker string) bool {
	w := o.workers[worker]
	if w == nil || w.failures < suspectAfter {
		return false
	}
	sound := 0
	for key := range w.streams {
		if o.rates[key] <= maxFailureRate {
			sound++
		}
	}
	return sound >= suspectStreams
}

// Suspects returns the suspect workers in ascending order of id.
func (o *Outcomes) Suspects() []string {
	var out []string
	for _, id := range slices.SortedFunc(maps.Keys(o.workers), cmp.Compare[string]) {
		if o.Suspect(id) {
			out = append(out, id)
		}
	}
	return out
}

// Park returns why the task must not be placed again, or "" if it may be: it
// failed on several workers that are not suspect.
func (o *Outcomes) Park(t *Task) string {
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
