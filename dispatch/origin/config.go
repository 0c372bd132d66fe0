package origin

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"magnoliastand.example/api"
	"magnoliastand.example/dispatch"
	"magnoliastand.example/dispatch/record"
)

// ErrArbiterLost is the cause of a SlotSource's error when the arbiter went
// away before it decided. The origin asks again.
var ErrArbiterLost = errors.New("arbiter lost")

// ErrKeyInvalid is the cause of a Control's error for a key that is not valid.
var ErrKeyInvalid = errors.New("key invalid")

// SlotSource carries asks to an arbiter. It must be safe for concurrent use.
type SlotSource interface {
	// Ask returns a grant, a *dispatch.Refusal, ErrArbiterLost, or the error of
	// ctx. A grant that arrives after ctx ended is the source's to release unused.
	Ask(ctx context.Context, ask dispatch.Ask) (dispatch.Grant, error)
	// Release returns a grant. It must not block on the network.
	Release(r dispatch.Release)
}

// QueueInfo is a queue with what its service says about it.
type QueueInfo struct {
	Queue      api.Queue
	Service    string
	LongestRun time.Duration
}

// Control is the configuration in force at this daemon. It must be safe for
// concurrent use and answer from memory.
type Control interface {
	// Authorize returns the team of a key, or an error with cause ErrKeyInvalid.
	Authorize(key string) (team string, err error)
	Queue(name string) (QueueInfo, bool)
	// Fresh reports whether a control quorum vouched for the configuration
	// within the freshness window.
	Fresh() bool
}

// Records decides about starts; *record.Service implements it.
type Records interface {
	Fresh() string
	Own() string
	HomeOf(id string) string
	Begin(ctx context.Context, c *record.Claim) record.Decision
	MayRefuse(ctx context.Context, c *record.Claim) bool
	Unseen(ctx context.Context, c *record.Claim) bool
	Await(ctx context.Context, c *record.Claim, d time.Duration) record.Decision
	Finish(ctx context.Context, c *record.Claim, result record.Result, answer *record.Answer)
}

// Metrics receives counts. It must be safe for concurrent use and not block.
type Metrics interface {
	Accepted(queue string)
	// Ended is called once for each accepted or refused request. The code is
	// empty for answers.
	Ended(queue string, run api.Run, code api.Code, latency time.Duration)
	// Attempted is called once for each attempt that went to an endpoint.
	Attempted(queue string, outcome dispatch.Outcome, elapsed time.Duration)
}

// NoMetrics discards all counts.
type NoMetrics struct{}

// Accepted implements Metrics.
func (NoMetrics) Accepted(string) {}

// Ended implements Metrics.
func (NoMetrics) Ended(string, api.Run, api.Code, time.Duration) {}

// Attempted implements Metrics.
func (NoMetrics) Attempted(string, dispatch.Outcome, time.Duration) {}

// Limits bounds an origin. Zero values mean the defaults.
type Limits struct {
	// MaxInFlight bounds requests handled at once.
	MaxInFlight int
	// MaxBufferedBytes bounds request bodies held at once.
	MaxBufferedBytes int64
	// MaxAnswerBytes bounds the body of an endpoint's answer.
	MaxAnswerBytes int64
	// BodyTimeout bounds the time to read a request body from a caller.
	BodyTimeout time.Duration
	// WriteTimeout bounds the time to write an answer to a caller.
	WriteTimeout time.Duration
	// DialTimeout bounds a connect to an endpoint.
	DialTimeout time.Duration
	// ConnsPerEndpoint and IdleConnsPerEndpoint bound this origin's connections
	// to one endpoint. The idle ones of all daemons plus the endpoint's slots
	// must stay below the connections that the endpoint accepts.
	ConnsPerEndpoint     int
	IdleConnsPerEndpoint int
}

// Defaults of Limits and queues.
const (
	DefaultMaxInFlight          = 8192
	DefaultMaxBufferedBytes     = 64 << 20
	DefaultMaxAnswerBytes       = 8 << 20
	DefaultBodyTimeout          = 10 * time.Second
	DefaultWriteTimeout         = 30 * time.Second
	DefaultDialTimeout          = 1 * time.Second
	DefaultConnsPerEndpoint     = 8
	DefaultIdleConnsPerEndpoint = 4
	DefaultMaxBodyBytes         = 1 << 20
	DefaultMaxWait              = 10 * time.Second
	DefaultLongestRun           = 60 * time.Second

	// idleConnTimeout closes unused connections to endpoints.
	idleConnTimeout = 15 * time.Second
	// maxAnswerHeaderBytes bounds the header of an endpoint's answer.
	maxAnswerHeaderBytes = 32 << 10
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 4
	// maxJoins bounds how often a call waits for another attempt of its id.
	maxJoins = 4
)

// Retry is the policy for further attempts of one request.
type Retry struct {
	// Ratio is the number of retries that each first attempt pays for.
	Ratio float64
	// Burst bounds the retries saved up.
	Burst float64
	// BackoffBase is the mean pause before the second attempt; it doubles up to
	// BackoffMax. Each pause is drawn from half to one and a half of the mean.
	BackoffBase time.Duration
	BackoffMax  time.Duration
}

// DefaultRetry returns the default policy.
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
	l.MaxInFlight = orInt(l.MaxInFlight, DefaultMaxInFlight)
	l.MaxBufferedBytes = orInt(l.MaxBufferedBytes, DefaultMaxBufferedBytes)
	l.MaxAnswerBytes = orInt(l.MaxAnswerBytes, DefaultMaxAnswerBytes)
	l.BodyTimeout = orInt(l.BodyTimeout, DefaultBodyTimeout)
	l.WriteTimeout = orInt(l.WriteTimeout, DefaultWriteTimeout)
	l.DialTimeout = orInt(l.DialTimeout, DefaultDialTimeout)
	l.ConnsPerEndpoint = orInt(l.ConnsPerEndpoint, DefaultConnsPerEndpoint)
	l.IdleConnsPerEndpoint = orInt(l.IdleConnsPerEndpoint, DefaultIdleConnsPerEndpoint)
}

func orInt[T ~int | ~int64](v, def T) T {
	if v > 0 {
		return v
	}
	return def
}
