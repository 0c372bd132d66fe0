package connlimit

import (
	"net"
	"time"

	"magnoliastand.example/clock"
)

// phase is what a connection is doing.
type phase int

const (
	phaseHeader  phase = iota // from the start until the header is complete
	phaseBody                 // until the body is complete, unless the handler does something else meanwhile
	phaseServing              // the request is complete and is being handled
	phaseRest                 // the rest of a body that the handler has not read
	phaseIdle
	phaseLink // taken over by a peer link
)

const (
	// slowGrace is the time for which the minimum rate is not checked.
	slowGrace = 2 * time.Second
	// stalledWrite is the time without progress after which a response may be cut off
	// under pressure: several round trips, and retransmissions.
	stalledWrite = time.Second
	// writePart is the most that is written in one call, so that progress is seen.
	writePart = 16 << 10
	// headerSlop is what net/http reads beyond MaxHeaderBytes.
	headerSlop = 4 << 10
	// linkProbation is the time for which a peer link may be closed to make room: longer
	// than a peer may take to authenticate.
	linkProbation = 3 * time.Second
)

// conn is an accepted connection. The guard's mutex protects the fields below it.
type conn struct {
	net.Conn
	guard    *Guard
	listener string

	phase phase
	// held is what is charged to the connection, in bytes; 0 before it is admitted.
	held int64
	// received counts the bytes of the present header or body.
	received int64
	// began is the time of the present phase, moved that of the last byte received.
	began, moved time.Time
	// writing is the time since which a write waits; zero if none does.
	writing time.Time
	// reading tells that something waits for data of the client: the handler, or net/http
	// for the rest of a body.
	reading bool
	// privileged connections may use the part of the limits that others may not.
	privileged bool
	gone       bool
}

// busy reports whether the handler is at work and waits for no data of the client.
func (c *conn) busy() bool { return c.phase == phaseServing || c.phase == phaseBody && !c.reading }

// rank orders connections by how soon they are closed. Zero means never.
type rank struct {
	idle time.Duration
	cost float64
}

func (r rank) above(o rank) bool {
	if r.idle != o.idle {
		return r.idle > o.idle
	}
	return r.cost > o.cost
}

// rank returns the place of the connection. The cost of a request that is being received
// is the memory it holds times the time for which nothing has arrived; a tenth of the whole
// time counts too, so that single bytes now and then do not hide a stalled request.
func (c *conn) rank(now time.Time) rank {
	const wholeTimePart = 10
	switch {
	case c.phase == phaseIdle:
		return rank{idle: max(1, now.Sub(c.began))}
	case c.phase == phaseLink && now.Sub(c.began) >= linkProbation:
		return rank{}
	case !c.writing.IsZero():
		if now.Sub(c.writing) < stalledWrite {
			return rank{}
		}
		return rank{cost: float64(c.held) * now.Sub(c.writing).Seconds()}
	case c.busy():
		return rank{}
	}
	waiting := now.Sub(c.moved) + now.Sub(c.began)/wholeTimePart
	return rank{cost: float64(c.held) * max(waiting.Seconds(), 1e-9)}
}

// overdue returns why the connection is to be closed, or "".
func (c *conn) overdue(now time.Time, cfg *Config, pressure bool) string {
	if c.phase == phaseLink || c.phase == phaseIdle {
		return ""
	}
	if !c.writing.IsZero() {
		limit := cfg.WriteTimeout
		if pressure {
			limit = min(limit, slowGrace)
		}
		if now.Sub(c.writing) > limit {
			return reasonWrite
		}
		return ""
	}
	if c.busy() {
		return ""
	}
	took := now.Sub(c.began)
	switch {
	case c.phase != phaseHeader && took > cfg.BodyTimeout:
		return reasonBodyTime
	case pressure && took > slowGrace && float64(c.received) < float64(cfg.MinRate)*took.Seconds():
		return reasonSlow
	}
	return ""
}

// reasonOf returns the reason for which a victim is closed.
func reasonOf(c *conn) string {
	if c.phase == phaseIdle {
		return reasonIdle
	}
	return reasonStalled
}

// enter begins a phase.
func (c *conn) enter(p phase) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.enterLocked(p)
}

func (c *conn) enterLocked(p phase) {
	c.phase, c.received, c.began = p, 0, clock.Now()
	c.moved = c.began
	if p == phaseRest || p == phaseIdle || p == phaseLink {
		c.releaseLocked()
	}
}

// releaseLocked returns what the request held.
func (c *conn) releaseLocked() {
	if !c.gone {
		c.guard.used -= c.held - connectionBytes
		c.held = connectionBytes
	}
}

// Read implements net.Conn. It charges the bytes of headers.
func (c *conn) Read(p []byte) (int, error) {
	c.guard.mu.Lock()
	c.reading = true
	c.guard.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.reading = false
	if n == 0 {
		return n, err
	}
	if c.phase == phaseIdle {
		c.enterLocked(phaseHeader)
	}
	c.moved = clock.Now()
	c.received += int64(n)
	if c.phase == phaseHeader && c.received <= int64(c.guard.cfg.HeaderBytes+headerSlop) {
		if refused := c.guard.reserveLocked(c, int64(n)*headerFactor); refused != nil {
			return 0, refused
		}
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for {
		part := p[written:min(len(p), written+writePart)]
		c.setWriting(clock.Now())
		n, err := c.Conn.Write(part)
		written += n
		if err != nil || written == len(p) {
			c.setWriting(time.Time{})
			return written, err
		}
	}
}

func (c *conn) setWriting(t time.Time) {
	c.guard.mu.Lock()
	c.writing = t
	c.guard.mu.Unlock()
}

// CloseWrite closes the sending side, as net/http does before it closes a connection whose
// request it has not read to the end.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.guard.mu.Lock()
	if !c.gone && c.phase == phaseHeader && (c.received > 0 || clock.Since(c.began) >= c.guard.cfg.HeaderTimeout) {
		// Connections that a client opens and soon closes unused are ordinary.
		c.guard.metrics.add(c.listener, reasonHeader)
	}
	c.guard.remove(c)
	c.guard.mu.Unlock()
	return c.Conn.Close()
}

// abort closes the connection and drops what was not sent, which would otherwise stay in
// the kernel.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // without it the connection is closed all the same
	}
	_ = c.Conn.Close()
}
