// Package settings reads and checks the YAML settings file of one daemon.
package settings

import (
	"os"
	"slices"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"magnoliastand.example/api"
	"magnoliastand.example/connlimit"
)

// Settings configure one daemon process. They are read once at start.
type Settings struct {
	// Name is the daemon's name, stable over restarts and unique in the cluster.
	Name string `json:"name"`
	// Cluster names the deployment; peers of another cluster are refused.
	Cluster          string `json:"cluster"`
	AvailabilityZone string `json:"availability_zone"`
	Listen           Listen `json:"listen"`
	// Peers lists every daemon of the cluster, this one included.
	Peers []Peer `json:"peers"`
	// PeerSecretFile holds the secret that peers prove to each other.
	PeerSecretFile string `json:"peer_secret_file,omitempty"`
	// PeerSecret is the secret itself; for development only.
	PeerSecret string   `json:"peer_secret,omitempty"`
	PeerTLS    *PeerTLS `json:"peer_tls,omitempty"`
	// DataFolder holds the daemon's durable state. A daemon with a data folder
	// can be a voter of the control log.
	DataFolder string `json:"data_folder,omitempty"`
	// FirstVoters names the daemons that form the control log at its creation.
	FirstVoters []string `json:"first_voters"`
	// Operators lists who may use the operators' interface.
	Operators []Operator `json:"operators"`
	// WorkerKeySHA256 lists SHA-256 hashes, in hexadecimal, of the keys that workers present.
	WorkerKeySHA256 []string `json:"worker_key_sha256,omitempty"`
	// Grace bounds the time that a shutdown waits for running requests.
	Grace api.Duration `json:"grace,omitempty"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"log_level,omitempty"`
	// StopOnBreach ends the process when an invariant is breached.
	StopOnBreach bool   `json:"stop_on_breach,omitempty"`
	Limits       Limits `json:"limits,omitempty"`
	// Profiling opens the runtime profiles to operators.
	Profiling bool `json:"profiling,omitempty"`
	// TestFaults opens an operator call that cuts peer links. Never set in production.
	TestFaults bool `json:"test_faults,omitempty"`
}

// Listen holds the listeners' addresses as "IP:port".
type Listen struct {
	// Callers serves callers, endpoints and health checks.
	Callers string `json:"callers"`
	// Operators serves operators, the platform and metrics.
	Operators string `json:"operators"`
	// Peers serves the other daemons.
	Peers string `json:"peers"`
}

// Operator is one holder of an operator key.
type Operator struct {
	// Name appears in the history of documents.
	Name string `json:"name"`
	// KeySHA256 is the SHA-256 hash of the key in hexadecimal.
	KeySHA256 string `json:"key_sha256"`
}

// Peer is one daemon of the cluster.
type Peer struct {
	Name             string `json:"name"`
	AvailabilityZone string `json:"availability_zone"`
	// Address is the daemon's peer listener as others reach it.
	Address string `json:"address"`
}

// PeerTLS names the PEM files for TLS on peer links.
type PeerTLS struct {
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
	CAFile   string `json:"ca_file"`
}

// Limits bound what callers can make the daemon hold.
type Limits struct {
	// HeaderBytes bounds a request's header.
	HeaderBytes int `json:"header_bytes,omitempty"`
	// HeaderTimeout bounds reading a request's header.
	HeaderTimeout api.Duration `json:"header_timeout,omitempty"`
	// BodyTimeout bounds reading a request with its body.
	BodyTimeout api.Duration `json:"body_timeout,omitempty"`
	// WriteTimeout bounds writing an answer to a caller.
	WriteTimeout api.Duration `json:"write_timeout,omitempty"`
	// Requests bounds requests held at once.
	Requests int `json:"requests,omitempty"`
	// MemoryMB is the memory of the process in MB; 0 means no limit.
	MemoryMB int64 `json:"memory_mb,omitempty"`
	// ConnectionMemoryMB bounds what inbound connections hold, in MB. 0 stands for a
	// quarter of MemoryMB, or for 512 MB.
	ConnectionMemoryMB int64 `json:"connection_memory_mb,omitempty"`
	// Connections bounds inbound connections. 0 stands for half of the descriptor limit.
	Connections int `json:"connections,omitempty"`
	// MinReceiveBytesPerS is the least rate of a header or body under pressure.
	MinReceiveBytesPerS int64 `json:"min_receive_bytes_per_s,omitempty"`
}

// ConnectionBytes returns the memory that inbound connections may hold, in bytes.
func (l *Limits) ConnectionBytes() int64 {
	switch {
	case l.ConnectionMemoryMB > 0:
		return l.ConnectionMemoryMB << 20
	case l.MemoryMB > 0:
		return connlimit.DefaultMemoryBytes(l.MemoryMB << 20)
	}
	return defaultConnectionMemoryMB << 20
}

// ConnectionCount returns the number of inbound connections that may be open.
func (l *Limits) ConnectionCount() int {
	if l.Connections > 0 {
		return l.Connections
	}
	return connlimit.DefaultConnections()
}

// Defaults of the settings.
const (
	DefaultGrace         = 30 * time.Second
	DefaultLogLevel      = "info"
	DefaultHeaderBytes   = 16 << 10
	DefaultHeaderTimeout = 5 * time.Second
	DefaultBodyTimeout   = 30 * time.Second
	DefaultWriteTimeout  = 30 * time.Second
	DefaultRequests      = 20000
	// DefaultMinReceiveBytesPerS is far below the rate of any network in use.
	DefaultMinReceiveBytesPerS = 512
	// defaultConnectionMemoryMB holds several bodies of the largest size, 64 MiB.
	defaultConnectionMemoryMB = 512
	// minConnectionMemoryMB holds bodies of the default size, minConnections some callers
	// and all peers of a small cluster.
	minConnectionMemoryMB = 12
	minConnections        = 32
)

// Load reads, defaults and checks a settings file. The error lists every fault.
func Load(path string) (Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	s, err := Parse(b)
	return s, errors.Wrapf(err, "settings file %s", path)
}

// Parse decodes settings strictly, fills in defaults and checks them.
func Parse(b []byte) (Settings, error) {
	var s Settings
	if err := yaml.UnmarshalWithOptions(b, &s, yaml.Strict()); err != nil {
		return Settings{}, errors.New(yaml.FormatError(err, false, false))
	}
	s.fillDefaults()
	if faults := s.Validate(); len(faults) > 0 {
		return Settings{}, &FaultsError{Faults: faults}
	}
	return s, nil
}

func (s *Settings) fillDefaults() {
	setDefault(&s.Grace, api.Duration(DefaultGrace))
	setDefault(&s.LogLevel, DefaultLogLevel)
	setDefault(&s.Limits.HeaderBytes, DefaultHeaderBytes)
	setDefault(&s.Limits.HeaderTimeout, api.Duration(DefaultHeaderTimeout))
	setDefault(&s.Limits.BodyTimeout, api.Duration(DefaultBodyTimeout))
	setDefault(&s.Limits.WriteTimeout, api.Duration(DefaultWriteTimeout))
	setDefault(&s.Limits.Requests, DefaultRequests)
	setDefault(&s.Limits.MinReceiveBytesPerS, DefaultMinReceiveBytesPerS)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Secret returns the peer secret from its file or the settings themselves.
func (s *Settings) Secret() ([]byte, error) {
	if s.PeerSecretFile == "" {
		return []byte(s.PeerSecret), nil
	}
	b, err := os.ReadFile(s.PeerSecretFile)
	return b, errors.Wrap(err, "peer_secret_file")
}

// PeersOf returns the names of the daemons in a zone, in the order of the settings.
func (s *Settings) PeersOf(zone string) []string {
	var names []string
	for _, p := range s.Peers {
		if p.AvailabilityZone == zone {
			names = append(names, p.Name)
		}
	}
	return names
}

// ArbiterOrder returns the daemons of a zone in the order in which they become
// arbiter. First voters come last, so that the loss of one process rarely takes
// both the zone's arbiter and the leader of the control log.
func (s *Settings) ArbiterOrder(zone string) []string {
	var order, voters []string
	for _, name := range s.PeersOf(zone) {
		if slices.Contains(s.FirstVoters, name) {
			voters = append(voters, name)
		} else {
			order = append(order, name)
		}
	}
	return append(order, voters...)
}
