package record

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxCopiedAnswer bounds an answer of which peers of the home keep copies.
	maxCopiedAnswer = 16 << 10
	// finishTries bounds how often a deciding daemon is told of an answer.
	finishTries = 3
	// finishPause is the time between tries.
	finishPause = 200 * time.Millisecond
)

// Finish records how a claim that may proceed ended. ResultNotRun returns after
// the deciders were told or CallTimeout passed, other results at once.
func (s *Service) Finish(ctx context.Context, c *Claim, result Result, answer *Answer) {
	if c.Own || c.token == (Token{}) {
		return
	}
	r := FinishRequest{
		ID: c.ID, Token: c.token, Digest: c.Digest, Result: result, Answer: s.small(answer),
		Idempotent: c.Idempotent,
	}
	ctx = context.WithoutCancel(ctx)
	targets := s.holders(r)
	if result == ResultNotRun || result == ResultWithdrawn {
		s.report(ctx, targets, r)
		return
	}
	s.reportLater(ctx, targets, r)
}

func (s *Service) small(a *Answer) *Answer {
	if a == nil || a.Size() > s.cfg.Keeper.MaxAnswer {
		return nil
	}
	return a
}

// holders returns the daemons that record the end of an id.
func (s *Service) holders(r FinishRequest) []string {
	p, ok := ParseID(r.ID)
	if !ok {
		return union(s.members.keepers(r.ID, s.cfg.Keeper.Retention, time.Now()))
	}
	targets := []string{p.Daemon}
	if r.Answer != nil && r.Answer.Size() <= maxCopiedAnswer {
		targets = append(targets, s.members.copies(r.ID, p.Daemon, copyCount)...)
	}
	return targets
}

// reportLater reports in the background, this daemon's own share at once.
func (s *Service) reportLater(ctx context.Context, targets []string, r FinishRequest) {
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
	case s.slots <- struct{}{}:
	default:
		return
	}
	s.finishing.Go(func() {
		defer func() { <-s.slots }()
		s.reportRepeatedly(ctx, remote, r)
	})
}

// reportRepeatedly gives each target some tries, since a lost report turns a
// kept answer into an unknown one.
func (s *Service) reportRepeatedly(ctx context.Context, targets []string, r FinishRequest) {
	var wg sync.WaitGroup
	for _, daemon := range targets {
		wg.Go(func() {
			for range finishTries {
				if s.finishAt(ctx, daemon, r) == nil || !sleep(ctx, finishPause) {
					return
				}
			}
		})
	}
	wg.Wait()
}

// report tells the targets at once and returns when each was told or gave no reply in time.
func (s *Service) report(ctx context.Context, targets []string, r FinishRequest) {
	var wg sync.WaitGroup
	for _, daemon := range targets {
		if daemon == s.cfg.Self.Name {
			s.HandleFinish(r)
			continue
		}
		// A lost report leaves the id running until its hold ends, then unknown.
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
