package origin

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"magnoliastand.example/api"
	"magnoliastand.example/dispatch"
	"magnoliastand.example/standin"
)

func TestReturnsCompleteResponse(t *testing.T) {
	b := newTestBed(t, standin.EndpointConfig{AnswerBytes: 4096})
	for _, queue := range []string{"book", "quote", "open"} {
		r := b.post(queue, "two birds")
		id := r.header.Get(api.HeaderRequestID)
		if r.status != http.StatusOK || r.run() != api.RunDone {
			t.Fatalf("status %d, run %s: %s", r.status, r.run(), r.body)
		}
		if !standin.WholeOwnAnswer([]byte(r.body), id, queue, []byte("two birds")) {
			t.Fatalf("response is incomplete or of another request: %q", r.body)
		}
		if r.header.Get(api.HeaderHome) != "za.d1-i1" || b.endpoint.RunsOf(id) != 1 {
			t.Fatalf("home %q, runs %d", r.header.Get(api.HeaderHome), b.endpoint.RunsOf(id))
		}
	}
}

func TestRejectsInvalidRequests(t *testing.T) {
	b := newTestBed(t, standin.EndpointConfig{})
	cases := []struct {
		name, queue, body string
		option            option
		status            int
		code              api.Code
	}{
		{"no key", "book", "x", func(r *http.Request) { r.Header.Del("Authorization") }, 401, api.CodeKeyRequired},
		{"wrong key", "book", "x", header("Authorization", "Bearer other"), 401, api.CodeKeyInvalid},
		{"wrong scheme", "book", "x", header("Authorization", "Basic eDp5"), 400, api.CodeInvalidField},
		{"unknown queue", "none", "x", nil, 404, api.CodeUnknownQueue},
		{"large body", "book", strings.Repeat("x", 1025), nil, 413, api.CodeBodyTooLarge},
		{"large chunked body", "book", strings.Repeat("x", 1025), func(r *http.Request) { r.ContentLength = -1 }, 413, api.CodeBodyTooLarge},
		{"bad id", "book", "x", header(api.HeaderRequestID, "a b"), 400, api.CodeInvalidField},
		{"bad timeout", "book", "x", header(api.HeaderDeadline, "soon"), 400, api.CodeInvalidField},
		{"negative timeout", "book", "x", header(api.HeaderDeadline, "-1s"), 400, api.CodeInvalidField},
		{"wrong key with id", "book", "x", func(r *http.Request) {
			r.Header.Set("Authorization", "Bearer other")
			r.Header.Set(api.HeaderRequestID, "mine-1")
		}, 401, api.CodeKeyInvalid},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			options := []option{}
			if c.option != nil {
				options = append(options, c.option)
			}
			r := b.post(c.queue, c.body, options...)
			if r.status != c.status || !r.hasCode(c.code) || r.run() != api.RunNot {
				t.Fatalf("status %d, run %s: %s", r.status, r.run(), r.body)
			}
			if r.header.Get("Content-Type") != api.ProblemMediaType || r.header.Get(api.HeaderRequestID) == "" {
				t.Fatalf("header %v", r.header)
			}
		})
	}
	if n := b.endpoint.Stats().Accepted; n != 0 {
		t.Fatalf("%d requests reached the endpoint", n)
	}
}

func TestStaleControlRejectsKeyedQueuesOnly(t *testing.T) {
	b := newTestBed(t, standin.EndpointConfig{})
	b.control.setStale()
	if r := b.post("book", "x"); r.run() != api.RunNot || !r.hasCode(api.CodeControlStale) {
		t.Fatalf("status %d: %s", r.status, r.body)
	}
	if r := b.post("open", "x"); r.status != http.StatusOK {
		t.Fatalf("open queue: status %d: %s", r.status, r.body)
	}
}

// TestRechecksBeforeFirstByte changes the configuration, or lets the grant
// expire, between grant and dispatch. The request must not reach the endpoint.
// With the start gate disabled it does, which shows that the test reaches that
// window.
func TestRechecksBeforeFirstByte(t *testing.T) {
	cases := []struct {
		name   string
		change func(*testBed)
		code   api.Code
	}{
		{"key withdrawn", func(b *testBed) { b.control.revoke(testKey) }, api.CodeKeyInvalid},
		{"cut off from control", func(b *testBed) { b.control.setStale() }, api.CodeControlStale},
		{"queue removed", func(b *testBed) { b.control.removeQueue("book") }, api.CodeUnknownQueue},
		{"suspended past the grant", func(b *testBed) { b.slots.startWithin = -1 }, api.CodeEndpointRefused},
	}
	for _, c := range cases {
		for _, disabled := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, gate disabled %t", c.name, disabled), func(t *testing.T) {
				b := newTestBed(t, standin.EndpointConfig{})
				b.origin.client.disabled.startGate = disabled
				b.slots.beforeGrant = func(int) error {
					c.change(b)
					return nil
				}
				r := b.post("book", "x")
				accepted := b.endpoint.Stats().Accepted
				if disabled {
					if accepted != 1 {
						t.Fatalf("%d requests accepted without the gate, want 1", accepted)
					}
					return
				}
				if r.run() != api.RunNot || !r.hasCode(c.code) || accepted != 0 {
					t.Fatalf("%d accepted, status %d: %s", accepted, r.status, r.body)
				}
				for _, released := range b.slots.released() {
					if released.Outcome != dispatch.OutcomeUnused {
						t.Fatalf("released %v", released)
					}
				}
			})
		}
	}
}

// FuzzParseRequest checks that a request with an arbitrary header is either
// rejected or has valid fields.
func FuzzParseRequest(f *testing.F) {
	f.Add("id-1", "Bearer k", "800ms")
	f.Add("", "bearer  ", "-1h")
	f.Add("\x00", "Basic x", "9999999h")
	f.Fuzz(func(t *testing.T, id, key, timeout string) {
		req := httptest.NewRequest(http.MethodPost, "/v1/queues/book/requests", http.NoBody)
		req.Header[api.HeaderRequestID] = []string{id}
		req.Header["Authorization"] = []string{key}
		req.Header[api.HeaderDeadline] = []string{timeout}
		r, p := parseRequest(req)
		if p != nil {
			if p.Run != api.RunNot || p.Code != api.CodeInvalidField || p.Field == "" {
				t.Fatalf("problem %+v", p)
			}
			return
		}
		if r.Timeout <= 0 || r.Timeout > maxTimeout || strings.HasPrefix(r.Key, " ") {
			t.Fatalf("request %+v", r)
		}
	})
}
