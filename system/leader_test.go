package system

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"magnoliastand.example/cluster"
	"magnoliastand.example/driver"
	"magnoliastand.example/peerlink"
	"magnoliastand.example/platform"
	"magnoliastand.example/relay"
	"magnoliastand.example/workload"
)

// waitLimit bounds each wait of a test, also on a busy machine.
const waitLimit = time.Minute

// waitFor polls until ok returns true and fails the test after waitLimit.
func waitFor(t testing.TB, what string, ok func() bool) {
	t.Helper()
	limit := time.After(waitLimit)
	for !ok() {
		select {
		case <-limit:
			t.Fatalf("timed out waiting for: %s", what)
		case <-time.After(2 * time.Millisecond):
		}
	}
}

// testMember is a member of a log with the leader that it runs while it leads.
type testMember struct {
	*leader
	name string
	link *peerlink.Node
	// daemon is a core daemon around the member, without its servers.
	daemon *core
}

// formLog starts n members of a log, whose leaders send orders to workers. They don't lead
// before run is called.
func formLog(t testing.TB, n int, workers platform.Workers) []*testMember {
	t.Helper()
	all := make([]*testMember, n)
	seeds := make([]string, n)
	listeners := make([]net.Listener, n)
	for i := range all {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners[i], seeds[i] = l, l.Addr().String()
		all[i] = &testMember{name: seeds[i], link: testLink(t, seeds[i])}
	}
	for i, m := range all {
		state := newReplica(platform.DecodeDocument)
		member, err := cluster.Open(cluster.Config[[]error]{
			Self: seeds[i], Zone: "z", DataFolder: t.TempDir(), Seeds: seeds, Form: true, Voters: n, Silence: waitLimit,
			Machine: state, MaxEntryBytes: workload.MaxEntryBytes, Link: m.link, Metrics: cluster.NewMetrics(prometheus.NewRegistry()), Log: zerolog.Nop(),
		})
		if err != nil {
			t.Fatal(err)
		}
		m.leader = &leader{
			member: member, replica: state, log: zerolog.Nop(),
			relay: relay.New(relay.Config{
				Link: m.link, Direct: workers, Self: relay.Peer{Name: seeds[i], Zone: "z"}, Log: zerolog.Nop(),
				Metrics: relay.NewMetrics(prometheus.NewRegistry()), Peers: func() []relay.Peer { return nil },
			}),
			driverConfig: driver.Config{
				Workers: workers, Metrics: driver.NewMetrics(prometheus.NewRegistry()), Logger: zerolog.Nop(),
				Timing: driver.Timing{MaxLease: 6 * time.Second, Announce: time.Minute, KeepFinished: time.Minute},
			},
		}
		m.daemon = m.newCore(t)
		server := httptest.NewUnstartedServer(m.link.Handler()) // its handlers are registered
		_ = server.Listener.Close()
		server.Listener = listeners[i]
		server.Start()
		t.Cleanup(server.CloseClientConnections)
	}
	for _, m := range all {
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			if err := m.member.Run(ctx); err != nil {
				t.Error(err)
			}
		}()
		t.Cleanup(func() { stop(); <-ended })
	}
	return all
}

// leading waits until a member leads, and returns it with its term.
func leading(t testing.TB, all []*testMember) (m *testMember, term uint64) {
	t.Helper()
	waitFor(t, "leader", func() bool {
		for _, m = range all {
			var ok bool
			if term, ok = m.member.Lease(); ok {
				return true
			}
		}
		return false
	})
	return m, term
}

// lead runs the leader of a member until the test ends.
func (m *testMember) lead(t testing.TB) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); m.run(ctx) }()
	t.Cleanup(func() { stop(); <-ended })
}

// tellUntilTaken repeats an announcement until a driver has taken it.
func (m *testMember) tellUntilTaken(t *testing.T, w workload.Worker, sequence int64) {
	t.Helper()
	a := &platform.Announcement{Worker: w, Sequence: sequence, Clock: 1}
	waitFor(t, "announcement of "+w.ID, func() bool { _, err := m.announce(t.Context(), a); return err == nil })
}

// tell announces a worker and doesn't wait for the answer.
func (m *testMember) tell(t *testing.T, w workload.Worker) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		_, _ = m.announce(ctx, &platform.Announcement{Worker: w, Sequence: 1, Clock: 1})
	}()
	t.Cleanup(func() { cancel(); <-answered })
}

// heldWorkers are workers that run nothing and keep the highest fencing token of their
// incarnation.
type heldWorkers struct {
	platform.Workers
	mu sync.Mutex
	// born holds the incarnation of each worker, and fences the highest token it has seen.
	born   map[string]workload.Millis
	fences map[string]uint64
	// panics is the ID of a worker whose next hold panics.
	panics            string
	accepted, refused int
}

func (h *heldWorkers) Hold(_ context.Context, e platform.Endpoint, o *platform.HoldOrder) (*platform.Lists, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.panics == e.ID:
		h.panics = ""
		panic("hold")
	case o.Fence < h.fences[e.ID]:
		h.refused++
		return nil, &platform.Refusal{Status: http.StatusConflict, Reason: platform.ReasonFence}
	}
	h.fences[e.ID] = o.Fence
	h.accepted++
	return &platform.Lists{Clock: 1, Incarnation: h.born[e.ID]}, nil
}

func (h *heldWorkers) RaiseFence(ctx context.Context, e platform.Endpoint, fence uint64) error {
	_, err := h.Hold(ctx, e, &platform.HoldOrder{Fence: fence})
	return err
}

// restart makes a worker forget its fencing token.
func (h *heldWorkers) restart(id string, born workload.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.born[id], h.fences[id] = born, 0
}

func (h *heldWorkers) counts() (accepted, refused int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.accepted, h.refused
}

func (h *heldWorkers) held(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fences[id] > 0
}

// A driver panics after a worker has restarted in place, and the next one leads in the same
// term. The worker must not refuse its orders for those of the driver before.
func TestNextDriverOfTermIsNotFencedOff(t *testing.T) {
	workers := &heldWorkers{born: map[string]workload.Millis{}, fences: map[string]uint64{}}
	m, term := leading(t, formLog(t, 1, workers))
	m.lead(t)
	w := workload.Worker{ID: "w1", Incarnation: 1, Pool: "p", Address: "127.0.0.1:1"}
	for holds := 1; w.Incarnation <= 2; holds += 2 { // the second incarnation is told its token beside its first hold
		workers.restart(w.ID, w.Incarnation)
		m.tellUntilTaken(t, w, 1)
		waitFor(t, "hold", func() bool { n, _ := workers.counts(); return n == holds })
		w.Incarnation++
	}
	failed, err := m.currentDriver()
	if err != nil {
		t.Fatal(err)
	}
	workers.mu.Lock()
	workers.panics = "w2"
	workers.mu.Unlock()
	m.tellUntilTaken(t, workload.Worker{ID: "w2", Incarnation: 1, Pool: "p", Address: "127.0.0.1:2"}, 1)
	<-failed.Done()
	waitFor(t, "holds by the next driver", func() bool {
		n, refused := workers.counts()
		if refused > 0 {
			t.Fatal("the worker refuses the next driver")
		}
		return n >= 5
	})
	if now, ok := m.member.Lease(); !ok || now != term {
		t.Errorf("term %d, want %d", now, term)
	}
}

// A driver panics while a batch of it is still on the way to the other member, and the next
// one leads in the same term. Its state must not lack that batch, which commits later.
func TestNextDriverOfTermKnowsBatchesOfLastOne(t *testing.T) {
	workers := &heldWorkers{born: map[string]workload.Millis{"w1": 1, "w2": 1}, fences: map[string]uint64{}}
	m, _ := leading(t, formLog(t, 2, workers))
	m.lead(t)
	w1 := workload.Worker{ID: "w1", Incarnation: 1, Pool: "p", Address: "127.0.0.1:1"}
	w2 := workload.Worker{ID: "w2", Incarnation: 1, Pool: "p", Address: "127.0.0.1:2"}
	m.tellUntilTaken(t, w2, 1)
	waitFor(t, "hold", func() bool { n, _ := workers.counts(); return n == 1 })
	failed, err := m.currentDriver()
	if err != nil {
		t.Fatal(err)
	}
	workers.mu.Lock()
	workers.panics = "w2"
	workers.mu.Unlock()
	m.link.SetBlocked(func(peerlink.Identity) bool { return true })
	before := m.member.Node().Status().Last
	m.tell(t, w1)
	waitFor(t, "batch in the log", func() bool { return m.member.Node().Status().Last > before })
	w2.Incarnation++ // the driver tells the worker its token, and panics
	m.tell(t, w2)
	<-failed.Done()
	m.link.SetBlocked(nil)
	waitFor(t, "hold of the worker that the batch registers", func() bool { return workers.held("w1") })
}
