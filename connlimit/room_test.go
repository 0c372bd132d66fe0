package connlimit

import (
	"bufio"
	"container/heap"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"magnoliastand.example/clock"
)

// fill adds connections of callers that hold as much as they get, in requests of n bytes each.
func (g *Guard) fill(t *testing.T, p phase, n int64, now time.Time) []*conn {
	t.Helper()
	var all []*conn
	for {
		c := g.fake(t, p, 0, now, now)
		g.charge(c, connectionBytes)
		c.reading = false
		if g.reserveLocked(c, n, now) != nil {
			g.remove(c)
			return all
		}
		all = append(all, c)
	}
}

// TestLargeRequestsLeaveMemory guards against large requests that are being handled and hold all
// memory, so that ordinary callers are closed without an answer.
func TestLargeRequestsLeaveMemory(t *testing.T) {
	cfg := testConfig()
	cfg.MemoryBytes, cfg.Connections = 16<<20, 256
	g := newGuard(cfg)
	large := g.fill(t, phaseServing, 768<<10, at(0))
	if len(large) == 0 {
		t.Fatal("there is no room for one large request")
	}
	var ordinary []*conn
	for n := range 100 {
		c := g.fake(t, phaseHeader, connectionBytes, at(1), at(1))
		if err := g.reserveLocked(c, 4<<10, at(1)); err != nil {
			t.Fatalf("ordinary request %d of 100, beside %d large ones: %v", n, len(large), err)
		}
		ordinary = append(ordinary, c)
	}
	for n, c := range ordinary {
		if c.gone {
			t.Fatalf("ordinary request %d of 100, beside %d large ones, was closed", n, len(large))
		}
	}
	for _, c := range large {
		if c.gone {
			t.Fatal("a request was closed while it was handled")
		}
	}
}

// TestSingleLargeRequestIsServed guards against a limit that the largest document meets although
// there is hardly another request.
func TestSingleLargeRequestIsServed(t *testing.T) {
	cfg := testConfig()
	cfg.MemoryBytes = 16 << 20
	g := newGuard(cfg)
	for range 10 {
		g.fake(t, phaseServing, connectionBytes+4<<10, at(0), at(0))
	}
	c := g.fake(t, phaseBody, connectionBytes, at(0), at(0))
	if err := g.reserveLocked(c, bodyFactor*4<<20, at(0)); err != nil {
		t.Error(err)
	}
}

// TestOrdinaryRequestOutranksLargeOnes guards against ordinary requests that are closed for large
// ones because the server has been slower to read them.
func TestOrdinaryRequestOutranksLargeOnes(t *testing.T) {
	g := newGuard(testConfig())
	moving := g.fake(t, phaseBody, 700_000, at(9.99), at(10))
	ordinary := g.fake(t, phaseHeader, connectionBytes+2<<10, at(9.5), at(9.5))
	if got := g.victim(ordinary, needMemory, at(10)); got != moving {
		t.Error("for an ordinary request, the large one is not closed first")
	}
	if got := g.victim(moving, needLargeMemory, at(10)); got != nil {
		t.Error("for a large request, one that makes progress is closed")
	}
	stalled := g.fake(t, phaseBody, 700_000, at(9), at(9.5))
	if got := g.victim(moving, needLargeMemory, at(10)); got != stalled {
		t.Error("for a large request, one that makes no progress is not closed")
	}
}

// TestManyBlockedResponsesGiveWay guards against clients that read no response and keep out all
// others for as long as a response may make no progress. A few slow readers are left alone.
func TestManyBlockedResponsesGiveWay(t *testing.T) {
	cfg := testConfig()
	g := newGuard(cfg)
	for n := range cfg.Connections/blockedPart + 1 {
		if n == cfg.Connections/blockedPart && g.victim(&conn{}, needConnection, at(10)) != nil {
			t.Fatalf("a response is cut off while %d make no progress", n)
		}
		c := g.fake(t, phaseResponding, connectionBytes, at(9), at(9))
		c.writing = at(9.5)
	}
	moving := g.fake(t, phaseResponding, connectionBytes, at(9), at(9))
	moving.writing = at(9.99)
	for n := range cfg.Connections/blockedPart + 1 {
		got := g.victim(&conn{}, needConnection, at(10))
		if got == moving {
			t.Fatal("a response that makes progress is cut off")
		}
		if n == 0 && got == nil {
			t.Fatal("none gives way")
		}
		if got != nil {
			g.evict(got, reasonOf(got))
		}
	}
}

// TestResponseIsNotCutOff guards against a request that was executed and whose connection is
// closed for another one before the response is written.
func TestResponseIsNotCutOff(t *testing.T) {
	g := newGuard(testConfig())
	c := g.fake(t, phaseServing, connectionBytes, at(0), at(0))
	c.endRequest()
	if g.victim(&conn{}, needConnection, at(10)) != nil {
		t.Error("closed before the response is written")
	}
}

// TestConnectionIsReadBeforeItIsClosed guards against a server that, under more connections than
// it can serve, closes each before it has read the request.
func TestConnectionIsReadBeforeItIsClosed(t *testing.T) {
	g := newGuard(testConfig())
	c := g.fake(t, phaseHeader, connectionBytes, at(0), at(0))
	c.reading = false
	if g.victim(&conn{}, needConnection, at(10)) != nil {
		t.Error("closed before the first read")
	}
	c.reading = true
	if g.victim(&conn{}, needConnection, at(10)) != c {
		t.Error("a client that sends nothing is not closed")
	}
}

// TestCallersDoNotCloseProbes guards against callers whose connections replace those of the
// balancer's checks and of peers, and against privileged connections that replace all callers.
func TestCallersDoNotCloseProbes(t *testing.T) {
	cfg := testConfig()
	g := newGuard(cfg)
	probe := func() {
		inner, other := net.Pipe()
		t.Cleanup(func() { _ = other.Close() })
		if !g.admit(&conn{Conn: inner, guard: g, listener: "ready", began: at(0), moved: at(0), privileged: true, reading: true}) {
			t.Fatal("no room for a probe")
		}
	}
	for range cfg.Connections / privilegedPart {
		probe()
	}
	if g.victim(&conn{}, needConnection, at(10)) != nil {
		t.Error("a caller replaces a probe")
	}
	if g.victim(&conn{privileged: true}, needConnection, at(10)) == nil {
		t.Error("a probe replaces none")
	}
	probe()
	if g.victim(&conn{}, needConnection, at(10)) == nil {
		t.Error("probes beyond their part do not give way to a caller")
	}
}

// simulation plays a crowd that comes back against a guard, with a clock of its own.
type simulation struct {
	g      *Guard
	rnd    *rand.Rand
	now    time.Time
	queue  steps
	closed int
}

// step is what a connection does at a time.
type step struct {
	at time.Time
	do func()
}

// steps is a heap, the next step first.
type steps []step

func (q steps) Len() int           { return len(q) }
func (q steps) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q steps) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *steps) Push(v any)        { *q = append(*q, v.(step)) }
func (q *steps) Pop() any {
	last := len(*q) - 1
	v := (*q)[last]
	*q = (*q)[:last]
	return v
}

func (s *simulation) after(d time.Duration, do func()) { heap.Push(&s.queue, step{s.now.Add(d), do}) }

// jitter returns between d/2 and 3d/2.
func (s *simulation) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(s.rnd.Int64N(int64(d)))
}

func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.queue[0].at.Before(end); {
		next := heap.Pop(&s.queue).(step)
		s.now = next.at
		next.do()
	}
}

// connect admits a connection; the server gets to read it after a delay.
func (s *simulation) connect() *conn {
	inner, other := net.Pipe()
	_ = other.Close()
	c := &conn{Conn: inner, guard: s.g, listener: "callers", began: s.now, moved: s.now}
	if !s.g.admit(c) {
		return nil
	}
	return c
}

// large sends a body of 256 KiB after another in pieces, and connects again when it is closed.
func (s *simulation) large() {
	const (
		piece     = 64 << 10
		pieces    = 4
		turn      = 400 * time.Microsecond // between two reads of the server
		handling  = 5 * time.Millisecond
		reconnect = 10 * time.Millisecond
		linger    = 500 * time.Millisecond // of a connection whose body was rejected
	)
	c := s.connect()
	if c == nil {
		s.after(s.jitter(reconnect), s.large)
		return
	}
	var receive func(n int)
	receive = func(n int) {
		c.moved, c.reading = s.now, false
		switch {
		case c.gone:
			s.after(s.jitter(reconnect), s.large)
		case n == pieces:
			c.phase = phaseServing
			s.after(s.jitter(handling), func() {
				s.g.charge(c, connectionBytes-c.held)
				c.phase, c.began = phaseBody, s.now
				receive(0)
			})
		case s.g.reserveLocked(c, piece*bodyFactor, s.now) != nil:
			s.g.charge(c, connectionBytes-c.held)
			c.phase, c.began = phaseRest, s.now
			s.after(s.jitter(reconnect), s.large)
			s.after(linger, func() { s.g.remove(c) })
		default:
			c.reading = true
			s.after(s.jitter(turn), func() { receive(n + 1) })
		}
	}
	s.after(s.jitter(turn), func() {
		c.phase, c.began = phaseBody, s.now
		receive(0)
	})
}

// ordinary sends one small request and counts it if it is closed before it is answered.
func (s *simulation) ordinary() {
	const (
		turn     = 20 * time.Millisecond // until the server reads
		arrival  = 5 * time.Millisecond  // until the request is there
		handling = 5 * time.Millisecond
	)
	c := s.connect()
	if c == nil {
		s.closed++
		return
	}
	s.after(s.jitter(turn), func() {
		c.reading = true
		s.after(s.jitter(arrival), func() {
			c.reading, c.moved, c.received = false, s.now, 200
			if s.g.reserveLocked(c, 200*headerFactor, s.now) != nil {
				s.closed++
				s.g.remove(c)
				return
			}
			c.phase = phaseServing
			s.after(s.jitter(handling), func() { s.g.remove(c) })
		})
	})
}

// TestOrdinaryCallersBesideLargeBodies guards against a crowd that sends one large body after
// another and comes back at once, and for which ordinary callers are closed.
func TestOrdinaryCallersBesideLargeBodies(t *testing.T) {
	const (
		calls = 100
		pause = 4 * time.Millisecond
	)
	cfg := testConfig()
	cfg.MemoryBytes, cfg.Connections = 16<<20, 240
	for seed := range uint64(3) {
		s := &simulation{g: newGuard(cfg), rnd: rand.New(rand.NewPCG(seed, 1)), now: start}
		for range 300 {
			s.after(s.jitter(10*time.Millisecond), s.large)
		}
		for n := range calls {
			s.after(time.Duration(n+10)*pause, s.ordinary)
		}
		s.run((calls + 20) * pause)
		if s.closed > calls/10 {
			t.Errorf("seed %d: %d of %d ordinary calls were closed", seed, s.closed, calls)
		}
	}
}

// TestConnectionEndsAfterResponseInShortage guards against clients that keep their connection with
// one request after another while others get none. Idle connections that are replaced are no
// shortage.
func TestConnectionEndsAfterResponseInShortage(t *testing.T) {
	g, address := serve(t, testConfig())
	closes := func() bool {
		resp, err := http.Get("http://" + address)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		return resp.Close
	}
	makeRoom := func(p phase) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.makeRoom(g.fake(t, p, connectionBytes, clock.Now(), clock.Now()), clock.Now())
	}
	if makeRoom(phaseIdle); closes() {
		t.Error("closed although only an idle connection had to give way")
	}
	if makeRoom(phaseHeader); !closes() {
		t.Error("kept in a shortage")
	}
	g.mu.Lock()
	g.shortage = clock.Now().Add(-shortageTime)
	g.mu.Unlock()
	if closes() {
		t.Error("closed after the shortage")
	}
}

// TestHeaderWithoutMemoryIsRejected guards against callers that get 400, which tells them to give
// up, for a request whose header there was no memory for.
func TestHeaderWithoutMemoryIsRejected(t *testing.T) {
	cfg := testConfig()
	cfg.MemoryBytes = 2 * connectionBytes
	_, address := serve(t, cfg)
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: h\r\nX: %s\r\n\r\n", strings.Repeat("x", 3000))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	text, _ := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || !strings.Contains(string(text), "not been executed") {
		t.Errorf("%d %s", resp.StatusCode, text)
	}
}

// TestEvictedConnectionSendsNoResponse guards against a handler that answers 400 because the body
// can't be read any more, on a connection that was closed to make room.
func TestEvictedConnectionSendsNoResponse(t *testing.T) {
	g := newGuard(testConfig())
	c := g.fake(t, phaseBody, connectionBytes, at(0), at(0))
	written := &recorder{Conn: c.Conn}
	c.Conn = written
	g.mu.Lock()
	g.evict(c, reasonStalled)
	g.mu.Unlock()
	if _, err := c.Write([]byte("HTTP/1.1 400 Bad Request\r\n\r\n")); err == nil || written.bytes > 0 {
		t.Errorf("%d bytes were sent, error %v", written.bytes, err)
	}
}

// recorder counts the bytes that are written.
type recorder struct {
	net.Conn
	bytes int
}

func (r *recorder) Write(p []byte) (int, error) {
	r.bytes += len(p)
	return len(p), nil
}

// TestLargeRequestClosesOnlyWhatHelps guards against large requests that close all idle connections
// although only other large requests use up the part of the memory that is theirs.
func TestLargeRequestClosesOnlyWhatHelps(t *testing.T) {
	cfg := testConfig()
	cfg.MemoryBytes = 16 << 20
	g := newGuard(cfg)
	g.fill(t, phaseServing, 768<<10, at(0))
	idle := g.fake(t, phaseIdle, connectionBytes, at(0), at(0))
	silent := g.fake(t, phaseHeader, connectionBytes, at(0), at(0))
	c := g.fake(t, phaseBody, connectionBytes, at(10), at(10))
	if err := g.reserveLocked(c, 768<<10, at(10)); err == nil {
		t.Fatal("there is room")
	}
	if idle.gone || silent.gone {
		t.Errorf("closed in vain: idle %t, silent %t", idle.gone, silent.gone)
	}
}
