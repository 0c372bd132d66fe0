package connlimit

import (
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"magnoliastand.example/clock"
)

// Costs charged to the memory limit.
const (
	// connectionBytes is the cost of a connection without a request: goroutine, buffers of
	// net/http and of the kernel.
	connectionBytes = 24 << 10
	// headerFactor is the cost of a header per byte: short fields take a map entry each.
	headerFactor = 8
	// bodyFactor is the cost of a body per byte: a buffer that grows by copying holds up to
	// 2.25 times its content, the rest is garbage until the next collection.
	bodyFactor = 3
	// receiveBuffer bounds what the kernel holds of a connection that is not read.
	receiveBuffer = 32 << 10
	// unsentBytes bounds what the kernel holds of a response that the client does not receive.
	unsentBytes = 32 << 10
	// privilegedPart of the connections, one in so many, is left to privileged listeners.
	privilegedPart = 4
	// privilegedMemoryPart is the same for the memory: probes and links need little of it.
	privilegedMemoryPart = 8
	// memoryPart of a process's memory, one in so many, may be held by connections.
	memoryPart = 4
	// minMemoryBytes holds a body of 3 MiB beside others.
	minMemoryBytes = 16 << 20
	// shortageTime is for how long after a shortage of room connections are closed after their
	// response.
	shortageTime = time.Second
	// descriptorPart of the descriptors, one in so many, may be inbound connections; the
	// others are for outbound connections and files.
	descriptorPart = 2
)

// ErrOverload is returned by a read of a body for which there is no memory. The request
// has not been executed.
var ErrOverload = errors.New("connlimit: no memory for the body")

// Config holds the limits of a Guard. All must be above 0.
type Config struct {
	// MemoryBytes bounds what connections, headers and bodies hold together.
	MemoryBytes int64
	// Connections bounds the open inbound connections.
	Connections int
	// HeaderBytes and HeaderTimeout bound a request header, IdleTimeout a connection
	// without a request.
	HeaderBytes                int
	HeaderTimeout, IdleTimeout time.Duration
	// BodyTimeout bounds the time to receive a body.
	BodyTimeout time.Duration
	// MinRate is the least rate of a header or body under pressure, in bytes per second.
	MinRate int64
	// WriteTimeout bounds the time for which a response makes no progress.
	WriteTimeout time.Duration
	Log          zerolog.Logger
}

// DefaultMemoryBytes returns the part of a process's memory that connections may hold.
func DefaultMemoryBytes(processBytes int64) int64 {
	return max(minMemoryBytes, processBytes/memoryPart)
}

// DefaultConnections returns the number of connections that the descriptor limit of the
// process leaves room for.
func DefaultConnections() int {
	const fallback = 1024
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < descriptorPart {
		return fallback
	}
	return int(min(limit.Cur, 1<<20)) / descriptorPart
}

// Guard does the accounting for all listeners of a process.
type Guard struct {
	cfg     Config
	metrics *metrics
	stop    chan struct{}
	once    sync.Once

	mu    sync.Mutex
	conns map[*conn]struct{}
	// ordinary and privileged are what the connections of each kind hold, large the part of
	// it that large requests hold beyond ordinaryBytes.
	ordinary, privileged usage
	large                int64
	// shortage is when a connection was last closed or rejected for want of room, other than
	// an idle one.
	shortage time.Time
	// evicted are connections to be closed by unlock.
	evicted []*conn
}

// New returns a Guard and registers its metrics. Close must be called.
func New(cfg Config, registry prometheus.Registerer) *Guard {
	g := &Guard{cfg: cfg, conns: make(map[*conn]struct{}), stop: make(chan struct{})}
	g.metrics = newMetrics(g, registry)
	go g.sweepUntilClosed()
	return g
}

// Close ends the background checks. Open connections remain open.
func (g *Guard) Close() { g.once.Do(func() { close(g.stop) }) }

// Apply sets the limits and hooks of a server whose listener is wrapped by Listener. A
// handler that is not nil is wrapped so that bodies are accounted for.
func (g *Guard) Apply(s *http.Server) {
	s.ReadHeaderTimeout, s.IdleTimeout, s.MaxHeaderBytes = g.cfg.HeaderTimeout, g.cfg.IdleTimeout, g.cfg.HeaderBytes
	s.ConnState, s.ConnContext = connState, connContext
	if s.Handler != nil {
		s.Handler = g.handler(s.Handler)
	}
}

// Listener wraps a listener. TLS, if any, must be added outside of it. Connections of a
// privileged listener may use a part of the limit that others may not.
func (g *Guard) Listener(name string, l net.Listener, privileged bool) net.Listener {
	if tcp, ok := l.(*net.TCPListener); ok && !privileged {
		// Connections inherit it, and so have it before they are accepted.
		setOption(tcp, unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
	}
	return &listener{Listener: l, guard: g, name: name, privileged: privileged}
}

// setOption sets an option of a socket that limits what the kernel holds for it. An error leaves
// the default, which is larger and works too.
func setOption(socket syscall.Conn, level, option, value int) {
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), level, option, value) })
}

type listener struct {
	net.Listener
	guard      *Guard
	name       string
	privileged bool
}

// Accept implements net.Listener. A connection for which there is no room is closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if tcp, ok := inner.(*net.TCPConn); ok {
			// Unlike a smaller send buffer, this does not limit what is on its way to the client.
			setOption(tcp, unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, unsentBytes)
		}
		now := clock.Now()
		c := &conn{Conn: inner, guard: l.guard, listener: l.name, began: now, moved: now, privileged: l.privileged}
		if l.guard.admit(c) {
			return c, nil
		}
		c.abort()
	}
}

// admit adds a connection, making room if necessary.
func (g *Guard) admit(c *conn) bool {
	g.mu.Lock()
	defer g.unlock()
	for {
		lacking := needConnection
		if g.hasConnection(c) {
			if g.hasMemory(c, connectionBytes) {
				break
			}
			lacking = needMemory
		}
		victim := g.victim(c, lacking, c.began)
		if victim == nil {
			g.shortage = c.began
			g.metrics.add(c.listener, reasonRefused)
			return false
		}
		g.makeRoom(victim, c.began)
	}
	g.conns[c] = struct{}{}
	g.usageOf(c).connections++
	g.charge(c, connectionBytes)
	return true
}

// reserve charges n bytes to a connection, making room if necessary.
func (g *Guard) reserve(c *conn, n int64) error {
	g.mu.Lock()
	defer g.unlock()
	return g.reserveLocked(c, n, clock.Now())
}

func (g *Guard) reserveLocked(c *conn, n int64, now time.Time) error {
	if c.gone {
		return net.ErrClosed
	}
	for {
		lacking, ok := g.lacks(c, n)
		if ok {
			g.charge(c, n)
			return nil
		}
		victim := g.victim(c, lacking, now)
		if victim == nil || victim == c {
			g.shortage = now
			return ErrOverload
		}
		g.makeRoom(victim, now)
	}
}

// makeRoom closes a connection for another one.
func (g *Guard) makeRoom(victim *conn, now time.Time) {
	if victim.phase != phaseIdle {
		g.shortage = now
	}
	g.evict(victim, reasonOf(victim))
}

// isShort reports whether there was no room for all connections shortly before.
func (g *Guard) isShort(now time.Time) bool { return now.Sub(g.shortage) < shortageTime }

// evict takes a connection out of the account; unlock closes it.
func (g *Guard) evict(c *conn, reason string) {
	g.remove(c)
	g.metrics.add(c.listener, reason)
	g.evicted = append(g.evicted, c)
}

// unlock releases the mutex and closes the evicted connections, which takes the kernel longer
// than all that is done under the mutex.
func (g *Guard) unlock() {
	evicted := g.evicted
	g.evicted = nil
	g.mu.Unlock()
	for _, c := range evicted {
		c.abort()
	}
}

func (g *Guard) remove(c *conn) {
	if _, admitted := g.conns[c]; !admitted {
		return
	}
	g.charge(c, -c.held)
	g.usageOf(c).connections--
	c.gone = true
	delete(g.conns, c)
}

// pressure reports whether half of a limit is in use.
func (g *Guard) pressure() bool {
	return 2*g.bytes() > g.cfg.MemoryBytes || 2*g.connections() > g.cfg.Connections
}

func (g *Guard) sweepUntilClosed() {
	const interval = 500 * time.Millisecond
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			g.sweep(clock.Now())
		case <-g.stop:
			return
		}
	}
}

// sweep closes connections that exceed a time limit, or that are too slow under pressure.
func (g *Guard) sweep(now time.Time) {
	g.mu.Lock()
	pressure := g.pressure()
	for c := range g.conns {
		if reason := c.overdue(now, &g.cfg, pressure); reason != "" {
			g.evict(c, reason)
		}
	}
	due := g.metrics.takeReport(now)
	g.unlock()
	report(due, g.cfg.Log) // a blocked log must not block the connections
}
