package driver

import (
	"context"
	"maps"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"magnoliastand.example/invariant"
	"magnoliastand.example/platform"
	"magnoliastand.example/workload"
	"magnoliastand.example/workload/plan"
)

const (
	// inboxSize bounds the event queue: one second of the expected peak of 1,000
	// starts with their replies and ends.
	inboxSize = 8192
	// tickInterval is the resolution of retries and timeouts.
	tickInterval = 50 * time.Millisecond
	// maxIdle bounds the idle goroutines that are kept for further calls.
	maxIdle = 256
	// proposeTimeout bounds a proposal. A leader that cannot commit within this
	// time has lost its quorum.
	proposeTimeout = 3 * time.Second
	// maxBatch is the number of commands that wait for the log above which no tasks are
	// assigned. Entries are bounded by workload.MaxEntryBytes.
	maxBatch = 2000
	// pruneInterval is the interval between removals of old jobs.
	pruneInterval = 5 * time.Second
)

// pendingCommand is what the driver keeps with a command until it is committed.
type pendingCommand struct {
	// at is the time with which the command was applied. Commands of one entry share it.
	at workload.Millis
	// size is the size of the encoded command, in bytes.
	size int
	// then is called after the commit; it may be nil.
	then func()
}

// event is a function executed on the driver's event loop.
type event func()

// Driver schedules the workload during one term of leadership.
type Driver struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	inbox  chan event
	done   chan struct{}
	// panicked is set once an event or a call has panicked.
	panicked atomic.Bool
	wg       sync.WaitGroup
	// idle passes calls to the goroutines of async that have nothing to do, whose
	// number is idling.
	idle   chan func()
	idling atomic.Int64

	// The fields below are owned by the event loop.
	state *workload.State
	// batch is applied to state with the time batchAt, as replicas will apply it.
	batch   []workload.Command
	batchAt workload.Millis
	// batchCut is set if an entry has taken a part of batch only. Further commands are
	// applied with a new time, so that times do not fall behind while the rest waits.
	batchCut bool
	// pending has one element for each command of batch.
	pending    []pendingCommand
	committing bool
	needsPlan  bool
	planAt     workload.Millis
	started    time.Time
	sessions   map[string]*session
	runs       map[workload.TaskRef]*run
	// assignments counts the assignments of this term.
	assignments int64
	notBefore   map[workload.TaskRef]workload.Millis
	failedOn    map[workload.TaskRef]string
	// moves counts how often a task was moved because it made no progress.
	moves  map[workload.TaskRef]int
	advice map[workload.TaskRef]*advice
	// adviceCalls counts the calls to the advice service under way, adviceOrder all of them.
	adviceCalls int
	adviceOrder int64
	// trials holds the runs of suspected tasks that may still crash their workers, and
	// suspects since when such a task has waited.
	trials   map[workload.TaskRef]*run
	suspects map[workload.TaskRef]time.Time
	// crashedAt holds the addresses at which workers crashed under a task, at most two
	// different ones.
	crashedAt map[workload.TaskRef][]string
	// announcedBefore is when an earlier leader last heard of the workers.
	announcedBefore time.Time
	// downs are the workers that stopped answering of late, oldest first.
	downs []down
	// lives holds the latest incarnation of each worker; see Fences.
	lives map[string]life
	// lateStarts holds the start orders without a reply by worker, oldest first.
	lateStarts map[string][]lateStart
	// lateTasks holds until when a start order of a task may be carried out late, and
	// sending counts the start orders of a task that are under way.
	lateTasks map[workload.TaskRef]time.Time
	sending   map[workload.TaskRef]int
	fleet     *fleet
	lastPrune time.Time
	waiting   map[string]workload.Size
	lag       lag
	// rates tells which jobs are beyond their team's contracted rate.
	rates *plan.Rates
}

// New returns a driver for one term. cfg.State is a copy of the committed state;
// the driver takes ownership of it.
func New(cfg Config) *Driver {
	ctx, cancel := context.WithCancel(context.Background())
	if cfg.Fences == nil {
		cfg.Fences = &Fences{}
	}
	if cfg.Fences.lives == nil {
		cfg.Fences.lives = map[string]life{}
	}
	d := &Driver{
		cfg: cfg, ctx: ctx, cancel: cancel, state: cfg.State,
		inbox: make(chan event, inboxSize), idle: make(chan func()), done: make(chan struct{}), started: time.Now(),
		sessions: map[string]*session{}, runs: map[workload.TaskRef]*run{},
		notBefore: map[workload.TaskRef]workload.Millis{}, advice: map[workload.TaskRef]*advice{},
		failedOn: map[workload.TaskRef]string{}, lateStarts: map[string][]lateStart{},
		lateTasks: map[workload.TaskRef]time.Time{}, sending: map[workload.TaskRef]int{}, lives: cfg.Fences.lives,
		trials: map[workload.TaskRef]*run{}, suspects: map[workload.TaskRef]time.Time{}, crashedAt: map[workload.TaskRef][]string{}, moves: map[workload.TaskRef]int{},
		needsPlan: true, lastPrune: time.Now(), rates: plan.NewRates(cfg.State),
	}
	d.fleet = newFleet(d)
	d.fleet.inheritLoads(nowMillis())
	d.announcedBefore = d.lastAnnounced(d.started)
	for id, w := range d.state.Workers() {
		d.sessions[id] = d.newSession(w)
		d.sessions[id].announcedAt = d.announcedBefore
		d.sessions[id].assignedAt = d.started // an earlier leader may have started a task just now
		for ref, j := range d.state.Runs(id) {
			d.adoptRun(ref, j)
		}
	}
	return d
}

// Run processes events until ctx ends, leadership is lost, the log fails or an
// event or a call panics; see Panicked.
func (d *Driver) Run(ctx context.Context) {
	defer close(d.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer func() {
		d.cancel()
		d.wg.Wait()
	}()
	for d.ctx.Err() == nil && ctx.Err() == nil {
		d.step(ctx, ticker.C)
	}
}

// step waits for an event or a tick and processes it.
func (d *Driver) step(ctx context.Context, tick <-chan time.Time) {
	defer d.stopOnPanic()
	select {
	case ev := <-d.inbox:
		ev()
		d.drain()
	case <-tick:
		d.tick()
	case <-ctx.Done():
		return
	case <-d.ctx.Done():
		return
	}
	d.plan()
	d.flush()
}

// stopOnPanic, when deferred, turns a panic into a stop of the driver, whose copy
// of the state may be changed in part. What was not committed is lost, as when the
// log fails.
func (d *Driver) stopOnPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	d.panicked.Store(true)
	d.cfg.Metrics.Panics.Inc()
	d.cfg.Logger.Error().Uint64("term", d.cfg.Term).Interface("cause", cause).Bytes("stack", debug.Stack()).
		Msg("driver panicked; its successor starts from the committed state")
	d.cancel()
}

// Panicked reports whether the driver stopped because an event or a call panicked.
func (d *Driver) Panicked() bool { return d.panicked.Load() }

// Done is closed once the driver has stopped.
func (d *Driver) Done() <-chan struct{} { return d.done }

// post enqueues an event and reports whether the queue accepted it.
func (d *Driver) post(ev event) bool {
	select {
	case <-d.ctx.Done():
		return false
	default:
	}
	select {
	case d.inbox <- ev:
		return true
	default:
		return false
	}
}

// postReply enqueues the result of a call made by the driver. It blocks while the
// queue is full.
func (d *Driver) postReply(ev event) {
	select {
	case d.inbox <- ev:
	case <-d.ctx.Done():
	}
}

// async runs f on another goroutine, outside the event loop. Goroutines are reused,
// because growing the stack of a new one costs more than most calls.
func (d *Driver) async(f func()) {
	select {
	case d.idle <- f:
		return
	default:
	}
	d.wg.Go(func() {
		defer d.stopOnPanic()
		f()
		for d.idling.Add(1) <= maxIdle {
			select {
			case next := <-d.idle:
				d.idling.Add(-1)
				next()
			case <-d.ctx.Done():
				return
			}
		}
		d.idling.Add(-1)
	})
}

// errLeaseLost means that an order was withheld because the driver may have a successor.
var errLeaseLost = errors.Wrap(platform.ErrNotSent, "lease lost")

// call runs one call that gives an order, with a timeout. The lease is checked right before
// each call, because the process may have been paused since the order was decided on.
func (d *Driver) call(timeout time.Duration, f func(ctx context.Context) error) error {
	if !d.cfg.Log.IsLeader(d.cfg.Term) {
		return errLeaseLost
	}
	ctx, cancel := context.WithTimeout(d.ctx, timeout)
	defer cancel()
	return f(ctx)
}

func (d *Driver) drain() {
	for range inboxSize {
		select {
		case ev := <-d.inbox:
			ev()
		default:
			return
		}
	}
}

func nowMillis() workload.Millis { return time.Now().UnixMilli() }

// apply applies a command to the leader's copy of the state and adds it to the
// batch. then is called after the commit and may be nil. A command that no entry of the log
// can hold is rejected before it is applied.
func (d *Driver) apply(c workload.Command, then func()) error {
	size, err := workload.CommandSize(&c)
	if err != nil {
		return err
	}
	if len(d.batch) == 0 || d.batchCut {
		d.batchAt, d.batchCut = nowMillis(), false
	}
	if err := d.state.ApplyOne(&c, d.batchAt); err != nil {
		return err
	}
	d.batch = append(d.batch, c)
	d.pending = append(d.pending, pendingCommand{at: d.batchAt, size: size, then: then})
	d.needsPlan = true
	d.logProven()
	d.giveUpTasks()
	return nil
}

// flush proposes the batch, or as much of it as one entry holds, unless a proposal is already
// in flight. The rest keeps its time, with which it has been applied, and follows.
func (d *Driver) flush() {
	if d.committing || len(d.batch) == 0 {
		return
	}
	n := d.entryLength()
	data, err := workload.EncodeBatch(workload.NewBatch(d.pending[0].at, d.batch[:n]))
	if err != nil {
		d.cfg.Logger.Error().Err(err).Msg("failed to encode batch; stopping the driver")
		d.cancel()
		return
	}
	var then []func()
	for _, p := range d.pending[:n] {
		if p.then != nil {
			then = append(then, p.then)
		}
	}
	d.batch, d.pending, d.committing = slices.Clone(d.batch[n:]), slices.Clone(d.pending[n:]), true
	d.batchCut = len(d.batch) > 0
	d.async(func() { d.propose(data, then) })
}

// entryLength returns how many commands of the batch fit one entry of the log, at least one.
func (d *Driver) entryLength() int {
	sum, n := d.pending[0].size, 1
	for n < len(d.pending) && d.pending[n].at == d.pending[0].at && sum+d.pending[n].size <= workload.MaxCommandBytes {
		sum += d.pending[n].size
		n++
	}
	// A move of runs precedes the registration of the incarnation that they move to. Both are
	// in one entry, so that no leader finds runs of an incarnation that is not registered.
	if n > 1 && n < len(d.batch) && d.batch[n-1].MoveRuns != nil {
		n--
	}
	return n
}

// propose commits a batch. A failure stops the driver, because its copy of the state is
// then ahead of the log, and so does a rejected command, because its copy differs.
func (d *Driver) propose(data []byte, then []func()) {
	ctx, cancel := context.WithTimeout(d.ctx, proposeTimeout)
	defer cancel()
	begun := time.Now()
	results, err := d.cfg.Log.Propose(ctx, d.cfg.Term, data)
	if err != nil {
		d.cfg.Logger.Warn().Err(err).Uint64("term", d.cfg.Term).Dur("age", time.Since(begun)).Msg("batch not committed")
		d.cancel()
		return
	}
	rejected := false
	for _, e := range results {
		rejected = !invariant.Check(e == nil, invariant.Consensus, "a replica rejected a command that the leader applied: %v", e) || rejected
	}
	if rejected {
		d.cancel()
		return
	}
	d.cfg.Metrics.CommitSeconds.Observe(time.Since(begun).Seconds())
	d.postReply(func() {
		d.committing = false
		for _, f := range then {
			f()
		}
	})
}

// plan assigns tasks to workers when the state changed or a delayed task became
// due.
func (d *Driver) plan() {
	begun := time.Now()
	now := begun.UnixMilli()
	if d.planAt != 0 && now >= d.planAt {
		d.needsPlan, d.planAt = true, 0
	}
	if !d.needsPlan || d.committing || len(d.batch) > maxBatch {
		return
	}
	d.needsPlan = false
	p := plan.Tasks(&plan.Input{
		State: d.state, Now: now, Condition: func(worker string) plan.Condition { return d.condition(worker, begun) }, Tickets: d.tickets,
		NotBefore: func(t workload.TaskRef) workload.Millis {
			return max(d.notBefore[t], d.state.InDoubtUntil(t, now))
		},
		FailedOn:     func(t workload.TaskRef) string { return d.failedOn[t] },
		RemoteFactor: d.cfg.RemoteFactor,
		Beyond:       d.rates.Beyond,
		Suspicion:    func(t workload.TaskRef) workload.Suspicion { return d.suspicion(t, begun) },
		Trials:       d.trialsOf,
		CrashedAt:    d.crashedOnlyAt,
	})
	d.planAt, d.waiting = p.Wake, p.Waiting
	d.askAdvice(p.Advice)
	for i := range p.Assign {
		d.assign(&p.Assign[i])
	}
	d.logAssigned(p.Assign)
}

// logAssigned writes one log line per step whose tasks were assigned.
func (d *Driver) logAssigned(list []workload.Assign) {
	for from := 0; from < len(list); {
		first := &list[from].Task
		to := from
		workers := []string(nil)
		for ; to < len(list) && stepOf(list[to].Task) == stepOf(*first); to++ {
			if w := list[to].Worker; !slices.Contains(workers, w) {
				workers = append(workers, w)
			}
		}
		d.cfg.Logger.Info().Str("job", first.Job).Int("occurrence", first.Occurrence).Int("step", first.Step).
			Int("tasks", to-from).Strs("workers", workers).Uint64("term", d.cfg.Term).
			Int64("version", d.state.Version()).Msg("tasks assigned")
		from = to
	}
}

func (d *Driver) assign(a *workload.Assign) {
	c := *a
	err := d.apply(workload.Command{Assign: &c}, func() { d.order(&c) })
	if err != nil {
		d.cfg.Logger.Warn().Err(err).Str("task", c.Task.String()).Msg("assignment rejected by the state")
		return
	}
	j, _ := d.state.TaskOf(c.Task)
	delete(d.notBefore, c.Task)
	delete(d.failedOn, c.Task)
	d.assignments++
	if s := d.sessions[c.Worker]; s != nil {
		s.assignedAt = time.Now()
	}
	r := &run{
		ref: c.Task, number: c.Run, worker: c.Worker, incarnation: c.Incarnation, job: j, phase: phaseCommitting,
		trial: j.SuspicionOf(c.Task), serial: d.assignments, checkpoint: d.state.CheckpointOf(c.Task),
	}
	d.runs[c.Task] = r
	if r.trial != workload.Unsuspected {
		delete(d.suspects, c.Task)
		d.trials[c.Task] = r
	}
}

// tick runs the time-driven work: holds, retries, fleet changes and pruning.
func (d *Driver) tick() {
	now := time.Now()
	for _, s := range d.sessions {
		d.checkSession(s, now)
	}
	d.sampleLag(now)
	d.retryRuns(now)
	d.fleet.tick(now)
	if now.Sub(d.lastPrune) >= pruneInterval {
		d.lastPrune = now
		d.prune()
	}
}

// prune removes jobs that finished more than KeepFinished ago, and the records
// kept for tasks of inactive jobs.
func (d *Driver) prune() {
	d.pruneLateStarts(time.Now())
	inactive := func(t workload.TaskRef) bool { return d.state.Active()[t.Job] == nil }
	d.rates.Retain(d.state.Active())
	maps.DeleteFunc(d.notBefore, func(t workload.TaskRef, _ workload.Millis) bool { return inactive(t) })
	maps.DeleteFunc(d.failedOn, func(t workload.TaskRef, _ string) bool { return inactive(t) })
	maps.DeleteFunc(d.suspects, func(t workload.TaskRef, _ time.Time) bool { return inactive(t) })
	maps.DeleteFunc(d.crashedAt, func(t workload.TaskRef, _ []string) bool { return inactive(t) })
	maps.DeleteFunc(d.moves, func(t workload.TaskRef, _ int) bool { return inactive(t) })
	maps.DeleteFunc(d.advice, func(t workload.TaskRef, a *advice) bool {
		maps.DeleteFunc(a.answers, func(worker string, k answer) bool {
			w := d.state.Workers()[worker]
			return w == nil || w.Incarnation != k.incarnation
		})
		return inactive(t)
	})
	maps.DeleteFunc(d.fleet.runTimes, func(queue string, _ *runTimes) bool {
		_, known := d.state.Queue(queue)
		return !known
	})
	var old []string
	limit := nowMillis() - d.cfg.Timing.KeepFinished.Milliseconds()
	for id, j := range d.state.Jobs() {
		if j.State.Finished() && j.Ended < limit && j.Assigned() == 0 {
			old = append(old, id)
		}
	}
	for jobs := range slices.Chunk(old, workload.MaxRemovedJobs) {
		if err := d.apply(workload.Command{RemoveJobs: &workload.RemoveJobs{Jobs: jobs}}, nil); err != nil {
			d.cfg.Logger.Error().Err(err).Msg("failed to remove old jobs")
		}
	}
}

// await posts an event and waits for the result it passes to answer.
func await[T any](ctx context.Context, d *Driver, ev func(answer func(T, error))) (T, error) {
	type outcome struct {
		value T
		err   error
	}
	var zero T
	ch := make(chan outcome, 1)
	if !d.post(func() { ev(func(v T, err error) { ch <- outcome{v, err} }) }) {
		if d.ctx.Err() != nil {
			return zero, ErrStopped
		}
		return zero, ErrBusy
	}
	select {
	case o := <-ch:
		return o.value, o.err
	case <-ctx.Done():
		return zero, ErrOutcomeUnknown
	case <-d.done:
		select {
		case o := <-ch:
			return o.value, o.err
		default:
			return zero, ErrOutcomeUnknown
		}
	}
}

// commit commits a command and waits until it is applied.
func (d *Driver) commit(ctx context.Context, c workload.Command) error {
	_, err := await(ctx, d, func(answer func(struct{}, error)) {
		if err := d.apply(c, func() { answer(struct{}{}, nil) }); err != nil {
			answer(struct{}{}, err)
		}
	})
	return err
}

// PutDocument commits a configuration document. Errors wrap
// workload.ErrInvalidDocument, ErrStopped, ErrBusy or ErrOutcomeUnknown.
func (d *Driver) PutDocument(ctx context.Context, raw []byte) error {
	return d.commit(ctx, workload.Command{PutDocument: &workload.PutDocument{Raw: raw}})
}

// StartWave commits a maintenance wave that must be completed within the given
// time. Errors are those of PutDocument.
func (d *Driver) StartWave(ctx context.Context, w *workload.Wave, within workload.Millis) error {
	c := *w
	c.Deadline = nowMillis() + within
	return d.commit(ctx, workload.Command{StartWave: &c})
}

// Serve handles a request that changes the state: a submission or a cancellation.
func (d *Driver) Serve(ctx context.Context, r *workload.Request) (workload.Response, error) {
	return await(ctx, d, func(answer func(workload.Response, error)) {
		target, refusal := d.state.Resolve(r)
		resp := workload.Response{Answer: workload.AnswerOK, Verb: r.Verb, Version: d.state.Version()}
		switch {
		case refusal != nil:
			answer(*refusal, nil)
			return
		case r.Verb == workload.VerbCancel:
			d.cancelJob(target, resp, answer)
		default:
			d.submitJob(r, target, resp, answer)
		}
	})
}

func (d *Driver) submitJob(r *workload.Request, t workload.Target, resp workload.Response, answer func(workload.Response, error)) {
	if r.Fault != "" {
		resp.Answer, resp.Reason = workload.AnswerMalformed, r.Fault
		answer(resp, nil)
		return
	}
	_, known := d.state.Job(t.Job)
	c := workload.Command{Submit: &workload.Submit{ID: t.Job, Queue: t.Queue.Name, Team: t.Team, Spec: *r.Spec}}
	err := d.apply(c, func() { answer(resp, nil) })
	if err != nil {
		resp.Answer, resp.Reason = workload.AnswerMalformed, err.Error()
		answer(resp, nil)
		return
	}
	beyond := false
	if j, ok := d.state.Job(t.Job); ok && !known {
		d.fleet.recordArrival(j)
		if beyond = d.rates.Add(d.state, j); beyond {
			d.cfg.Metrics.Decisions.WithLabelValues("order", "beyond rate").Inc()
		}
	}
	d.cfg.Logger.Info().Str("job", t.Job).Str("queue", t.Queue.Name).Str("team", t.Team).
		Int64("version", resp.Version).Int("steps", len(r.Spec.Steps)).Bool("beyond_rate", beyond).Msg("job submitted")
}

func (d *Driver) cancelJob(t workload.Target, resp workload.Response, answer func(workload.Response, error)) {
	j, ok := d.state.JobFor(&t)
	if !ok {
		resp.Answer, resp.Reason = workload.AnswerNoJob, "no such job"
		answer(resp, nil)
		return
	}
	before := j.State
	err := d.apply(workload.Command{Cancel: &workload.Cancel{ID: t.Job, Failed: true}}, func() {
		d.stopJob(j, "cancelled")
		answer(resp, nil)
	})
	if err != nil {
		resp.Answer, resp.Reason = workload.AnswerNoJob, err.Error()
		answer(resp, nil)
		return
	}
	d.cfg.Logger.Info().Str("job", t.Job).Stringer("before", before).Int("assigned", j.Assigned()).Msg("job cancelled")
}

// Announce processes a worker's announcement. It returns once the resulting
// change is committed; from then on a draining worker receives no starts.
func (d *Driver) Announce(ctx context.Context, a *platform.Announcement) (platform.Acknowledgement, error) {
	return await(ctx, d, func(answer func(platform.Acknowledgement, error)) {
		d.handleAnnouncement(a, func(err error) {
			answer(platform.Acknowledgement{ReportTo: d.cfg.ReportTo}, err)
		})
	})
}

// Depart processes the departure message of a worker.
func (d *Driver) Depart(ctx context.Context, dep *platform.Departure) error {
	_, err := await(ctx, d, func(answer func(struct{}, error)) {
		w, known := d.state.Workers()[dep.Worker]
		if !known || dep.Incarnation != 0 && dep.Incarnation != w.Incarnation {
			answer(struct{}{}, nil)
			return
		}
		d.departWorker(w, func(err error) { answer(struct{}{}, err) })
	})
	return err
}
