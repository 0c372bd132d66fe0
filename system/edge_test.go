package system

import (
	"context"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"magnoliastand.example/cluster"
	"magnoliastand.example/peerlink"
	"magnoliastand.example/platform"
	"magnoliastand.example/workload"
)

// fakeLeader names itself leader and answers requests with a function.
func fakeLeader(t *testing.T, answer peerlink.CallHandler) string {
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
	link.Handle(methodRequest, answer)
	s := httptest.NewUnstartedServer(link.Handler())
	_ = s.Listener.Close()
	s.Listener = l
	s.Start()
	t.Cleanup(s.CloseClientConnections)
	return name
}

func testLink(t *testing.T, name string) *peerlink.Node {
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
		answers:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "a"}, []string{"verb", "answer"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "d"}, []string{"verb"}),
		stopping: make(chan struct{}),
	}
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go e.finder.Run(ctx)
	return e
}

// A refusal says "not run" only where no attempt may have run.
func TestFinalAnswersOfTheEdge(t *testing.T) {
	const patience = 400 * time.Millisecond
	calls := 0
	for name, tc := range map[string]struct {
		answer peerlink.CallHandler
		want   workload.Answer
	}{
		"answered": {func(context.Context, peerlink.Identity, []byte) (any, error) {
			return workload.Response{Answer: workload.AnswerOK}, nil
		}, workload.AnswerOK},
		"not taken on": {func(context.Context, peerlink.Identity, []byte) (any, error) {
			return nil, toRemote(platform.ErrUnavailable)
		}, workload.AnswerNotRun},
		"outcome unknown": {func(context.Context, peerlink.Identity, []byte) (any, error) {
			return nil, &peerlink.RemoteError{Code: codeUnknown, Detail: "lost the lead"}
		}, workload.AnswerUnknown},
		"no answer": {func(ctx context.Context, _ peerlink.Identity, _ []byte) (any, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}, workload.AnswerUnknown},
		"unknown first, then not taken on": {func(context.Context, peerlink.Identity, []byte) (any, error) {
			calls++
			if calls == 1 {
				return nil, &peerlink.RemoteError{Code: codeUnknown, Detail: "lost the lead"}
			}
			return nil, toRemote(platform.ErrUnavailable)
		}, workload.AnswerUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			e := testEdge(t, fakeLeader(t, tc.answer))
			for !e.Ready() {
				time.Sleep(time.Millisecond)
			}
			resp := e.Serve(t.Context(), &workload.Request{Verb: workload.VerbSubmit, Path: "/q/1"}, patience)
			if resp.Answer != tc.want {
				t.Errorf("%s (%s), want %s", resp.Answer, resp.Reason, tc.want)
			}
		})
	}
}

func TestEdgeWithoutALeaderRefuses(t *testing.T) {
	e := testEdge(t, "127.0.0.1:1")
	resp := e.Serve(t.Context(), &workload.Request{Verb: workload.VerbSubmit}, 200*time.Millisecond)
	if resp.Answer != workload.AnswerNotRun || e.Ready() {
		t.Errorf("%s, ready %t", resp.Answer, e.Ready())
	}
	close(e.stopping)
	if e.Ready() {
		t.Error("a stopping edge is ready")
	}
}

func TestGraceTimeIsSplit(t *testing.T) {
	for grace, want := range map[time.Duration][2]time.Duration{
		6 * time.Second: {drainTime, 2500 * time.Millisecond},
		4 * time.Second: {2 * time.Second, time.Second},
		time.Second:     {500 * time.Millisecond, 0},
	} {
		if drain, rest := drainTimes(grace); drain != want[0] || rest != want[1] {
			t.Errorf("%s: %s and %s, want %v", grace, drain, rest, want)
		}
	}
}
