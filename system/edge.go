package system

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"magnoliastand.example/clock"
	"magnoliastand.example/cluster"
	"magnoliastand.example/driver"
	"magnoliastand.example/peerlink"
	"magnoliastand.example/platform"
	"magnoliastand.example/workload"
)

const (
	// leaderWaitDivisor divides a request's timeout. A request that no leader can
	// have executed by the end of the quotient is refused.
	leaderWaitDivisor = 4
	// deadlineTenths is the part of a request's timeout, in tenths, after which an
	// unanswered request gets its final answer.
	deadlineTenths = 8
	// attemptTimeout bounds each call to the leader.
	attemptTimeout = time.Second
	// maxDrainDuration is the maximum time for which a daemon that is shutting down
	// accepts new connections: the load balancer needs two failed readiness
	// checks, one second apart, to stop sending them.
	maxDrainDuration = 2500 * time.Millisecond
	// shutdownMargin is the part of the grace period that is left unused, so that the
	// process exits before it is killed.
	shutdownMargin = time.Second
	// defaultRetryAfter is used if retry_after_s is not set: a failed leader is
	// replaced within about one second.
	defaultRetryAfter = time.Second
)

// edge is a daemon without persistent storage.
type edge struct {
	settings Settings
	log      zerolog.Logger
	link     *peerlink.Node
	finder   *cluster.Finder
	requests *prometheus.CounterVec
	duration *prometheus.HistogramVec
	outage   outage
	stopping chan struct{}
}

// RunEdge runs an edge daemon until ctx ends. Seeds in the settings received on
// reload are added; their other fields take effect at the next start only.
func RunEdge(ctx context.Context, settings Settings, registry *prometheus.Registry, log zerolog.Logger, reload <-chan Settings) error {
	link, err := newPeerNode(&settings, registry, log)
	if err != nil {
		return err
	}
	defer link.Close()
	e := &edge{
		settings: settings, log: log, link: link, finder: cluster.NewFinder(link, settings.seedPeerAddresses(), log),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "magnoliastand_requests_total", Help: "Answered requests of callers."}, []string{"verb", "answer"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "magnoliastand_request_seconds", Help: "Time to the answer.",
			Buckets: prometheus.ExponentialBuckets(0.002, 2, 12)}, []string{"verb"}),
		stopping: make(chan struct{}),
	}
	registry.MustRegister(e.requests, e.duration)
	e.outage.register(registry)
	return e.serve(ctx, registry, reload)
}

func (e *edge) serve(ctx context.Context, registry *prometheus.Registry, reload <-chan Settings) error {
	s := newServers(e.log, registry)
	callers := s.add("callers", e.settings.CallersListen, platform.NewIngress(e))
	s.add("ready", e.settings.ReadyListen, platform.NewReady(e))
	s.addMetrics(&e.settings, registry)
	if err := s.start(); err != nil {
		return err
	}
	findCtx, stopFinder := context.WithCancel(context.WithoutCancel(ctx))
	defer stopFinder()
	go e.finder.Run(findCtx)
	e.log.Info().Str("role", "edge").Str("zone", e.settings.Zone).Str("callers", e.settings.CallersListen).
		Strs("seeds", e.settings.Seeds).Msg("started")
	for ctx.Err() == nil {
		select {
		case settings := <-reload:
			e.finder.AddSeeds(settings.seedPeerAddresses())
		case <-ctx.Done():
		}
	}
	e.log.Info().Msg("stopping")
	close(e.stopping)
	callers.SetKeepAlivesEnabled(false)
	drain, rest := splitGracePeriod(seconds(e.settings.GraceS))
	time.Sleep(drain)
	s.stop(rest)
	e.log.Info().Msg("stopped")
	return nil
}

// splitGracePeriod splits the grace period into the time for which new connections
// are still accepted and the time left after it for requests in progress.
func splitGracePeriod(grace time.Duration) (drain, rest time.Duration) {
	drain = min(maxDrainDuration, grace/2)
	return drain, max(grace-drain-shutdownMargin, 0)
}

// Ready implements platform.Frontend.
func (e *edge) Ready() bool {
	select {
	case <-e.stopping:
		return false
	default:
		return e.finder.HasLeader()
	}
}

// RetryAfter implements platform.Frontend.
func (e *edge) RetryAfter() time.Duration {
	minimum := defaultRetryAfter
	if e.settings.RetryAfterSeconds > 0 {
		minimum = time.Duration(e.settings.RetryAfterSeconds) * time.Second
	}
	return e.outage.retryAfter(minimum)
}

// Serve implements platform.Frontend. All verbs are idempotent by job ID, so a
// call without an answer is retried.
func (e *edge) Serve(ctx context.Context, r *workload.Request, timeout time.Duration) workload.Response {
	start := clock.Now()
	resp, leader, attempts := e.callLeader(ctx, r, timeout)
	elapsed := clock.Since(start)
	e.requests.WithLabelValues(r.Verb.String(), resp.Answer.String()).Inc()
	e.duration.WithLabelValues(r.Verb.String()).Observe(elapsed.Seconds())
	if r.Verb != workload.VerbState || resp.Answer != workload.AnswerOK {
		event := e.log.Info()
		if resp.Answer == workload.AnswerNotRun || resp.Answer == workload.AnswerUnknown {
			event = e.log.Warn()
		}
		event.Str("host", r.Host).Str("path", r.Path).Stringer("verb", r.Verb).Stringer("answer", resp.Answer).
			Str("reason", resp.Reason).Int64("version", resp.Version).Str("leader", leader).Int("attempts", attempts).
			Dur("took", elapsed).Msg("request answered")
	}
	return resp
}

// retryInterval is the time between attempts after a failed one: a few round trips between
// zones.
const retryInterval = 30 * time.Millisecond

// call is a request in progress on an edge.
type call struct {
	request  *workload.Request
	start    time.Time
	timeout  time.Duration
	attempts int
	// failedAt is the time of the last failed attempt, and err its error.
	failedAt time.Time
	err      error
	// outcomeUnknown is whether an attempt may have run.
	outcomeUnknown bool
	held           bool
}

// callLeader calls the leader until it answers or no leader can in time. It also
// returns the leader that was known last and the number of attempts.
func (e *edge) callLeader(ctx context.Context, r *workload.Request, timeout time.Duration) (workload.Response, string, int) {
	c := &call{request: r, start: clock.Now(), timeout: timeout}
	ctx, cancel := clock.WithDeadline(ctx, c.start.Add(timeout/10*deadlineTenths))
	defer cancel()
	for {
		leader, changed := e.finder.Leader()
		state := e.stateOf(c, leader)
		next, wait := decide(&state)
		if ctx.Err() != nil && (c.attempts > 0 || c.held) {
			next = actionGiveUp // or reject; the call knows its outcome
		}
		switch next {
		case actionSend:
			resp, err := e.send(ctx, c, leader, changed, wait)
			if err == nil {
				return e.answered(c, resp), leader, c.attempts
			}
			e.attemptFailed(ctx, c, leader, changed, err)
		case actionHold:
			e.hold(ctx, c, leader, changed, &state, wait)
		default:
			return e.failedResponse(ctx, c, leader), leader, c.attempts
		}
	}
}

// stateOf returns what the decision on a request rests on.
func (e *edge) stateOf(c *call, leader string) callState {
	now := clock.Now()
	s := callState{
		elapsed: now.Sub(c.start), timeout: c.timeout, leaderKnown: leader != "", outage: e.outage.elapsed(now),
		outcomeUnknown: c.outcomeUnknown,
	}
	if s.leaderKnown {
		s.silence = e.link.Silence(leader)
	}
	if !c.failedAt.IsZero() {
		s.backoff = retryInterval - now.Sub(c.failedAt)
	}
	return s
}

// send makes one attempt, and waits up to connectTimeout for a link to the leader.
func (e *edge) send(ctx context.Context, c *call, leader string, changed <-chan struct{}, connectTimeout time.Duration) (workload.Response, error) {
	c.attempts++
	if !e.link.Connected(leader) {
		e.noteHeld(c)
		if err := e.connect(ctx, leader, changed, connectTimeout); err != nil {
			return workload.Response{}, err
		}
	}
	return e.attempt(ctx, leader, changed, c.request)
}

// connect waits for a link to the leader until another one is known.
func (e *edge) connect(ctx context.Context, leader string, changed <-chan struct{}, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	go func() {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	return e.link.Connect(ctx, leader)
}

// attemptFailed records a failed attempt. The next one follows at once if the leader has
// changed, else after retryInterval.
func (e *edge) attemptFailed(ctx context.Context, c *call, leader string, changed <-chan struct{}, err error) {
	now := clock.Now()
	c.err = err
	c.outcomeUnknown = c.outcomeUnknown || mayHaveRun(err)
	c.failedAt = now
	select {
	case <-changed:
		c.failedAt = time.Time{}
	default:
	}
	if !isCanceledByCaller(ctx) {
		e.outage.failed(now, e.link.Silence(leader), e.finder.HasLeader())
	}
}

// isCanceledByCaller reports whether the context of a request ended before its deadline.
func isCanceledByCaller(ctx context.Context) bool { return errors.Is(ctx.Err(), context.Canceled) }

// noteHeld counts a request that waits for a leader or for a link to it, once.
func (e *edge) noteHeld(c *call) {
	if !c.held {
		c.held = true
		e.outage.held.Add(1)
	}
}

// hold waits until the leader changes or replies, or the wait is over.
func (e *edge) hold(ctx context.Context, c *call, leader string, changed <-chan struct{}, state *callState, wait time.Duration) {
	suspected := state.leaderKnown && state.silence >= suspectAfter
	if suspected || !state.leaderKnown {
		e.outage.failed(clock.Now(), state.silence, e.finder.HasLeader())
		e.noteHeld(c)
	}
	var replied <-chan struct{}
	if suspected {
		e.finder.Suspect()
		replied = e.link.NextReply(leader)
		if e.link.Silence(leader) < suspectAfter {
			return // it replied before NextReply
		}
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
		c.failedAt = time.Time{} // the next leader has refused nothing
	case <-replied:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// answered returns the response to a request that a leader answered.
func (e *edge) answered(c *call, resp workload.Response) workload.Response {
	e.outage.ended()
	if !c.outcomeUnknown {
		return resp
	}
	if !isConclusive(c.request, &resp) {
		e.outage.unknown.Add(1)
		return unknownResponse("an earlier attempt has no outcome; the last one was refused: " + resp.Reason)
	}
	e.outage.resolved.Add(1)
	return resp
}

// failedResponse returns the answer to a request that no leader answered.
func (e *edge) failedResponse(ctx context.Context, c *call, leader string) workload.Response {
	reason := "no leader is known"
	switch {
	case c.err != nil:
		reason = c.err.Error()
	case leader != "":
		reason = "the leader does not respond"
	}
	resp, total := workload.Response{Answer: workload.AnswerNotRun, Reason: reason}, &e.outage.rejected
	if c.outcomeUnknown {
		resp, total = unknownResponse(reason), &e.outage.unknown
	}
	if !isCanceledByCaller(ctx) {
		total.Add(1)
		e.outage.report(clock.Now(), leader, reason, &e.log)
	}
	return resp
}

func unknownResponse(reason string) workload.Response {
	return workload.Response{Answer: workload.AnswerUnknown, Reason: reason}
}

// isConclusive reports whether the answer to an attempt holds for the whole request although
// an earlier attempt may have run. A refusal speaks of its own attempt: keys, queues and jobs
// may have changed since the earlier one.
func isConclusive(r *workload.Request, resp *workload.Response) bool {
	switch {
	case resp.Answer == workload.AnswerOK:
		return true
	case r.Verb == workload.VerbState || r.Verb == workload.VerbPending:
		return true // reads have no effect
	case r.Verb == workload.VerbCancel && resp.Answer == workload.AnswerNoJob:
		return true // there is nothing to cancel, whichever attempt has seen to it
	}
	return r.Fault != "" // no leader runs a body that can't be decoded
}

// attempt calls a leader. It gives up once another leader is known, because the
// former one may be suspended or cut off; its outcome is then unknown.
func (e *edge) attempt(ctx context.Context, leader string, changed <-chan struct{}, r *workload.Request) (workload.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	go func() {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	var resp workload.Response
	err := e.link.Call(ctx, leader, methodRequest, r, &resp)
	return resp, err
}

// mayHaveRun reports whether a failed call may have been executed. If the leader
// replied with an error, any code but codeUnknown means that it was not.
func mayHaveRun(err error) bool {
	var remote *peerlink.RemoteError
	if errors.As(err, &remote) {
		return remote.Code == codeUnknown
	}
	for _, notSent := range []error{
		peerlink.ErrUnreachable, peerlink.ErrBusy, peerlink.ErrUnknownPeer, peerlink.ErrClosed, driver.ErrStopped,
	} {
		if errors.Is(err, notSent) {
			return false
		}
	}
	return true
}
