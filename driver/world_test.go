package driver_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"magnoliastand.example/driver"
	"magnoliastand.example/platform"
	"magnoliastand.example/platform/platformtest"
	"magnoliastand.example/workload"
)

// memoryLog commits at once and is led by one term at a time.
type memoryLog struct {
	mu    sync.Mutex
	term  uint64
	state *workload.State
}

// termLog is the log as the leader of one term sees it: it commits nothing once
// another term has begun.
type termLog struct {
	*memoryLog
	own uint64
}

func (l *termLog) Propose(_ context.Context, data []byte) ([]error, error) {
	b, err := workload.DecodeBatch(data)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term != l.own {
		return nil, errors.New("another daemon leads")
	}
	return l.state.Apply(b), nil
}

func (l *memoryLog) Leads(term uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term == term
}

func (l *memoryLog) read(f func(*workload.State)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l.state)
}

// world is a driver with its surroundings.
type world struct {
	t        *testing.T
	log      *memoryLog
	client   *platform.Client
	metrics  *driver.Metrics
	control  *httptest.Server
	machines string
	// advisor answers for the queue "advised"; nil is none.
	advisor fakeAdvisor
	// ticket is what the workers want with each start.
	ticket string

	// lease is the longest lease of workers started from now on, and of drivers.
	lease time.Duration
	// orders carries orders to the workers.
	orders platform.Workers
	// harm, if set, replaces the outcome of a start, whose number it gets.
	harm func(attempt int64, err error) error

	mu      sync.Mutex
	starts  int64
	driver  *driver.Driver
	workers map[string]*platformtest.Worker
	all     []*platformtest.Worker
	stop    context.CancelFunc
	done    chan struct{}
}

const document = `{"version":1,"routes":[
 {"name":"q","host":"h","path_prefix":"/q/","service":"p","timeout_ms":3000,"target_latency_ms":600,"max_attempts":3,"stretch":2,"public":true},
 {"name":"advised","host":"h","path_prefix":"/advised/","service":"p","timeout_ms":3000,"target_latency_ms":600,"max_attempts":3,
 "stretch":2,"public":true,"advice":{"decide_ms":1,"period_ms":1,"valid_ms":1000}}],
 "services":[{"name":"p"},{"name":"spare","standby":true}],"tenants":[]}`

const (
	maxLease = 900 * time.Millisecond
	announce = 100 * time.Millisecond
)

func newWorld(t *testing.T) *world {
	t.Helper()
	w := &world{
		t: t, log: &memoryLog{state: workload.New(platform.DecodeDocument)}, client: platform.NewClient(),
		metrics: driver.NewMetrics(prometheus.NewRegistry()), workers: map[string]*platformtest.Worker{}, lease: maxLease,
	}
	w.orders = harmedWorkers{w.client, w}
	t.Cleanup(w.client.Close)
	w.control = httptest.NewServer(platform.NewControl(w))
	t.Cleanup(w.control.Close)
	return w
}

// lead starts a driver in the next term; an older one is left to find out.
func (w *world) lead() {
	w.t.Helper()
	w.log.mu.Lock()
	w.log.term++
	term := w.log.term
	data, err := w.log.state.Snapshot()
	w.log.mu.Unlock()
	state := workload.New(platform.DecodeDocument)
	if err != nil || state.Restore(data) != nil {
		w.t.Fatal("state not copied")
	}
	d := driver.New(driver.Config{
		Name: fmt.Sprint("d", term), Term: term, State: state, Log: &termLog{w.log, term}, Workers: w.orders, Advisor: w.advisor, AdviceAddress: "advice",
		Instances: w.client, MachineAddress: w.machines, Metrics: w.metrics, Logger: zerolog.Nop(),
		Timing: driver.Timing{
			MaxLease: w.lease, Announce: announce, KeepFinished: time.Minute, Migrate: 200 * time.Millisecond,
			Maintain: 200 * time.Millisecond, Pace: 100 * time.Millisecond,
		},
	})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); d.Run(ctx) }()
	w.t.Cleanup(func() { stop(); <-done })
	w.mu.Lock()
	w.driver, w.stop, w.done = d, stop, done
	w.mu.Unlock()
}

// fakeAdvisor gives tickets.
type fakeAdvisor func(workers []string) (map[string]string, error)

func (f fakeAdvisor) Advise(_ context.Context, _ string, _ workload.TaskRef, workers []string) (map[string]string, error) {
	return f(workers)
}

// harmedWorkers carries starts out and replaces their outcome.
type harmedWorkers struct {
	*platform.Client
	w *world
}

func (h harmedWorkers) Start(ctx context.Context, e platform.Endpoint, o *platform.StartOrder) (workload.Millis, error) {
	h.w.mu.Lock()
	h.w.starts++
	n := h.w.starts
	h.w.mu.Unlock()
	if h.w.harm == nil {
		return h.Client.Start(ctx, e, o)
	}
	if err := h.w.harm(n, nil); errors.Is(err, platform.ErrNotSent) || errors.Is(err, platform.ErrBusy) {
		return 0, err
	}
	clock, err := h.Client.Start(ctx, e, o)
	return clock, h.w.harm(n, err)
}

func (w *world) current() *driver.Driver {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.driver
}

func (w *world) Announce(ctx context.Context, a *platform.Announcement) (platform.Acknowledgement, error) {
	return w.current().Announce(ctx, a)
}
func (w *world) Depart(ctx context.Context, d *platform.Departure) error {
	return w.current().Depart(ctx, d)
}
func (w *world) PutDocument(ctx context.Context, raw []byte) error {
	return w.current().PutDocument(ctx, raw)
}
func (w *world) Document(context.Context) ([]byte, error) { return []byte(document), nil }
func (w *world) StartWave(ctx context.Context, wave *workload.Wave, within workload.Millis) error {
	return w.current().StartWave(ctx, wave, within)
}
func (w *world) WaveCompleted(context.Context, int64) (bool, error) { return false, nil }

// worker starts a stand-in and lets it announce itself until the test ends.
func (w *world) worker(id, pool string, runTime time.Duration) *platformtest.Worker {
	w.t.Helper()
	return w.workerOf(&platformtest.Worker{ID: id, Pool: pool, RunTime: runTime})
}

// workerOf completes and starts a stand-in; see worker.
func (w *world) workerOf(s *platformtest.Worker) *platformtest.Worker {
	w.t.Helper()
	id := s.ID
	s.Ticket, s.Capacity, s.MemoryMB, s.Labels, s.MaxLease = w.ticket, 4000, 4000, []string{"a", "r1"}, w.lease
	s, err := platformtest.StartWorker(s)
	if err != nil {
		w.t.Fatal(err)
	}
	w.mu.Lock()
	w.workers[id] = s
	w.all = append(w.all, s)
	w.mu.Unlock()
	stop := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		w.announceUntil(s, stop)
	}()
	w.t.Cleanup(func() { close(stop); <-ended; s.Crash() })
	return s
}

func (w *world) announceUntil(s *platformtest.Worker, stop <-chan struct{}) {
	address := strings.TrimPrefix(w.control.URL, "http://")
	for {
		w.mu.Lock()
		there := w.workers[s.ID] == s
		w.mu.Unlock()
		if there {
			_ = s.Announce(address) // repeated at the next turn
		}
		select {
		case <-time.After(announce):
		case <-stop:
			return
		}
	}
}

// crash ends a worker, which says nothing any more.
func (w *world) crash(id string) {
	w.mu.Lock()
	s := w.workers[id]
	delete(w.workers, id)
	w.mu.Unlock()
	s.Crash()
}

func (w *world) put() {
	w.t.Helper()
	if err := w.current().PutDocument(w.t.Context(), []byte(document)); err != nil {
		w.t.Fatal(err)
	}
}

func step(count int) workload.Step {
	return workload.Step{Count: count, Need: workload.Size{Processors: 1000, MemoryMB: 100}, Estimate: 50}
}

func (w *world) request(verb workload.Verb, job string, steps ...workload.Step) workload.Response {
	w.t.Helper()
	return w.requestAt("/q/", verb, job, steps...)
}

// requestAt makes a request to the queue at a prefix.
func (w *world) requestAt(prefix string, verb workload.Verb, job string, steps ...workload.Step) workload.Response {
	w.t.Helper()
	r := &workload.Request{Verb: verb, Host: "h", Path: prefix + job}
	if verb == workload.VerbSubmit {
		r.Spec = &workload.Spec{Payload: "p", Repeat: 1, Steps: steps}
	}
	resp, err := w.current().Serve(w.t.Context(), r)
	if err != nil {
		w.t.Fatal(err)
	}
	return resp
}

func (w *world) submit(job string, steps ...workload.Step) {
	w.t.Helper()
	if resp := w.request(workload.VerbSubmit, job, steps...); resp.Answer != workload.AnswerOK {
		w.t.Fatalf("%s: %s", resp.Answer, resp.Reason)
	}
}

func (w *world) state(job string) workload.JobState {
	state := workload.JobPending
	w.log.read(func(s *workload.State) {
		if j, ok := s.Job(job); ok {
			state = j.State
		}
	})
	return state
}

// until waits for a condition, as long as the test may run.
func (w *world) until(what string, ok func() bool) {
	w.t.Helper()
	for !ok() {
		select {
		case <-w.t.Context().Done():
			w.t.Fatalf("not reached: %s", what)
		case <-time.After(2 * time.Millisecond):
		}
	}
}

// history returns the runs in the accounts of all workers.
func (w *world) history() []platformtest.Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []platformtest.Run
	for _, s := range w.all {
		out = append(out, s.History()...)
	}
	return out
}

// check compares the workers' accounts with the promises.
func (w *world) check() {
	w.t.Helper()
	for _, breach := range platformtest.Doubled(w.history()) {
		w.t.Error(breach)
	}
	w.log.read(func(s *workload.State) { s.CheckAll() })
}
