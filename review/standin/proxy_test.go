package standin

import (
	"net"
	"sync"
)

// proxy stands at the address of a core's peer links. It can let open channels go silent,
// as DEPLOY.md has them, while new ones work.
type proxy struct {
	rec      *record
	to       string
	listener net.Listener
	// trap is shared by the proxies of a deployment.
	trap *trap
}

// trap silences one channel: the first that passes a message of at least size bytes to a
// core. sprung is called then. A trap of size 0 is not set.
type trap struct {
	mu     sync.Mutex
	size   int
	sprung func()
}

func (t *trap) set(size int, sprung func()) {
	t.mu.Lock()
	t.size, t.sprung = size, sprung
	t.mu.Unlock()
}

// catches reports whether a message of n bytes springs the trap.
func (t *trap) catches(n int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.size == 0 || n < t.size {
		return false
	}
	t.size = 0
	return true
}

func newProxy(rec *record, at, to string, t *trap) *proxy {
	l, err := net.Listen("tcp", at)
	rec.must(err)
	p := &proxy{rec: rec, to: to, listener: l, trap: t}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(in)
		}
	}()
	return p
}

// channel is one channel through the proxy.
type channel struct {
	mu     sync.Mutex
	silent bool
}

func (c *channel) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

func (p *proxy) serve(in net.Conn) {
	out, err := net.Dial("tcp", p.to)
	if err != nil {
		_ = in.Close()
		return
	}
	c := &channel{}
	go func() {
		copyUnless(c, in, out, func(int) {})
		if !c.isSilent() {
			_ = in.Close()
		}
	}()
	copyUnless(c, out, in, func(n int) {
		if p.trap.catches(n) {
			c.mu.Lock()
			c.silent = true
			c.mu.Unlock()
			p.rec.note("proxy at %s: a channel goes silent after a message of %d bytes to the core", p.listener.Addr(), n)
			p.trap.sprung()
		}
	})
	_ = out.Close()
	_ = in.Close()
}

// copyUnless passes bytes on until the channel is silent; then they are lost. passed is
// called before the bytes of a read are written.
func copyUnless(c *channel, to, from net.Conn, passed func(n int)) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		silent := c.isSilent()
		passed(n)
		if silent {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}
