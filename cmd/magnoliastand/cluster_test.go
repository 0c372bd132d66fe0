package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"magnoliastand.example/daemon"
	"magnoliastand.example/standin"
)

// runAsProgram makes the test binary act as the program itself, so that process
// runs use the race detector too.
const runAsProgram = "MAGNOLIASTAND_TEST_RUN"

func TestMain(m *testing.M) {
	if os.Getenv(runAsProgram) != "" {
		main()
		return
	}
	if os.Getenv(runAsCrowd) != "" {
		crowdMain()
		return
	}
	code := m.Run()
	removeProgram()
	os.Exit(code)
}

const (
	testOperatorKey = "operator-key-of-the-tests"
	testWorkerKey   = "worker-key-of-the-tests"
	// slowOutcome is the latency from which on an outcome is printed.
	slowOutcome = 16 * time.Second
	// convergence bounds waits for a state that the system must reach; it is no
	// claim about speed.
	convergence = 30 * time.Second
)

// member is one daemon process.
type member struct {
	name, zone                  string
	callers, operators, peers   string
	settingsFile, logFile, data string
	cmd                         *exec.Cmd
	exited                      chan error
}

// cluster is a set of daemon processes with stand-in endpoints in the test process.
type cluster struct {
	t         testing.TB
	dir       string
	members   []*member
	endpoints []*standin.Endpoint
	meter     *standin.TeamMeter
}

// newCluster prepares a cluster and starts its daemons.
func newCluster(t testing.TB, zones []string, perZone int) *cluster {
	t.Helper()
	c := prepareCluster(t, zones, perZone)
	for _, m := range c.members {
		c.start(m)
	}
	return c
}

// prepareCluster writes settings for daemons "<zone>-<n>", of which the first
// of each zone has a disk.
func prepareCluster(t testing.TB, zones []string, perZone int) *cluster {
	t.Helper()
	c := &cluster{t: t, dir: t.TempDir(), meter: standin.NewTeamMeter()}
	number := clusters.Add(1)
	for _, zone := range zones {
		for n := 1; n <= perZone; n++ {
			m := &member{name: fmt.Sprintf("%s-%d", zone, n), zone: zone}
			host := ownHost(number, len(c.members))
			m.callers, m.operators, m.peers = host+":7100", host+":7200", host+":7300"
			m.settingsFile = filepath.Join(c.dir, m.name+".yaml")
			m.logFile = filepath.Join(c.dir, m.name+".log")
			if n == 1 {
				m.data = filepath.Join(c.dir, m.name+".data")
			}
			c.members = append(c.members, m)
		}
	}
	var voters []string
	for _, zone := range zones {
		voters = append(voters, zone+"-1")
	}
	for _, m := range c.members {
		c.writeSettings(m, voters)
	}
	t.Cleanup(c.stopAll)
	return c
}

// clusters counts the clusters of this process.
var clusters atomic.Int64

// ownHost returns a loopback address that no other cluster or process uses, so
// that fixed ports below the range of outgoing connections are free.
func ownHost(cluster int64, index int) string {
	return fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, 1+cluster%250, 1+index)
}

func (c *cluster) writeSettings(m *member, voters []string) {
	c.t.Helper()
	sum := sha256.Sum256([]byte(testOperatorKey))
	workers := sha256.Sum256([]byte(testWorkerKey))
	var b strings.Builder
	fmt.Fprintf(&b, "name: %s\ncluster: test\navailability_zone: %s\n", m.name, m.zone)
	fmt.Fprintf(&b, "listen: {callers: %q, operators: %q, peers: %q}\npeers:\n", m.callers, m.operators, m.peers)
	for _, p := range c.members {
		fmt.Fprintf(&b, "  - {name: %s, availability_zone: %s, address: %q}\n", p.name, p.zone, p.peers)
	}
	fmt.Fprintf(&b, "peer_secret: 0123456789abcdef0123456789abcdef\nfirst_voters: [%s]\n", strings.Join(voters, ", "))
	if m.data != "" {
		fmt.Fprintf(&b, "data_folder: %q\n", m.data)
	}
	fmt.Fprintf(&b, "worker_key_sha256: [%s]\n", hex.EncodeToString(workers[:]))
	fmt.Fprintf(&b, "operators: [{name: tests, key_sha256: %s}]\ntest_faults: true\nprofiling: true\nlog_level: debug\n", hex.EncodeToString(sum[:]))
	if err := os.WriteFile(m.settingsFile, []byte(b.String()), 0o600); err != nil {
		c.t.Fatal(err)
	}
}

// start starts a member's process, appending to its log.
func (c *cluster) start(m *member) {
	c.t.Helper()
	out, err := os.OpenFile(m.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		c.t.Fatal(err)
	}
	m.cmd = exec.Command(os.Args[0], "serve", "--settings", m.settingsFile)
	m.cmd.Env = append(os.Environ(), runAsProgram+"=1")
	m.cmd.Stdout, m.cmd.Stderr = out, out
	if err := m.cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	m.exited = make(chan error, 1)
	go func(cmd *exec.Cmd, exited chan error) {
		exited <- cmd.Wait()
		out.Close()
	}(m.cmd, m.exited)
}

// signal sends a signal to a member's process.
func (c *cluster) signal(m *member, s syscall.Signal) {
	c.t.Helper()
	if err := m.cmd.Process.Signal(s); err != nil {
		c.t.Fatalf("%s: %v", m.name, err)
	}
}

// kill ends a member at once and waits until it is gone.
func (c *cluster) kill(m *member) {
	c.t.Helper()
	c.signal(m, syscall.SIGKILL)
	<-m.exited
	m.cmd = nil
}

// stop ends a member gracefully and returns how it exited.
func (c *cluster) stop(m *member) error {
	c.t.Helper()
	c.signal(m, syscall.SIGTERM)
	err := <-m.exited
	m.cmd = nil
	return err
}

func (c *cluster) stopAll() {
	for _, e := range c.endpoints {
		e.Close()
	}
	for _, m := range c.members {
		if m.cmd == nil {
			continue
		}
		_ = m.cmd.Process.Signal(syscall.SIGCONT)
		if c.t.Failed() {
			_ = m.cmd.Process.Signal(syscall.SIGQUIT) // leaves the goroutines in the log
			time.Sleep(200 * time.Millisecond)
		}
		_ = m.cmd.Process.Kill()
		<-m.exited
	}
	if !c.t.Failed() {
		c.checkLogs()
	}
	if c.t.Failed() {
		c.keepLogs()
	}
}

// checkLogs fails the test when a daemon reported a breach, a race or a panic.
func (c *cluster) checkLogs() {
	for _, m := range c.members {
		b, err := os.ReadFile(m.logFile)
		if err != nil {
			c.t.Error(err)
			continue
		}
		for _, bad := range []string{"invariant breached", "DATA RACE", "panic:", "fatal error:"} {
			if i := bytes.Index(b, []byte(bad)); i >= 0 {
				c.t.Errorf("%s logged: %s", m.name, b[i:min(len(b), i+2000)])
			}
		}
	}
}

// keepLogs copies the logs of a failed run to a folder that outlives it.
func (c *cluster) keepLogs() {
	kept := filepath.Join(os.TempDir(), "magnoliastand-"+strings.ReplaceAll(c.t.Name(), "/", "-"))
	_ = os.MkdirAll(kept, 0o700)
	for _, m := range c.members {
		if b, err := os.ReadFile(m.logFile); err == nil {
			_ = os.WriteFile(filepath.Join(kept, filepath.Base(m.logFile)), b, 0o600)
		}
	}
	c.t.Logf("logs of the daemons: %s", kept)
}

func (c *cluster) member(name string) *member {
	c.t.Helper()
	for _, m := range c.members {
		if m.name == name {
			return m
		}
	}
	c.t.Fatalf("no member %s", name)
	return nil
}

// callers lists the caller addresses of the zones' daemons, all zones if none is named.
func (c *cluster) callers(zones ...string) []string {
	var list []string
	for _, m := range c.members {
		if len(zones) == 0 || strings.Contains(" "+strings.Join(zones, " ")+" ", " "+m.zone+" ") {
			list = append(list, m.callers)
		}
	}
	return list
}

// operator calls a member's operator interface and returns status and body.
func (c *cluster) operator(m *member, method, path, body string) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+m.operators+path, strings.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Authorization", "Bearer "+testOperatorKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, b, err
}

// mustOperator repeats a call until it succeeds; the call must be idempotent.
func (c *cluster) mustOperator(m *member, method, path, body string) []byte {
	c.t.Helper()
	var last string
	for deadline := time.Now().Add(convergence); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		status, b, err := c.operator(m, method, path, body)
		if err == nil && status < 300 {
			return b
		}
		last = fmt.Sprintf("%d %s %v", status, b, err)
	}
	c.t.Fatalf("%s %s on %s: %s", method, path, m.name, last)
	return nil
}

// cut cuts a member silently from daemons; none mends its links.
func (c *cluster) cut(m *member, daemons ...string) {
	c.t.Helper()
	b, err := json.Marshal(daemon.CutRequest{Daemons: daemons})
	if err != nil {
		c.t.Fatal(err)
	}
	c.mustOperator(m, http.MethodPost, "/v1/test/cut", string(b))
}

// cutZone cuts a zone from all others, in both directions; mend undoes it.
func (c *cluster) cutZone(zone string) (mend func()) {
	c.t.Helper()
	var inside, outside []string
	for _, m := range c.members {
		if m.zone == zone {
			inside = append(inside, m.name)
		} else {
			outside = append(outside, m.name)
		}
	}
	for _, m := range c.members {
		if m.cmd == nil {
			continue
		}
		if m.zone == zone {
			c.cut(m, outside...)
		} else {
			c.cut(m, inside...)
		}
	}
	return func() {
		for _, m := range c.members {
			if m.cmd != nil {
				c.cut(m)
			}
		}
	}
}

// status returns a member's status; false when it does not answer.
func (c *cluster) status(m *member) (daemon.Status, bool) {
	var s daemon.Status
	code, b, err := c.operator(m, http.MethodGet, "/v1/status", "")
	if err != nil || code != http.StatusOK {
		return s, false
	}
	return s, json.Unmarshal(b, &s) == nil
}

// eventually waits until the condition holds.
func (c *cluster) eventually(what string, condition func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(convergence); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return
		}
	}
	c.t.Fatalf("not reached within %s: %s", convergence, what)
}

// awaitReady waits until every running member has a fresh view of at least the
// version and an arbiter.
func (c *cluster) awaitReady(version uint64) {
	c.t.Helper()
	for _, m := range c.members {
		if m.cmd == nil {
			continue
		}
		var s daemon.Status
		defer func() {
			if c.t.Failed() {
				c.t.Logf("%s: %+v", m.name, s)
			}
		}()
		c.eventually(m.name+" ready", func() bool {
			var ok bool
			s, ok = c.status(m)
			return ok && s.Fresh && s.Document >= version && s.Arbiter != ""
		})
	}
}

// document returns the test document for the cluster's zones.
func (c *cluster) document(limit int) string {
	var zones strings.Builder
	seen := ""
	for _, m := range c.members {
		if m.zone != seen {
			fmt.Fprintf(&zones, "  - {name: %s}\n", m.zone)
			seen = m.zone
		}
	}
	return fmt.Sprintf(`
name: test
availability_zones:
%spools: [{name: spare, spare: true}, {name: work}]
services:
  - name: booking
    pool: work
    slots_per_endpoint: 8
    connections_per_endpoint: 64
    longest_run: 5s
    queues:
      - {name: quote, open: true, idempotent: true}
      - {name: walk-in, open: true}
      - {name: reserve}
      - {name: reconcile, class: long, idempotent: true, max_wait: 30s}
teams:
  - {name: schools, share: 3, limit: %d}
  - {name: homes, share: 1, limit: %d}
objective: {buffer_cost: 1, roll_out_time: 1, moves: 1, share_error: 1}
`, zones.String(), limit, limit)
}

// setUp applies the document and returns a key of team schools.
func (c *cluster) setUp(limit int) (key string) {
	c.t.Helper()
	m := c.members[0]
	c.mustOperator(m, http.MethodPost, "/v1/document?base=0&operation=set-up&wait=10s", c.document(limit))
	key = c.grant(m, "schools", "set-up-key")
	c.awaitReady(1)
	return key
}

// grant grants a key; a repeated operation id grants none.
func (c *cluster) grant(m *member, team, operation string) string {
	c.t.Helper()
	b := c.mustOperator(m, http.MethodPost, "/v1/teams/"+team+"/keys?operation="+operation, `{}`)
	var reply struct {
		Key string `json:"key"`
	}
	if err := json.Unmarshal(b, &reply); err != nil || reply.Key == "" {
		c.t.Fatalf("key grant answered %s: %v", b, err)
	}
	return reply.Key
}

// startEndpoints starts stand-in endpoints in each zone.
func (c *cluster) startEndpoints(perZone int, run standin.Delay) {
	c.t.Helper()
	seen := map[string]bool{}
	for _, m := range c.members {
		if seen[m.zone] {
			continue
		}
		seen[m.zone] = true
		for n := range perZone {
			c.startEndpoint(fmt.Sprintf("%s-e%d", m.zone, n+1), m.zone, run)
		}
	}
}

func (c *cluster) startEndpoint(id, zone string, run standin.Delay) *standin.Endpoint {
	c.t.Helper()
	e, err := standin.StartEndpoint(context.Background(), standin.EndpointConfig{
		ID:       id,
		Service:  "booking",
		Instance: id,
		Daemons:  c.callers(zone),
		RunTime:  run,
		Seed:     uint64(len(c.endpoints) + 1),
		Meter:    c.meter,
	})
	if err != nil {
		c.t.Fatal(err)
	}
	c.endpoints = append(c.endpoints, e)
	return e
}

// check compares what callers were told with what the endpoints ran.
func (c *cluster) check(reports ...*standin.Report) standin.Summary {
	c.t.Helper()
	ledger := standin.NewLedger()
	var all []standin.Outcome
	for _, r := range reports {
		all = append(all, r.Outcomes...)
	}
	ledger.AddOutcomes(all)
	for i, e := range c.endpoints {
		ledger.AddRuns(e.Runs())
		ledger.AddStats(fmt.Sprintf("endpoint %d", i+1), e.Stats())
	}
	for _, o := range all {
		if o.Latency > slowOutcome {
			c.t.Logf("slow: %+v", o)
		}
	}
	for _, v := range ledger.Check() {
		c.t.Errorf("violation: %s", v)
	}
	s := standin.Summarize(all)
	c.t.Logf("outcomes: %+v", s)
	return s
}

func uintText(n uint64) string { return strconv.FormatUint(n, 10) }

// documentVersion returns the version of the document in force.
func (c *cluster) documentVersion() uint64 {
	c.t.Helper()
	var reply struct {
		Version uint64 `json:"document_version"`
	}
	b := c.mustOperator(c.members[0], http.MethodGet, "/v1/document", "")
	if err := json.Unmarshal(b, &reply); err != nil {
		c.t.Fatal(err)
	}
	return reply.Version
}

// profile writes a CPU profile of a member, taken over the span, to a file.
func (c *cluster) profile(m *member, span time.Duration, file string) {
	ctx, cancel := context.WithTimeout(context.Background(), span+10*time.Second)
	defer cancel()
	url := fmt.Sprintf("http://%s/debug/pprof/profile?seconds=%d", m.operators, int(span.Seconds()))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testOperatorKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		c.t.Error(err)
		return
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil || os.WriteFile(file, b, 0o600) != nil {
		c.t.Errorf("profile of %s not written: %v", m.name, err)
	}
}

// awaitControlledArbiters waits until each zone's arbiter is the one that the
// control log assigned, on every daemon of the zone.
func (c *cluster) awaitControlledArbiters() {
	c.t.Helper()
	for _, m := range c.members {
		c.eventually(m.name+" follows an arbiter of the control log", func() bool {
			s, ok := c.status(m)
			return ok && s.Fresh && s.ArbiterTerm > 0 && s.ArbiterTerm%(1<<16) == 0
		})
	}
}
