package driver

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"magnoliastand.example/invariant"
	"magnoliastand.example/platform"
	"magnoliastand.example/workload"
	"magnoliastand.example/workload/plan"
)

const (
	// inboxSize bounds the events that wait: one second of the expected peak of
	// 1,000 starts with their answers and ends.
	inboxSize = 8192
	// tickInterval is the resolution of retries and timeouts.
	tickInterval = 50 * time.Millisecond
	// proposeTimeout bounds a proposal; a leader that can't commit for so long
	// has lost its quorum.
	proposeTimeout = 3 * time.Second
	// maxBatch bounds the commands of a batch, about 100 bytes each.
	maxBatch = 2000
	// pruneInterval is the time between two removals of old jobs.
	pruneInterval = 5 * time.Second
)

// event is carried out by the goroutine that owns the driver.
type event func()

// Driver leads one term.
type Driver struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	inbox  chan event
	done   chan struct{}
	wg     sync.WaitGroup

	// The rest belongs to the loop.
	state      *workload.State
	batch      []workload.Command
	onCommit   []func()
	committing bool
	dirty      bool
	wake       workload.Millis
	started    time.Time
	sessions   map[string]*session
	runs       map[workload.TaskRef]*run
	notBefore  map[workload.TaskRef]workload.Millis
	failedOn   map[workload.TaskRef]string
	// moves counts how often a task was moved for its progress.
	moves     map[workload.TaskRef]int
	advice    map[workload.TaskRef]*advice
	fleet     *fleet
	lastPrune time.Time
	waiting   map[string]workload.Size
}

// New returns a driver of a term. The state is the caller's copy of the
// committed state and belongs to the driver from then on.
func New(cfg Config) *Driver {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Driver{
		cfg: cfg, ctx: ctx, cancel: cancel, state: cfg.State,
		inbox: make(chan event, inboxSize), done: make(chan struct{}), started: time.Now(),
		sessions: map[string]*session{}, runs: map[workload.TaskRef]*run{},
		notBefore: map[workload.TaskRef]workload.Millis{}, advice: map[workload.TaskRef]*advice{},
		failedOn: map[workload.TaskRef]string{}, moves: map[workload.TaskRef]int{},
		dirty: true, lastPrune: time.Now(),
	}
	d.fleet = newFleet(d)
	for id, w := range d.state.Workers() {
		d.sessions[id] = d.newSession(w)
		for ref, j := range d.state.Runs(id) {
			d.inherit(ref, j)
		}
	}
	return d
}

// Run serves until ctx ends, the lead is lost or the log fails.
func (d *Driver) Run(ctx context.Context) {
	defer close(d.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer func() {
		d.cancel()
		d.wg.Wait()
	}()
	for d.ctx.Err() == nil {
		select {
		case ev := <-d.inbox:
			ev()
			d.drain()
		case <-ticker.C:
			d.tick()
		case <-ctx.Done():
			return
		case <-d.ctx.Done():
			return
		}
		d.plan()
		d.flush()
	}
}

// Done is closed once the driver has stopped.
func (d *Driver) Done() <-chan struct{} { return d.done }

// post hands an event to the loop and reports whether it was taken.
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

// reply hands an event of our own calls to the loop; it waits for room.
func (d *Driver) reply(ev event) {
	select {
	case d.inbox <- ev:
	case <-d.ctx.Done():
	}
}

// async runs f outside the loop.
func (d *Driver) async(f func()) { d.wg.Go(f) }

// call makes one call to a worker.
func (d *Driver) call(timeout time.Duration, f func(ctx context.Context) error) error {
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

// do applies a command to the leader's copy and adds it to the batch. After the
// commit it calls then, which may be nil.
func (d *Driver) do(c workload.Command, then func()) error {
	if err := d.state.ApplyOne(&c, nowMillis()); err != nil {
		return err
	}
	d.batch = append(d.batch, c)
	if then != nil {
		d.onCommit = append(d.onCommit, then)
	}
	d.dirty = true
	return nil
}

// flush proposes the batch unless one is under way.
func (d *Driver) flush() {
	if d.committing || len(d.batch) == 0 {
		return
	}
	b := &workload.Batch{Now: nowMillis(), Commands: d.batch}
	data, err := workload.EncodeBatch(b)
	if err != nil {
		d.cfg.Logger.Error().Err(err).Msg("batch not encoded; giving up the lead's state")
		d.cancel()
		return
	}
	then := d.onCommit
	d.batch, d.onCommit, d.committing = nil, nil, true
	d.async(func() { d.propose(data, then) })
}

// propose commits a batch. A failure ends the driver, whose copy of the state
// is ahead of the log then.
func (d *Driver) propose(data []byte, then []func()) {
	ctx, cancel := context.WithTimeout(d.ctx, proposeTimeout)
	defer cancel()
	begun := time.Now()
	results, err := d.cfg.Log.Propose(ctx, data)
	if err != nil {
		d.cfg.Logger.Warn().Err(err).Uint64("term", d.cfg.Term).Dur("age", time.Since(begun)).Msg("batch not committed")
		d.cancel()
		return
	}
	for _, e := range results {
		invariant.Check(e == nil, invariant.Consensus, "a replica refused what the leader applied: %v", e)
	}
	d.cfg.Metrics.CommitSeconds.Observe(time.Since(begun).Seconds())
	d.reply(func() {
		d.committing = false
		for _, f := range then {
			f()
		}
	})
}

// plan plans starts when something changed or a task has become due.
func (d *Driver) plan() {
	begun := time.Now()
	now := begun.UnixMilli()
	if d.wake != 0 && now >= d.wake {
		d.dirty, d.wake = true, 0
	}
	if !d.dirty || d.committing || len(d.batch) > maxBatch {
		return
	}
	d.dirty = false
	p := plan.Tasks(&plan.Input{
		State: d.state, Now: now, Condition: func(worker string) plan.Condition { return d.condition(worker, begun) }, Tickets: d.tickets,
		NotBefore: func(t workload.TaskRef) workload.Millis { return d.notBefore[t] },
		FailedOn:  func(t workload.TaskRef) string { return d.failedOn[t] },
	})
	d.wake, d.waiting = p.Wake, p.Waiting
	for _, step := range p.Advice {
		d.askAdvice(step)
	}
	for i := range p.Assign {
		d.assign(&p.Assign[i])
	}
	d.logAssigned(p.Assign)
}

// logAssigned writes one line for the tasks of each step that were assigned.
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
	err := d.do(workload.Command{Assign: &c}, func() { d.order(&c) })
	if err != nil {
		d.cfg.Logger.Warn().Err(err).Str("task", c.Task.String()).Msg("assignment refused by the state")
		return
	}
	j, _ := d.state.TaskOf(c.Task)
	delete(d.notBefore, c.Task)
	delete(d.failedOn, c.Task)
	d.runs[c.Task] = &run{
		ref: c.Task, number: c.Run, worker: c.Worker, incarnation: c.Incarnation, job: j, phase: phaseCommitting,
	}
}

// tick carries out what is due by time.
func (d *Driver) tick() {
	now := time.Now()
	for _, s := range d.sessions {
		d.checkSession(s, now)
	}
	d.retryRuns(now)
	d.fleet.tick(now)
	if now.Sub(d.lastPrune) >= pruneInterval {
		d.lastPrune = now
		d.prune()
	}
}

// prune forgets jobs that finished long ago, and what was noted of their tasks.
func (d *Driver) prune() {
	inactive := func(t workload.TaskRef) bool { return d.state.Active()[t.Job] == nil }
	maps.DeleteFunc(d.notBefore, func(t workload.TaskRef, _ workload.Millis) bool { return inactive(t) })
	maps.DeleteFunc(d.failedOn, func(t workload.TaskRef, _ string) bool { return inactive(t) })
	maps.DeleteFunc(d.moves, func(t workload.TaskRef, _ int) bool { return inactive(t) })
	maps.DeleteFunc(d.advice, func(t workload.TaskRef, _ *advice) bool { return inactive(t) })
	var old []string
	limit := nowMillis() - d.cfg.Timing.KeepFinished.Milliseconds()
	for id, j := range d.state.Jobs() {
		if j.State.Finished() && j.Ended < limit && j.Assigned() == 0 {
			old = append(old, id)
		}
	}
	if len(old) == 0 {
		return
	}
	if err := d.do(workload.Command{Forget: &workload.Forget{Jobs: old}}, nil); err != nil {
		d.cfg.Logger.Error().Err(err).Msg("old jobs not removed")
	}
}

// await posts an event that answers on a channel and waits for the answer.
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

// change commits a command and waits for it.
func (d *Driver) change(ctx context.Context, c workload.Command) error {
	_, err := await(ctx, d, func(answer func(struct{}, error)) {
		if err := d.do(c, func() { answer(struct{}{}, nil) }); err != nil {
			answer(struct{}{}, err)
		}
	})
	return err
}

// PutDocument commits a document. Errors wrap workload.ErrInvalidDocument,
// ErrStopped, ErrBusy or ErrOutcomeUnknown.
func (d *Driver) PutDocument(ctx context.Context, raw []byte) error {
	return d.change(ctx, workload.Command{PutDocument: &workload.PutDocument{Raw: raw}})
}

// StartWave commits a wave; see PutDocument.
func (d *Driver) StartWave(ctx context.Context, w *workload.Wave, within workload.Millis) error {
	c := *w
	c.Deadline = nowMillis() + within
	return d.change(ctx, workload.Command{StartWave: &c})
}

// Serve carries out a request that changes something: a submission or a cancel.
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
	c := workload.Command{Submit: &workload.Submit{ID: t.Job, Queue: t.Queue.Name, Team: t.Team, Spec: *r.Spec}}
	err := d.do(c, func() { answer(resp, nil) })
	if err != nil {
		resp.Answer, resp.Reason = workload.AnswerMalformed, err.Error()
		answer(resp, nil)
		return
	}
	d.cfg.Logger.Info().Str("job", t.Job).Str("queue", t.Queue.Name).Str("team", t.Team).
		Int64("version", resp.Version).Int("steps", len(r.Spec.Steps)).Msg("job submitted")
}

func (d *Driver) cancelJob(t workload.Target, resp workload.Response, answer func(workload.Response, error)) {
	j, ok := d.state.Job(t.Job)
	if !ok {
		resp.Answer, resp.Reason = workload.AnswerNoJob, "no such job"
		answer(resp, nil)
		return
	}
	before := j.State
	err := d.do(workload.Command{Cancel: &workload.Cancel{ID: t.Job}}, func() {
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

// Announce takes the announcement of a worker. It returns once the leader's
// knowledge of the worker is committed; a draining worker gets no start after that.
func (d *Driver) Announce(ctx context.Context, a *platform.Announcement) (platform.Acknowledgement, error) {
	return await(ctx, d, func(answer func(platform.Acknowledgement, error)) {
		d.announced(a, func(err error) {
			answer(platform.Acknowledgement{ReportTo: d.cfg.ReportTo}, err)
		})
	})
}

// Depart takes the last word of a worker.
func (d *Driver) Depart(ctx context.Context, dep *platform.Departure) error {
	_, err := await(ctx, d, func(answer func(struct{}, error)) {
		w, known := d.state.Workers()[dep.Worker]
		if !known || dep.Incarnation != 0 && dep.Incarnation != w.Incarnation {
			answer(struct{}{}, nil)
			return
		}
		d.lose(dep.Worker, w.Incarnation, "departed", func() { answer(struct{}{}, nil) })
	})
	return err
}
