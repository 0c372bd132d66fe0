package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"strings"

	"github.com/rs/zerolog"

	"magnoliastand.example/api"
)

// FaultsError lists every fault of a settings file.
type FaultsError struct {
	Faults []api.Fault
}

// Error implements error.
func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

const (
	minSecretBytes  = 16
	sha256HexDigits = 64
)

// checker gathers faults.
type checker struct {
	faults []api.Fault
}

func (c *checker) add(path, format string, args ...any) {
	c.faults = append(c.faults, api.Fault{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) required(path, value string) {
	if value == "" {
		c.add(path, "is required")
	}
}

func (c *checker) hash(path, value string) {
	if _, err := hex.DecodeString(value); err != nil || len(value) != sha256HexDigits {
		c.add(path, "is not a SHA-256 hash in hexadecimal")
	}
}

func (c *checker) address(path, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add(path, "%q is not an \"IP:port\"", value)
	}
}

// Validate returns every fault of s.
func (s *Settings) Validate() []api.Fault {
	c := &checker{}
	c.required("name", s.Name)
	c.required("cluster", s.Cluster)
	c.required("availability_zone", s.AvailabilityZone)
	c.address("listen.callers", s.Listen.Callers)
	c.address("listen.operators", s.Listen.Operators)
	c.address("listen.peers", s.Listen.Peers)
	s.checkPeers(c)
	s.checkVoters(c)
	s.checkSecrets(c)
	s.checkLimits(c)
	return c.faults
}

func (s *Settings) checkPeers(c *checker) {
	seen := make(map[string]bool)
	self := false
	for i, p := range s.Peers {
		path := fmt.Sprintf("peers[%d]", i)
		c.required(path+".name", p.Name)
		c.required(path+".availability_zone", p.AvailabilityZone)
		c.address(path+".address", p.Address)
		if seen[p.Name] {
			c.add(path+".name", "%q stands twice", p.Name)
		}
		seen[p.Name] = true
		if p.Name != s.Name {
			continue
		}
		self = true
		if p.AvailabilityZone != s.AvailabilityZone {
			c.add(path+".availability_zone", "%q differs from this daemon's %q", p.AvailabilityZone, s.AvailabilityZone)
		}
	}
	if !self {
		c.add("peers", "this daemon, %q, is missing", s.Name)
	}
}

func (s *Settings) checkVoters(c *checker) {
	names := make(map[string]bool)
	for _, p := range s.Peers {
		names[p.Name] = true
	}
	if len(s.FirstVoters)%2 == 0 {
		c.add("first_voters", "%d voters: an odd number is needed", len(s.FirstVoters))
	}
	for i, v := range s.FirstVoters {
		path := fmt.Sprintf("first_voters[%d]", i)
		if !names[v] {
			c.add(path, "%q is not in peers", v)
		}
		if v == s.Name && s.DataFolder == "" {
			c.add("data_folder", "is required: this daemon is in first_voters")
		}
	}
}

func (s *Settings) checkSecrets(c *checker) {
	switch {
	case s.PeerSecret == "" && s.PeerSecretFile == "":
		c.add("peer_secret_file", "is required")
	case s.PeerSecret != "" && s.PeerSecretFile != "":
		c.add("peer_secret", "excludes peer_secret_file")
	case s.PeerSecret != "" && len(s.PeerSecret) < minSecretBytes:
		c.add("peer_secret", "has %d bytes, needs %d", len(s.PeerSecret), minSecretBytes)
	}
	for i, o := range s.Operators {
		path := fmt.Sprintf("operators[%d]", i)
		c.required(path+".name", o.Name)
		c.hash(path+".key_sha256", o.KeySHA256)
	}
	for i, h := range s.WorkerKeySHA256 {
		c.hash(fmt.Sprintf("worker_key_sha256[%d]", i), h)
	}
	if s.PeerTLS != nil {
		c.required("peer_tls.cert_file", s.PeerTLS.CertFile)
		c.required("peer_tls.key_file", s.PeerTLS.KeyFile)
		c.required("peer_tls.ca_file", s.PeerTLS.CAFile)
	}
}

func (s *Settings) checkLimits(c *checker) {
	if s.Grace < 0 {
		c.add("grace", "is negative")
	}
	if _, err := zerolog.ParseLevel(s.LogLevel); err != nil {
		c.add("log_level", "%q is none of debug, info, warn, error", s.LogLevel)
	}
	checkPositive(c, "limits.header_bytes", s.Limits.HeaderBytes)
	checkPositive(c, "limits.header_timeout", s.Limits.HeaderTimeout)
	checkPositive(c, "limits.body_timeout", s.Limits.BodyTimeout)
	checkPositive(c, "limits.write_timeout", s.Limits.WriteTimeout)
	checkPositive(c, "limits.requests", s.Limits.Requests)
	checkPositive(c, "limits.min_receive_bytes_per_s", s.Limits.MinReceiveBytesPerS)
	l := &s.Limits
	if l.MemoryMB < 0 {
		c.add("limits.memory_mb", "is negative")
	}
	if m := l.ConnectionMemoryMB; m != 0 && m < minConnectionMemoryMB {
		c.add("limits.connection_memory_mb", "%d is below %d", m, minConnectionMemoryMB)
	}
	if l.MemoryMB > 0 && l.ConnectionMemoryMB > l.MemoryMB/2 {
		c.add("limits.connection_memory_mb", "%d is above half of limits.memory_mb", l.ConnectionMemoryMB)
	}
	if n := l.Connections; n != 0 && n < minConnections {
		c.add("limits.connections", "%d is below %d", n, minConnections)
	}
}

func checkPositive[T ~int | ~int64](c *checker, path string, value T) {
	if value < 1 {
		c.add(path, "must be positive")
	}
}
