package origin

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"magnoliastand.example/api"
	"magnoliastand.example/clock"
	"magnoliastand.example/dispatch/record"
	"magnoliastand.example/dispatch/request"
	"magnoliastand.example/invariant"
)

// call is the handling of one request.
type call struct {
	o        *Origin
	r        *Request
	idErr    error
	queue    QueueInfo
	team     string
	reserved int64
	claim    record.Claim
	tracker  *request.Tracker
	deadline time.Time
	// exclude names the endpoints of earlier attempts of this call.
	exclude []string
	// lostBefore is the number of attempts of earlier calls with the same id that got
	// no whole answer.
	lostBefore uint8
	// abandoned is set when the handler returns while an attempt is still running.
	abandoned bool
}

func (c *call) state() request.State {
	if c.tracker == nil {
		return request.Received
	}
	return c.tracker.State()
}

// assignID sets the request ID of the call. A missing or malformed ID is
// replaced by one generated here.
func (c *call) assignID() {
	c.claim.Received = c.r.Received
	if c.r.ID != "" {
		c.idErr = record.CheckID(c.r.ID)
	}
	if c.r.ID == "" || c.idErr != nil {
		c.claim.ID = c.o.cfg.Records.NewInternalID()
		c.claim.Internal = true
		return
	}
	c.claim.ID = c.r.ID
}

// admit checks that the queue exists and that the caller may use it.
func (c *call) admit() *api.Problem {
	c.assignID()
	if c.idErr != nil {
		return invalidField(api.HeaderRequestID, c.idErr.Error())
	}
	queue, ok := c.o.cfg.Control.Queue(c.r.Queue)
	if !ok {
		return unknownQueue(c.r.Queue)
	}
	c.queue = queue
	c.claim.Idempotent = queue.Queue.Idempotent
	team, p := c.o.authorize(queue, c.r.Key)
	if p != nil {
		return p
	}
	c.team = team
	c.setDeadline()
	return nil
}

func (c *call) readBody() *api.Problem {
	limit := orDefault(c.queue.Queue.MaxBodyBytes, DefaultMaxBodyBytes)
	if c.r.Length > limit {
		return bodyTooLarge(limit)
	}
	n := c.r.Length
	if n < 0 {
		n = limit
	}
	if !c.o.reserve(n) {
		return originFull("bytes of request bodies")
	}
	body, err := readRequestBody(c.r.Source, c.r.Length, limit)
	if err != nil || int64(len(body)) > limit {
		c.o.buffered.Add(-n)
	}
	switch {
	case err != nil:
		return invalidField("body", "the body could not be read whole: "+err.Error())
	case int64(len(body)) > limit:
		return bodyTooLarge(limit)
	}
	c.reserved = n
	c.r.Body = body
	if c.r.BodyDone != nil {
		c.r.BodyDone()
	}
	return nil
}

func readRequestBody(r io.Reader, length, limit int64) ([]byte, error) {
	if length == 0 || r == nil {
		return nil, nil
	}
	if length < 0 {
		return io.ReadAll(io.LimitReader(r, limit+1))
	}
	// The buffer grows with the data received, so that a stalled caller does not
	// hold memory for the whole announced length.
	var buf bytes.Buffer
	n, err := io.Copy(&buf, io.LimitReader(r, length))
	if err == nil && n < length {
		err = io.ErrUnexpectedEOF
	}
	return buf.Bytes(), err
}

func (c *call) maxWait() time.Duration {
	return orDefault(c.queue.Queue.MaxWait.Std(), DefaultMaxWait)
}

func (c *call) longestRun() time.Duration {
	return orDefault(c.queue.LongestRun, DefaultLongestRun)
}

func (c *call) setDeadline() {
	total := c.maxWait() + c.longestRun()
	c.claim.Hold = total + c.longestRun()
	if c.r.Timeout > 0 {
		total = min(total, c.r.Timeout)
	}
	c.deadline = c.r.Received.Add(total)
}

// decide asks the records whether the request may start, and runs it or returns
// the result of an earlier attempt.
func (c *call) decide(ctx context.Context) *Result {
	if !c.claim.Internal {
		c.claim.Digest = record.NewDigest(c.team, c.r.Queue, c.r.Body)
	}
	d := c.begin(ctx)
	c.tracker = request.NewTracker(c.claim.ID, c.claim.Idempotent, d.Earlier)
	c.lostBefore = d.Lost
	switch d.Verdict {
	case record.Proceed:
		if d.Lost >= maxLostAttempts {
			return c.failUnknown(outcomeUnknown("no endpoint gave a whole answer in as many attempts as one id gets"))
		}
		return c.run(ctx)
	case record.Answered:
		return c.respondStored(d.Answer)
	case record.Superseded:
		return c.fail(api.NewProblem(http.StatusServiceUnavailable, api.CodeConflict, api.RunNot,
			"a later attempt of this id was refused meanwhile; send the request again"))
	case record.Mismatch:
		return c.failUnknown(api.NewProblem(http.StatusConflict, api.CodeRequestMismatch, api.RunUnknown,
			"the id stands for a request with another team, queue or body"))
	case record.NoQuorum:
		return c.failUnknown(api.NewProblem(http.StatusServiceUnavailable, api.CodeUnavailable, api.RunUnknown,
			"too few daemons can be reached to rule out that an earlier attempt ran"))
	default:
		return c.failUnknown(outcomeUnknown("another attempt of this id runs or may have run, and no answer is kept"))
	}
}

// begin asks the records whether the request may start. While another attempt
// with the same ID is running, begin waits for it. If that attempt ended without
// running the request, this call may use the ID, so begin asks again.
func (c *call) begin(ctx context.Context) record.Decision {
	if c.claim.Internal {
		return c.o.cfg.Records.Begin(ctx, &c.claim)
	}
	ctx, cancel := clock.WithDeadline(ctx, c.deadline)
	defer cancel()
	for range maxJoinWaits {
		d := c.o.cfg.Records.Begin(ctx, &c.claim)
		if d.Verdict != record.Running {
			return d
		}
		d = c.o.cfg.Records.Await(ctx, &c.claim, c.joinTimeout())
		if d.Verdict == record.Unknown && c.claim.Idempotent {
			return c.afterUnknown(ctx)
		}
		if d.Verdict != record.Absent || !clock.Now().Before(c.deadline) {
			return d
		}
	}
	return record.Decision{Verdict: record.Unknown}
}

// afterUnknown decides on an idempotent request whose other attempt has no outcome in
// time. It may run unless that attempt ended without a whole answer from any endpoint,
// since the request may crash the endpoints that run it.
func (c *call) afterUnknown(ctx context.Context) record.Decision {
	d := c.o.cfg.Records.Begin(ctx, &c.claim)
	switch {
	case d.Verdict == record.Running:
		return record.Decision{Verdict: record.Proceed, Earlier: true}
	case d.Verdict == record.Proceed && d.Lost > 0:
		return record.Decision{Verdict: record.Unknown}
	}
	return d
}

// joinTimeout returns how long the call waits for another attempt. The origin of
// that attempt may have failed, so an idempotent request reserves time to run
// itself.
func (c *call) joinTimeout() time.Duration {
	left := clock.Until(c.deadline)
	if c.claim.Idempotent {
		return min(left/2, c.longestRun())
	}
	return left
}

func (c *call) respondStored(answer *record.Answer) *Result {
	c.apply(request.Answer)
	return c.respond(answer)
}

func (c *call) respond(answer *record.Answer) *Result {
	c.o.cfg.Metrics.Ended(c.r.Queue, api.RunDone, "", clock.Since(c.r.Received))
	return &Result{ID: c.claim.ID, Home: c.o.cfg.Records.HomeOf(c.claim.ID), Run: api.RunDone, Answer: answer}
}

// failUnknown ends a call that may not start and whose request may have run.
func (c *call) failUnknown(p *api.Problem) *Result {
	c.apply(request.EndUnknown)
	return c.respondProblem(p, api.RunUnknown)
}

// fail ends a call without a response after Begin. The tracker determines the
// reported run state: a request that may have run is reported as unknown, even
// if the problem says "not run".
func (c *call) fail(p *api.Problem) *Result {
	return c.respondProblem(p, c.tracker.End())
}

// rejectBeforeBegin ends a call that was admitted but has not reached Begin.
func (c *call) rejectBeforeBegin(ctx context.Context, p *api.Problem) *Result {
	return c.respondProblem(p, runState(c.o.cfg.Records.MayRefuse(ctx, &c.claim)))
}

// rejectUnadmitted ends a call that was not admitted.
func (c *call) rejectUnadmitted(ctx context.Context, p *api.Problem) *Result {
	return c.respondProblem(p, runState(c.o.cfg.Records.ConfirmUnseen(ctx, &c.claim)))
}

func runState(notRun bool) api.Run {
	if notRun {
		return api.RunNot
	}
	return api.RunUnknown
}

func (c *call) respondProblem(p *api.Problem, run api.Run) *Result {
	p.Run = run
	id := c.claim.ID
	if run == api.RunNot && c.claim.Internal {
		// The caller may resend a request that did not run. An ID generated for
		// this call cannot be used by another call, so the caller gets a new one.
		id = c.o.cfg.Records.IssueID()
	}
	p.RequestID = id
	c.o.cfg.Metrics.Ended(c.r.Queue, run, p.Code, clock.Since(c.r.Received))
	return &Result{ID: id, Home: c.o.cfg.Records.HomeOf(id), Run: run, Problem: p}
}

// apply applies an event to the tracker. Callers must ensure that the event is
// allowed in the tracker's state.
func (c *call) apply(e request.Event) {
	err := c.tracker.Apply(e)
	invariant.Check(err == nil, invariant.NotRunIsTrue, "request %s: %v", c.claim.ID, err)
}
