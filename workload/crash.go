package workload

import "slices"

const (
	// A task is given up once conclusiveCrashes workers have crashed under runs that they
	// had confirmed, and it had just started on each or was alone on the last one; and in
	// any case once maxCrashes have. The platform allows for giving up after two and wants
	// no sixth start.
	conclusiveCrashes = 3
	maxCrashes        = 5
	// isolatingCrashes is the number of crashes just after a start from which on a task
	// runs alone.
	isolatingCrashes = 2
	// silenceMemory is how long a silent worker whose runs were given up is remembered:
	// its next incarnation shows that it had crashed. In milliseconds.
	silenceMemory = 60_000
	// maxSilences bounds the silent workers that are remembered.
	maxSilences = 4096
)

// Suspicion is how likely a task is to crash its worker.
type Suspicion uint8

// Degrees of suspicion.
const (
	// Unsuspected tasks share workers with any others.
	Unsuspected Suspicion = iota
	// Suspected tasks had just started when their worker crashed. They are kept apart
	// from each other, so that the next crash tells them apart.
	Suspected
	// Isolated tasks run alone on their worker.
	Isolated
)

// CrashedRun is a run that was on a worker when it crashed.
type CrashedRun struct {
	_    struct{} `cbor:",toarray"`
	Task TaskRef
	Run  int64
	// Fresh is set if the run had just started, or may have been about to.
	Fresh bool
	// Begun is set if the worker had confirmed the run. Neither is set if the worker ended
	// with the others of its rack.
	Begun bool
	// Alone is set if the worker ran nothing else.
	Alone bool
}

// Crash records the runs that were on an incarnation of a worker when it crashed. Each run
// counts once.
type Crash struct {
	Worker      string       `cbor:"1,keyasint"`
	Incarnation Millis       `cbor:"2,keyasint"`
	Address     string       `cbor:"3,keyasint,omitempty"`
	Runs        []CrashedRun `cbor:"4,keyasint"`
	// Silent is set if the worker was only silent until no lease on it could stand. Its
	// runs count once another incarnation registers under its ID or at its address, and
	// not if it returns itself.
	Silent bool `cbor:"5,keyasint,omitempty"`
	// Expires is set by builds that forget a silent worker after a minute whatever follows,
	// and before only if it is Returned. Entries without it are applied as they were when
	// they were written.
	Expires bool `cbor:"6,keyasint,omitempty"`
	// Returned is set if a list of the incarnation shows that it had only been silent. That
	// it announces itself does not: the announcement may have been delayed.
	Returned bool `cbor:"7,keyasint,omitempty"`
}

// silence is a Crash that may yet prove to be one. At is the leader's clock.
type silence struct {
	_     struct{} `cbor:",toarray"`
	Crash Crash
	At    Millis
}

// ClearSuspicion records that a run of a suspected task has outlived the time in which it
// would have crashed its worker.
type ClearSuspicion struct {
	Task TaskRef `cbor:"1,keyasint"`
	Run  int64   `cbor:"2,keyasint"`
	// Noted is set if the run began only after it had been moved: just the crash that was
	// noted for it is dropped.
	Noted bool `cbor:"3,keyasint,omitempty"`
	// Outlived is set if the run has lived so long that no crash under an earlier run of the
	// task is a sign against it: they are forgotten.
	Outlived bool `cbor:"4,keyasint,omitempty"`
}

// taskCrashes counts the workers that crashed under a task.
type taskCrashes struct {
	_                       struct{} `cbor:",toarray"`
	Occurrence, Step, Index int
	// Runs are the runs that were counted.
	Runs []int64
	// Fresh is how many of them had just started, since the task was last cleared.
	Fresh int
	// Begun is how many of them had certainly begun.
	Begun int
}

// crashesUnder returns the record of a task, or nil.
func (j *Job) crashesUnder(r TaskRef) *taskCrashes {
	for i := range j.Crashes {
		if c := &j.Crashes[i]; c.Occurrence == r.Occurrence && c.Step == r.Step && c.Index == r.Index {
			return c
		}
	}
	return nil
}

// CrashesUnder returns how many workers have crashed under a task.
func (j *Job) CrashesUnder(r TaskRef) int {
	if c := j.crashesUnder(r); c != nil {
		return len(c.Runs)
	}
	return 0
}

// SuspicionOf returns how likely a task is to crash its worker.
func (j *Job) SuspicionOf(r TaskRef) Suspicion {
	c := j.crashesUnder(r)
	switch {
	case c == nil || c.Fresh == 0 && len(c.Runs) < conclusiveCrashes:
		return Unsuspected
	case c.Fresh >= isolatingCrashes || len(c.Runs) >= conclusiveCrashes:
		return Isolated
	}
	return Suspected
}

// isReplaced reports whether another incarnation is registered under the ID of a worker
// that crashed, or at its address.
func (s *State) isReplaced(c *Crash) bool {
	if w := s.workers[c.Worker]; w != nil && w.Incarnation > c.Incarnation {
		return true
	}
	for _, w := range s.workers {
		if w.Address == c.Address && w.ID != c.Worker && w.Incarnation > c.Incarnation {
			return true
		}
	}
	return false
}

// clearSuspicion forgets that a task had just started when its workers crashed.
func (j *Job) clearSuspicion(r TaskRef) {
	if c := j.crashesUnder(r); c != nil {
		c.Fresh = 0
	}
}

func (s *State) recordCrash(c *Crash, now Millis) error {
	if c.Returned {
		s.silences = slices.DeleteFunc(s.silences, func(n silence) bool {
			returned := n.Crash.Worker == c.Worker && n.Crash.Incarnation == c.Incarnation
			if returned {
				s.countSilentRuns(&n.Crash, -1)
			}
			return returned
		})
		return nil
	}
	if c.Silent && !s.isReplaced(c) {
		s.addSilence(silence{Crash: *c, At: now})
		return nil
	}
	if c.Silent {
		s.proven = append(s.proven, *c)
	}
	for i := range c.Runs {
		s.countCrash(&c.Runs[i], now)
	}
	return nil
}

// countCrash counts a crash under a task once for each run, and gives the task up with its
// job when the crashes leave no doubt.
func (s *State) countCrash(c *CrashedRun, now Millis) {
	j, t := s.TaskOf(c.Task)
	if t == nil || j.State.Finished() || t.State == TaskDone || c.Run < 1 || c.Run > t.Run {
		return
	}
	under := j.crashesUnder(c.Task)
	if under == nil {
		j.Crashes = append(j.Crashes, taskCrashes{Occurrence: c.Task.Occurrence, Step: c.Task.Step, Index: c.Task.Index})
		under = &j.Crashes[len(j.Crashes)-1]
	}
	if slices.Contains(under.Runs, c.Run) {
		return
	}
	under.Runs = append(under.Runs, c.Run)
	if c.Fresh {
		under.Fresh++
	}
	if c.Begun {
		under.Begun++
	}
	n := len(under.Runs)
	switch {
	case under.Begun >= conclusiveCrashes && (c.Alone || under.Fresh >= conclusiveCrashes):
	case n >= maxCrashes:
	default:
		return
	}
	s.givenUp = append(s.givenUp, GivenUp{Task: c.Task, Crashes: n})
	s.markRunning(j)
	s.finish(j, JobFailed, now)
}

func (s *State) clearSuspicion(c *ClearSuspicion) error {
	j, t := s.TaskOf(c.Task)
	switch {
	case t == nil || t.State != TaskAssigned || t.Run != c.Run:
	case c.Noted:
		j.dropNote(c.Task, c.Run)
	case c.Outlived:
		j.forgetCrashes(c.Task)
	default:
		j.clearSuspicion(c.Task)
	}
	return nil
}

func (j *Job) forgetCrashes(r TaskRef) {
	j.Crashes = slices.DeleteFunc(j.Crashes, func(c taskCrashes) bool {
		return c.Occurrence == r.Occurrence && c.Step == r.Step && c.Index == r.Index
	})
	if len(j.Crashes) == 0 {
		j.Crashes = nil
	}
}

// noteCrash notes what a crash means for a run that has been moved. The first crash under
// the run is kept.
func (s *State) noteCrash(c *MoveRuns, r *CrashedRun) {
	j, t := s.TaskOf(r.Task)
	if t == nil || t.State != TaskAssigned || t.Run != r.Run || t.Worker != c.Worker || t.Incarnation != c.To {
		return
	}
	if _, noted := j.NotedCrash(r.Task, r.Run); !noted {
		j.Noted = append(j.Noted, *r)
	}
}

// NotedCrash returns what the crash of an earlier incarnation of its worker means for a
// run. It counts once the run is known to have ended with that incarnation.
func (j *Job) NotedCrash(r TaskRef, run int64) (CrashedRun, bool) {
	for i := range j.Noted {
		if j.Noted[i].Task == r && j.Noted[i].Run == run {
			return j.Noted[i], true
		}
	}
	return CrashedRun{}, false
}

func (j *Job) dropNote(r TaskRef, run int64) {
	j.Noted = slices.DeleteFunc(j.Noted, func(c CrashedRun) bool { return c.Task == r && c.Run == run })
	if len(j.Noted) == 0 {
		j.Noted = nil
	}
}

// GivenUp is a task that was given up with its job, other than by the end of a run that its
// worker reported.
type GivenUp struct {
	Task TaskRef
	// Crashes is the number of workers that crashed under the task. If it is 0, the task has
	// failed as often as a new document allows.
	Crashes int
}

// TakeGivenUp returns the tasks that were given up since the last call.
func (s *State) TakeGivenUp() []GivenUp {
	out := s.givenUp
	s.givenUp = nil
	return out
}

// TakeProven returns the crashes of silent workers that were proven since the last call.
func (s *State) TakeProven() []Crash {
	out := s.proven
	s.proven = nil
	return out
}

// addSilence remembers a silent worker and forgets those that are too old.
func (s *State) addSilence(n silence) {
	old := 0
	for old < len(s.silences) && (s.silences[old].At < n.At-silenceMemory || len(s.silences)-old >= maxSilences) {
		s.countSilentRuns(&s.silences[old].Crash, -1)
		old++
	}
	s.silences = append(slices.Clone(s.silences[old:]), n)
	s.countSilentRuns(&n.Crash, 1)
}

// countSilentRuns adds n to the counts of the silent runs of a crash.
func (s *State) countSilentRuns(c *Crash, n int) {
	for i := range c.Runs {
		task := c.Runs[i].Task
		s.silentRuns[task] += n
		if s.silentRuns[task] == 0 {
			delete(s.silentRuns, task)
		}
	}
}

// InDoubtUntil returns until when a task should not start: silent workers that may have
// crashed under it would, with those that did, be as many as give it up. It returns 0 if
// the task may start.
func (s *State) InDoubtUntil(r TaskRef, now Millis) Millis {
	if s.silentRuns[r] == 0 {
		return 0
	}
	j := s.jobs[r.Job]
	if j == nil {
		return 0
	}
	allowed := maxCrashes - 1 - j.CrashesUnder(r)
	if s.silentRuns[r] <= allowed {
		return 0
	}
	var ends []Millis
	for i := range s.silences {
		n := &s.silences[i]
		silent := slices.ContainsFunc(n.Crash.Runs, func(c CrashedRun) bool { return c.Task == r && !j.hasCrashed(r, c.Run) })
		if end := n.At + silenceMemory; silent && end > now {
			ends = append(ends, end)
		}
	}
	if len(ends) <= allowed {
		return 0
	}
	return ends[len(ends)-1-max(allowed, 0)]
}

// IsSilent reports whether the runs of an incarnation of a worker were given up and it may
// yet prove to have crashed.
func (s *State) IsSilent(worker string, incarnation Millis) bool {
	return slices.ContainsFunc(s.silences, func(n silence) bool {
		return n.Crash.Worker == worker && n.Crash.Incarnation == incarnation
	})
}

// hasCrashed reports whether a crash under a run of a task was counted.
func (j *Job) hasCrashed(r TaskRef, run int64) bool {
	c := j.crashesUnder(r)
	return c != nil && slices.Contains(c.Runs, run)
}

// resolveSilences counts the crashes that the registration of a worker proves: another
// incarnation of a silent worker, or another worker at its address.
func (s *State) resolveSilences(w *Worker, now Millis) {
	if len(s.silences) == 0 {
		return
	}
	var proven []Crash
	s.silences = slices.DeleteFunc(s.silences, func(n silence) bool {
		c := &n.Crash
		returned := c.Worker == w.ID && c.Incarnation == w.Incarnation && !c.Expires
		replaced := w.Incarnation > c.Incarnation && (c.Worker == w.ID || c.Address == w.Address)
		forgotten := c.Expires && n.At+silenceMemory <= now
		if replaced && !forgotten {
			proven = append(proven, *c)
		}
		if returned || replaced || forgotten {
			s.countSilentRuns(c, -1)
			return true
		}
		return false
	})
	s.proven = append(s.proven, proven...)
	for i := range proven {
		for k := range proven[i].Runs {
			s.countCrash(&proven[i].Runs[k], now)
		}
	}
}
