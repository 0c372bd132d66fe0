package standin

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"magnoliastand.example/api"
)

// Defaults of EndpointConfig.
const (
	DefaultSlots       = 8
	DefaultConnections = 64
	DefaultRenewEvery  = 1 * time.Second
	// LeaveGrace is how long after announcing "leaving" an endpoint may still
	// receive new work.
	LeaveGrace = 2 * time.Second

	maxRequestBytes   = 64 << 20
	readHeaderTimeout = 10 * time.Second
)

// EndpointConfig configures an Endpoint. Zero values mean the defaults.
type EndpointConfig struct {
	ID       string
	Service  string
	Instance string
	// Incarnation differs at each start; empty means a random one.
	Incarnation string
	// Listen is the "IP:port" to listen on; empty means a free port of 127.0.0.1.
	Listen string
	// Daemons lists "IP:port" of the daemons to announce to, in order of
	// preference. Empty means that the endpoint does not announce itself.
	Daemons []string
	// Slots is how many requests run at once; more are refused as not run.
	Slots int
	// Connections is how many connections are accepted; more are closed.
	Connections int
	RenewEvery  time.Duration
	RunTime     Delay
	// AnswerBytes is the size of an answer's body; it is at least what proves
	// whose answer it is.
	AnswerBytes int
	// Seed makes run times and faults repeatable.
	Seed uint64
	// Meter, if set, counts the running requests of teams over several endpoints.
	Meter *TeamMeter
}

func (c *EndpointConfig) setDefaults() {
	if c.Listen == "" {
		c.Listen = "127.0.0.1:0"
	}
	if c.Slots == 0 {
		c.Slots = DefaultSlots
	}
	if c.Connections == 0 {
		c.Connections = DefaultConnections
	}
	if c.RenewEvery == 0 {
		c.RenewEvery = DefaultRenewEvery
	}
	if c.Incarnation == "" {
		c.Incarnation = randomName()
	}
}

// EndpointStats counts what an endpoint saw.
type EndpointStats struct {
	Accepted   int64 `json:"accepted"`
	Refused    int64 `json:"refused"`
	OverSlot   int64 `json:"over_slot"`
	MaxRunning int   `json:"max_running"`
	// OverConnections counts connections beyond the bound.
	OverConnections int64 `json:"over_connections"`
	MaxConnections  int   `json:"max_connections"`
	// AfterLeave counts requests that arrived later than LeaveGrace after
	// "leaving" was announced.
	AfterLeave int64 `json:"after_leave"`
	Announced  int64 `json:"announced"`
	// AnnounceFailed counts announcements that no daemon took.
	AnnounceFailed int64 `json:"announce_failed"`
}

// RunCount tells how often an endpoint ran a request id.
type RunCount struct {
	ID string `json:"id"`
	// Queue is the queue of the first run.
	Queue string `json:"queue"`
	Runs  int    `json:"runs"`
}

// Endpoint is a stand-in endpoint. It is safe for concurrent use.
type Endpoint struct {
	cfg      EndpointConfig
	listener *countingListener
	server   *http.Server
	done     chan struct{}
	wg       sync.WaitGroup

	mu      sync.Mutex
	rng     *rand.Rand
	faults  Faults
	runs    map[string]*RunCount
	running int
	stats   EndpointStats
	state   api.EndpointState
	leftAt  time.Time // when "leaving" was acknowledged by a daemon
}

// StartEndpoint starts an endpoint that listens and announces itself until
// Close.
func StartEndpoint(ctx context.Context, cfg EndpointConfig) (*Endpoint, error) {
	cfg.setDefaults()
	var lc net.ListenConfig
	inner, err := lc.Listen(ctx, "tcp", cfg.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "endpoint %s", cfg.ID)
	}
	e := &Endpoint{
		cfg:   cfg,
		done:  make(chan struct{}),
		rng:   rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		runs:  make(map[string]*RunCount),
		state: api.EndpointReady,
	}
	e.listener = &countingListener{Listener: inner, endpoint: e, limit: cfg.Connections}
	e.server = &http.Server{Handler: e.routes(), ReadHeaderTimeout: readHeaderTimeout}
	// Serve returns when Close closes the listener.
	e.wg.Go(func() { _ = e.server.Serve(e.listener) })
	if len(cfg.Daemons) > 0 {
		e.wg.Go(e.announceUntilClosed)
	}
	return e, nil
}

// Address returns the "IP:port" that the endpoint listens on.
func (e *Endpoint) Address() string { return e.listener.Addr().String() }

// Incarnation returns the incarnation that the endpoint announces.
func (e *Endpoint) Incarnation() string { return e.cfg.Incarnation }

// Close ends the endpoint at once, as a crash would: running requests are cut.
func (e *Endpoint) Close() {
	close(e.done)
	_ = e.server.Close()
	e.wg.Wait()
}

// SetFaults switches faults.
func (e *Endpoint) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Stats returns what the endpoint saw so far.
func (e *Endpoint) Stats() EndpointStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// RunsOf returns how often id ran.
func (e *Endpoint) RunsOf(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r := e.runs[id]; r != nil {
		return r.Runs
	}
	return 0
}

// Runs returns how often each id ran, in no order.
func (e *Endpoint) Runs() []RunCount {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := make([]RunCount, 0, len(e.runs))
	for _, r := range e.runs {
		all = append(all, *r)
	}
	return all
}

func (e *Endpoint) serveRequest(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(io.LimitReader(req.Body, maxRequestBytes))
	if err != nil {
		return
	}
	id := req.Header.Get(api.HeaderRequestID)
	queue := req.Header.Get(api.HeaderQueue)
	p, accepted := e.accept(id, queue)
	if !accepted {
		refuse(w, id)
		return
	}
	defer e.end()
	team := req.Header.Get(api.HeaderTeam)
	e.cfg.Meter.start(team)
	defer e.cfg.Meter.end(team)
	if !e.run(req.Context(), p) {
		return
	}
	answered := p.fault.answeredID(id)
	p.fault.write(w, answered, Answer(answered, queue, body, e.cfg.AnswerBytes))
}

// accept counts a run and draws what will happen to it, or refuses it.
func (e *Endpoint) accept(id, queue string) (plan, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.leftAt.IsZero() && time.Since(e.leftAt) > LeaveGrace {
		e.stats.AfterLeave++
	}
	if e.running >= e.cfg.Slots {
		e.stats.OverSlot++
		e.stats.Refused++
		return plan{}, false
	}
	p := plan{fault: e.faults.draw(e.rng), runTime: e.cfg.RunTime.draw(e.rng)}
	if p.fault == faultRefuse {
		e.stats.Refused++
		return plan{}, false
	}
	if p.fault == faultLate {
		p.runTime += e.faults.LateBy.Std()
	}
	e.running++
	e.stats.MaxRunning = max(e.stats.MaxRunning, e.running)
	e.stats.Accepted++
	e.countRun(id, queue)
	return p, true
}

// countRun must be called with the lock held.
func (e *Endpoint) countRun(id, queue string) {
	r := e.runs[id]
	if r == nil {
		r = &RunCount{ID: id, Queue: queue}
		e.runs[id] = r
	}
	r.Runs++
}

func (e *Endpoint) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

// run takes the run time. It reports false if there is no answer to write.
func (e *Endpoint) run(ctx context.Context, p plan) bool {
	if p.fault == faultHang {
		select {
		case <-ctx.Done():
		case <-e.done:
		}
		return false
	}
	if p.runTime <= 0 {
		return true
	}
	timer := time.NewTimer(p.runTime)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-e.done:
		return false
	}
}

func refuse(w http.ResponseWriter, id string) {
	w.Header().Set(api.HeaderRequestID, id)
	w.Header().Set(api.HeaderRun, string(api.RunNot))
	w.WriteHeader(http.StatusServiceUnavailable)
}
