package connlimit

import (
	"errors"
	"fmt"
	"net"
	"time"

	"magnoliastand.example/clock"
)

// phase is what a connection is doing.
type phase int

const (
	phaseHeader     phase = iota // from the start until the header is complete
	phaseBody                    // until the body is complete, unless the handler does something else meanwhile
	phaseServing                 // the request is complete and is being handled
	phaseResponding              // the handler has returned; the rest of the response is being sent
	phaseRest                    // the same, and the handler has not read the body to its end
	phaseIdle
	phaseLink // taken over by a peer link
)

const (
	// slowGrace is the time for which the minimum rate is not checked.
	slowGrace = 2 * time.Second
	// stalledWrite is the time without progress after which a response may be cut off to make
	// room: several round trips, and retransmissions.
	stalledWrite = time.Second
	// blockedWrite is the same while many responses make no progress.
	blockedWrite = 50 * time.Millisecond
	// stalledTime is the time without progress after which a request or response is closed
	// before others that hold more memory.
	stalledTime = time.Second
	// yieldingRead is the time for which a large body is left alone by others that need the
	// memory: one that has begun is worth more than one that has not.
	yieldingRead = 100 * time.Millisecond
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
	// plain connections carry HTTP without TLS.
	plain bool
	gone  bool
}

// busy reports whether the server is at work, or has yet to begin, and waits for no data of the
// client.
func (c *conn) busy() bool {
	switch c.phase {
	case phaseServing, phaseResponding:
		return true
	case phaseHeader:
		return !c.reading && c.received == 0
	case phaseBody:
		return !c.reading
	}
	return false
}

// isBlocked reports whether a response has made no progress for a while.
func (c *conn) isBlocked(now time.Time) bool {
	return !c.writing.IsZero() && now.Sub(c.writing) >= blockedWrite
}

// waiting returns for how long the server has waited for the client; ok is false if the
// connection must not be closed to make room. A response may make no progress for writeGrace. A
// tenth of the whole time of a request counts too, so that single bytes now and then do not hide a
// stalled request.
func (c *conn) waiting(now time.Time, writeGrace time.Duration) (d time.Duration, ok bool) {
	const wholeTimePart = 10
	switch {
	case c.phase == phaseIdle:
		return now.Sub(c.began), true
	case c.phase == phaseLink && now.Sub(c.began) >= linkProbation:
		return 0, false
	case !c.writing.IsZero():
		d = now.Sub(c.writing)
		return d, d >= writeGrace
	case c.busy():
		return 0, false
	}
	return now.Sub(c.moved) + now.Sub(c.began)/wholeTimePart, true
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
	if p == phaseResponding || p == phaseRest || p == phaseIdle || p == phaseLink {
		c.guard.charge(c, connectionBytes-c.held) // what the request held
	}
}

// Read implements net.Conn. It charges the bytes of headers.
func (c *conn) Read(p []byte) (int, error) {
	c.guard.mu.Lock()
	c.reading = true
	c.guard.mu.Unlock()
	n, err := c.Conn.Read(p)
	refused := c.noteRead(n)
	if refused == nil {
		return n, err
	}
	if errors.Is(refused, ErrOverload) && c.plain {
		_, _ = c.Write([]byte(headerRejection)) // an error means that the client is gone
	}
	// net/http answers other errors with 400, which tells the caller not to try again.
	return 0, &net.OpError{Op: "read", Net: "tcp", Err: refused}
}

// headerRejection is the response to a request whose header there is no memory for.
var headerRejection = fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nContent-Length: %d\r\n"+
	"Retry-After: %s\r\nConnection: close\r\n\r\n%s", len(rejectionText), rejectionRetryAfter, rejectionText)

// noteRead accounts for a read that has ended, and charges the bytes of a header.
func (c *conn) noteRead(n int) error {
	c.guard.mu.Lock()
	defer c.guard.unlock()
	c.reading = false
	if n == 0 {
		return nil
	}
	if c.phase == phaseIdle {
		c.enterLocked(phaseHeader)
	}
	c.moved = clock.Now()
	c.received += int64(n)
	if c.phase != phaseHeader || c.received > int64(c.guard.cfg.HeaderBytes+headerSlop) {
		return nil
	}
	return c.guard.reserveLocked(c, int64(n)*headerFactor, c.moved)
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for {
		part := p[written:min(len(p), written+writePart)]
		if !c.setWriting(clock.Now()) {
			return written, net.ErrClosed
		}
		n, err := c.Conn.Write(part)
		written += n
		if err != nil || written == len(p) {
			c.setWriting(time.Time{})
			return written, err
		}
	}
}

// setWriting notes the time since which a write waits. It returns false if the connection was
// closed to make room.
func (c *conn) setWriting(t time.Time) bool {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.writing = t
	return !c.gone
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
