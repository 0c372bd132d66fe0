package driver_test

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"magnoliastand.example/platform"
	"magnoliastand.example/platform/platformtest"
	"magnoliastand.example/workload"
)

// One entry of the list of instances that can't be read made the list unreadable,
// so that the wave went no further.
func TestWavePassesUnreadableInstances(t *testing.T) {
	for name, entry := range map[string]string{
		"deeply nested":      `{"machine":"odd","labels":` + strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000) + `}`,
		"number too large":   `{"machine":"odd","pool":"p","state":"up","zone":"z","labels":[],"capacity":{"cpu":1e400},"id":null}`,
		"capacity too large": `{"machine":"odd","pool":"p","state":"up","zone":"z","labels":["a"],"capacity":{"cpu":9223372036854775807},"id":null}`,
		"another type":       `7`,
		"unnamed state":      `{"machine":"m0","pool":"p","state":"resting","zone":"z","labels":["a"],"capacity":{"cpu":4000},"id":"m0-1"}`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestEnv(t)
			service := newFleet(t, w, 3)
			service.SetExtra(entry)
			wave := &workload.Wave{ID: 1, Instances: []string{"m0", "m1", "m2"}, MaxDown: 2}
			if err := w.current().StartWave(t.Context(), wave, 60_000); err != nil {
				t.Fatal(err)
			}
			w.waitFor("wave completed", func() bool {
				done := false
				w.log.read(func(s *workload.State) { done = s.Waves()[1].Completed() })
				return done
			})
			for _, m := range service.Snapshot() {
				if len(m.Upkeeps) != 1 {
					t.Errorf("%s had %d upkeeps", m.Name, len(m.Upkeeps))
				}
			}
			w.checkConsistency()
		})
	}
}

// A worker's id that isn't UTF-8 can't be decoded from the log. Each announcement
// of it stopped the leader's driver.
func TestUnreadableAnnouncementsStopNoDriver(t *testing.T) {
	w := newTestEnv(t)
	w.startLeader()
	w.putDocument()
	w.worker("w1", "p", 20*time.Millisecond)
	const announcement = `{"service":"p","address":"127.0.0.1:9","zone":"z","state":"ready","capacity":{"cpu":9000,"mem_mb":9000},"labels":["a"],"current_time_ms":5,"seq":4,"born":7}`
	for name, tc := range map[string]struct{ id, old, replacement string }{
		"id not UTF-8":        {id: "%FF"},
		"id not UTF-8, lower": {id: "%ff"},
		"id with control":     {id: "a%0ab"},
		"empty id":            {id: "%20"},
		"long id":             {id: strings.Repeat("w", 5000)},
		"port too high":       {"odd", ":9", ":99999"},
		"no port":             {"odd", ":9", ""},
		"million labels":      {"odd", `"a"`, `"` + strings.Repeat(`","`, 1<<20) + `"`},
		"large capacity":      {"odd", "9000", "9223372036854775807"},
		"infinite capacity":   {"odd", "9000", "1e400"},
		"born in years":       {"w1", `"born":7`, `"born":9223372036854775807`},
		"large clock":         {"odd", `"current_time_ms":5`, `"current_time_ms":9223372036854775807`},
		"large sequence":      {"odd", `"seq":4`, `"seq":9223372036854775807`},
		"deeply nested":       {"odd", `["a"]`, strings.Repeat("[", 1<<20) + strings.Repeat("]", 1<<20)},
		"another type":        {"odd", `"z"`, `["z"]`},
		"half an object":      {"odd", `7}`, `7`},
		"without a capacity":  {"w1", `"capacity":{"cpu":9000,"mem_mb":9000},`, ``},
		"negative capacity":   {"odd", "9000", "-9000"},
		"address with a path": {"odd", "127.0.0.1:9", "127.0.0.1:9/x?"},
	} {
		t.Run(name, func(t *testing.T) {
			body := strings.Replace(announcement, tc.old, tc.replacement, 1)
			resp, err := http.Post(w.control.URL+"/executors/"+tc.id+"/heartbeat", "application/json", strings.NewReader(body))
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusBadRequest {
				t.Errorf("status %d", resp.StatusCode)
			}
			select {
			case <-w.current().Done():
				t.Error("the driver has stopped")
				w.startLeader()
			case <-time.After(50 * time.Millisecond):
			}
		})
	}
	w.log.read(func(s *workload.State) {
		for id := range s.Workers() {
			if id != "w1" {
				t.Errorf("worker %.40q is registered", id)
			}
		}
	})
	w.submit(jobID(1), step(4))
	w.waitFor("job completed", func() bool { return w.state(jobID(1)) == workload.JobCompleted })
	w.checkConsistency()
}

// allNoted reports whether the ends of all runs of a job were acknowledged to their workers.
func (w *testEnv) allNoted(job string) bool {
	runs := w.historyOf(job)
	return len(runs) > 0 && !slices.ContainsFunc(runs, func(r platformtest.Run) bool { return !r.Noted })
}

// A row of another writer in the list of ends kept all later ends from being acknowledged, so
// that the list grew to its limit and hid further ends.
func TestForeignEndDoesNotBlockAcknowledgements(t *testing.T) {
	w := newTestEnv(t)
	w.lease = 1700 * time.Millisecond // shorter than the wait, with time for a stall of the machine
	worker := w.startWithWorker(20 * time.Millisecond)
	worker.AddForeignEnd()
	w.submit(jobID(0), step(3))
	w.waitFor("job completed", func() bool { return w.state(jobID(0)) == workload.JobCompleted })
	w.waitFor("ends acknowledged", func() bool { return w.allNoted(jobID(0)) })
	if n := len(w.history()); n != 3 {
		t.Errorf("%d runs of 3 tasks", n)
	}
	w.checkConsistency()
}

// A row of another writer kept the list of ends at its limit. The ends that did not fit in
// were never read, so that their tasks remained assigned.
func TestForeignEndDoesNotFillList(t *testing.T) {
	w := newTestEnv(t)
	w.lease = 10 * time.Second
	worker := w.startWithWorker(time.Millisecond)
	worker.AddForeignEnd()
	w.submit(jobID(0), step(520))
	w.waitFor("job completed", func() bool { return w.state(jobID(0)) == workload.JobCompleted })
	w.checkConsistency()
}

// A start without an answer was left unsettled as long as a row that was listed before the
// order could not be read.
func TestLostStartBesideForeignEndIsSettled(t *testing.T) {
	w := newTestEnv(t)
	h := &lostOrders{Client: w.client}
	h.pass.Store(true)
	w.orders = h
	worker := w.startWithWorker(20 * time.Millisecond)
	worker.AddForeignEnd()
	holds := worker.Holds()
	w.submit(jobID(0), step(1))
	w.waitFor("worker held", func() bool { return worker.Holds() > holds })
	w.waitFor("start voided", func() bool { return w.ends(workload.OutcomeNotRun) > 0 })
}

// The row of a run cannot be read for some seconds. The run is done and must not be repeated.
func TestEndThatBecomesReadableCounts(t *testing.T) {
	w := newTestEnv(t)
	w.lease = 10 * time.Second
	worker := w.startWithWorker(20 * time.Millisecond)
	worker.SetFaults(platformtest.Faults{GarbleEnds: true})
	w.submit(jobID(0), step(2))
	w.waitFor("runs done", func() bool {
		return len(w.history()) == 2 && !slices.ContainsFunc(w.history(), func(r platformtest.Run) bool { return r.How != "done" })
	})
	time.Sleep(5 * time.Second)
	worker.SetFaults(platformtest.Faults{})
	w.waitFor("job completed", func() bool { return w.state(jobID(0)) == workload.JobCompleted })
	if n := len(w.history()); n != 2 {
		t.Errorf("%d runs of 2 tasks", n)
	}
	w.checkConsistency()
}

// A run whose row can never be read was left unsettled for good, and its job with it.
func TestRunWithUnreadableEndIsSettled(t *testing.T) {
	w := newTestEnv(t)
	w.lease = 20 * time.Second
	worker := w.startWithWorker(time.Hour)
	worker.SetFaults(platformtest.Faults{GarbleEnds: true})
	task := step(1)
	task.Estimate = time.Hour.Milliseconds() // no run counts as stalled
	w.submit(jobID(0), task)
	w.waitFor("task started", func() bool { return len(w.history()) == 1 })
	time.Sleep(700 * time.Millisecond) // a hold lists it
	worker.EndAll("failed")
	w.waitFor("task started again", func() bool { return len(w.history()) == 2 })
	w.checkConsistency()
}

// garbledRuns makes one row of the lists of two running tasks unreadable: that of the task whose
// index garbled returns for the number of the list, or none if it is negative.
type garbledRuns struct {
	*platform.Client
	garbled func(list int) int
	lists   int
}

func (h *garbledRuns) Hold(ctx context.Context, e platform.Endpoint, o *platform.HoldOrder) (*platform.Lists, error) {
	l, err := h.Client.Hold(ctx, e, o)
	if err != nil || len(l.Running) < 2 {
		return l, err
	}
	h.lists++
	if index := h.garbled(h.lists); index >= 0 {
		l.Unreadable = 1
		l.Running = slices.DeleteFunc(l.Running, func(t platform.RunningTask) bool { return t.Task.Index == index })
	}
	return l, nil
}

// The row of one run could not be read in a list and that of another one in the next. Their
// number did not change, so the second run was taken as over and started again while it ran.
func TestRunsWithUnreadableRowsInTurnAreNotRepeated(t *testing.T) {
	for name, garbled := range map[string]func(list int) int{
		"in every list": func(list int) int { return list % 2 },
		"in two lists": func(list int) int {
			if list == 3 || list == 4 {
				return list % 2
			}
			return -1
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestEnv(t)
			w.lease = 10 * time.Second
			w.orders = &garbledRuns{Client: w.client, garbled: garbled}
			w.startWithWorker(time.Hour)
			task := step(2)
			task.Estimate = time.Hour.Milliseconds()
			w.submit(jobID(0), task)
			w.waitFor("tasks started", func() bool { return len(w.history()) >= 2 })
			time.Sleep(5 * time.Second)
			if n := len(w.history()); n != 2 {
				t.Errorf("%d runs of 2 tasks: %+v", n, w.history())
			}
			w.checkConsistency()
		})
	}
}

// Each new row of another writer restarted the wait of all ends behind the earlier ones. With one
// row a second, no end was acknowledged any more.
func TestForeignEndsInSuccessionDoNotBlockAcknowledgements(t *testing.T) {
	w := newTestEnv(t)
	w.lease = 10 * time.Second
	worker := w.startWithWorker(20 * time.Millisecond)
	worker.AddForeignEnd()
	w.submit(jobID(0), step(3))
	w.waitFor("job completed", func() bool { return w.state(jobID(0)) == workload.JobCompleted })
	for range 10 {
		time.Sleep(time.Second)
		if w.allNoted(jobID(0)) {
			return
		}
		worker.AddForeignEnd()
	}
	t.Error("ends not acknowledged within 10 s")
}

// hiddenEnd makes the row of the first end unreadable until the first acknowledgement, which does
// not reach the worker.
type hiddenEnd struct {
	*platform.Client
	released atomic.Bool
}

func (h *hiddenEnd) Hold(ctx context.Context, e platform.Endpoint, o *platform.HoldOrder) (*platform.Lists, error) {
	if o.Acked > 0 && h.released.CompareAndSwap(false, true) {
		return nil, platform.ErrBusy
	}
	l, err := h.Client.Hold(ctx, e, o)
	if err != nil || h.released.Load() || len(l.Ended) == 0 || l.Ended[0].Number != 1 {
		return l, err
	}
	l.Unreadable, l.Ended = 1, l.Ended[1:]
	for i := range l.Ended {
		l.Ended[i].Number = -l.Ended[i].Number
	}
	return l, nil
}

// A row became readable after an end behind it was committed with its number, and before that was
// acknowledged. It was skipped as acknowledged, and its done task ran again.
func TestEndReadableAfterLaterOneIsCommittedCounts(t *testing.T) {
	w := newTestEnv(t)
	w.lease = 20 * time.Second
	w.orders = &hiddenEnd{Client: w.client}
	w.startWithWorker(300 * time.Millisecond)
	w.submit(jobID(0), step(2))
	w.waitFor("runs done", func() bool {
		return len(w.history()) == 2 && !slices.ContainsFunc(w.history(), func(r platformtest.Run) bool { return r.How != "done" })
	})
	w.waitFor("job completed", func() bool { return w.state(jobID(0)) == workload.JobCompleted })
	if n := len(w.history()); n != 2 {
		t.Errorf("%d runs of 2 tasks", n)
	}
	w.checkConsistency()
}

// Unreadable rows were not counted among the listed ends, so ends were held back although the
// list was more than half full.
func TestEndsBesideManyForeignEndsAreNotHeldBack(t *testing.T) {
	w := newTestEnv(t)
	w.lease = 30 * time.Second
	worker := w.startWithWorker(20 * time.Millisecond)
	for range 260 {
		worker.AddForeignEnd()
	}
	worker.SetFaults(platformtest.Faults{LoseStarts: 1}) // it may be carried out for 15 s
	w.submit(jobID(0), step(1))
	w.waitFor("job completed", func() bool { return w.state(jobID(0)) == workload.JobCompleted })
	limit := time.Now().Add(10 * time.Second)
	for !w.allNoted(jobID(0)) {
		if time.Now().After(limit) {
			t.Fatal("end not acknowledged within 10 s")
		}
		time.Sleep(20 * time.Millisecond)
	}
}
