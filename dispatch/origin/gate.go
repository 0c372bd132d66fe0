package origin

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// Reasons why a gate forbids the start.
var (
	// errGateClosed is the cause of all reasons but mayStart's own.
	errGateClosed = errors.New("attempt may not start")
	// errWithdrawn means that the caller left or its deadline passed.
	errWithdrawn = errors.Wrap(errGateClosed, "withdrawn")
	// errLapsed means that no connection stood within the grant's time to start.
	errLapsed = errors.Wrap(errGateClosed, "grant lapsed")
	// errUnreachable means that no connection to the endpoint could be made.
	errUnreachable = errors.Wrap(errGateClosed, "endpoint not reached")
)

// gate lets one attempt write on one connection, from the moment it started.
// It records whether any byte may have gone out, and so decides between "not
// run" and "unknown". The HTTP transport may retry on another connection by
// itself; the gate forbids that once the attempt started.
type gate struct {
	// mayStart is asked right before the first byte. It must return nil for
	// the byte to be written.
	mayStart func() error

	mu sync.Mutex
	// connected tells that a connection to the endpoint stood.
	connected bool
	conn      *gatedConn
	started   bool
	refused   error
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
func (g *gate) close(reason error) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.started && g.refused == nil {
		g.refused = reason
	}
	return g.started
}

// unreached reports whether the attempt did not start because the endpoint gave
// no connection.
func (g *gate) unreached() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.started || g.connected {
		return false
	}
	return errors.Is(g.refused, errUnreachable) || errors.Is(g.refused, errLapsed)
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

// arm makes the connection serve the attempt of g.
func (c *gatedConn) arm(g *gate) {
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
