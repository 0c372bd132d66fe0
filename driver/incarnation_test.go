package driver_test

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"magnoliastand.example/platform"
	"magnoliastand.example/platform/platformtest"
	"magnoliastand.example/workload"
)

var errLost = errors.New("no answer")

// retryingStarts carries out the first attempt of a start order without an answer, and
// delays the second one until release is closed.
type retryingStarts struct {
	*platform.Client
	job     string
	mu      sync.Mutex
	n       int
	release chan struct{}
}

func (h *retryingStarts) Start(ctx context.Context, e platform.Endpoint, o *platform.StartOrder) (workload.Millis, error) {
	if o.Task.Job != h.job || o.Run != 1 {
		return h.Client.Start(ctx, e, o)
	}
	h.mu.Lock()
	h.n++
	n := h.n
	h.mu.Unlock()
	if n == 1 {
		_, _ = h.Client.Start(ctx, e, o)
		<-ctx.Done()
		return 0, errLost
	}
	<-h.release
	late, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return h.Client.Start(late, e, o)
}

// A start order is listed by a worker before its reply arrives; the worker restarts in
// place while the order is repeated. The repeated order must not run the task beside a
// later run.
func TestRepeatedStartReachesNextIncarnation(t *testing.T) {
	w := newTestEnv(t)
	w.lease = 3 * time.Second
	h := &retryingStarts{Client: w.client, job: jobID(1), release: make(chan struct{})}
	w.orders = h
	w.startWithWorker(time.Hour)
	task := step(1)
	task.Estimate = time.Hour.Milliseconds()
	w.submit(jobID(1), task)
	w.waitFor("first run listed", func() bool { return len(w.history()) == 1 })
	time.Sleep(700 * time.Millisecond) // a hold lists it
	next, announce := w.restartInPlace("w1", quickRestart, time.Hour)
	next.Drain() // the planner uses the other worker
	other := w.worker("w2", "p", time.Hour)
	announce()
	w.waitFor("run elsewhere", func() bool { return len(other.History()) > 0 })
	close(h.release)
	time.Sleep(time.Second)
	w.checkConsistency()
}

// lateHolds delays the first hold that extends a lease once it is armed, until release.
type lateHolds struct {
	*platform.Client
	mu    sync.Mutex
	armed bool
	late  func()
}

func (h *lateHolds) Hold(ctx context.Context, e platform.Endpoint, o *platform.HoldOrder) (*platform.Lists, error) {
	h.mu.Lock()
	take := h.armed && o.Until > 0 && e.ID == "w1"
	if take {
		h.armed = false
		h.late = func() {
			late, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_, _ = h.Client.Hold(late, e, o)
		}
	}
	h.mu.Unlock()
	if take {
		<-ctx.Done()
		return nil, errLost
	}
	return h.Client.Hold(ctx, e, o)
}

func (h *lateHolds) release() func() {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.late
}

// A hold whose lease is on the clock of the earlier incarnation is carried out late by the
// next one, which takes the longest lease and is then cut off with a run. The task must
// not run elsewhere within that lease.
func TestLeaseFromEarlierClock(t *testing.T) {
	for name, registered := range map[string]bool{"before registration": false, "after registration": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestEnv(t)
			w.lease = 10 * time.Second
			h := &lateHolds{Client: w.client}
			w.orders = h
			w.startWithWorker(time.Hour)
			task := step(1)
			task.Estimate = time.Hour.Milliseconds()
			time.Sleep(7 * time.Second) // the clock of the first incarnation advances
			w.submit(jobID(1), task)
			w.waitFor("first run", func() bool { return len(w.history()) == 1 })
			time.Sleep(200 * time.Millisecond)
			h.mu.Lock()
			h.armed = true
			h.mu.Unlock()
			w.waitFor("hold under way", func() bool { return h.release() != nil })
			next, announce := w.restartInPlace("w1", quickRestart, time.Hour)
			if !registered {
				h.release()()
				w.waitFor("worker removed", func() bool { return w.workerCount() == 0 })
			}
			announce()
			w.waitFor("second run", func() bool { return len(next.History()) == 1 })
			if registered {
				time.Sleep(5 * time.Second) // after newSession's bound has begun to run
				h.release()()
			}
			next.SetFaults(platformtest.Faults{Silent: true})
			other := w.worker("w2", "p", time.Hour)
			w.waitFor("third run", func() bool { return len(other.History()) == 1 })
			w.checkConsistency()
		})
	}
}

// descendingEnds turns the order of ended runs in each list around.
type descendingEnds struct{ *platform.Client }

func (h descendingEnds) Hold(ctx context.Context, e platform.Endpoint, o *platform.HoldOrder) (*platform.Lists, error) {
	l, err := h.Client.Hold(ctx, e, o)
	if err == nil {
		slices.Reverse(l.Ended)
	}
	return l, err
}

// A list names a later end before an earlier one. Acknowledging the later one must not make
// the worker forget the earlier one unread, whose task would run again.
func TestEndsAreAcknowledgedInOrder(t *testing.T) {
	w := newTestEnv(t)
	w.orders = descendingEnds{w.client}
	w1 := w.startWithWorker(20 * time.Millisecond)
	w.submit(jobID(1), step(3))
	w.waitFor("job completed", func() bool { return w.state(jobID(1)) == workload.JobCompleted })
	if n := len(w1.History()); n != 3 {
		t.Errorf("%d runs of 3 tasks", n)
	}
	w.checkConsistency()
}

// A foreign announcement names a worker's ID with the address of another live worker.
func TestForeignAnnouncementAtLiveAddress(t *testing.T) {
	for name, later := range map[string]int64{"same incarnation": 0, "later incarnation": 1000} {
		t.Run(name, func(t *testing.T) {
			w := newTestEnv(t)
			w.startWithWorker(600 * time.Millisecond)
			w.submit(jobID(0), step(3))
			w.waitFor("tasks started", func() bool { return len(w.history()) == 3 })
			w2 := w.worker("w2", "p", 20*time.Millisecond)
			var foreign platform.Announcement
			w.log.read(func(s *workload.State) { foreign.Worker = *s.Workers()["w1"] })
			foreign.Sequence, foreign.Clock = 1<<30, 1
			foreign.Worker.Incarnation += later
			foreign.Worker.Address = w2.Address
			if _, err := w.current().Announce(t.Context(), &foreign); (err == nil) != (later > 0) {
				t.Fatal(err)
			}
			w.waitFor("job completed", func() bool { return w.state(jobID(0)) == workload.JobCompleted })
			w.checkConsistency()
		})
	}
}

// slowStops loses the start of a run, and delays the acknowledgement of its stop.
type slowStops struct {
	*platform.Client
	job     string
	mu      sync.Mutex
	start   func()
	stopped bool
	// pass lets later stops pass.
	pass    bool
	release chan struct{}
}

func (h *slowStops) Start(ctx context.Context, e platform.Endpoint, o *platform.StartOrder) (workload.Millis, error) {
	if o.Task.Job != h.job || o.Run != 1 {
		return h.Client.Start(ctx, e, o)
	}
	h.mu.Lock()
	h.start = func() {
		late, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, _ = h.Client.Start(late, e, o)
	}
	h.mu.Unlock()
	<-ctx.Done()
	return 0, errLost
}

func (h *slowStops) Stop(ctx context.Context, e platform.Endpoint, task workload.TaskRef, run int64, fence uint64) error {
	h.mu.Lock()
	if h.stopped && !h.pass {
		h.mu.Unlock()
		<-ctx.Done() // later stops are lost
		return errLost
	}
	h.mu.Unlock()
	err := h.Client.Stop(ctx, e, task, run, fence)
	h.mu.Lock()
	first := !h.stopped && err == nil
	h.stopped = h.stopped || err == nil
	h.mu.Unlock()
	if first {
		<-h.release
	}
	return err
}

func (h *slowStops) acked() bool { h.mu.Lock(); defer h.mu.Unlock(); return h.stopped }

// The acknowledgement of a stop by the earlier incarnation of a worker arrives after the
// next one has registered. It does not void a late start on the next one.
func TestStopAckOfEarlierIncarnation(t *testing.T) {
	w := newTestEnv(t)
	w.lease = 6 * time.Second
	h := &slowStops{Client: w.client, job: jobID(1), release: make(chan struct{})}
	w.orders = h
	w.startWithWorker(time.Hour)
	task := step(1)
	task.Estimate = time.Hour.Milliseconds()
	w.submit(jobID(1), task)
	w.waitFor("stop acknowledged by the first incarnation", h.acked)
	next, announce := w.restartInPlace("w1", quickRestart, time.Hour)
	next.Drain() // the planner uses the other worker
	other := w.worker("w2", "p", time.Hour)
	announce()
	w.waitFor("registered", func() bool { return w.incarnation("w1") == next.Born() })
	close(h.release)
	time.Sleep(time.Second)
	if n := len(other.History()); n > 0 {
		t.Errorf("%d runs elsewhere before the next incarnation has stopped the run", n)
	}
	h.mu.Lock()
	h.pass = true
	h.mu.Unlock()
	w.waitFor("run elsewhere", func() bool { return len(other.History()) > 0 })
	h.start()
	time.Sleep(300 * time.Millisecond)
	w.checkConsistency()
}

// lateAcks delays the first hold that acknowledges an end, until release.
type lateAcks struct {
	*platform.Client
	mu   sync.Mutex
	late func()
}

func (h *lateAcks) Hold(ctx context.Context, e platform.Endpoint, o *platform.HoldOrder) (*platform.Lists, error) {
	h.mu.Lock()
	take := h.late == nil && o.Acked > 0
	if take {
		h.late = func() {
			late, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_, _ = h.Client.Hold(late, e, &platform.HoldOrder{Fence: o.Fence, Acked: o.Acked})
		}
	}
	h.mu.Unlock()
	if take {
		<-ctx.Done()
		return nil, errLost
	}
	return h.Client.Hold(ctx, e, o)
}

func (h *lateAcks) release() func() { h.mu.Lock(); defer h.mu.Unlock(); return h.late }

// A hold that acknowledges ends of the earlier incarnation of a worker is carried out late
// by the next one, which forgets its own ends up to that number.
func TestLateAcknowledgementOnNextIncarnation(t *testing.T) {
	w := newTestEnv(t)
	h := &lateAcks{Client: w.client}
	w.orders = h
	w.startWithWorker(5 * time.Millisecond)
	w.submit(jobID(0), step(4))
	w.waitFor("acknowledgement under way", func() bool { return h.release() != nil })
	next, announce := w.restartInPlace("w1", quickRestart, 5*time.Millisecond)
	announce()
	w.waitFor("registered", func() bool { return w.incarnation("w1") == next.Born() })
	time.Sleep(300 * time.Millisecond)
	h.release()()
	w.submit(jobID(1), step(3))
	w.waitFor("runs on the next incarnation", func() bool { return len(next.History()) >= 3 })
	w.waitFor("job completed", func() bool { return w.state(jobID(1)) == workload.JobCompleted })
	w.checkConsistency()
}

// noDirectPath is a leader that reaches the workers through agents only.
type noDirectPath struct{ *platform.Client }

func (noDirectPath) RaiseFence(context.Context, platform.Endpoint, uint64) error { return errLost }

// A worker restarts in place and answers a hold before it announces itself. A start order
// to its earlier incarnation that is carried out after that answer must not run a task
// again that is done, also if the leader reaches the worker through agents only.
func TestLateStartAfterTakeoverIsRefused(t *testing.T) {
	for name, direct := range map[string]bool{"direct path": true, "agents only": false} {
		t.Run(name, func(t *testing.T) {
			w := newTestEnv(t)
			w.lease = 3 * time.Second
			if !direct {
				w.orders = noDirectPath{w.client}
			}
			first := w.startWithWorker(20 * time.Millisecond)
			first.SetFaults(platformtest.Faults{LoseStarts: 1, Late: 1500 * time.Millisecond})
			w.submit(jobID(0), step(1))
			w.waitFor("job completed", func() bool { return w.state(jobID(0)) == workload.JobCompleted })
			first.SetFaults(platformtest.Faults{Stall: true})
			w.submit(jobID(1), step(1)) // holds go on while it runs
			w.waitFor("second job started", func() bool { return len(first.History()) == 2 })
			next, _ := w.restartInPlace("w1", quickRestart, 20*time.Millisecond)
			w.waitFor("next incarnation held", func() bool { return next.Holds() > 0 })
			time.Sleep(2 * time.Second) // the late order is carried out
			for _, r := range next.History() {
				if strings.HasPrefix(r.Task, jobID(0)) {
					t.Errorf("run %d of %s began on the next incarnation", r.Number, r.Task)
				}
			}
			w.checkConsistency()
		})
	}
}

// A hold that acknowledges ends of the earlier incarnation of a worker is carried out by the
// next one before that one has been held. Tasks must not run again because their ends were
// forgotten. They do: nothing shows that the next incarnation has seen the number.
func TestLateAcknowledgementBeforeFirstHoldHidesNoEnd(t *testing.T) {
	w := newTestEnv(t)
	h := &lateAcks{Client: w.client}
	w.orders = h
	w.startWithWorker(5 * time.Millisecond)
	w.submit(jobID(0), step(4))
	w.waitFor("acknowledgement under way", func() bool { return h.release() != nil })
	next, announce := w.restartInPlace("w1", quickRestart, 5*time.Millisecond)
	h.release()()
	announce()
	w.submit(jobID(1), step(3))
	w.waitFor("runs on the next incarnation", func() bool { return len(next.History()) >= 3 })
	w.waitFor("job completed", func() bool { return w.state(jobID(1)) == workload.JobCompleted })
	w.checkConsistency()
}

// stoppedAgent leaves the orders that it would pass on without an answer once it has stopped.
type stoppedAgent struct {
	*platform.Client
	stopped atomic.Bool
}

func (a *stoppedAgent) Hold(ctx context.Context, e platform.Endpoint, o *platform.HoldOrder) (*platform.Lists, error) {
	if a.stopped.Load() {
		<-ctx.Done()
		return nil, errLost
	}
	return a.Client.Hold(ctx, e, o)
}

func (a *stoppedAgent) Stop(ctx context.Context, e platform.Endpoint, task workload.TaskRef, run int64, fence uint64) error {
	if a.stopped.Load() {
		<-ctx.Done()
		return errLost
	}
	return a.Client.Stop(ctx, e, task, run, fence)
}

// A worker restarts in place and registers while the agent that calls it has stopped. A start
// order to its earlier incarnation that is carried out before its first hold must not run a
// task again that is done.
func TestLateStartWhileAgentHasStopped(t *testing.T) {
	w := newTestEnv(t)
	w.lease = 3 * time.Second
	agent := &stoppedAgent{Client: w.client}
	w.orders = agent
	first := w.startWithWorker(20 * time.Millisecond)
	first.SetFaults(platformtest.Faults{LoseStarts: 1, Late: 1500 * time.Millisecond})
	w.submit(jobID(0), step(1))
	w.waitFor("job completed", func() bool { return w.state(jobID(0)) == workload.JobCompleted })
	agent.stopped.Store(true)
	next, announce := w.restartInPlace("w1", quickRestart, 20*time.Millisecond)
	announce()
	w.waitFor("registered", func() bool { return w.incarnation("w1") == next.Born() })
	time.Sleep(2 * time.Second) // the late order is carried out
	if n := len(next.History()); n != 0 {
		t.Errorf("%d late runs on the next incarnation", n)
	}
	w.checkConsistency()
}

// A start order without an answer was voided, and the task was done on another worker. The
// order is carried out late by the next incarnation of its worker, before that has been held.
// The end must not be acknowledged, neither before nor after that run has been listed.
func TestEndIsNotAcknowledgedWhileTaskMayStartLate(t *testing.T) {
	w := newTestEnv(t)
	w.lease = 3 * time.Second
	first := w.startWithWorker(time.Hour)
	first.SetFaults(platformtest.Faults{LoseStarts: 3, Late: 3 * time.Second})
	w.submit(jobID(0), step(1))
	w.waitFor("start lost", func() bool { return first.LostOrders() > 0 })
	first.Drain() // the planner uses the other worker
	w.worker("w2", "p", 20*time.Millisecond)
	w.waitFor("job completed", func() bool { return w.state(jobID(0)) == workload.JobCompleted })
	next, announce := w.restartInPlace("w1", quickRestart, 20*time.Millisecond)
	w.waitFor("late run", func() bool { return len(next.History()) > 0 })
	announce()
	time.Sleep(18 * time.Second) // no further order can be carried out late
	w.checkConsistency()
}

// blockedHolds loses the first hold that acknowledges an end, and later ones until pass is set.
type blockedHolds struct {
	*platform.Client
	lost atomic.Int64
	pass atomic.Bool
}

func (h *blockedHolds) Hold(ctx context.Context, e platform.Endpoint, o *platform.HoldOrder) (*platform.Lists, error) {
	if !h.pass.Load() && (o.Acked > 0 || h.lost.Load() > 0) {
		h.lost.Add(1)
		<-ctx.Done()
		return nil, errLost
	}
	return h.Client.Hold(ctx, e, o)
}

// A hold that acknowledges an end gets no response, perhaps because the worker has restarted:
// the number may then hide the ends of what is started there. No task must be started before a
// list shows that the worker has not.
func TestNoStartAfterUnansweredAcknowledgement(t *testing.T) {
	w := newTestEnv(t)
	w.announce = 500 * time.Millisecond
	h := &blockedHolds{Client: w.client}
	w.orders = h
	w.startWithWorker(5 * time.Millisecond)
	w.submit(jobID(0), step(1))
	w.waitFor("hold repeated", func() bool { return h.lost.Load() == 2 })
	w.submit(jobID(1), step(1))
	time.Sleep(400 * time.Millisecond) // the repeated hold is under way
	if n := len(w.historyOf(jobID(1))); n != 0 {
		t.Errorf("%d starts on a worker that may have restarted", n)
	}
	h.pass.Store(true)
	w.waitFor("job completed", func() bool { return w.state(jobID(1)) == workload.JobCompleted })
	w.checkConsistency()
}

// A worker whose run got lost with its silence lists it once it answers again. The run began
// before the task was done elsewhere, so the end there is acknowledged once no start of the task
// can be carried out late. It was held back for an hour, and all later ends of that worker with it.
func TestEarlierRunHoldsNoEndBack(t *testing.T) {
	w := newTestEnv(t)
	first := w.startWithWorker(time.Hour)
	first.SetFaults(platformtest.Faults{LoseStarts: 1})
	task := step(1)
	task.Estimate = time.Hour.Milliseconds() // no run counts as stalled
	w.submit(jobID(0), task)
	w.waitFor("first run", func() bool { return len(first.History()) == 1 && first.LostOrders() == 1 })
	time.Sleep(700 * time.Millisecond) // a hold lists it
	first.SetFaults(platformtest.Faults{Silent: true})
	second := w.worker("w2", "p", 20*time.Millisecond)
	w.waitFor("job completed", func() bool { return w.state(jobID(0)) == workload.JobCompleted })
	first.SetFaults(platformtest.Faults{})
	w.waitFor("end of the second run acknowledged", func() bool { return second.History()[0].Noted })
	w.checkConsistency()
}
