package origin

import (
	"context"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"magnoliastand.example/api"
	"magnoliastand.example/dispatch"
	"magnoliastand.example/dispatch/record"
	"magnoliastand.example/standin"
)

func TestMain(m *testing.M) {
	// net/http logs the second copy of a duplicate response.
	log.SetOutput(io.Discard)
	goleak.VerifyTestMain(m)
}

const testKey = "key-1"

type fakeControl struct {
	mu    sync.Mutex
	stale bool
	// removedQueue is a queue that was removed from the configuration.
	removedQueue string
	keys         map[string]string
}

func newFakeControl() *fakeControl { return &fakeControl{keys: map[string]string{testKey: "team-1"}} }

func (c *fakeControl) Authorize(key string) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if team, ok := c.keys[key]; ok {
		return team, nil
	}
	return "", ErrKeyInvalid
}

func (c *fakeControl) revoke(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.keys, key)
}

func (c *fakeControl) removeQueue(queue string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removedQueue = queue
}

func (c *fakeControl) setStale() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stale = true
}

func (c *fakeControl) Fresh() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.stale
}

func (c *fakeControl) Queue(name string) (QueueInfo, bool) {
	info := QueueInfo{LongestRun: time.Second, Queue: api.Queue{
		Name: name, MaxBodyBytes: 1024, MaxWait: api.Duration(time.Second),
	}}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch name {
	case c.removedQueue:
		return QueueInfo{}, false
	case "book":
	case "quote":
		info.Queue.Idempotent = true
	case "open":
		info.Queue.Open = true
	default:
		return QueueInfo{}, false
	}
	return info, true
}

// fakeSlots grants slots at the targets in round-robin order.
type fakeSlots struct {
	mu       sync.Mutex
	slots    chan struct{}
	targets  []string
	seq      uint64
	asks     []dispatch.Ask
	releases []dispatch.Release
	// beforeGrant, if set, is called before each grant with the number of asks so
	// far. An error fails the ask.
	beforeGrant func(n int) error
	startWithin time.Duration
	longestRun  time.Duration
}

func newFakeSlots(slots int, targets ...string) *fakeSlots {
	s := &fakeSlots{slots: make(chan struct{}, slots), targets: targets, startWithin: time.Second}
	for range slots {
		s.slots <- struct{}{}
	}
	return s
}

func (s *fakeSlots) Ask(ctx context.Context, ask dispatch.Ask) (dispatch.Grant, error) {
	s.mu.Lock()
	s.asks = append(s.asks, ask)
	n, before := len(s.asks), s.beforeGrant
	s.mu.Unlock()
	if before != nil {
		if err := before(n); err != nil {
			return dispatch.Grant{}, err
		}
	}
	select {
	case <-s.slots:
	case <-ctx.Done():
		return dispatch.Grant{}, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	target := s.targets[int(s.seq)%len(s.targets)]
	return dispatch.Grant{
		ID: dispatch.GrantID{Zone: "za", Term: 1, Seq: s.seq}, RequestID: ask.RequestID, Queue: ask.Queue,
		Endpoint: target, Address: target, StartWithin: s.startWithin, LongestRun: s.longestRun,
	}, nil
}

func (s *fakeSlots) Release(r dispatch.Release) {
	s.mu.Lock()
	s.releases = append(s.releases, r)
	s.mu.Unlock()
	s.slots <- struct{}{}
}

func (s *fakeSlots) released() []dispatch.Release {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]dispatch.Release(nil), s.releases...)
}

// testBed is an origin served over HTTP, with a stand-in endpoint.
type testBed struct {
	t        *testing.T
	control  *fakeControl
	slots    *fakeSlots
	records  *record.Service
	origin   *Origin
	server   *httptest.Server
	endpoint *standin.Endpoint
}

func newTestBed(t *testing.T, cfg standin.EndpointConfig) *testBed {
	endpoint, err := standin.StartEndpoint(t.Context(), cfg)
	if err != nil {
		t.Fatal(err)
	}
	b := newTestBedAt(t, endpoint.Address())
	b.endpoint = endpoint
	t.Cleanup(endpoint.Close)
	return b
}

func newTestBedAt(t *testing.T, targets ...string) *testBed {
	self := dispatch.DaemonID{Name: "d1", Incarnation: "i1"}
	records := record.New(record.Config{Self: self, Zone: "za", FirstIncarnation: true})
	records.SetMembers([]record.Member{{Name: "d1", Zone: "za"}})
	b := &testBed{t: t, control: newFakeControl(), slots: newFakeSlots(standin.DefaultSlots, targets...), records: records}
	b.origin = New(Config{Self: self, Zone: "za", Control: b.control, Records: records, Slots: b.slots})
	mux := http.NewServeMux()
	b.origin.Register(mux)
	b.server = httptest.NewServer(mux)
	t.Cleanup(func() {
		b.server.Client().CloseIdleConnections()
		b.server.Close()
		b.origin.Close()
		records.Close()
	})
	return b
}

type reply struct {
	status int
	header http.Header
	body   string
}

func (r reply) run() api.Run { return api.Run(r.header.Get(api.HeaderRun)) }

func (r reply) hasCode(c api.Code) bool {
	return strings.Contains(r.body, fmt.Sprintf("%q:%q", "code", c))
}

type option func(*http.Request)

func header(name, value string) option { return func(r *http.Request) { r.Header.Set(name, value) } }

func (b *testBed) post(queue, body string, options ...option) reply {
	b.t.Helper()
	r, err := b.tryPost(b.t.Context(), queue, body, options...)
	if err != nil {
		b.t.Fatal(err)
	}
	return r
}

func (b *testBed) tryPost(ctx context.Context, queue, body string, options ...option) (reply, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost,
		b.server.URL+"/v1/queues/"+queue+"/requests", strings.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	for _, o := range options {
		o(req)
	}
	res, err := b.server.Client().Do(req)
	if err != nil {
		return reply{}, err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	return reply{status: res.StatusCode, header: res.Header, body: string(text)}, err
}
