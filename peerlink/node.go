// Package peerlink connects the daemons of one cluster by WebSocket links that
// carry CBOR frames: calls with a reply and notifications without one. Both
// sides of a link prove that they know the cluster's secret; with TLS
// configured, certificates are checked as well.
//
// A node dials a peer when it first has something to send. Each direction of
// calls has its own link, so that a link is owned by the side that dialled it.
// Notifications of one sender arrive in order; calls are handled concurrently.
package peerlink

import (
	"context"
	"crypto/tls"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// Limits of a node.
const (
	// HelloTimeout bounds dialling and the hello.
	HelloTimeout = 2 * time.Second
	// maxConcurrentCalls bounds the calls of one peer that are handled at once.
	maxConcurrentCalls = 8192
	// sendQueueFrames bounds frames waiting to be written to one link.
	sendQueueFrames = 4096
	// writeTimeout bounds the writing of one frame.
	writeTimeout = 3 * time.Second
	// DefaultPingInterval suits links whose loss is also seen by lost calls.
	DefaultPingInterval = 5 * time.Second
	// minSecretBytes bounds the length of the cluster secret from below.
	minSecretBytes = 16
)

// CallHandler answers a call. An error reaches the caller as a *RemoteError.
type CallHandler func(ctx context.Context, from Identity, payload []byte) (any, error)

// NotifyHandler receives a notification. It must not block.
type NotifyHandler func(from Identity, payload []byte)

// Config configures a node.
type Config struct {
	Self Identity
	// Secret authenticates peers to each other; at least 16 bytes.
	Secret []byte
	// Addresses maps peer names to "IP:port".
	Addresses map[string]string
	// NamesAreAddresses lets a peer that is not in Addresses be dialled at its
	// name, for deployments whose daemons learn of each other as they run.
	NamesAreAddresses bool
	// PingInterval is the time between liveness checks of a link, and the bound
	// on their answer; zero is DefaultPingInterval.
	PingInterval time.Duration
	// TLS is used for dialling when not nil; the listener's TLS belongs to the HTTP server.
	TLS *tls.Config
	Log zerolog.Logger
	// OnDown, if set, is called when an established outgoing link breaks. It must not block.
	OnDown func(peer string)
}

// Node is one daemon's end of all its peer links.
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

// Self returns the node's own identity.
func (n *Node) Self() Identity { return n.cfg.Self }

// Call sends req to the peer and decodes the reply into resp, which may be nil.
// It returns ErrUnreachable or ErrBusy when the call was not sent,
// ErrDisconnected when it may have been handled, a *RemoteError from the
// handler, or the error of ctx.
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

// Notify queues a message to the peer and returns at once. The message is
// dropped when the peer is unreachable or the queue is full.
func (n *Node) Notify(peer, method string, req any) {
	payload, err := encode(req)
	if err != nil {
		n.cfg.Log.Error().Err(err).Str("method", method).Msg("notification not encoded")
		return
	}
	n.mu.Lock()
	l := n.links[peer]
	n.mu.Unlock()
	if l != nil && l.ready() {
		l.enqueue(frame{Kind: frameNotify, Method: method, Payload: payload})
		return
	}
	n.spawn(func() {
		ctx, cancel := context.WithTimeout(n.ctx, HelloTimeout)
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
	return l != nil && l.ready()
}

// SetBlocked installs a filter for fault tests: links with peers for which
// blocked returns true are cut and refused, without closing the connection, as
// a silent network partition would. Nil removes the filter.
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

// Close breaks all links and waits for their goroutines.
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

func (n *Node) spawn(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ctx.Err() != nil {
		return
	}
	n.wg.Go(f)
}

// link returns an established outgoing link, dialling one if needed. Callers
// that arrive while one is being dialled wait for it.
func (n *Node) link(ctx context.Context, peer string) (*outLink, error) {
	n.mu.Lock()
	if n.ctx.Err() != nil {
		n.mu.Unlock()
		return nil, ErrClosed
	}
	l := n.links[peer]
	if l == nil || l.failed() {
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
	case <-l.up:
	case <-l.down:
		return nil, errors.Wrap(ErrUnreachable, l.reason().Error())
	case <-ctx.Done():
		return nil, errors.Wrap(ErrUnreachable, ctx.Err().Error())
	}
	if l.failed() {
		return nil, errors.Wrap(ErrUnreachable, l.reason().Error())
	}
	return l, nil
}

// addressOf returns where a peer is dialled.
func (n *Node) addressOf(peer string) (string, bool) {
	addr, ok := n.cfg.Addresses[peer]
	if !ok && n.cfg.NamesAreAddresses {
		return peer, true
	}
	return addr, ok
}

// Handler returns the HTTP handler that accepts links from peers.
func (n *Node) Handler() http.Handler { return http.HandlerFunc(n.accept) }

// Stats returns counts of what went over the node's links.
func (n *Node) Stats() StatsSnapshot { return n.stats.snapshot() }
