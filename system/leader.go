package system

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"magnoliastand.example/clock"
	"magnoliastand.example/cluster"
	"magnoliastand.example/driver"
	"magnoliastand.example/platform"
	"magnoliastand.example/relay"
	"magnoliastand.example/workload"
)

const (
	// leadershipPollInterval is the interval at which the leadership is checked.
	leadershipPollInterval = 25 * time.Millisecond
	// catchUpTimeout bounds the linearizable read, or the empty batch, by which a new
	// driver makes sure that it has applied all committed entries.
	catchUpTimeout = 2 * time.Second
	// maxRestartDelay bounds the delay before a driver that panicked is replaced. The
	// delay starts with leadershipPollInterval and doubles with each panic until a
	// driver has led for longer than maxRestartDelay.
	maxRestartDelay = time.Second
)

// leader runs a driver while this daemon is the leader, and serves the calls that
// only the leader may serve.
type leader struct {
	member       *cluster.Member[[]error]
	replica      *replica
	driverConfig driver.Config
	relay        *relay.Relay
	log          zerolog.Logger
	// fences is passed from each driver to the next one. It is used by run only.
	fences driver.Fences
	// ledTerm is the term of the last driver. It is used by run only.
	ledTerm uint64

	mu sync.Mutex
	// driver and tenure are those of the term that this daemon leads, or nil.
	driver *driver.Driver
	tenure *tenure
}

// run runs a driver for each term in which this daemon is the leader, until ctx
// ends.
func (l *leader) run(ctx context.Context) {
	delay := leadershipPollInterval
	for ctx.Err() == nil {
		if term, ok := l.member.Lease(); ok {
			start := clock.Now()
			panicked := l.runTerm(ctx, term)
			if clock.Since(start) > maxRestartDelay {
				delay = leadershipPollInterval
			}
			if panicked {
				delay = min(2*delay, maxRestartDelay)
			}
		}
		select {
		case <-time.After(delay):
		case <-ctx.Done():
		}
	}
}

// runTerm runs a driver for one term and reports whether it panicked.
func (l *leader) runTerm(ctx context.Context, term uint64) bool {
	start := clock.Now()
	t := newTenure(l.member, term)
	if err := l.catchUp(ctx, t); err != nil || !t.IsLeader(term) {
		l.log.Warn().Err(err).Uint64("term", term).Msg("leadership not assumed: state not up to date or lease lost")
		return false
	}
	state, err := l.replica.clone()
	if err != nil {
		l.log.Error().Err(err).Msg("failed to copy the committed state")
		return false
	}
	cfg := l.driverConfig
	cfg.Term, cfg.State, cfg.Log, cfg.Fences = term, state, t, &l.fences
	d := driver.New(cfg)
	l.ledTerm = term
	l.setDriver(d, t)
	l.log.Info().Uint64("term", term).Int("jobs", len(state.Jobs())).Int("workers", len(state.Workers())).
		Int64("version", state.Version()).Dur("took", clock.Since(start)).Msg("lead taken")
	driveCtx, stop := context.WithCancel(ctx)
	var background sync.WaitGroup
	background.Go(func() { t.watch(driveCtx, stop) })
	background.Go(func() { l.relay.Run(driveCtx) })
	d.Run(driveCtx)
	stop()
	background.Wait()
	l.setDriver(nil, nil)
	l.log.Info().Uint64("term", term).Dur("led", clock.Since(start)).Msg("leadership ended")
	return d.Panicked()
}

// catchUp makes sure that all entries that will ever be committed before those of the next
// driver are applied. A batch of an earlier driver of the same term may be in the log and
// not committed yet; an empty one behind it is committed later.
func (l *leader) catchUp(ctx context.Context, t *tenure) error {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	if t.term != l.ledTerm {
		return l.member.Node().ReadIndex(ctx)
	}
	data, err := workload.EncodeBatch(workload.NewBatch(0, nil))
	if err != nil {
		return err
	}
	_, err = t.Propose(ctx, t.term, data)
	return err
}

func (l *leader) setDriver(d *driver.Driver, t *tenure) {
	l.mu.Lock()
	l.driver, l.tenure = d, t
	l.mu.Unlock()
}

// currentDriver returns the driver if this daemon holds the leader lease of the
// driver's term.
func (l *leader) currentDriver() (*driver.Driver, error) {
	d, _, err := l.current()
	return d, err
}

// current is currentDriver with the tenure of the driver.
func (l *leader) current() (*driver.Driver, *tenure, error) {
	l.mu.Lock()
	d, t := l.driver, l.tenure
	l.mu.Unlock()
	if d == nil || !t.IsLeader(t.term) {
		return nil, nil, errors.Wrap(platform.ErrUnavailable, "this daemon does not lead")
	}
	return d, t, nil
}

// read calls f with the committed state. It fails unless this daemon holds the
// leader lease before and after the read, which rules out a newer state committed
// by another leader. It costs no message, for reads that every caller repeats.
func (l *leader) read(f func(*workload.State)) error {
	if _, err := l.currentDriver(); err != nil {
		return err
	}
	l.replica.read(f)
	_, err := l.currentDriver()
	return err
}

// readConfirmed calls f with a committed state that is confirmed by a quorum after the call
// began. Unlike read it rests on no clock, for the rare reads of operators.
func (l *leader) readConfirmed(ctx context.Context, f func(*workload.State)) error {
	if _, err := l.currentDriver(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	if err := l.member.Node().ReadIndex(ctx); err != nil {
		return errors.Wrap(platform.ErrUnavailable, err.Error())
	}
	l.replica.read(f)
	return nil
}

// request serves a caller's request.
func (l *leader) request(ctx context.Context, r *workload.Request) (workload.Response, error) {
	d, err := l.currentDriver()
	if err != nil {
		return workload.Response{}, err
	}
	if r.Verb == workload.VerbSubmit || r.Verb == workload.VerbCancel {
		return d.Serve(ctx, r)
	}
	var resp workload.Response
	err = l.read(func(s *workload.State) { resp = readJob(s, r) })
	return resp, err
}

// readJob returns the state of a job or the pending jobs of a queue.
func readJob(s *workload.State, r *workload.Request) workload.Response {
	target, refusal := s.Resolve(r)
	if refusal != nil {
		return *refusal
	}
	resp := workload.Response{Answer: workload.AnswerOK, Verb: r.Verb, Version: s.Version()}
	if r.Verb == workload.VerbPending {
		resp.Pending = s.Pending(target.Queue.Name)
		return resp
	}
	j, ok := s.JobFor(&target)
	if !ok {
		resp.Answer, resp.Reason = workload.AnswerNoJob, "no such job"
		return resp
	}
	resp.State = j.State
	return resp
}

func (l *leader) announce(ctx context.Context, a *platform.Announcement) (platform.Acknowledgement, error) {
	d, err := l.currentDriver()
	if err != nil {
		return platform.Acknowledgement{}, err
	}
	return d.Announce(ctx, a)
}

func (l *leader) depart(ctx context.Context, dep *platform.Departure) (emptyMessage, error) {
	d, err := l.currentDriver()
	if err != nil {
		return emptyMessage{}, err
	}
	return emptyMessage{}, d.Depart(ctx, dep)
}

func (l *leader) putDocument(ctx context.Context, m *documentMessage) (emptyMessage, error) {
	d, err := l.currentDriver()
	if err != nil {
		return emptyMessage{}, err
	}
	if err := d.PutDocument(ctx, m.Raw); err != nil {
		return emptyMessage{}, err
	}
	var version int64
	l.replica.read(func(s *workload.State) { version = s.Version() })
	l.evidence(l.log.Info()).Int64("version", version).Msg("document committed")
	return emptyMessage{}, nil
}

func (l *leader) document(ctx context.Context, _ *emptyMessage) (documentMessage, error) {
	var m documentMessage
	var version int64
	err := l.readConfirmed(ctx, func(s *workload.State) { m.Raw, version = s.Raw(), s.Version() })
	if err == nil && len(m.Raw) == 0 {
		err = errors.Wrap(platform.ErrUnavailable, "no document yet")
	}
	l.evidence(l.log.Info()).Err(err).Int64("version", version).Msg("document read")
	return m, err
}

// evidence adds to a log line why this daemon believes that it leads: its term, the age of
// the quorum's last confirmation, and how long the machine has been suspended since the start.
func (l *leader) evidence(e *zerolog.Event) *zerolog.Event {
	started := l.member.Node()
	if started == nil {
		return e
	}
	s := started.Status()
	return e.Uint64("term", s.Term).Stringer("log_role", s.Role).Dur("quorum_age", s.QuorumAge).Dur("suspended", clock.Suspended())
}

func (l *leader) startWave(ctx context.Context, m *waveMessage) (emptyMessage, error) {
	d, err := l.currentDriver()
	if err != nil {
		return emptyMessage{}, err
	}
	return emptyMessage{}, d.StartWave(ctx, &m.Wave, m.Within)
}

func (l *leader) waveStatus(ctx context.Context, q *waveQuery) (waveReply, error) {
	var reply waveReply
	known := false
	err := l.readConfirmed(ctx, func(s *workload.State) {
		w, ok := s.Waves()[q.Wave]
		known, reply.Completed = ok, ok && w.Completed()
	})
	if err == nil && !known {
		err = errors.Wrap(workload.ErrNoJob, "no such wave")
	}
	return reply, err
}
