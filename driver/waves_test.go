package driver_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"magnoliastand.example/platform/platformtest"
	"magnoliastand.example/workload"
)

// startWaves starts waves 1, 2 and so on at a time, each over the given instances with a limit
// of one. Each is due a minute after the one before it, the first in an hour.
func (w *testEnv) startWaves(instances ...[]string) {
	w.t.Helper()
	for i, names := range instances {
		wave := &workload.Wave{ID: int64(i + 1), Instances: names, MaxDown: 1}
		if err := w.current().StartWave(w.t.Context(), wave, 3_600_000+60_000*workload.Millis(i)); err != nil {
			w.t.Fatal(err)
		}
	}
}

// waitForWaves waits until waves 1 to n are completed.
func (w *testEnv) waitForWaves(n int) {
	w.t.Helper()
	for id := range n {
		w.waitFor(fmt.Sprintf("wave %d completed", id+1), func() (done bool) {
			w.log.read(func(s *workload.State) { done = s.Waves()[int64(id+1)].Completed() })
			return done
		})
	}
}

// begun returns the instances of a wave whose upkeep has begun.
func (w *testEnv) begun(wave int64) (names []string) {
	w.log.read(func(s *workload.State) {
		if o := s.Waves()[wave]; o != nil {
			names = slices.Sorted(maps.Keys(o.Begun))
		}
	})
	return names
}

// LOST: an instance that was cordoned for a wave got neither its upkeep nor work once another
// wave that is due earlier went on.
func TestWaveGoesOnBesideOneThatIsDueEarlier(t *testing.T) {
	w := newTestEnv(t)
	service := newFleetOf(t, w, 3, &platformtest.Worker{RunTime: 2 * time.Second})
	w.putDocumentWithoutStandby()
	service.Away = time.Hour // the earlier wave never ends
	w.waitFor("workers registered", func() bool { return w.workerCount() == 3 })
	w.submit(jobID(0), step(12))
	w.waitFor("tasks started", func() bool { return len(w.history()) == 12 })
	later := &workload.Wave{ID: 2, Instances: []string{"m0"}, MaxDown: 1}
	if err := w.current().StartWave(t.Context(), later, 7_200_000); err != nil {
		t.Fatal(err)
	}
	w.waitForLists(service, 1) // m0 is cordoned, and its tasks go on
	w.startWaves([]string{"m1", "m2"})
	w.waitFor("upkeep of the later wave", func() bool { return len(w.begun(2)) == 1 })
	if len(w.begun(1)) > 1 {
		t.Error("both instances of the earlier wave have begun their upkeep, one may be down")
	}
}

// LOST: an instance that was cordoned for a wave and belongs to another one that is due earlier
// blocked both: it counted as down for the other one, which could not take it.
func TestInstanceCordonedForLaterWaveGetsBothUpkeeps(t *testing.T) {
	w := newTestEnv(t)
	service := newFleetOf(t, w, 2, &platformtest.Worker{RunTime: 2 * time.Second})
	w.putDocumentWithoutStandby()
	w.waitFor("workers registered", func() bool { return w.workerCount() == 2 })
	w.submit(jobID(0), step(8))
	w.waitFor("tasks started", func() bool { return len(w.history()) == 8 })
	later := &workload.Wave{ID: 2, Instances: []string{"m0"}, MaxDown: 1}
	if err := w.current().StartWave(t.Context(), later, 7_200_000); err != nil {
		t.Fatal(err)
	}
	w.waitForLists(service, 1) // m0 is cordoned, and its tasks go on
	w.startWaves([]string{"m0", "m1"})
	w.waitForWaves(2)
	for i, m := range service.Snapshot() {
		if want := []int{2, 1}[i]; len(m.Upkeeps) != want {
			t.Errorf("%s had %d upkeeps, want %d", m.Name, len(m.Upkeeps), want)
		}
	}
	for _, wave := range []int64{1, 2} {
		if n := service.MostDownOf(wave); n > 1 {
			t.Errorf("%d instances were down for wave %d, 1 is allowed", n, wave)
		}
	}
	w.checkConsistency()
}

// Each upkeep of an instance in two waves counts against the limit of its own wave, also for the
// next leader, and the second one begins once the first is over.
func TestInstancesInTwoWavesGetBothUpkeeps(t *testing.T) {
	for _, leaders := range []int{1, 3} {
		t.Run(fmt.Sprint(leaders, " leaders"), func(t *testing.T) {
			t.Parallel()
			w := newTestEnv(t)
			service := newFleet(t, w, 4)
			w.putDocumentWithoutStandby()
			w.waitForLists(service, 1)
			w.startWaves([]string{"m0", "m1", "m2"}, []string{"m2", "m1", "m0", "m3"})
			for n := range leaders - 1 {
				w.waitFor("upkeeps", func() bool { return len(w.begun(1))+len(w.begun(2)) > n })
				w.startLeader()
			}
			w.waitForWaves(2)
			for i, m := range service.Snapshot() {
				if want := []int{2, 2, 2, 1}[i]; len(m.Upkeeps) != want {
					t.Errorf("%s had %d upkeeps, want %d", m.Name, len(m.Upkeeps), want)
				}
			}
			for _, wave := range []int64{1, 2} {
				if n := service.MostDownOf(wave); n > 1 {
					t.Errorf("%d instances were down for wave %d, 1 is allowed", n, wave)
				}
			}
			w.checkConsistency()
		})
	}
}

// lastingRuns returns the runs of each task of job 0 in the order in which they began.
func (w *testEnv) lastingRuns() map[string][]platformtest.Run {
	runs := map[string][]platformtest.Run{}
	for _, r := range w.historyOf(jobID(0)) {
		runs[r.Task] = append(runs[r.Task], r)
	}
	for _, list := range runs {
		slices.SortFunc(list, func(a, b platformtest.Run) int { return a.Begun.Compare(b.Begun) })
	}
	return runs
}

// AVAIL: two waves that advance at a time must not each take down a task of a step of which one
// may be unavailable.
func TestWavesShareAvailabilityBudgets(t *testing.T) {
	w := newTestEnv(t)
	service := newLastingFleet(t, w, 4)
	w.submitLasting(3)
	w.waitFor("tasks at work", func() bool { return len(w.history()) == 3 })
	w.startWaves([]string{"m0", "m1"}, []string{"m2", "m3"})
	w.waitForWaves(2)
	checkUpkeeps(t, service)
	w.waitFor("tasks at work", func() bool {
		n := 0
		for _, r := range w.history() {
			if r.How == "" {
				n++
			}
		}
		return n == 3
	})
	runs := w.lastingRuns()
	for task, list := range runs {
		for _, r := range list {
			if r.How == "" {
				continue
			}
			for other, others := range runs {
				if other != task && !slices.ContainsFunc(others, func(o platformtest.Run) bool {
					return o.Begun.Before(r.Ended) && (o.How == "" || o.Ended.After(r.Ended))
				}) {
					t.Errorf("task %s was %s while %s was unavailable", task, r.How, other)
				}
			}
		}
	}
	w.checkConsistency()
}

// RESTART: a wave must not set aside the only instance with room for a task that another wave
// displaces: the task would wait until the upkeep of one of them is over.
func TestWaveLeavesRoomForTaskOfAnotherWave(t *testing.T) {
	w := newTestEnv(t)
	service := newLastingFleet(t, w, 2)
	service.Away = 3 * time.Second
	w.submitLasting(1)
	w.waitFor("task at work", func() bool { return len(w.history()) == 1 })
	host, free := "m0", "m1"
	if w.runningOn(service, free) == 1 {
		host, free = free, host
	}
	room := ""
	for _, m := range service.Snapshot() {
		if m.Name == free {
			room = m.Worker
		}
	}
	w.startWaves([]string{host}, []string{free})
	w.waitForWaves(2)
	w.waitFor("task at work", func() bool { return w.runningOn(service, host)+w.runningOn(service, free) == 1 })
	if runs := w.lastingRuns()[jobID(0)+".0.0.0"]; len(runs) < 2 || runs[1].Worker != room {
		t.Errorf("runs %+v, want the second one on %s", runs, room)
	}
	w.checkConsistency()
}

// LOST: an instance stayed cordoned for as long as a budget did not allow its last task to be
// stopped, here for good, and received no work meanwhile.
func TestInstanceBlockedByBudgetIsReleased(t *testing.T) {
	w := newTestEnv(t)
	service := newLastingFleet(t, w, 2)
	w.submitLasting(2)
	w.waitFor("tasks at work", func() bool { return w.runningOn(service, "m0")+w.runningOn(service, "m1") == 2 })
	workers := map[string]*platformtest.Worker{}
	w.mu.Lock()
	for _, m := range service.Snapshot() {
		workers[m.Name] = w.workers[m.Worker]
	}
	w.mu.Unlock()
	workers["m1"].Drain() // its task fits nowhere else
	w.waitFor("task of the draining worker ended", func() bool { return w.runningOn(service, "m1") == 0 })
	w.startWave(1, "m0")
	w.waitForLists(service, 1) // m0 is cordoned
	w.submit(jobID(1), step(1))
	w.waitFor("task started", func() bool { return len(w.historyOf(jobID(1))) > 0 })
	if runs := workers["m0"].History(); runs[0].How != "" {
		t.Errorf("the task that the budget protects was %s", runs[0].How)
	}
	if resp := w.request(workload.VerbCancel, jobID(1)); resp.Answer != workload.AnswerOK {
		t.Fatal(resp.Answer)
	}
	service.StopWorker("m1")
	service.StartWorker("m1") // the waiting task starts here, and the budget allows the upkeep
	w.waitForWave()
	w.checkConsistency()
}
