package peerlink

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/coder/websocket"
)

// inLink is a link dialled by a peer. It receives calls and notifications and
// sends replies.
type inLink struct {
	node      *Node
	peer      Identity
	ws        *websocket.Conn
	send      chan frame
	ctx       context.Context
	cancel    context.CancelFunc
	callSlots chan struct{}
	closeOnce sync.Once
	// framesLost has the same meaning as in outLink.
	framesLost atomic.Bool
}

// maxHandshakeBytes bounds a message of the handshake: names, a nonce and a proof.
const maxHandshakeBytes = 16 << 10

// accept upgrades an HTTP request to a WebSocket connection and serves the link
// until it breaks.
func (n *Node) accept(w http.ResponseWriter, r *http.Request) {
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	// A peer that has not authenticated may send no large message.
	ws.SetReadLimit(maxHandshakeBytes)
	ctx, cancel := context.WithTimeout(n.ctx, HandshakeTimeout)
	peer, err := serverHandshake(ctx, ws, n.cfg.Self, n.cfg.Secret)
	cancel()
	ws.SetReadLimit(MaxFrameBytes)
	if err != nil {
		n.cfg.Log.Warn().Err(err).Str("remote", r.RemoteAddr).Msg("peer handshake failed")
		n.stats.addRefused()
		_ = ws.CloseNow()
		return
	}
	l := newInLink(n, peer, ws)
	if !n.track(l) {
		l.close()
		return
	}
	defer n.untrack(l)
	l.serve()
}

// track registers an accepted link and reports false if the node is closed.
func (n *Node) track(l *inLink) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ctx.Err() != nil {
		return false
	}
	n.accepted[l] = struct{}{}
	n.wg.Add(1)
	return true
}

func (n *Node) untrack(l *inLink) {
	n.mu.Lock()
	delete(n.accepted, l)
	n.mu.Unlock()
	n.wg.Done()
}

func newInLink(n *Node, peer Identity, ws *websocket.Conn) *inLink {
	ctx, cancel := context.WithCancel(n.ctx)
	return &inLink{
		node:      n,
		peer:      peer,
		ws:        ws,
		send:      make(chan frame, sendQueueFrames),
		ctx:       ctx,
		cancel:    cancel,
		callSlots: make(chan struct{}, maxConcurrentCalls),
	}
}

func (l *inLink) close() {
	l.closeOnce.Do(func() {
		l.cancel()
		_ = l.ws.CloseNow()
	})
}

func (l *inLink) serve() {
	defer l.close()
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(l.write)
	defer l.close()
	for {
		_, b, err := l.ws.Read(l.ctx)
		if err != nil {
			return
		}
		if l.node.isBlocked(l.peer) {
			l.framesLost.Store(true)
			continue
		}
		if l.framesLost.Load() {
			return
		}
		l.node.stats.addReceived(len(b))
		var f frame
		if err := decode(b, &f); err != nil {
			l.node.cfg.Log.Warn().Err(err).Str("peer", l.peer.Name).Msg("malformed frame received; closing the link")
			return
		}
		l.dispatch(&wg, f)
	}
}

func (l *inLink) dispatch(wg *sync.WaitGroup, f frame) {
	switch f.Kind {
	case frameNotify:
		l.notify(f)
	case frameCall:
		select {
		case l.callSlots <- struct{}{}:
		default:
			l.reply(frame{Kind: frameReply, Seq: f.Seq, Error: &wireError{Code: CodeBusy, Detail: "too many concurrent calls"}})
			return
		}
		wg.Go(func() {
			defer func() { <-l.callSlots }()
			l.reply(l.handle(f))
		})
	}
}

// notify passes a notification to its handler. A handler that panics drops the
// notification.
func (l *inLink) notify(f frame) {
	defer func() {
		if r := recover(); r != nil {
			l.node.reportPanic(l.peer, f.Method, r)
		}
	}()
	if h, ok := l.node.notifiers[f.Method]; ok {
		h(l.peer, f.Payload)
	}
}

// handle passes a call to its handler and returns the reply. After a panic of the
// handler the outcome of the call is unknown.
func (l *inLink) handle(f frame) (reply frame) {
	defer func() {
		if r := recover(); r != nil {
			l.node.reportPanic(l.peer, f.Method, r)
			reply = frame{Kind: frameReply, Seq: f.Seq, Error: &wireError{Code: CodeOutcomeUnknown, Detail: "handler of " + f.Method + " failed"}}
		}
	}()
	reply = frame{Kind: frameReply, Seq: f.Seq}
	h, ok := l.node.handlers[f.Method]
	if !ok {
		reply.Error = &wireError{Code: CodeUnknownMethod, Detail: f.Method}
		return reply
	}
	resp, err := h(l.ctx, l.peer, f.Payload)
	if err != nil {
		reply.Error = toWireError(err)
		return reply
	}
	if resp == nil {
		return reply
	}
	payload, err := encode(resp)
	if err != nil {
		reply.Error = toWireError(err)
		return reply
	}
	reply.Payload = payload
	return reply
}

func (l *inLink) reply(f frame) {
	select {
	case l.send <- f:
	case <-l.ctx.Done():
	}
}

func (l *inLink) write() {
	for {
		select {
		case f := <-l.send:
			if l.node.isBlocked(l.peer) {
				l.framesLost.Store(true)
				continue
			}
			if l.framesLost.Load() {
				l.close()
				return
			}
			if err := l.node.sendFrame(l.ws, f); err != nil {
				l.close()
				return
			}
		case <-l.ctx.Done():
			return
		}
	}
}
