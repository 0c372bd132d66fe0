package connlimit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"magnoliastand.example/clock"
)

func testConfig() Config {
	return Config{
		MemoryBytes: 4 << 20, Connections: 64, HeaderBytes: 16 << 10, HeaderTimeout: time.Minute, IdleTimeout: time.Minute,
		BodyTimeout: time.Minute, MinRate: 512, WriteTimeout: time.Minute, Log: zerolog.Nop(),
	}
}

// newGuard returns a guard without background checks.
func newGuard(cfg Config) *Guard {
	g := New(cfg, prometheus.NewRegistry())
	g.Close()
	return g
}

// fake returns a connection without a network that the guard counts.
func (g *Guard) fake(t *testing.T, p phase, held int64, began, moved time.Time) *conn {
	t.Helper()
	inner, other := net.Pipe()
	t.Cleanup(func() { _ = other.Close() })
	c := &conn{Conn: inner, guard: g, listener: "test", phase: p, began: began, moved: moved, reading: true}
	g.conns[c] = struct{}{}
	g.ordinary.connections++
	g.charge(c, held)
	return c
}

// countOf returns how often connections of a listener were closed or rejected for a reason.
func countOf(g *Guard, listener, reason string) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return float64(g.metrics.counts[event{listener, reason}])
}

var start = time.Unix(1_000_000, 0)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

// TestVictimOrder guards against ordinary callers that are closed before idle connections and
// before connections that hold much without progress.
func TestVictimOrder(t *testing.T) {
	g := newGuard(testConfig())
	g.fake(t, phaseServing, 900_000, at(0), at(0))
	g.fake(t, phaseLink, 900_000, at(0), at(0))
	ordinary := g.fake(t, phaseHeader, connectionBytes, at(9.99), at(9.99))
	moving := g.fake(t, phaseBody, 700_000, at(9), at(10))
	silent := g.fake(t, phaseHeader, connectionBytes, at(5), at(5))
	stalled := g.fake(t, phaseBody, 700_000, at(5), at(6))
	idle := g.fake(t, phaseIdle, connectionBytes, at(9), at(9))
	older := g.fake(t, phaseIdle, connectionBytes, at(8), at(8))
	names := map[*conn]string{ordinary: "ordinary", moving: "moving", silent: "silent", stalled: "stalled", idle: "idle", older: "older idle"}
	for _, want := range []*conn{older, idle, stalled, silent, moving, ordinary, nil} {
		got := g.victim(&conn{}, needMemory, at(10))
		if got != want {
			t.Fatalf("closed %s, want %s", names[got], names[want])
		}
		if got != nil {
			g.evict(got, reasonOf(got))
		}
	}
}

// TestMinimumRateOnlyUnderPressure guards against a slow caller that is cut off while the
// process has nothing else to do.
func TestMinimumRateOnlyUnderPressure(t *testing.T) {
	cfg := testConfig()
	g := newGuard(cfg)
	slow := g.fake(t, phaseBody, connectionBytes, at(0), at(9))
	slow.received = 100
	if reason := slow.overdue(at(10), &cfg, false); reason != "" {
		t.Errorf("closed without pressure: %s", reason)
	}
	if reason := slow.overdue(at(10), &cfg, true); reason != reasonSlow {
		t.Errorf("under pressure: %q", reason)
	}
	slow.reading = false // the handler is at work
	if reason := slow.overdue(at(100), &cfg, true); reason != "" {
		t.Errorf("closed while its handler is at work: %s", reason)
	}
}

// TestStalledWriteIsEnded guards against responses that are never read and keep a
// connection for ever.
func TestStalledWriteIsEnded(t *testing.T) {
	cfg := testConfig()
	g := newGuard(cfg)
	c := g.fake(t, phaseServing, connectionBytes, at(0), at(0))
	c.writing = at(1)
	for _, tc := range []struct {
		now      float64
		pressure bool
		want     string
	}{{30, false, ""}, {62, false, reasonWrite}, {2.5, true, ""}, {4, true, reasonWrite}} {
		if got := c.overdue(at(tc.now), &cfg, tc.pressure); got != tc.want {
			t.Errorf("after %g s, pressure %t: %q", tc.now, tc.pressure, got)
		}
	}
}

// serve starts a server whose handler reads the body.
func serve(t *testing.T, cfg Config) (g *Guard, address string) {
	t.Helper()
	g = New(cfg, prometheus.NewRegistry())
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	})}
	g.Apply(srv)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = srv.Serve(g.Listener("test", inner, false))
	}()
	t.Cleanup(func() {
		_ = srv.Close()
		<-done
		g.Close()
	})
	return g, inner.Addr().String()
}

// TestBodyBeyondMemoryIsRejected guards against a body that is read although there is no
// memory for it, and against a rejection that does not say that the request was not executed.
func TestBodyBeyondMemoryIsRejected(t *testing.T) {
	g, address := serve(t, testConfig())
	resp, err := http.Post("http://"+address, "text/plain", strings.NewReader(strings.Repeat("x", 2<<20)))
	if err != nil {
		t.Fatal(err)
	}
	text, _ := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || !strings.Contains(string(text), "not been executed") {
		t.Errorf("%d %s", resp.StatusCode, text)
	}
	if n := countOf(g, "test", reasonBody); n != 1 {
		t.Errorf("%g rejections counted", n)
	}
}

// TestMemoryIsReturned guards against charges that outlive their request or connection.
func TestMemoryIsReturned(t *testing.T) {
	g, address := serve(t, testConfig())
	for range 20 {
		resp, err := http.Post("http://"+address, "text/plain", strings.NewReader(strings.Repeat("x", 1<<20)))
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			t.Fatalf("status %d", resp.StatusCode)
		}
	}
	http.DefaultClient.CloseIdleConnections()
	for n := 0; ; n++ {
		g.mu.Lock()
		used, open := g.bytes(), len(g.conns)
		g.mu.Unlock()
		if used == 0 && open == 0 {
			return
		}
		if n == 1000 {
			t.Fatalf("%d bytes and %d connections remain", used, open)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestNewCallerReplacesSilentConnections guards against silent connections that take all
// descriptors, so that no other caller gets in.
func TestNewCallerReplacesSilentConnections(t *testing.T) {
	_, address := serve(t, testConfig())
	for range 100 {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
	}
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Errorf("status %d", resp.StatusCode)
	}
}

// TestBodyOverTLSIsCharged guards against a listener with TLS whose bodies are not accounted
// for, because the server sees another connection than the guard.
func TestBodyOverTLSIsCharged(t *testing.T) {
	g := New(testConfig(), prometheus.NewRegistry())
	defer g.Close()
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	}))
	g.Apply(srv.Config)
	srv.Listener = g.Listener("test", srv.Listener, true)
	srv.StartTLS()
	defer srv.Close()
	for size, want := range map[int]int{1 << 10: http.StatusOK, 2 << 20: http.StatusServiceUnavailable} {
		resp, err := srv.Client().Post(srv.URL, "text/plain", strings.NewReader(strings.Repeat("x", size)))
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != want {
			t.Errorf("%d bytes: status %d, want %d", size, resp.StatusCode, want)
		}
	}
}

// TestRequestAtWorkIsNotCutOff guards against requests that have been received and are cut off
// under pressure, although they may have been executed.
func TestRequestAtWorkIsNotCutOff(t *testing.T) {
	g := New(testConfig(), prometheus.NewRegistry())
	defer g.Close()
	begun, finish := make(chan struct{}), make(chan struct{})
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		close(begun)
		<-finish
	}))
	g.Apply(srv.Config)
	srv.Listener = g.Listener("test", srv.Listener, false)
	srv.Start()
	defer srv.Close()
	result := make(chan error, 1)
	go func() {
		resp, err := http.Post(srv.URL, "text/plain", strings.NewReader("x"))
		if err == nil {
			err = resp.Body.Close()
		}
		result <- err
	}()
	<-begun
	for range 200 {
		c, err := net.Dial("tcp", srv.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
	}
	close(finish)
	if err := <-result; err != nil {
		t.Error(err)
	}
}

// TestUnusedConnectionIsNotCounted guards against warnings about probes and spare connections of
// ordinary clients; a header that is cut short is counted.
func TestUnusedConnectionIsNotCounted(t *testing.T) {
	g := newGuard(testConfig())
	for received, want := range map[int64]float64{0: 0, 10: 1} {
		c := g.fake(t, phaseHeader, connectionBytes, clock.Now(), clock.Now())
		c.listener = fmt.Sprint(received)
		c.received = received
		_ = c.Close()
		if n := countOf(g, c.listener, reasonHeader); n != want {
			t.Errorf("%d bytes received: %g counted, want %g", received, n, want)
		}
	}
}

// serveHandler starts a server with a handler and sends it one request; it returns what the server
// answers until it closes the connection or the time is over.
func serveHandler(t *testing.T, g *Guard, h http.HandlerFunc) (*httptest.Server, net.Conn) {
	t.Helper()
	s := httptest.NewUnstartedServer(h)
	s.Listener = g.Listener("test", s.Listener, false)
	g.Apply(s.Config)
	s.Start()
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	t.Cleanup(func() { _ = c.Close() })
	return s, c
}

// TestEarlyAnswerToExpect guards against a client that waits for leave to send its body and never
// gets the answer of a handler that does not read it.
func TestEarlyAnswerToExpect(t *testing.T) {
	_, c := serveHandler(t, newGuard(testConfig()), func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no", http.StatusUnauthorized) })
	fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\nExpect: 100-continue\r\n\r\n")
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusUnauthorized {
		t.Errorf("status %d", resp.StatusCode)
	}
}

// TestBodyThatIsNotReadIsEnded guards against a connection that is held for ever: the handler
// answers without reading the body, and the server waits within it for the rest.
func TestBodyThatIsNotReadIsEnded(t *testing.T) {
	g := newGuard(testConfig())
	_, c := serveHandler(t, g, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 8<<10)) })
	fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n")
	for n := 0; ; n++ {
		g.sweep(clock.Now().Add(time.Hour))
		g.mu.Lock()
		open := len(g.conns)
		g.mu.Unlock()
		switch {
		case open == 0 && n > 0 && countOf(g, "test", reasonBodyTime) == 1:
			return
		case n == 1000:
			t.Fatal("the connection is open after an hour")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// TestUnauthenticatedLinkGivesWay guards against clients that fill the limit with upgrades of the
// peers' listener; a link that has lasted is kept.
func TestUnauthenticatedLinkGivesWay(t *testing.T) {
	g := newGuard(testConfig())
	young := g.fake(t, phaseLink, connectionBytes, at(8), at(8))
	g.fake(t, phaseLink, connectionBytes, at(1), at(1))
	if got := g.victim(&conn{}, needMemory, at(10)); got != young {
		t.Error("the young link is not closed first")
	}
	g.evict(young, reasonOf(young))
	if g.victim(&conn{}, needMemory, at(10)) != nil {
		t.Error("an established link is closed")
	}
}

// TestMemoryIsLeftToPrivilegedConnections guards against callers that keep out the balancer and
// the peers by filling the memory.
func TestMemoryIsLeftToPrivilegedConnections(t *testing.T) {
	cfg := testConfig()
	g := newGuard(cfg)
	c := g.fake(t, phaseServing, connectionBytes, clock.Now(), clock.Now())
	for g.reserve(c, 64<<10) == nil {
		continue
	}
	inner, _ := net.Pipe()
	privileged := &conn{Conn: inner, guard: g, listener: "ready", began: clock.Now(), moved: clock.Now(), privileged: true}
	if !g.admit(privileged) {
		t.Errorf("%d of %d bytes are used", g.bytes(), cfg.MemoryBytes)
	}
}

// TestMetricsAreReadBesideClosing guards against a deadlock of the collector with the guard.
func TestMetricsAreReadBesideClosing(t *testing.T) {
	registry := prometheus.NewRegistry()
	g := New(testConfig(), registry)
	g.Close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for n := range 3000 {
			g.mu.Lock()
			g.metrics.add(fmt.Sprint(n), reasonHeader)
			g.mu.Unlock()
		}
	}()
	for range 50 {
		if _, err := registry.Gather(); err != nil {
			t.Fatal(err)
		}
	}
	<-done
	if families, err := registry.Gather(); err != nil || len(families) != 3 {
		t.Errorf("%d families, %v", len(families), err)
	}
}
