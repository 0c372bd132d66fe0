package driver

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"magnoliastand.example/platform"
	"magnoliastand.example/workload"
)

// driverOfOneRun returns a driver that is not running, whose state has a worker "w" with the
// first run of the only task of job "j".
func driverOfOneRun(t *testing.T) (*Driver, *workload.State) {
	t.Helper()
	return driverOfRuns(t, 1)
}

// driverOfRuns is driverOfOneRun with n tasks, each of which has its first run.
func driverOfRuns(t *testing.T, n int) (*Driver, *workload.State) {
	t.Helper()
	state := workload.New(func(raw []byte) (d workload.Document, err error) { return d, json.Unmarshal(raw, &d) })
	raw, err := json.Marshal(workload.Document{
		Version: 1, Pools: []workload.Pool{{Name: "p"}}, Queues: []workload.Queue{{Name: "q", Pool: "p", MaxAttempts: 2}},
	})
	if err != nil {
		t.Fatal(err)
	}
	size := workload.Size{Processors: 1, MemoryMB: 1}
	commands := []workload.Command{
		{PutDocument: &workload.PutDocument{Raw: raw}},
		{Register: &workload.Worker{
			ID: "w", Incarnation: 1, Pool: "p", Address: "a", Capacity: workload.Size{Processors: int64(n), MemoryMB: int64(n)},
		}},
		{Submit: &workload.Submit{ID: "j", Queue: "q", Spec: workload.Spec{Repeat: 1, Steps: []workload.Step{{Count: n, Need: size}}}}},
	}
	for i := range n {
		task := workload.TaskRef{Job: "j", Index: i}
		commands = append(commands, workload.Command{Assign: &workload.Assign{Task: task, Run: 1, Worker: "w", Incarnation: 1}})
	}
	for _, c := range commands {
		if err := state.ApplyOne(&c, 0); err != nil {
			t.Fatalf("%+v: %v", c, err)
		}
	}
	d := New(Config{
		State: state, Metrics: NewMetrics(prometheus.NewRegistry()), Logger: zerolog.Nop(),
		Timing: Timing{MaxLease: time.Minute, Announce: time.Second},
	})
	return d, state
}

// TestSilentWorkerKeepsRunsUntilLeaseExpiry has a worker with a run that has been
// silent for longer than requestedLease, but may hold a lease that a start order
// without an answer extended.
func TestSilentWorkerKeepsRunsUntilLeaseExpiry(t *testing.T) {
	d, state := driverOfOneRun(t)
	now := time.Now()
	s := d.sessions["w"]
	s.failures, s.holdInFlight = 1, true
	s.lastContact, s.leaseExpiry = now.Add(-2*requestedLease), now.Add(time.Millisecond)
	d.checkSession(s, now)
	if _, task := state.TaskOf(workload.TaskRef{Job: "j"}); task.State != workload.TaskAssigned || len(d.runs) != 1 {
		t.Fatal("a run was given up while its worker may hold a lease")
	}
	s.leaseExpiry = now.Add(-time.Millisecond)
	d.checkSession(s, now)
	if _, task := state.TaskOf(workload.TaskRef{Job: "j"}); task.State != workload.TaskWaiting || len(d.runs) != 0 {
		t.Error("the run was not given up after the lease had expired")
	}
}

// A worker that restarted in place long ago falls silent and returns as the same
// incarnation. It must not refuse its orders for those that it received before.
func TestReturningWorkerIsNotFencedOff(t *testing.T) {
	d, state := driverOfOneRun(t)
	now := time.Now()
	d.fenceOf(&workload.Worker{ID: "w", Incarnation: 0}, now.Add(-3*departedLife))
	w := state.Workers()["w"]
	fence := d.fenceOf(w, now.Add(-2*departedLife))
	d.pruneLateStarts(now)
	d.loseWorker(w.ID, w.Incarnation, reasonLeaseOver, nil)
	d.pruneLateStarts(now.Add(pruneInterval))
	if got := d.fenceOf(w, now.Add(time.Minute)); got < fence {
		t.Errorf("token %#x, the worker has seen %#x", got, fence)
	}
}

// leadingLog is the log of a leader that proposes nothing.
type leadingLog struct{ Log }

func (leadingLog) IsLeader(uint64) bool { return true }

// busyWorkers refuse all holds.
type busyWorkers struct{ platform.Workers }

func (busyWorkers) Hold(context.Context, platform.Endpoint, *platform.HoldOrder) (*platform.Lists, error) {
	return nil, platform.ErrBusy
}

// Another worker is said to be at a worker's address, and the worker's last run ends before
// it is asked. It must be asked nevertheless: until then it receives no work.
func TestDoubtedWorkerWithoutRunsIsHeld(t *testing.T) {
	d, state := driverOfOneRun(t)
	d.cfg.Log, d.cfg.Workers = leadingLog{}, busyWorkers{}
	s := d.sessions["w"]
	s.listedAt = time.Now()
	d.doubtWorker(state.Workers()["w"])
	d.endRun(d.runs[workload.TaskRef{Job: "j"}], workload.OutcomeNotRun, "", 0, "withheld")
	d.checkSession(s, time.Now())
	if !s.doubted || !s.holdInFlight {
		t.Error("no hold shows whether the worker is alive")
	}
	d.cancel()
	d.wg.Wait()
}

// replicaLog is a log with one replica.
type replicaLog struct {
	leadingLog
	replica *workload.State
}

func (l replicaLog) Propose(_ context.Context, _ uint64, data []byte) ([]error, error) {
	b, err := workload.DecodeBatch(data)
	if err != nil {
		return nil, err
	}
	return l.replica.Apply(b), nil
}

// A batch is proposed some time after the driver has applied its commands. The driver's copy
// must have the same times as the replicas, which decide what is forgotten.
func TestCopyHasTimesOfReplicas(t *testing.T) {
	d, state := driverOfOneRun(t)
	_, replica := driverOfOneRun(t)
	d.cfg.Log = replicaLog{replica: replica}
	d.loseWorker("w", 1, reasonDeparted, nil)
	time.Sleep(5 * time.Millisecond)
	d.flush()
	(<-d.inbox)()
	got, err := state.Snapshot()
	want, wantErr := replica.Snapshot()
	if err != nil || wantErr != nil {
		t.Fatal(err, wantErr)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("copy %x, replica %x", got, want)
	}
	d.cancel()
	d.wg.Wait()
}

// A stop that was to void a run may be carried out seconds after a list has shown that the run
// is at work. Until then the run must not count as available: another task of its step could
// be evacuated meanwhile, beyond the availability budget.
func TestRunThatMayBeStoppedLateIsUnavailable(t *testing.T) {
	d, _ := driverOfRuns(t, 2)
	now := time.Now()
	for _, r := range d.runs {
		r.phase, r.percent, r.seen = phaseStarted, fullPace, now
	}
	voided, other := d.runs[workload.TaskRef{Job: "j"}], d.runs[workload.TaskRef{Job: "j", Index: 1}]
	if n := d.unavailableTasks(other); n != 0 {
		t.Fatalf("%d unavailable tasks beside one at work", n)
	}
	voided.stopSent = now
	if n := d.unavailableTasks(other); n != 1 {
		t.Errorf("%d unavailable tasks beside one that may be stopped", n)
	}
	voided.stopSent = now.Add(-lateOrderTime)
	if n := d.unavailableTasks(other); n != 0 {
		t.Errorf("%d unavailable tasks once the stop can't be carried out", n)
	}
}

// AVAIL: a list with an entry that could not be read was taken as evidence that a worker it did
// not name was on no instance. Its instance could then be taken down with its runs.
func TestIncompleteListPlacesNoMissingWorker(t *testing.T) {
	d, _ := driverOfOneRun(t)
	s := d.sessions["w"]
	s.failures = 1 // it may have ended
	list := &platform.InstanceList{Instances: []platform.Instance{{Name: "m", Worker: "other"}}, Unreadable: 1}
	d.fleet.listed(list, s.registeredAt.Add(time.Second), nil)
	if d.fleet.isPlaced(s) {
		t.Error("placed by a list of which an entry could not be read")
	}
	list.Instances = append(list.Instances, platform.Instance{Name: "n", Worker: "w"})
	d.fleet.listed(list, s.registeredAt.Add(2*time.Second), nil)
	if !d.fleet.isPlaced(s) {
		t.Error("not placed by a list that names the worker")
	}
	d.fleet.listed(&platform.InstanceList{}, s.registeredAt.Add(3*time.Second), nil)
	d.fleet.listed(&platform.InstanceList{}, s.registeredAt.Add(4*time.Second), nil)
	if !d.fleet.isPlaced(s) {
		t.Error("a worker that does not answer and is in no complete list has not ended")
	}
}
