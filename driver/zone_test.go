package driver_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"magnoliastand.example/driver"
	"magnoliastand.example/platform"
	"magnoliastand.example/platform/platformtest"
	"magnoliastand.example/workload"
)

// zoneWorker starts a worker in a zone and waits until it is registered.
func (w *testEnv) zoneWorker(id, zone string, template *platformtest.Worker) *platformtest.Worker {
	w.t.Helper()
	s := &platformtest.Worker{ID: id, Pool: "p", Zone: zone, RunTime: template.RunTime, Lasting: template.Lasting}
	if s.RunTime == 0 {
		s.RunTime = 5 * time.Millisecond
	}
	w.workerOf(s)
	w.waitFor(id+" registered", func() bool {
		known := false
		w.log.read(func(state *workload.State) { known = state.Workers()[id] != nil })
		return known
	})
	return s
}

func (w *testEnv) orderZone(zone string, finish bool) {
	w.t.Helper()
	if err := w.EvacuateZone(w.t.Context(), zone, finish); err != nil {
		w.t.Fatal(err)
	}
}

func (w *testEnv) completeJobs(from, to int) {
	w.t.Helper()
	for n := from; n < to; n++ {
		w.submit(jobID(n), step(2))
	}
	for n := from; n < to; n++ {
		w.waitFor("job completed", func() bool { return w.state(jobID(n)) == workload.JobCompleted })
	}
}

// Guards against a first run or a retry that starts in an evacuated zone, under this leader or the
// next one, and against a zone that gets no work after its evacuation.
func TestNothingStartsInEvacuatedZone(t *testing.T) {
	w := newTestEnv(t)
	w.startLeader()
	w.putDocument()
	north := w.zoneWorker("w1", "north", &platformtest.Worker{})
	south := w.zoneWorker("w2", "south", &platformtest.Worker{})
	w.orderZone("north", false)
	before := len(north.History())
	south.SetFaults(platformtest.Faults{FailAll: true})
	w.submit(jobID(0), step(1))
	w.waitFor("a failed run", func() bool { return len(south.History()) > 0 })
	south.SetFaults(platformtest.Faults{})
	w.waitFor("job completed", func() bool { return w.state(jobID(0)) == workload.JobCompleted })
	w.completeJobs(1, 10)
	w.startLeader()
	w.completeJobs(10, 20)
	if n := len(north.History()) - before; n > 0 {
		t.Errorf("%d runs began in the evacuated zone", n)
	}
	w.orderZone("north", true)
	w.crash("w2")
	w.completeJobs(20, 21)
	if len(north.History()) == before {
		t.Error("no run began in the zone after its evacuation")
	}
	w.checkConsistency()
}

// Guards against an evacuation that ends what runs in the zone: by a stop, or by a lease that is
// not extended. A task that ends there and has to run again has to run elsewhere.
func TestRunsGoOnInEvacuatedZone(t *testing.T) {
	w := newTestEnv(t)
	w.startLeader()
	w.putDocument()
	north := w.zoneWorker("w1", "north", &platformtest.Worker{Lasting: true, RunTime: time.Hour})
	lasting := step(1)
	lasting.LongRunning, lasting.MaxUnavailable = true, 1
	w.submit(jobID(0), lasting)
	w.waitFor("task running", func() bool { return len(north.History()) == 1 })
	south := w.zoneWorker("w2", "south", &platformtest.Worker{Lasting: true, RunTime: time.Hour})
	w.orderZone("north", false)
	time.Sleep(3 * maxLease) // a lease that is not extended runs out
	if runs := w.history(); len(runs) != 1 || !runs[0].Ended.IsZero() {
		t.Fatalf("the run did not go on: %+v", runs)
	}
	north.EndAll("failed")
	w.waitFor("the next run", func() bool { return len(south.History()) == 1 })
	if n := len(north.History()); n != 1 {
		t.Errorf("%d runs began in the evacuated zone", n-1)
	}
	if resp := w.request(workload.VerbCancel, jobID(0)); resp.Answer != workload.AnswerOK {
		t.Fatal(resp.Reason)
	}
	w.waitFor("the cancelled run stopped", func() bool { return !south.History()[0].Ended.IsZero() })
	w.checkConsistency()
}

// Guards against a cancelled job whose run in an evacuated zone is not stopped.
func TestCancelledRunInEvacuatedZoneIsStopped(t *testing.T) {
	w := newTestEnv(t)
	w.startLeader()
	w.putDocument()
	north := w.zoneWorker("w1", "north", &platformtest.Worker{RunTime: time.Hour})
	w.submit(jobID(0), step(1))
	w.waitFor("task running", func() bool { return len(north.History()) == 1 })
	w.orderZone("north", false)
	w.request(workload.VerbCancel, jobID(0))
	w.waitFor("run stopped", func() bool { return north.History()[0].How == "stopped" })
}

// Guards against the start order of an assignment that was decided before the evacuation and is
// committed before it.
func TestDecidedStartIsWithheld(t *testing.T) {
	w := newTestEnv(t)
	var once sync.Once
	acknowledged := make(chan error, 1)
	w.log.committing = func(b *workload.Batch) {
		for i := range b.Commands {
			if b.Commands[i].Assign == nil {
				continue
			}
			once.Do(func() {
				handled := make(chan struct{})
				order := &driver.ZoneOrder{Zone: "north", Expired: func() bool { close(handled); return false }}
				go func() { acknowledged <- w.current().EvacuateZone(context.Background(), order) }()
				<-handled
				// An event that is answered at once shows that the order has been applied.
				w.request(workload.VerbCancel, jobID(99))
			})
		}
	}
	w.startLeader()
	w.putDocument()
	north := w.zoneWorker("w1", "north", &platformtest.Worker{})
	w.submit(jobID(0), step(3))
	if err := <-acknowledged; err != nil {
		t.Fatal(err)
	}
	w.waitFor("starts withheld", func() bool { return testutil.ToFloat64(w.metrics.WithheldStarts) == 3 })
	w.zoneWorker("w2", "south", &platformtest.Worker{})
	w.waitFor("job completed", func() bool { return w.state(jobID(0)) == workload.JobCompleted })
	if n := len(north.History()); n > 0 {
		t.Errorf("%d runs began in the evacuated zone", n)
	}
	w.checkConsistency()
}

// lostStart loses the first start order, and calls during while it is under way.
type lostStart struct {
	*platform.Client
	starts atomic.Int64
	to     sync.Map // ids of the workers that later start orders were sent to
	during func()
}

func (h *lostStart) Start(ctx context.Context, e platform.Endpoint, o *platform.StartOrder) (workload.Millis, error) {
	if h.starts.Add(1) == 1 {
		h.during()
		return 0, errLost
	}
	h.to.Store(e.ID, true)
	return h.Client.Start(ctx, e, o)
}

// Guards against a start order without a reply that is sent again to a worker whose zone was
// evacuated meanwhile.
func TestStartIsNotRepeatedInEvacuatedZone(t *testing.T) {
	w := newTestEnv(t)
	h := &lostStart{Client: w.client, during: func() {
		if err := w.EvacuateZone(context.Background(), "north", false); err != nil {
			w.t.Error(err)
		}
	}}
	w.orders = h
	w.startLeader()
	w.putDocument()
	w.zoneWorker("w1", "north", &platformtest.Worker{})
	w.submit(jobID(0), step(1))
	w.waitFor("zone evacuated", func() bool {
		evacuated := false
		w.log.read(func(s *workload.State) { evacuated = s.IsEvacuated("north") })
		return evacuated
	})
	w.zoneWorker("w2", "south", &platformtest.Worker{})
	w.waitFor("job completed", func() bool { return w.state(jobID(0)) == workload.JobCompleted })
	if _, sent := h.to.Load("w1"); sent {
		t.Error("the start order was sent again")
	}
	w.checkConsistency()
}

// Guards against a gang of which a member starts in an evacuated zone, or alone.
func TestGangWaitsForRoomOutsideEvacuatedZone(t *testing.T) {
	w := newTestEnv(t)
	w.startLeader()
	w.putDocument()
	north := w.zoneWorker("w1", "north", &platformtest.Worker{})
	south := w.zoneWorker("w2", "south", &platformtest.Worker{})
	w.orderZone("north", false)
	gang := step(2)
	gang.Gang, gang.AntiAffinity = true, 1
	w.submit(jobID(0), gang)
	w.completeJobs(1, 4) // planned in the same plans
	if n := len(w.historyOf(jobID(0))) + len(north.History()); n > 0 {
		t.Errorf("%d runs", n)
	}
	w.orderZone("north", true)
	w.waitFor("job completed", func() bool { return w.state(jobID(0)) == workload.JobCompleted })
	if len(north.History()) == 0 || len(south.History()) == 0 {
		t.Error("the members did not run on both workers")
	}
}

// Guards against a task that a maintenance wave displaces into an evacuated zone, and against a
// wave that passes over an instance there.
func TestWaveInEvacuatedZone(t *testing.T) {
	w := newTestEnv(t)
	service := &platformtest.Machines{Away: 100 * time.Millisecond, Stop: w.crash}
	zones := map[string]string{"m0": "north", "m1": "north", "m2": "south"}
	upkeeps := map[string]int{}
	service.Start = func(m *platformtest.Machine) string {
		upkeeps[m.Name]++
		id := m.Name + "-" + string(rune('0'+upkeeps[m.Name]))
		w.workerOf(&platformtest.Worker{ID: id, Pool: m.Pool, Zone: zones[m.Name], RunTime: time.Hour, Lasting: true})
		return id
	}
	machine := func(name string) *platformtest.Machine {
		return &platformtest.Machine{Name: name, Zone: zones[name], Pool: "p", State: "up", Capacity: 4000, MemoryMB: 4000}
	}
	first := machine("m0")
	first.Worker = service.Start(first)
	w.machines = service.Serve([]*platformtest.Machine{first})
	t.Cleanup(service.Close)
	w.startLeader()
	w.putDocumentWithoutStandby()
	lasting := step(2)
	lasting.LongRunning, lasting.MaxUnavailable = true, 1
	w.submit(jobID(0), lasting)
	w.waitFor("tasks running", func() bool { return len(w.history()) == 2 })
	for _, name := range []string{"m1", "m2"} {
		service.Add(machine(name))
	}
	w.waitFor("workers registered", func() bool { return w.workerCount() == 3 })
	w.orderZone("north", false)
	w.startWave(1, "m0")
	w.waitFor("upkeep", func() bool {
		for _, m := range service.Snapshot() {
			if m.Name == "m0" {
				return len(m.Upkeeps) == 1
			}
		}
		return false
	})
	w.waitFor("tasks running elsewhere", func() bool {
		n := 0
		for _, r := range w.history() {
			if r.Worker == "m2-1" && r.Ended.IsZero() {
				n++
			}
		}
		return n == 2
	})
	for _, r := range w.history() {
		if r.Worker == "m1-1" || r.Worker == "m0-2" {
			t.Errorf("task %s began on %s, in the evacuated zone", r.Task, r.Worker)
		}
	}
	w.checkConsistency()
}

// Guards against an order that is rejected once it was accepted, and against one for a zone that
// the deployment does not have. The worker that made the zone known may be gone by the repetition.
func TestUnknownZoneIsRefused(t *testing.T) {
	w := newTestEnv(t)
	w.zones = []string{"south"}
	w.startLeader()
	w.putDocument()
	w.zoneWorker("w1", "north", &platformtest.Worker{})
	if err := w.EvacuateZone(t.Context(), "east", false); !errors.Is(err, workload.ErrUnknownZone) {
		t.Errorf("start for an unknown zone: %v", err)
	}
	w.orderZone("east", true)
	w.orderZone("south", false)
	w.orderZone("north", false)
	w.crash("w1")
	w.waitFor("worker gone", func() bool { return w.workerCount() == 0 })
	w.orderZone("north", false)
	w.orderZone("north", true)
	w.orderZone("north", true)
	w.zones = nil
	w.startLeader()
	w.orderZone("anywhere", false)
}

// Guards against a late order that undoes a newer one: one that is too old when it is about to
// take its place in the log, or whose caller has given up.
func TestExpiredZoneOrderIsNotCommitted(t *testing.T) {
	w := newTestEnv(t)
	w.startLeader()
	w.putDocument()
	w.orderZone("north", false)
	old := &driver.ZoneOrder{Zone: "north", Finish: true, Expired: func() bool { return true }}
	if err := w.current().EvacuateZone(t.Context(), old); !errors.Is(err, driver.ErrOrderExpired) {
		t.Errorf("old order: %v", err)
	}
	ctx, giveUp := context.WithCancel(t.Context())
	giveUp()
	abandoned := &driver.ZoneOrder{Zone: "north", Finish: true, Expired: func() bool { return false }}
	if err := w.current().EvacuateZone(ctx, abandoned); err == nil {
		t.Error("an abandoned order was acknowledged")
	}
	w.orderZone("south", false) // comes after both
	w.log.read(func(s *workload.State) {
		if !s.IsEvacuated("north") {
			t.Error("an expired order was committed")
		}
	})
}

// Guards against an acknowledgement before the commit.
func TestZoneOrderIsAnsweredAfterCommit(t *testing.T) {
	w := newTestEnv(t)
	committed := make(chan struct{})
	w.log.committing = func(b *workload.Batch) {
		for i := range b.Commands {
			if b.Commands[i].EvacuateZone != nil {
				<-committed
			}
		}
	}
	w.startLeader()
	w.putDocument()
	answered := make(chan error, 1)
	go func() { answered <- w.EvacuateZone(context.Background(), "north", false) }()
	select {
	case err := <-answered:
		t.Fatalf("answered before the commit: %v", err)
	case <-time.After(100 * time.Millisecond):
	}
	close(committed)
	if err := <-answered; err != nil {
		t.Fatal(err)
	}
}

// Guards against an evacuated zone whose instances count as capacity of their pool or are taken to
// cover a shortage, and against long-running tasks there that request capacity elsewhere.
func TestCapacityOfEvacuatedZoneIsReplaced(t *testing.T) {
	w := newTestEnv(t)
	service := newFleetOf(t, w, 0, &platformtest.Worker{RunTime: time.Hour, Lasting: true})
	machine := func(name, zone, pool string) *platformtest.Machine {
		return &platformtest.Machine{Name: name, Zone: zone, Pool: pool, State: "up", Capacity: 4000, MemoryMB: 4000}
	}
	start := service.Start
	service.Start = func(m *platformtest.Machine) string {
		if m.Zone != "north" || m.Pool != "p" {
			return start(m)
		}
		w.workerOf(&platformtest.Worker{ID: m.Name, Pool: m.Pool, Zone: m.Zone, RunTime: time.Hour, Lasting: true})
		return m.Name
	}
	service.Add(machine("m0", "north", "p"))
	lasting := step(1)
	lasting.LongRunning = true
	w.submit(jobID(0), lasting)
	w.waitFor("task running", func() bool { return len(w.history()) == 1 })
	w.orderZone("north", false)
	for n := range 3 {
		service.Add(machine("n"+string(rune('0'+n)), "north", "spare"))
		service.Add(machine("s"+string(rune('0'+n)), "south", "spare"))
	}
	w.waitFor("capacity replaced", func() bool { return instancesIn(service, "p") == 2 })
	enough := service.Readings() + 3
	w.waitFor("further plans", func() bool { return service.Readings() >= enough })
	for _, m := range service.Snapshot() {
		if m.Zone == "north" && m.Name != "m0" && m.Pool == "p" {
			t.Errorf("%s, in the evacuated zone, was moved to cover the shortage", m.Name)
		}
	}
	if n := instancesIn(service, "p"); n != 2 {
		t.Errorf("%d instances in the pool, want the evacuated one and one beyond the demand", n)
	}
	if run := w.history()[0]; !run.Ended.IsZero() {
		t.Error("the long-running task was ended")
	}
}
