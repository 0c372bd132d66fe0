package origin

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"magnoliastand.example/api"
	"magnoliastand.example/dispatch"
	"magnoliastand.example/dispatch/record"
	"magnoliastand.example/standin"
)

// rawEndpoint serves connections by hand. The script gets the number of the
// request on all connections, from 1, and returns raw bytes to write and
// whether to close the connection then.
type rawEndpoint struct {
	listener net.Listener
	requests atomic.Int64
	conns    atomic.Int64
}

func newRawEndpoint(t *testing.T, script func(n int64, id string, conn net.Conn) (raw string, closeAfter bool)) *rawEndpoint {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &rawEndpoint{listener: l}
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			e.conns.Add(1)
			wg.Go(func() { e.serve(conn, script) })
		}
	})
	t.Cleanup(func() {
		l.Close()
		wg.Wait()
	})
	return e
}

func (e *rawEndpoint) serve(conn net.Conn, script func(int64, string, net.Conn) (string, bool)) {
	defer conn.Close()
	br := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		buf := make([]byte, req.ContentLength)
		if _, err := req.Body.Read(buf); err != nil && req.ContentLength > 0 && err.Error() != "EOF" {
			return
		}
		raw, closeAfter := script(e.requests.Add(1), req.Header.Get(api.HeaderRequestID), conn)
		if _, err := conn.Write([]byte(raw)); err != nil || closeAfter {
			return
		}
	}
}

func (e *rawEndpoint) address() string { return e.listener.Addr().String() }

func whole(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// TestBrokenAnswersAreUnknown sends one non-idempotent request to endpoints
// that break their answers. None may reach the caller, and none may be tried again.
func TestBrokenAnswersAreUnknown(t *testing.T) {
	cases := map[string]func(id string) string{
		"crossed": func(string) string { return whole("other", "x") },
		"no id":   func(string) string { return "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx" },
		"two ids": func(id string) string { return strings.Replace(whole(id, "x"), "\r\n", "\r\nRequest-Id: other\r\n", 1) },
		"short":   func(id string) string { return strings.TrimSuffix(whole(id, "abcdef"), "def") },
		"short chunks": func(id string) string {
			return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
		},
		"ended by close only": func(id string) string { return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\n\r\nabc" },
		"half a header":       func(id string) string { return "HTTP/1.1 200 OK\r\nRequest-Id: " + id },
		"no answer":           func(string) string { return "" },
		"no HTTP":             func(string) string { return "hello\r\n\r\n" },
		"odd status":          func(id string) string { return strings.Replace(whole(id, "x"), "200", "099", 1) },
		"too large": func(id string) string {
			return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nContent-Length: 999999999\r\n\r\nabc"
		},
		"crossed refusal": func(string) string {
			return "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: other\r\nRequest-Run: not-run\r\nContent-Length: 0\r\n\r\n"
		},
	}
	for name, answer := range cases {
		t.Run(name, func(t *testing.T) {
			e := newRawEndpoint(t, func(_ int64, id string, _ net.Conn) (string, bool) { return answer(id), true })
			b := newBedAt(t, e.address())
			r := b.post("book", "x")
			if r.run() != api.RunUnknown || !r.hasCode(api.CodeOutcomeUnknown) {
				t.Fatalf("status %d, run %s: %s", r.status, r.run(), r.body)
			}
			released := b.slots.released()
			if e.requests.Load() != 1 || len(released) != 1 || released[0].Outcome != dispatch.OutcomeUnknown {
				t.Fatalf("%d requests, released %v", e.requests.Load(), released)
			}
		})
	}
}

func TestIdempotentRequestIsTriedAgain(t *testing.T) {
	e := newRawEndpoint(t, func(n int64, id string, _ net.Conn) (string, bool) {
		if n == 1 {
			return whole("other", "x"), false
		}
		return whole(id, "good"), false
	})
	b := newBedAt(t, e.address())
	if r := b.post("quote", "x"); r.status != http.StatusOK || r.body != "good" {
		t.Fatalf("status %d: %s", r.status, r.body)
	}
	// The crossed answer's connection must not be used again.
	if e.conns.Load() != 2 {
		t.Fatalf("%d connections", e.conns.Load())
	}
	if ex := b.slots.asks[1].Exclude; len(ex) != 1 || ex[0] != e.address() {
		t.Fatalf("second ask excludes %v", ex)
	}
}

// TestDoubledAnswerNeverAnswersTheNext writes every answer twice on one
// connection: the second copy must not answer the next request.
func TestDoubledAnswerNeverAnswersTheNext(t *testing.T) {
	e := newRawEndpoint(t, func(_ int64, id string, _ net.Conn) (string, bool) {
		return whole(id, "for "+id) + whole(id, "for "+id), false
	})
	b := newBedAt(t, e.address())
	for i := range 50 {
		r := b.post("book", "x")
		id := r.header.Get(api.HeaderRequestID)
		if r.run() == api.RunDone && r.body != "for "+id {
			t.Fatalf("request %d got the answer %q", i, r.body)
		}
	}
	if e.requests.Load() > 50 {
		t.Fatalf("%d requests reached the endpoint", e.requests.Load())
	}
}

// TestConnectionClosedWhileIdle closes each connection after its first answer,
// without saying so. The next request may be lost on the dead connection, but
// must reach the endpoint at most once and never be called not run if it did.
func TestConnectionClosedWhileIdle(t *testing.T) {
	var mu sync.Mutex
	runs := map[string]int{}
	e := newRawEndpoint(t, func(_ int64, id string, _ net.Conn) (string, bool) {
		mu.Lock()
		runs[id]++
		mu.Unlock()
		return whole(id, "x"), true
	})
	b := newBedAt(t, e.address())
	for range 200 {
		for _, body := range []string{"x", ""} {
			r := b.post("book", body)
			mu.Lock()
			n := runs[r.header.Get(api.HeaderRequestID)]
			mu.Unlock()
			if n > 1 || n > 0 && r.run() == api.RunNot || n == 0 && r.run() == api.RunDone {
				t.Fatalf("ran %d times, run %s: %s", n, r.run(), r.body)
			}
		}
	}
}

func TestEndpointThatCannotBeReachedIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	b := newBedAt(t, l.Addr().String())
	r := b.post("book", "x")
	if r.run() != api.RunNot || !r.hasCode(api.CodeEndpointRefused) || len(b.slots.released()) != maxAttempts {
		t.Fatalf("status %d, %d attempts: %s", r.status, len(b.slots.released()), r.body)
	}
	for _, released := range b.slots.released() {
		if released.Outcome != dispatch.OutcomeRefused {
			t.Fatalf("the arbiter hears of outcome %d", released.Outcome)
		}
	}
}

func TestRefusalOfEndpointIsNotRunAndRetried(t *testing.T) {
	b := newBed(t, standin.EndpointConfig{})
	b.endpoint.SetFaults(standin.Faults{Refuse: 1})
	r := b.post("book", "x", with(api.HeaderRequestID, "mine"))
	if r.run() != api.RunNot || !r.hasCode(api.CodeEndpointRefused) {
		t.Fatalf("status %d: %s", r.status, r.body)
	}
	b.endpoint.SetFaults(standin.Faults{})
	if r := b.post("book", "x", with(api.HeaderRequestID, "mine")); r.status != http.StatusOK {
		t.Fatalf("resend of a refused request: status %d: %s", r.status, r.body)
	}
}

func TestHungEndpointIsBoundedByLongestRun(t *testing.T) {
	b := newBed(t, standin.EndpointConfig{})
	b.endpoint.SetFaults(standin.Faults{Hang: 1})
	b.slots.longestRun = 50 * time.Millisecond
	r := b.post("book", "x")
	if r.run() != api.RunUnknown || len(b.slots.released()) != 1 {
		t.Fatalf("status %d: %s", r.status, r.body)
	}
}

// TestLateAnswerIsKept lets the caller's deadline pass before the answer. The
// caller hears "unknown"; its resend joins the running request or gets the
// kept answer, and the request runs once.
func TestLateAnswerIsKept(t *testing.T) {
	b := newBed(t, standin.EndpointConfig{RunTime: standin.Delay{Min: 200 * time.Millisecond}})
	id := b.origin.FreshID()
	r := b.post("book", "x", with(api.HeaderRequestID, id), with(api.HeaderDeadline, "50ms"))
	if r.run() != api.RunUnknown {
		t.Fatalf("status %d: %s", r.status, r.body)
	}
	for range 2 {
		r = b.post("book", "x", with(api.HeaderRequestID, id))
		if r.run() != api.RunDone || !standin.WholeOwnAnswer([]byte(r.body), id, "book", []byte("x")) {
			t.Fatalf("resend: status %d: %s", r.status, r.body)
		}
	}
	if n := b.endpoint.RunsOf(id); n != 1 {
		t.Fatalf("ran %d times", n)
	}
	if r := b.post("book", "other", with(api.HeaderRequestID, id)); !r.hasCode(api.CodeRequestMismatch) || r.run() != api.RunUnknown {
		t.Fatalf("other body: status %d: %s", r.status, r.body)
	}
}

// TestCallerGoneStillReleases cancels the caller while the endpoint runs.
func TestCallerGoneStillReleases(t *testing.T) {
	b := newBed(t, standin.EndpointConfig{RunTime: standin.Delay{Min: 100 * time.Millisecond}})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = b.tryPost(ctx, "book", "x", with(api.HeaderRequestID, "gone"))
	}()
	waitFor(t, func() bool { return b.endpoint.RunsOf("gone") == 1 })
	cancel()
	<-done
	waitFor(t, func() bool { return len(b.slots.released()) == 1 })
	if o := b.slots.released()[0].Outcome; o != dispatch.OutcomeAnswered {
		t.Fatalf("outcome %d", o)
	}
	if r := b.post("book", "x", with(api.HeaderRequestID, "gone")); r.run() != api.RunDone || b.endpoint.RunsOf("gone") != 1 {
		t.Fatalf("resend: status %d: %s", r.status, r.body)
	}
}

// waitFor polls until ok holds; the test's own timeout bounds it.
func waitFor(t *testing.T, ok func() bool) {
	t.Helper()
	for !ok() {
		if t.Context().Err() != nil {
			t.Fatal("test ended")
		}
		time.Sleep(time.Millisecond)
	}
}

func TestLostArbiterLosesNothing(t *testing.T) {
	b := newBed(t, standin.EndpointConfig{})
	b.slots.before = func(n int) error {
		if n <= 3 {
			return ErrArbiterLost
		}
		return nil
	}
	if r := b.post("book", "x"); r.status != http.StatusOK || len(b.slots.asks) != 4 {
		t.Fatalf("status %d after %d asks: %s", r.status, len(b.slots.asks), r.body)
	}
}

// TestDrainDuringBurst drains while requests run and wait: every one that was
// accepted is answered whole, later ones are refused as not run.
func TestDrainDuringBurst(t *testing.T) {
	b := newBed(t, standin.EndpointConfig{RunTime: standin.Delay{Min: 30 * time.Millisecond}})
	var wg sync.WaitGroup
	var answered, refused atomic.Int64
	for range 40 {
		wg.Go(func() {
			switch r := b.post("book", "x"); {
			case r.status == http.StatusOK:
				answered.Add(1)
			case r.hasCode(api.CodeShuttingDown) && r.run() == api.RunNot:
				refused.Add(1)
			default:
				t.Errorf("status %d: %s", r.status, r.body)
			}
		})
	}
	waitFor(t, func() bool { return b.origin.InFlight() > standin.DefaultSlots })
	if cuts := b.origin.Drain(t.Context()); cuts != nil {
		t.Fatalf("cut %v", cuts)
	}
	if r := b.post("book", "x"); !r.hasCode(api.CodeShuttingDown) || r.run() != api.RunNot {
		t.Fatalf("after drain: status %d: %s", r.status, r.body)
	}
	wg.Wait()
	if answered.Load() <= standin.DefaultSlots || answered.Load()+refused.Load() != 40 {
		t.Fatalf("%d answered, %d refused", answered.Load(), refused.Load())
	}
}

func TestDrainReportsWhatItCuts(t *testing.T) {
	b := newBed(t, standin.EndpointConfig{})
	b.endpoint.SetFaults(standin.Faults{Hang: 1})
	b.slots.longestRun = 300 * time.Millisecond
	var wg sync.WaitGroup
	wg.Go(func() { b.post("book", "x", with(api.HeaderRequestID, "hung")) })
	waitFor(t, func() bool { return b.endpoint.RunsOf("hung") == 1 })
	held := b.origin.Held()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	cuts := b.origin.Drain(ctx)
	if len(cuts) != 1 || cuts[0].ID != "hung" || len(held.Held) != 1 || !held.Held[0].Started {
		t.Fatalf("cuts %v, held %v", cuts, held)
	}
	wg.Wait()
}

// TestResendsAtTwoOrigins races resends of one id at two daemons.
func TestResendsAtTwoOrigins(t *testing.T) {
	endpoint, err := standin.StartEndpoint(t.Context(), standin.EndpointConfig{RunTime: standin.Delay{Min: 5 * time.Millisecond}})
	if err != nil {
		t.Fatal(err)
	}
	defer endpoint.Close()
	a, b := newBedAt(t, endpoint.Address()), newBedAt(t, endpoint.Address())
	shared := a.records
	b.origin.cfg.Records = shared
	for i := range 30 {
		id := fmt.Sprintf("race-%d", i)
		var wg sync.WaitGroup
		for _, bed := range []*bed{a, b, a, b} {
			wg.Go(func() {
				r := bed.post("book", "x", with(api.HeaderRequestID, id))
				if r.run() != api.RunDone || !standin.WholeOwnAnswer([]byte(r.body), id, "book", []byte("x")) {
					t.Errorf("status %d: %s", r.status, r.body)
				}
			})
		}
		wg.Wait()
		if n := endpoint.RunsOf(id); n != 1 {
			t.Fatalf("%s ran %d times", id, n)
		}
	}
}

var _ Records = (*record.Service)(nil)

// TestResendAfterTheOriginDied resends ids that a dead origin was permitted to start.
func TestResendAfterTheOriginDied(t *testing.T) {
	b := newBed(t, standin.EndpointConfig{})
	dead := record.Token{Origin: dispatch.DaemonID{Name: "d9", Incarnation: "i1"}, Seq: 1}
	for _, queue := range []string{"book", "quote"} {
		b.records.HandleBegin(record.BeginRequest{ID: queue, Token: dead, Hold: time.Minute})
	}
	deadline := with(api.HeaderDeadline, "200ms")
	if r := b.post("quote", "x", with(api.HeaderRequestID, "quote"), deadline); r.status != http.StatusOK {
		t.Fatalf("idempotent: status %d: %s", r.status, r.body)
	}
	if r := b.post("book", "x", with(api.HeaderRequestID, "book"), deadline); r.run() != api.RunUnknown || b.endpoint.RunsOf("book") != 0 {
		t.Fatalf("not idempotent: status %d: %s", r.status, r.body)
	}
	b.records.OriginGone(dead.Origin)
	if r := b.post("book", "x", with(api.HeaderRequestID, "book")); r.run() != api.RunUnknown || !r.hasCode(api.CodeOutcomeUnknown) {
		t.Fatalf("origin known to be gone: status %d: %s", r.status, r.body)
	}
}
