package system

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"magnoliastand.example/cluster"
	"magnoliastand.example/driver"
	"magnoliastand.example/platform"
	"magnoliastand.example/relay"
	"magnoliastand.example/workload"
)

const (
	// leadPoll is the time between two looks at the lead.
	leadPoll = 25 * time.Millisecond
	// catchUpTimeout bounds the read by which a new leader learns the newest state.
	catchUpTimeout = 2 * time.Second
)

// leader runs a driver while this daemon leads, and answers reads.
type leader struct {
	member  *cluster.Member[[]error]
	replica *replica
	base    driver.Config
	relay   *relay.Relay
	log     zerolog.Logger

	mu     sync.Mutex
	driver *driver.Driver
	term   uint64
}

// Propose implements driver.Log.
func (l *leader) Propose(ctx context.Context, data []byte) ([]error, error) {
	return l.member.Node().Propose(ctx, data)
}

// Leads implements driver.Log.
func (l *leader) Leads(term uint64) bool {
	held, ok := l.member.Lease()
	return ok && held == term
}

// run starts a driver for each term that this daemon leads.
func (l *leader) run(ctx context.Context) {
	for ctx.Err() == nil {
		if term, ok := l.member.Lease(); ok {
			l.lead(ctx, term)
		}
		select {
		case <-time.After(leadPoll):
		case <-ctx.Done():
		}
	}
}

// lead drives one term.
func (l *leader) lead(ctx context.Context, term uint64) {
	begun := time.Now()
	readCtx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	err := l.member.Node().ReadIndex(readCtx)
	cancel()
	if err != nil || !l.Leads(term) {
		l.log.Warn().Err(err).Uint64("term", term).Msg("lead not taken")
		return
	}
	state, err := l.replica.clone()
	if err != nil {
		l.log.Error().Err(err).Msg("state not copied")
		return
	}
	cfg := l.base
	cfg.Term, cfg.State, cfg.Log = term, state, l
	d := driver.New(cfg)
	l.set(d, term)
	l.log.Info().Uint64("term", term).Int("jobs", len(state.Jobs())).Int("workers", len(state.Workers())).
		Int64("version", state.Version()).Dur("took", time.Since(begun)).Msg("lead taken")
	driveCtx, stop := context.WithCancel(ctx)
	var beside sync.WaitGroup
	beside.Go(func() { l.watch(driveCtx, stop, term) })
	beside.Go(func() { l.relay.Run(driveCtx) })
	d.Run(driveCtx)
	stop()
	beside.Wait()
	l.set(nil, 0)
	l.log.Info().Uint64("term", term).Dur("led", time.Since(begun)).Msg("lead ended")
}

// watch stops the driver once this daemon leads another term or none.
func (l *leader) watch(ctx context.Context, stop func(), term uint64) {
	for ctx.Err() == nil {
		s := l.member.Node().Status()
		if s.Term != term || !l.member.Leads() {
			stop()
			return
		}
		select {
		case <-time.After(leadPoll):
		case <-ctx.Done():
		}
	}
}

func (l *leader) set(d *driver.Driver, term uint64) {
	l.mu.Lock()
	l.driver, l.term = d, term
	l.mu.Unlock()
}

// current returns the driver while this daemon surely leads its term.
func (l *leader) current() (*driver.Driver, error) {
	l.mu.Lock()
	d, term := l.driver, l.term
	l.mu.Unlock()
	if d == nil || !l.Leads(term) {
		return nil, errors.Wrap(platform.ErrUnavailable, "this daemon does not lead")
	}
	return d, nil
}

// read calls f with the committed state while this daemon surely leads, so that
// no newer state is committed anywhere.
func (l *leader) read(f func(*workload.State)) error {
	if _, err := l.current(); err != nil {
		return err
	}
	l.replica.read(f)
	_, err := l.current()
	return err
}

// request serves a request of a caller.
func (l *leader) request(ctx context.Context, r *workload.Request) (workload.Response, error) {
	d, err := l.current()
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

// readJob answers a read of a job or of a queue.
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
	j, ok := s.Job(target.Job)
	if !ok {
		resp.Answer, resp.Reason = workload.AnswerNoJob, "no such job"
		return resp
	}
	resp.State = j.State
	return resp
}

func (l *leader) announce(ctx context.Context, a *platform.Announcement) (platform.Acknowledgement, error) {
	d, err := l.current()
	if err != nil {
		return platform.Acknowledgement{}, err
	}
	return d.Announce(ctx, a)
}

func (l *leader) depart(ctx context.Context, dep *platform.Departure) (empty, error) {
	d, err := l.current()
	if err != nil {
		return empty{}, err
	}
	return empty{}, d.Depart(ctx, dep)
}

func (l *leader) put(ctx context.Context, m *documentMessage) (empty, error) {
	d, err := l.current()
	if err != nil {
		return empty{}, err
	}
	return empty{}, d.PutDocument(ctx, m.Raw)
}

func (l *leader) document(context.Context, *empty) (documentMessage, error) {
	var m documentMessage
	err := l.read(func(s *workload.State) { m.Raw = s.Raw() })
	if err == nil && len(m.Raw) == 0 {
		err = errors.Wrap(platform.ErrUnavailable, "no document yet")
	}
	return m, err
}

func (l *leader) startWave(ctx context.Context, m *waveMessage) (empty, error) {
	d, err := l.current()
	if err != nil {
		return empty{}, err
	}
	return empty{}, d.StartWave(ctx, &m.Wave, m.Within)
}

func (l *leader) wave(_ context.Context, q *waveQuery) (waveReply, error) {
	var reply waveReply
	known := false
	err := l.read(func(s *workload.State) {
		w, ok := s.Waves()[q.Wave]
		known, reply.Completed = ok, ok && w.Completed()
	})
	if err == nil && !known {
		err = errors.Wrap(workload.ErrNoJob, "no such wave")
	}
	return reply, err
}
