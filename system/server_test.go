package system

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/rs/zerolog"
)

// TestPanicEndsRequestOnly lets a handler panic. The caller must get no answer, as
// the request may have run, and the server must serve the next request.
func TestPanicEndsRequestOnly(t *testing.T) {
	s := newServers(zerolog.Nop(), prometheus.NewRegistry())
	first := true
	h := s.recoverPanics("callers", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if first {
			first = false
			panic("unexpected")
		}
		w.WriteHeader(http.StatusNoContent)
	}))
	srv := httptest.NewServer(h)
	defer srv.Close()
	if resp, err := http.Post(srv.URL, "text/plain", http.NoBody); err == nil {
		_ = resp.Body.Close()
		t.Errorf("answer %d of a request whose handler panicked", resp.StatusCode)
	}
	resp, err := http.Post(srv.URL, "text/plain", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if n := testutil.ToFloat64(s.panics.WithLabelValues("callers")); resp.StatusCode != http.StatusNoContent || n != 1 {
		t.Errorf("status %d of the next request, %g panics counted", resp.StatusCode, n)
	}
}

// TestStopCutsNoRequestOfAnotherServer guards against clients that hold their connections to one
// server while the daemon ends: requests that another server had accepted meanwhile were cut off.
func TestStopCutsNoRequestOfAnotherServer(t *testing.T) {
	const timeout, work = time.Second, 400 * time.Millisecond
	s := newServers(zerolog.Nop(), prometheus.NewRegistry())
	held, calls := freeAddress(t), freeAddress(t)
	var begun sync.Map // paths of the requests that were handled
	s.add("peers", held, http.NotFoundHandler())
	s.add("operators", calls, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		begun.Store(r.URL.Path, true)
		time.Sleep(work)
		w.WriteHeader(http.StatusOK)
	}))
	if err := s.start(); err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", held)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprint(c, "GET / HTTP/1.1\r\n")
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		s.stop(timeout)
	}()
	for n, running := 0, true; running; n++ {
		select {
		case <-stopped:
			running = false
		default:
		}
		if c, err := net.Dial("tcp", calls); err == nil {
			path := fmt.Sprint("/", n)
			fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path)
			_, err := http.ReadResponse(bufio.NewReader(c), nil)
			if _, handled := begun.Load(path); handled && err != nil {
				t.Errorf("request %d was being handled and was cut off: %v", n, err)
			}
			_ = c.Close()
		}
		time.Sleep(time.Millisecond)
	}
}

// freeAddress returns an address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}
