package origin

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"magnoliastand.example/api"
	"magnoliastand.example/clock"
	"magnoliastand.example/dispatch"
	"magnoliastand.example/dispatch/record"
	"magnoliastand.example/dispatch/request"
	"magnoliastand.example/invariant"
)

var errCallerDisconnected = errors.New("the caller is gone")

// problemError carries a problem through the gate as an error.
type problemError struct{ problem *api.Problem }

// Error implements error.
func (e *problemError) Error() string { return e.problem.Error() }

// run obtains a slot and sends the request, with retries, and records the
// result. The records must have permitted the start.
func (c *call) run(ctx context.Context) *Result {
	c.o.retryBudget.deposit()
	c.apply(request.Ask)
	for n := 1; ; n++ {
		grant, err := c.acquire(ctx)
		if err != nil {
			return c.finish(ctx, slotProblem(err))
		}
		c.apply(request.Grant)
		res, done := c.attempt(ctx, grant, n)
		if !done {
			return c.abandon()
		}
		result, retry := c.handleResult(ctx, grant, res, n)
		if !retry {
			return result
		}
		if !c.waitBackoff(ctx, n) {
			return c.finish(ctx, deadlinePassed("the deadline passed before another attempt"))
		}
	}
}

// acquire asks for a slot until one is granted or refused, or the time to wait
// for a slot has passed. If the arbiter is lost before it decides, the ask is
// repeated.
func (c *call) acquire(ctx context.Context) (dispatch.Grant, error) {
	now := clock.Now()
	waitUntil := now.Add(c.maxWait())
	latest := c.deadline.Add(-c.o.runTimes.reserve(c.r.Queue, c.deadline.Sub(now)))
	if latest.Before(waitUntil) {
		waitUntil = latest
	}
	ctx, cancel := clock.WithDeadline(ctx, waitUntil)
	defer cancel()
	for n := 1; ; n++ {
		grant, err := c.o.cfg.Slots.Ask(ctx, c.ask(clock.Until(waitUntil)))
		if err == nil || !errors.Is(err, ErrArbiterLost) {
			return grant, err
		}
		if !sleep(ctx, c.o.cfg.Retry.backoff(n)) {
			return dispatch.Grant{}, ctx.Err()
		}
	}
}

func (c *call) ask(waitLimit time.Duration) dispatch.Ask {
	class := c.queue.Queue.Class
	if class == "" {
		class = api.ClassQuick
	}
	return dispatch.Ask{
		RequestID: c.claim.ID,
		Origin:    c.o.cfg.Self,
		Queue:     c.r.Queue,
		Team:      c.team,
		Class:     class,
		Patience:  waitLimit,
		Exclude:   c.exclude,
	}
}

func slotProblem(err error) *api.Problem {
	var refusal *dispatch.Refusal
	switch {
	case errors.As(err, &refusal):
		return fromRefusal(refusal)
	case errors.Is(err, context.Canceled):
		return deadlinePassed(errCallerDisconnected.Error())
	case errors.Is(err, context.DeadlineExceeded):
		return deadlinePassed("no slot became free in time")
	default:
		return api.NewProblem(refusalStatus(api.CodeUnavailable), api.CodeUnavailable, api.RunNot,
			"no slot could be asked for: "+err.Error())
	}
}

// attempt sends the request under a grant. It reports false if the deadline
// passed or the caller disconnected after the first byte was sent; the attempt
// then continues in the background.
func (c *call) attempt(ctx context.Context, grant dispatch.Grant, n int) (attemptResult, bool) {
	granted := clock.Now()
	c.o.addHeld(grant)
	g := &gate{checkStart: c.newStartCheck(ctx, grant, granted)}
	longest := orDefault(grant.LongestRun, c.longestRun())
	sendCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), longest)
	startTimer := time.AfterFunc(grant.StartWithin, func() {
		if !c.o.client.disabled.startGate && !g.close(startTimeoutReason(clock.Since(granted), grant.StartWithin)) {
			cancel()
		}
	})
	ch := make(chan attemptResult, 1)
	go func() {
		defer cancel()
		defer startTimer.Stop()
		res := c.o.client.send(sendCtx, g, grant, c.r, c.claim.ID, c.team, n)
		elapsed := clock.Since(granted)
		outcome := res.outcome
		if g.endpointUnreachable() {
			// Tells the arbiter that the endpoint accepts no connections.
			outcome = dispatch.OutcomeRefused
		}
		c.o.release(grant, outcome, elapsed)
		c.o.cfg.Metrics.Attempted(c.r.Queue, outcome, elapsed)
		if outcome == dispatch.OutcomeAnswered {
			c.o.runTimes.observe(c.r.Queue, elapsed)
		}
		ch <- res
	}()
	timer := time.NewTimer(clock.Until(c.deadline))
	defer timer.Stop()
	select {
	case res := <-ch:
		return res, true
	case <-timer.C:
	case <-ctx.Done():
	}
	if !g.close(errWithdrawn) {
		cancel()
		return <-ch, true
	}
	c.awaitAbandoned(ch)
	return attemptResult{}, false
}

// startTimeoutReason returns the reason for denying the start of an attempt that
// has not started within the grant's time. A timer that fires at more than twice
// that time shows that this process was suspended, which says nothing about the
// endpoint.
func startTimeoutReason(waited, within time.Duration) error {
	if waited > 2*within {
		return errStartDenied
	}
	return errStartTimeout
}

// newStartCheck returns the function that the gate calls immediately before the
// first byte is written.
func (c *call) newStartCheck(ctx context.Context, grant dispatch.Grant, granted time.Time) func() error {
	return func() error {
		if err := c.checkStart(ctx, grant, granted); err != nil && !c.o.client.disabled.startGate {
			return err
		}
		if err := c.tracker.Apply(request.Send); err != nil {
			return err
		}
		c.o.markStarted(grant.ID)
		return nil
	}
}

func (c *call) checkStart(ctx context.Context, grant dispatch.Grant, granted time.Time) error {
	// The clock advances while the process is paused or the machine suspended.
	if waited := clock.Since(granted); waited > grant.StartWithin {
		return errors.Wrapf(errStartDenied, "grant lapsed: %s after it came, %s allowed", waited, grant.StartWithin)
	}
	return c.revalidate(ctx)
}

// revalidate repeats the checks made at receipt immediately before the first
// byte is written, since the configuration may have changed while the request
// waited for a slot.
func (c *call) revalidate(ctx context.Context) error {
	if ctx.Err() != nil {
		return errCallerDisconnected
	}
	if !clock.Now().Before(c.deadline) {
		return &problemError{deadlinePassed("the deadline passed before the request was sent")}
	}
	queue, ok := c.o.cfg.Control.Queue(c.r.Queue)
	if !ok {
		return &problemError{unknownQueue(c.r.Queue)}
	}
	if c.claim.Idempotent && !queue.Queue.Idempotent {
		return &problemError{queueChanged()}
	}
	team, p := c.o.authorize(queue, c.r.Key)
	if p != nil {
		return &problemError{p}
	}
	if team != c.team {
		return &problemError{keyInvalid("the team key changed its team meanwhile")}
	}
	invariant.Check(queue.Queue.Open || c.team != "", invariant.KeyedWork,
		"request %s: dispatch to keyed queue %s without a team", c.claim.ID, c.r.Queue)
	return nil
}

// abandon returns the result for a caller whose request is still running: the
// outcome is unknown.
func (c *call) abandon() *Result {
	c.tracker.End()
	return c.respondProblem(outcomeUnknown("the deadline passed while an endpoint was running the request"), api.RunUnknown)
}

// awaitAbandoned records the result of an attempt that continues in the
// background after the call was abandoned.
func (c *call) awaitAbandoned(ch <-chan attemptResult) {
	c.abandoned = true
	go func() {
		defer c.o.removeCall(c)
		res := <-ch
		result := record.ResultUnknown
		if res.outcome == dispatch.OutcomeAnswered || res.outcome == dispatch.OutcomeFailed {
			result = record.ResultAnswered
		} else {
			c.claim.Lost++
		}
		c.o.cfg.Records.Finish(context.Background(), &c.claim, result, res.answer)
	}()
}

// handleResult records the result of an attempt, or reports true if the request
// should be retried.
func (c *call) handleResult(ctx context.Context, grant dispatch.Grant, res attemptResult, n int) (*Result, bool) {
	switch res.outcome {
	case dispatch.OutcomeAnswered:
		return c.finishAnswered(ctx, res), false
	case dispatch.OutcomeFailed:
		if c.claim.Idempotent && c.mayRetry(grant, n) {
			c.apply(request.Retry)
			return nil, true
		}
		return c.finishAnswered(ctx, res), false
	case dispatch.OutcomeRefused:
		c.apply(request.NotAccepted)
		if c.mayRetry(grant, n) {
			return nil, true
		}
		return c.finish(ctx, endpointRefused("the endpoint did not accept the request")), false
	case dispatch.OutcomeUnused:
		return c.handleUnsent(ctx, grant, res, n)
	default:
		return c.handleUnknown(ctx, grant, res, n)
	}
}

func (c *call) handleUnknown(ctx context.Context, grant dispatch.Grant, res attemptResult, n int) (*Result, bool) {
	c.claim.Lost++
	if c.claim.Idempotent && c.lostBefore+c.claim.Lost < maxLostAttempts && c.mayRetry(grant, n) {
		c.apply(request.Retry)
		return nil, true
	}
	return c.finish(ctx, outcomeUnknown("no whole answer came from the endpoint: "+cause(res.err))), false
}

// handleUnsent handles the result of an attempt of which no byte was sent.
func (c *call) handleUnsent(ctx context.Context, grant dispatch.Grant, res attemptResult, n int) (*Result, bool) {
	var refused *problemError
	switch {
	case errors.As(res.err, &refused):
		return c.finish(ctx, refused.problem), false
	case ctx.Err() != nil:
		return c.finish(ctx, deadlinePassed(errCallerDisconnected.Error())), false
	case !clock.Now().Before(c.deadline):
		return c.finish(ctx, deadlinePassed("the deadline passed before the request was sent")), false
	}
	c.apply(request.Withdraw)
	if c.mayRetry(grant, n) {
		return nil, true
	}
	return c.finish(ctx, endpointRefused("no endpoint could be reached: "+cause(res.err))), false
}

// mayRetry reports whether the request may be retried and takes the retry from
// the budget. It excludes the endpoint of the last attempt from further ones.
func (c *call) mayRetry(grant dispatch.Grant, n int) bool {
	if n >= maxAttempts || !clock.Now().Before(c.deadline) || !c.o.retryBudget.take() {
		return false
	}
	if !slices.Contains(c.exclude, grant.Endpoint) {
		c.exclude = append(c.exclude, grant.Endpoint)
	}
	return true
}

func (c *call) waitBackoff(ctx context.Context, n int) bool {
	ctx, cancel := clock.WithDeadline(ctx, c.deadline)
	defer cancel()
	return sleep(ctx, c.o.cfg.Retry.backoff(n))
}

func (c *call) finishAnswered(ctx context.Context, res attemptResult) *Result {
	invariant.Check(res.responseID == c.claim.ID, invariant.WholeOwnAnswer,
		"request %s: endpoint response has request ID %q", c.claim.ID, res.responseID)
	c.apply(request.Answer)
	c.o.cfg.Records.Finish(ctx, &c.claim, record.ResultAnswered, res.answer)
	return c.respond(res.answer)
}

// finish records the result of a permitted call that has no response.
func (c *call) finish(ctx context.Context, p *api.Problem) *Result {
	run := c.tracker.End()
	result := record.ResultUnknown
	if run == api.RunNot {
		result = record.ResultNotRun
	}
	c.o.cfg.Records.Finish(ctx, &c.claim, result, nil)
	return c.respondProblem(p, run)
}

func cause(err error) string {
	if err == nil {
		return "no reason known"
	}
	return err.Error()
}

// sleep reports whether d passed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
