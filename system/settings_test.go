package system

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"magnoliastand.example/connlimit"
)

const sampleSettings = `name: core-1
ip: 10.1.0.26
availability_zone: fukuoka
operators_listen: 10.1.0.26:8345
peer_port: 7000
peer_secret: sixteen bytes or more
seeds: ["10.1.0.26:8345", "10.2.0.17:8345"]
form_cluster: true
data_folder: /data/core
lost_disks: 1
announce_ms: 1500
catch_up_s: 4
grace_s: 6
max_lease_ms: 6000
something_new: 7
`

func load(t *testing.T, text string) (Settings, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return LoadSettings(file)
}

func TestLoadSettings(t *testing.T) {
	s, err := load(t, sampleSettings)
	if err != nil {
		t.Fatal(err)
	}
	if s.peerAddress() != "10.1.0.26:7000" || s.peerListenAddress() != s.peerAddress() {
		t.Errorf("peer address %s, listen address %s", s.peerAddress(), s.peerListenAddress())
	}
	if peers := s.seedPeerAddresses(); len(peers) != 2 || peers[1] != "10.2.0.17:7000" {
		t.Errorf("peer addresses of the seeds: %v", peers)
	}
}

func TestInvalidSettingsAreNamed(t *testing.T) {
	for name, tc := range map[string]struct{ old, new, want string }{
		"ip":         {"ip: 10.1.0.26", "ip: here", "ip"},
		"port":       {"peer_port: 7000", "peer_port: 70000", "peer_port"},
		"seed":       {`"10.2.0.17:8345"`, `"10.2.0.17"`, "seeds[1]"},
		"no seeds":   {`seeds: ["10.1.0.26:8345", "10.2.0.17:8345"]`, "", "seeds"},
		"listen":     {"operators_listen: 10.1.0.26:8345", "operators_listen: somewhere", "operators_listen"},
		"times":      {"grace_s: 6", "grace_s: 0", "grace_s"},
		"not yaml":   {"name: core-1", "name: [", "settings.yaml"},
		"wrong type": {"lost_disks: 1", "lost_disks: many", "lost_disks"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := load(t, strings.Replace(sampleSettings, tc.old, tc.new, 1))
			if !errors.Is(err, ErrSettings) || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("error %v, want ErrSettings naming %q", err, tc.want)
			}
		})
	}
	if _, err := LoadSettings(filepath.Join(t.TempDir(), "missing")); !errors.Is(err, ErrSettings) {
		t.Errorf("missing file: error %v, want ErrSettings", err)
	}
}

func TestSettingsOfTheMachineServiceAndLog(t *testing.T) {
	s, err := load(t, sampleSettings)
	if err != nil || s.RemoteFactor != defaultRemoteFactor || s.LogBytesPerSecond != defaultLogBytesPerSecond || s.InstanceOrdersPerS != 0 {
		t.Errorf("defaults: %+v, %v", s, err)
	}
	s, err = load(t, sampleSettings+"remote_factor: 3\nlog_bytes_per_s: 1000\ninstance_orders_per_s: 310.5\n")
	if err != nil || s.RemoteFactor != 3 || s.LogBytesPerSecond != 1000 || s.InstanceOrdersPerS != 310.5 {
		t.Errorf("set: %+v, %v", s, err)
	}
	_, err = load(t, sampleSettings+"remote_factor: 0.5\nlog_bytes_per_s: -1\ninstance_orders_per_s: -2\n")
	for _, field := range []string{"remote_factor", "log_bytes_per_s", "instance_orders_per_s"} {
		if !errors.Is(err, ErrSettings) || !strings.Contains(err.Error(), field) {
			t.Errorf("error %v does not name %s", err, field)
		}
	}
}

// Guards against a deployment whose template gives the zones as a table or not at all, and whose
// daemons would not start for that.
func TestAvailabilityZonesOfSettings(t *testing.T) {
	for text, want := range map[string]string{
		"":                                     "[]",
		"availability_zones:\n":                "[]",
		"availability_zones: null\n":           "[]",
		"availability_zones: [north, south]\n": "[north south]",
		"availability_zones: {\"south\":\"r\",\"north\":\"r\"}\n": "[north south]",
	} {
		s, err := load(t, sampleSettings+text)
		if err != nil || fmt.Sprint(s.AvailabilityZones) != want {
			t.Errorf("%q: %v, %v, want %s", text, s.AvailabilityZones, err, want)
		}
	}
	for _, text := range []string{"availability_zones: 7\n", "availability_zones: [\"\"]\n", "availability_zones: [[a]]\n"} {
		if _, err := load(t, sampleSettings+text); !errors.Is(err, ErrSettings) || !strings.Contains(err.Error(), "availability_zones") {
			t.Errorf("%q: error %v does not name availability_zones", text, err)
		}
	}
}

// TestConnectionSettings guards against limits on connections that are taken although they let
// no request through, and against defaults that clients within the announced limits reach.
func TestConnectionSettings(t *testing.T) {
	for _, line := range []string{
		"connection_memory_mb: 15", "connection_memory_mb: -1", "connections: 3", "header_bytes: 100", "header_timeout_ms: -1",
		"idle_timeout_ms: -5", "body_timeout_ms: -5", "write_timeout_ms: -5", "min_receive_bytes_per_s: -1",
		"connection_memory_mb: 40\nmemory_mb: 64", "memory_mb: -1",
	} {
		field, _, _ := strings.Cut(line, ":")
		if _, err := load(t, sampleSettings+line+"\n"); !errors.Is(err, ErrSettings) || !strings.Contains(err.Error(), field) {
			t.Errorf("%q: error %v does not name %s", line, err, field)
		}
	}
	s, err := load(t, sampleSettings+"memory_mb: 184\n")
	if err != nil {
		t.Fatal(err)
	}
	l := s.connectionLimits(zerolog.Nop())
	if l.MemoryBytes != 46<<20 || l.HeaderBytes < 16384 || l.HeaderTimeout < 3*time.Second || l.IdleTimeout < 15*time.Second ||
		l.BodyTimeout <= time.Minute || l.WriteTimeout <= 0 || l.MinRate <= 0 || l.Connections < 16 {
		t.Errorf("defaults: %+v", l)
	}
}

// Guards against zones that only the environment gives and that no daemon knows.
func TestAvailabilityZonesOfEnvironment(t *testing.T) {
	for text, want := range map[string]string{"": "[]", `{"south":"r","north":"r"}`: "[north south]", "[a, b]": "[a b]"} {
		t.Setenv(zonesVariable, text)
		s, err := load(t, sampleSettings)
		if err != nil || fmt.Sprint(s.AvailabilityZones) != want {
			t.Errorf("%q: %v, %v, want %s", text, s.AvailabilityZones, err, want)
		}
	}
	t.Setenv(zonesVariable, "{\"a\":1}")
	if s, err := load(t, sampleSettings+"availability_zones: [b]\n"); err != nil || fmt.Sprint(s.AvailabilityZones) != "[b]" {
		t.Errorf("%v, %v: the file goes first", s.AvailabilityZones, err)
	}
	t.Setenv(zonesVariable, "7")
	if _, err := load(t, sampleSettings); !errors.Is(err, ErrSettings) {
		t.Errorf("no list: %v", err)
	}
}

// TestLeastConnectionMemoryHoldsLargestBody guards against a setting that is accepted and with which
// the largest report of a worker is rejected although there is no other request.
func TestLeastConnectionMemoryHoldsLargestBody(t *testing.T) {
	const largestReport = 4 << 20
	s := Settings{ConnectionMemoryMB: minConnectionMemoryMB}
	guard := connlimit.New(s.connectionLimits(zerolog.Nop()), prometheus.NewRegistry())
	defer guard.Close()
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	}))
	guard.Apply(srv.Config)
	srv.Listener = guard.Listener("operators", srv.Listener, false)
	srv.Start()
	defer srv.Close()
	resp, err := http.Post(srv.URL, "application/json", bytes.NewReader(make([]byte, largestReport)))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Errorf("status %d", resp.StatusCode)
	}
}
