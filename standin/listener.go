package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
)

// routes returns the endpoint's handler: requests, and for tools GET /runs,
// GET /stats and PUT /faults.
func (e *Endpoint) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /{$}", e.serveRequest)
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Runs()) })
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Stats()) })
	mux.HandleFunc("PUT /faults", e.serveFaults)
	return mux
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the reader is gone.
	_ = json.NewEncoder(w).Encode(v)
}

func (e *Endpoint) serveFaults(w http.ResponseWriter, req *http.Request) {
	var f Faults
	if err := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxReplyBytes)).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

// countingListener counts open connections and closes those beyond the limit.
type countingListener struct {
	net.Listener
	endpoint *Endpoint
	limit    int
	mu       sync.Mutex
	open     int
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.admit() {
			return &countedConn{Conn: conn, listener: l}, nil
		}
		_ = conn.Close()
	}
}

func (l *countingListener) admit() bool {
	l.mu.Lock()
	l.open++
	open := l.open
	if open > l.limit {
		l.open--
	}
	l.mu.Unlock()
	e := l.endpoint
	e.mu.Lock()
	defer e.mu.Unlock()
	if open > l.limit {
		e.stats.OverConnections++
		return false
	}
	e.stats.MaxConnections = max(e.stats.MaxConnections, open)
	return true
}

type countedConn struct {
	net.Conn
	listener *countingListener
	once     sync.Once
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(func() {
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		c.listener.open--
	})
	return c.Conn.Close()
}
