package workload_test

import (
	"encoding/json"
	"math"
	"testing"

	"github.com/pkg/errors"

	"magnoliastand.example/workload"
)

// decodeJSONDocument decodes a document from the JSON encoding of workload.Document.
func decodeJSONDocument(raw []byte) (workload.Document, error) {
	var d workload.Document
	if err := json.Unmarshal(raw, &d); err != nil {
		return d, err
	}
	return d, workload.ValidateDocument(&d).Err()
}

// sampleDocument has a pool, a standby pool, a queue and a team with a limit.
var sampleDocument = workload.Document{
	Version: 1,
	Pools:   []workload.Pool{{Name: "counter"}, {Name: "spare", Standby: true}},
	Queues: []workload.Queue{{
		Name: "quotes", Host: "q.example", Prefix: "/quotes/", Pool: "counter", MaxAttempts: 2, Stretch: 1.5, Target: 600,
	}},
	Teams: []workload.Team{{Name: "schools", Keys: []string{"k1"}, Limit: workload.Size{Processors: 8000}}},
}

func newState(t *testing.T) *workload.State {
	t.Helper()
	s := workload.New(decodeJSONDocument)
	raw, err := json.Marshal(sampleDocument)
	if err != nil {
		t.Fatal(err)
	}
	mustApply(t, s, workload.Command{PutDocument: &workload.PutDocument{Raw: raw}})
	return s
}

func mustApply(t *testing.T, s *workload.State, c workload.Command) {
	t.Helper()
	if err := s.ApplyOne(&c, 1000); err != nil {
		t.Fatalf("%+v: %v", c, err)
	}
}

func mustReject(t *testing.T, s *workload.State, c workload.Command, want error) {
	t.Helper()
	if err := s.ApplyOne(&c, 1000); !errors.Is(err, want) {
		t.Fatalf("got %v, want %v", err, want)
	}
}

const jobID = "0123456789abcdef"

func submit(steps ...workload.Step) workload.Command {
	return workload.Command{Submit: &workload.Submit{
		ID: jobID, Queue: "quotes", Team: "schools", Spec: workload.Spec{Payload: "p", Repeat: 1, Steps: steps},
	}}
}

func register(id string, incarnation workload.Millis) workload.Command {
	return workload.Command{Register: &workload.Worker{
		ID: id, Incarnation: incarnation, Pool: "counter", Address: id + ":80", Labels: []string{"a", "r1"},
		Capacity: workload.Size{Processors: 6000, MemoryMB: 1000},
	}}
}

// ref returns a reference to a task of the test job.
func ref(step, index int) workload.TaskRef {
	return workload.TaskRef{Job: jobID, Step: step, Index: index}
}

func assign(step, index int, run int64, worker string) workload.Command {
	return workload.Command{Assign: &workload.Assign{Task: ref(step, index), Run: run, Worker: worker, Incarnation: 1}}
}

func end(step, index int, run int64, worker string, o workload.Outcome) workload.Command {
	return workload.Command{End: &workload.End{Task: ref(step, index), Run: run, Worker: worker, Incarnation: 1, Outcome: o}}
}

func jobState(t *testing.T, s *workload.State) workload.JobState {
	t.Helper()
	j, ok := s.Job(jobID)
	if !ok {
		t.Fatal("job not known")
	}
	return j.State
}

var taskSize = workload.Size{Processors: 2000, MemoryMB: 100}

// TestAssignRejectsInvalidAssignments covers one precondition of Assign per case:
// without the check of that precondition the assignment would be accepted.
func TestAssignRejectsInvalidAssignments(t *testing.T) {
	step := workload.Step{Count: 4, Need: taskSize}
	cases := map[string]struct {
		steps []workload.Step
		setup []workload.Command
		last  workload.Command
	}{
		"already assigned": {[]workload.Step{step}, []workload.Command{assign(0, 0, 1, "w1")}, assign(0, 0, 2, "w1")},
		"run number not increased": {[]workload.Step{step},
			[]workload.Command{assign(0, 0, 3, "w1"), end(0, 0, 3, "w1", workload.OutcomeStopped)}, assign(0, 0, 3, "w1")},
		"earlier step not done": {[]workload.Step{step, {Count: 1, Need: taskSize, After: []int{0}}}, nil, assign(1, 0, 1, "w1")},
		"done":                  {[]workload.Step{step}, []workload.Command{assign(0, 0, 1, "w1"), end(0, 0, 1, "w1", workload.OutcomeDone)}, assign(0, 0, 2, "w1")},
		"job finished":          {[]workload.Step{step}, []workload.Command{{Cancel: &workload.Cancel{ID: jobID}}}, assign(0, 0, 1, "w1")},
		"no such worker":        {[]workload.Step{step}, nil, assign(0, 0, 1, "w9")},
		"worker restarted":      {[]workload.Step{step}, []workload.Command{register("w1", 2)}, assign(0, 0, 1, "w1")},
		"too little capacity": {[]workload.Step{{Count: 4, Need: workload.Size{Processors: 2000, MemoryMB: 400}}},
			[]workload.Command{assign(0, 0, 1, "w1"), assign(0, 1, 1, "w1")}, assign(0, 2, 1, "w1")},
		"team limit": {[]workload.Step{{Count: 6, Need: taskSize}},
			[]workload.Command{assign(0, 0, 1, "w1"), assign(0, 1, 1, "w1"), assign(0, 2, 1, "w2"), assign(0, 3, 1, "w2")}, assign(0, 4, 1, "w2")},
		"label":         {[]workload.Step{{Count: 1, Need: taskSize, Requires: "gpu"}}, nil, assign(0, 0, 1, "w1")},
		"anti-affinity": {[]workload.Step{{Count: 2, Need: taskSize, AntiAffinity: 1}}, []workload.Command{assign(0, 0, 1, "w1")}, assign(0, 1, 1, "w1")},
		"draining": {[]workload.Step{step}, []workload.Command{{Register: &workload.Worker{
			ID: "w1", Incarnation: 1, Pool: "counter", Address: "w1:80", Capacity: workload.Size{Processors: 6000, MemoryMB: 1000}, Draining: true,
		}}}, assign(0, 0, 1, "w1")},
		"other pool": {[]workload.Step{step}, []workload.Command{{Register: &workload.Worker{
			ID: "w3", Incarnation: 1, Pool: "spare", Address: "w3:80", Capacity: workload.Size{Processors: 6000, MemoryMB: 1000},
		}}}, assign(0, 0, 1, "w3")},
		"attempts used up": {[]workload.Step{step}, []workload.Command{
			assign(0, 0, 1, "w1"), end(0, 0, 1, "w1", workload.OutcomeFailed),
			assign(0, 0, 2, "w1"), end(0, 0, 2, "w1", workload.OutcomeFailed)}, assign(0, 0, 3, "w1")},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := newState(t)
			mustApply(t, s, submit(tc.steps...))
			mustApply(t, s, register("w1", 1))
			mustApply(t, s, register("w2", 1))
			for _, c := range tc.setup {
				mustApply(t, s, c)
			}
			mustReject(t, s, tc.last, workload.ErrNotAssignable)
			s.CheckAll()
		})
	}
}

// TestTeamLimitAdmitsOneTaskAboveHalf guards against a task that never starts because it is
// larger than what the team's other tasks leave of the limit, and against an excess of
// more than one task.
func TestTeamLimitAdmitsOneTaskAboveHalf(t *testing.T) {
	limit := workload.Size{Processors: 20, MemoryMB: 10}
	for _, tc := range []struct {
		used, need workload.Size
		admitted   bool
	}{
		{workload.Size{Processors: 8, MemoryMB: 4}, workload.Size{Processors: 12, MemoryMB: 6}, true},
		{workload.Size{Processors: 9}, workload.Size{Processors: 12}, true},
		{workload.Size{Processors: 10}, workload.Size{Processors: 40}, true},
		{workload.Size{}, workload.Size{Processors: 21, MemoryMB: 11}, true},
		{workload.Size{Processors: 11}, workload.Size{Processors: 10}, false},
		{workload.Size{Processors: 9, MemoryMB: 6}, workload.Size{Processors: 12}, false},
		{workload.Size{Processors: 9, Accelerators: 100}, workload.Size{Processors: 12}, true},
	} {
		if got := limit.Admits(tc.used, tc.need); got != tc.admitted {
			t.Errorf("limit %v, used %v, need %v: admitted %v", limit, tc.used, tc.need, got)
		}
	}
	s := newState(t) // limit: 8 cores
	large := workload.Step{Count: 2, Need: workload.Size{Processors: 4800, MemoryMB: 1}}
	mustApply(t, s, submit(workload.Step{Count: 1, Need: workload.Size{Processors: 3600, MemoryMB: 1}, LongRunning: true}, large))
	for _, id := range []string{"w1", "w2", "w3"} {
		mustApply(t, s, register(id, 1))
	}
	mustApply(t, s, assign(0, 0, 1, "w1"))
	mustApply(t, s, assign(1, 0, 1, "w2"))
	mustReject(t, s, assign(1, 1, 1, "w3"), workload.ErrNotAssignable)
	s.CheckAll()
}

func TestJobCompletesStepByStep(t *testing.T) {
	s := newState(t)
	mustApply(t, s, register("w1", 1))
	mustApply(t, s, submit(workload.Step{Count: 2, Need: taskSize}, workload.Step{Count: 1, Need: taskSize, After: []int{0}}))
	if s.Pending("quotes") != 1 || jobState(t, s) != workload.JobPending {
		t.Fatal("a new job is not pending")
	}
	mustApply(t, s, assign(0, 0, 1, "w1"))
	mustApply(t, s, assign(0, 1, 1, "w1"))
	if s.Pending("quotes") != 1 || jobState(t, s) != workload.JobPending {
		t.Fatal("an assignment alone started the job")
	}
	mustApply(t, s, workload.Command{Begin: &workload.Begin{Job: jobID}})
	mustApply(t, s, workload.Command{Begin: &workload.Begin{Job: jobID}})
	if s.Pending("quotes") != 0 || jobState(t, s) != workload.JobRunning {
		t.Fatal("a job whose first run has begun is not running")
	}
	mustApply(t, s, end(0, 0, 1, "w1", workload.OutcomeDone))
	mustReject(t, s, assign(1, 0, 1, "w1"), workload.ErrNotAssignable)
	mustApply(t, s, end(0, 1, 1, "w1", workload.OutcomeDone))
	mustApply(t, s, assign(1, 0, 1, "w1"))
	mustApply(t, s, end(1, 0, 1, "w1", workload.OutcomeDone))
	if jobState(t, s) != workload.JobCompleted {
		t.Fatalf("state %s", jobState(t, s))
	}
	if s.Reserved("w1") != (workload.Size{}) || s.TeamUse("schools") != (workload.Size{}) {
		t.Fatal("ended runs still hold reservations")
	}
}

func TestOnlyFailedRunsCountAsAttempts(t *testing.T) {
	s := newState(t)
	mustApply(t, s, register("w1", 1))
	mustApply(t, s, submit(workload.Step{Count: 1, Need: taskSize}))
	run := int64(0)
	for _, o := range []workload.Outcome{workload.OutcomeStopped, workload.OutcomeLeaseExpired, workload.OutcomeGangAborted,
		workload.OutcomeGangTimeout, workload.OutcomeNotRun, workload.OutcomeFailed} {
		run++
		mustApply(t, s, assign(0, 0, run, "w1"))
		mustApply(t, s, end(0, 0, run, "w1", o))
		if jobState(t, s).Finished() {
			t.Fatalf("after %s the job is %s", o, jobState(t, s))
		}
	}
	mustApply(t, s, assign(0, 0, run+1, "w1"))
	mustApply(t, s, end(0, 0, run+1, "w1", workload.OutcomeFailed))
	if jobState(t, s) != workload.JobFailed {
		t.Fatalf("state %s", jobState(t, s))
	}
}

// A gang is done as soon as one member is done. The other members keep their
// reservations until their own ends are reported, also across a restore.
func TestGangIsDoneWithFirstMember(t *testing.T) {
	s := newState(t)
	mustApply(t, s, register("w1", 1))
	mustApply(t, s, submit(workload.Step{Count: 2, Need: taskSize, Gang: true}, workload.Step{Count: 1, Need: taskSize, After: []int{0}}))
	mustApply(t, s, assign(0, 0, 1, "w1"))
	mustApply(t, s, assign(0, 1, 1, "w1"))
	mustApply(t, s, end(0, 0, 1, "w1", workload.OutcomeDone))
	if got := s.Reserved("w1"); got != taskSize {
		t.Fatalf("%v is reserved, want the reservation of the member that has not ended", got)
	}
	data, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	r := workload.New(decodeJSONDocument)
	if err := r.Restore(data); err != nil {
		t.Fatal(err)
	}
	for _, s := range []*workload.State{s, r} {
		mustApply(t, s, assign(1, 0, 1, "w1"))
		mustApply(t, s, end(0, 1, 1, "w1", workload.OutcomeGangAborted))
		mustApply(t, s, end(1, 0, 1, "w1", workload.OutcomeDone))
		if jobState(t, s) != workload.JobCompleted || s.Reserved("w1") != (workload.Size{}) {
			t.Fatalf("state %s, reserved %v", jobState(t, s), s.Reserved("w1"))
		}
		s.CheckAll()
	}
}

// A job is pending until one of its runs has begun. Counting a start order that was
// never carried out as a start made the job leave the pending count too early
// (deploy/days/cut-workers.toml, seed 834997104537).
func TestUnexecutedOrderLeavesJobPending(t *testing.T) {
	s := newState(t)
	mustApply(t, s, register("w1", 1))
	mustApply(t, s, submit(workload.Step{Count: 1, Need: taskSize}))
	mustApply(t, s, assign(0, 0, 1, "w1"))
	mustApply(t, s, end(0, 0, 1, "w1", workload.OutcomeNotRun))
	if s.Pending("quotes") != 1 {
		t.Fatal("the job is not counted as pending")
	}
	mustApply(t, s, assign(0, 0, 2, "w1"))
	mustApply(t, s, end(0, 0, 2, "w1", workload.OutcomeStopped))
	if s.Pending("quotes") != 0 || jobState(t, s) != workload.JobRunning {
		t.Fatal("a job whose run was stopped does not count as begun")
	}
	mustApply(t, s, workload.Command{Cancel: &workload.Cancel{ID: jobID}})
	if s.Pending("quotes") != 0 {
		t.Fatal("a cancelled job is counted as pending")
	}
}

func TestEndOfStaleRunIsIgnored(t *testing.T) {
	s := newState(t)
	mustApply(t, s, register("w1", 1))
	mustApply(t, s, submit(workload.Step{Count: 1, Need: taskSize}))
	mustApply(t, s, assign(0, 0, 1, "w1"))
	mustApply(t, s, end(0, 0, 1, "w1", workload.OutcomeNotRun))
	mustApply(t, s, assign(0, 0, 2, "w1"))
	mustApply(t, s, end(0, 0, 1, "w1", workload.OutcomeDone))
	if _, task := s.TaskOf(ref(0, 0)); task.State != workload.TaskAssigned || task.Run != 2 {
		t.Fatalf("task %+v", task)
	}
}

func TestLostWorkerReleasesItsRuns(t *testing.T) {
	s := newState(t)
	mustApply(t, s, register("w1", 1))
	mustApply(t, s, submit(workload.Step{Count: 1, Need: taskSize, Checkpointing: true}))
	mustApply(t, s, assign(0, 0, 1, "w1"))
	mustApply(t, s, workload.Command{MarkWorkerLost: &workload.MarkWorkerLost{Worker: "w1", Incarnation: 9}})
	if _, task := s.TaskOf(ref(0, 0)); task.State != workload.TaskAssigned {
		t.Fatal("the loss of another incarnation ended the run")
	}
	mustApply(t, s, workload.Command{MarkWorkerLost: &workload.MarkWorkerLost{Worker: "w1", Incarnation: 1}})
	if _, task := s.TaskOf(ref(0, 0)); task.State != workload.TaskWaiting || task.Failures != 0 {
		t.Fatalf("task %+v", task)
	}
	if len(s.Workers()) != 0 {
		t.Fatal("the lost worker is still known")
	}
}

func TestOlderDocumentIsIgnored(t *testing.T) {
	s := newState(t)
	d := sampleDocument
	d.Version, d.Queues = 3, nil
	raw, _ := json.Marshal(d)
	mustApply(t, s, workload.Command{PutDocument: &workload.PutDocument{Raw: raw}})
	older, _ := json.Marshal(sampleDocument)
	mustApply(t, s, workload.Command{PutDocument: &workload.PutDocument{Raw: older}})
	if s.Version() != 3 || string(s.Raw()) != string(raw) {
		t.Fatalf("version %d", s.Version())
	}
	mustReject(t, s, workload.Command{PutDocument: &workload.PutDocument{Raw: []byte("{")}}, workload.ErrInvalidDocument)
}

// Restoring a wave in which no upkeep had begun left its sets nil, because empty
// sets are omitted from snapshots, and the next upkeep panicked (seed
// 171511156707).
func TestRestoredWaveAcceptsUpkeep(t *testing.T) {
	s := newState(t)
	mustApply(t, s, workload.Command{StartWave: &workload.Wave{ID: 1, Instances: []string{"m1", "m2"}, MaxDown: 1}})
	data, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	r := workload.New(decodeJSONDocument)
	if err := r.Restore(data); err != nil {
		t.Fatal(err)
	}
	mustApply(t, r, workload.Command{Upkeep: &workload.Upkeep{Wave: 1, Instance: "m1", Left: true}})
	mustApply(t, r, workload.Command{Upkeep: &workload.Upkeep{Wave: 1, Instance: "m2"}})
	if !r.Waves()[1].Completed() {
		t.Fatal("the wave is not completed")
	}
}

// An upkeep that was ordered and has not begun is known to the next leader, also after a
// snapshot, until it begins, its instance leaves, or the order is withdrawn.
func TestOrderedUpkeepIsRemembered(t *testing.T) {
	s := newState(t)
	mustApply(t, s, workload.Command{StartWave: &workload.Wave{ID: 1, Instances: []string{"m1", "m2", "m3"}, MaxDown: 3}})
	for _, name := range []string{"m1", "m2", "m3"} {
		mustApply(t, s, workload.Command{OrderUpkeep: &workload.OrderUpkeep{Wave: 1, Instance: name, Worker: "w-" + name}})
	}
	s = restored(t, s)
	if got := s.Waves()[1].Ordered; len(got) != 3 || got["m2"] != "w-m2" {
		t.Fatalf("ordered: %v", got)
	}
	mustApply(t, s, workload.Command{Upkeep: &workload.Upkeep{Wave: 1, Instance: "m1"}})
	mustApply(t, s, workload.Command{Upkeep: &workload.Upkeep{Wave: 1, Instance: "m2", Left: true}})
	mustApply(t, s, workload.Command{OrderUpkeep: &workload.OrderUpkeep{Wave: 1, Instance: "m3", Withdrawn: true}})
	mustApply(t, s, workload.Command{OrderUpkeep: &workload.OrderUpkeep{Wave: 1, Instance: "m1"}}) // has begun
	if w := s.Waves()[1]; len(w.Ordered) != 0 || w.Completed() {
		t.Errorf("wave %+v", w)
	}
}

func TestSnapshotRoundTrip(t *testing.T) {
	s := newState(t)
	mustApply(t, s, register("w1", 1))
	mustApply(t, s, submit(workload.Step{Count: 3, Need: taskSize}, workload.Step{Count: 1, Need: taskSize, After: []int{0}}))
	mustApply(t, s, assign(0, 0, 1, "w1"))
	mustApply(t, s, assign(0, 1, 1, "w1"))
	mustApply(t, s, end(0, 0, 1, "w1", workload.OutcomeDone))
	data, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	r := workload.New(decodeJSONDocument)
	if err := r.Restore(data); err != nil {
		t.Fatal(err)
	}
	again, err := r.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if string(again) != string(data) {
		t.Fatal("the snapshot of a restored state differs")
	}
	if r.Reserved("w1") != s.Reserved("w1") || r.TeamUse("schools") != s.TeamUse("schools") {
		t.Fatal("indexes differ")
	}
	a, _ := s.Job(jobID)
	b, _ := r.Job(jobID)
	if a.Runnable() != b.Runnable() || a.Remaining() != b.Remaining() || a.Assigned() != b.Assigned() {
		t.Fatal("derived counts differ")
	}
}

// TestDepartedWorkerIsRemembered keeps departures over a snapshot and for 30 s, but
// does not keep out a later incarnation.
func TestDepartedWorkerIsRemembered(t *testing.T) {
	s := newState(t)
	register := func(incarnation workload.Millis) {
		t.Helper()
		mustApply(t, s, workload.Command{Register: &workload.Worker{ID: "w", Incarnation: incarnation, Pool: "counter", Address: "a"}})
	}
	depart := func(worker string, incarnation, now workload.Millis) {
		t.Helper()
		c := workload.Command{MarkWorkerLost: &workload.MarkWorkerLost{Worker: worker, Incarnation: incarnation, Departed: true}}
		if err := s.ApplyOne(&c, now); err != nil {
			t.Fatal(err)
		}
	}
	register(5)
	depart("w", 5, 1000)
	register(5)
	if len(s.Workers()) != 0 || !s.HasDeparted("w", 5) || s.HasDeparted("w", 6) {
		t.Fatal("a departed worker is registered again")
	}
	data, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Restore(data); err != nil {
		t.Fatal(err)
	}
	register(5)
	if len(s.Workers()) != 0 {
		t.Error("a departed worker is registered again after a restart")
	}
	register(6)
	if len(s.Workers()) != 1 {
		t.Error("the next incarnation of a departed worker is kept out")
	}
	depart("other", 1, 31_000)
	if !s.HasDeparted("w", 5) {
		t.Error("a departure is forgotten after 30 s")
	}
	depart("other", 2, 31_001)
	if s.HasDeparted("w", 5) || !s.HasDeparted("other", 2) {
		t.Error("a departure is kept for more than 30 s, or too short")
	}
}

// A stretch or target out of range made an objective that differs between
// platforms, or wrapped it into the past.
func TestObjectiveStaysInRange(t *testing.T) {
	s := newState(t)
	mustApply(t, s, submit(workload.Step{Count: 1, Estimate: 1000}))
	j, _ := s.Job(jobID)
	for _, tc := range []struct {
		stretch      float64
		target, want workload.Millis
	}{
		{1.5, 600, 2100}, {1e300, 600, workload.MaxDuration + 600}, {-1e300, 600, 600}, {1, math.MaxInt64, workload.MaxDuration + 1000},
		{1, math.MinInt64, 1000}, {1e300, math.MaxInt64, 2 * workload.MaxDuration},
	} {
		q := workload.Queue{Stretch: tc.stretch, Target: tc.target}
		if got := q.Objective(j); got != tc.want {
			t.Errorf("stretch %g, target %d: objective %d, want %d", tc.stretch, tc.target, got, tc.want)
		}
	}
}

// An announcement that arrives late is told by its sequence number, also after a restart
// from a snapshot. Otherwise it would undo a change of the worker, such as a smaller
// capacity.
func TestRegistrationKeepsSequence(t *testing.T) {
	announced := func(incarnation workload.Millis, sequence int64) *workload.Worker {
		w := *register("w1", incarnation).Register
		w.Sequence = sequence
		return &w
	}
	s := newState(t)
	mustApply(t, s, workload.Command{Register: announced(5, 8)})
	mustApply(t, s, workload.Command{Register: announced(5, 0)}) // as by a build without the field
	data, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := workload.New(decodeJSONDocument)
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		incarnation workload.Millis
		sequence    int64
		precedes    bool
	}{{5, 7, true}, {5, 8, true}, {5, 9, false}, {5, 0, false}, {4, 9, true}, {6, 1, false}} {
		if got := announced(c.incarnation, c.sequence).Precedes(restored.Workers()["w1"]); got != c.precedes {
			t.Errorf("announcement %d of incarnation %d precedes the stored one: %v", c.sequence, c.incarnation, got)
		}
	}
	mustApply(t, restored, workload.Command{Register: announced(6, 1)})
	if got := restored.Workers()["w1"].Sequence; got != 1 {
		t.Errorf("sequence %d after the next incarnation's first announcement", got)
	}
	if !restored.Workers()["w1"].Same(announced(6, 2)) {
		t.Error("an announcement that differs in its sequence alone counts as a change")
	}
}

// A change of a worker's capacity keeps what is known of its incarnation, and leaves its runs
// alone: they keep their reservation, and nothing is assigned beyond the new capacity.
func TestCapacityChangeKeepsIncarnation(t *testing.T) {
	s := newState(t)
	mustApply(t, s, register("w1", 1))
	mustApply(t, s, submit(workload.Step{Count: 4, Need: workload.Size{Processors: 2000}}))
	mustApply(t, s, assign(0, 0, 1, "w1"))
	mustApply(t, s, assign(0, 1, 1, "w1"))
	acked := end(0, 0, 1, "w1", workload.OutcomeDone)
	acked.End.Number = 3
	mustApply(t, s, acked)
	sized := func(incarnation workload.Millis, processors int64) workload.Command {
		c := register("w1", incarnation)
		c.Register.Capacity.Processors = processors
		return c
	}
	mustApply(t, s, sized(1, 1000))
	if w := s.Workers()["w1"]; w.Acked != 3 || w.Lost || w.Draining || w.Capacity.Processors != 1000 {
		t.Errorf("worker %+v after it has shrunk", w)
	}
	if got := s.Reserved("w1").Processors; got != 2000 || len(s.Runs("w1")) != 1 {
		t.Errorf("%d reserved by %d runs, want 2000 by 1", got, len(s.Runs("w1")))
	}
	mustReject(t, s, assign(0, 2, 1, "w1"), workload.ErrNotAssignable)
	mustApply(t, s, sized(1, 4000))
	mustApply(t, s, assign(0, 2, 1, "w1"))
	mustReject(t, s, assign(0, 3, 1, "w1"), workload.ErrNotAssignable)

	draining := sized(1, 4000)
	draining.Register.Draining = true
	mustApply(t, s, draining)
	mustApply(t, s, sized(1, 6000))
	if !s.Workers()["w1"].Draining {
		t.Error("a worker that has grown is no longer draining")
	}
	if !s.CheckAll() {
		t.Error("inconsistent state")
	}
}

// A worker restarts with another size. A run that may have begun on the next incarnation
// keeps its reservation there, also beyond the new capacity.
func TestRestartWithAnotherSizeKeepsMovedRuns(t *testing.T) {
	s := newState(t)
	mustApply(t, s, register("w1", 1))
	mustApply(t, s, submit(workload.Step{Count: 3, Need: workload.Size{Processors: 2000}}))
	mustApply(t, s, assign(0, 0, 1, "w1"))
	mustApply(t, s, assign(0, 1, 1, "w1"))
	mustApply(t, s, workload.Command{MoveRuns: &workload.MoveRuns{Worker: "w1", From: 1, To: 2, Tasks: []workload.TaskRef{ref(0, 0)}}})
	next := register("w1", 2)
	next.Register.Capacity.Processors = 1000
	mustApply(t, s, next)
	if got := s.Reserved("w1").Processors; got != 2000 || len(s.Runs("w1")) != 1 {
		t.Errorf("%d reserved by %d runs, want 2000 by 1", got, len(s.Runs("w1")))
	}
	again := assign(0, 1, 2, "w1")
	again.Assign.Incarnation = 2
	mustReject(t, s, again, workload.ErrNotAssignable)
	next = register("w1", 2)
	next.Register.Capacity.Processors = 4000
	mustApply(t, s, next)
	mustApply(t, s, again)
	if !s.CheckAll() {
		t.Error("inconsistent state")
	}
}
