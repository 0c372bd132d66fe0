package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of a small deployment, as its sheet and DEPLOY.md give them.
const (
	announceMS = 1500
	maxHoldMS  = 10000
	cancelMS   = 3000
	coreMB     = 280
	edgeMB     = 284
)

// daemon is one process of the project on a loopback address of its own.
type daemon struct {
	name, role, ip, zone string
	settings, data       string
	cmd                  *exec.Cmd
	done                 chan struct{}
	starts               int
}

// cluster is a small deployment: three cores and some edges in three zones.
type cluster struct {
	rec          *record
	dir          string
	net          string // first three numbers of the loopback addresses
	port         int    // of the peer links; the others follow it
	machines     string // address of the stand-in of the machine service
	cores, edges []*daemon
	client       *http.Client
}

// record writes record.txt.
type record struct {
	mu    sync.Mutex
	f     *os.File
	begun time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		cannotRun("record: %v", err)
	}
	return &record{f: f, begun: time.Now()}
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(r.begun).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.f, line)
	if os.Getenv("QUIET") == "" {
		fmt.Println(line)
	}
}

// cannotRun ends the program with the status of a case that could not run.
func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", args...)
	stopAll()
	os.Exit(2)
}

var (
	allMu sync.Mutex
	all   []*daemon
)

// stopAll kills the processes that this program has started, each by its id.
func stopAll() {
	allMu.Lock()
	defer allMu.Unlock()
	for _, d := range all {
		if d.cmd != nil && d.cmd.Process != nil {
			_ = d.cmd.Process.Signal(syscall.SIGCONT)
			_ = d.cmd.Process.Kill()
			<-d.done
		}
	}
}

// freeNet finds a loopback network and a port on which all addresses are free.
func freeNet(hosts int) (string, int) {
	for try := range 200 {
		n := (os.Getpid()*31 + try*7 + int(time.Now().UnixNano()/1000)) % 50000
		prefix := fmt.Sprintf("127.%d.%d.", 20+n%200, 1+n/200%250)
		port := 20000 + n%9000
		if allFree(prefix, port, hosts) {
			return prefix, port
		}
	}
	cannotRun("no free loopback addresses")
	return "", 0
}

func allFree(prefix string, port, hosts int) bool {
	for h := 1; h <= hosts; h++ {
		for p := port; p < port+5; p++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", prefix, h, p))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// Ports, counted from that of the peer links.
const (
	portPeer = iota
	portFront
	portReady
	portControl
	portMetrics
)

func (c *cluster) addr(ip string, port int) string {
	return net.JoinHostPort(ip, strconv.Itoa(c.port+port))
}

func newCluster(rec *record, machines string, edges int) *cluster {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		cannotRun("folder: %v", err)
	}
	c := &cluster{rec: rec, dir: dir, machines: machines, client: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	c.net, c.port = freeNet(3 + edges)
	for i := range 3 + edges {
		d := &daemon{role: "core", ip: fmt.Sprintf("%s%d", c.net, i+1), zone: "zone-" + string(rune('a'+i%3))}
		if i >= 3 {
			d.role = "edge"
			c.edges = append(c.edges, d)
		} else {
			c.cores = append(c.cores, d)
			d.data = filepath.Join(dir, fmt.Sprintf("data-%d", i+1))
			if err := os.MkdirAll(d.data, 0o755); err != nil {
				cannotRun("folder: %v", err)
			}
		}
		d.name = fmt.Sprintf("%s-%s-%d", d.role, d.zone, i/3+1)
		d.settings = filepath.Join(dir, d.name+".yaml")
	}
	return c
}

// writeSettings fills deploy/settings.yaml.tmpl in for a daemon, as the platform does.
func (c *cluster) writeSettings(d *daemon, bootstrap bool) {
	template, err := os.ReadFile("deploy/settings.yaml.tmpl")
	if err != nil {
		cannotRun("template: %v", err)
	}
	values := map[string]string{
		"node": d.name, "ip": d.ip, "zone": d.zone, "bootstrap|json": strconv.FormatBool(bootstrap), "data_dir": d.data,
		"internal_ports.0": strconv.Itoa(c.port + portPeer), "fault_tolerance.machines": "1", "heartbeat_ms": strconv.Itoa(announceMS),
		"bounds.catch_up_s": "4", "bounds.grace_s": "6", "bounds.max_hold_ms": strconv.Itoa(maxHoldMS), "bounds.status_s": "120",
		"bounds.migrate_s": "1.5", "bounds.maintenance_s": "2", "bounds.pace_ms": "100", "bounds.remote_factor": "1.5",
		"advice": "", "cloud.address": c.machines, "cloud.duty_per_s": "64", "limits.memory_mb": strconv.Itoa(coreMB),
	}
	if d.role == "edge" {
		values["limits.memory_mb"] = strconv.Itoa(edgeMB)
		values["listen.front"], values["listen.ready"] = c.addr(d.ip, portFront), c.addr(d.ip, portReady)
	} else {
		values["listen.control"] = c.addr(d.ip, portControl)
	}
	text := string(template)
	from, to := strings.Index(text, "{{#seeds}}"), strings.Index(text, "{{/seeds}}")
	if from < 0 || to < from {
		cannotRun("template without seeds")
	}
	row, seeds := text[from+len("{{#seeds}}"):to], ""
	for _, o := range c.cores {
		seeds += strings.ReplaceAll(row, "{{.}}", c.addr(o.ip, portControl))
	}
	text = text[:from] + seeds + text[to+len("{{/seeds}}"):]
	text = strings.ReplaceAll(text, "metrics_port: 7010", "metrics_port: "+strconv.Itoa(c.port+portMetrics))
	for {
		from := strings.Index(text, "{{")
		if from < 0 {
			break
		}
		to := from + strings.Index(text[from:], "}}")
		text = text[:from] + values[text[from+2:to]] + text[to+2:]
	}
	if err := os.WriteFile(d.settings, []byte(text), 0o644); err != nil {
		cannotRun("settings: %v", err)
	}
}

// start starts a daemon with the command of deploy/system.toml.
func (c *cluster) start(d *daemon) {
	out, err := os.OpenFile(filepath.Join(c.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		cannotRun("log: %v", err)
	}
	c.writeSettings(d, d.starts == 0)
	cmd := exec.Command("target/magnoliastand", d.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MAGNOLIASTAND_CONFIG=" + d.settings,
		`MAGNOLIASTAND_ZONES={"zone-a":"r","zone-b":"r","zone-c":"r"}`}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		cannotRun("start: %v", err)
	}
	done := make(chan struct{})
	allMu.Lock()
	if d.starts == 0 {
		all = append(all, d)
	}
	d.cmd, d.done = cmd, done
	d.starts++
	allMu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(done)
	}()
}

func (c *cluster) startAll() {
	for _, d := range append(append([]*daemon{}, c.cores...), c.edges...) {
		c.start(d)
	}
}

// running reports whether the present process of a daemon runs.
func (d *daemon) running() bool {
	select {
	case <-d.done:
		return false
	default:
		return true
	}
}

func (d *daemon) signal(s syscall.Signal) { _ = d.cmd.Process.Signal(s) }

// memoryMB returns the resident memory of a daemon.
func (d *daemon) memoryMB() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb / 1024
		}
	}
	return 0
}

// reply is a response as its receiver sees it; status 0 means that none came.
type reply struct {
	status int
	body   string
	err    error
	took   time.Duration
}

func (r reply) String() string {
	if r.err != nil {
		return fmt.Sprintf("no response (%v) after %v", r.err, r.took.Round(time.Millisecond))
	}
	return fmt.Sprintf("%d %.120s after %v", r.status, strings.TrimSpace(r.body), r.took.Round(time.Millisecond))
}

// do sends one request.
func do(client *http.Client, method, url, host, key, body string, header ...string) reply {
	var in io.Reader
	if body != "" {
		in = strings.NewReader(body)
	}
	req, err := http.NewRequest(method, url, in)
	if err != nil {
		return reply{err: err}
	}
	req.Host = host
	if body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	begun := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return reply{err: err, took: time.Since(begun)}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{err: err, took: time.Since(begun)}
	}
	return reply{status: resp.StatusCode, body: string(b), took: time.Since(begun)}
}

// call is a client's call at an edge.
func (c *cluster) call(edge *daemon, method, path, key, body string) reply {
	return do(c.client, method, "http://"+c.addr(edge.ip, portFront)+path, "shop.example", key, body, "Magnoliastand-Deadline-Ms", "3000")
}

// object is a JSON object.
type object = map[string]any

func toJSON(v any) string {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(v); err != nil {
		cannotRun("encode: %v", err)
	}
	return strings.TrimSpace(b.String())
}

func route(name, prefix, service string, public bool, priority, attempts int) object {
	return object{"name": name, "host": "shop.example", "path_prefix": prefix, "kind": "unsafe", "timeout_ms": 3000,
		"target_latency_ms": 600, "priority": priority, "service": service, "max_attempts": attempts, "stretch": 1.6, "public": public}
}

func service(name string, standby bool) object {
	return object{"name": name, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "rejects_overload": false, "standby": standby}
}

func document(version int, routes, services, tenants []object) string {
	return toJSON(object{"version": version, "routes": routes, "services": services, "tenants": tenants,
		"limits": object{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
}

// operate sends an order of the operator until a daemon acknowledges it, as PROTOCOL.md says.
func (c *cluster) operate(method, path, body string, within time.Duration) reply {
	client := &http.Client{Timeout: time.Second}
	until := time.Now().Add(within)
	var r reply
	for n := 0; time.Now().Before(until); n++ {
		r = do(client, method, "http://"+c.addr(c.cores[n%3].ip, portControl)+path, "", "", body)
		if r.err == nil && r.status < 500 && r.status != 408 && r.status != 429 {
			return r
		}
		time.Sleep(100 * time.Millisecond)
	}
	return r
}

// awaitReady waits until all edges are ready.
func (c *cluster) awaitReady(within time.Duration) {
	until := time.Now().Add(within)
	for _, e := range c.edges {
		for {
			r := do(c.client, "GET", "http://"+c.addr(e.ip, portReady)+"/ready", "", "", "")
			if r.status == 200 {
				break
			}
			if time.Now().After(until) {
				cannotRun("edge %s not ready: %v", e.name, r)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// close ends all processes and removes the folder.
func (c *cluster) close() {
	stopAll()
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs in", c.dir)
		return
	}
	_ = os.RemoveAll(c.dir)
}
