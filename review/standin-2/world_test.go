// Package standin plays the cases of the second review: it starts the project's own
// programs as processes on loopback addresses, with stand-ins for executors, the machine
// service, the operator and clients, and judges what these have seen.
package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the daemons; each daemon has an address of its own.
const (
	frontPort, readyPort, controlPort, peerPort = 8340, 8343, 8345, 7000
)

// The limits that the pages set for the deployment tiered-perth.
const (
	heartbeat  = 1500 * time.Millisecond
	maxHold    = 10 * time.Second
	contact    = 3 * time.Second
	finish     = 14 * time.Second
	upkeepTime = 2 * time.Second
	drainTime  = 4 * time.Second
	stopTime   = 50 * time.Millisecond
	clientWait = 3 * time.Second
)

// maxAttempts is max_attempts of the queue.
const maxAttempts = 3

// errCannotRun means that a case could not be played.
var errCannotRun = errors.New("the case could not run")

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// daemon is one process of the system.
type daemon struct {
	name, role, ip, zone string
	bootstrap            bool
	cmd                  *exec.Cmd
	exited               chan struct{}
}

// world is a deployment with its stand-ins.
type world struct {
	rec      *record
	dir      string
	net      string
	trouble  bool
	cores    []*daemon
	edges    []*daemon
	machines *machines
	advice   *advice
	stop     chan struct{}
	once     sync.Once
	wg       sync.WaitGroup

	mu    sync.Mutex
	execs []*executor
	next  int
	// key is the key of the clients.
	key string
}

var zones = []string{"osborne", "welshpool", "joondalup"}

func newWorld(rec *record, dir string, cores, edges int) (*world, error) {
	w := &world{rec: rec, dir: dir, stop: make(chan struct{}), trouble: os.Getenv("TROUBLE") != "0"}
	for range 50 {
		w.net = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(256))
		l, err := net.Listen("tcp", w.net+".1:"+fmt.Sprint(controlPort))
		if err == nil {
			l.Close()
			break
		}
	}
	w.machines = &machines{w: w, listen: w.net + ".250:8344"}
	if err := w.machines.serve(); err != nil {
		return nil, err
	}
	for n := range cores {
		w.cores = append(w.cores, &daemon{name: fmt.Sprintf("core-%d", n+1), role: "core", ip: fmt.Sprintf("%s.%d", w.net, n+1), zone: zones[n%len(zones)], bootstrap: true})
	}
	for n := range edges {
		w.edges = append(w.edges, &daemon{name: fmt.Sprintf("edge-%d", n+1), role: "edge", ip: fmt.Sprintf("%s.%d", w.net, 100+n), zone: zones[n%len(zones)], bootstrap: true})
	}
	return w, nil
}

func (w *world) daemons() []*daemon { return append(append([]*daemon{}, w.cores...), w.edges...) }

// settings fills the template of the deploy file.
func (w *world) settings(d *daemon) (string, error) {
	raw, err := os.ReadFile("deploy/settings.yaml.tmpl")
	if err != nil {
		return "", err
	}
	text := string(raw)
	from, to := strings.Index(text, "{{#seeds}}"), strings.Index(text, "{{/seeds}}")
	line := text[from+len("{{#seeds}}") : to]
	seeds := ""
	for _, c := range w.cores[:min(3, len(w.cores))] {
		seeds += strings.ReplaceAll(line, "{{.}}", fmt.Sprintf("%s:%d", c.ip, controlPort))
	}
	text = text[:from] + seeds + text[to+len("{{/seeds}}"):]
	front, ready, control, data := "", "", "", ""
	if d.role == "edge" {
		front, ready = fmt.Sprintf("%s:%d", d.ip, frontPort), fmt.Sprintf("%s:%d", d.ip, readyPort)
	} else {
		control, data = fmt.Sprintf("%s:%d", d.ip, controlPort), filepath.Join(w.dir, d.name)
	}
	for name, value := range map[string]string{
		"node": d.name, "ip": d.ip, "zone": d.zone, "listen.front": front, "listen.ready": ready, "listen.control": control,
		"internal_ports.0": fmt.Sprint(peerPort), "bootstrap|json": fmt.Sprint(d.bootstrap), "data_dir": data,
		"fault_tolerance.machines": "1", "limits.memory_mb": "280", "heartbeat_ms": fmt.Sprint(heartbeat.Milliseconds()),
		"bounds.catch_up_s": "4", "bounds.grace_s": "6", "bounds.max_hold_ms": fmt.Sprint(maxHold.Milliseconds()), "bounds.status_s": "120",
		"bounds.migrate_s": "1.5", "bounds.maintenance_s": "2", "bounds.pace_ms": "100", "advice": w.advice.address(),
		"cloud.address": w.machines.listen, "cloud.duty_per_s": "64.0", "bounds.remote_factor": "1.5",
	} {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	if at := strings.Index(text, "{{"); at >= 0 {
		return "", fmt.Errorf("%w: the template has an unknown entry: %.60s", errCannotRun, text[at:])
	}
	return text, nil
}

// begin starts a process with the command of the deploy file.
func (w *world) begin(d *daemon) error {
	text, err := w.settings(d)
	if err != nil {
		return err
	}
	file := filepath.Join(w.dir, d.name+".yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(w.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	d.cmd = exec.Command("target/magnoliastand", d.role)
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MAGNOLIASTAND_CONFIG=" + file}
	d.cmd.Stdout, d.cmd.Stderr = log, log
	if err := d.cmd.Start(); err != nil {
		return err
	}
	w.rec.add("process %s started, pid %d, at %s", d.name, d.cmd.Process.Pid, d.ip)
	d.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(d.cmd, d.exited)
	d.bootstrap = false // the whole system starts only once
	return nil
}

func (d *daemon) signal(s syscall.Signal) {
	if d.cmd != nil {
		_ = d.cmd.Process.Signal(s)
	}
}

// beginAll starts all processes.
func (w *world) beginAll() error {
	for _, d := range w.daemons() {
		if err := w.begin(d); err != nil {
			return err
		}
	}
	return nil
}

// end stops everything that was started.
func (w *world) end() { w.once.Do(w.endAll) }

func (w *world) endAll() {
	close(w.stop)
	for _, d := range w.daemons() {
		if d.cmd == nil {
			continue
		}
		d.signal(syscall.SIGCONT)
		d.signal(syscall.SIGKILL)
		<-d.exited
	}
	w.machines.server.Close()
	if w.advice != nil {
		w.advice.server.Close()
	}
	w.mu.Lock()
	execs := w.execs
	w.mu.Unlock()
	for _, e := range execs {
		e.crash()
	}
	w.wg.Wait()
}

// pause waits and reports whether the world goes on.
func (w *world) pause(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-w.stop:
		return false
	}
}

func (w *world) control(n int) string {
	return fmt.Sprintf("%s:%d", w.cores[n%len(w.cores)].ip, controlPort)
}

// httpClient follows no redirect by itself and reuses no connection for long.
var httpClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 5 * time.Second}}

// call makes one HTTP call; status 0 means no response.
func call(method, url, host, key string, in any, timeout time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var body io.Reader = http.NoBody
	if in != nil {
		raw, isRaw := in.([]byte)
		if !isRaw {
			raw, _ = json.Marshal(in)
		}
		body = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return 0, nil
	}
	req.Header.Set("Content-Type", "application/json")
	if host != "" {
		req.Host = host
		req.Header.Set("Magnoliastand-Deadline-Ms", fmt.Sprint(clientWait.Milliseconds()))
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	out, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, out
}

// operate sends an order of the operator until it is answered clearly.
func (w *world) operate(method, path string, in any) (int, []byte, error) {
	for n := 0; n < 60; n++ {
		status, body := call(method, "http://"+w.control(n)+path, "", "", in, time.Second)
		w.rec.add("operator: %s %s at %s -> %d %.100s", method, path, w.cores[n%len(w.cores)].name, status, bytes.TrimSpace(body))
		if status == 200 || status == 400 || status == 404 || status == 409 {
			return status, body, nil
		}
		if !w.pause(250 * time.Millisecond) {
			break
		}
	}
	return 0, nil, fmt.Errorf("%w: no clear answer to %s", errCannotRun, path)
}

// tenant is a tenant of the configuration.
type tenant struct {
	name, key string
	cpu       int
}

// putConfig sends a configuration with one queue for one service. The queue is public if there
// is no tenant.
func (w *world) putConfig(version int, adviceValid time.Duration, tenants ...tenant) error {
	route := map[string]any{
		"name": "r-svc", "host": "svc.example", "path_prefix": "/svc/", "kind": "unsafe", "timeout_ms": 3000,
		"target_latency_ms": 600, "priority": 0, "service": "svc", "max_attempts": maxAttempts, "stretch": 1.6, "public": len(tenants) == 0,
	}
	if adviceValid > 0 {
		route["advice"] = map[string]int64{"decide_ms": decideTime.Milliseconds(), "period_ms": periodTime.Milliseconds(), "valid_ms": adviceValid.Milliseconds()}
	}
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "rejects_overload": false, "standby": false}
	}
	services := []any{service("svc")}
	if adviceValid > 0 {
		services = append(services, service("svc2"))
	}
	list := []map[string]any{}
	for _, t := range tenants {
		list = append(list, map[string]any{
			"name": t.name, "api_keys": []string{t.key}, "priority": 1, "weight": 10,
			"max_count": map[string]int{"cpu": t.cpu, "mem_mb": 0, "gpu": 0},
		})
	}
	status, _, err := w.operate("POST", "/config/put", map[string]any{
		"version": version, "routes": []any{route},
		"services": services,
		"limits":   map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  list,
	})
	if err == nil && status != 200 {
		err = fmt.Errorf("%w: configuration answered with %d", errCannotRun, status)
	}
	return err
}

func (w *world) front(n int) string {
	return fmt.Sprintf("http://%s:%d", w.edges[n%len(w.edges)].ip, frontPort)
}

// submit hands in a job until it is accepted.
func (w *world) submit(id string, job any) error {
	for n := 0; n < 20; n++ {
		status, body := call("POST", w.front(n)+"/svc/"+id, "svc.example", w.key, job, clientWait)
		if status != 200 || n > 0 {
			w.rec.add("client: POST job %s -> %d %.100s", id, status, bytes.TrimSpace(body))
		}
		if status >= 200 && status < 300 {
			return nil
		}
		if status == 400 || status == 401 || status == 404 {
			break
		}
		if !w.pause(300 * time.Millisecond) {
			break
		}
	}
	return fmt.Errorf("%w: job %s was not accepted", errCannotRun, id)
}

// state asks for the state of a job; "" if there is no answer with one.
func (w *world) state(id string) string {
	status, body := call("GET", w.front(0)+"/svc/"+id, "svc.example", w.key, nil, clientWait)
	var reply struct {
		State string `json:"state"`
	}
	if status != 200 || json.Unmarshal(body, &reply) != nil {
		w.rec.add("client: GET job %s -> %d %.100s", id, status, bytes.TrimSpace(body))
		return ""
	}
	return reply.State
}

// await polls until the condition holds.
func (w *world) await(limit time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); {
		if condition() {
			return true
		}
		if !w.pause(200 * time.Millisecond) {
			return false
		}
	}
	return false
}
