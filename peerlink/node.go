// Package peerlink connects the daemons of a cluster by WebSocket links that
// carry CBOR frames: calls, which have a reply, and notifications, which have
// none. Both sides of a link authenticate with the cluster's shared secret. If
// TLS is configured, they verify each other's certificate as well.
//
// A node dials a peer when it first sends to it. Each direction of calls has its
// own link, which is owned by the side that dialled it. Notifications on a link
// are handled in order, calls concurrently.
package peerlink

import (
	"context"
	"crypto/tls"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// Limits of a node.
const (
	// HandshakeTimeout bounds dialling and the handshake.
	HandshakeTimeout = 2 * time.Second
	// maxConcurrentCalls is the maximum number of calls on one link that are
	// handled concurrently.
	maxConcurrentCalls = 8192
	// sendQueueFrames is the capacity of the send queue of one link.
	sendQueueFrames = 4096
	// writeTimeout bounds the write of one frame.
	writeTimeout = 3 * time.Second
	// DefaultPingInterval is for links whose loss also shows in failed calls.
	DefaultPingInterval = 5 * time.Second
	// minSecretBytes is the minimum length of the cluster secret.
	minSecretBytes = 16
)

// CallHandler handles a call. The caller receives an error as a *RemoteError.
type CallHandler func(ctx context.Context, from Identity, payload []byte) (any, error)

// NotifyHandler handles a notification. It must not block, since it runs on the
// goroutine that reads the link.
type NotifyHandler func(from Identity, payload []byte)

// Config configures a node.
type Config struct {
	Self Identity
	// Secret is the shared secret of the cluster, of at least 16 bytes.
	Secret []byte
	// Addresses maps peer names to "IP:port".
	Addresses map[string]string
	// NamesAreAddresses makes the name of a peer that is not in Addresses its
	// address, for deployments whose daemons discover each other at run time.
	NamesAreAddresses bool
	// PingInterval is the interval between liveness checks of a link and the
	// timeout of each check. Zero means DefaultPingInterval.
	PingInterval time.Duration
	// TLS, if set, is used to dial. TLS for accepted links is configured on the
	// HTTP server.
	TLS *tls.Config
	Log zerolog.Logger
	// OnDown, if set, is called when an established outgoing link breaks. It must
	// not block.
	OnDown func(peer string)
}

// Node is a daemon's endpoint for all its peer links.
type Node struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu       sync.Mutex
	links    map[string]*outLink
	accepted map[*inLink]struct{}
	blocked  func(peer Identity) bool

	handlers  map[string]CallHandler
	notifiers map[string]NotifyHandler
	stats     Stats
}

// New returns a node. Handlers must be registered before the first link is
// accepted or dialled.
func New(cfg Config) (*Node, error) {
	if len(cfg.Secret) < minSecretBytes {
		return nil, errors.Errorf("peer secret has %d bytes, needs %d", len(cfg.Secret), minSecretBytes)
	}
	if cfg.PingInterval == 0 {
		cfg.PingInterval = DefaultPingInterval
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Node{
		cfg:       cfg,
		ctx:       ctx,
		cancel:    cancel,
		links:     make(map[string]*outLink),
		accepted:  make(map[*inLink]struct{}),
		handlers:  make(map[string]CallHandler),
		notifiers: make(map[string]NotifyHandler),
	}, nil
}

// Handle registers the handler of a call method.
func (n *Node) Handle(method string, h CallHandler) { n.handlers[method] = h }

// HandleNotify registers the handler of a notification method.
func (n *Node) HandleNotify(method string, h NotifyHandler) { n.notifiers[method] = h }

// reportPanic logs and counts the panic of a handler. It ends the call or
// notification, not the process.
func (n *Node) reportPanic(peer Identity, method string, cause any) {
	n.stats.handlerPanics.Add(1)
	n.cfg.Log.Error().Str("peer", peer.Name).Str("method", method).Interface("cause", cause).
		Bytes("stack", debug.Stack()).Msg("handler panicked")
}

// Self returns the node's own identity.
func (n *Node) Self() Identity { return n.cfg.Self }

// Call sends req to the peer and decodes the reply into resp, which may be nil.
// It returns ErrUnreachable or ErrBusy if no byte of the call was sent, also if
// ctx ended before that, ErrDisconnected if it may have been handled, a *RemoteError if the peer replied with an error,
// or the error of ctx.
func (n *Node) Call(ctx context.Context, peer, method string, req, resp any) error {
	payload, err := encode(req)
	if err != nil {
		return err
	}
	l, err := n.link(ctx, peer)
	if err != nil {
		return err
	}
	reply, err := l.call(ctx, method, payload)
	if err != nil {
		return err
	}
	if resp == nil {
		return nil
	}
	return decode(reply, resp)
}

// Notify queues a notification to the peer without blocking. The notification is
// dropped if the peer is unreachable or the queue is full.
func (n *Node) Notify(peer, method string, req any) {
	payload, err := encode(req)
	if err != nil {
		n.cfg.Log.Error().Err(err).Str("method", method).Msg("failed to encode notification")
		return
	}
	n.mu.Lock()
	l := n.links[peer]
	n.mu.Unlock()
	if l != nil && l.isReady() {
		l.enqueue(frame{Kind: frameNotify, Method: method, Payload: payload})
		return
	}
	n.spawn(func() {
		ctx, cancel := context.WithTimeout(n.ctx, HandshakeTimeout)
		defer cancel()
		if l, err := n.link(ctx, peer); err == nil {
			l.enqueue(frame{Kind: frameNotify, Method: method, Payload: payload})
		}
	})
}

// Connected reports whether an outgoing link to the peer is established.
func (n *Node) Connected(peer string) bool {
	n.mu.Lock()
	l := n.links[peer]
	n.mu.Unlock()
	return l != nil && l.isReady()
}

// Connect waits until an outgoing link to the peer is established and dials one
// if needed. A later call can then be bounded apart from the time to connect.
func (n *Node) Connect(ctx context.Context, peer string) error {
	_, err := n.link(ctx, peer)
	return err
}

// Silence returns for how long the peer has left calls on the established link
// without a reply to any call, counted from the first call written after the
// last reply. It is 0 without a link. Answers to pings do not count as replies:
// they show that the connection works, and not that calls are handled.
func (n *Node) Silence(peer string) time.Duration {
	n.mu.Lock()
	l := n.links[peer]
	n.mu.Unlock()
	if l == nil || !l.isReady() {
		return 0
	}
	return l.silence()
}

// NextReply returns a channel that is closed at the peer's next reply to any
// call, or when its link closes. It is closed already if there is no link.
func (n *Node) NextReply(peer string) <-chan struct{} {
	n.mu.Lock()
	l := n.links[peer]
	n.mu.Unlock()
	if l == nil {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	return l.nextReply()
}

// SetBlocked installs a filter for fault injection in tests. It simulates a
// network partition from the peers for which blocked returns true: their frames
// are dropped in both directions without closing the connection, and dialling
// them times out. For a dial, only the Name of the identity is set. Nil removes
// the filter.
func (n *Node) SetBlocked(blocked func(peer Identity) bool) {
	n.mu.Lock()
	n.blocked = blocked
	n.mu.Unlock()
}

func (n *Node) isBlocked(peer Identity) bool {
	n.mu.Lock()
	blocked := n.blocked
	n.mu.Unlock()
	return blocked != nil && blocked(peer)
}

// Close closes all links and waits for their goroutines to end.
func (n *Node) Close() {
	n.cancel()
	n.mu.Lock()
	for _, l := range n.links {
		l.close(ErrClosed)
	}
	for l := range n.accepted {
		l.close()
	}
	n.mu.Unlock()
	n.wg.Wait()
}

// spawn runs f in a goroutine that Close waits for, unless the node is closed.
func (n *Node) spawn(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ctx.Err() != nil {
		return
	}
	n.wg.Go(f)
}

// link returns an established outgoing link to the peer and dials one if needed.
// Concurrent callers share one dial.
func (n *Node) link(ctx context.Context, peer string) (*outLink, error) {
	n.mu.Lock()
	if n.ctx.Err() != nil {
		n.mu.Unlock()
		return nil, ErrClosed
	}
	l := n.links[peer]
	if l == nil || l.isClosed() {
		addr, ok := n.addressOf(peer)
		if !ok {
			n.mu.Unlock()
			return nil, errors.Wrap(ErrUnknownPeer, peer)
		}
		l = newOutLink(n, peer, addr)
		n.links[peer] = l
		n.wg.Go(l.run)
	}
	n.mu.Unlock()
	select {
	case <-l.established:
	case <-l.closed:
		return nil, errors.Wrap(ErrUnreachable, l.closeReason().Error())
	case <-ctx.Done():
		return nil, errors.Wrap(ErrUnreachable, ctx.Err().Error())
	}
	if l.isClosed() {
		return nil, errors.Wrap(ErrUnreachable, l.closeReason().Error())
	}
	return l, nil
}

// addressOf returns the address at which the peer is dialled.
func (n *Node) addressOf(peer string) (string, bool) {
	addr, ok := n.cfg.Addresses[peer]
	if !ok && n.cfg.NamesAreAddresses {
		return peer, true
	}
	return addr, ok
}

// Handler returns the HTTP handler that accepts links from peers.
func (n *Node) Handler() http.Handler { return http.HandlerFunc(n.accept) }

// Stats returns the traffic counters of the node's links.
func (n *Node) Stats() StatsSnapshot { return n.stats.snapshot() }
