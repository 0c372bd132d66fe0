package jobs_test

import (
	"fmt"
	"maps"
	"slices"

	"magnoliastand.example/jobs"
	"magnoliastand.example/jobs/httpapi"
	"magnoliastand.example/jobs/scheduler"
)

// driftPerMille is how much slower the clocks of the model's workers run.
const driftPerMille = 10

type modelTask struct {
	epoch  uint64
	end    jobs.Millis
	state  httpapi.TaskState
	kind   jobs.OutcomeKind
	reason string
}

// modelWorker follows the protocol of workers by its own clock.
type modelWorker struct {
	id          string
	incarnation int
	seq         uint64
	until       jobs.Millis
	frozen      jobs.Millis
	failing     bool
	tasks       map[string]*modelTask
}

type message struct {
	at      jobs.Millis
	deliver func()
}

// world joins a state with workers that really run tasks. Draw returns a number
// below its argument.
type world struct {
	draw    func(int) int
	state   *jobs.State
	now     jobs.Millis
	workers []*modelWorker
	network []message
	oldPlan []jobs.Change
	seq     int
	starts  map[string]int
	ids     []string
	faults  []string
	off     jobs.Protection
}

var modelTeams = []jobs.Team{{Name: "a", Share: 2, Limit: 3}, {Name: "b", Share: 1, Limit: 1}}

func newWorld(draw func(int) int, off jobs.Protection) *world {
	w := &world{draw: draw, state: jobs.New(), now: 1_000, starts: map[string]int{}, off: off}
	w.state.TurnOff(off)
	w.apply(jobs.Change{SetTeams: &jobs.SetTeams{Teams: modelTeams}})
	for n := range 4 {
		w.workers = append(w.workers, &modelWorker{id: fmt.Sprint("w", n), failing: n == 3, tasks: map[string]*modelTask{}})
	}
	return w
}

func (w *world) faultf(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

func (w *world) apply(changes ...jobs.Change) jobs.Result {
	b, err := jobs.EncodeCommand(jobs.Command{At: w.now, Changes: changes})
	if err != nil {
		w.faultf("encode: %v", err)
		return jobs.Result{}
	}
	out, err := w.state.ApplyBytes(b)
	if err != nil {
		w.faultf("apply: %v", err)
	}
	r, err := jobs.DecodeResult(out)
	if err != nil || len(r.Changes) != len(changes) {
		w.faultf("%d results for %d changes: %v", len(r.Changes), len(changes), err)
	}
	return r
}

// send delivers a message after a random delay, not at all, or twice.
func (w *world) send(deliver func()) {
	switch w.draw(10) {
	case 0:
	case 1:
		w.network = append(w.network, message{w.now + jobs.Millis(w.draw(40_000)), deliver})
	case 2:
		deliver()
		w.network = append(w.network, message{w.now + jobs.Millis(w.draw(40_000)), deliver})
	default:
		deliver()
	}
}

// advance lets time pass: leases end, tasks end, late messages arrive.
func (w *world) advance(d jobs.Millis) {
	w.now += d
	for _, m := range w.workers {
		if w.now >= m.frozen {
			w.tick(m)
		}
	}
	due := w.network
	w.network = nil
	for _, m := range due {
		if m.at > w.now {
			w.network = append(w.network, m)
			continue
		}
		m.deliver()
	}
}

func (w *world) tick(m *modelWorker) {
	for _, id := range slices.Sorted(maps.Keys(m.tasks)) {
		t := m.tasks[id]
		switch {
		case t.state != httpapi.TaskRunning:
		case w.now >= m.until:
			t.state, t.kind, t.reason = httpapi.TaskEnded, jobs.OutcomeStopped, "lease ended"
		case w.now >= t.end && m.failing:
			t.state, t.kind, t.reason = httpapi.TaskEnded, jobs.OutcomeFailed, "bad worker"
		case w.now >= t.end:
			t.state, t.kind = httpapi.TaskEnded, jobs.OutcomeSucceeded
		}
	}
}

// heartbeat sends a heartbeat and handles its answer, unless a newer one was
// sent meanwhile.
func (w *world) heartbeat(m *modelWorker) {
	m.seq++
	hb := &jobs.Heartbeat{
		Worker: m.id, Zone: "z", Rack: "r" + m.id, Pool: "p", Capacity: jobs.Size{Processors: 8_000, MemoryMB: 8_000},
		Slots: 4, Incarnation: fmt.Sprint("i", m.incarnation), Seq: m.seq,
	}
	var tasks []httpapi.Task
	for _, id := range slices.Sorted(maps.Keys(m.tasks)) {
		t := m.tasks[id]
		tasks = append(tasks, httpapi.Task{ID: id, Epoch: t.epoch, State: t.state})
		hb.Tasks = append(hb.Tasks, jobs.TaskReport{ID: id, Epoch: t.epoch, Used: jobs.Size{Processors: 1_500}})
	}
	sent := w.now
	w.send(func() {
		if change, needed := w.state.View().At(w.now).HeartbeatChange(hb); needed {
			w.apply(change)
		}
		view := w.state.View().At(w.now)
		worker := view.Worker(m.id)
		if worker == nil || worker.Incarnation != hb.Incarnation {
			return
		}
		lease := worker.Until - view.Now - jobs.DriftMargin
		commands := httpapi.Commands(view, m.id, tasks)
		w.send(func() {
			if m.seq == hb.Seq && fmt.Sprint("i", m.incarnation) == hb.Incarnation && w.now >= m.frozen {
				m.until = sent + lease*(1_000+driftPerMille)/1_000
				w.obey(m, commands)
			}
		})
	})
}

func (w *world) obey(m *modelWorker, commands []httpapi.Command) {
	for _, c := range commands {
		t := m.tasks[c.Task]
		switch {
		case c.Command == httpapi.CommandStart && t == nil && w.now < m.until:
			m.tasks[c.Task] = &modelTask{epoch: c.Epoch, state: httpapi.TaskRunning, end: w.now + 500 + jobs.Millis(w.draw(9_000))}
			w.started(c.Task, c.Start)
		case c.Command == httpapi.CommandStop && t == nil:
			m.tasks[c.Task] = &modelTask{epoch: c.Epoch, state: httpapi.TaskEnded, kind: jobs.OutcomeNotStarted}
		case c.Command == httpapi.CommandStop && t.epoch == c.Epoch && t.state == httpapi.TaskRunning:
			t.state, t.kind = httpapi.TaskEnded, jobs.OutcomeStopped
		}
	}
}

// started judges a start against what really runs.
func (w *world) started(id string, s *httpapi.Start) {
	w.starts[id]++
	if !s.Idempotent && w.starts[id] > 1 {
		w.faultf("%s is not idempotent and started %d times", id, w.starts[id])
	}
	copies, team := 0, 0
	for _, m := range w.workers {
		for other, t := range m.tasks {
			if t.state != httpapi.TaskRunning || w.now >= m.until {
				continue
			}
			if other == id {
				copies++
			}
			if other[0] == id[0] {
				team++
			}
		}
	}
	if copies > 1 {
		w.faultf("%s runs %d times at once", id, copies)
	}
	for _, t := range modelTeams {
		if t.Name == s.Team && team > t.Limit {
			w.faultf("team %s runs %d tasks of %d", t.Name, team, t.Limit)
		}
	}
}

func (w *world) postOutcomes(m *modelWorker) {
	for _, id := range slices.Sorted(maps.Keys(m.tasks)) {
		t := m.tasks[id]
		if t.state != httpapi.TaskEnded {
			continue
		}
		o := &jobs.Outcome{ID: id, Worker: m.id, Epoch: t.epoch, Kind: t.kind, Reason: t.reason, Used: jobs.Size{Processors: 1_500}, Run: 1_000}
		w.send(func() {
			w.apply(jobs.Change{Outcome: o})
			w.send(func() {
				if m.tasks[id] == t {
					delete(m.tasks, id)
				}
			})
		})
	}
}

func (w *world) submit() {
	team := modelTeams[w.draw(2)].Name
	w.seq++
	id := jobs.JobID(team, fmt.Sprint(w.seq))
	w.ids = append(w.ids, id)
	c := jobs.Change{Submit: &jobs.Submit{ID: id, Team: team, Spec: jobs.Spec{
		Queue: fmt.Sprint("q", w.draw(2)), Pool: "p", RunTime: 2_000, Size: jobs.Size{Processors: 1_000 + 1_000*w.draw(9)},
		Idempotent: w.draw(2) == 0, Urgent: w.draw(4) == 0,
	}}}
	w.apply(c)
	if w.draw(4) == 0 {
		w.apply(c)
	}
}

// plan proposes a plan, sometimes one that was made earlier.
func (w *world) plan() {
	changes := scheduler.Plan(w.state.View().At(w.now))
	if w.draw(4) == 0 {
		changes, w.oldPlan = w.oldPlan, changes
	}
	w.apply(changes...)
}

// step performs one random action.
func (w *world) step() {
	m := w.workers[w.draw(len(w.workers))]
	switch w.draw(12) {
	case 0, 1:
		w.submit()
	case 2:
		w.cancelWave()
	case 3:
		m.frozen = w.now + jobs.Millis(w.draw(60_000))
	case 4:
		m.incarnation, m.seq, m.until, m.tasks = m.incarnation+1, 0, 0, map[string]*modelTask{}
	case 5:
		w.restart()
	case 6:
		w.apply(jobs.Change{Lose: &jobs.OnWorker{Worker: m.id}})
	case 7:
		w.rogue(m)
	default:
		w.plan()
	}
	for _, m := range w.workers {
		if w.now >= m.frozen && w.draw(3) > 0 {
			w.tick(m)
			w.postOutcomes(m)
			w.heartbeat(m)
		}
	}
	w.advance(jobs.Millis(1 + w.draw(2_000)))
	if !w.state.CheckAll() {
		w.faultf("the state breaks an invariant")
	}
}

// rogue assigns a random job to the worker, as a planner with a fault would.
func (w *world) rogue(m *modelWorker) {
	if len(w.ids) == 0 {
		return
	}
	id := w.ids[w.draw(len(w.ids))]
	w.apply(jobs.Change{Assign: &jobs.Assign{ID: id, Worker: m.id, IfEpoch: w.state.View().Job(id).Epoch}})
}

func (w *world) cancelWave() {
	var wave []jobs.Change
	for _, id := range w.ids {
		if w.draw(8) == 0 {
			wave = append(wave, jobs.Change{Cancel: &jobs.Cancel{ID: id}})
		}
	}
	w.apply(wave...)
}

// restart replaces the state by one restored from its snapshot.
func (w *world) restart() {
	b, err := w.state.Snapshot()
	if err != nil {
		w.faultf("snapshot: %v", err)
		return
	}
	n := jobs.New()
	n.TurnOff(w.off)
	if err := n.Restore(b); err != nil {
		w.faultf("restore: %v", err)
		return
	}
	if again, _ := n.Snapshot(); !slices.Equal(again, b) {
		w.faultf("the snapshot of the restored state differs")
	}
	w.state = n
}

// open counts the jobs that wait or run.
func (w *world) open() int {
	n := 0
	for _, j := range w.state.View().Jobs {
		if !j.State.Finished() && j.State != jobs.Parked {
			n++
		}
	}
	return n
}

// settle lets the workers work undisturbed and checks that every job came to
// an end, and that what did not run is said so.
func (w *world) settle() {
	for round := 0; round < 400 && (round < 50 || w.open() > 0); round++ {
		w.advance(1_000)
		for _, m := range w.workers {
			m.frozen = 0
			w.tick(m)
			w.postOutcomes(m)
			w.heartbeat(m)
		}
		w.apply(scheduler.Plan(w.state.View().At(w.now))...)
	}
	view := w.state.View()
	for _, id := range w.ids {
		j := view.Job(id)
		switch {
		case j == nil:
			w.faultf("accepted job %s is gone", id)
		case !j.State.Finished() && j.State != jobs.Parked:
			w.faultf("%s is still %s: %+v", id, j.State, j.History)
		case !j.MayHaveRun && w.starts[id] > 0:
			w.faultf("%s counts as not run and started %d times", id, w.starts[id])
		}
	}
}
