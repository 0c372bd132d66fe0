package workload_test

import (
	"encoding/json"
	"testing"

	"magnoliastand.example/workload"
)

// put stores the sample document with a version and a change.
func put(t *testing.T, s *workload.State, version int64, change func(*workload.Document)) {
	t.Helper()
	d := sampleDocument
	d.Version = version
	d.Queues = append([]workload.Queue(nil), d.Queues...)
	d.Pools = append([]workload.Pool(nil), d.Pools...)
	d.Teams = append([]workload.Team(nil), d.Teams...)
	change(&d)
	raw, err := json.Marshal(d)
	if err != nil {
		t.Fatal(err)
	}
	mustApply(t, s, workload.Command{PutDocument: &workload.PutDocument{Raw: raw}})
}

func unchanged(*workload.Document) {}

// withoutQueue removes the queue of the test job with its pool and its team.
func withoutQueue(d *workload.Document) { d.Queues, d.Pools, d.Teams = nil, d.Pools[1:], nil }

// runOnce starts a run of the test job's task and ends it.
func runOnce(t *testing.T, s *workload.State, run int64, o workload.Outcome) {
	t.Helper()
	mustApply(t, s, assign(0, 0, run, "w1"))
	mustApply(t, s, end(0, 0, run, "w1", o))
}

// newJob returns a state with a worker and the test job of one task. Its queue allows two
// failures.
func newJob(t *testing.T) *workload.State {
	t.Helper()
	s := newState(t)
	mustApply(t, s, register("w1", 1))
	mustApply(t, s, submit(workload.Step{Count: 1, Need: taskSize}))
	return s
}

// LOST: a job whose queue was out of the document for a moment was given up at its first
// failed run, although its queue allowed more, also after a snapshot.
func TestRemovedQueueKeepsItsAttempts(t *testing.T) {
	for name, pass := range map[string]func(*testing.T, *workload.State) *workload.State{
		"same state":     func(_ *testing.T, s *workload.State) *workload.State { return s },
		"after snapshot": restored,
	} {
		t.Run(name, func(t *testing.T) {
			s := newJob(t)
			put(t, s, 2, withoutQueue)
			s = pass(t, s)
			put(t, s, 3, withoutQueue)
			s = pass(t, s)
			runOnce(t, s, 1, workload.OutcomeFailed)
			if jobState(t, s) == workload.JobFailed {
				t.Fatal("the job failed with its first of two attempts")
			}
			put(t, s, 4, unchanged)
			runOnce(t, s, 2, workload.OutcomeFailed)
			if jobState(t, s) != workload.JobFailed {
				t.Errorf("after two of two attempts the job is %s", jobState(t, s))
			}
		})
	}
}

// The definitions that a job needs were lost with the document that dropped them: advice,
// priority and objective of its queue, the pool, the limit of its team.
func TestUnfinishedJobKeepsItsDefinitions(t *testing.T) {
	s := newState(t)
	put(t, s, 2, func(d *workload.Document) {
		d.Queues[0].Pool, d.Queues[0].Priority = "other", 3
		d.Queues[0].Advice = &workload.AdvicePolicy{ValidFor: 700}
		d.Pools = append(d.Pools, workload.Pool{Name: "other", MaxConnections: 4})
	})
	mustApply(t, s, submit(workload.Step{Count: 9, Need: taskSize}))
	put(t, s, 3, func(d *workload.Document) { d.Queues, d.Teams = nil, nil })
	s = restored(t, s)
	j, _ := s.Job(jobID)
	q, ok := s.QueueOf(j)
	if !ok || q.Priority != 3 || q.Advice == nil || q.Advice.ValidFor != 700 || q.Target != 600 || q.Stretch != 1.5 {
		t.Errorf("queue of the job: %+v", q)
	}
	if p, ok := s.Pool(s.PoolOf(j)); !ok || p.Name != "other" || p.MaxConnections != 4 {
		t.Errorf("pool of the job: %+v", p)
	}
	team, ok := s.Team("schools")
	if !ok || team.Limit != sampleDocument.Teams[0].Limit {
		t.Errorf("team of the job: %+v", team)
	}
	if _, known := s.KeyTeam("k1"); known || ok && len(team.Keys) > 0 {
		t.Error("a key that the document no longer holds is known")
	}
	if _, listed := s.Queue("quotes"); listed {
		t.Error("a removed queue still takes requests")
	}
	// The definitions of the document go first, and nothing is kept for finished jobs.
	put(t, s, 4, func(d *workload.Document) { d.Queues[0].Priority = 1 })
	if q, _ := s.QueueOf(j); q.Priority != 1 || s.PoolOf(j) != "counter" {
		t.Errorf("queue that came back: %+v", q)
	}
	mustApply(t, s, workload.Command{Cancel: &workload.Cancel{ID: jobID}})
	put(t, s, 5, withoutQueue)
	if _, kept := s.QueueOf(j); kept {
		t.Error("the queue of a finished job was kept")
	}
}

// QUOTA: a team that the document dropped had no limit while its jobs went on.
func TestRemovedTeamKeepsItsLimit(t *testing.T) {
	s := newState(t)
	mustApply(t, s, register("w1", 1))
	mustApply(t, s, register("w2", 1))
	mustApply(t, s, submit(workload.Step{Count: 3, Need: workload.Size{Processors: 3000}}))
	put(t, s, 2, func(d *workload.Document) { d.Teams = nil })
	mustApply(t, s, assign(0, 0, 1, "w1"))
	mustApply(t, s, assign(0, 1, 1, "w1"))
	over := assign(0, 2, 1, "w2")
	mustReject(t, s, over, workload.ErrNotAssignable)
}

// LOST: a task that had failed as often as a new document allows was never started again,
// and its job stayed as it was for good.
func TestFewerAttemptsFailExhaustedJobs(t *testing.T) {
	once := func(d *workload.Document) { d.Queues[0].MaxAttempts = 1 }
	t.Run("waiting task", func(t *testing.T) {
		s := newJob(t)
		runOnce(t, s, 1, workload.OutcomeFailed)
		put(t, s, 2, once)
		if jobState(t, s) != workload.JobFailed {
			t.Errorf("the job is %s", jobState(t, s))
		}
	})
	for name, how := range map[string]func(*testing.T, *workload.State){
		"run that is stopped": func(t *testing.T, s *workload.State) { mustApply(t, s, end(0, 0, 2, "w1", workload.OutcomeStopped)) },
		"worker that is lost": func(t *testing.T, s *workload.State) { mustApply(t, s, lost("w1", 1)) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newJob(t)
			runOnce(t, s, 1, workload.OutcomeFailed)
			mustApply(t, s, assign(0, 0, 2, "w1"))
			put(t, s, 2, once)
			if jobState(t, s).Finished() {
				t.Fatalf("the job is %s while a run of it may yet be done", jobState(t, s))
			}
			how(t, s)
			if jobState(t, s) != workload.JobFailed {
				t.Errorf("the job is %s", jobState(t, s))
			}
		})
	}
}

// Replicas that apply an entry of an earlier build must agree with those that applied it
// with that build.
func TestEntriesOfEarlierBuildsKeepNoDefinitions(t *testing.T) {
	for _, retains := range []bool{false, true} {
		s := newJob(t)
		d := sampleDocument
		d.Version, d.Queues = 2, nil
		raw, err := json.Marshal(d)
		if err != nil {
			t.Fatal(err)
		}
		b := &workload.Batch{Settles: true, Retains: retains, Commands: []workload.Command{{PutDocument: &workload.PutDocument{Raw: raw}}}}
		for _, err := range s.Apply(b) {
			if err != nil {
				t.Fatal(err)
			}
		}
		j, _ := s.Job(jobID)
		if _, kept := s.QueueOf(j); kept != retains {
			t.Errorf("retains %t: queue kept is %t", retains, kept)
		}
	}
}
