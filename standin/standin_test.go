package standin

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"magnoliastand.example/api"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestAnswerProvesItself(t *testing.T) {
	for _, size := range []int{0, 1, 200, 5000} {
		a := Answer("id", "q", []byte("body"), size)
		if len(a) < size || !WholeOwnAnswer(a, "id", "q", []byte("body")) {
			t.Fatalf("size %d: %q", size, a)
		}
		for _, bad := range [][]byte{a[:len(a)-1], append(bytes.Clone(a), '.'), Answer("id2", "q", []byte("body"), size), nil} {
			if WholeOwnAnswer(bad, "id", "q", []byte("body")) {
				t.Fatalf("size %d: %q passes", size, bad)
			}
		}
	}
}

func TestLedgerFindsEachViolation(t *testing.T) {
	cases := []struct {
		rule    Rule
		outcome Outcome
		runs    int
	}{
		{RuleNotRun, Outcome{Kind: OutcomeRefused}, 1},
		{RuleAtMostOnce, Outcome{Kind: OutcomeUnknown}, 2},
		{RuleAtMostOnce, Outcome{Kind: OutcomeLost}, 2},
		{RuleOwnAnswer, Outcome{Kind: OutcomeWrong}, 1},
		{RuleAnswerRan, Outcome{Kind: OutcomeAnswered}, 0},
		{"", Outcome{Kind: OutcomeAnswered}, 1},
		{"", Outcome{Kind: OutcomeUnknown}, 1},
		{"", Outcome{Kind: OutcomeUnknown}, 0},
		{"", Outcome{Kind: OutcomeRefused}, 0},
		{"", Outcome{Kind: OutcomeAnswered, Idempotent: true}, 3},
	}
	for i, c := range cases {
		l := NewLedger()
		c.outcome.ID, c.outcome.Queue = "x", "q"
		l.AddOutcomes([]Outcome{c.outcome})
		l.AddRuns([]RunCount{{ID: "x", Queue: "q", Runs: c.runs}})
		found := l.Check()
		if c.rule == "" && len(found) > 0 || c.rule != "" && (len(found) != 1 || found[0].Rule != c.rule) {
			t.Errorf("case %d: %v", i, found)
		}
	}
	l := NewLedger()
	l.AddStats("e", EndpointStats{OverSlot: 1, AfterLeave: 1})
	l.AddOutcomes([]Outcome{{ID: "y", Queue: "q", Kind: OutcomeLost}})
	l.AddRuns([]RunCount{{ID: "unnamed", Queue: "q", Runs: 2}})
	if found := l.Check(); len(found) != 3 {
		t.Errorf("slots, leaving and an unnamed doubled run: %v", found)
	}
}

// fakeDaemon takes announcements and hands out ids.
type fakeDaemon struct {
	mu            sync.Mutex
	announcements []api.Announcement
	answer        http.HandlerFunc
}

func startFakeDaemon(t *testing.T) (*fakeDaemon, string) {
	d := &fakeDaemon{}
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/endpoints/{id}", func(_ http.ResponseWriter, r *http.Request) {
		var a api.Announcement
		if err := json.NewDecoder(r.Body).Decode(&a); err != nil {
			t.Error(err)
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		d.announcements = append(d.announcements, a)
	})
	mux.HandleFunc("GET /v1/home", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(api.HeaderRequestID, "id-"+randomName())
	})
	mux.HandleFunc("POST /v1/queues/{queue}/requests", func(w http.ResponseWriter, r *http.Request) { d.answer(w, r) })
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return d, strings.TrimPrefix(server.URL, "http://")
}

func (d *fakeDaemon) announced() []api.Announcement {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]api.Announcement(nil), d.announcements...)
}

func TestEndpointAnnouncesItselfAndLeaves(t *testing.T) {
	d, address := startFakeDaemon(t)
	e, err := StartEndpoint(t.Context(), EndpointConfig{
		ID: "e1", Service: "s", Instance: "i", Daemons: []string{"127.0.0.1:1", address}, RenewEvery: time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	for len(d.announced()) < 3 {
		time.Sleep(time.Millisecond)
	}
	if a := d.announced()[0]; a.State != api.EndpointReady || a.Address != e.Address() || a.Slots != DefaultSlots || a.Incarnation == "" {
		t.Fatalf("announced %+v", a)
	}
	if err := e.Leave(t.Context()); err != nil {
		t.Fatal(err)
	}
	if all := d.announced(); all[len(all)-1].State != api.EndpointLeaving {
		t.Fatalf("announced %+v", all[len(all)-1])
	}
}

func TestEndpointCountsWhatIsOverItsBounds(t *testing.T) {
	e, err := StartEndpoint(t.Context(), EndpointConfig{Slots: 1, Connections: 2, RunTime: Delay{Min: 30 * time.Millisecond}})
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() {
			res, err := announceClient.Post("http://"+e.Address()+"/", "text/plain", strings.NewReader("x"))
			if err != nil {
				t.Error(err)
				return
			}
			res.Body.Close()
		})
	}
	wg.Wait()
	for range 4 {
		conn, err := net.Dial("tcp", e.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	for e.Stats().OverConnections < 2 {
		time.Sleep(time.Millisecond)
	}
	if s := e.Stats(); s.OverSlot != 1 || s.Accepted != 1 || s.MaxRunning != 1 || s.MaxConnections != 2 {
		t.Fatalf("%+v", s)
	}
}

// TestCallerResendsLostAnswersWithTheSameID cuts the first answer of each id
// and answers the second send wrongly, refused, or well.
func TestCallerResendsLostAnswersWithTheSameID(t *testing.T) {
	d, address := startFakeDaemon(t)
	var mu sync.Mutex
	sends := map[string]int{}
	d.answer = func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(api.HeaderRequestID)
		mu.Lock()
		sends[id]++
		n := sends[id]
		ids := len(sends)
		mu.Unlock()
		if n == 1 {
			writeRaw(w, nil)
			return
		}
		h := w.Header()
		h.Set(api.HeaderRequestID, id)
		if ids%2 == 0 {
			h.Set(api.HeaderRun, string(api.RunUnknown))
			_ = json.NewEncoder(w).Encode(api.NewProblem(502, api.CodeOutcomeUnknown, api.RunUnknown, ""))
			return
		}
		h.Set(api.HeaderRun, string(api.RunDone))
		_, _ = w.Write(Answer(id, "q", make([]byte, 0), 100))
	}
	c, err := NewCaller(CallerConfig{
		Daemons: []string{address}, Streams: []Stream{{Queue: "q", Weight: 1}}, IDs: IDHome,
		Rate: 1000, Duration: 100 * time.Millisecond, ResendPause: time.Millisecond, Seed: 7,
	})
	if err != nil {
		t.Fatal(err)
	}
	report := c.Run(t.Context())
	s := Summarize(report.Outcomes)
	total := len(report.Outcomes)
	if total == 0 || s.Resent != total || s.Answered+s.Unknown != total || s.Answered == 0 || s.Unknown == 0 {
		t.Fatalf("%d outcomes: %+v", total, s)
	}
	if report.Latency.TotalCount() != int64(s.Answered) {
		t.Fatalf("%d latencies", report.Latency.TotalCount())
	}
}
