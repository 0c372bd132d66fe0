package system

import (
	"maps"
	"net"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"magnoliastand.example/connlimit"
	"magnoliastand.example/driver"
	"magnoliastand.example/workload"
)

// ErrSettings is returned for invalid settings. The error lists every invalid
// field.
var ErrSettings = errors.New("settings")

// Settings holds the settings of a daemon. The names of durations end in their
// unit.
type Settings struct {
	Name string `yaml:"name"`
	// IP is the daemon's own address, at which other daemons reach it.
	IP   string `yaml:"ip"`
	Zone string `yaml:"availability_zone"`
	// AvailabilityZones lists the zones of the deployment; empty if they are not known.
	AvailabilityZones zoneList `yaml:"availability_zones"`
	// CallersListen, ReadyListen and OperatorsListen are listen addresses
	// ("IP:port"), empty if the daemon does not run that server.
	CallersListen   string `yaml:"callers_listen"`
	ReadyListen     string `yaml:"ready_listen"`
	OperatorsListen string `yaml:"operators_listen"`
	PeerPort        int    `yaml:"peer_port"`
	// PeerListen is the listen address for peer links, if it differs from the
	// address at which other daemons reach this one.
	PeerListen  string `yaml:"peer_listen"`
	MetricsPort int    `yaml:"metrics_port"`
	// PeerSecret is the shared secret with which daemons authenticate.
	PeerSecret string `yaml:"peer_secret"`
	// Seeds holds the operator addresses of some core daemons.
	Seeds []string `yaml:"seeds"`
	// FormCluster permits the seeds to form a new cluster.
	FormCluster bool   `yaml:"form_cluster"`
	DataFolder  string `yaml:"data_folder"`
	// LostDisks is the number of simultaneous disk losses to tolerate.
	LostDisks         int     `yaml:"lost_disks"`
	MemoryMB          int64   `yaml:"memory_mb"`
	AnnounceMS        int64   `yaml:"announce_ms"`
	CatchUpS          float64 `yaml:"catch_up_s"`
	GraceS            float64 `yaml:"grace_s"`
	MaxLeaseMS        int64   `yaml:"max_lease_ms"`
	KeepFinishedS     float64 `yaml:"keep_finished_s"`
	MigrateS          float64 `yaml:"migrate_s"`
	MaintainS         float64 `yaml:"maintain_s"`
	PaceMS            int64   `yaml:"pace_ms"`
	AdviceAddress     string  `yaml:"advice_address"`
	InstancesAddress  string  `yaml:"instances_address"`
	RetryAfterSeconds int     `yaml:"retry_after_s"`
	// InstanceOrdersPerS is how many orders a second the machine service accepts
	// from all daemons together; 0 means no limit.
	InstanceOrdersPerS float64 `yaml:"instance_orders_per_s"`
	// RemoteFactor is the multiple of its run time that a task takes outside the
	// rack of its data.
	RemoteFactor float64 `yaml:"remote_factor"`
	LogLevel     string  `yaml:"log_level"`
	// LogBytesPerSecond bounds the volume of routine log lines.
	LogBytesPerSecond int `yaml:"log_bytes_per_s"`
	// ConnectionMemoryMB bounds the memory that inbound connections may hold, and
	// Connections their number.
	ConnectionMemoryMB int64 `yaml:"connection_memory_mb"`
	Connections        int   `yaml:"connections"`
	// The limits of a header, a body, a response and an idle connection.
	HeaderBytes     int   `yaml:"header_bytes"`
	HeaderTimeoutMS int64 `yaml:"header_timeout_ms"`
	IdleTimeoutMS   int64 `yaml:"idle_timeout_ms"`
	BodyTimeoutMS   int64 `yaml:"body_timeout_ms"`
	WriteTimeoutMS  int64 `yaml:"write_timeout_ms"`
	// MinReceiveBytesPerS is the least rate of a header or body under pressure.
	MinReceiveBytesPerS int64 `yaml:"min_receive_bytes_per_s"`
}

// Defaults of Settings.
const (
	defaultRemoteFactor = 1.5
	// defaultLogBytesPerSecond is about 1,300 lines a second.
	defaultLogBytesPerSecond = 256 << 10
	// defaultHeaderBytes and defaultHeaderTimeoutMS are what clients are told.
	defaultHeaderBytes     = 16 << 10
	defaultHeaderTimeoutMS = 3_000
	// defaultIdleTimeoutMS exceeds the 15 s that clients are told: the platform's callers
	// reuse connections that were idle for several seconds.
	defaultIdleTimeoutMS = 60_000
	// defaultBodyTimeoutMS exceeds the longest time that a caller is taken to wait.
	defaultBodyTimeoutMS       = 65_000
	defaultWriteTimeoutMS      = 30_000
	defaultMinReceiveBytesPerS = 512
	// defaultConnectionMemoryMB is used if the memory of the process is not set.
	defaultConnectionMemoryMB = 256
	// minConnectionMemoryMB holds one body of the largest size.
	minConnectionMemoryMB = 16
	// minConnections leaves room for callers, peers and the balancer's check.
	minConnections = 16
)

// zonesVariable is the environment variable that holds availability_zones if the settings file
// does not: a platform may give the zones only as a table, which its template of the file may
// not be able to write.
const zonesVariable = "MAGNOLIASTAND_ZONES"

// LoadSettings reads and validates a settings file. Unknown fields are ignored.
func LoadSettings(file string) (Settings, error) {
	var s Settings
	raw, err := os.ReadFile(file)
	if err != nil {
		return s, errors.Wrap(ErrSettings, err.Error())
	}
	if err := yaml.Unmarshal(raw, &s); err != nil {
		return s, errors.Wrapf(ErrSettings, "%s: %v", file, err)
	}
	if zones := os.Getenv(zonesVariable); zones != "" && len(s.AvailabilityZones) == 0 {
		if err := yaml.Unmarshal([]byte(zones), &s.AvailabilityZones); err != nil {
			return s, errors.Wrapf(ErrSettings, "%s: %v", zonesVariable, err)
		}
	}
	if err := s.validate().Err(); err != nil {
		return s, errors.Wrapf(ErrSettings, "%s: %v", file, err)
	}
	if s.RemoteFactor == 0 {
		s.RemoteFactor = defaultRemoteFactor
	}
	if s.LogBytesPerSecond == 0 {
		s.LogBytesPerSecond = defaultLogBytesPerSecond
	}
	return s, nil
}

// connectionLimits returns the limits on inbound connections. Fields that are 0 get their
// defaults.
func (s *Settings) connectionLimits(log zerolog.Logger) connlimit.Config {
	memory := s.ConnectionMemoryMB << 20
	if memory == 0 {
		memory = defaultConnectionMemoryMB << 20
		if s.MemoryMB > 0 {
			memory = connlimit.DefaultMemoryBytes(s.MemoryMB << 20)
		}
	}
	connections := s.Connections
	if connections == 0 {
		connections = connlimit.DefaultConnections()
	}
	return connlimit.Config{
		MemoryBytes: memory, Connections: connections,
		HeaderBytes:   int(orDefault(int64(s.HeaderBytes), defaultHeaderBytes)),
		HeaderTimeout: millis(orDefault(s.HeaderTimeoutMS, defaultHeaderTimeoutMS)),
		IdleTimeout:   millis(orDefault(s.IdleTimeoutMS, defaultIdleTimeoutMS)),
		BodyTimeout:   millis(orDefault(s.BodyTimeoutMS, defaultBodyTimeoutMS)),
		WriteTimeout:  millis(orDefault(s.WriteTimeoutMS, defaultWriteTimeoutMS)),
		MinRate:       orDefault(s.MinReceiveBytesPerS, defaultMinReceiveBytesPerS), Log: log,
	}
}

func orDefault(value, byDefault int64) int64 {
	if value == 0 {
		return byDefault
	}
	return value
}

// validateConnections checks the limits on inbound connections. 0 stands for the default.
func (s *Settings) validateConnections(f *workload.Faults) {
	for _, limit := range []struct {
		name         string
		value, least int64
	}{
		{"connection_memory_mb", s.ConnectionMemoryMB, minConnectionMemoryMB},
		{"connections", int64(s.Connections), minConnections},
		{"header_bytes", int64(s.HeaderBytes), 1024},
		{"header_timeout_ms", s.HeaderTimeoutMS, 1},
		{"idle_timeout_ms", s.IdleTimeoutMS, 1},
		{"body_timeout_ms", s.BodyTimeoutMS, 1},
		{"write_timeout_ms", s.WriteTimeoutMS, 1},
		{"min_receive_bytes_per_s", s.MinReceiveBytesPerS, 1},
	} {
		if limit.value != 0 && limit.value < limit.least {
			f.Add(limit.name, "%d is below %d", limit.value, limit.least)
		}
	}
	if s.MemoryMB < 0 {
		f.Add("memory_mb", "%d is below 0", s.MemoryMB)
	}
	if s.MemoryMB > 0 && s.ConnectionMemoryMB > s.MemoryMB/2 {
		f.Add("connection_memory_mb", "%d is above half of memory_mb", s.ConnectionMemoryMB)
	}
}

func (s *Settings) validate() workload.Faults {
	var f workload.Faults
	if net.ParseIP(s.IP) == nil {
		f.Add("ip", "%q is no IP address", s.IP)
	}
	if s.PeerPort < 1 || s.PeerPort > 65535 {
		f.Add("peer_port", "%d is no port", s.PeerPort)
	}
	if len(s.Seeds) == 0 {
		f.Add("seeds", "is empty")
	}
	for i, seed := range s.Seeds {
		if _, _, err := net.SplitHostPort(seed); err != nil {
			f.Add("seeds["+strconv.Itoa(i)+"]", "%q is no address with a port", seed)
		}
	}
	for i, zone := range s.AvailabilityZones {
		f.CheckName("availability_zones["+strconv.Itoa(i)+"]", zone)
	}
	for name, address := range map[string]string{
		"callers_listen": s.CallersListen, "ready_listen": s.ReadyListen, "operators_listen": s.OperatorsListen,
		"peer_listen": s.PeerListen,
	} {
		if _, _, err := net.SplitHostPort(address); address != "" && err != nil {
			f.Add(name, "%q is no address with a port", address)
		}
	}
	if s.AnnounceMS < 1 || s.MaxLeaseMS < 1 || s.GraceS <= 0 || s.CatchUpS <= 0 {
		f.Add("announce_ms", "and max_lease_ms, grace_s and catch_up_s must be above 0")
	}
	if s.InstanceOrdersPerS < 0 {
		f.Add("instance_orders_per_s", "%g is below 0", s.InstanceOrdersPerS)
	}
	if s.RemoteFactor != 0 && s.RemoteFactor < 1 {
		f.Add("remote_factor", "%g is below 1", s.RemoteFactor)
	}
	if s.LogBytesPerSecond < 0 {
		f.Add("log_bytes_per_s", "%d is below 0", s.LogBytesPerSecond)
	}
	s.validateConnections(&f)
	return f
}

// zoneList is a list of availability zones. A settings file may also hold a table whose keys
// are the zones.
type zoneList []string

// UnmarshalYAML implements yaml.InterfaceUnmarshaler.
func (l *zoneList) UnmarshalYAML(unmarshal func(any) error) error {
	var table map[string]any
	if err := unmarshal(&table); err == nil {
		*l = slices.Sorted(maps.Keys(table))
		return nil
	}
	return unmarshal((*[]string)(l))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// peerAddress returns the address of the daemon's peer links, which is also its
// name.
func (s *Settings) peerAddress() string { return net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort)) }

// peerListenAddress returns the listen address for peer links.
func (s *Settings) peerListenAddress() string {
	if s.PeerListen != "" {
		return s.PeerListen
	}
	return s.peerAddress()
}

// seedPeerAddresses returns the peer addresses of the seeds. All daemons use the
// same port for peer links.
func (s *Settings) seedPeerAddresses() []string {
	peers := make([]string, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			peers = append(peers, net.JoinHostPort(host, strconv.Itoa(s.PeerPort)))
		}
	}
	return peers
}

// timing returns the time limits of the driver.
func (s *Settings) timing() driver.Timing {
	return driver.Timing{
		MaxLease: millis(s.MaxLeaseMS), Announce: millis(s.AnnounceMS), KeepFinished: seconds(s.KeepFinishedS) + retentionMargin,
		Migrate: seconds(s.MigrateS), Maintain: seconds(s.MaintainS), Pace: millis(s.PaceMS),
	}
}

// retentionMargin extends the retention of finished jobs beyond the configured
// time, for late retries of their submission.
const retentionMargin = 30 * time.Second
