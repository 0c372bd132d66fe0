package driver_test

import (
	"maps"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"magnoliastand.example/platform/platformtest"
	"magnoliastand.example/workload"
)

// startWave starts a wave over instances that has an hour's time.
func (w *testEnv) startWave(maxDown int, instances ...string) {
	w.t.Helper()
	wave := &workload.Wave{ID: 1, Instances: instances, MaxDown: maxDown}
	if err := w.current().StartWave(w.t.Context(), wave, 3_600_000); err != nil {
		w.t.Fatal(err)
	}
}

// wave returns a copy of the wave that startWave has started.
func (w *testEnv) wave() workload.Wave {
	var wave workload.Wave
	w.log.read(func(s *workload.State) {
		wave = *s.Waves()[1]
		wave.Begun, wave.Dropped = maps.Clone(wave.Begun), maps.Clone(wave.Dropped)
		wave.Ordered = maps.Clone(wave.Ordered)
	})
	return wave
}

func (w *testEnv) waitForWave() {
	w.t.Helper()
	w.waitFor("wave completed", func() bool { wave := w.wave(); return wave.Completed() })
}

// checkUpkeeps checks that every instance of the service had one upkeep.
func checkUpkeeps(t *testing.T, service *platformtest.Machines) {
	t.Helper()
	for _, m := range service.Snapshot() {
		if len(m.Upkeeps) != 1 {
			t.Errorf("wave completed while %s had %d upkeeps", m.Name, len(m.Upkeeps))
		}
	}
}

// MIXED: a wave was completed without instances that had joined while the list of instances
// could not be read. The list in force was older than they were.
func TestWaveTakesInstancesThatTheLastListLacks(t *testing.T) {
	w := newTestEnv(t)
	service := newFleet(t, w, 2)
	w.waitFor("instances listed", func() bool { return service.Readings() > 0 })
	service.SetListFails(true)
	service.Add(&platformtest.Machine{Name: "m2", Pool: "p", State: "up", Capacity: 4000, MemoryMB: 4000})
	w.startWave(3, "m0", "m1", "m2")
	w.waitFor("upkeep of the listed instances", func() bool {
		wave := w.wave()
		return wave.Begun["m0"] && wave.Begun["m1"]
	})
	if wave := w.wave(); !wave.IsPending("m2") {
		t.Error("an instance was dropped from its wave because of a list older than the wave")
	}
	service.SetListFails(false)
	w.waitForWave()
	checkUpkeeps(t, service)
}

// MIXED: a wave was completed without an instance that one reading of the list had missed,
// because entries change their pages while the list is read.
func TestWaveTakesInstanceThatOneListLacks(t *testing.T) {
	w := newTestEnv(t)
	service := newFleet(t, w, 3)
	w.waitFor("instances listed", func() bool { return service.Readings() > 0 })
	service.Hide("m1", 1)
	w.startWave(1, "m0", "m1", "m2")
	w.waitForWave()
	checkUpkeeps(t, service)
}

// LIMIT: an instance that was down for its upkeep and missed by one reading of the list no
// longer counted as down, and another one was taken down beside it.
func TestInstanceThatOneListLacksCountsAsDown(t *testing.T) {
	w := newTestEnv(t)
	service := newFleet(t, w, 3)
	service.Away = time.Hour // the first instance taken down never returns
	w.putDocumentWithoutStandby()
	w.waitFor("instances listed", func() bool { return service.Readings() > 0 })
	w.startWave(1, "m0", "m1", "m2")
	down := ""
	w.waitFor("instance listed as down", func() bool {
		for name := range w.wave().Begun {
			down = name
		}
		return down != ""
	})
	enough := service.Readings() + 1
	w.waitFor("instances listed", func() bool { return service.Readings() >= enough })
	service.Hide(down, 1)
	enough = service.Readings() + 2
	w.waitFor("instances listed", func() bool { return service.Readings() >= enough })
	for _, m := range service.Snapshot() {
		if m.Name != down && len(m.Upkeeps) > 0 {
			t.Errorf("%s was taken down while %s was down, 1 is allowed", m.Name, down)
		}
	}
}

// A wave ends although one of its instances has left the fleet, also if the leader that
// started it is gone.
func TestWaveEndsWithoutDepartedInstance(t *testing.T) {
	w := newTestEnv(t)
	service := newFleet(t, w, 3)
	w.waitFor("instances listed", func() bool { return service.Readings() > 0 })
	service.SetListFails(true)
	w.startWave(3, "m0", "m1", "m2")
	w.startLeader()
	service.Remove("m1")
	service.SetListFails(false)
	w.waitForWave()
	if wave := w.wave(); !wave.Dropped["m1"] || len(wave.Dropped) != 1 {
		t.Errorf("instances that left the fleet: %v", wave.Dropped)
	}
	checkUpkeeps(t, service)
}

// LIMIT: an upkeep whose order was under way when its leader was lost was carried out late,
// beside one that the next leader had ordered: orders were known to their leader alone.
func TestNextLeaderCountsOrderedUpkeep(t *testing.T) {
	w := newTestEnv(t)
	service := newFleet(t, w, 3)
	service.Away = 2 * time.Second // longer than the order is under way
	w.putDocumentWithoutStandby()
	w.waitFor("instances listed", func() bool { return service.Readings() > 0 })
	arrived := make(chan struct{})
	var once sync.Once
	service.OnOrder = func() { once.Do(func() { close(arrived) }) }
	service.SetDelay(1500 * time.Millisecond)
	w.startWave(1, "m0", "m1", "m2")
	<-arrived
	service.SetDelay(0)
	service.Hide("m0", 1) // the next leader would take another instance
	w.startLeader()
	w.waitForWave()
	checkUpkeeps(t, service)
	if service.MostDown > 1 {
		t.Errorf("%d instances were down at once, 1 is allowed", service.MostDown)
	}
	w.checkConsistency()
}

// A worker on an instance whose upkeep an earlier leader had ordered received a task before
// the next leader had read the list, and the late order ended it.
func TestOrderedInstanceReceivesNoWorkFromNextLeader(t *testing.T) {
	w := newTestEnv(t)
	service := newLastingFleet(t, w, 1)
	arrived := make(chan struct{})
	var once sync.Once
	service.OnOrder = func() { once.Do(func() { close(arrived) }) }
	service.SetDelay(1500 * time.Millisecond)
	w.startWave(1, "m0")
	<-arrived
	service.SetListFails(true)
	w.startLeader()
	w.submitLasting(1)
	time.Sleep(2 * time.Second) // the order is carried out
	if n := w.gone(); n > 0 {
		t.Errorf("%d tasks were at work on an instance when it was taken down", n)
	}
	service.SetListFails(false)
	w.waitForWave()
	w.waitFor("task at work", func() bool { return w.runningOn(service, "m0") == 1 })
	w.checkConsistency()
}

// An upkeep that is refused because its instance is not up is withdrawn, and ordered again
// once it is.
func TestRefusedUpkeepIsOrderedAgain(t *testing.T) {
	w := newTestEnv(t)
	service := newFleet(t, w, 1)
	w.putDocumentWithoutStandby()
	w.waitFor("instances listed", func() bool { return service.Readings() > 0 })
	var orders atomic.Int64
	service.OnOrder = func() { orders.Add(1) }
	service.SetListFails(true) // the driver does not learn that the instance is down
	service.SetState("m0", "down")
	w.startWave(1, "m0")
	w.waitFor("refused orders", func() bool { return orders.Load() > 2 })
	w.waitFor("order withdrawn", func() bool { return len(w.wave().Ordered) == 0 })
	service.SetState("m0", "up")
	w.waitForWave()
	checkUpkeeps(t, service)
}
