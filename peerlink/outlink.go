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
	pending map[uint64]chan frame
	err     error
	ws      *websocket.Conn
	remote  Identity
}

func newOutLink(n *Node, peer, addr string) *outLink {
	return &outLink{
		node:        n,
		peer:        peer,
		addr:        addr,
		send:        make(chan frame, sendQueueFrames),
		established: make(chan struct{}),
		closed:      make(chan struct{}),
		pending:     make(map[uint64]chan frame),
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
	ch, ok := l.pending[f.Seq]
	delete(l.pending, f.Seq)
	l.mu.Unlock()
	if ok {
		ch <- f
	}
}

func (l *outLink) write() {
	for {
		select {
		case f := <-l.send:
			if l.node.isBlocked(l.remote) {
				l.framesLost.Store(true)
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
	ch := make(chan frame, 1)
	seq := l.seq.Add(1)
	l.mu.Lock()
	if l.err != nil {
		l.mu.Unlock()
		return nil, errors.Wrap(ErrUnreachable, l.peer)
	}
	l.pending[seq] = ch
	l.mu.Unlock()
	defer l.removePending(seq)
	if !l.enqueue(frame{Kind: frameCall, Seq: seq, Method: method, Payload: payload}) {
		return nil, errors.Wrap(ErrBusy, l.peer)
	}
	select {
	case f := <-ch:
		if f.Error != nil {
			return nil, &RemoteError{Code: f.Error.Code, Detail: f.Error.Detail}
		}
		return f.Payload, nil
	case <-l.closed:
		return nil, errors.Wrap(ErrDisconnected, l.peer)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *outLink) removePending(seq uint64) {
	l.mu.Lock()
	delete(l.pending, seq)
	l.mu.Unlock()
}

func (l *outLink) close(err error) {
	l.mu.Lock()
	if l.err == nil {
		l.err = err
		close(l.closed)
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
