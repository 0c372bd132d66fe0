package system

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"

	"magnoliastand.example/connlimit"
	"magnoliastand.example/peerlink"
)

const (
	// peerPingInterval is the interval between liveness checks of a peer link. It
	// limits how long an unresponsive link stays in use.
	peerPingInterval = time.Second
	// clusterName must be equal on all daemons of a deployment.
	clusterName = "magnoliastand"
	// incarnationIDBytes is the length of the random ID of one run of the process.
	incarnationIDBytes = 8
)

// newPeerNode returns the daemon's node of the peer links.
func newPeerNode(settings *Settings, registry *prometheus.Registry, log zerolog.Logger) (*peerlink.Node, error) {
	var incarnation [incarnationIDBytes]byte
	_, _ = rand.Read(incarnation[:]) // crypto/rand.Read never returns an error
	link, err := peerlink.New(peerlink.Config{
		Self: peerlink.Identity{
			Cluster: clusterName, Name: settings.peerAddress(), Incarnation: hex.EncodeToString(incarnation[:]), Zone: settings.Zone},
		Secret: []byte(settings.PeerSecret), NamesAreAddresses: true, PingInterval: peerPingInterval, Log: log,
		OnDown: func(peer string) { log.Warn().Str("peer", peer).Msg("peer link lost") },
	})
	if err != nil {
		return nil, err
	}
	registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "magnoliastand_peer_handler_panics_total", Help: "Calls and notifications of peers whose handler panicked."},
		func() float64 { return float64(link.Stats().HandlerPanics) }))
	return link, nil
}

// servers is the set of HTTP servers of a daemon.
type servers struct {
	log    zerolog.Logger
	panics *prometheus.CounterVec
	list   []*server
	// guard limits the connections of all servers; nil means that nothing does.
	guard *connlimit.Guard
	wg    sync.WaitGroup
}

type server struct {
	name string
	http *http.Server
}

func newServers(log zerolog.Logger, registry *prometheus.Registry) *servers {
	s := &servers{log: log, panics: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "magnoliastand_handler_panics_total", Help: "Requests whose handler panicked."}, []string{"server"})}
	registry.MustRegister(s.panics)
	return s
}

// recoverPanics ends the request whose handler panics, not the process. The
// connection is closed without an answer, because the request may have run.
func (s *servers) recoverPanics(name string, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			cause := recover()
			if cause == nil {
				return
			}
			if err, ok := cause.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				s.panics.WithLabelValues(name).Inc()
				s.log.Error().Str("server", name).Str("method", r.Method).Str("path", r.URL.Path).Interface("cause", cause).
					Bytes("stack", debug.Stack()).Msg("handler panicked")
			}
			panic(http.ErrAbortHandler)
		}()
		h.ServeHTTP(w, r)
	})
}

// add creates a server. The server is not started if the address is empty.
func (s *servers) add(name, address string, h http.Handler) *http.Server {
	srv := &http.Server{Addr: address, Handler: s.recoverPanics(name, h), ReadHeaderTimeout: millis(defaultHeaderTimeoutMS)}
	if address != "" {
		s.list = append(s.list, &server{name: name, http: srv})
	}
	return srv
}

// addMetrics adds the server of metrics. It also sets the limits on the connections of all
// servers, which have metrics of their own.
func (s *servers) addMetrics(settings *Settings, registry *prometheus.Registry) {
	s.guard = connlimit.New(settings.connectionLimits(s.log), registry)
	if settings.MetricsPort == 0 {
		return
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	s.add("metrics", net.JoinHostPort(settings.IP, strconv.Itoa(settings.MetricsPort)), mux)
}

// start opens all listeners before it serves any, so that it fails without
// having served a request.
func (s *servers) start() error {
	listeners := make([]net.Listener, 0, len(s.list))
	for _, srv := range s.list {
		l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", srv.http.Addr)
		if err != nil {
			for _, open := range listeners {
				_ = open.Close()
			}
			return errors.Wrapf(err, "listen for %s", srv.name)
		}
		listeners = append(listeners, l)
	}
	for i, srv := range s.list {
		if s.guard != nil {
			s.guard.Apply(srv.http)
			// Callers and operators must not keep out peers, the balancer and monitoring.
			privileged := srv.name != "callers" && srv.name != "operators"
			listeners[i] = s.guard.Listener(srv.name, listeners[i], privileged)
		}
		s.wg.Go(func() {
			if err := srv.http.Serve(listeners[i]); !errors.Is(err, http.ErrServerClosed) {
				s.log.Error().Err(err).Str("server", srv.name).Msg("server failed")
			}
		})
	}
	return nil
}

// stop waits up to the given time for requests in progress, then closes the remaining
// connections. All servers stop at once: one whose clients hold their connections must not use up
// the time of the others.
func (s *servers) stop(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	for _, srv := range s.list {
		s.wg.Go(func() {
			if err := srv.http.Shutdown(ctx); err != nil {
				s.log.Warn().Err(err).Str("server", srv.name).Msg("grace period over; closing the remaining connections")
				_ = srv.http.Close()
			}
		})
	}
	s.wg.Wait()
	if s.guard != nil {
		s.guard.Close()
	}
}
