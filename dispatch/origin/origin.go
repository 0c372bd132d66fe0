package origin

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"magnoliastand.example/api"
	"magnoliastand.example/dispatch"
	"magnoliastand.example/dispatch/record"
)

// Request is a caller's request.
type Request struct {
	Queue string
	// Key is the team key, without "Bearer"; empty if none came.
	Key string
	// ID is the caller's request id; empty if none came.
	ID string
	// Timeout is the time that the caller gives the request; 0 means no bound
	// but those of the queue.
	Timeout     time.Duration
	ContentType string
	// Source is the body; Length is its length in bytes, or -1 if unknown.
	Source io.Reader
	Length int64
	// BodyDone, if set, is called once the body was read whole.
	BodyDone func()
	// Received is when the request arrived.
	Received time.Time

	// Body is filled by Handle.
	Body []byte
}

// Result is what the caller is told: an answer or a problem.
type Result struct {
	ID      string
	Home    string
	Run     api.Run
	Answer  *record.Answer
	Problem *api.Problem
}

// Origin handles callers' requests. It is safe for concurrent use.
type Origin struct {
	cfg      Config
	client   *client
	budget   *budget
	runTimes *runTimes
	buffered atomic.Int64

	mu       sync.Mutex
	draining bool
	calls    map[*call]struct{}
	held     map[dispatch.GrantID]*heldGrant
	// idle is closed when draining and no call is left.
	idle chan struct{}
}

// New returns an origin. Config's Control, Records and Slots must be set.
func New(cfg Config) *Origin {
	cfg.setDefaults()
	return &Origin{
		cfg:      cfg,
		client:   newClient(cfg.Limits),
		budget:   newBudget(cfg.Retry),
		runTimes: newRunTimes(),
		calls:    make(map[*call]struct{}),
		held:     make(map[dispatch.GrantID]*heldGrant),
		idle:     make(chan struct{}),
	}
}

// Close closes idle connections to endpoints. Call it after Drain.
func (o *Origin) Close() { o.client.close() }

// FreshID returns a request id for a caller to use.
func (o *Origin) FreshID() string { return o.cfg.Records.Fresh() }

// Handle handles one request. The context ends when the caller is gone; an
// attempt that went out is still read to its end.
func (o *Origin) Handle(ctx context.Context, r *Request) *Result {
	c := &call{o: o, r: r}
	if p := c.admit(); p != nil {
		return c.refuseUnseen(ctx, p)
	}
	if p := o.enter(c); p != nil {
		return c.refuseEarly(ctx, p)
	}
	defer o.leaveUnlessAbandoned(c)
	if p := c.readBody(); p != nil {
		return c.refuseEarly(ctx, p)
	}
	defer o.buffered.Add(-c.reserved)
	o.cfg.Metrics.Accepted(r.Queue)
	return c.decide(ctx)
}

// enter registers a call, unless the origin drains or is full.
func (o *Origin) enter(c *call) *api.Problem {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case o.draining:
		return shuttingDown()
	case len(o.calls) >= o.cfg.Limits.MaxInFlight:
		return originFull("requests in flight")
	default:
		o.calls[c] = struct{}{}
		return nil
	}
}

func (o *Origin) leaveUnlessAbandoned(c *call) {
	if !c.abandoned {
		o.leave(c)
	}
}

func (o *Origin) leave(c *call) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.calls, c)
	o.signalIdle()
}

// signalIdle must be called with the lock held.
func (o *Origin) signalIdle() {
	if !o.draining || len(o.calls) > 0 {
		return
	}
	select {
	case <-o.idle:
	default:
		close(o.idle)
	}
}

// reserve takes n bytes of the body memory. It reports false if there are not enough.
func (o *Origin) reserve(n int64) bool {
	if o.buffered.Add(n) <= o.cfg.Limits.MaxBufferedBytes {
		return true
	}
	o.buffered.Add(-n)
	return false
}

// InFlight returns the number of requests being handled.
func (o *Origin) InFlight() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.calls)
}
