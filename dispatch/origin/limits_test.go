package origin

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"magnoliastand.example/api"
	"magnoliastand.example/standin"
)

func TestRejectsRequestsBeyondLimits(t *testing.T) {
	b := newTestBed(t, standin.EndpointConfig{RunTime: standin.Delay{Min: 50 * time.Millisecond}})
	cases := map[string]func(*Limits){
		"requests": func(l *Limits) { l.MaxInFlight = 1 },
		"bytes":    func(l *Limits) { l.MaxBufferedBytes = 100 },
	}
	for name, set := range cases {
		t.Run(name, func(t *testing.T) {
			before := b.origin.cfg.Limits
			defer func() { b.origin.cfg.Limits = before }()
			set(&b.origin.cfg.Limits)
			body := strings.Repeat("x", 80)
			var wg sync.WaitGroup
			wg.Go(func() {
				if r := b.post("book", body); r.status != http.StatusOK {
					t.Errorf("first: status %d: %s", r.status, r.body)
				}
			})
			waitFor(t, func() bool { return b.endpoint.Running() == 1 })
			if r := b.post("book", body); !r.hasCode(api.CodeQueueFull) || r.run() != api.RunNot {
				t.Errorf("second: status %d: %s", r.status, r.body)
			}
			wg.Wait()
			waitFor(t, func() bool { return b.origin.InFlight() == 0 })
			if n := b.origin.buffered.Load(); n != 0 {
				t.Errorf("%d bytes remain reserved", n)
			}
		})
	}
}

// TestSlowCallerHoldsNoSlot sends part of a body and stalls. No slot may be
// requested for such a caller.
func TestSlowCallerHoldsNoSlot(t *testing.T) {
	b := newTestBed(t, standin.EndpointConfig{})
	b.origin.cfg.Limits.BodyTimeout = 50 * time.Millisecond
	conn, err := net.Dial("tcp", strings.TrimPrefix(b.server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST /v1/queues/open/requests HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf")
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	text, _ := io.ReadAll(res.Body)
	if res.StatusCode != http.StatusBadRequest || res.Header.Get(api.HeaderRun) != string(api.RunNot) || len(b.slots.asks) != 0 {
		t.Fatalf("status %d after %d asks: %s", res.StatusCode, len(b.slots.asks), text)
	}
}

// TestRetriesStayWithinBudget checks that the number of attempts is bounded if
// every attempt of idempotent requests fails.
func TestRetriesStayWithinBudget(t *testing.T) {
	b := newTestBed(t, standin.EndpointConfig{})
	b.endpoint.SetFaults(standin.Faults{Cut: 1})
	policy := Retry{Ratio: 0.1, Burst: 5, BackoffBase: time.Millisecond, BackoffMax: time.Millisecond}
	b.origin.cfg.Retry = policy
	b.origin.retryBudget = newRetryBudget(policy)
	const requests = 60
	for range requests {
		if r := b.post("quote", "x"); r.run() != api.RunUnknown {
			t.Fatalf("status %d: %s", r.status, r.body)
		}
	}
	attempts := b.endpoint.Stats().Accepted
	if attempts <= requests || float64(attempts) > requests*(1+policy.Ratio)+policy.Burst {
		t.Fatalf("%d attempts for %d requests", attempts, requests)
	}
}

// TestSlotWaitEndsAtDeadline checks that a request that gets no slot ends at its
// deadline or when the caller disconnects.
func TestSlotWaitEndsAtDeadline(t *testing.T) {
	b := newTestBedAt(t, "127.0.0.1:1")
	for range standin.DefaultSlots {
		<-b.slots.slots
	}
	r := b.post("book", "x", header(api.HeaderDeadline, "30ms"), header(api.HeaderRequestID, "mine"))
	if r.run() != api.RunNot || !r.hasCode(api.CodeDeadline) || r.status != http.StatusGatewayTimeout {
		t.Fatalf("status %d: %s", r.status, r.body)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = b.tryPost(ctx, "book", "x")
	}()
	waitFor(t, func() bool { return b.origin.InFlight() == 1 })
	cancel()
	<-done
	waitFor(t, func() bool { return b.origin.InFlight() == 0 })
}
