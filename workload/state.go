package workload

import (
	"iter"
	"maps"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"magnoliastand.example/codec"
	"magnoliastand.example/invariant"
)

// Limits on decoded CBOR data.
const (
	maxItems = 1 << 20
	maxDepth = 32
)

var (
	encMode = codec.Encoder()
	decMode = codec.Decoder(codec.Limits{Items: maxItems, Depth: maxDepth})
)

// DecodeDocument parses the stored form of a document.
type DecodeDocument func(raw []byte) (Document, error)

// State is the replicated state machine. It is not safe for concurrent use.
type State struct {
	decode  DecodeDocument
	raw     []byte
	doc     Document
	queues  map[string]*Queue
	pools   map[string]*Pool
	teams   map[string]*Team
	keys    map[string]string
	jobs    map[string]*Job
	workers map[string]*Worker
	waves   map[int64]*Wave
	// zones holds the zones that are evacuated, or were within evacuationMemory.
	zones map[string]ZoneEvacuation
	// departures are in the order in which they were committed.
	departures []departure
	// silences are silent workers whose runs were given up, oldest first.
	silences []silence
	// forgetful is set while an entry of an older build is applied.
	forgetful bool
	// retained holds definitions that the document no longer has. It is not extended
	// while discarding is set, for an entry of a build that kept none.
	retained   retained
	discarding bool
	// appliedAt is the leader's clock at the last command.
	appliedAt Millis
	// givenUp holds the tasks given up since TakeGivenUp; it is not part of snapshots.
	givenUp []GivenUp
	// proven holds the crashes proven since TakeProven; it is not part of snapshots.
	proven []Crash

	// The remaining fields are indexes derived from those above; snapshots omit
	// them. runs, colocations and reserved are keyed by worker, poolMembers by pool,
	// teamUsage by team, pending by queue and active by job.
	runs        map[string]map[TaskRef]*Job
	colocations map[string]Colocation
	poolMembers map[string][]*Worker
	reserved    map[string]Size
	teamUsage   map[string]Size
	pending     map[string]int
	active      map[string]*Job
	// departed holds the latest incarnation of departures by worker.
	departed map[string]Millis
	// silentRuns counts the runs of silences by task.
	silentRuns map[TaskRef]int
}

// New returns an empty state.
func New(decode DecodeDocument) *State {
	s := &State{decode: decode}
	s.reset()
	return s
}

func (s *State) reset() {
	s.raw, s.doc, s.retained = nil, Document{}, retained{}
	s.queues, s.pools, s.teams, s.keys = map[string]*Queue{}, map[string]*Pool{}, map[string]*Team{}, map[string]string{}
	s.jobs, s.workers, s.waves = map[string]*Job{}, map[string]*Worker{}, map[int64]*Wave{}
	s.zones = map[string]ZoneEvacuation{}
	s.runs, s.reserved, s.teamUsage = map[string]map[TaskRef]*Job{}, map[string]Size{}, map[string]Size{}
	s.pending, s.active = map[string]int{}, map[string]*Job{}
	s.colocations, s.poolMembers = map[string]Colocation{}, map[string][]*Worker{}
	s.departures, s.departed = nil, map[string]Millis{}
	s.silences, s.silentRuns, s.givenUp = nil, map[TaskRef]int{}, nil
	s.proven, s.appliedAt = nil, 0
}

// AppliedAt returns the leader's clock at the last command, or 0 if it is not known.
func (s *State) AppliedAt() Millis { return s.appliedAt }

// Version returns the version of the document, or 0 if there is none yet.
func (s *State) Version() int64 { return s.doc.Version }

// Raw returns the stored form of the document. It must not be modified.
func (s *State) Raw() []byte { return s.raw }

// Document returns the document. It must not be modified.
func (s *State) Document() *Document { return &s.doc }

// Queue returns a queue of the document.
func (s *State) Queue(name string) (*Queue, bool) { q, ok := s.queues[name]; return q, ok }

// QueueOf returns the queue of a job: that of the document or, once that has none of the
// name, the one that was last in force while the job was unfinished.
func (s *State) QueueOf(j *Job) (*Queue, bool) {
	if q, ok := s.queues[j.Queue]; ok {
		return q, true
	}
	q := s.retained.queue(j.Queue)
	return q, q != nil
}

// Pool returns a pool of the document, or one that unfinished jobs still need.
func (s *State) Pool(name string) (*Pool, bool) {
	if p, ok := s.pools[name]; ok {
		return p, true
	}
	p := s.retained.pool(name)
	return p, p != nil
}

// Team returns a team of the document, or one that unfinished jobs still need.
func (s *State) Team(name string) (*Team, bool) {
	if t, ok := s.teams[name]; ok {
		return t, true
	}
	t := s.retained.team(name)
	return t, t != nil
}

// Teams returns the teams of the document and those that unfinished jobs still need.
func (s *State) Teams() iter.Seq[*Team] {
	return func(yield func(*Team) bool) {
		for _, teams := range [][]Team{s.doc.Teams, s.retained.Teams} {
			for i := range teams {
				if !yield(&teams[i]) {
					return
				}
			}
		}
	}
}

// KeyTeam returns the team to which a key belongs.
func (s *State) KeyTeam(key string) (string, bool) { t, ok := s.keys[key]; return t, ok }

// Job returns a job, which must not be modified.
func (s *State) Job(id string) (*Job, bool) { j, ok := s.jobs[id]; return j, ok }

// Jobs returns all jobs by id. The map must not be modified.
func (s *State) Jobs() map[string]*Job { return s.jobs }

// Active returns the jobs that are not finished. The map must not be modified.
func (s *State) Active() map[string]*Job { return s.active }

// Pending returns the number of jobs of a queue that have not begun.
func (s *State) Pending(queue string) int { return s.pending[queue] }

// Workers returns all workers by id. The map must not be modified.
func (s *State) Workers() map[string]*Worker { return s.workers }

// PoolWorkers returns the workers of a pool, sorted by id. The slice must not be
// modified.
func (s *State) PoolWorkers(pool string) []*Worker { return s.poolMembers[pool] }

// Colocation counts the runs on a worker that interfere with each other.
type Colocation struct {
	// Serving runs have a tail-latency target. Filling runs use the processors
	// that other runs leave idle.
	Serving, Filling int
}

// Add returns the counts after adding n tasks of a step; n may be negative.
func (m Colocation) Add(step *Step, n int) Colocation {
	if step.Fills {
		m.Filling += n
	}
	if step.TailTarget > 0 {
		m.Serving += n
	}
	return m
}

// ColocationOf returns the counts of interfering runs on a worker.
func (s *State) ColocationOf(worker string) Colocation { return s.colocations[worker] }

// Waves returns all waves by id. The map must not be modified.
func (s *State) Waves() map[int64]*Wave { return s.waves }

// Runs returns the runs on a worker and the job of each. The map must not be
// modified.
func (s *State) Runs(worker string) map[TaskRef]*Job { return s.runs[worker] }

// Reserved returns the resources reserved by the runs on a worker.
func (s *State) Reserved(worker string) Size { return s.reserved[worker] }

// TeamUse returns the resources used by the assigned tasks of a team.
func (s *State) TeamUse(team string) Size { return s.teamUsage[team] }

// TaskOf returns a task and its job, or nil if there is no such task.
func (s *State) TaskOf(r TaskRef) (*Job, *Task) {
	j := s.jobs[r.Job]
	if j == nil || r.Occurrence < 0 || r.Occurrence >= len(j.Tasks) || r.Step < 0 || r.Step >= len(j.Tasks[r.Occurrence]) {
		return nil, nil
	}
	tasks := j.Tasks[r.Occurrence][r.Step]
	if r.Index < 0 || r.Index >= len(tasks) {
		return nil, nil
	}
	return j, &tasks[r.Index]
}

// CheckpointOf returns the checkpoint from which the next run of a task starts, or "". It is
// the same for all members of a gang: a checkpoint of any of them is valid for all, and
// entries of older builds stored one for each.
func (s *State) CheckpointOf(r TaskRef) string {
	j, t := s.TaskOf(r)
	if t == nil {
		return ""
	}
	if j.Spec.Steps[r.Step].Gang {
		for i := range j.Tasks[r.Occurrence][r.Step] {
			if c := j.Tasks[r.Occurrence][r.Step][i].Checkpoint; c != "" {
				return c
			}
		}
	}
	return t.Checkpoint
}

// MaxAttempts returns the number of failures after which a task fails its job.
func (s *State) MaxAttempts(j *Job) int {
	if q, ok := s.QueueOf(j); ok && q.MaxAttempts > 0 {
		return q.MaxAttempts
	}
	return 1
}

// PoolOf returns the pool whose workers run a job: the pool of its queue, or the
// pool at submission if the queue is not known.
func (s *State) PoolOf(j *Job) string {
	if q, ok := s.QueueOf(j); ok {
		return q.Pool
	}
	return j.Pool
}

// snapshot is the encoded form of State.
type snapshot struct {
	Raw     []byte    `cbor:"1,keyasint,omitempty"`
	Jobs    []*Job    `cbor:"2,keyasint,omitempty"`
	Workers []*Worker `cbor:"3,keyasint,omitempty"`
	Waves   []*Wave   `cbor:"4,keyasint,omitempty"`
	// Departures are read by builds that know them; others drop them.
	Departures []departure `cbor:"5,keyasint,omitempty"`
	Silences   []silence   `cbor:"6,keyasint,omitempty"`
	AppliedAt  Millis      `cbor:"7,keyasint,omitempty"`
	Retained   *retained   `cbor:"8,keyasint,omitempty"`
	// Zones are sorted by name. Snapshots of builds that don't evacuate zones have none.
	Zones []ZoneEvacuation `cbor:"9,keyasint,omitempty"`
}

// Snapshot encodes the state without its derived indexes. Jobs, workers and waves
// are sorted, so that equal states have equal snapshots.
func (s *State) Snapshot() ([]byte, error) {
	snap := snapshot{Raw: s.raw, Departures: s.departures, Silences: s.silences, AppliedAt: s.appliedAt}
	if !s.retained.isEmpty() {
		snap.Retained = &s.retained
	}
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		snap.Jobs = append(snap.Jobs, s.jobs[id])
	}
	for _, id := range slices.Sorted(maps.Keys(s.workers)) {
		snap.Workers = append(snap.Workers, s.workers[id])
	}
	for _, id := range slices.Sorted(maps.Keys(s.waves)) {
		snap.Waves = append(snap.Waves, s.waves[id])
	}
	for _, zone := range slices.Sorted(maps.Keys(s.zones)) {
		snap.Zones = append(snap.Zones, s.zones[zone])
	}
	b, err := encMode.Marshal(snap)
	return b, errors.Wrap(err, "encode snapshot")
}

// Restore replaces the state by a snapshot. Empty data gives the initial state.
// Errors wrap ErrMalformed.
func (s *State) Restore(data []byte) error {
	var snap snapshot
	if len(data) > 0 {
		if err := decMode.Unmarshal(data, &snap); err != nil {
			return errors.Wrap(ErrMalformed, err.Error())
		}
	}
	s.reset()
	if len(snap.Raw) > 0 {
		doc, err := s.decode(snap.Raw)
		if err != nil {
			return errors.Wrap(ErrMalformed, err.Error())
		}
		s.setDocument(snap.Raw, doc)
	}
	if snap.Retained != nil {
		s.retained = *snap.Retained
	}
	s.departures, s.silences, s.appliedAt = snap.Departures, snap.Silences, snap.AppliedAt
	for _, d := range s.departures {
		s.departed[d.Worker] = max(s.departed[d.Worker], d.Incarnation)
	}
	for i := range s.silences {
		s.countSilentRuns(&s.silences[i].Crash, 1)
	}
	for _, z := range snap.Zones {
		s.zones[z.Zone] = z
	}
	for _, w := range snap.Workers {
		s.setWorker(w)
	}
	for _, w := range snap.Waves {
		w.initSets()
		s.waves[w.ID] = w
	}
	for _, j := range snap.Jobs {
		s.jobs[j.ID] = j
		s.indexJob(j)
	}
	return nil
}

// setDocument replaces the document and rebuilds its indexes.
func (s *State) setDocument(raw []byte, doc Document) {
	s.raw, s.doc = raw, doc
	s.queues, s.pools, s.teams, s.keys = map[string]*Queue{}, map[string]*Pool{}, map[string]*Team{}, map[string]string{}
	for i := range doc.Queues {
		s.queues[doc.Queues[i].Name] = &doc.Queues[i]
	}
	for i := range doc.Pools {
		s.pools[doc.Pools[i].Name] = &doc.Pools[i]
	}
	for i := range doc.Teams {
		t := &doc.Teams[i]
		s.teams[t.Name] = t
		for _, k := range t.Keys {
			s.keys[k] = t.Name
		}
	}
}

// setWorker stores a worker and replaces any previous entry with its id.
func (s *State) setWorker(w *Worker) {
	s.dropWorker(w.ID)
	s.workers[w.ID] = w
	pool := s.poolMembers[w.Pool]
	at, _ := slices.BinarySearchFunc(pool, w.ID, compareWorker)
	s.poolMembers[w.Pool] = slices.Insert(pool, at, w)
}

// dropWorker removes a worker from the state and from its pool's index.
func (s *State) dropWorker(id string) {
	old := s.workers[id]
	if old == nil {
		return
	}
	delete(s.workers, id)
	pool := s.poolMembers[old.Pool]
	if at, found := slices.BinarySearchFunc(pool, id, compareWorker); found {
		s.poolMembers[old.Pool] = slices.Delete(pool, at, at+1)
	}
}

func compareWorker(w *Worker, id string) int { return strings.Compare(w.ID, id) }

// indexJob computes the derived fields of a job and adds it to the indexes.
func (s *State) indexJob(j *Job) {
	j.criticalPath = criticalPathLength(j.Spec.Steps)
	j.unfinished = make([][]int, len(j.Tasks))
	for k := range j.Tasks {
		j.unfinished[k] = make([]int, len(j.Tasks[k]))
		for st := range j.Tasks[k] {
			j.unfinished[k][st] = unfinishedTasks(j.Tasks[k][st], j.Spec.Steps[st].Gang)
		}
	}
	j.assigned = 0
	for k := range j.Tasks {
		for st := range j.Tasks[k] {
			for i := range j.Tasks[k][st] {
				if t := &j.Tasks[k][st][i]; t.State == TaskAssigned {
					s.addRun(TaskRef{Job: j.ID, Occurrence: k, Step: st, Index: i}, j, t)
				}
			}
		}
	}
	s.countRunnable(j)
	if !j.State.Finished() {
		s.active[j.ID] = j
	}
	if j.State == JobPending {
		s.pending[j.Queue]++
	}
}

// unfinishedTasks counts the tasks of a step that are not done. A gang is done as
// soon as one member is done.
func unfinishedTasks(tasks []Task, gang bool) int {
	left := 0
	for i := range tasks {
		if tasks[i].State != TaskDone {
			left++
		}
	}
	if gang && left < len(tasks) {
		return 0
	}
	return left
}

// countRunnable recomputes the number of tasks of a job that may be assigned.
func (s *State) countRunnable(j *Job) {
	j.runnable = 0
	if j.State.Finished() {
		return
	}
	for k := range j.Tasks {
		for st := range j.Tasks[k] {
			if j.unfinished[k][st] == 0 || !j.Unblocked(k, st) {
				continue
			}
			for i := range j.Tasks[k][st] {
				if j.Tasks[k][st][i].State == TaskWaiting {
					j.runnable++
				}
			}
		}
	}
}

// Remaining returns the declared time of the critical path through the steps that
// are not done, for the first occurrence that has such steps.
func (j *Job) Remaining() Millis {
	for k := range j.unfinished {
		ends := make([]Millis, len(j.unfinished[k]))
		var longest Millis
		for st := range j.unfinished[k] {
			for _, a := range j.Spec.Steps[st].After {
				ends[st] = max(ends[st], ends[a])
			}
			if j.unfinished[k][st] > 0 {
				ends[st] += j.Spec.Steps[st].Estimate
			}
			longest = max(longest, ends[st])
		}
		if longest > 0 {
			return longest
		}
	}
	return 0
}

// RemainingWork returns the resources that the tasks which are not done reserve, times
// their declared run time in milliseconds. Long-running tasks are left out, because their run time
// is not limited.
func (j *Job) RemainingWork() Size {
	var sum Size
	for k := range j.unfinished {
		for st, n := range j.unfinished[k] {
			step := &j.Spec.Steps[st]
			if n > 0 && !step.LongRunning {
				sum = sum.Add(step.Reserved().Times(float64(n) * float64(step.Estimate)))
			}
		}
	}
	return sum
}

// Runnable returns the number of waiting tasks whose dependencies are done.
func (j *Job) Runnable() int { return j.runnable }

func criticalPathLength(steps []Step) Millis {
	ends := make([]Millis, len(steps))
	var longest Millis
	for i := range steps {
		for _, a := range steps[i].After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

func (s *State) addRun(r TaskRef, j *Job, t *Task) {
	runs := s.runs[t.Worker]
	if runs == nil {
		runs = map[TaskRef]*Job{}
		s.runs[t.Worker] = runs
	}
	runs[r] = j
	step := &j.Spec.Steps[r.Step]
	s.reserved[t.Worker] = s.reserved[t.Worker].Add(step.Reserved())
	s.teamUsage[j.Team] = s.teamUsage[j.Team].Add(step.Need)
	s.colocations[t.Worker] = s.colocations[t.Worker].Add(step, 1)
	j.assigned++
}

func (s *State) removeRun(r TaskRef, j *Job, t *Task) {
	delete(s.runs[t.Worker], r)
	step := &j.Spec.Steps[r.Step]
	s.reserved[t.Worker] = s.reserved[t.Worker].Sub(step.Reserved())
	s.teamUsage[j.Team] = s.teamUsage[j.Team].Sub(step.Need)
	s.colocations[t.Worker] = s.colocations[t.Worker].Add(step, -1)
	j.assigned--
}

// CheckAll recomputes the reservations of workers and the usage of teams from the
// jobs and reports whether the indexes match. It takes time proportional to the
// size of the state.
func (s *State) CheckAll() bool {
	reserved, use := map[string]Size{}, map[string]Size{}
	consistent := true
	for _, j := range s.jobs {
		for k := range j.Tasks {
			for st := range j.Tasks[k] {
				for i := range j.Tasks[k][st] {
					t := &j.Tasks[k][st][i]
					if t.State != TaskAssigned {
						continue
					}
					reserved[t.Worker] = reserved[t.Worker].Add(j.Spec.Steps[st].Reserved())
					use[j.Team] = use[j.Team].Add(j.Spec.Steps[st].Need)
				}
			}
		}
	}
	for id, want := range reserved {
		consistent = invariant.Check(s.reserved[id] == want, invariant.SlotBound, "worker %s: runs reserve %v, index has %v", id, want, s.reserved[id]) && consistent
	}
	for team, want := range use {
		consistent = invariant.Check(s.teamUsage[team] == want, invariant.TeamLimit, "team %s: tasks use %v, index has %v", team, want, s.teamUsage[team]) && consistent
	}
	return consistent
}

// EncodeBatch encodes a batch for the log.
func EncodeBatch(b *Batch) ([]byte, error) {
	data, err := encMode.Marshal(b)
	return data, errors.Wrap(err, "encode batch")
}

// CommandSize returns the size of an encoded command, in bytes. Errors wrap ErrTooLarge if it
// exceeds MaxCommandBytes.
func CommandSize(c *Command) (int, error) {
	data, err := encMode.Marshal(c)
	if err != nil {
		return 0, errors.Wrap(err, "encode command")
	}
	if len(data) > MaxCommandBytes {
		return 0, errors.Wrapf(ErrTooLarge, "command of %d bytes, at most %d are allowed", len(data), MaxCommandBytes)
	}
	return len(data), nil
}

// DecodeBatch decodes a batch. Errors wrap ErrMalformed.
func DecodeBatch(data []byte) (*Batch, error) {
	var b Batch
	if err := decMode.Unmarshal(data, &b); err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	return &b, nil
}
