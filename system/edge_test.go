package system

import (
	"context"
	"net"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"magnoliastand.example/cluster"
	"magnoliastand.example/peerlink"
	"magnoliastand.example/platform"
	"magnoliastand.example/workload"
)

// fakeLeader starts a peer that reports itself as the leader and serves requests
// with the given handler. It returns the peer's name.
func fakeLeader(t *testing.T, handler peerlink.CallHandler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	name := l.Addr().String()
	link := testLink(t, name)
	link.Handle("cluster.lead", func(context.Context, peerlink.Identity, []byte) (any, error) {
		return map[int]any{1: name, 2: uint64(1), 3: []string{name}}, nil
	})
	link.Handle(methodRequest, handler)
	s := httptest.NewUnstartedServer(link.Handler())
	_ = s.Listener.Close()
	s.Listener = l
	s.Start()
	t.Cleanup(s.CloseClientConnections)
	return name
}

func testLink(t testing.TB, name string) *peerlink.Node {
	t.Helper()
	link, err := peerlink.New(peerlink.Config{
		Self:   peerlink.Identity{Cluster: "c", Name: name, Incarnation: name},
		Secret: []byte("0123456789abcdef"), NamesAreAddresses: true, Log: zerolog.Nop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(link.Close)
	return link
}

func testEdge(t *testing.T, leader string) *edge {
	t.Helper()
	link := testLink(t, "edge")
	e := &edge{
		log: zerolog.Nop(), link: link, finder: cluster.NewFinder(link, []string{leader}, zerolog.Nop()),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "a"}, []string{"verb", "answer"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "d"}, []string{"verb"}),
		stopping: make(chan struct{}),
	}
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go e.finder.Run(ctx)
	return e
}

// Guards against answering "not run" although an attempt may have run: a retry
// that is not accepted must not hide the unknown outcome of an earlier attempt.
func TestEdgeFinalAnswers(t *testing.T) {
	const timeout = 400 * time.Millisecond
	calls := 0
	for name, tc := range map[string]struct {
		handler peerlink.CallHandler
		want    workload.Answer
	}{
		"answered": {func(context.Context, peerlink.Identity, []byte) (any, error) {
			return workload.Response{Answer: workload.AnswerOK}, nil
		}, workload.AnswerOK},
		"not accepted": {func(context.Context, peerlink.Identity, []byte) (any, error) {
			return nil, toRemoteError(platform.ErrUnavailable)
		}, workload.AnswerNotRun},
		"outcome unknown": {func(context.Context, peerlink.Identity, []byte) (any, error) {
			return nil, &peerlink.RemoteError{Code: codeUnknown, Detail: "leadership lost"}
		}, workload.AnswerUnknown},
		"no answer": {func(ctx context.Context, _ peerlink.Identity, _ []byte) (any, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}, workload.AnswerUnknown},
		"outcome unknown, then not accepted": {func(context.Context, peerlink.Identity, []byte) (any, error) {
			calls++
			if calls == 1 {
				return nil, &peerlink.RemoteError{Code: codeUnknown, Detail: "leadership lost"}
			}
			return nil, toRemoteError(platform.ErrUnavailable)
		}, workload.AnswerUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			e := testEdge(t, fakeLeader(t, tc.handler))
			for !e.Ready() {
				time.Sleep(time.Millisecond)
			}
			resp := e.Serve(t.Context(), &workload.Request{Verb: workload.VerbSubmit, Path: "/q/1"}, timeout)
			if resp.Answer != tc.want {
				t.Errorf("answer %s (%s), want %s", resp.Answer, resp.Reason, tc.want)
			}
		})
	}
}

// REFUSED: a submission ran, its answer was lost, and the refusal of the repeated call was
// passed on to the caller because its key or queue had been removed meanwhile.
func TestRefusalOfRepeatedCallDoesNotHideEarlierOutcome(t *testing.T) {
	refusals := []workload.Answer{
		workload.AnswerUnknownKey, workload.AnswerNoQueue, workload.AnswerMalformed, workload.AnswerNotRun, workload.AnswerNoJob,
	}
	lost := map[string]func(context.Context) error{
		"no answer": func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() },
		"outcome unknown": func(context.Context) error {
			return &peerlink.RemoteError{Code: codeUnknown, Detail: "leadership lost"}
		},
	}
	for name, tc := range map[string]struct {
		request workload.Request
		// final are the refusals that hold for every attempt.
		final []workload.Answer
	}{
		"submission":            {workload.Request{Verb: workload.VerbSubmit}, nil},
		"cancellation":          {workload.Request{Verb: workload.VerbCancel}, []workload.Answer{workload.AnswerNoJob}},
		"read of a job":         {workload.Request{Verb: workload.VerbState}, refusals},
		"unreadable submission": {workload.Request{Verb: workload.VerbSubmit, Fault: "body: not JSON"}, refusals},
	} {
		for how, lose := range lost {
			for _, refusal := range refusals {
				t.Run(name+", "+how+", "+refusal.String(), func(t *testing.T) {
					t.Parallel()
					var calls atomic.Int64
					e := testEdge(t, fakeLeader(t, func(ctx context.Context, _ peerlink.Identity, _ []byte) (any, error) {
						if calls.Add(1) == 1 {
							return nil, lose(ctx)
						}
						return workload.Response{Answer: refusal, Reason: "changed"}, nil
					}))
					for !e.Ready() {
						time.Sleep(time.Millisecond)
					}
					want := workload.AnswerUnknown
					if slices.Contains(tc.final, refusal) {
						want = refusal
					}
					if resp := e.Serve(t.Context(), &tc.request, 3*time.Second); resp.Answer != want {
						t.Errorf("answer %s (%s), want %s", resp.Answer, resp.Reason, want)
					}
				})
			}
		}
	}
}

// TestEdgeLeavesSuspendedLeader lets the leader receive a request and answer
// nothing. Once another leader is known, the request must be answered by that one.
func TestEdgeLeavesSuspendedLeader(t *testing.T) {
	received := make(chan struct{})
	old := fakeLeader(t, func(ctx context.Context, _ peerlink.Identity, _ []byte) (any, error) {
		close(received)
		<-ctx.Done()
		return nil, ctx.Err()
	})
	e := testEdge(t, old)
	for !e.Ready() {
		time.Sleep(time.Millisecond)
	}
	changed := make(chan struct{})
	go func() { <-received; close(changed) }()
	_, err := e.attempt(t.Context(), old, changed, &workload.Request{Verb: workload.VerbSubmit, Path: "/q/1"})
	if !errors.Is(err, context.Canceled) || !mayHaveRun(err) {
		t.Errorf("error %v; want a canceled call that may have run", err)
	}
}

func TestEdgeWithoutLeaderRefuses(t *testing.T) {
	e := testEdge(t, "127.0.0.1:1")
	resp := e.Serve(t.Context(), &workload.Request{Verb: workload.VerbSubmit}, 200*time.Millisecond)
	if resp.Answer != workload.AnswerNotRun || e.Ready() {
		t.Errorf("answer %s, ready %t; want not run, not ready", resp.Answer, e.Ready())
	}
	close(e.stopping)
	if e.Ready() {
		t.Error("edge is ready while shutting down")
	}
}

func TestSplitGracePeriod(t *testing.T) {
	for grace, want := range map[time.Duration][2]time.Duration{
		6 * time.Second: {maxDrainDuration, 2500 * time.Millisecond},
		4 * time.Second: {2 * time.Second, time.Second},
		time.Second:     {500 * time.Millisecond, 0},
	} {
		if drain, rest := splitGracePeriod(grace); drain != want[0] || rest != want[1] {
			t.Errorf("grace period %s: drain %s, rest %s, want %v", grace, drain, rest, want)
		}
	}
}
