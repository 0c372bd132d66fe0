package placement

import "math"

// Parameters of the correction of declared values.
const (
	// minReportWeight is the weight of a new report once many have been observed.
	minReportWeight = 0.05
	// reservedDeviations is the number of mean absolute deviations above the mean
	// that are reserved.
	reservedDeviations = 1.0
	// minRatio and maxRatio bound the correction of a declared value.
	minRatio = 0.05
	maxRatio = 20.0
)

// queueKey identifies the tasks of one team in one queue. Corrections and
// failure rates are kept for each key.
type queueKey struct{ team, queue string }

// ratio tracks the moving mean and mean absolute deviation of the ratio of
// actual to declared values.
type ratio struct {
	mean, deviation float64
	reports         int
}

func (r *ratio) observe(x float64) {
	if r.reports == 0 {
		r.mean = 1
	}
	r.reports++
	weight := max(minReportWeight, 1/float64(r.reports+1))
	r.deviation += weight * (math.Abs(x-r.mean) - r.deviation)
	r.mean += weight * (x - r.mean)
}

// upperBound returns the ratio to reserve, or 1 without reports.
func (r *ratio) upperBound() float64 {
	if r.reports == 0 {
		return 1
	}
	return min(max(r.mean+reservedDeviations*r.deviation, minRatio), maxRatio)
}

// boundedMean returns the expected ratio, or 1 without reports.
func (r *ratio) boundedMean() float64 {
	if r.reports == 0 {
		return 1
	}
	return min(max(r.mean, minRatio), maxRatio)
}

// queueCorrections holds the corrections for one team and queue.
type queueCorrections struct{ processors, memory, run ratio }

// Estimator corrects declared sizes and run times for each team and queue.
// A declared value is a prior with the weight of one report. An Estimator is
// not safe for concurrent use.
type Estimator struct {
	byQueue map[queueKey]*queueCorrections
}

// NewEstimator returns an Estimator without reports.
func NewEstimator() *Estimator { return &Estimator{byQueue: map[queueKey]*queueCorrections{}} }

// Observe records the resource usage of a task as reported by its worker. A run
// of 0 means that the task is still running.
func (e *Estimator) Observe(t *Task, used Size, run Millis) {
	key := queueKey{t.Team, t.Queue}
	c := e.byQueue[key]
	if c == nil {
		c = &queueCorrections{}
		e.byQueue[key] = c
	}
	if t.Declared.Processors > 0 {
		c.processors.observe(float64(used.Processors) / float64(t.Declared.Processors))
	}
	if t.Declared.MemoryMB > 0 {
		c.memory.observe(float64(used.MemoryMB) / float64(t.Declared.MemoryMB))
	}
	if t.DeclaredRun > 0 && run > 0 {
		c.run.observe(float64(run) / float64(t.DeclaredRun))
	}
}

// Size returns the corrected size to reserve for the task. Slots and
// accelerators are not corrected.
func (e *Estimator) Size(t *Task) Size {
	c := e.byQueue[queueKey{t.Team, t.Queue}]
	if c == nil {
		return t.Declared
	}
	s := t.Declared
	s.Processors = int(float64(s.Processors) * c.processors.upperBound())
	s.MemoryMB = int(float64(s.MemoryMB) * c.memory.upperBound())
	return s
}

// ExpectedSize returns the expected usage of the task. It is charged to the
// team until the actual usage is reported, whereas capacity is reserved by
// Size.
func (e *Estimator) ExpectedSize(t *Task) Size {
	c := e.byQueue[queueKey{t.Team, t.Queue}]
	if c == nil {
		return t.Declared
	}
	s := t.Declared
	s.Processors = int(float64(s.Processors) * c.processors.boundedMean())
	s.MemoryMB = int(float64(s.MemoryMB) * c.memory.boundedMean())
	return s
}

// Run returns the corrected run time of the task, including the reserved
// deviations.
func (e *Estimator) Run(t *Task) Millis {
	c := e.byQueue[queueKey{t.Team, t.Queue}]
	if c == nil {
		return t.DeclaredRun
	}
	return Millis(float64(t.DeclaredRun) * c.run.upperBound())
}
