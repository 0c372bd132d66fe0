package daemon

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"magnoliastand.example/connlimit"
)

// TestStopCutsNoOperator guards against callers that hold their connections while the daemon ends:
// requests that operators had sent meanwhile were cut off.
func TestStopCutsNoOperator(t *testing.T) {
	const work = stopTimeout * 2 / 5
	var begun sync.Map // paths of the requests that were handled
	s := &servers{
		listeners: make(map[*http.Server]net.Listener), guard: connlimit.New(connlimit.Config{}, prometheus.NewRegistry()),
		callers: &http.Server{}, peers: &http.Server{}, operators: &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			begun.Store(r.URL.Path, true)
			time.Sleep(work)
		})},
	}
	for _, srv := range []*http.Server{s.callers, s.operators, s.peers} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s.listeners[srv] = l
	}
	s.start(func(err error) { t.Error(err) })
	held, err := net.Dial("tcp", s.listeners[s.callers].Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer held.Close()
	fmt.Fprint(held, "GET / HTTP/1.1\r\n")
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		s.stop()
	}()
	for n, running := 0, true; running; n++ {
		select {
		case <-stopped:
			running = false
		default:
		}
		if c, err := net.Dial("tcp", s.listeners[s.operators].Addr().String()); err == nil {
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
