package peerlink

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"
)

const testSecret = "0123456789abcdef"

type echoMessage struct {
	Text string `cbor:"1,keyasint"`
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func testNode(t *testing.T, name, cluster, secret string, addresses map[string]string) *Node {
	t.Helper()
	n, err := New(Config{
		Self:      Identity{Cluster: cluster, Name: name, Incarnation: "1", Zone: "z"},
		Secret:    []byte(secret),
		Addresses: addresses,
		Log:       zerolog.Nop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	return n
}

// serveNode starts a server for n and adds its address to addresses.
func serveNode(t *testing.T, n *Node, addresses map[string]string) *httptest.Server {
	t.Helper()
	srv := httptest.NewServer(n.Handler())
	t.Cleanup(func() {
		n.Close()
		srv.Close()
	})
	addresses[n.Self().Name] = strings.TrimPrefix(srv.URL, "http://")
	return srv
}

func echoPair(t *testing.T) (*Node, *Node) {
	t.Helper()
	addresses := map[string]string{}
	a := testNode(t, "a", "c", testSecret, addresses)
	b := testNode(t, "b", "c", testSecret, addresses)
	b.Handle("echo", func(_ context.Context, from Identity, payload []byte) (any, error) {
		var m echoMessage
		if err := decode(payload, &m); err != nil {
			return nil, err
		}
		if m.Text == "fail" {
			return nil, &RemoteError{Code: "chosen", Detail: from.Name}
		}
		return m, nil
	})
	serveNode(t, b, addresses)
	return a, b
}

func TestCallReturnsReplyAndRemoteError(t *testing.T) {
	a, _ := echoPair(t)
	var got echoMessage
	if err := a.Call(t.Context(), "b", "echo", echoMessage{"hi"}, &got); err != nil || got.Text != "hi" {
		t.Fatalf("echo: reply %q, error %v", got.Text, err)
	}
	err := a.Call(t.Context(), "b", "echo", echoMessage{"fail"}, &got)
	var re *RemoteError
	if !errors.As(err, &re) || re.Code != "chosen" || re.Detail != "a" {
		t.Fatalf("failing handler: error %v, want its remote error", err)
	}
	err = a.Call(t.Context(), "b", "none", echoMessage{}, nil)
	if !errors.As(err, &re) || re.Code != CodeUnknownMethod {
		t.Fatalf("unknown method: error %v", err)
	}
	if err := a.Call(t.Context(), "x", "echo", echoMessage{}, nil); !errors.Is(err, ErrUnknownPeer) {
		t.Fatalf("unknown peer: error %v", err)
	}
}

func TestUntrustedPeersAreRefused(t *testing.T) {
	for _, tc := range []struct{ name, cluster, secret string }{
		{"wrong secret", "c", "fedcba9876543210"},
		{"wrong cluster", "d", testSecret},
	} {
		t.Run(tc.name, func(t *testing.T) {
			addresses := map[string]string{}
			b := testNode(t, "b", "c", testSecret, addresses)
			b.Handle("echo", func(context.Context, Identity, []byte) (any, error) {
				t.Error("call of an untrusted peer was handled")
				return nil, nil
			})
			serveNode(t, b, addresses)
			a := testNode(t, "a", tc.cluster, tc.secret, addresses)
			err := a.Call(t.Context(), "b", "echo", echoMessage{"hi"}, nil)
			if err == nil {
				t.Fatal("call of an untrusted peer succeeded")
			}
		})
	}
}

func TestBrokenLinkFailsPendingCallsAndRedials(t *testing.T) {
	addresses := map[string]string{}
	a := testNode(t, "a", "c", testSecret, addresses)
	entered := make(chan struct{}, 1)
	b := testNode(t, "b", "c", testSecret, addresses)
	b.Handle("hang", func(ctx context.Context, _ Identity, _ []byte) (any, error) {
		entered <- struct{}{}
		<-ctx.Done()
		return nil, ctx.Err()
	})
	srv := serveNode(t, b, addresses)
	done := make(chan error, 1)
	go func() { done <- a.Call(context.Background(), "b", "hang", echoMessage{}, nil) }()
	<-entered
	b.Close()
	if err := <-done; !errors.Is(err, ErrDisconnected) {
		t.Fatalf("pending call: error %v, want ErrDisconnected", err)
	}
	srv.Close()
	b2 := testNode(t, "b", "c", testSecret, addresses)
	b2.Handle("hang", func(context.Context, Identity, []byte) (any, error) { return nil, nil })
	serveNode(t, b2, addresses)
	for {
		err := a.Call(t.Context(), "b", "hang", echoMessage{}, nil)
		if err == nil {
			return
		}
		if !errors.Is(err, ErrUnreachable) && !errors.Is(err, ErrDisconnected) {
			t.Fatalf("call after the restart: error %v", err)
		}
	}
}

func TestCallToBlockedPeerTimesOut(t *testing.T) {
	a, b := echoPair(t)
	var got echoMessage
	if err := a.Call(t.Context(), "b", "echo", echoMessage{"hi"}, &got); err != nil {
		t.Fatal(err)
	}
	b.SetBlocked(func(p Identity) bool { return p.Name == "a" })
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if err := a.Call(ctx, "b", "echo", echoMessage{"hi"}, &got); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("call to a blocked peer: error %v, want DeadlineExceeded", err)
	}
	b.SetBlocked(nil)
	// A frame was dropped, so the link closes before it carries another one.
	err := a.Call(t.Context(), "b", "echo", echoMessage{"again"}, &got)
	if err != nil && !errors.Is(err, ErrDisconnected) {
		t.Fatalf("call after the block: error %v", err)
	}
	for err != nil {
		err = a.Call(t.Context(), "b", "echo", echoMessage{"again"}, &got)
	}
	if got.Text != "again" {
		t.Fatalf("call after the block: reply %q", got.Text)
	}
}

func FuzzDecodeFrame(f *testing.F) {
	b, err := encode(frame{Kind: frameCall, Seq: 1, Method: "m", Payload: []byte{1}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte{0xa1})
	f.Fuzz(func(t *testing.T, data []byte) {
		var fr frame
		if decode(data, &fr) != nil {
			return
		}
		if _, err := encode(fr); err != nil {
			t.Fatal(err)
		}
	})
}

func BenchmarkCall(b *testing.B) {
	addresses := map[string]string{}
	mk := func(name string) *Node {
		n, err := New(Config{Self: Identity{Cluster: "c", Name: name}, Secret: []byte(testSecret), Addresses: addresses, Log: zerolog.Nop()})
		if err != nil {
			b.Fatal(err)
		}
		return n
	}
	a, s := mk("a"), mk("b")
	s.Handle("echo", func(_ context.Context, _ Identity, _ []byte) (any, error) { return echoMessage{"x"}, nil })
	srv := httptest.NewServer(s.Handler())
	addresses["b"] = strings.TrimPrefix(srv.URL, "http://")
	defer srv.Close()
	defer s.Close()
	defer a.Close()
	b.ReportAllocs()
	b.ResetTimer()
	for b.Loop() {
		if err := a.Call(context.Background(), "b", "echo", echoMessage{"x"}, nil); err != nil {
			b.Fatal(err)
		}
	}
}

// TestHandlerPanicEndsCallOnly lets handlers of a call and of a notification panic.
// The caller must learn that the call may have run, and the link must go on.
func TestHandlerPanicEndsCallOnly(t *testing.T) {
	addresses := map[string]string{}
	a, b := testNode(t, "a", "c", testSecret, addresses), testNode(t, "b", "c", testSecret, addresses)
	crash := func() { panic("unexpected") }
	b.Handle("crash", func(context.Context, Identity, []byte) (any, error) { crash(); return nil, nil })
	b.HandleNotify("crash", func(Identity, []byte) { crash() })
	b.Handle("works", func(context.Context, Identity, []byte) (any, error) { return echoMessage{Text: "yes"}, nil })
	serveNode(t, a, addresses)
	serveNode(t, b, addresses)
	var remote *RemoteError
	if err := a.Call(t.Context(), "b", "crash", echoMessage{}, nil); !errors.As(err, &remote) || remote.Code != CodeOutcomeUnknown {
		t.Errorf("error %v, want code %s", err, CodeOutcomeUnknown)
	}
	a.Notify("b", "crash", echoMessage{})
	var reply echoMessage
	if err := a.Call(t.Context(), "b", "works", echoMessage{}, &reply); err != nil || reply.Text != "yes" {
		t.Errorf("reply %q, %v", reply.Text, err)
	}
	for b.Stats().HandlerPanics < 2 {
		time.Sleep(time.Millisecond)
	}
}

// TestLargeMessageBeforeHandshakeIsRejected guards against clients that have not authenticated
// and make the process hold a message of the size that frames of peers may have.
func TestLargeMessageBeforeHandshakeIsRejected(t *testing.T) {
	addresses := map[string]string{}
	serveNode(t, testNode(t, "b", "c", testSecret, addresses), addresses)
	ws, _, err := websocket.Dial(t.Context(), "ws://"+addresses["b"]+Path, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer ws.CloseNow()
	// The peer can reject this message only once it has nearly all of it: one much larger may be
	// cut off by the rejection while it is being written.
	if err := ws.Write(t.Context(), websocket.MessageBinary, make([]byte, maxHandshakeBytes+2)); err != nil {
		t.Fatal(err)
	}
	if _, _, err = ws.Read(t.Context()); websocket.CloseStatus(err) != websocket.StatusMessageTooBig {
		t.Errorf("the connection ended with %v", err)
	}
}
