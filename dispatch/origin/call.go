package origin

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"magnoliastand.example/api"
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
	// exclude names endpoints that an earlier attempt of this call ruled out.
	exclude []string
	// abandoned is set when the handler left an attempt to end by itself.
	abandoned bool
}

func (c *call) state() request.State {
	if c.tracker == nil {
		return request.Received
	}
	return c.tracker.State()
}

// identify gives the call its id. A malformed id of the caller is replaced.
func (c *call) identify() {
	c.claim.Received = c.r.Received
	if c.r.ID != "" {
		c.idErr = record.CheckID(c.r.ID)
	}
	if c.r.ID == "" || c.idErr != nil {
		c.claim.ID = c.o.cfg.Records.Own()
		c.claim.Own = true
		return
	}
	c.claim.ID = c.r.ID
}

// admit checks that the caller may use the queue.
func (c *call) admit() *api.Problem {
	c.identify()
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
	limit := orInt(c.queue.Queue.MaxBodyBytes, DefaultMaxBodyBytes)
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
	// The buffer grows with what arrives, so a caller that stalls holds no
	// memory for what it only announced.
	var buf bytes.Buffer
	n, err := io.Copy(&buf, io.LimitReader(r, length))
	if err == nil && n < length {
		err = io.ErrUnexpectedEOF
	}
	return buf.Bytes(), err
}

func (c *call) maxWait() time.Duration {
	return orInt(c.queue.Queue.MaxWait.Std(), DefaultMaxWait)
}

func (c *call) longestRun() time.Duration {
	return orInt(c.queue.LongestRun, DefaultLongestRun)
}

func (c *call) setDeadline() {
	span := c.maxWait() + c.longestRun()
	c.claim.Hold = span + c.longestRun()
	if c.r.Timeout > 0 {
		span = min(span, c.r.Timeout)
	}
	c.deadline = c.r.Received.Add(span)
}

// decide asks the records whether the request may start, and goes on accordingly.
func (c *call) decide(ctx context.Context) *Result {
	if !c.claim.Own {
		c.claim.Digest = record.NewDigest(c.team, c.r.Queue, c.r.Body)
	}
	d := c.begin(ctx)
	c.tracker = request.NewTracker(c.claim.ID, c.claim.Idempotent, d.Earlier)
	switch d.Verdict {
	case record.Proceed:
		return c.run(ctx)
	case record.Answered:
		return c.kept(d.Answer)
	case record.Superseded:
		return c.ended(api.NewProblem(http.StatusServiceUnavailable, api.CodeConflict, api.RunNot,
			"a later attempt of this id was refused meanwhile; send the request again"))
	case record.Mismatch:
		return c.lost(api.NewProblem(http.StatusConflict, api.CodeRequestMismatch, api.RunUnknown,
			"the id stands for a request with another team, queue or body"))
	case record.NoQuorum:
		return c.lost(api.NewProblem(http.StatusServiceUnavailable, api.CodeUnavailable, api.RunUnknown,
			"too few daemons can be reached to rule out that an earlier attempt ran"))
	default:
		return c.lost(outcomeUnknown("another attempt of this id runs or may have run, and no answer is kept"))
	}
}

// begin asks the records whether the request may start. While another attempt
// of the same request runs, it waits for its end; one that ended without running
// leaves the id to this call, so it asks again.
func (c *call) begin(ctx context.Context) record.Decision {
	if c.claim.Own {
		return c.o.cfg.Records.Begin(ctx, &c.claim)
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	for range maxJoins {
		d := c.o.cfg.Records.Begin(ctx, &c.claim)
		if d.Verdict != record.Running {
			return d
		}
		d = c.o.cfg.Records.Await(ctx, &c.claim, c.joinTime())
		if d.Verdict == record.Unknown && c.claim.Idempotent {
			return record.Decision{Verdict: record.Proceed, Earlier: true}
		}
		if d.Verdict != record.Absent || !time.Now().Before(c.deadline) {
			return d
		}
	}
	return record.Decision{Verdict: record.Unknown}
}

// joinTime returns how long the call waits for another attempt. The origin of
// that one may be gone, so an idempotent request keeps time to run by itself.
func (c *call) joinTime() time.Duration {
	left := time.Until(c.deadline)
	if c.claim.Idempotent {
		return min(left/2, c.longestRun())
	}
	return left
}

func (c *call) kept(answer *record.Answer) *Result {
	c.apply(request.Answer)
	return c.answered(answer)
}

func (c *call) answered(answer *record.Answer) *Result {
	c.o.cfg.Metrics.Ended(c.r.Queue, api.RunDone, "", time.Since(c.r.Received))
	return &Result{ID: c.claim.ID, Home: c.o.cfg.Records.HomeOf(c.claim.ID), Run: api.RunDone, Answer: answer}
}

// lost ends a call that the records do not let start and that may have run.
func (c *call) lost(p *api.Problem) *Result {
	c.apply(request.Lose)
	return c.problem(p, api.RunUnknown)
}

// ended ends a call without an answer, after Begin. What is said about the run
// follows from the tracker; a problem that would say "not run" of a request
// that may have run becomes unknown.
func (c *call) ended(p *api.Problem) *Result {
	return c.problem(p, c.tracker.End())
}

// refuseEarly ends a call before Begin whose caller may use the queue.
func (c *call) refuseEarly(ctx context.Context, p *api.Problem) *Result {
	return c.problem(p, notRunIf(c.o.cfg.Records.MayRefuse(ctx, &c.claim)))
}

// refuseUnseen ends a call whose caller may not use the queue.
func (c *call) refuseUnseen(ctx context.Context, p *api.Problem) *Result {
	return c.problem(p, notRunIf(c.o.cfg.Records.Unseen(ctx, &c.claim)))
}

func notRunIf(ok bool) api.Run {
	if ok {
		return api.RunNot
	}
	return api.RunUnknown
}

func (c *call) problem(p *api.Problem, run api.Run) *Result {
	p.Run = run
	id := c.claim.ID
	if run == api.RunNot && c.claim.Own {
		// The caller may resend a request that did not run. Its own id starts in
		// this call only, so the caller gets one that it can use.
		id = c.o.cfg.Records.Fresh()
	}
	p.RequestID = id
	c.o.cfg.Metrics.Ended(c.r.Queue, run, p.Code, time.Since(c.r.Received))
	return &Result{ID: id, Home: c.o.cfg.Records.HomeOf(id), Run: run, Problem: p}
}

// apply moves the tracker by an event that the code path guarantees to be allowed.
func (c *call) apply(e request.Event) {
	err := c.tracker.Apply(e)
	invariant.Check(err == nil, invariant.NotRunIsTrue, "request %s: %v", c.claim.ID, err)
}
