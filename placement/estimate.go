package placement

import "math"

// Parameters of the corrections.
const (
	// leastWeight is the weight of a new report once many have arrived.
	leastWeight = 0.05
	// deviations is how many mean deviations above the mean are reserved.
	deviations = 1.0
	// minRatio and maxRatio bound the correction of a declared size.
	minRatio = 0.05
	maxRatio = 20.0
)

// stream identifies tasks that are corrected together.
type stream struct{ team, queue string }

// ratio tracks the ratio of actual to declared values.
type ratio struct {
	mean, deviation float64
	reports         int
}

func (r *ratio) observe(x float64) {
	if r.reports == 0 {
		r.mean = 1
	}
	r.reports++
	weight := max(leastWeight, 1/float64(r.reports+1))
	r.deviation += weight * (math.Abs(x-r.mean) - r.deviation)
	r.mean += weight * (x - r.mean)
}

func (r *ratio) upper() float64 {
	if r.reports == 0 {
		return 1
	}
	return min(max(r.mean+deviations*r.deviation, minRatio), maxRatio)
}

func (r *ratio) middle() float64 {
	if r.reports == 0 {
		return 1
	}
	return min(max(r.mean, minRatio), maxRatio)
}

// corrections of one stream.
type corrections struct{ processors, memory, run ratio }

// Estimator corrects declared sizes and run times for each team and queue.
// The declared values are priors that count as one report. It is not safe for
// concurrent use.
type Estimator struct {
	streams map[stream]*corrections
}

// NewEstimator returns an Estimator without reports.
func NewEstimator() *Estimator { return &Estimator{streams: map[stream]*corrections{}} }

// Observe records the use of a task as its worker reported it. A zero run
// means that the task is still running.
func (e *Estimator) Observe(t *Task, used Size, run Millis) {
	key := stream{t.Team, t.Queue}
	c := e.streams[key]
	if c == nil {
		c = &corrections{}
		e.streams[key] = c
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

// Size returns the corrected size of the task. Slots and accelerators are
// taken as declared.
func (e *Estimator) Size(t *Task) Size {
	c := e.streams[stream{t.Team, t.Queue}]
	if c == nil {
		return t.Declared
	}
	s := t.Declared
	s.Processors = int(float64(s.Processors) * c.processors.upper())
	s.MemoryMB = int(float64(s.MemoryMB) * c.memory.upper())
	return s
}

// Expected returns the size that the task will use on average. Teams are
// charged by it until the use is reported; room is reserved by Size.
func (e *Estimator) Expected(t *Task) Size {
	c := e.streams[stream{t.Team, t.Queue}]
	if c == nil {
		return t.Declared
	}
	s := t.Declared
	s.Processors = int(float64(s.Processors) * c.processors.middle())
	s.MemoryMB = int(float64(s.MemoryMB) * c.memory.middle())
	return s
}

// Run returns the corrected run time of the task.
func (e *Estimator) Run(t *Task) Millis {
	c := e.streams[stream{t.Team, t.Queue}]
	if c == nil {
		return t.DeclaredRun
	}
	return Millis(float64(t.DeclaredRun) * c.run.upper())
}
