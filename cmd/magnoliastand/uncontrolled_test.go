package main

import (
	"crypto/sha256"
	"crypto/tls"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"magnoliastand.example/standin"
)

// The tests of this file guard against uncontrolled clients that make a process exceed its
// memory or its descriptors, terminate, or stop answering ordinary requests.

// flood is one load of uncontrolled clients and the bounds that hold under it.
type flood struct {
	// clients is the number of connections, each made once.
	clients int
	// send runs on each connection; the connection stays open after it until the test ends.
	send func(c net.Conn, target string)
	// target is the request line's method and path.
	target string
	// descriptors is the limit of the process, maxDescriptors what it may have open: the rest
	// is reserved for files.
	descriptors, maxDescriptors int
	// memoryMB is the setting of the process, and the bound of its peak resident size.
	memoryMB int
}

const (
	// floodPorts are those of core and edge; each daemon has an address of its own.
	floodPeerPort, floodControlPort, floodCallerPort, floodReadyPort, floodMetricsPort = 7600, 7601, 7602, 7603, 7604
	// Descriptors of a process: manyDescriptors where memory is at stake, fewDescriptors where
	// connections are.
	manyDescriptors, fewDescriptors = 1024, 256
	reservedDescriptors             = 32
	// floodGraceS is the time, in seconds, after which a process that is to end is killed.
	floodGraceS             = 4
	edgeMB, coreMB, serveMB = 64, 96, 96
	// jobBytes is the largest body that the callers' listener of an edge accepts.
	jobBytes = 256 << 10
	// announcementBytes is half of the largest announcement.
	announcementBytes = 2 << 20
	// requestBytes is just below the largest body of a queue that sets none.
	requestBytes = 1_000_000
)

// programOnce builds the program without the race detector, whose own memory hides the fault.
var programOnce = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "magnoliastand-flood")
	if err != nil {
		return "", err
	}
	removeProgram = func() { _ = os.RemoveAll(dir) }
	file := filepath.Join(dir, "magnoliastand")
	out, err := exec.Command("go", "build", "-o", file, ".").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return file, nil
})

// removeProgram removes what programOnce has built, at the end of the run.
var removeProgram = func() {}

// process is a daemon under test.
type process struct {
	t           *testing.T
	name        string
	settings    string
	descriptors int
	cmd         *exec.Cmd
	log         string
	exited      chan struct{}
	// ip is the address of the process's listeners.
	ip string
	// maxOpen is the largest number of open descriptors seen.
	maxOpen int
	// maxQueued are the most bytes seen that the kernel held for its connections, not read yet
	// or not sent yet, and maxHeld the most of these and the resident size together.
	maxQueued, maxHeld int
}

// startProcess starts the program with a limit on its descriptors.
func startProcess(t *testing.T, role, settings string, descriptors int) *process {
	t.Helper()
	program, err := programOnce()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	file := filepath.Join(dir, role+".yaml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	p := &process{t: t, name: role, settings: settings, descriptors: descriptors, log: filepath.Join(dir, role+".log"), exited: make(chan struct{})}
	log, err := os.Create(p.log)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	p.cmd = exec.Command("sh", "-c", `ulimit -n "$0" && exec "$@"`, strconv.Itoa(descriptors), program, role, "--settings", file)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.exited
		if b, err := os.ReadFile(p.log); err == nil && t.Failed() {
			t.Logf("end of the log of %s:\n%s", role, b[max(0, len(b)-2000):])
		}
	})
	return p
}

// restart starts the program again after it has ended.
func (p *process) restart() *process {
	p.t.Helper()
	next := startProcess(p.t, p.name, p.settings, p.descriptors)
	next.ip = p.ip
	return next
}

// alive reports whether the process still runs.
func (p *process) alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// sample counts the open descriptors and the bytes in the kernel.
func (p *process) sample() {
	queued := queuedBytes(p.t, p.ip)
	p.maxQueued = max(p.maxQueued, queued)
	p.maxHeld = max(p.maxHeld, queued+p.statusKB("VmRSS")<<10)
	if open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)); err == nil {
		p.maxOpen = max(p.maxOpen, len(open))
	}
}

// queuedBytes returns the bytes that the kernel holds in both directions of the connections of an
// address.
func queuedBytes(t *testing.T, ip string) int {
	t.Helper()
	b, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		t.Fatal(err)
	}
	const localField, queuesField, fields = 1, 4, 10
	address := net.ParseIP(ip).To4()
	prefix := fmt.Sprintf("%02X%02X%02X%02X:", address[3], address[2], address[1], address[0])
	sum := 0
	for line := range strings.Lines(string(b)) {
		field := strings.Fields(line)
		var unsent, unread int
		if len(field) < fields || !strings.HasPrefix(field[localField], prefix) {
			continue
		}
		if n, _ := fmt.Sscanf(field[queuesField], "%X:%X", &unsent, &unread); n == 2 {
			sum += unsent + unread
		}
	}
	return sum
}

// statusKB returns a field of the process's status, or 0 if the process is gone.
func (p *process) statusKB(field string) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		var kb int
		if n, _ := fmt.Sscanf(line, field+": %d kB", &kb); n == 1 {
			return kb
		}
	}
	return 0
}

// run sends the load to an address and checks the bounds. ordinary tells whether an ordinary
// request was answered; it is tried again until a bound on the test itself.
func (f *flood) run(p *process, address string, ordinary func() bool) {
	t := p.t
	t.Helper()
	await(t, p, "an answer before the load", ordinary)
	var sending, holding sync.WaitGroup
	end := make(chan struct{})
	defer func() {
		close(end)
		holding.Wait()
	}()
	for range f.clients {
		sending.Add(1)
		holding.Go(func() {
			c, err := (&net.Dialer{Timeout: convergence}).Dial("tcp", address)
			if err != nil {
				sending.Done()
				return
			}
			defer c.Close()
			go func() {
				<-end
				_ = c.Close()
			}()
			_ = c.SetWriteDeadline(time.Now().Add(convergence))
			f.send(c, f.target)
			sending.Done()
			<-end
		})
	}
	sent := make(chan struct{})
	go func() {
		sending.Wait()
		close(sent)
	}()
	for waiting := true; waiting; {
		select {
		case <-sent:
			waiting = false
		case <-time.After(20 * time.Millisecond):
		}
		p.sample()
	}
	// The connections are still open, and what they have sent may still be unread.
	for range 100 {
		time.Sleep(20 * time.Millisecond)
		p.sample()
	}
	await(t, p, "an answer after the load", ordinary)
	p.sample()
	p.checkMemory(f.memoryMB)
	t.Logf("%s: %d descriptors of %d", p.name, p.maxOpen, f.maxDescriptors)
	if p.maxOpen > f.maxDescriptors {
		t.Errorf("%s: %d open descriptors, at most %d are allowed", p.name, p.maxOpen, f.maxDescriptors)
	}
}

// checkMemory checks what the process has held, and with it the kernel for its connections.
func (p *process) checkMemory(limitMB int) {
	p.t.Helper()
	peak, held, queued := p.statusKB("VmHWM")>>10, p.maxHeld>>20, p.maxQueued>>20
	p.t.Logf("%s: peak resident size %d MB, %d MB with what the kernel held, of %d; %d MB in the kernel", p.name, peak, held, limitMB, queued)
	if peak == 0 {
		p.t.Errorf("%s: no peak resident size", p.name)
	}
	if peak > limitMB || held > limitMB {
		p.t.Errorf("%s: peak resident size %d MB, %d MB with what the kernel held, at most %d MB are allowed", p.name, peak, held, limitMB)
	}
}

func await(t *testing.T, p *process, what string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(convergence); !done(); time.Sleep(50 * time.Millisecond) {
		if !p.alive() {
			t.Fatalf("%s: %s has terminated", what, p.name)
		}
		if time.Now().After(deadline) {
			t.Errorf("%s: none from %s", what, p.name)
			return
		}
	}
}

// answered sends one request on a connection of its own.
func answered(method, url, body string) bool {
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return false
	}
	req.Host = "h"
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Loads.

func begin(c net.Conn, target, fields string) bool {
	_, err := fmt.Fprintf(c, "%s HTTP/1.1\r\nHost: h\r\n%s", target, fields)
	return err == nil
}

// headerOverLimit sends a single field of 900 KB, below the default limit of net/http.
func headerOverLimit(c net.Conn, target string) {
	begin(c, target, "X-Long: "+strings.Repeat("x", 900_000))
}

// headerWithoutEnd sends 900 KB of short fields, then one more now and then.
func headerWithoutEnd(c net.Conn, target string) {
	if !begin(c, target, "") {
		return
	}
	var b strings.Builder
	for n := 0; b.Len() < 900_000; n++ {
		fmt.Fprintf(&b, "X-%d: y\r\n", n)
	}
	if _, err := c.Write([]byte(b.String())); err != nil {
		return
	}
	for n := range 10 {
		time.Sleep(100 * time.Millisecond)
		if _, err := fmt.Fprintf(c, "Y-%d: y\r\n", n); err != nil {
			return
		}
	}
}

// emptyLines sends a megabyte of empty lines instead of a request.
func emptyLines(c net.Conn, _ string) {
	lines := []byte(strings.Repeat("\r\n", 8<<10))
	for range 64 {
		if _, err := c.Write(lines); err != nil {
			return
		}
	}
}

// jsonBody returns a body of legal size whose list, decoded, takes many times its size.
func jsonBody(size int, member, element string) string {
	head := `{"spec":"x",` + member + `:[` + element
	n := (size - len(head) - len("]}")) / (len(element) + 1)
	return head + strings.Repeat(","+element, n) + "]}"
}

// wholeBody sends a complete request.
func wholeBody(body string) func(c net.Conn, target string) {
	return func(c net.Conn, target string) {
		if begin(c, target, fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))) {
			_, _ = c.Write([]byte(body))
		}
	}
}

// bodyInPieces sends all of a body but its last byte.
func bodyInPieces(body string) func(c net.Conn, target string) {
	return func(c net.Conn, target string) {
		if !begin(c, target, fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))) {
			return
		}
		const piece = 8 << 10
		for rest := body[:len(body)-1]; rest != ""; rest = rest[min(piece, len(rest)):] {
			if _, err := c.Write([]byte(rest[:min(piece, len(rest))])); err != nil {
				return
			}
		}
	}
}

// chunkedBody sends a body in chunks without the last one.
func chunkedBody(body string, chunk int) func(c net.Conn, target string) {
	var b strings.Builder
	for rest := body; rest != ""; rest = rest[min(chunk, len(rest)):] {
		part := rest[:min(chunk, len(rest))]
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(part), part)
	}
	wire := []byte(b.String())
	return func(c net.Conn, target string) {
		if begin(c, target, "Transfer-Encoding: chunked\r\n\r\n") {
			_, _ = c.Write(wire)
		}
	}
}

const largeChunk, smallChunk = 32 << 10, 4

// silent sends nothing.
func silent(net.Conn, string) {}

// slowReader sends requests until the connection takes no more, and reads no response.
func slowReader(c net.Conn, target string) {
	_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
	request := []byte(strings.Repeat(target+" HTTP/1.1\r\nHost: h\r\n\r\n", 64))
	_ = c.SetWriteDeadline(time.Now().Add(5 * time.Second))
	for range 256 {
		if _, err := c.Write(request); err != nil {
			return
		}
	}
}

// Daemons.

// floodedSystem is a core and an edge.
type floodedSystem struct {
	t          *testing.T
	net        int
	core, edge *process
	jobs       int
}

// newSystem starts a core and an edge and puts a document in force.
func newSystem(t *testing.T, coreDescriptors, edgeDescriptors int) *floodedSystem {
	t.Helper()
	s := &floodedSystem{t: t, net: claimNetwork(t)}
	for n, role := range []string{"core", "edge"} {
		var b strings.Builder
		fmt.Fprintf(&b, "name: %s\nip: %s\navailability_zone: z\npeer_port: %d\npeer_secret: secret-of-the-flood-tests\nmetrics_port: %d\n",
			role, s.ip(n), floodPeerPort, floodMetricsPort)
		fmt.Fprintf(&b, "seeds: [\"%s\"]\nform_cluster: true\nlost_disks: 0\nannounce_ms: 300\ncatch_up_s: 2\ngrace_s: %d\nmax_lease_ms: 2500\n"+
			"keep_finished_s: 600\nmigrate_s: 1\nmaintain_s: 1\npace_ms: 100\nlog_level: info\n", s.control(), floodGraceS)
		if role == "core" {
			fmt.Fprintf(&b, "operators_listen: %s\ndata_folder: %s\nmemory_mb: %d\n", s.control(), filepath.Join(t.TempDir(), "data"), coreMB)
			s.core = startProcess(t, role, b.String(), coreDescriptors)
			s.core.ip = s.ip(n)
		} else {
			fmt.Fprintf(&b, "callers_listen: %s\nready_listen: %s\nmemory_mb: %d\n", s.callers(), s.ready(), edgeMB)
			s.edge = startProcess(t, role, b.String(), edgeDescriptors)
			s.edge.ip = s.ip(n)
		}
	}
	doc := `{"version":1,"routes":[{"name":"q","host":"h","path_prefix":"/q/","service":"p","timeout_ms":3000,` +
		`"target_latency_ms":600,"max_attempts":50,"stretch":2,"public":true}],"services":[{"name":"p"}],"tenants":[]}`
	await(t, s.core, "acceptance of the document", func() bool { return answered("POST", "http://"+s.control()+"/config/put", doc) })
	return s
}

func (s *floodedSystem) ip(n int) string       { return fmt.Sprintf("127.%d.11.%d", s.net, n+1) }
func (s *floodedSystem) at(n, port int) string { return net.JoinHostPort(s.ip(n), strconv.Itoa(port)) }
func (s *floodedSystem) control() string       { return s.at(0, floodControlPort) }
func (s *floodedSystem) callers() string       { return s.at(1, floodCallerPort) }
func (s *floodedSystem) ready() string         { return s.at(1, floodReadyPort) }
func (s *floodedSystem) readDocument() bool {
	return answered("GET", "http://"+s.control()+"/config/get", "")
}
func (s *floodedSystem) readReady() bool { return answered("GET", "http://"+s.ready()+"/ready", "") }
func (s *floodedSystem) readMetrics(n int) bool {
	return answered("GET", "http://"+s.at(n, floodMetricsPort)+"/metrics", "")
}
func (s *floodedSystem) readMetricsOfEdge() bool { return s.readMetrics(1) }
func (s *floodedSystem) everythingOfEdge() bool {
	return s.submit() && s.readReady() && s.readMetricsOfEdge()
}
func (s *floodedSystem) everythingOfCore() bool { return s.readDocument() && s.readMetrics(0) }

// submit submits a job through the edge.
func (s *floodedSystem) submit() bool {
	s.jobs++
	return answered("POST", fmt.Sprintf("http://%s/q/%016x", s.callers(), s.jobs),
		`{"spec":"x","steps":[{"count":1,"cpu":100,"mem_mb":100,"estimate_ms":60}]}`)
}

// floodEdge loads the callers' listener of an edge. Many connections reach the limit of the
// descriptors, others that of the memory.
func floodEdge(t *testing.T, clients, descriptors int, target string, send func(net.Conn, string)) {
	t.Helper()
	s := newSystem(t, manyDescriptors, descriptors)
	f := flood{clients: clients, send: send, target: target, memoryMB: edgeMB, descriptors: descriptors, maxDescriptors: descriptors - reservedDescriptors}
	f.run(s.edge, s.callers(), s.submit)
}

// floodCore loads the operators' listener of a core.
func floodCore(t *testing.T, clients, descriptors int, target string, send func(net.Conn, string)) {
	t.Helper()
	s := newSystem(t, descriptors, manyDescriptors)
	f := flood{clients: clients, send: send, target: target, memoryMB: coreMB, descriptors: descriptors, maxDescriptors: descriptors - reservedDescriptors}
	f.run(s.core, s.control(), s.readDocument)
}

// floodedServe is the product's own daemon.
type floodedServe struct {
	process *process
	member  *member
}

func (s *floodedServe) request() bool {
	return answered("POST", "http://"+s.member.callers+"/v1/queues/quote/requests", "{}")
}

// newServe starts a daemon with some more settings and puts a document in force.
func newServe(t *testing.T, descriptors int, more func(m *member) string) *floodedServe {
	t.Helper()
	host := fmt.Sprintf("127.%d.12.1", claimNetwork(t))
	m := &member{name: "z-1", zone: "z", callers: host + ":7100", operators: host + ":7200", peers: host + ":7300"}
	sum := sha256.Sum256([]byte(testOperatorKey))
	p := startProcess(t, "serve", fmt.Sprintf("name: z-1\ncluster: test\navailability_zone: z\n"+
		"listen: {callers: %q, operators: %q, peers: %q}\npeers:\n  - {name: z-1, availability_zone: z, address: %q}\n"+
		"peer_secret: 0123456789abcdef0123456789abcdef\nfirst_voters: [z-1]\ndata_folder: %q\n"+
		"operators: [{name: tests, key_sha256: %s}]\nlimits: {memory_mb: %d}\n%s", m.callers, m.operators, m.peers, m.peers,
		filepath.Join(t.TempDir(), "data"), hex.EncodeToString(sum[:]), serveMB, more(m)), descriptors)
	p.ip = host
	c := &cluster{t: t, dir: t.TempDir(), meter: standin.NewTeamMeter(), members: []*member{m}}
	t.Cleanup(func() {
		for _, e := range c.endpoints {
			e.Close()
		}
	})
	c.mustOperator(m, http.MethodPost, "/v1/document?base=0&operation=set-up&wait=10s", c.document(20))
	c.startEndpoints(1, quickRun)
	return &floodedServe{process: p, member: m}
}

// floodServe loads the callers' listener of the product's own daemon.
func floodServe(t *testing.T, clients, descriptors int, target string, send func(net.Conn, string)) {
	t.Helper()
	s := newServe(t, descriptors, func(*member) string { return "" })
	f := flood{clients: clients, send: send, target: target, memoryMB: serveMB, descriptors: descriptors, maxDescriptors: descriptors - reservedDescriptors}
	f.run(s.process, s.member.callers, s.request)
}

// TestServeUnderHandshakes guards against clients that begin a TLS handshake with the peers'
// listener, stop half way through it or at its end, and keep their connections.
func TestServeUnderHandshakes(t *testing.T) {
	dir := t.TempDir()
	s := newServe(t, fewDescriptors, func(m *member) string {
		a := newAuthority(t, dir, "own")
		a.issue(m)
		file := func(name string) string { return filepath.Join(dir, name) }
		return fmt.Sprintf("peer_tls: {cert_file: %q, key_file: %q, ca_file: %q}\n", file(m.name+".pem"), file(m.name+".key"), file("own.pem"))
	})
	hello := clientHello(t)
	for _, part := range [][]byte{hello, hello[:len(hello)/2], hello[:3]} {
		f := flood{clients: 400, send: func(c net.Conn, _ string) { _, _ = c.Write(part) }, memoryMB: serveMB,
			descriptors: fewDescriptors, maxDescriptors: fewDescriptors - reservedDescriptors}
		f.run(s.process, s.member.peers, s.request)
	}
}

// clientHello returns the first message of a TLS handshake.
func clientHello(t *testing.T) []byte {
	t.Helper()
	client, server := net.Pipe()
	defer client.Close()
	defer server.Close()
	go func() { _ = tls.Client(client, &tls.Config{ServerName: "h"}).Handshake() }()
	message := make([]byte, 4<<10)
	n, err := server.Read(message)
	if err != nil {
		t.Fatal(err)
	}
	return message[:n]
}

const (
	submission   = "POST /q/00000000f1000000"
	readOfJob    = "GET /q/00000000f1000000"
	announcement = "POST /executors/w/heartbeat"
	readOfFleet  = "GET /config/get"
	quote        = "POST /v1/queues/quote/requests"
	readOfHealth = "GET /healthz"
)

var (
	jobBody          = sync.OnceValue(func() string { return jsonBody(jobBytes, `"steps"`, "{}") })
	announcementBody = sync.OnceValue(func() string { return jsonBody(announcementBytes, `"labels"`, `""`) })
	requestBody      = sync.OnceValue(func() string { return jsonBody(requestBytes, `"x"`, "{}") })
)

// Callers' listener of the role edge: 300 clients of 256 KiB have 75 MB, more than the process.
// A whole body becomes tens of MB when it is decoded, so 60 of them are enough.

func TestEdgeUnderHeadersOverLimit(t *testing.T) {
	floodEdge(t, 300, manyDescriptors, submission, headerOverLimit)
}

func TestEdgeUnderHeadersWithoutEnd(t *testing.T) {
	floodEdge(t, 300, manyDescriptors, submission, headerWithoutEnd)
}

func TestEdgeUnderEmptyLines(t *testing.T) {
	floodEdge(t, 300, manyDescriptors, submission, emptyLines)
}

func TestEdgeUnderWholeBodies(t *testing.T) {
	floodEdge(t, 60, manyDescriptors, submission, wholeBody(jobBody()))
}

func TestEdgeUnderBodiesInPieces(t *testing.T) {
	floodEdge(t, 300, manyDescriptors, submission, bodyInPieces(jobBody()))
}

func TestEdgeUnderLargeChunks(t *testing.T) {
	floodEdge(t, 300, manyDescriptors, submission, chunkedBody(jobBody(), largeChunk))
}

func TestEdgeUnderSmallChunks(t *testing.T) {
	floodEdge(t, 300, manyDescriptors, submission, chunkedBody(jobBody(), smallChunk))
}

func TestEdgeUnderSilentConnections(t *testing.T) {
	floodEdge(t, 400, fewDescriptors, submission, silent)
}

func TestEdgeUnderSlowReaders(t *testing.T) {
	floodEdge(t, 400, fewDescriptors, readOfJob, slowReader)
}

// TestEdgeUnderSilentConnectionsOfOtherListeners loads the listeners of readiness and metrics.
func TestEdgeUnderSilentConnectionsOfOtherListeners(t *testing.T) {
	s := newSystem(t, manyDescriptors, fewDescriptors)
	f := flood{clients: 400, send: silent, memoryMB: edgeMB, descriptors: fewDescriptors, maxDescriptors: fewDescriptors - reservedDescriptors}
	f.run(s.edge, s.ready(), s.everythingOfEdge)
	f.run(s.edge, s.at(1, floodMetricsPort), s.everythingOfEdge)
}

// Operators' listener of the role core: 64 clients of 2 MiB have 128 MB.

func TestCoreUnderHeadersOverLimit(t *testing.T) {
	floodCore(t, 300, manyDescriptors, announcement, headerOverLimit)
}

func TestCoreUnderHeadersWithoutEnd(t *testing.T) {
	floodCore(t, 300, manyDescriptors, announcement, headerWithoutEnd)
}

func TestCoreUnderEmptyLines(t *testing.T) {
	floodCore(t, 300, manyDescriptors, announcement, emptyLines)
}

func TestCoreUnderWholeBodies(t *testing.T) {
	floodCore(t, 64, manyDescriptors, announcement, wholeBody(announcementBody()))
}

func TestCoreUnderBodiesInPieces(t *testing.T) {
	floodCore(t, 64, manyDescriptors, announcement, bodyInPieces(announcementBody()))
}

func TestCoreUnderLargeChunks(t *testing.T) {
	floodCore(t, 64, manyDescriptors, announcement, chunkedBody(announcementBody(), largeChunk))
}

func TestCoreUnderSmallChunks(t *testing.T) {
	floodCore(t, 64, manyDescriptors, announcement, chunkedBody(announcementBody(), smallChunk))
}

func TestCoreUnderSilentConnections(t *testing.T) {
	floodCore(t, 400, fewDescriptors, announcement, silent)
}

func TestCoreUnderSlowReaders(t *testing.T) {
	floodCore(t, 400, fewDescriptors, readOfFleet, slowReader)
}

// TestCoreUnderSilentConnectionsOfOtherListeners loads the listeners of peer links and metrics.
func TestCoreUnderSilentConnectionsOfOtherListeners(t *testing.T) {
	s := newSystem(t, fewDescriptors, manyDescriptors)
	f := flood{clients: 400, send: silent, memoryMB: coreMB, descriptors: fewDescriptors, maxDescriptors: fewDescriptors - reservedDescriptors}
	f.run(s.core, s.at(0, floodPeerPort), s.everythingOfCore)
	f.run(s.core, s.at(0, floodMetricsPort), s.everythingOfCore)
}

// Callers' listener of serve: 200 clients of 1 MB have 200 MB.

func TestServeUnderHeadersOverLimit(t *testing.T) {
	floodServe(t, 300, manyDescriptors, quote, headerOverLimit)
}

func TestServeUnderHeadersWithoutEnd(t *testing.T) {
	floodServe(t, 300, manyDescriptors, quote, headerWithoutEnd)
}

func TestServeUnderEmptyLines(t *testing.T) {
	floodServe(t, 300, manyDescriptors, quote, emptyLines)
}

func TestServeUnderWholeBodies(t *testing.T) {
	floodServe(t, 200, manyDescriptors, quote, wholeBody(requestBody()))
}

func TestServeUnderBodiesInPieces(t *testing.T) {
	floodServe(t, 200, manyDescriptors, quote, bodyInPieces(requestBody()))
}

func TestServeUnderLargeChunks(t *testing.T) {
	floodServe(t, 200, manyDescriptors, quote, chunkedBody(requestBody(), largeChunk))
}

func TestServeUnderSmallChunks(t *testing.T) {
	floodServe(t, 200, manyDescriptors, quote, chunkedBody(requestBody(), smallChunk))
}

func TestServeUnderSilentConnections(t *testing.T) {
	floodServe(t, 400, fewDescriptors, quote, silent)
}

func TestServeUnderSlowReaders(t *testing.T) {
	floodServe(t, 400, fewDescriptors, readOfHealth, slowReader)
}

// TestCoreUnderSlowReadersOfLargeDocument guards against responses that are not read and fill the
// kernel's send buffers: 300 clients with up to 1 MB each.
func TestCoreUnderSlowReadersOfLargeDocument(t *testing.T) {
	s := newSystem(t, manyDescriptors, manyDescriptors)
	const routes = 4000
	var b strings.Builder
	for n := range routes {
		fmt.Fprintf(&b, `{"name":"q%d","host":"h","path_prefix":"/%d%s/","service":"p","timeout_ms":3000,"target_latency_ms":600,`+
			`"max_attempts":50,"stretch":2,"public":true},`, n, n, strings.Repeat("x", 100))
	}
	doc := `{"version":2,"routes":[` + strings.TrimSuffix(b.String(), ",") + `],"services":[{"name":"p"}],"tenants":[]}`
	await(t, s.core, "acceptance of the document", func() bool { return answered("POST", "http://"+s.control()+"/config/put", doc) })
	f := flood{clients: 300, send: slowReader, target: readOfFleet, memoryMB: coreMB, descriptors: manyDescriptors, maxDescriptors: manyDescriptors - reservedDescriptors}
	f.run(s.core, s.control(), s.readDocument)
}
