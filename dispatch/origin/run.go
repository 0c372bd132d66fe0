package origin

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"magnoliastand.example/api"
	"magnoliastand.example/dispatch"
	"magnoliastand.example/dispatch/record"
	"magnoliastand.example/dispatch/request"
	"magnoliastand.example/invariant"
)

var errCallerGone = errors.New("the caller is gone")

// problemError carries a problem through the gate.
type problemError struct{ problem *api.Problem }

// Error implements error.
func (e *problemError) Error() string { return e.problem.Error() }

// run takes a permitted call to its end and records how it ended.
func (c *call) run(ctx context.Context) *Result {
	c.o.budget.deposit()
	c.apply(request.Ask)
	for n := 1; ; n++ {
		grant, err := c.acquire(ctx)
		if err != nil {
			return c.finish(ctx, askProblem(err))
		}
		c.apply(request.Grant)
		end, done := c.attempt(ctx, grant, n)
		if !done {
			return c.abandon()
		}
		result, again := c.settle(ctx, grant, end, n)
		if !again {
			return result
		}
		if !c.pause(ctx, n) {
			return c.finish(ctx, deadlinePassed("the deadline passed before another attempt"))
		}
	}
}

// acquire asks for a slot until it is granted or refused. A lost arbiter
// changes nothing for the request: it asks again.
func (c *call) acquire(ctx context.Context) (dispatch.Grant, error) {
	now := time.Now()
	waitUntil := now.Add(c.maxWait())
	latest := c.deadline.Add(-c.o.runTimes.reserve(c.r.Queue, c.deadline.Sub(now)))
	if latest.Before(waitUntil) {
		waitUntil = latest
	}
	ctx, cancel := context.WithDeadline(ctx, waitUntil)
	defer cancel()
	for n := 1; ; n++ {
		grant, err := c.o.cfg.Slots.Ask(ctx, c.ask(time.Until(waitUntil)))
		if err == nil || !errors.Is(err, ErrArbiterLost) {
			return grant, err
		}
		if !sleep(ctx, c.o.cfg.Retry.backoff(n)) {
			return dispatch.Grant{}, ctx.Err()
		}
	}
}

func (c *call) ask(patience time.Duration) dispatch.Ask {
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
		Patience:  patience,
		Exclude:   c.exclude,
	}
}

func askProblem(err error) *api.Problem {
	var refusal *dispatch.Refusal
	switch {
	case errors.As(err, &refusal):
		return fromRefusal(refusal)
	case errors.Is(err, context.Canceled):
		return deadlinePassed(errCallerGone.Error())
	case errors.Is(err, context.DeadlineExceeded):
		return deadlinePassed("no slot became free in time")
	default:
		return api.NewProblem(refusalStatus(api.CodeUnavailable), api.CodeUnavailable, api.RunNot,
			"no slot could be asked for: "+err.Error())
	}
}

// attempt sends the request by a grant. It reports false if the caller's
// deadline passed, or the caller left, after the attempt had started; the
// attempt then ends by itself.
func (c *call) attempt(ctx context.Context, grant dispatch.Grant, n int) (attemptEnd, bool) {
	granted := time.Now()
	c.o.hold(grant)
	g := &gate{mayStart: c.startCheck(ctx, grant, granted)}
	longest := orInt(grant.LongestRun, c.longestRun())
	sendCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), longest)
	lapse := time.AfterFunc(grant.StartWithin, func() {
		if !c.o.client.unguarded.gate && !g.close(lapseReason(time.Since(granted), grant.StartWithin)) {
			cancel()
		}
	})
	ch := make(chan attemptEnd, 1)
	go func() {
		defer cancel()
		defer lapse.Stop()
		end := c.o.client.send(sendCtx, g, grant, c.r, c.claim.ID, c.team, n)
		elapsed := time.Since(granted)
		outcome := end.outcome
		if g.unreached() {
			// The arbiter should learn that the endpoint takes no requests.
			outcome = dispatch.OutcomeRefused
		}
		c.o.release(grant, outcome, elapsed)
		c.o.cfg.Metrics.Attempted(c.r.Queue, outcome, elapsed)
		if outcome == dispatch.OutcomeAnswered {
			c.o.runTimes.observe(c.r.Queue, elapsed)
		}
		ch <- end
	}()
	timer := time.NewTimer(time.Until(c.deadline))
	defer timer.Stop()
	select {
	case end := <-ch:
		return end, true
	case <-timer.C:
	case <-ctx.Done():
	}
	if !g.close(errWithdrawn) {
		cancel()
		return <-ch, true
	}
	c.awaitAbandoned(ch)
	return attemptEnd{}, false
}

// lapseReason returns the reason to close a gate that did not open in time. A
// timer that fires far too late shows that this process was frozen, which says
// nothing about the endpoint.
func lapseReason(waited, within time.Duration) error {
	if waited > 2*within {
		return errGateClosed
	}
	return errLapsed
}

// startCheck returns the function that the gate asks right before the first byte.
func (c *call) startCheck(ctx context.Context, grant dispatch.Grant, granted time.Time) func() error {
	return func() error {
		if err := c.mayStart(ctx, grant, granted); err != nil && !c.o.client.unguarded.gate {
			return err
		}
		if err := c.tracker.Apply(request.Send); err != nil {
			return err
		}
		c.o.markStarted(grant.ID)
		return nil
	}
}

func (c *call) mayStart(ctx context.Context, grant dispatch.Grant, granted time.Time) error {
	// The monotonic clock goes on while the process is frozen.
	if waited := time.Since(granted); waited > grant.StartWithin {
		return errors.Wrapf(errGateClosed, "grant lapsed: %s after it came, %s allowed", waited, grant.StartWithin)
	}
	return c.recheck(ctx)
}

// recheck runs right before the first byte: what held at receipt must still hold.
func (c *call) recheck(ctx context.Context) error {
	if ctx.Err() != nil {
		return errCallerGone
	}
	if !time.Now().Before(c.deadline) {
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

// abandon tells the caller that the outcome is not known yet.
func (c *call) abandon() *Result {
	c.tracker.End()
	return c.problem(outcomeUnknown("the deadline passed while an endpoint was running the request"), api.RunUnknown)
}

// awaitAbandoned records the end of an attempt that the handler left.
func (c *call) awaitAbandoned(ch <-chan attemptEnd) {
	c.abandoned = true
	go func() {
		defer c.o.leave(c)
		end := <-ch
		result := record.ResultUnknown
		if end.outcome == dispatch.OutcomeAnswered || end.outcome == dispatch.OutcomeFailed {
			result = record.ResultAnswered
		}
		c.o.cfg.Records.Finish(context.Background(), &c.claim, result, end.answer)
	}()
}

// settle decides what follows an attempt. It reports true if the request
// should be tried again.
func (c *call) settle(ctx context.Context, grant dispatch.Grant, end attemptEnd, n int) (*Result, bool) {
	switch end.outcome {
	case dispatch.OutcomeAnswered:
		return c.finishAnswered(ctx, end), false
	case dispatch.OutcomeFailed:
		if c.claim.Idempotent && c.mayRetry(grant, n) {
			c.apply(request.Retry)
			return nil, true
		}
		return c.finishAnswered(ctx, end), false
	case dispatch.OutcomeRefused:
		c.apply(request.NotAccepted)
		if c.mayRetry(grant, n) {
			return nil, true
		}
		return c.finish(ctx, endpointRefused("the endpoint did not accept the request")), false
	case dispatch.OutcomeUnused:
		return c.settleUnused(ctx, grant, end, n)
	default:
		return c.settleUnknown(ctx, grant, end, n)
	}
}

func (c *call) settleUnknown(ctx context.Context, grant dispatch.Grant, end attemptEnd, n int) (*Result, bool) {
	if c.claim.Idempotent && c.mayRetry(grant, n) {
		c.apply(request.Retry)
		return nil, true
	}
	return c.finish(ctx, outcomeUnknown("no whole answer came from the endpoint: "+cause(end.err))), false
}

// settleUnused follows an attempt of which no byte went out.
func (c *call) settleUnused(ctx context.Context, grant dispatch.Grant, end attemptEnd, n int) (*Result, bool) {
	var refused *problemError
	switch {
	case errors.As(end.err, &refused):
		return c.finish(ctx, refused.problem), false
	case ctx.Err() != nil:
		return c.finish(ctx, deadlinePassed(errCallerGone.Error())), false
	case !time.Now().Before(c.deadline):
		return c.finish(ctx, deadlinePassed("the deadline passed before the request was sent")), false
	}
	c.apply(request.Withdraw)
	if c.mayRetry(grant, n) {
		return nil, true
	}
	return c.finish(ctx, endpointRefused("no endpoint could be reached: "+cause(end.err))), false
}

// mayRetry reports whether a further attempt is paid for. It excludes the
// endpoint of the last one.
func (c *call) mayRetry(grant dispatch.Grant, n int) bool {
	if n >= maxAttempts || !time.Now().Before(c.deadline) || !c.o.budget.take() {
		return false
	}
	if !slices.Contains(c.exclude, grant.Endpoint) {
		c.exclude = append(c.exclude, grant.Endpoint)
	}
	return true
}

func (c *call) pause(ctx context.Context, n int) bool {
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	return sleep(ctx, c.o.cfg.Retry.backoff(n))
}

func (c *call) finishAnswered(ctx context.Context, end attemptEnd) *Result {
	invariant.Check(end.echoed == c.claim.ID, invariant.WholeOwnAnswer,
		"request %s: answer of endpoint for request %q", c.claim.ID, end.echoed)
	c.apply(request.Answer)
	c.o.cfg.Records.Finish(ctx, &c.claim, record.ResultAnswered, end.answer)
	return c.answered(end.answer)
}

// finish ends a permitted call without an answer.
func (c *call) finish(ctx context.Context, p *api.Problem) *Result {
	run := c.tracker.End()
	result := record.ResultUnknown
	if run == api.RunNot {
		result = record.ResultNotRun
	}
	c.o.cfg.Records.Finish(ctx, &c.claim, result, nil)
	return c.problem(p, run)
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
