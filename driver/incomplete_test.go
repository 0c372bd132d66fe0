package driver_test

import (
	"testing"
	"time"

	"magnoliastand.example/platform/platformtest"
)

// garbledEntries are what the list may have in place of an entry, none of which says whose it is.
func garbledEntries(name string) map[string]string {
	return map[string]string{
		"wrong type": `{"machine":"` + name + `","pool":"p","state":"up","zone":"z","labels":["a","r1"],"capacity":"4000","id":null}`,
		"not JSON":   `{"machine":"` + name + `","pool":nil,"state":up}`,
	}
}

// waitForLists waits until the list has been read some times more.
func (w *testEnv) waitForLists(service *platformtest.Machines, n int) {
	w.t.Helper()
	enough := service.Readings() + n
	w.waitFor("instances listed", func() bool { return service.Readings() >= enough })
}

// MIXED: an instance whose entry could not be read for some seconds was removed from its wave,
// and the wave was reported as completed without it. The next leader knows no earlier list.
func TestWaveKeepsInstanceWithUnreadableEntry(t *testing.T) {
	for name, entry := range garbledEntries("m1") {
		for _, leader := range []string{"same leader", "next leader"} {
			t.Run(name+", "+leader, func(t *testing.T) {
				t.Parallel()
				w := newTestEnv(t)
				service := newFleet(t, w, 3)
				service.Away = 2 * time.Second // m1 is pending for longer than two lists take
				w.putDocumentWithoutStandby()
				w.waitForLists(service, 1)
				service.Garble("m1", entry)
				if leader == "next leader" {
					w.startLeader()
				}
				w.startWave(1, "m0", "m1", "m2")
				w.waitForLists(service, 5)
				if wave := w.wave(); len(wave.Dropped) > 0 {
					t.Errorf("instances said to have left the fleet: %v", wave.Dropped)
				}
				service.Garble("m1", "")
				w.waitForWave()
				checkUpkeeps(t, service)
				w.checkConsistency()
			})
		}
	}
}

// LIMIT: an instance that was down for its upkeep no longer counted as down while its entry could
// not be read, and another one was taken down beside it. The next leader has not seen it down.
func TestInstanceWithUnreadableEntryCountsAsDown(t *testing.T) {
	for name, entry := range garbledEntries("") {
		for _, leader := range []string{"same leader", "next leader"} {
			t.Run(name+", "+leader, func(t *testing.T) {
				t.Parallel()
				w := newTestEnv(t)
				service := newFleet(t, w, 3)
				service.Away = time.Hour // the first instance taken down never returns
				w.putDocumentWithoutStandby()
				w.waitForLists(service, 1)
				w.startWave(1, "m0", "m1", "m2")
				down := ""
				w.waitFor("instance down", func() bool {
					for name := range w.wave().Begun {
						down = name
					}
					return down != ""
				})
				service.Garble(down, entry)
				if leader == "next leader" {
					w.startLeader()
				}
				w.waitForLists(service, 5)
				if service.MostDown > 1 {
					t.Errorf("%d instances were down at once, 1 is allowed", service.MostDown)
				}
			})
		}
	}
}

// A wave must not wait for an instance that has left the fleet once lists are complete, although
// none could be read as a whole when it left.
func TestWaveEndsWithoutInstanceThatLeftUnseen(t *testing.T) {
	w := newTestEnv(t)
	service := newFleet(t, w, 3)
	w.waitForLists(service, 1)
	service.Garble("m0", `7`)
	service.Remove("m1")
	w.startLeader()
	w.startWave(3, "m0", "m1", "m2")
	w.waitForLists(service, 4)
	if wave := w.wave(); len(wave.Dropped) > 0 {
		t.Errorf("instances said to have left the fleet by incomplete lists: %v", wave.Dropped)
	}
	service.Garble("m0", "")
	w.waitForWave()
	if wave := w.wave(); !wave.Dropped["m1"] || len(wave.Dropped) != 1 {
		t.Errorf("instances that left the fleet: %v", wave.Dropped)
	}
	checkUpkeeps(t, service)
}
