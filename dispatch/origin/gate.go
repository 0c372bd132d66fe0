package origin

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// errGateClosed is the cause of a write that the gate forbade.
var errGateClosed = errors.New("attempt may not start")

// gate lets one attempt write on one connection, from the moment it started.
// It records whether any byte may have gone out, and so decides between "not
// run" and "unknown". The HTTP transport may retry on another connection by
// itself; the gate forbids that once the attempt started.
type gate struct {
	// mayStart is asked right before the first byte. It must return nil for
	// the byte to be written.
	mayStart func() error

	mu      sync.Mutex
	conn    *gatedConn
	started bool
	refused error
}

// permit reports whether c may write for this attempt.
func (g *gate) permit(c *gatedConn) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.refused != nil {
		return g.refused
	}
	if g.started {
		if g.conn == c {
			return nil
		}
		return errors.Wrap(errGateClosed, "attempt already started on another connection")
	}
	if err := g.mayStart(); err != nil {
		g.refused = err
		return err
	}
	g.started = true
	g.conn = c
	return nil
}

// close forbids a start from now on, unless it happened. It reports whether
// the attempt started.
func (g *gate) close() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.started && g.refused == nil {
		g.refused = errGateClosed
	}
	return g.started
}

// abort closes the connection of the attempt, so that it is not used again.
func (g *gate) abort() {
	g.mu.Lock()
	c := g.conn
	g.mu.Unlock()
	if c != nil {
		_ = c.Close()
	}
}

// gatedConn is a connection to an endpoint on which only the attempt that it is
// armed for may write.
type gatedConn struct {
	net.Conn
	mu   sync.Mutex
	gate *gate
}

func (c *gatedConn) arm(g *gate) {
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
		return 0, errors.Wrap(errGateClosed, "connection without attempt")
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
