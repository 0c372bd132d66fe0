package origin

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"magnoliastand.example/api"
	"magnoliastand.example/dispatch"
	"magnoliastand.example/dispatch/record"
)

// ErrArbiterLost is the cause of a SlotSource error when the connection to the
// arbiter was lost before it decided. The origin asks again.
var ErrArbiterLost = errors.New("arbiter lost")

// ErrKeyInvalid is the cause of a Control error for an invalid key.
var ErrKeyInvalid = errors.New("key invalid")

// SlotSource requests slots from an arbiter. It must be safe for concurrent use.
type SlotSource interface {
	// Ask returns a grant, a *dispatch.Refusal, ErrArbiterLost or ctx.Err(). A
	// grant that arrives after ctx is done must be released as unused by the
	// SlotSource.
	Ask(ctx context.Context, ask dispatch.Ask) (dispatch.Grant, error)
	// Release returns a grant to its arbiter. It must not block on the network.
	Release(r dispatch.Release)
}

// QueueInfo is a queue together with the settings of its service.
type QueueInfo struct {
	Queue      api.Queue
	Service    string
	LongestRun time.Duration
}

// Control provides the configuration in force at this daemon. It must be safe
// for concurrent use and must not block on I/O.
type Control interface {
	// Authorize returns the team of a key, or an error with cause ErrKeyInvalid.
	Authorize(key string) (team string, err error)
	Queue(name string) (QueueInfo, bool)
	// Fresh reports whether a control quorum confirmed the configuration within
	// the freshness window.
	Fresh() bool
}

// Records decides whether a request may start. It is implemented by
// *record.Service.
type Records interface {
	IssueID() string
	NewInternalID() string
	HomeOf(id string) string
	Begin(ctx context.Context, c *record.Claim) record.Decision
	MayRefuse(ctx context.Context, c *record.Claim) bool
	ConfirmUnseen(ctx context.Context, c *record.Claim) bool
	Await(ctx context.Context, c *record.Claim, d time.Duration) record.Decision
	Finish(ctx context.Context, c *record.Claim, result record.Result, answer *record.Answer)
}

// Metrics receives request events. It must be safe for concurrent use and must
// not block.
type Metrics interface {
	Accepted(queue string)
	// Ended is called once for each accepted or refused request. code is empty
	// if the caller receives an endpoint's response.
	Ended(queue string, run api.Run, code api.Code, latency time.Duration)
	// Attempted is called once for each attempt to send a request to an endpoint.
	Attempted(queue string, outcome dispatch.Outcome, elapsed time.Duration)
}

// NoMetrics discards all events.
type NoMetrics struct{}

// Accepted implements Metrics.
func (NoMetrics) Accepted(string) {}

// Ended implements Metrics.
func (NoMetrics) Ended(string, api.Run, api.Code, time.Duration) {}

// Attempted implements Metrics.
func (NoMetrics) Attempted(string, dispatch.Outcome, time.Duration) {}

// Limits bounds the resources used by an origin. Zero fields take defaults.
type Limits struct {
	// MaxInFlight bounds the number of requests handled concurrently.
	MaxInFlight int
	// MaxBufferedBytes bounds the total size of buffered request bodies.
	MaxBufferedBytes int64
	// MaxResponseBytes bounds the body of an endpoint's response.
	MaxResponseBytes int64
	// BodyTimeout bounds the time to read a request body from a caller.
	BodyTimeout time.Duration
	// WriteTimeout bounds the time to write a response to a caller.
	WriteTimeout time.Duration
	// DialTimeout bounds the time to connect to an endpoint.
	DialTimeout time.Duration
	// ConnsPerEndpoint and IdleConnsPerEndpoint bound this origin's connections
	// to one endpoint. The idle connections of all daemons plus the endpoint's
	// slots must stay below the number of connections the endpoint accepts.
	ConnsPerEndpoint     int
	IdleConnsPerEndpoint int
}

// Defaults of Limits and queues.
const (
	DefaultMaxInFlight          = 8192
	DefaultMaxBufferedBytes     = 64 << 20
	DefaultMaxResponseBytes     = 8 << 20
	DefaultBodyTimeout          = 10 * time.Second
	DefaultWriteTimeout         = 30 * time.Second
	DefaultDialTimeout          = 1 * time.Second
	DefaultConnsPerEndpoint     = 8
	DefaultIdleConnsPerEndpoint = 4
	DefaultMaxBodyBytes         = 1 << 20
	DefaultMaxWait              = 10 * time.Second
	DefaultLongestRun           = 60 * time.Second

	// idleConnTimeout is how long an unused connection to an endpoint stays open.
	idleConnTimeout = 15 * time.Second
	// maxResponseHeaderBytes bounds the header of an endpoint's response.
	maxResponseHeaderBytes = 32 << 10
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 4
	// maxLostAttempts bounds the attempts of one id that get no whole answer, over
	// all calls that send it one after another. A request may crash the endpoints
	// that run it.
	maxLostAttempts = 6
	// maxJoinWaits bounds how often a call waits for another attempt with the
	// same request ID.
	maxJoinWaits = 4
)

// Retry is the retry policy.
type Retry struct {
	// Ratio is the number of retries that each first attempt adds to the budget.
	Ratio float64
	// Burst is the capacity of the retry budget, in retries.
	Burst float64
	// BackoffBase is the mean delay before the second attempt. The mean doubles
	// with each attempt up to BackoffMax. Each delay is drawn uniformly from 0.5
	// to 1.5 times the mean.
	BackoffBase time.Duration
	BackoffMax  time.Duration
}

// DefaultRetry returns the default retry policy.
func DefaultRetry() Retry {
	return Retry{Ratio: 0.1, Burst: 50, BackoffBase: 10 * time.Millisecond, BackoffMax: 500 * time.Millisecond}
}

// Config configures an Origin.
type Config struct {
	Self    dispatch.DaemonID
	Zone    string
	Control Control
	Records Records
	Slots   SlotSource
	Metrics Metrics
	Limits  Limits
	Retry   Retry
}

func (c *Config) setDefaults() {
	if c.Metrics == nil {
		c.Metrics = NoMetrics{}
	}
	if c.Retry == (Retry{}) {
		c.Retry = DefaultRetry()
	}
	l := &c.Limits
	l.MaxInFlight = orDefault(l.MaxInFlight, DefaultMaxInFlight)
	l.MaxBufferedBytes = orDefault(l.MaxBufferedBytes, DefaultMaxBufferedBytes)
	l.MaxResponseBytes = orDefault(l.MaxResponseBytes, DefaultMaxResponseBytes)
	l.BodyTimeout = orDefault(l.BodyTimeout, DefaultBodyTimeout)
	l.WriteTimeout = orDefault(l.WriteTimeout, DefaultWriteTimeout)
	l.DialTimeout = orDefault(l.DialTimeout, DefaultDialTimeout)
	l.ConnsPerEndpoint = orDefault(l.ConnsPerEndpoint, DefaultConnsPerEndpoint)
	l.IdleConnsPerEndpoint = orDefault(l.IdleConnsPerEndpoint, DefaultIdleConnsPerEndpoint)
}

func orDefault[T ~int | ~int64](v, def T) T {
	if v > 0 {
		return v
	}
	return def
}
