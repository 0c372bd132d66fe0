package worker

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"magnoliastand.example/api"
	"magnoliastand.example/clock"
	"magnoliastand.example/jobs"
	"magnoliastand.example/jobs/httpapi"
)

const (
	// tickInterval is how often a worker looks at its tasks and its lease.
	tickInterval = 10 * time.Millisecond
	// callMargin is how much longer than its wait a heartbeat may take.
	callMargin = 5 * time.Second
	// retryDelay is the time between a failed call and the next.
	retryDelay = 50 * time.Millisecond
)

// errCrashed means that the process ended during a call.
var errCrashed = errors.New("the process has ended")

// Config describes a worker.
type Config struct {
	// URL is the base URL of the interface for workers, such as "http://10.0.0.1:8080".
	URL string
	// Key is the worker's key; empty sends none.
	Key         string
	ID          string
	Zone        string
	Rack        string
	Pool        string
	Incarnation string
	Capacity    jobs.Size
	Slots       int
	Behaviour   Behaviour
	// Wait is how long a heartbeat waits for commands.
	Wait time.Duration
	// Clock is a monotonic clock that advances while the machine is suspended; nil means that
	// of the machine.
	Clock func() time.Duration
}

// Worker is a stand-in worker. It is safe for concurrent use.
type Worker struct {
	cfg    Config
	client *http.Client

	mu      sync.Mutex
	core    *core
	frozen  time.Duration
	leaving bool
}

// New returns a worker that does nothing until Run.
func New(cfg Config) *Worker {
	if cfg.Clock == nil {
		start := clock.Now()
		cfg.Clock = func() time.Duration { return clock.Since(start) }
	}
	return &Worker{cfg: cfg, client: &http.Client{Transport: &http.Transport{}}, core: newCore(cfg.Behaviour)}
}

// Run serves until the context ends. Tasks that still run then are dropped, as
// by a process that is killed.
func (w *Worker) Run(ctx context.Context) {
	defer w.client.CloseIdleConnections()
	var wg sync.WaitGroup
	wg.Go(func() { w.loop(ctx, w.beat) })
	wg.Go(func() { w.loop(ctx, w.post) })
	wg.Wait()
}

// loop calls step until the context ends, and later after a failure. A frozen
// worker does nothing.
func (w *Worker) loop(ctx context.Context, step func(context.Context) error) {
	for ctx.Err() == nil {
		delay := time.Duration(0)
		if w.isFrozen() {
			delay = tickInterval
		} else if err := step(ctx); err != nil {
			delay = retryDelay
		}
		sleep(ctx, delay)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	if d == 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// Freeze stops the worker for a time of its clock, as a process that gets no
// processor.
func (w *Worker) Freeze(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.frozen = w.cfg.Clock() + d
}

// Leave makes the worker announce that it leaves.
func (w *Worker) Leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = true
}

func (w *Worker) isFrozen() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cfg.Clock() < max(w.frozen, w.core.down)
}

// Stats returns what the worker did so far.
func (w *Worker) Stats() Stats {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.core.stats
	s.Starts = maps.Clone(s.Starts)
	s.Running = w.core.running()
	return s
}

// beat sends one heartbeat and carries out the commands of its answer.
func (w *Worker) beat(ctx context.Context) error {
	hb := httpapi.Heartbeat{
		Zone: w.cfg.Zone, Rack: w.cfg.Rack, Pool: w.cfg.Pool, Capacity: w.cfg.Capacity, Slots: w.cfg.Slots,
		Incarnation: w.cfg.Incarnation, Wait: api.Duration(w.cfg.Wait),
	}
	w.mu.Lock()
	sent := w.cfg.Clock()
	hb.Leaving = w.leaving
	w.core.heartbeat(sent, &hb)
	epoch, life := w.core.leaseEpoch, w.core.stats.Crashes
	hb.LeaseEpoch = &epoch
	if life > 0 {
		hb.Incarnation += "." + strconv.Itoa(life)
	}
	down := sent < w.core.down
	w.mu.Unlock()
	if down {
		return errCrashed
	}
	ctx, cancel := context.WithTimeout(ctx, w.cfg.Wait+callMargin)
	defer cancel()
	var reply httpapi.HeartbeatReply
	if err := w.call(ctx, http.MethodPut, w.path(), hb, &reply); err != nil {
		return err
	}
	for w.isFrozen() && ctx.Err() == nil {
		sleep(ctx, tickInterval)
	}
	w.mu.Lock()
	if w.core.stats.Crashes != life {
		w.mu.Unlock()
		return errCrashed
	}
	checkpoints := w.core.reply(sent, w.cfg.Clock(), &reply)
	epochs := map[string]uint64{}
	for _, id := range checkpoints {
		epochs[id] = w.core.tasks[id].epoch
	}
	w.mu.Unlock()
	return w.postCheckpoints(ctx, checkpoints, epochs)
}

func (w *Worker) postCheckpoints(ctx context.Context, ids []string, epochs map[string]uint64) error {
	for _, id := range ids {
		body := httpapi.TaskOutcome{Epoch: epochs[id], Outcome: httpapi.OutcomeCheckpointed, Reference: []byte("checkpoint of " + w.cfg.ID)}
		if err := w.call(ctx, http.MethodPost, w.taskPath(id), body, nil); err != nil {
			return err
		}
	}
	return nil
}

// post ends due tasks and posts the outcomes that are not acknowledged.
func (w *Worker) post(ctx context.Context) error {
	w.mu.Lock()
	w.core.tick(w.cfg.Clock())
	ended := w.core.ended()
	w.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(ended)) {
		o := ended[id]
		err := w.call(ctx, http.MethodPost, w.taskPath(id), o, nil)
		var refused *refusal
		if err != nil && !errors.As(err, &refused) {
			return err
		}
		w.mu.Lock()
		w.core.forget(id, o.Epoch)
		w.mu.Unlock()
	}
	sleep(ctx, tickInterval)
	return nil
}
