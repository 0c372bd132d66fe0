package peerlink

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"
)

// Path is the HTTP path on which links are accepted.
const Path = "/peer"

// outLink is a link dialled by this node. It sends calls and notifications and
// receives replies.
type outLink struct {
	node        *Node
	peer        string
	addr        string
	send        chan frame
	established chan struct{}
	closed      chan struct{}

	// framesLost is set when the filter of SetBlocked dropped a frame. The first
	// frame after the block is lifted closes the link, since a real connection
	// cannot continue after losing data.
	framesLost atomic.Bool

	seq     atomic.Uint64
	mu      sync.Mutex
	pending map[uint64]*pendingCall
	// writtenCalls is the number of pending calls that were written.
	writtenCalls int
	// silentSince is when the first call was written that has been followed by no
	// reply to any call, or the zero time if there is none.
	silentSince time.Time
	// replied, if not nil, is closed at the next reply, or when the link closes.
	replied chan struct{}
	err     error
	ws      *websocket.Conn
	remote  Identity
}

// pendingCall is a call without a reply.
type pendingCall struct {
	reply chan frame
	// written is guarded by the mutex of the link.
	written bool
	// state decides between the goroutine that writes the frame and the caller that
	// withdraws it.
	state atomic.Int32
}

// States of a pending call.
const (
	callQueued int32 = iota
	callTaken
	callWithdrawn
)

// take reports whether the frame of the call is to be written.
func (c *pendingCall) take() bool { return c.state.CompareAndSwap(callQueued, callTaken) }

// withdraw reports whether the call has been given up before any byte of it was
// written.
func (c *pendingCall) withdraw() bool { return c.state.CompareAndSwap(callQueued, callWithdrawn) }

func newOutLink(n *Node, peer, addr string) *outLink {
	return &outLink{
		node:        n,
		peer:        peer,
		addr:        addr,
		send:        make(chan frame, sendQueueFrames),
		established: make(chan struct{}),
		closed:      make(chan struct{}),
		pending:     make(map[uint64]*pendingCall),
	}
}

func (l *outLink) isReady() bool {
	select {
	case <-l.established:
		return !l.isClosed()
	default:
		return false
	}
}

func (l *outLink) isClosed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

func (l *outLink) closeReason() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err == nil {
		return ErrDisconnected
	}
	return l.err
}

// run dials the peer, then reads replies until the link breaks.
func (l *outLink) run() {
	ws, remote, err := l.dial()
	if err != nil {
		l.close(err)
		return
	}
	l.mu.Lock()
	l.ws = ws
	l.remote = remote
	closed := l.err != nil
	l.mu.Unlock()
	if closed {
		_ = ws.CloseNow()
		return
	}
	l.node.wg.Go(l.write)
	l.node.wg.Go(l.ping)
	close(l.established)
	err = l.read()
	l.close(err)
	if l.node.cfg.OnDown != nil && l.node.ctx.Err() == nil {
		l.node.cfg.OnDown(l.peer)
	}
}

func (l *outLink) dial() (*websocket.Conn, Identity, error) {
	ctx, cancel := context.WithTimeout(l.node.ctx, HandshakeTimeout)
	defer cancel()
	if l.node.isBlocked(Identity{Name: l.peer}) {
		<-ctx.Done()
		return nil, Identity{}, errors.Wrap(ErrUnreachable, l.peer)
	}
	scheme := "ws://"
	transport := &http.Transport{DisableKeepAlives: true}
	if l.node.cfg.TLS != nil {
		scheme = "wss://"
		transport.TLSClientConfig = l.node.cfg.TLS.Clone()
	}
	ws, resp, err := websocket.Dial(ctx, scheme+l.addr+Path, &websocket.DialOptions{
		HTTPClient: &http.Client{Transport: transport},
	})
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close()
	}
	if err != nil {
		return nil, Identity{}, errors.Wrap(ErrUnreachable, err.Error())
	}
	ws.SetReadLimit(MaxFrameBytes)
	remote, err := clientHandshake(ctx, ws, l.node.cfg.Self, l.peer, l.node.cfg.Secret)
	if err != nil {
		_ = ws.CloseNow()
		return nil, Identity{}, err
	}
	return ws, remote, nil
}

func (l *outLink) read() error {
	for {
		_, b, err := l.ws.Read(l.node.ctx)
		if err != nil {
			return errors.Wrap(ErrDisconnected, err.Error())
		}
		if l.node.isBlocked(l.remote) {
			l.framesLost.Store(true)
			continue
		}
		if l.framesLost.Load() {
			return errors.Wrap(ErrDisconnected, "frames were lost")
		}
		l.node.stats.addReceived(len(b))
		var f frame
		if err := decode(b, &f); err != nil {
			return err
		}
		if f.Kind == frameReply {
			l.deliver(f)
		}
	}
}

func (l *outLink) deliver(f frame) {
	l.mu.Lock()
	c, ok := l.pending[f.Seq]
	l.deletePending(f.Seq)
	l.silentSince = time.Time{}
	if l.writtenCalls > 0 {
		l.silentSince = time.Now()
	}
	l.wakeWaiters()
	l.mu.Unlock()
	if ok {
		c.reply <- f
	}
}

// wakeWaiters closes replied. The caller holds mu.
func (l *outLink) wakeWaiters() {
	if l.replied != nil {
		close(l.replied)
		l.replied = nil
	}
}

// noteWritten records that a call was written.
func (l *outLink) noteWritten(seq uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, ok := l.pending[seq]
	if !ok {
		return // the reply has arrived already, or the call was abandoned
	}
	c.written = true
	l.writtenCalls++
	if l.silentSince.IsZero() {
		l.silentSince = time.Now()
	}
}

// silence returns for how long calls have been without any reply.
func (l *outLink) silence() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.silentSince.IsZero() {
		return 0
	}
	return time.Since(l.silentSince)
}

// nextReply returns a channel that is closed at the next reply, or when the link
// closes.
func (l *outLink) nextReply() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil {
		return l.closed
	}
	if l.replied == nil {
		l.replied = make(chan struct{})
	}
	return l.replied
}

func (l *outLink) write() {
	for {
		select {
		case f := <-l.send:
			if f.call != nil && !f.call.take() {
				continue
			}
			if l.node.isBlocked(l.remote) {
				l.framesLost.Store(true)
				l.noteWritten(f.Seq)
				continue
			}
			if l.framesLost.Load() {
				l.close(errors.Wrap(ErrDisconnected, "frames were lost"))
				return
			}
			if err := l.node.sendFrame(l.ws, f); err != nil {
				l.close(err)
				return
			}
			if f.call != nil {
				l.noteWritten(f.Seq)
			}
		case <-l.closed:
			return
		}
	}
}

// ping closes the link when the peer stops answering pings, so that a peer that
// failed without closing its connection is dialled again.
func (l *outLink) ping() {
	ticker := time.NewTicker(l.node.cfg.PingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-l.closed:
			return
		}
		ctx, cancel := context.WithTimeout(l.node.ctx, l.node.cfg.PingInterval)
		err := l.ws.Ping(ctx)
		cancel()
		if err != nil {
			l.close(errors.Wrap(ErrDisconnected, "ping not answered"))
			return
		}
	}
}

func (l *outLink) enqueue(f frame) bool {
	select {
	case l.send <- f:
		return true
	default:
		l.node.stats.addDropped()
		return false
	}
}

func (l *outLink) call(ctx context.Context, method string, payload []byte) ([]byte, error) {
	c := &pendingCall{reply: make(chan frame, 1)}
	seq := l.seq.Add(1)
	l.mu.Lock()
	if l.err != nil {
		l.mu.Unlock()
		return nil, errors.Wrap(ErrUnreachable, l.peer)
	}
	l.pending[seq] = c
	l.mu.Unlock()
	defer l.removePending(seq)
	if !l.enqueue(frame{Kind: frameCall, Seq: seq, Method: method, Payload: payload, call: c}) {
		return nil, errors.Wrap(ErrBusy, l.peer)
	}
	select {
	case f := <-c.reply:
		if f.Error != nil {
			return nil, &RemoteError{Code: f.Error.Code, Detail: f.Error.Detail}
		}
		return f.Payload, nil
	case <-l.closed:
		if c.withdraw() {
			return nil, errors.Wrap(ErrUnreachable, l.peer)
		}
		return nil, errors.Wrap(ErrDisconnected, l.peer)
	case <-ctx.Done():
		if c.withdraw() {
			return nil, errors.Wrap(ErrUnreachable, ctx.Err().Error())
		}
		return nil, ctx.Err()
	}
}

func (l *outLink) removePending(seq uint64) {
	l.mu.Lock()
	l.deletePending(seq)
	l.mu.Unlock()
}

// deletePending deletes a pending call, if it is there. The caller holds mu.
func (l *outLink) deletePending(seq uint64) {
	if c, ok := l.pending[seq]; ok && c.written {
		l.writtenCalls--
	}
	delete(l.pending, seq)
}

func (l *outLink) close(err error) {
	l.mu.Lock()
	if l.err == nil {
		l.err = err
		close(l.closed)
		l.wakeWaiters()
	}
	ws := l.ws
	l.mu.Unlock()
	if ws != nil {
		_ = ws.CloseNow()
	}
}

// sendFrame encodes a frame and writes it within writeTimeout.
func (n *Node) sendFrame(ws *websocket.Conn, f frame) error {
	b, err := encode(f)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(n.ctx, writeTimeout)
	defer cancel()
	n.stats.addSent(len(b))
	return writeFrame(ctx, ws, b)
}
