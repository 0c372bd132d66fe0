package record

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"magnoliastand.example/clock"
)

const (
	// maxCopiedAnswerBytes limits the size of an answer that is copied to peers
	// of the home daemon.
	maxCopiedAnswerBytes = 16 << 10
	// maxReportAttempts limits how often a report is sent to each daemon.
	maxReportAttempts = 3
	// reportRetryInterval is the time between attempts.
	reportRetryInterval = 200 * time.Millisecond
)

// Finish records the outcome of a claim that was permitted. For ResultNotRun
// and ResultWithdrawn it returns once each decider has replied or CallTimeout
// has passed; for other results it returns at once.
func (s *Service) Finish(ctx context.Context, c *Claim, result Result, answer *Answer) {
	if c.Internal || c.token == (Token{}) {
		return
	}
	r := FinishRequest{
		ID: c.ID, Token: c.token, Digest: c.Digest, Result: result, Answer: s.withinSizeLimit(answer),
		Idempotent: c.Idempotent, Lost: c.Lost,
	}
	ctx = context.WithoutCancel(ctx)
	targets := s.finishTargets(r)
	if result == ResultNotRun || result == ResultWithdrawn {
		s.report(ctx, targets, r)
		return
	}
	s.reportAsync(ctx, targets, r)
}

func (s *Service) withinSizeLimit(a *Answer) *Answer {
	if a == nil || a.Size() > s.cfg.Store.MaxAnswerSize {
		return nil
	}
	return a
}

// finishTargets returns the daemons that record the outcome of an id.
func (s *Service) finishTargets(r FinishRequest) []string {
	p, ok := ParseID(r.ID)
	if !ok {
		return union(s.members.acceptors(r.ID, s.cfg.Store.Retention, clock.Now()))
	}
	targets := []string{p.Daemon}
	if r.Answer != nil && r.Answer.Size() <= maxCopiedAnswerBytes {
		targets = append(targets, s.members.copyHolders(r.ID, p.Daemon, copyCount)...)
	}
	return targets
}

// reportAsync sends the report to peers in the background and records it at
// this daemon, if it is a target, before it returns.
func (s *Service) reportAsync(ctx context.Context, targets []string, r FinishRequest) {
	var remote []string
	for _, daemon := range targets {
		if daemon == s.cfg.Self.Name {
			s.HandleFinish(r)
		} else {
			remote = append(remote, daemon)
		}
	}
	if len(remote) == 0 {
		return
	}
	select {
	case s.reportSlots <- struct{}{}:
	default:
		return
	}
	s.pendingReports.Go(func() {
		defer func() { <-s.reportSlots }()
		s.reportWithRetries(ctx, remote, r)
	})
}

// reportWithRetries sends the report to each target up to maxReportAttempts
// times, because a lost report turns a stored answer into an unknown one.
func (s *Service) reportWithRetries(ctx context.Context, targets []string, r FinishRequest) {
	var wg sync.WaitGroup
	for _, daemon := range targets {
		wg.Go(func() {
			for range maxReportAttempts {
				if s.finishAt(ctx, daemon, r) == nil || !sleep(ctx, reportRetryInterval) {
					return
				}
			}
		})
	}
	wg.Wait()
}

// report sends the report to all targets in parallel and returns when each has
// replied or timed out.
func (s *Service) report(ctx context.Context, targets []string, r FinishRequest) {
	var wg sync.WaitGroup
	for _, daemon := range targets {
		if daemon == s.cfg.Self.Name {
			s.HandleFinish(r)
			continue
		}
		// If the report is lost, the id stays running until its hold ends and
		// is unknown after that.
		wg.Go(func() { _ = s.finishAt(ctx, daemon, r) })
	}
	wg.Wait()
}

func (s *Service) finishAt(ctx context.Context, daemon string, r FinishRequest) error {
	if daemon == s.cfg.Self.Name {
		s.HandleFinish(r)
		return nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.cfg.CallTimeout)
	defer cancel()
	return errors.Wrapf(s.cfg.Peers.Finish(ctx, daemon, r), "finish at %s", daemon)
}
