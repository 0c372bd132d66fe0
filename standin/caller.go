package standin

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

// IDMode tells where a Caller takes request ids from.
type IDMode string

// Modes of request ids.
const (
	// IDNone sends no id, and never resends.
	IDNone IDMode = "none"
	// IDHome asks a daemon for an id before each request.
	IDHome IDMode = "home"
	// IDOwn makes ids up.
	IDOwn IDMode = "own"
)

// Defaults of CallerConfig.
const (
	DefaultCallTimeout    = 30 * time.Second
	DefaultMaxSends       = 4
	DefaultMaxOutstanding = 2048
	DefaultResendPause    = 50 * time.Millisecond

	lowestLatency    = 1 * time.Microsecond
	highestLatency   = 10 * time.Minute
	latencyPrecision = 3 // significant digits
)

// Stream is a share of a Caller's requests.
type Stream struct {
	Queue string
	// Key is the team key; empty on open queues.
	Key string
	// Idempotent tells what the queue promises; the ledger checks accordingly.
	Idempotent bool
	// Weight is the stream's share of the arrivals, relative to the others.
	Weight float64
	// BodyBytes is the size of the request bodies.
	BodyBytes int
}

// CallerConfig configures a Caller. Zero values mean the defaults.
type CallerConfig struct {
	// Daemons lists "IP:port" of the daemons; each request starts at a random one.
	Daemons []string
	// Direct means that Daemons lists stand-in endpoints, which are called
	// without any daemon, for comparison. IDs must then be IDOwn.
	Direct  bool
	Streams []Stream
	IDs     IDMode
	// Rate is the mean number of arrivals a second, at random times that do not
	// depend on answers.
	Rate     float64
	Duration time.Duration
	// Timeout is sent as Request-Timeout if positive.
	Timeout time.Duration
	// CallTimeout bounds one send; after that the answer counts as lost.
	CallTimeout time.Duration
	// MaxSends bounds how often one id is sent when answers are lost.
	MaxSends int
	// ResendRefused also resends requests that were refused as not run.
	ResendRefused  bool
	ResendPause    time.Duration
	MaxOutstanding int
	Seed           uint64
}

func (c *CallerConfig) setDefaults() {
	if c.IDs == "" {
		c.IDs = IDNone
	}
	if c.CallTimeout == 0 {
		c.CallTimeout = DefaultCallTimeout
	}
	if c.MaxSends == 0 {
		c.MaxSends = DefaultMaxSends
	}
	if c.MaxOutstanding == 0 {
		c.MaxOutstanding = DefaultMaxOutstanding
	}
	if c.ResendPause == 0 {
		c.ResendPause = DefaultResendPause
	}
}

func (c *CallerConfig) check() error {
	total := 0.0
	for _, s := range c.Streams {
		total += s.Weight
	}
	switch {
	case len(c.Daemons) == 0:
		return errors.New("caller: no daemons")
	case total <= 0:
		return errors.New("caller: the weights of the streams sum to nothing")
	case c.Direct && c.IDs != IDOwn:
		return errors.New("caller: direct calls need ids of the caller's own")
	case c.Rate <= 0:
		return errors.New("caller: the rate is not positive")
	default:
		return nil
	}
}

// Caller generates load in an open loop.
type Caller struct {
	cfg    CallerConfig
	client *http.Client

	mu       sync.Mutex
	rng      *rand.Rand
	outcomes []Outcome
	latency  *hdrhistogram.Histogram
	skipped  int
}

// NewCaller returns a caller, or an error for an unusable configuration.
func NewCaller(cfg CallerConfig) (*Caller, error) {
	cfg.setDefaults()
	if err := cfg.check(); err != nil {
		return nil, err
	}
	return &Caller{
		cfg: cfg,
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: cfg.MaxOutstanding,
			DisableCompression:  true,
		}},
		rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		latency: hdrhistogram.New(lowestLatency.Microseconds(), highestLatency.Microseconds(),
			latencyPrecision),
	}, nil
}

// Report is what a Caller's run gave.
type Report struct {
	Outcomes []Outcome
	// Latency holds the time from arrival to the last answer of answered
	// requests, in microseconds.
	Latency *hdrhistogram.Histogram
	// Skipped counts arrivals dropped because MaxOutstanding was reached.
	Skipped int
	Elapsed time.Duration
}

// Run generates arrivals for the configured duration, or until ctx ends, and
// returns after the last request has ended. Call it once.
func (c *Caller) Run(ctx context.Context) *Report {
	start := time.Now()
	defer c.client.CloseIdleConnections()
	slots := make(chan struct{}, c.cfg.MaxOutstanding)
	var wg sync.WaitGroup
	next := start
	for n := 0; ; n++ {
		next = next.Add(c.interval())
		if next.Sub(start) > c.cfg.Duration || !sleepUntil(ctx, next) {
			break
		}
		arrival := c.draw(n, next)
		select {
		case slots <- struct{}{}:
			wg.Go(func() {
				c.note(c.send(ctx, arrival))
				<-slots
			})
		default:
			c.mu.Lock()
			c.skipped++
			c.mu.Unlock()
		}
	}
	wg.Wait()
	return c.report(time.Since(start))
}

// arrival is one request to be sent.
type arrival struct {
	stream Stream
	id     string
	body   []byte
	at     time.Time
	// first is the index of the daemon that it is sent to first.
	first int
}

func (c *Caller) interval() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.rng.ExpFloat64() / c.cfg.Rate * float64(time.Second))
}

func (c *Caller) draw(n int, at time.Time) arrival {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := arrival{stream: c.pick(), at: at, first: c.rng.IntN(len(c.cfg.Daemons))}
	a.body = make([]byte, a.stream.BodyBytes)
	for i := range a.body {
		a.body[i] = byte(c.rng.Uint32())
	}
	if c.cfg.IDs == IDOwn {
		a.id = "caller-" + strconv.FormatUint(c.cfg.Seed, 10) + "-" + randomName() + "-" + strconv.Itoa(n)
	}
	return a
}

func (c *Caller) pick() Stream {
	total := 0.0
	for _, s := range c.cfg.Streams {
		total += s.Weight
	}
	x := c.rng.Float64() * total
	for _, s := range c.cfg.Streams {
		if x < s.Weight {
			return s
		}
		x -= s.Weight
	}
	return c.cfg.Streams[len(c.cfg.Streams)-1]
}

func (c *Caller) note(o Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
	if o.Kind == OutcomeAnswered {
		// Values past the bounds are clamped; the error cannot occur then.
		us := min(max(o.Latency, lowestLatency), highestLatency).Microseconds()
		_ = c.latency.RecordValue(us)
	}
}

func (c *Caller) report(elapsed time.Duration) *Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &Report{Outcomes: c.outcomes, Latency: c.latency, Skipped: c.skipped, Elapsed: elapsed}
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
