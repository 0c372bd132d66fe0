package driver_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"magnoliastand.example/platform"
	"magnoliastand.example/platform/platformtest"
	"magnoliastand.example/workload"
)

func jobID(n int) string { return fmt.Sprintf("%016x", n+1) }

func TestJobRunsStepByStep(t *testing.T) {
	w := newWorld(t)
	w.lead()
	w.put()
	w.worker("w1", "p", 20*time.Millisecond)
	w.worker("w2", "p", 20*time.Millisecond)
	second := step(2)
	second.After = []int{0}
	w.submit(jobID(0), step(6), second)
	w.until("job completed", func() bool { return w.state(jobID(0)) == workload.JobCompleted })
	if runs := w.history(); len(runs) != 8 {
		t.Errorf("%d runs for 8 tasks", len(runs))
	}
	w.check()
}

// An order whose answer is lost may be carried out long after a newer run of the
// task has begun elsewhere, unless it is voided first.
func TestLostAndLateOrdersNeverDoubleATask(t *testing.T) {
	w := newWorld(t)
	w.lead()
	w.put()
	s := w.worker("w1", "p", 100*time.Millisecond)
	w.worker("w2", "p", 100*time.Millisecond)
	w.until("workers known", func() bool { return w.known() == 2 })
	s.SetFaults(platformtest.Faults{LoseAnswers: 12, Late: 700 * time.Millisecond})
	for n := range 6 {
		w.submit(jobID(n), step(2))
	}
	for n := range 6 {
		w.until("job completed", func() bool { return w.state(jobID(n)) == workload.JobCompleted })
	}
	w.check()
}

// A second attempt that never left, or was refused, does not undo the first one,
// which got no answer but was carried out.
func TestRefusalAfterALostAnswerProvesNothing(t *testing.T) {
	for name, second := range map[string]error{"not sent": platform.ErrNotSent, "busy": platform.ErrBusy} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.harm = func(attempt int64, err error) error {
				switch attempt {
				case 1:
					return errors.New("no answer")
				case 2:
					return second
				}
				return err
			}
			w.lead()
			w.put()
			w.worker("w1", "p", 300*time.Millisecond)
			w.worker("w2", "p", 300*time.Millisecond)
			w.until("workers known", func() bool { return w.known() == 2 })
			w.submit(jobID(0), step(1))
			w.until("job completed", func() bool { return w.state(jobID(0)) == workload.JobCompleted })
			w.check()
		})
	}
}

func (w *world) known() int {
	n := 0
	w.log.read(func(s *workload.State) { n = len(s.Workers()) })
	return n
}

// A silent worker may still run its tasks until its lease is over. Failed holds
// must not put that time off for ever.
func TestTasksOfASilentWorkerRunAgainAfterItsLease(t *testing.T) {
	w := newWorld(t)
	w.lead()
	w.put()
	silent := w.worker("w1", "p", time.Hour)
	w.until("worker known", func() bool { return w.known() == 1 })
	w.submit(jobID(0), step(1))
	w.until("task begun", func() bool { return len(silent.History()) == 1 })
	silent.SetFaults(platformtest.Faults{Silent: true})
	w.worker("w2", "p", 20*time.Millisecond)
	w.until("job completed", func() bool { return w.state(jobID(0)) == workload.JobCompleted })
	w.check()
}

func TestCrashedWorkersTasksRunAgain(t *testing.T) {
	w := newWorld(t)
	w.lead()
	w.put()
	w.worker("w1", "p", time.Hour)
	w.until("worker known", func() bool { return w.known() == 1 })
	w.submit(jobID(0), step(2))
	w.until("tasks begun", func() bool { return len(w.history()) == 2 })
	w.crash("w1")
	w.worker("w2", "p", 20*time.Millisecond)
	w.until("job completed", func() bool { return w.state(jobID(0)) == workload.JobCompleted })
	w.check()
}

// A worker that starts again under its id holds nothing of before.
func TestRestartedWorkerFreesItsTasksAtOnce(t *testing.T) {
	w := newWorld(t)
	w.lead()
	w.put()
	w.worker("w1", "p", time.Hour)
	w.until("worker known", func() bool { return w.known() == 1 })
	w.submit(jobID(0), step(1))
	w.until("task begun", func() bool { return len(w.history()) == 1 })
	w.crash("w1")
	time.Sleep(2 * time.Millisecond) // the start time of a worker has millisecond resolution
	w.worker("w1", "p", 20*time.Millisecond)
	w.until("job completed", func() bool { return w.state(jobID(0)) == workload.JobCompleted })
	w.check()
}

func TestCancelStopsAllRuns(t *testing.T) {
	w := newWorld(t)
	w.lead()
	w.put()
	w.worker("w1", "p", time.Hour)
	w.until("worker known", func() bool { return w.known() == 1 })
	w.submit(jobID(0), step(3))
	w.until("tasks begun", func() bool { return len(w.history()) == 3 })
	if resp := w.request(workload.VerbCancel, jobID(0)); resp.Answer != workload.AnswerOK {
		t.Fatal(resp.Answer)
	}
	w.until("all runs stopped", func() bool {
		for _, r := range w.history() {
			if r.How != "stopped" {
				return false
			}
		}
		return true
	})
	if resp := w.request(workload.VerbCancel, jobID(9)); resp.Answer != workload.AnswerNoJob {
		t.Errorf("cancel of an unknown job: %s", resp.Answer)
	}
}

// The acknowledgement of a draining worker promises that nothing starts on it.
func TestDrainingWorkerGetsNothingNew(t *testing.T) {
	w := newWorld(t)
	w.lead()
	w.put()
	s := w.worker("w1", "p", 10*time.Millisecond)
	w.until("worker known", func() bool { return w.known() == 1 })
	s.Drain()
	w.until("worker draining", func() bool {
		draining := false
		w.log.read(func(st *workload.State) { draining = st.Workers()["w1"].Draining })
		return draining
	})
	w.submit(jobID(0), step(2))
	w.worker("w2", "p", 10*time.Millisecond)
	w.until("job completed", func() bool { return w.state(jobID(0)) == workload.JobCompleted })
	if len(s.History()) != 0 {
		t.Error("a run began on the draining worker")
	}
}

// A new leader takes the runs over from the workers' lists, and the old one is
// fenced off.
func TestTakeoverKeepsRunsGoing(t *testing.T) {
	w := newWorld(t)
	w.lead()
	w.put()
	w.worker("w1", "p", 400*time.Millisecond)
	w.until("worker known", func() bool { return w.known() == 1 })
	w.submit(jobID(0), step(3))
	w.until("tasks begun", func() bool { return len(w.history()) == 3 })
	w.lead()
	w.until("job completed", func() bool { return w.state(jobID(0)) == workload.JobCompleted })
	if runs := w.history(); len(runs) != 3 {
		t.Errorf("%d runs for 3 tasks", len(runs))
	}
	w.check()
}

// A worker that fails what it starts is avoided while another one has room.
func TestFailingWorkerIsAvoided(t *testing.T) {
	w := newWorld(t)
	w.lead()
	w.put()
	bad := w.worker("w1", "p", 5*time.Millisecond)
	bad.SetFaults(platformtest.Faults{FailAll: true})
	w.worker("w2", "p", 5*time.Millisecond)
	w.until("workers known", func() bool { return w.known() == 2 })
	for n := range 20 {
		w.submit(jobID(n), step(1))
		w.until("job completed", func() bool { return w.state(jobID(n)) == workload.JobCompleted })
	}
	if n := len(bad.History()); n > 10 {
		t.Errorf("%d of 20 jobs tried the failing worker", n)
	}
}

// newFleet starts n machines of pool p with their workers.
func newFleet(t *testing.T, w *world, n int) *platformtest.Machines {
	t.Helper()
	return newFleetOf(t, w, n, &platformtest.Worker{RunTime: 20 * time.Millisecond})
}

// newFleetOf makes n machines with workers like one.
func newFleetOf(t *testing.T, w *world, n int, like *platformtest.Worker) *platformtest.Machines {
	t.Helper()
	machines := make([]*platformtest.Machine, n)
	service := &platformtest.Machines{Away: 100 * time.Millisecond, Stop: w.crash}
	next := 0
	service.Start = func(m *platformtest.Machine) string {
		if m.Pool == "spare" {
			return ""
		}
		next++
		id := fmt.Sprintf("%s-%d", m.Name, next)
		w.workerOf(&platformtest.Worker{ID: id, Pool: m.Pool, RunTime: like.RunTime, Lasting: like.Lasting})
		return id
	}
	for i := range machines {
		machines[i] = &platformtest.Machine{Name: fmt.Sprintf("m%d", i), Pool: "p", State: "up", Capacity: 4000, MemoryMB: 4000}
		machines[i].Worker = service.Start(machines[i])
	}
	w.machines = service.Serve(machines)
	t.Cleanup(service.Close)
	w.lead()
	w.put()
	return service
}

// A list that is older than a worker shows its instance without one. Such an
// instance is not empty: an upkeep would end what the worker runs
// (deploy/days/leader-twice.toml, seed 897536075587).
func TestInstanceOfAnUnlistedWorkerIsLeftAlone(t *testing.T) {
	w := newWorld(t)
	service := newFleet(t, w, 3)
	service.HideWorkers = true
	wave := &workload.Wave{ID: 1, Instances: []string{"m0", "m1", "m2"}, MaxDown: 3}
	if err := w.current().StartWave(t.Context(), wave, 60_000); err != nil {
		t.Fatal(err)
	}
	enough := service.Readings() + 3
	w.until("list read", func() bool { return service.Readings() >= enough })
	for _, m := range service.Snapshot() {
		if len(m.Upkeeps) > 0 {
			t.Errorf("%s was taken down", m.Name)
		}
	}
}

// Idle instances go to the standby pool and come back for work that finds no room.
func TestInstancesFollowTheDemand(t *testing.T) {
	w := newWorld(t)
	service := newFleet(t, w, 4)
	in := func(pool string) int {
		n := 0
		for _, m := range service.Snapshot() {
			if m.Pool == pool {
				n++
			}
		}
		return n
	}
	w.until("idle instances parked", func() bool { return in("spare") == 3 })
	const jobs = 40
	for n := range jobs {
		w.submit(jobID(n), step(8))
	}
	w.until("instances back", func() bool { return in("p") > 2 })
	for n := range jobs {
		w.until("job completed", func() bool { return w.state(jobID(n)) == workload.JobCompleted })
	}
	w.check()
}

// Tasks of a queue with advice start only on workers with a ticket, and carry it.
// A service that fails is asked again.
func TestAdvisedTasksStartWithTickets(t *testing.T) {
	w := newWorld(t)
	w.ticket = "t-7"
	calls := 0
	w.advisor = func([]string) (map[string]string, error) {
		calls++
		if calls == 1 {
			return nil, platform.ErrBusy
		}
		return map[string]string{"w2": w.ticket}, nil
	}
	w.lead()
	w.put()
	w.worker("w1", "p", 10*time.Millisecond)
	w.worker("w2", "p", 10*time.Millisecond)
	w.until("workers known", func() bool { return w.known() == 2 })
	if resp := w.requestAt("/advised/", workload.VerbSubmit, jobID(0), step(3)); resp.Answer != workload.AnswerOK {
		t.Fatal(resp.Answer, resp.Reason)
	}
	w.until("job completed", func() bool { return w.state(jobID(0)) == workload.JobCompleted })
	for _, r := range w.history() {
		if r.Worker != "w2" {
			t.Errorf("a run on %s, which has no ticket", r.Worker)
		}
	}
}

// Members of a gang end together; the job may be done before the last of them is
// listed. Its runs must not trip over the finished job.
func TestGangsRunToTheirEnd(t *testing.T) {
	w := newWorld(t)
	w.lead()
	w.put()
	w.worker("w1", "p", 30*time.Millisecond)
	w.worker("w2", "p", 35*time.Millisecond)
	w.until("workers known", func() bool { return w.known() == 2 })
	for n := range 10 {
		gang := step(8)
		gang.Gang = true
		w.submit(jobID(n), gang)
	}
	for n := range 10 {
		w.until("job completed", func() bool { return w.state(jobID(n)) == workload.JobCompleted })
	}
	w.until("all room free", func() bool {
		free := true
		w.log.read(func(s *workload.State) {
			for id := range s.Workers() {
				free = free && len(s.Runs(id)) == 0
			}
		})
		return free
	})
	w.check()
}

// A run that shows no progress is stopped and its task goes elsewhere.
func TestRunThatStandsStillIsMoved(t *testing.T) {
	w := newWorld(t)
	w.lead()
	w.put()
	stuck := w.worker("w1", "p", 20*time.Millisecond)
	stuck.SetFaults(platformtest.Faults{Stall: true})
	w.until("worker known", func() bool { return w.known() == 1 })
	w.submit(jobID(0), step(1))
	w.until("task begun", func() bool { return len(stuck.History()) == 1 })
	w.worker("w2", "p", 20*time.Millisecond)
	w.until("job completed", func() bool { return w.state(jobID(0)) == workload.JobCompleted })
	if how := stuck.History()[0].How; how != "stopped" {
		t.Errorf("the run that stood still ended %q", how)
	}
	w.check()
}

func TestWaveKeepsToItsBudgetAndEnds(t *testing.T) {
	w := newWorld(t)
	service := newFleet(t, w, 5)
	wave := &workload.Wave{ID: 1, Instances: []string{"m0", "m1", "m2", "m3", "m9"}, MaxDown: 2}
	if err := w.current().StartWave(t.Context(), wave, 20_000); err != nil {
		t.Fatal(err)
	}
	w.until("wave completed", func() bool {
		done := false
		w.log.read(func(s *workload.State) { done = s.Waves()[1].Completed() })
		return done
	})
	for _, m := range service.Snapshot() {
		if want := m.Name != "m4"; (len(m.Upkeeps) == 1) != want {
			t.Errorf("%s had %d upkeeps", m.Name, len(m.Upkeeps))
		}
	}
	if service.MostDown > wave.MaxDown {
		t.Errorf("%d instances were down, %d are allowed", service.MostDown, wave.MaxDown)
	}
}

// TestRandomFaults submits jobs while workers lose orders, fall silent, crash and
// return, and the lead changes. Fixed seeds choose the faults; the promises are
// checked from the workers' own accounts.
// Tasks with a budget leave the instances of a wave before their turn: one at a
// time from the cordoned instance alone, a wave ends late (kpao-sched-grown, trouble-2).
func TestLastingTasksLeaveAheadOfTheWave(t *testing.T) {
	w := newWorld(t)
	service := newFleetOf(t, w, 4, &platformtest.Worker{RunTime: time.Hour, Lasting: true})
	service.Away = time.Hour // the first instance of the wave never comes back
	// Without a standby pool the idle instances stay.
	without := strings.NewReplacer(`"version":1`, `"version":2`, `,{"name":"spare","standby":true}`, "").Replace(document)
	if err := w.current().PutDocument(t.Context(), []byte(without)); err != nil {
		t.Fatal(err)
	}
	lasting := step(2)
	lasting.LongRunning, lasting.MaxUnavailable, lasting.AntiAffinity = true, 1, 1
	w.submit("0000000000000001", lasting)
	where := func() map[string]bool {
		out := map[string]bool{}
		w.log.read(func(s *workload.State) {
			j, ok := s.Job("0000000000000001")
			for i := 0; ok && i < 2; i++ {
				if task := j.Tasks[0][0][i]; task.State == workload.TaskAssigned {
					out[task.Worker] = true
				}
			}
		})
		return out
	}
	w.until("both tasks run", func() bool { return len(where()) == 2 })
	var wave workload.Wave
	for _, m := range service.Snapshot() {
		if where()[m.Worker] {
			wave.Instances = append(wave.Instances, m.Name)
		}
	}
	wave.ID, wave.MaxDown = 1, 1
	if err := w.current().StartWave(t.Context(), &wave, 3_600_000); err != nil {
		t.Fatal(err)
	}
	w.until("no task is left on an instance of the wave", func() bool {
		now := where()
		if len(now) < 2 {
			return false
		}
		for _, m := range service.Snapshot() {
			if slices.Contains(wave.Instances, m.Name) && now[m.Worker] {
				return false
			}
		}
		return true
	})
	w.check()
}

// Without a worker that stays, a task is not moved in circles.
func TestLastingTasksStayWithoutARefuge(t *testing.T) {
	w := newWorld(t)
	service := newFleetOf(t, w, 2, &platformtest.Worker{RunTime: time.Hour, Lasting: true})
	service.Away = time.Hour
	lasting := step(1)
	lasting.LongRunning, lasting.MaxUnavailable = true, 1
	w.submit("0000000000000001", lasting, lasting)
	w.until("both tasks run", func() bool { return len(w.history()) == 2 })
	// A wave of no instance at a time never cordons one.
	wave := &workload.Wave{ID: 1, Instances: []string{"m0", "m1"}, MaxDown: 0}
	if err := w.current().StartWave(t.Context(), wave, 3_600_000); err != nil {
		t.Fatal(err)
	}
	enough := service.Readings() + 2
	w.until("list read", func() bool { return service.Readings() >= enough })
	if n := len(w.history()); n != 2 {
		t.Errorf("%d runs of two tasks", n)
	}
}

func TestRandomFaults(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3, 4} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			randomFaults(t, newWorld(t), rand.New(rand.NewPCG(seed, 0)), func() {})
		})
	}
}

// randomFaults runs jobs while workers fail and leaders change; disturb, called
// with each job, may add faults of its own.
func randomFaults(t *testing.T, w *world, rnd *rand.Rand, disturb func()) {
	const jobs = 25
	w.lead()
	w.put()
	for n := range 4 {
		w.worker(fmt.Sprint("w", n), "p", 30*time.Millisecond)
	}
	for n := range jobs {
		second := step(1 + rnd.IntN(2))
		second.After = []int{0}
		w.submit(jobID(n), step(1+rnd.IntN(4)), second)
		id := fmt.Sprint("w", rnd.IntN(4))
		w.mu.Lock()
		s := w.workers[id]
		w.mu.Unlock()
		switch rnd.IntN(6) {
		case 0:
			s.SetFaults(platformtest.Faults{LoseAnswers: 3, Late: time.Duration(rnd.IntN(800)) * time.Millisecond})
		case 1:
			s.SetFaults(platformtest.Faults{Silent: true})
			time.AfterFunc(time.Duration(rnd.IntN(1500))*time.Millisecond, func() { s.SetFaults(platformtest.Faults{}) })
		case 2:
			w.crash(id)
			time.Sleep(2 * time.Millisecond) // the start time of a worker has millisecond resolution
			w.worker(id, "p", 30*time.Millisecond)
		case 3:
			w.lead()
		case 4:
			s.SetFaults(platformtest.Faults{Busy: true})
			time.AfterFunc(200*time.Millisecond, func() { s.SetFaults(platformtest.Faults{}) })
		}
		disturb()
		time.Sleep(time.Duration(rnd.IntN(40)) * time.Millisecond)
	}
	for n := range jobs {
		w.until("job completed", func() bool { return w.state(jobID(n)).Finished() })
		if got := w.state(jobID(n)); got != workload.JobCompleted {
			t.Errorf("job %d is %s", n, got)
		}
	}
	w.check()
}
