package driver_test

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"magnoliastand.example/driver"
	"magnoliastand.example/platform"
	"magnoliastand.example/platform/platformtest"
	"magnoliastand.example/workload"
)

// capacityOf returns the registered capacity of a worker.
func (w *testEnv) capacityOf(id string) workload.Size {
	var c workload.Size
	w.log.read(func(s *workload.State) {
		if known := s.Workers()[id]; known != nil {
			c = known.Capacity
		}
	})
	return c
}

// announcement returns an announcement of worker w1.
func announcement(address string, incarnation workload.Millis, sequence, processors int64) *platform.Announcement {
	return &platform.Announcement{Sequence: sequence, Clock: sequence, Worker: workload.Worker{
		ID: "w1", Incarnation: incarnation, Pool: "p", Address: address, Capacity: workload.Size{Processors: processors, MemoryMB: 4000},
	}}
}

// announceAs delivers an announcement of a worker that no process stands behind.
func (w *testEnv) announceAs(incarnation workload.Millis, sequence, processors int64) {
	w.t.Helper()
	if _, err := w.current().Announce(w.t.Context(), announcement("127.0.0.1:1", incarnation, sequence, processors)); err != nil {
		w.t.Fatal(err)
	}
}

// announceUncommitted delivers an announcement while the log is held up, and returns once
// the leader has handled it.
func (w *testEnv) announceUncommitted(a *platform.Announcement) {
	w.t.Helper()
	ctx, cancel := context.WithTimeout(w.t.Context(), 10*time.Millisecond)
	defer cancel()
	if _, err := w.current().Announce(ctx, a); !errors.Is(err, driver.ErrOutcomeUnknown) {
		w.t.Errorf("announcement %d answered before its commit: %v", a.Sequence, err)
	}
	w.request(workload.VerbCancel, "ffffffffffffffff") // handled after the announcement
}

// A worker's capacity has shrunk, and an earlier announcement, delayed on its way, arrives
// at the next leader. It must not raise the capacity again: tasks would be started beyond it.
func TestLateAnnouncementDoesNotRaiseCapacity(t *testing.T) {
	for name, incarnation := range map[string]workload.Millis{"start time": 7, "no start time": 0} {
		t.Run(name, func(t *testing.T) {
			w := newTestEnv(t)
			w.startLeader()
			w.putDocument()
			w.announceAs(incarnation, 3, 4000)
			w.announceAs(incarnation, 5, 1000)
			for _, leader := range []string{"same leader", "next leader", "second next leader"} {
				for _, sequence := range []int64{3, 4} {
					w.announceAs(incarnation, sequence, 4000)
					if got := w.capacityOf("w1").Processors; got != 1000 {
						t.Errorf("%s: announcement %d set the capacity to %d", leader, sequence, got)
					}
				}
				w.startLeader()
			}
			w.announceAs(incarnation, 6, 3000)
			if got := w.capacityOf("w1").Processors; got != 3000 {
				t.Errorf("a later announcement left the capacity at %d", got)
			}
			w.startLeader()
			w.announceAs(incarnation+1, 1, 2000)
			if got := w.capacityOf("w1").Processors; got != 2000 {
				t.Errorf("the first announcement of the next incarnation left the capacity at %d", got)
			}
		})
	}
}

// heldLog holds up the first batch that meets a condition.
func (w *testEnv) heldLog(meets func(*workload.Batch) bool) (held <-chan struct{}, release func()) {
	reached, gate := make(chan struct{}), make(chan struct{})
	var once sync.Once
	w.log.committing = func(b *workload.Batch) {
		if meets(b) {
			once.Do(func() { close(reached); <-gate })
		}
	}
	return reached, func() { close(gate) }
}

// A worker's capacity shrinks while assignments to it are being committed. The latest ones,
// which no longer fit, must not be started.
func TestNoOrderBeyondShrunkCapacity(t *testing.T) {
	w := newTestEnv(t)
	w.announce = time.Hour // the test announces the worker
	held, release := w.heldLog(func(b *workload.Batch) bool { return assignmentOf(b, 0) != nil })
	w.startLeader()
	w.putDocument()
	s, _ := w.silentWorker(&platformtest.Worker{ID: "w1", Pool: "p", RunTime: time.Hour})
	if _, err := w.current().Announce(t.Context(), announcement(s.Address, s.Born(), 1, 4000)); err != nil {
		t.Fatal(err)
	}
	w.submit(jobID(0), step(4))
	<-held
	w.announceUncommitted(announcement(s.Address, s.Born(), 2, 2000))
	release()
	w.waitFor("four assignments started or withheld", func() bool {
		return w.ends(workload.OutcomeNotRun)+float64(len(s.History())) >= 4
	})
	for _, r := range s.History() {
		if !strings.HasSuffix(r.Task, ".0.0.0") && !strings.HasSuffix(r.Task, ".0.0.1") {
			t.Errorf("%s was started beyond the capacity", r.Task)
		}
	}
	if n := len(s.History()); n != 2 {
		t.Errorf("%d runs begun, want the first two", n)
	}
	if _, err := w.current().Announce(t.Context(), announcement(s.Address, s.Born(), 3, 4000)); err != nil {
		t.Fatal(err)
	}
	w.waitFor("all tasks started", func() bool { return len(s.History()) == 4 })
	for _, r := range s.History() {
		if r.How != "" {
			t.Errorf("%s ended as %s", r.Task, r.How)
		}
	}
	w.checkConsistency()
}

// A change of a worker is being committed when the worker announces it once more, or an
// earlier leader's daemon passes the same announcement on again. An answer before the commit
// would confirm what the next leader doesn't know: a capacity that has shrunk, or that the
// worker is draining.
func TestRepeatedAnnouncementIsAnsweredAfterCommit(t *testing.T) {
	for name, change := range map[string]func(*platform.Announcement){
		"shrunk":   func(a *platform.Announcement) { a.Worker.Capacity.Processors = 2000 },
		"draining": func(a *platform.Announcement) { a.Worker.Draining = true },
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestEnv(t)
			registrations := 0
			held, release := w.heldLog(func(b *workload.Batch) bool {
				if len(b.Commands) > 0 && b.Commands[0].Register != nil {
					registrations++
				}
				return registrations == 2
			})
			w.startLeader()
			w.putDocument()
			if _, err := w.current().Announce(t.Context(), announcement("127.0.0.1:1", 7, 1, 4000)); err != nil {
				t.Fatal(err)
			}
			for _, sequence := range []int64{2, 2, 3} {
				a := announcement("127.0.0.1:1", 7, sequence, 4000)
				change(a)
				w.announceUncommitted(a)
			}
			<-held
			answered := make(chan error)
			go func() {
				a := announcement("127.0.0.1:1", 7, 4, 4000)
				change(a)
				_, err := w.current().Announce(t.Context(), a)
				answered <- err
			}()
			release()
			if err := <-answered; err != nil {
				t.Errorf("announcement refused: %v", err)
			}
		})
	}
}

// The workers of a pool shrink while their runs go on, and tasks wait for room. The pool takes
// an instance from the standby pool although it has as many as its demand needed before.
func TestPoolGrowsWhenWorkersShrink(t *testing.T) {
	w := newTestEnv(t)
	service := newFleet(t, w, 4)
	in := func(pool string) int { return instancesIn(service, pool) }
	w.waitFor("idle instances in the standby pool", func() bool { return in("spare") == 3 })
	w.mu.Lock()
	for _, s := range w.workers {
		s.SetCapacity(platformtest.Amount{Processors: 40, MemoryMB: 4000})
	}
	w.mu.Unlock()
	w.waitFor("a further instance in pool p", func() bool { return in("p") > 1 })
	w.submit(jobID(0), step(2))
	w.waitFor("job completed", func() bool { return w.state(jobID(0)) == workload.JobCompleted })
	w.checkConsistency()
}

// Runs that are being stopped use their room until they have ended. No task may be started in
// it before.
func TestStoppingRunsKeepTheirRoom(t *testing.T) {
	w := newTestEnv(t)
	w.stopTime = 300 * time.Millisecond
	s := w.startWithWorker(time.Hour)
	blocked := step(1)
	blocked.Requires = "no such label" // the job goes on, and with it what is known of its tasks
	w.submit(jobID(0), step(4), blocked)
	w.waitFor("tasks started", func() bool { return len(s.History()) == 4 })
	w.submit(jobID(1), step(4))
	if resp := w.request(workload.VerbCancel, jobID(0)); resp.Answer != workload.AnswerOK {
		t.Fatal(resp.Answer)
	}
	w.waitFor("next tasks started", func() bool { return len(s.History()) == 8 })
	w.checkConsistency()
}

// A late start order of a cancelled job begins a run on the next incarnation of its worker
// before that is registered. The run is stopped; until it has ended, its room is not free.
func TestUnassignedRunKeepsItsRoom(t *testing.T) {
	w := newTestEnv(t)
	w.stopTime = 500 * time.Millisecond
	w.lease = 3 * time.Second
	first := w.startWithWorker(time.Hour)
	first.SetFaults(platformtest.Faults{LoseStarts: 3, Late: 1500 * time.Millisecond})
	large := step(1)
	large.Need.Processors = 4000
	w.submit(jobID(0), large)
	w.waitFor("start order sent", func() bool { return w.startsSent() > 0 })
	if resp := w.request(workload.VerbCancel, jobID(0)); resp.Answer != workload.AnswerOK {
		t.Fatal(resp.Answer)
	}
	w.waitFor("run voided", func() bool { return w.ends(workload.OutcomeNotRun) == 1 })
	next, announce := w.restartInPlace("w1", quickRestart, time.Hour)
	w.waitFor("late start on the next incarnation", func() bool { return len(next.History()) == 1 })
	announce()
	w.waitFor("next incarnation registered", func() bool { return w.incarnation("w1") == next.Born() })
	w.submit(jobID(1), step(4))
	w.waitFor("tasks started on the next incarnation", func() bool { return len(next.History()) == 5 })
	if how := next.History()[0].How; how != "stopped" {
		t.Errorf("the late run ended as %q", how)
	}
	w.checkConsistency()
}

// startsSent returns how many start orders were sent.
func (w *testEnv) startsSent() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts
}

// The leader changes after a worker has shrunk below what runs on it. The next leader takes
// over the runs, stops none, and starts nothing beyond the smaller capacity, although an
// announcement from before arrives late.
func TestLeaderChangeKeepsShrunkCapacity(t *testing.T) {
	w := newTestEnv(t)
	w.announce = 500 * time.Millisecond
	s := w.startWithWorker(time.Hour)
	w.submit(jobID(0), step(4))
	w.waitFor("tasks started", func() bool { return len(s.History()) == 4 })
	s.SetCapacity(platformtest.Amount{Processors: 2000, MemoryMB: 4000})
	w.waitFor("worker has shrunk", func() bool { return w.capacityOf("w1").Processors == 2000 })
	time.Sleep(w.announce + 2*capacityGrace) // from here on each start counts
	w.submit(jobID(1), step(4))
	w.startLeader()
	late := announcement(s.Address, s.Born(), 1, 4000)
	late.Worker.Zone, late.Worker.Labels = "z", []string{"a", "r1"}
	if _, err := w.current().Announce(t.Context(), late); err != nil {
		t.Fatal(err)
	}
	s.EndAll("done")
	w.waitFor("first two tasks started", func() bool { return len(s.History()) >= 6 })
	for i, r := range s.History() {
		if i < 4 && r.How != "done" {
			t.Errorf("%s ended as %q", r.Task, r.How)
		}
	}
	s.EndAll("done")
	w.waitFor("all tasks started", func() bool { return len(s.History()) == 8 })
	s.EndAll("done")
	w.waitFor("job completed", func() bool { return w.state(jobID(1)) == workload.JobCompleted })
	w.checkConsistency()
}

// A start order gets no reply, and before it is repeated the worker shrinks or drains. The
// repetition must not be sent: it would begin the run long after the worker has said so.
func TestStartIsNotRepeatedToShrunkOrDrainingWorker(t *testing.T) {
	for name, change := range map[string]func(*platform.Announcement){
		"shrunk":   func(a *platform.Announcement) { a.Worker.Capacity.Processors = 0 },
		"draining": func(a *platform.Announcement) { a.Worker.Draining = true },
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestEnv(t)
			w.announce = time.Hour // the test announces the worker
			w.startLeader()
			w.putDocument()
			s, _ := w.silentWorker(&platformtest.Worker{ID: "w1", Pool: "p", RunTime: time.Hour})
			s.SetFaults(platformtest.Faults{LoseStarts: 1, Late: time.Hour})
			if _, err := w.current().Announce(t.Context(), announcement(s.Address, s.Born(), 1, 4000)); err != nil {
				t.Fatal(err)
			}
			w.submit(jobID(0), step(1))
			w.waitFor("start order sent", func() bool { return w.startsSent() == 1 })
			a := announcement(s.Address, s.Born(), 2, 4000)
			change(a)
			if _, err := w.current().Announce(t.Context(), a); err != nil {
				t.Fatal(err)
			}
			w.waitFor("run settled", func() bool { return w.ends(workload.OutcomeNotRun) == 1 || len(s.History()) > 0 })
			if n := len(s.History()); n > 0 {
				t.Errorf("%d runs begun by a repeated order", n)
			}
		})
	}
}

// ageLog makes the last command of the log an old one, as after an outage.
func (w *testEnv) ageLog(by time.Duration) {
	w.t.Helper()
	w.log.read(func(state *workload.State) {
		removal := workload.Command{RemoveJobs: &workload.RemoveJobs{}}
		if err := state.ApplyOne(&removal, time.Now().Add(-by).UnixMilli()); err != nil {
			w.t.Fatal(err)
		}
	})
}

// A worker shrinks while no daemon leads, and its announcements don't reach the next leader
// at once. That one reads the worker's lists, but must start nothing on it: the capacity in
// the log is from before.
func TestNextLeaderAwaitsCapacity(t *testing.T) {
	w := newTestEnv(t)
	w.announce = time.Hour // the test announces the worker
	w.startLeader()
	w.putDocument()
	s, _ := w.silentWorker(&platformtest.Worker{ID: "w1", Pool: "p", RunTime: time.Hour})
	if _, err := w.current().Announce(t.Context(), announcement(s.Address, s.Born(), 1, 4000)); err != nil {
		t.Fatal(err)
	}
	w.ageLog(3 * w.announce)
	w.startLeader()
	before := s.Holds()
	w.submit(jobID(0), step(4))
	w.waitFor("lists read", func() bool { return s.Holds() > before })
	time.Sleep(200 * time.Millisecond)
	if n := len(s.History()); n > 0 {
		t.Errorf("%d runs begun before the worker announced itself", n)
	}
	if _, err := w.current().Announce(t.Context(), announcement(s.Address, s.Born(), 2, 4000)); err != nil {
		t.Fatal(err)
	}
	w.waitFor("tasks started", func() bool { return len(s.History()) == 4 })
}

// A leader follows another one without an outage. Tasks must not wait until the workers have
// announced themselves again: the log shows what they could run just before.
func TestNextLeaderStartsByRecentLog(t *testing.T) {
	w := newTestEnv(t)
	w.announce = time.Hour // the test announces the worker
	w.startLeader()
	w.putDocument()
	s, _ := w.silentWorker(&platformtest.Worker{ID: "w1", Pool: "p", RunTime: time.Hour})
	if _, err := w.current().Announce(t.Context(), announcement(s.Address, s.Born(), 1, 4000)); err != nil {
		t.Fatal(err)
	}
	w.startLeader()
	w.submit(jobID(0), step(4))
	w.waitFor("tasks started", func() bool { return len(s.History()) == 4 })
}

// After an outage no worker has announced itself yet, and tasks wait. Instances
// must not be moved for that: the pool is as large as before.
func TestNextLeaderMovesNothingBeforeAnnouncements(t *testing.T) {
	w := newTestEnv(t)
	w.announce = 5 * time.Second
	service := newFleetOf(t, w, 4, &platformtest.Worker{RunTime: time.Hour, Lasting: true})
	in := func(pool string) int {
		n := 0
		for _, m := range service.Snapshot() {
			if m.Pool == pool && m.State == "up" {
				n++
			}
		}
		return n
	}
	lasting := step(1)
	lasting.LongRunning, lasting.Need.Processors = true, 4000
	w.submit(jobID(0), lasting)
	w.waitFor("task started", func() bool { return len(w.history()) == 1 })
	w.waitFor("idle instance in the standby pool", func() bool { return in("spare") == 1 })
	w.ageLog(3 * w.announce)
	w.startLeader()
	w.submit(jobID(1), step(1))
	enough := service.Readings() + 2
	w.waitFor("instances listed", func() bool {
		if in("spare") != 1 {
			t.Fatal("the idle instance has been moved")
		}
		return service.Readings() >= enough
	})
}

// A worker answers holds, but its announcements don't arrive. It may have shrunk unheard, so
// no further task may be started on it.
func TestWorkerThatOnlyAnswersHoldsReceivesNoStarts(t *testing.T) {
	w := newTestEnv(t)
	w.announce = 300 * time.Millisecond // its triple exceeds the wait of a hold
	w.startLeader()
	w.putDocument()
	s := w.workerOf(&platformtest.Worker{ID: "w1", Pool: "p", RunTime: time.Hour, Lasting: true})
	lasting := step(1)
	lasting.LongRunning = true
	w.submit(jobID(0), lasting)
	w.waitFor("task started", func() bool { return len(s.History()) == 1 })
	w.mu.Lock()
	delete(w.workers, "w1") // no further announcements
	w.mu.Unlock()
	time.Sleep(4 * w.announce)
	before := s.Holds()
	w.submit(jobID(1), lasting)
	w.waitFor("further lists read", func() bool { return s.Holds() > before+2 })
	time.Sleep(200 * time.Millisecond)
	if runs := w.historyOf(jobID(1)); len(runs) > 0 {
		t.Errorf("begun unannounced: %+v", runs)
	}
	w.mu.Lock()
	w.workers["w1"] = s
	w.mu.Unlock()
	w.waitFor("next task started", func() bool { return len(w.historyOf(jobID(1))) == 1 })
}

// Workers shrink while the assignments of a gang are being committed, and the starts of some
// members are withheld. The others must not wait for them until their time is over, which
// counts as a failure of the gang's start; all members start together once there is room.
func TestGangIsStoppedIfMembersAreWithheld(t *testing.T) {
	w := newTestEnv(t)
	w.announce = time.Hour // the test announces the worker
	held, release := w.heldLog(func(b *workload.Batch) bool { return assignmentOf(b, 0) != nil })
	w.startLeader()
	w.putDocument()
	s, _ := w.silentWorker(&platformtest.Worker{ID: "w1", Pool: "p", RunTime: time.Hour})
	if _, err := w.current().Announce(t.Context(), announcement(s.Address, s.Born(), 1, 4000)); err != nil {
		t.Fatal(err)
	}
	gang := step(4)
	gang.Gang = true
	w.submit(jobID(0), gang)
	<-held
	w.announceUncommitted(announcement(s.Address, s.Born(), 2, 2000))
	release()
	assigned := func() int {
		n := 0
		w.log.read(func(state *workload.State) { n = len(state.Runs("w1")) })
		return n
	}
	w.waitFor("starts withheld", func() bool { return w.ends(workload.OutcomeNotRun) >= 2 })
	w.waitFor("other members stopped", func() bool { return assigned() == 0 })
	before := len(s.History())
	if _, err := w.current().Announce(t.Context(), announcement(s.Address, s.Born(), 3, 4000)); err != nil {
		t.Fatal(err)
	}
	w.waitFor("all members started", func() bool { return len(s.History()) == before+4 })
	number := s.History()[before].Number
	for _, r := range s.History()[before:] {
		if r.How != "" || r.Number != number {
			t.Errorf("%s, run %d, ended as %q; want run %d to go on", r.Task, r.Number, r.How, number)
		}
	}
	w.checkConsistency()
}

// startLog records the runs of the start orders that are sent.
type startLog struct {
	platform.Workers
	mu   sync.Mutex
	runs []int64
	// first, if set, delays the reply to the first order, which is lost.
	first <-chan struct{}
}

func (l *startLog) Start(ctx context.Context, e platform.Endpoint, o *platform.StartOrder) (workload.Millis, error) {
	l.mu.Lock()
	l.runs = append(l.runs, o.Run)
	n := len(l.runs)
	l.mu.Unlock()
	if n == 1 {
		<-l.first
		return 0, errors.New("no reply")
	}
	return l.Workers.Start(ctx, e, o)
}

func (l *startLog) sent() []int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.runs)
}

// A start order has had no reply when the worker's next incarnation, which has less capacity,
// announces itself. The order was meant for the earlier one and must not be repeated.
func TestStartIsNotRepeatedToNextIncarnation(t *testing.T) {
	w := newTestEnv(t)
	lost := make(chan struct{})
	starts := &startLog{Workers: w.orders, first: lost}
	w.orders = starts
	w.startWithWorker(time.Hour)
	w.submit(jobID(0), step(1))
	w.waitFor("start order sent", func() bool { return len(starts.sent()) == 1 })
	next, announce := w.restartInPlace("w1", quickRestart, time.Hour)
	next.SetCapacity(platformtest.Amount{MemoryMB: 4000})
	announce()
	w.waitFor("next incarnation registered", func() bool { return w.incarnation("w1") == next.Born() })
	close(lost)
	w.waitFor("run settled", func() bool { return w.ends(workload.OutcomeLost)+w.ends(workload.OutcomeNotRun) > 0 })
	next.SetCapacity(platformtest.Amount{Processors: 4000, MemoryMB: 4000})
	w.waitFor("task started on the next incarnation", func() bool { return len(next.History()) == 1 })
	if sent := starts.sent(); !slices.Equal(sent, []int64{1, 2}) {
		t.Errorf("start orders of the runs %d sent, want 1 and 2", sent)
	}
	w.checkConsistency()
}
