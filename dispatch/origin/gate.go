package origin

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// Reasons why a gate denies the start of an attempt.
var (
	// errStartDenied is the cause of all reasons except those from checkStart.
	errStartDenied = errors.New("attempt may not start")
	// errWithdrawn means that the caller disconnected or the deadline passed.
	errWithdrawn = errors.Wrap(errStartDenied, "withdrawn")
	// errStartTimeout means that no connection was established within the
	// grant's time to start.
	errStartTimeout = errors.Wrap(errStartDenied, "grant lapsed")
	// errUnreachable means that no connection to the endpoint could be established.
	errUnreachable = errors.Wrap(errStartDenied, "endpoint not reached")
)

// gate allows an attempt to write on one connection only. It records whether any
// byte may have been sent, which distinguishes "not run" from "unknown". The
// HTTP transport may retry on another connection by itself; the gate prevents
// that once the attempt has started.
type gate struct {
	// checkStart is called immediately before the first byte is written. An error
	// denies the start.
	checkStart func() error

	mu sync.Mutex
	// connected is set once a connection to the endpoint was available.
	connected bool
	conn      *gatedConn
	started   bool
	denied    error
}

// permit returns nil if c may write for this attempt. The first permitted write
// starts the attempt.
func (g *gate) permit(c *gatedConn) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.denied != nil {
		return g.denied
	}
	if g.started {
		if g.conn == c {
			return nil
		}
		return errors.Wrap(errStartDenied, "attempt already started on another connection")
	}
	if err := g.checkStart(); err != nil {
		g.denied = err
		return err
	}
	g.started = true
	g.conn = c
	return nil
}

// close denies the start with the given reason if the attempt has not started.
// It reports whether the attempt has started.
func (g *gate) close(reason error) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.started && g.denied == nil {
		g.denied = reason
	}
	return g.started
}

// endpointUnreachable reports whether the attempt did not start because no
// connection to the endpoint could be established.
func (g *gate) endpointUnreachable() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.started || g.connected {
		return false
	}
	return errors.Is(g.denied, errUnreachable) || errors.Is(g.denied, errStartTimeout)
}

// closeConn closes the connection of the attempt, so that it is not reused.
func (g *gate) closeConn() {
	g.mu.Lock()
	c := g.conn
	g.mu.Unlock()
	if c != nil {
		_ = c.Close()
	}
}

// gatedConn is a connection to an endpoint on which only the assigned attempt
// may write.
type gatedConn struct {
	net.Conn
	mu   sync.Mutex
	gate *gate
}

// assign assigns the connection to the attempt of g.
func (c *gatedConn) assign(g *gate) {
	g.mu.Lock()
	g.connected = true
	g.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gate = g
}

// Write implements net.Conn.
func (c *gatedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	g := c.gate
	c.mu.Unlock()
	if g == nil {
		return 0, errors.Wrap(errStartDenied, "connection without attempt")
	}
	if err := g.permit(c); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// gatedDialer dials connections for the transport.
type gatedDialer struct {
	net.Dialer
}

func (d *gatedDialer) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &gatedConn{Conn: conn}, nil
}
