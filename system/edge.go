package system

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"magnoliastand.example/cluster"
	"magnoliastand.example/driver"
	"magnoliastand.example/peerlink"
	"magnoliastand.example/platform"
	"magnoliastand.example/workload"
)

const (
	// searchShare is the part of a caller's patience that may pass without a
	// leader before the request is refused.
	searchShare = 4
	// answerShare is the part of a caller's patience, in tenths, after which an
	// unanswered request gets its final answer.
	answerShare = 8
	// attemptTimeout bounds one call to the leader.
	attemptTimeout = time.Second
	// drainTime is how long a stopping daemon takes new connections: the balancer
	// takes two checks, a second apart, to notice.
	drainTime = 2500 * time.Millisecond
	// graceMargin is kept before the process would be killed.
	graceMargin = time.Second
	// defaultRetryAfter is used when the settings name no time: a leader that is
	// lost is replaced in about a second.
	defaultRetryAfter = time.Second
)

// edge is a daemon without a disk.
type edge struct {
	set      Settings
	log      zerolog.Logger
	link     *peerlink.Node
	finder   *cluster.Finder
	answers  *prometheus.CounterVec
	duration *prometheus.HistogramVec
	stopping chan struct{}
}

// RunEdge serves as an edge daemon until ctx ends.
func RunEdge(ctx context.Context, set Settings, log zerolog.Logger, reload <-chan Settings) error {
	link, err := newLink(&set, log)
	if err != nil {
		return err
	}
	defer link.Close()
	registry := prometheus.NewRegistry()
	e := &edge{
		set: set, log: log, link: link, finder: cluster.NewFinder(link, set.seedPeers(), log),
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "magnoliastand_requests_total", Help: "Answered requests of callers."}, []string{"verb", "answer"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "magnoliastand_request_seconds", Help: "Time to the answer.",
			Buckets: prometheus.ExponentialBuckets(0.002, 2, 12)}, []string{"verb"}),
		stopping: make(chan struct{}),
	}
	registry.MustRegister(e.answers, e.duration)
	return e.serve(ctx, registry, reload)
}

func (e *edge) serve(ctx context.Context, registry *prometheus.Registry, reload <-chan Settings) error {
	s := newServers(e.log)
	callers := s.add("callers", e.set.CallersListen, platform.NewIngress(e))
	s.add("ready", e.set.ReadyListen, platform.NewReady(e))
	s.addMetrics(&e.set, registry)
	if err := s.start(); err != nil {
		return err
	}
	findCtx, stopFinder := context.WithCancel(context.WithoutCancel(ctx))
	defer stopFinder()
	go e.finder.Run(findCtx)
	e.log.Info().Str("role", "edge").Str("zone", e.set.Zone).Str("callers", e.set.CallersListen).
		Strs("seeds", e.set.Seeds).Msg("started")
	for ctx.Err() == nil {
		select {
		case set := <-reload:
			e.finder.AddSeeds(set.seedPeers())
		case <-ctx.Done():
		}
	}
	e.log.Info().Msg("stopping")
	close(e.stopping)
	callers.SetKeepAlivesEnabled(false)
	drain, rest := drainTimes(seconds(e.set.GraceS))
	time.Sleep(drain)
	s.stop(rest)
	e.log.Info().Msg("stopped")
	return nil
}

// drainTimes splits the grace time: how long new connections are still taken, and
// how long the requests under way may take after that.
func drainTimes(grace time.Duration) (drain, rest time.Duration) {
	drain = min(drainTime, grace/2)
	return drain, max(grace-drain-graceMargin, 0)
}

// Ready implements platform.Frontend.
func (e *edge) Ready() bool {
	select {
	case <-e.stopping:
		return false
	default:
		return e.finder.Fresh()
	}
}

// RetryAfter implements platform.Frontend.
func (e *edge) RetryAfter() time.Duration {
	if e.set.RetryAfterSeconds > 0 {
		return time.Duration(e.set.RetryAfterSeconds) * time.Second
	}
	return defaultRetryAfter
}

// Serve implements platform.Frontend. All verbs are idempotent by the id of the
// job, so a call without an answer is made again.
func (e *edge) Serve(ctx context.Context, r *workload.Request, patience time.Duration) workload.Response {
	begun := time.Now()
	resp, leader, attempts := e.ask(ctx, r, patience)
	took := time.Since(begun)
	e.answers.WithLabelValues(r.Verb.String(), resp.Answer.String()).Inc()
	e.duration.WithLabelValues(r.Verb.String()).Observe(took.Seconds())
	if r.Verb != workload.VerbState || resp.Answer != workload.AnswerOK {
		e.log.Info().Str("host", r.Host).Str("path", r.Path).Stringer("verb", r.Verb).Stringer("answer", resp.Answer).
			Str("reason", resp.Reason).Int64("version", resp.Version).Str("leader", leader).Int("attempts", attempts).
			Dur("took", took).Msg("request answered")
	}
	return resp
}

// ask calls the leader until it answers or the time is over.
func (e *edge) ask(ctx context.Context, r *workload.Request, patience time.Duration) (workload.Response, string, int) {
	begun := time.Now()
	ctx, cancel := context.WithDeadline(ctx, begun.Add(patience/10*answerShare))
	defer cancel()
	search := begun.Add(patience / searchShare)
	sent := false
	attempts := 0
	for {
		leader, changed := e.finder.Leader()
		var err error
		if leader != "" {
			attempts++
			var resp workload.Response
			if resp, err = e.attempt(ctx, leader, r); err == nil {
				return resp, leader, attempts
			}
			sent = sent || mayHaveRun(err)
		}
		if ctx.Err() != nil || !sent && time.Now().After(search) {
			return e.giveUp(sent, err), leader, attempts
		}
		pause(ctx, changed)
	}
}

// giveUp returns the final answer to a request that no leader answered.
func (e *edge) giveUp(sent bool, err error) workload.Response {
	reason := "no leader is known"
	if err != nil {
		reason = err.Error()
	}
	if sent {
		return workload.Response{Answer: workload.AnswerUnknown, Reason: reason}
	}
	return workload.Response{Answer: workload.AnswerNotRun, Reason: reason}
}

// pause waits until the leader changes, and a short time at most.
func pause(ctx context.Context, changed <-chan struct{}) {
	const retryInterval = 30 * time.Millisecond // a few round trips between zones
	select {
	case <-changed:
	case <-time.After(retryInterval):
	case <-ctx.Done():
	}
}

func (e *edge) attempt(ctx context.Context, leader string, r *workload.Request) (workload.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	var resp workload.Response
	err := e.link.Call(ctx, leader, methodRequest, r, &resp)
	return resp, err
}

// mayHaveRun reports whether a failed call may have changed something. The
// leader says so itself when it did not take the request on.
func mayHaveRun(err error) bool {
	var remote *peerlink.RemoteError
	if errors.As(err, &remote) {
		return remote.Code == codeUnknown
	}
	notSent := errors.Is(err, peerlink.ErrUnreachable) || errors.Is(err, peerlink.ErrBusy) || errors.Is(err, driver.ErrStopped)
	return !notSent
}
