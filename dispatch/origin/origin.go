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
	// Key is the team key without the "Bearer" prefix, or empty if not given.
	Key string
	// ID is the caller's request ID, or empty if not given.
	ID string
	// Timeout is the caller's time limit for the request. If it is 0, only the
	// limits of the queue apply.
	Timeout     time.Duration
	ContentType string
	// Source is the body; Length is its length in bytes, or -1 if unknown.
	Source io.Reader
	Length int64
	// BodyDone, if set, is called once the complete body has been read.
	BodyDone func()
	// Received is when the request arrived.
	Received time.Time

	// Body is set by Handle.
	Body []byte
}

// Result is the outcome returned to the caller: either Answer or Problem is set.
type Result struct {
	ID      string
	Home    string
	Run     api.Run
	Answer  *record.Answer
	Problem *api.Problem
}

// Origin handles callers' requests. It is safe for concurrent use.
type Origin struct {
	cfg         Config
	client      *client
	retryBudget *retryBudget
	runTimes    *runTimes
	buffered    atomic.Int64

	mu       sync.Mutex
	draining bool
	calls    map[*call]struct{}
	held     map[dispatch.GrantID]*heldGrant
	// idle is closed when the origin is draining and no call is in flight.
	idle chan struct{}
}

// New returns an origin. The Control, Records and Slots fields of cfg must be set.
func New(cfg Config) *Origin {
	cfg.setDefaults()
	return &Origin{
		cfg:         cfg,
		client:      newClient(cfg.Limits),
		retryBudget: newRetryBudget(cfg.Retry),
		runTimes:    newRunTimes(),
		calls:       make(map[*call]struct{}),
		held:        make(map[dispatch.GrantID]*heldGrant),
		idle:        make(chan struct{}),
	}
}

// Close closes idle connections to endpoints. Call it after Drain.
func (o *Origin) Close() { o.client.close() }

// FreshID returns a request ID for a caller to use.
func (o *Origin) FreshID() string { return o.cfg.Records.IssueID() }

// Handle handles one request. ctx is canceled when the caller disconnects; the
// response to an attempt that has already been sent is still read.
func (o *Origin) Handle(ctx context.Context, r *Request) *Result {
	c := &call{o: o, r: r}
	if p := c.admit(); p != nil {
		return c.rejectUnadmitted(ctx, p)
	}
	if p := o.addCall(c); p != nil {
		return c.rejectBeforeBegin(ctx, p)
	}
	defer o.removeUnlessAbandoned(c)
	if p := c.readBody(); p != nil {
		return c.rejectBeforeBegin(ctx, p)
	}
	defer o.buffered.Add(-c.reserved)
	o.cfg.Metrics.Accepted(r.Queue)
	return c.decide(ctx)
}

// addCall registers a call. It returns a problem if the origin is draining or at
// its limit of requests in flight.
func (o *Origin) addCall(c *call) *api.Problem {
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

func (o *Origin) removeUnlessAbandoned(c *call) {
	if !c.abandoned {
		o.removeCall(c)
	}
}

func (o *Origin) removeCall(c *call) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.calls, c)
	o.signalIdle()
}

// signalIdle closes idle if the origin is draining and has no calls in flight.
// The caller must hold o.mu.
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

// reserve reserves n bytes for request bodies. It reports false if this would
// exceed MaxBufferedBytes.
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
