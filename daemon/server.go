package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v5"
	"github.com/pkg/errors"

	"magnoliastand.example/connlimit"
	"magnoliastand.example/peerlink"
)

// readiness tells the balancer whether to send callers here.
type readiness struct {
	stopping atomic.Bool
}

func (r *readiness) stop() { r.stopping.Store(true) }

// servers are the daemon's three listeners.
type servers struct {
	callers   *http.Server
	operators *http.Server
	peers     *http.Server
	listeners map[*http.Server]net.Listener
	guard     *connlimit.Guard
	wg        sync.WaitGroup
}

// stopTimeout bounds closing a listener's connections after the origin has drained.
const stopTimeout = 2 * time.Second

// listen opens the listeners, so that a taken address is an error at start.
func (d *Daemon) listen() (*servers, error) {
	limits := d.set.Limits
	s := &servers{listeners: make(map[*http.Server]net.Listener), guard: connlimit.New(d.connectionLimits(), d.metrics.registry)}
	s.callers = &http.Server{
		Handler:           d.callerRoutes(),
		ReadHeaderTimeout: limits.HeaderTimeout.Std(),
	}
	s.operators = &http.Server{
		Handler:           d.operatorRoutes(),
		ReadHeaderTimeout: limits.HeaderTimeout.Std(),
		ReadTimeout:       limits.BodyTimeout.Std(),
	}
	mux := http.NewServeMux()
	mux.Handle(peerlink.Path, d.link.Handler())
	s.peers = &http.Server{Handler: mux, ReadHeaderTimeout: limits.HeaderTimeout.Std()}
	for _, l := range []struct {
		server *http.Server
		addr   string
		field  string
	}{
		{s.callers, d.set.Listen.Callers, "listen.callers"},
		{s.operators, d.set.Listen.Operators, "listen.operators"},
		{s.peers, d.set.Listen.Peers, "listen.peers"},
	} {
		listener, err := (&net.ListenConfig{}).Listen(d.ctx, "tcp", l.addr)
		if err != nil {
			s.closeListeners()
			return nil, errors.Wrap(err, l.field)
		}
		s.guard.Apply(l.server)
		// Callers must not keep out operators and peers.
		s.listeners[l.server] = s.guard.Listener(strings.TrimPrefix(l.field, "listen."), listener, l.server != s.callers)
	}
	return s, d.wrapPeerTLS(s)
}

// idleTimeout bounds how long a caller's connection is kept without a request.
const idleTimeout = 2 * time.Minute

// connectionLimits returns the limits on inbound connections.
func (d *Daemon) connectionLimits() connlimit.Config {
	l := &d.set.Limits
	return connlimit.Config{
		MemoryBytes: l.ConnectionBytes(), Connections: l.ConnectionCount(),
		HeaderBytes: l.HeaderBytes, HeaderTimeout: l.HeaderTimeout.Std(), IdleTimeout: idleTimeout,
		BodyTimeout: l.BodyTimeout.Std(), WriteTimeout: l.WriteTimeout.Std(), MinRate: l.MinReceiveBytesPerS, Log: d.log,
	}
}

func (s *servers) closeListeners() {
	s.guard.Close()
	for _, l := range s.listeners {
		_ = l.Close()
	}
}

func (s *servers) start(fail func(error)) {
	for srv, l := range s.listeners {
		s.wg.Go(func() {
			if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				fail(errors.Wrap(err, l.Addr().String()))
			}
		})
	}
}

// stop lets answers be written and closes the listeners. Callers that hold their connections must
// not use up the time of the operators.
func (s *servers) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	var stopping sync.WaitGroup
	for _, srv := range []*http.Server{s.callers, s.operators} {
		stopping.Go(func() {
			if srv.Shutdown(ctx) != nil {
				_ = srv.Close()
			}
		})
	}
	stopping.Wait()
	_ = s.peers.Close()
	s.wg.Wait()
	s.guard.Close()
}

// peerTLS returns the TLS configuration of peer links.
func (d *Daemon) peerTLS() (*tls.Config, error) {
	files := d.set.PeerTLS
	pair, err := peerlink.NewKeyPair(peerlink.TLSFiles{CertFile: files.CertFile, KeyFile: files.KeyFile, CAFile: files.CAFile})
	if err != nil {
		return nil, errors.Wrap(err, "peer_tls")
	}
	cfg, err := pair.Config()
	return cfg, errors.Wrap(err, "peer_tls")
}

func (d *Daemon) wrapPeerTLS(s *servers) error {
	if d.set.PeerTLS == nil {
		return nil
	}
	cfg, err := d.peerTLS()
	if err != nil {
		s.closeListeners()
		return err
	}
	s.listeners[s.peers] = tls.NewListener(s.listeners[s.peers], cfg)
	return nil
}

// healthRoutes adds the checks of balancer and platform.
func (d *Daemon) healthRoutes(e *echo.Echo) {
	e.GET("/healthz", func(c *echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", func(c *echo.Context) error {
		if reason := d.notReady(); reason != "" {
			return c.String(http.StatusServiceUnavailable, reason+"\n")
		}
		return c.String(http.StatusOK, "ready\n")
	})
}

// notReady returns why callers should not be sent here, or "".
func (d *Daemon) notReady() string {
	ref, _ := d.zone.Arbiter()
	switch {
	case d.ready.stopping.Load():
		return "shutting down"
	case ref.Name == "":
		return "no arbiter of the availability zone is known"
	case d.control.holder.View().DocumentVersion() == 0:
		return "no document is in force"
	default:
		return ""
	}
}
