package jobs_test

import (
	"fmt"
	"maps"
	"slices"

	"magnoliastand.example/jobs"
	"magnoliastand.example/jobs/httpapi"
	"magnoliastand.example/jobs/scheduler"
)

const (
	// driftPerMille is how much slower the clocks of the simulated workers run.
	driftPerMille = 10
	// maxCrashes bounds the workers that one job may crash: the weakest evidence
	// parks it after four, and three other workers may be down without having told.
	maxCrashes = 4 + 3
)

type modelTask struct {
	epoch  uint64
	end    jobs.Millis
	state  httpapi.TaskState
	kind   jobs.OutcomeKind
	reason string
}

// modelWorker implements the worker protocol with its own clock.
type modelWorker struct {
	id, zone    string
	incarnation int
	seq         uint64
	leaseEpoch  uint64
	until       jobs.Millis
	frozen      jobs.Millis
	// cut is until when a partition keeps the worker from sending.
	cut     jobs.Millis
	failing bool
	tasks   map[string]*modelTask
}

type message struct {
	at      jobs.Millis
	deliver func()
}

// simulation connects a state to simulated workers that run its tasks. draw returns
// a random number below its argument.
type simulation struct {
	draw    func(int) int
	state   *jobs.State
	now     jobs.Millis
	workers []*modelWorker
	network []message
	oldPlan []jobs.Change
	seq     int
	starts  map[string]int
	// succeeded holds the jobs of which the state was told a success.
	succeeded map[string]bool
	ids       []string
	teams     []jobs.Team
	// deadly holds the jobs that crash their worker, crashes how often they did.
	deadly  map[string]bool
	crashes map[string]int
	// longestRestart bounds the time for which a crashed worker is away.
	longestRestart int
	// evacuated lists the evacuated zones.
	evacuated []string
	// reliable delivers every message immediately.
	reliable bool
	// silentEpochs keeps the workers from telling their lease epoch, as workers of
	// earlier builds do.
	silentEpochs bool
	violations   []string
	off          jobs.SafetyCheck
}

var modelZones = []string{"z1", "z2"}

var modelTeams = []jobs.Team{{Name: "a", Share: 2, Limit: 3}, {Name: "b", Share: 1, Limit: 1}}

func newSimulation(draw func(int) int, off jobs.SafetyCheck) *simulation {
	sim := &simulation{
		draw: draw, state: jobs.New(), now: 1_000, teams: modelTeams, off: off, longestRestart: 40_000,
		starts: map[string]int{}, succeeded: map[string]bool{}, deadly: map[string]bool{}, crashes: map[string]int{},
	}
	sim.state.Disable(off)
	sim.silentEpochs = off == jobs.IncarnationCheck
	sim.apply(jobs.Change{SetTeams: &jobs.SetTeams{Teams: sim.teams}})
	for n := range 4 {
		sim.workers = append(sim.workers, &modelWorker{id: fmt.Sprint("w", n), zone: modelZones[n%2], failing: n == 3, tasks: map[string]*modelTask{}})
	}
	return sim
}

func (sim *simulation) violationf(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf(format, args...))
}

func (sim *simulation) apply(changes ...jobs.Change) jobs.Result {
	b, err := jobs.EncodeCommand(jobs.Command{At: sim.now, Changes: changes, Rules: jobs.CurrentRules})
	if err != nil {
		sim.violationf("encode: %v", err)
		return jobs.Result{}
	}
	out, err := sim.state.ApplyBytes(b)
	if err != nil {
		sim.violationf("apply: %v", err)
	}
	r, err := jobs.DecodeResult(out)
	if err != nil || len(r.Changes) != len(changes) {
		sim.violationf("%d results for %d changes: %v", len(r.Changes), len(changes), err)
		return r
	}
	for n := range changes {
		sim.noteSuccess(&changes[n], &r.Changes[n])
		if a := changes[n].Assign; a != nil && r.Changes[n].Refused == "" && sim.inEvacuatedZone(a.Worker) {
			sim.violationf("%s was assigned to %s in an evacuated zone", a.ID, a.Worker)
		}
	}
	return r
}

// noteSuccess notes that the state was told a success, and checks that the job is
// settled and not assigned after that.
func (sim *simulation) noteSuccess(c *jobs.Change, r *jobs.ChangeResult) {
	switch {
	case c.Outcome != nil && c.Outcome.Kind == jobs.OutcomeSucceeded:
		sim.succeeded[c.Outcome.ID] = true
		if j := sim.state.View().Job(c.Outcome.ID); j.State != jobs.Succeeded && j.State != jobs.Cancelled && j.Intent != jobs.StopSettled {
			sim.violationf("%s is %s after its success was reported", j.ID, j.State)
		}
	case c.Assign != nil && r.Refused == "" && sim.succeeded[c.Assign.ID]:
		sim.violationf("%s was assigned after its success was reported", c.Assign.ID)
	}
}

// send delivers a message immediately, late, twice or not at all.
func (sim *simulation) send(deliver func()) {
	if sim.reliable {
		deliver()
		return
	}
	switch sim.draw(10) {
	case 0:
	case 1:
		sim.network = append(sim.network, message{sim.now + jobs.Millis(sim.draw(40_000)), deliver})
	case 2:
		deliver()
		sim.network = append(sim.network, message{sim.now + jobs.Millis(sim.draw(40_000)), deliver})
	default:
		deliver()
	}
}

// advance moves the clock: leases expire, tasks end and delayed messages arrive.
func (sim *simulation) advance(d jobs.Millis) {
	sim.now += d
	for _, m := range sim.workers {
		if sim.now >= m.frozen {
			sim.tick(m)
		}
	}
	due := sim.network
	sim.network = nil
	for _, m := range due {
		if m.at > sim.now {
			sim.network = append(sim.network, m)
			continue
		}
		m.deliver()
	}
}

func (sim *simulation) tick(m *modelWorker) {
	for _, id := range slices.Sorted(maps.Keys(m.tasks)) {
		t := m.tasks[id]
		switch {
		case t.state != httpapi.TaskRunning:
		case sim.now >= m.until:
			t.state, t.kind, t.reason = httpapi.TaskEnded, jobs.OutcomeStopped, "lease ended"
		case sim.now >= t.end && sim.deadly[id]:
			sim.crash(m, id)
			return
		case sim.now >= t.end && m.failing:
			t.state, t.kind, t.reason = httpapi.TaskEnded, jobs.OutcomeFailed, "bad worker"
		case sim.now >= t.end:
			t.state, t.kind = httpapi.TaskEnded, jobs.OutcomeSucceeded
		}
	}
}

// crash ends the process of a worker, which comes back later as a new incarnation.
func (sim *simulation) crash(m *modelWorker, id string) {
	m.restart()
	m.frozen = sim.now + 2_000 + jobs.Millis(sim.draw(sim.longestRestart))
	if sim.crashes[id]++; sim.crashes[id] > maxCrashes {
		sim.violationf("%s crashed %d workers", id, sim.crashes[id])
	}
}

// restart replaces the process of the worker with a new incarnation.
func (m *modelWorker) restart() {
	m.incarnation, m.seq, m.leaseEpoch, m.until, m.tasks = m.incarnation+1, 0, 0, 0, map[string]*modelTask{}
}

// heartbeat sends a heartbeat and handles the reply, unless a newer heartbeat was
// sent in the meantime.
func (sim *simulation) heartbeat(m *modelWorker) {
	m.seq++
	hb := &jobs.Heartbeat{
		Worker: m.id, Zone: m.zone, Rack: "r" + m.id, Pool: "p", Capacity: jobs.Size{Processors: 8_000, MemoryMB: 8_000},
		Slots: 4, Incarnation: fmt.Sprint("i", m.incarnation), Seq: m.seq,
	}
	if leaseEpoch := m.leaseEpoch; !sim.silentEpochs {
		hb.LeaseEpoch = &leaseEpoch
	}
	var tasks []httpapi.Task
	for _, id := range slices.Sorted(maps.Keys(m.tasks)) {
		t := m.tasks[id]
		if t.kind == jobs.OutcomeNotStarted {
			tasks = append(tasks, httpapi.Task{ID: id, Epoch: t.epoch, State: httpapi.TaskNotStarted})
			continue
		}
		tasks = append(tasks, httpapi.Task{ID: id, Epoch: t.epoch, State: t.state})
		hb.Tasks = append(hb.Tasks, jobs.TaskReport{ID: id, Epoch: t.epoch, Used: jobs.Size{Processors: 1_500}})
	}
	sent := sim.now
	sim.send(func() {
		before := sim.state.View().Worker(m.id)
		if change, needed := sim.state.View().At(sim.now).HeartbeatChange(hb); needed {
			sim.apply(change)
		}
		view := sim.state.View().At(sim.now)
		worker := view.Worker(m.id)
		if live := fmt.Sprint("i", m.incarnation); before != nil && before.Incarnation == live && worker.Incarnation != live && !sim.silentEpochs {
			sim.violationf("%s displaced the running incarnation %s of %s", worker.Incarnation, live, m.id)
		}
		if worker == nil {
			return
		}
		lease, epoch := jobs.Millis(0), worker.LeaseEpoch
		var commands []httpapi.Command
		switch {
		case worker.Incarnation == hb.Incarnation:
			lease = worker.Until - view.Now - jobs.DriftMargin
			commands = httpapi.Commands(view, m.id, tasks)
			sim.checkCommands(m, commands)
		case worker.Candidate != nil && worker.Candidate.Incarnation == hb.Incarnation:
			epoch = worker.Candidate.LeaseEpoch
		default:
			return
		}
		sim.send(func() {
			if m.seq == hb.Seq && fmt.Sprint("i", m.incarnation) == hb.Incarnation && sim.now >= m.frozen {
				m.until, m.leaseEpoch = sent+lease*(1_000+driftPerMille)/1_000, epoch
				sim.execute(m, commands)
			}
		})
	})
}

func (sim *simulation) execute(m *modelWorker, commands []httpapi.Command) {
	for _, c := range commands {
		t := m.tasks[c.Task]
		switch {
		case c.Command == httpapi.CommandStart && t == nil && sim.now < m.until:
			m.tasks[c.Task] = &modelTask{epoch: c.Epoch, state: httpapi.TaskRunning, end: sim.now + 500 + jobs.Millis(sim.draw(9_000))}
			sim.started(c.Task, c.Start)
		case (c.Command == httpapi.CommandStop || c.Command == httpapi.CommandWithdraw) && t == nil:
			m.tasks[c.Task] = &modelTask{epoch: c.Epoch, state: httpapi.TaskEnded, kind: jobs.OutcomeNotStarted}
		case c.Command == httpapi.CommandStop && t.epoch == c.Epoch && t.state == httpapi.TaskRunning:
			t.state, t.kind = httpapi.TaskEnded, jobs.OutcomeStopped
		}
	}
}

// started checks a start against the tasks that really run.
func (sim *simulation) started(id string, s *httpapi.Start) {
	sim.starts[id]++
	if !s.Idempotent && sim.starts[id] > 1 {
		sim.violationf("%s is not idempotent and started %d times", id, sim.starts[id])
	}
	copies, team := 0, 0
	for _, m := range sim.workers {
		for other, t := range m.tasks {
			if t.state != httpapi.TaskRunning || sim.now >= m.until {
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
		sim.violationf("%s runs %d times at once", id, copies)
	}
	for _, t := range sim.teams {
		if t.Name == s.Team && team > t.Limit {
			sim.violationf("team %s runs %d tasks of %d", t.Name, team, t.Limit)
		}
	}
}

func (sim *simulation) postOutcomes(m *modelWorker) {
	for _, id := range slices.Sorted(maps.Keys(m.tasks)) {
		t := m.tasks[id]
		if t.state != httpapi.TaskEnded {
			continue
		}
		o := &jobs.Outcome{ID: id, Worker: m.id, Epoch: t.epoch, Kind: t.kind, Reason: t.reason, Used: jobs.Size{Processors: 1_500}, Run: 1_000}
		sim.send(func() {
			sim.apply(jobs.Change{Outcome: o})
			sim.send(func() {
				if m.tasks[id] == t {
					delete(m.tasks, id)
				}
			})
		})
	}
}

func (sim *simulation) submit() {
	team := modelTeams[sim.draw(2)].Name
	sim.seq++
	id := jobs.JobID(team, fmt.Sprint(sim.seq))
	sim.ids = append(sim.ids, id)
	sim.deadly[id] = sim.draw(10) == 0
	c := jobs.Change{Submit: &jobs.Submit{ID: id, Team: team, Spec: jobs.Spec{
		Queue: fmt.Sprint("q", sim.draw(2)), Pool: "p", RunTime: 2_000, Size: jobs.Size{Processors: 1_000 + 1_000*sim.draw(9)},
		Idempotent: sim.draw(2) == 0, Urgent: sim.draw(4) == 0,
	}}}
	sim.apply(c)
	if sim.draw(4) == 0 {
		sim.apply(c)
	}
}

// plan applies a plan, sometimes a stale one.
func (sim *simulation) plan() {
	changes := scheduler.Plan(sim.state.View().At(sim.now))
	if sim.draw(4) == 0 {
		changes, sim.oldPlan = sim.oldPlan, changes
	}
	sim.apply(changes...)
}

// step performs one random action.
func (sim *simulation) step() {
	m := sim.workers[sim.draw(len(sim.workers))]
	switch sim.draw(13) {
	case 0, 1:
		sim.submit()
	case 2:
		sim.cancelRandomJobs()
	case 3:
		if sim.draw(2) == 0 {
			m.frozen = sim.now + jobs.Millis(sim.draw(60_000))
		} else {
			m.cut = sim.now + jobs.Millis(sim.draw(60_000))
		}
	case 4:
		m.restart()
		if sim.draw(3) == 0 {
			sim.heartbeat(m)
			m.restart()
		}
	case 5:
		sim.restart()
	case 6:
		sim.apply(jobs.Change{Lose: &jobs.WorkerAction{Worker: m.id}})
	case 7:
		sim.assignRandomJob(m)
	case 12:
		sim.evacuateRandomZones()
	default:
		sim.plan()
	}
	for _, m := range sim.workers {
		if sim.now >= m.frozen && sim.draw(3) > 0 {
			sim.tick(m)
			if sim.now >= m.cut {
				sim.postOutcomes(m)
				sim.heartbeat(m)
			}
		}
	}
	sim.advance(jobs.Millis(1 + sim.draw(2_000)))
	if !sim.state.CheckAll() {
		sim.violationf("the state breaks an invariant")
	}
}

// evacuateRandomZones evacuates no zone, one zone or all zones.
func (sim *simulation) evacuateRandomZones() {
	sim.setEvacuated([][]string{nil, {"z1"}, {"z2"}, modelZones}[sim.draw(4)])
}

func (sim *simulation) setEvacuated(zones []string) {
	sim.evacuated = zones
	sim.state.SetEvacuatedZones(zones)
}

func (sim *simulation) inEvacuatedZone(worker string) bool {
	return slices.ContainsFunc(sim.workers, func(m *modelWorker) bool {
		return m.id == worker && slices.Contains(sim.evacuated, m.zone)
	})
}

// checkCommands checks that no start is sent to a worker in an evacuated zone.
func (sim *simulation) checkCommands(m *modelWorker, commands []httpapi.Command) {
	for _, c := range commands {
		if c.Command == httpapi.CommandStart && sim.inEvacuatedZone(m.id) {
			sim.violationf("%s is to start %s in an evacuated zone", m.id, c.Task)
		}
	}
}

// assignRandomJob assigns a random job to the worker, as a faulty scheduler could.
func (sim *simulation) assignRandomJob(m *modelWorker) {
	if len(sim.ids) == 0 {
		return
	}
	id := sim.ids[sim.draw(len(sim.ids))]
	sim.apply(jobs.Change{Assign: &jobs.Assign{ID: id, Worker: m.id, IfEpoch: sim.state.View().Job(id).Epoch}})
}

func (sim *simulation) cancelRandomJobs() {
	var changes []jobs.Change
	for _, id := range sim.ids {
		if sim.draw(8) == 0 {
			changes = append(changes, jobs.Change{Cancel: &jobs.Cancel{ID: id}})
		}
	}
	sim.apply(changes...)
}

// restart replaces the state with one restored from its snapshot.
func (sim *simulation) restart() {
	b, err := sim.state.Snapshot()
	if err != nil {
		sim.violationf("snapshot: %v", err)
		return
	}
	n := jobs.New()
	n.Disable(sim.off)
	if err := n.Restore(b); err != nil {
		sim.violationf("restore: %v", err)
		return
	}
	if again, _ := n.Snapshot(); !slices.Equal(again, b) {
		sim.violationf("the snapshot of the restored state differs")
	}
	n.SetEvacuatedZones(sim.evacuated)
	sim.state = n
}

// openJobs counts the jobs that are neither finished nor parked.
func (sim *simulation) openJobs() int {
	n := 0
	for _, j := range sim.state.View().Jobs {
		if !j.State.Finished() && j.State != jobs.Parked {
			n++
		}
	}
	return n
}

// finishJobs runs the workers without freezes until no job is open. It checks
// that every job finished or was parked, and that no job that started counts as
// not run. An evacuated zone stays so unless all are.
func (sim *simulation) finishJobs() {
	if len(sim.evacuated) == len(modelZones) {
		sim.setEvacuated(nil)
	}
	for round := 0; round < 400 && (round < 50 || sim.openJobs() > 0); round++ {
		sim.advance(1_000)
		for _, m := range sim.workers {
			m.frozen, m.cut = 0, 0
			sim.tick(m)
			sim.postOutcomes(m)
			sim.heartbeat(m)
		}
		sim.apply(scheduler.Plan(sim.state.View().At(sim.now))...)
	}
	view := sim.state.View()
	for _, id := range sim.ids {
		j := view.Job(id)
		switch {
		case j == nil:
			sim.violationf("accepted job %s is gone", id)
		case !j.State.Finished() && j.State != jobs.Parked:
			sim.violationf("%s is still %s: %+v", id, j.State, j.History)
		case sim.succeeded[id] && j.State != jobs.Succeeded && j.State != jobs.Cancelled:
			sim.violationf("%s is %s after its success was reported: %+v", id, j.State, j.History)
		case !j.MayHaveRun && sim.starts[id] > 0:
			sim.violationf("%s counts as not run and started %d times", id, sim.starts[id])
		}
	}
}
