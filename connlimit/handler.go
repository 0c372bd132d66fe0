package connlimit

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"

	"magnoliastand.example/clock"
)

type connKey struct{}

// unwrap returns the connection of this package below others, such as TLS.
func unwrap(c net.Conn) *conn {
	for {
		switch t := c.(type) {
		case *conn:
			return t
		case interface{ NetConn() net.Conn }:
			c = t.NetConn()
		default:
			return nil
		}
	}
}

func connContext(ctx context.Context, c net.Conn) context.Context {
	if own := unwrap(c); own != nil {
		own.plain = c == net.Conn(own)
		return context.WithValue(ctx, connKey{}, own)
	}
	return ctx
}

func connState(c net.Conn, s http.ConnState) {
	own := unwrap(c)
	if own == nil {
		return
	}
	switch s {
	case http.StateIdle:
		own.enter(phaseIdle)
	case http.StateHijacked:
		own.enter(phaseLink)
	}
}

func (g *Guard) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if r.Body == nil || r.Body == http.NoBody {
			c.enter(phaseServing)
		} else {
			c.enter(phaseBody)
			b := &body{ReadCloser: r.Body, conn: c}
			// net/http looks at the body of its own request when it answers.
			r = r.WithContext(r.Context())
			r.Body = b
			w = &refusingWriter{ResponseWriter: w, body: b}
		}
		defer c.endRequest()
		if c.endsAfterResponse() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// endsAfterResponse reports whether the connection is to serve no further request: without room
// for all, a client that sends one request after another must not keep out the others.
func (c *conn) endsAfterResponse() bool {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	return !c.privileged && c.guard.isShort(clock.Now())
}

// endRequest begins the time in which net/http sends the rest of the response and reads the
// rest of the body.
func (c *conn) endRequest() {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	switch c.phase {
	case phaseLink:
	case phaseServing:
		c.enterLocked(phaseResponding)
	default:
		c.enterLocked(phaseRest)
	}
}

// body charges a request body to its connection as it is read.
type body struct {
	io.ReadCloser
	conn    *conn
	refused bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.refused {
		return 0, ErrOverload
	}
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		if failed := b.conn.guard.reserve(b.conn, int64(n)*bodyFactor); failed != nil {
			if errors.Is(failed, ErrOverload) {
				b.refused = true
				b.conn.guard.mu.Lock()
				b.conn.guard.metrics.add(b.conn.listener, reasonBody)
				b.conn.guard.mu.Unlock()
			}
			return 0, failed
		}
	}
	if errors.Is(err, io.EOF) {
		b.conn.enterAfterBody()
	}
	return n, err
}

// enterAfterBody begins the handling of a request whose body is complete.
func (c *conn) enterAfterBody() {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if c.phase == phaseBody {
		c.enterLocked(phaseServing)
	}
}

// The response to a request for which there is no memory.
const (
	rejectionText       = `{"error":"the daemon is overloaded; the request has not been executed"}` + "\n"
	rejectionRetryAfter = "1" // seconds
)

// refusingWriter answers 503 instead of what the handler answers if the body was refused:
// the handler only sees that it can't be read.
type refusingWriter struct {
	http.ResponseWriter
	body    *body
	started bool
	refused bool
}

// Unwrap lets http.ResponseController reach the writer of the server.
func (w *refusingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *refusingWriter) WriteHeader(status int) {
	if w.started || !w.body.refused || status < http.StatusBadRequest {
		w.started = true
		w.ResponseWriter.WriteHeader(status)
		return
	}
	w.started, w.refused = true, true
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(rejectionText)))
	h.Set("Retry-After", rejectionRetryAfter)
	h.Set("Connection", "close")
	w.ResponseWriter.WriteHeader(http.StatusServiceUnavailable)
	_, _ = w.ResponseWriter.Write([]byte(rejectionText)) // an error means that the caller is gone
}

// Write implements http.ResponseWriter.
func (w *refusingWriter) Write(p []byte) (int, error) {
	if !w.started {
		w.WriteHeader(http.StatusOK)
	}
	if w.refused {
		return len(p), nil
	}
	return w.ResponseWriter.Write(p)
}
