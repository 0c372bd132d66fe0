package system

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"

	"magnoliastand.example/peerlink"
)

const (
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 3 * time.Second
	// idleTimeout ends connections without a request; the platform's callers
	// keep theirs over some seconds between requests.
	idleTimeout = 60 * time.Second
	// peerPing is the time between liveness checks of a peer link; it bounds how
	// long a silent link is used.
	peerPing = time.Second
	// clusterName is the same on all daemons of a deployment.
	clusterName = "magnoliastand"
	// incarnationBytes is the length of the random name of a process's life.
	incarnationBytes = 8
)

// newLink returns the peer links of a daemon.
func newLink(set *Settings, log zerolog.Logger) (*peerlink.Node, error) {
	var life [incarnationBytes]byte
	_, _ = rand.Read(life[:]) // crypto/rand.Read never returns an error
	return peerlink.New(peerlink.Config{
		Self:   peerlink.Identity{Cluster: clusterName, Name: set.self(), Incarnation: hex.EncodeToString(life[:]), Zone: set.Zone},
		Secret: []byte(set.PeerSecret), NamesAreAddresses: true, PingInterval: peerPing, Log: log,
		OnDown: func(peer string) { log.Warn().Str("peer", peer).Msg("peer link lost") },
	})
}

// servers are the listeners of a daemon.
type servers struct {
	log  zerolog.Logger
	list []*server
	wg   sync.WaitGroup
}

type server struct {
	name string
	http *http.Server
}

func newServers(log zerolog.Logger) *servers { return &servers{log: log} }

// add adds a server; an empty address adds none.
func (s *servers) add(name, address string, h http.Handler) *http.Server {
	srv := &http.Server{
		Addr: address, Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
	}
	if address != "" {
		s.list = append(s.list, &server{name: name, http: srv})
	}
	return srv
}

func (s *servers) addMetrics(set *Settings, registry *prometheus.Registry) {
	if set.MetricsPort == 0 {
		return
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	s.add("metrics", net.JoinHostPort(set.IP, strconv.Itoa(set.MetricsPort)), mux)
}

// start opens all listeners, then serves.
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
		s.wg.Go(func() {
			if err := srv.http.Serve(listeners[i]); !errors.Is(err, http.ErrServerClosed) {
				s.log.Error().Err(err).Str("server", srv.name).Msg("server failed")
			}
		})
	}
	return nil
}

// stop lets requests under way end within a time, then closes all connections.
func (s *servers) stop(within time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	for _, srv := range s.list {
		if err := srv.http.Shutdown(ctx); err != nil {
			s.log.Warn().Err(err).Str("server", srv.name).Msg("requests cut at the end of the grace time")
			_ = srv.http.Close()
		}
	}
	s.wg.Wait()
}
