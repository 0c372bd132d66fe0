package peerlink

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// Guards against an unknown outcome of a call of which no byte was sent: its frame was still in
// the send queue when the link broke or the call's time was over.
func TestQueuedCallIsNotSent(t *testing.T) {
	for name, end := range map[string]func(*outLink, context.CancelFunc){
		"link breaks":       func(l *outLink, _ context.CancelFunc) { l.close(ErrDisconnected) },
		"time of call ends": func(_ *outLink, cancel context.CancelFunc) { cancel() },
	} {
		for _, taken := range []bool{false, true} {
			l := newOutLink(nil, "b", "") // nothing reads its send queue
			ctx, cancel := context.WithCancel(t.Context())
			result := make(chan error, 1)
			go func() {
				_, err := l.call(ctx, "echo", nil)
				result <- err
			}()
			f := <-l.send
			if taken && !f.call.take() {
				t.Fatalf("%s: the frame of a waiting call can't be written", name)
			}
			end(l, cancel)
			if err := <-result; errors.Is(err, ErrUnreachable) == taken {
				t.Errorf("%s, frame taken for writing %t: error %v", name, taken, err)
			}
			if !taken && f.call.take() {
				t.Errorf("%s: the frame of a withdrawn call is written", name)
			}
			cancel()
		}
	}
}

// Guards against a peer that seems responsive while it leaves calls unanswered, and against one
// that seems silent although it replies to other calls.
func TestSilenceEndsWithReplyToAnyCall(t *testing.T) {
	a, b := echoPair(t)
	received := make(chan struct{}, 1)
	b.Handle("hang", func(ctx context.Context, _ Identity, _ []byte) (any, error) {
		received <- struct{}{}
		<-ctx.Done()
		return nil, ctx.Err()
	})
	if a.Silence("b") != 0 {
		t.Error("silence without a link")
	}
	<-a.NextReply("b")
	if err := a.Call(t.Context(), "b", "echo", echoMessage{"hi"}, nil); err != nil || a.Silence("b") != 0 {
		t.Fatalf("silence of %s after a reply, error %v", a.Silence("b"), err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	hung := make(chan error, 1)
	go func() { hung <- a.Call(ctx, "b", "hang", echoMessage{}, nil) }()
	<-received
	for a.Silence("b") < 50*time.Millisecond {
		time.Sleep(time.Millisecond)
	}
	next := a.NextReply("b")
	select {
	case <-next:
		t.Error("a reply is reported while there is none")
	default:
	}
	before := a.Silence("b")
	if err := a.Call(t.Context(), "b", "echo", echoMessage{"hi"}, nil); err != nil {
		t.Fatal(err)
	}
	<-next
	if after := a.Silence("b"); after >= before {
		t.Errorf("silence of %s after the reply to another call, before %s", after, before)
	}
	// An abandoned call still counts as unanswered.
	cancel()
	<-hung
	for a.Silence("b") < 50*time.Millisecond {
		time.Sleep(time.Millisecond)
	}
	next = a.NextReply("b")
	b.Close()
	<-next
}

// Guards against taking a slow uplink for a silent peer: calls that wait in the send queue do not
// count.
func TestQueuedCallIsNoSilence(t *testing.T) {
	l := newOutLink(nil, "b", "")
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = l.call(ctx, "echo", nil)
	}()
	f := <-l.send
	l.deliver(frame{Kind: frameReply, Seq: f.Seq + 1}) // of a call that was abandoned
	if l.silence() != 0 {
		t.Error("silence before the call was written")
	}
	l.noteWritten(f.Seq)
	time.Sleep(time.Millisecond)
	if l.silence() == 0 {
		t.Error("no silence after the call was written")
	}
	cancel()
	<-done
	l.deliver(frame{Kind: frameReply, Seq: f.Seq})
	if l.silence() != 0 || l.writtenCalls != 0 {
		t.Errorf("silence of %s with %d written calls after the reply to an abandoned call", l.silence(), l.writtenCalls)
	}
}
