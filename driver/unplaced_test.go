package driver_test

import (
	"sync"
	"testing"
	"time"

	"magnoliastand.example/platform/platformtest"
	"magnoliastand.example/workload"
)

// newLastingFleet starts n instances whose tasks last, without a standby pool.
func newLastingFleet(t *testing.T, w *testEnv, n int) *platformtest.Machines {
	t.Helper()
	service := newFleetOf(t, w, n, &platformtest.Worker{RunTime: time.Hour, Lasting: true})
	w.putDocumentWithoutStandby()
	w.waitFor("instances listed and workers registered", func() bool { return service.Readings() > 0 && w.workerCount() == n })
	return service
}

// submitLasting submits a job of long-running tasks, one on an instance, of which one may be
// unavailable.
func (w *testEnv) submitLasting(tasks int) {
	w.t.Helper()
	lasting := step(tasks)
	lasting.LongRunning, lasting.MaxUnavailable, lasting.AntiAffinity = true, 1, 1
	w.submit(jobID(0), lasting)
}

// runningOn returns how many runs go on at the worker of a machine.
func (w *testEnv) runningOn(service *platformtest.Machines, machine string) int {
	n := 0
	for _, m := range service.Snapshot() {
		for _, r := range w.history() {
			if m.Name == machine && r.Worker == m.Worker && r.How == "" {
				n++
			}
		}
	}
	return n
}

// gone returns how many runs ended with their worker.
func (w *testEnv) gone() int {
	n := 0
	for _, r := range w.history() {
		if r.How == "gone" {
			n++
		}
	}
	return n
}

// AVAIL: the list of instances could not be read, and a worker was replaced by one with
// another ID. The instance counted as empty after a while, and was taken down with the new
// worker's task at work.
func TestUpkeepWaitsForListThatShowsNewWorker(t *testing.T) {
	w := newTestEnv(t)
	service := newLastingFleet(t, w, 2)
	w.submitLasting(2)
	w.waitFor("tasks at work", func() bool { return len(w.history()) == 2 })
	service.SetListFails(true)
	service.StopWorker("m0")
	service.StartWorker("m0")
	w.waitFor("task at work on the new worker", func() bool { return w.runningOn(service, "m0") == 1 })
	w.startWave(1, "m0")
	time.Sleep(4 * time.Second) // longer than an instance without a known worker is left alone
	for _, m := range service.Snapshot() {
		if len(m.Upkeeps) > 0 {
			t.Fatalf("%s was taken down, and no list shows its worker", m.Name)
		}
	}
	service.SetListFails(false)
	w.waitForWave()
	w.checkConsistency()
}

// A worker that no list shows yet may be on an instance that is being taken down. The order
// had been sent before it registered, and was carried out with its task at work.
func TestWorkerThatMayBeTakenDownReceivesNoWork(t *testing.T) {
	w := newTestEnv(t)
	service := newLastingFleet(t, w, 1)
	var once sync.Once
	service.OnOrder = func() { once.Do(func() { service.StartWorker("m0") }) }
	service.SetListFails(true)
	service.SetDelay(500 * time.Millisecond)
	service.StopWorker("m0")
	w.waitFor("worker removed", func() bool { return w.workerCount() == 0 })
	w.startWave(1, "m0")
	w.submitLasting(1)
	w.waitForWave()
	if n := w.gone(); n > 0 {
		t.Errorf("%d tasks were at work on an instance when it was taken down", n)
	}
	service.SetListFails(false)
	w.waitFor("task at work", func() bool { return w.runningOn(service, "m0") == 1 })
	w.checkConsistency()
}

// An instance had left its standby pool since the last list, by a late order of an earlier
// leader. It was moved to another pool with a task at work.
func TestMoveWaitsForListThatShowsNewWorker(t *testing.T) {
	w := newTestEnv(t)
	service := newLastingFleet(t, w, 3)
	large := step(2)
	large.LongRunning, large.Need.Processors = true, 2500
	w.submit(jobID(1), large) // keeps all three instances in the pool, one of them as its spare
	w.waitFor("large tasks started", func() bool { return len(w.history()) == 2 })
	const twoPools = `{"version":3,"routes":[
 {"name":"q","host":"h","path_prefix":"/q/","service":"p","timeout_ms":3000,"target_latency_ms":600,"max_attempts":3,"stretch":2,"public":true},
 {"name":"r","host":"h","path_prefix":"/r/","service":"other","timeout_ms":3000,"target_latency_ms":600,"max_attempts":3,"stretch":2,"public":true}],
 "services":[{"name":"p"},{"name":"other"},{"name":"spare","standby":true}],"tenants":[]}`
	if err := w.current().PutDocument(t.Context(), []byte(twoPools)); err != nil {
		t.Fatal(err)
	}
	service.Add(&platformtest.Machine{Name: "new", Pool: "spare", State: "up", Capacity: 4000, MemoryMB: 4000})
	service.Add(&platformtest.Machine{Name: "full", Pool: "other", State: "up", Capacity: 4000, MemoryMB: 4000})
	enough := service.Readings() + 2
	w.waitFor("instances listed", func() bool { return service.Readings() >= enough })
	service.SetListFails(true)
	service.SetPool("new", "p")
	w.waitFor("workers registered", func() bool { return w.workerCount() == 5 })
	time.Sleep(2 * w.announce) // the new worker's lists are read
	small := step(4)
	small.LongRunning, small.AntiAffinity, small.Need.Processors = true, 1, 100
	w.submit(jobID(2), small)
	w.waitFor("task at work on the new worker", func() bool { return w.runningOn(service, "new") == 1 })
	if resp := w.requestAt("/r/", workload.VerbSubmit, jobID(3), step(8)); resp.Answer != workload.AnswerOK {
		t.Fatal(resp.Reason)
	}
	time.Sleep(time.Second) // several plans of moves
	if n := w.gone(); n > 0 {
		t.Errorf("%d tasks were at work on an instance when it was moved", n)
	}
	w.checkConsistency()
}

// A list that had been requested before moves and arrived after them undid what the driver
// knew of them: it counted the moved instances for their earlier pool, and moved the last one.
func TestListOlderThanMovesDoesNotUndoThem(t *testing.T) {
	w := newTestEnv(t)
	service := newFleet(t, w, 4)
	service.SetListDelay(300 * time.Millisecond)
	in := func(pool string) int { return instancesIn(service, pool) }
	w.waitFor("idle instances in the standby pool", func() bool { return in("spare") == 3 })
	enough := service.Readings() + 3
	w.waitFor("instances listed", func() bool { return service.Readings() >= enough })
	if n := service.Moves(); n != 3 {
		t.Errorf("%d moves, want 3", n)
	}
}
