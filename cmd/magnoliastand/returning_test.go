package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// The tests of this file guard against crowds of uncontrolled clients that connect again as soon
// as they are closed, and so keep ordinary callers from being answered for as long as they like.

// runAsCrowd names a variable that makes the test binary a crowd: a process of its own, so that
// the ordinary callers of the test do not wait for the crowd's share of the processor.
const runAsCrowd = "MAGNOLIASTAND_CROWD"

// crowdLoads are the loads of crowds, by the name that the process is given.
var crowdLoads = map[string]func() load{
	"edge-bodies":  func() load { return bodiesWithoutReading(jobBody()) },
	"slow-readers": func() load { return requestsWithoutReading },
	"edge-kinds":   func() load { return everyKind(jobBody()) },
	"core-bodies":  func() load { return bodiesWithoutReading(announcementBody()) },
	"core-kinds":   func() load { return everyKind(announcementBody()) },
}

// load is what a client does with a connection.
type load func(c net.Conn, target string)

// crowdProcess is a crowd as the test sees it.
type crowdProcess struct {
	cmd *exec.Cmd
	in  io.Closer
	out *bufio.Reader
}

// startCrowd starts a crowd of some clients, with some more environment.
func startCrowd(name, address, target string, clients int, environment ...string) (*crowdProcess, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(program)
	cmd.Env = append(append(os.Environ(), fmt.Sprintf("%s=%s,%s,%s,%d", runAsCrowd, name, address, target, clients)), environment...)
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	return &crowdProcess{cmd: cmd, in: in, out: bufio.NewReader(out)}, nil
}

// connected waits until each client has been connected once.
func (p *crowdProcess) connected() error {
	_, err := p.out.ReadString('\n')
	return err
}

// stop ends the crowd and returns the number of connections that it has made.
func (p *crowdProcess) stop() (string, error) {
	_ = p.in.Close()
	rest, err := io.ReadAll(p.out)
	if err != nil {
		return "", err
	}
	if err := p.cmd.Wait(); err != nil {
		return "", err
	}
	lines := strings.Fields(string(rest))
	return lines[len(lines)-1], nil
}

// kill ends the process whatever it does.
func (p *crowdProcess) kill() {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait() // an error means that it has ended
}

// crowdMain is the process of a crowd. It ends with its input.
func crowdMain() {
	arguments := strings.Split(os.Getenv(runAsCrowd), ",")
	clients, err := strconv.Atoi(arguments[3])
	if err != nil {
		panic(err)
	}
	w := &crowd{address: arguments[1], target: arguments[2], send: crowdLoads[arguments[0]](), end: make(chan struct{})}
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		close(w.end)
	}()
	w.start(clients)
	fmt.Println("connected")
	w.wg.Wait()
	fmt.Println(w.connections.Load())
}

// crowd is a set of clients that make one connection after another until it is ended.
type crowd struct {
	address, target string
	send            load
	connections     atomic.Int64
	end             chan struct{}
	wg              sync.WaitGroup
}

// start returns when each client has been connected once, or the crowd is ended.
func (w *crowd) start(clients int) {
	var connected sync.WaitGroup
	for range clients {
		connected.Add(1)
		first := sync.OnceFunc(connected.Done)
		w.wg.Go(func() {
			for !w.ended() {
				w.visit(first)
			}
			first()
		})
	}
	connected.Wait()
}

func (w *crowd) ended() bool {
	select {
	case <-w.end:
		return true
	default:
		return false
	}
}

// visit makes one connection.
func (w *crowd) visit(connected func()) {
	c, err := (&net.Dialer{Timeout: convergence}).Dial("tcp", w.address)
	if err != nil {
		time.Sleep(time.Millisecond) // without a listener there is nothing to wait for
		return
	}
	done := make(chan struct{})
	defer close(done)
	defer c.Close()
	go func() {
		select {
		case <-w.end:
			_ = c.Close()
		case <-done:
		}
	}()
	w.connections.Add(1)
	connected()
	w.send(c, w.target)
}

// bodiesWithoutReading sends whole requests one after another and reads no response.
func bodiesWithoutReading(body string) load {
	const requests = 20
	return func(c net.Conn, target string) {
		for range requests {
			if !begin(c, target, fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))) {
				return
			}
			if _, err := c.Write([]byte(body)); err != nil {
				return
			}
		}
	}
}

// requestsWithoutReading sends requests until the connection is closed and reads no response.
func requestsWithoutReading(c net.Conn, target string) {
	_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
	requests := []byte(fmt.Sprintf("%s HTTP/1.1\r\nHost: h\r\n\r\n", target))
	for range 6 {
		requests = append(requests, requests...)
	}
	for {
		if _, err := c.Write(requests); err != nil {
			return
		}
	}
}

// untilClosed runs send and waits until the server closes the connection.
func untilClosed(send load) load {
	return func(c net.Conn, target string) {
		send(c, target)
		_, _ = io.Copy(io.Discard, c)
	}
}

// everyKind runs all loads in turn, one for each connection.
func everyKind(body string) load {
	loads := []load{
		bodiesWithoutReading(body), untilClosed(bodyInPieces(body)), untilClosed(chunkedBody(body, largeChunk)),
		untilClosed(chunkedBody(body, smallChunk)), untilClosed(headerOverLimit), untilClosed(headerWithoutEnd), untilClosed(emptyLines),
		requestsWithoutReading,
	}
	var next atomic.Int64
	return func(c net.Conn, target string) { loads[int(next.Add(1))%len(loads)](c, target) }
}

const (
	returningClients     = 300
	returningDescriptors = 512
	// ordinaryCallers call one after another; each makes as many attempts as ordinaryAttempts.
	ordinaryCallers  = 40
	ordinaryAttempts = 3
	// ordinaryPause is the time before each attempt.
	ordinaryPause = 100 * time.Millisecond
)

// mustStartCrowd starts a crowd and returns when each client has been connected once. stop ends
// it and returns the number of its connections.
func mustStartCrowd(t *testing.T, name, address, target string) (stop func() string) {
	t.Helper()
	w, err := startCrowd(name, address, target, returningClients)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.kill)
	if err := w.connected(); err != nil {
		t.Fatal(err)
	}
	return func() string {
		t.Helper()
		n, err := w.stop()
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
}

// besideCrowd checks that ordinary callers are answered while a crowd keeps coming back, and the
// bounds of the process.
func besideCrowd(t *testing.T, p *process, memoryMB int, crowd, address, target string, ordinary func() bool) {
	t.Helper()
	stop := mustStartCrowd(t, crowd, address, target)
	unanswered, attempts := 0, 0
	for range ordinaryCallers {
		answered := false
		for n := 0; n < ordinaryAttempts && !answered; n++ {
			time.Sleep(ordinaryPause)
			p.sample()
			attempts++
			answered = ordinary()
		}
		if !answered {
			unanswered++
		}
		if !p.alive() {
			t.Fatalf("%s has terminated", p.name)
		}
	}
	connections := stop()
	if unanswered > 0 {
		t.Errorf("%s: %d of %d ordinary callers had no answer in %d attempts each", p.name, unanswered, ordinaryCallers, ordinaryAttempts)
	}
	await(t, p, "an answer after the crowd", ordinary)
	p.checkMemory(memoryMB)
	if p.maxOpen > returningDescriptors-reservedDescriptors {
		t.Errorf("%s: %d open descriptors, at most %d are allowed", p.name, p.maxOpen, returningDescriptors-reservedDescriptors)
	}
	t.Logf("%s: %d attempts of %d callers, %s connections of the crowd, %d descriptors",
		p.name, attempts, ordinaryCallers, connections, p.maxOpen)
}

// edgeBesideCrowd loads the callers' listener of an edge.
func edgeBesideCrowd(t *testing.T, crowd, target string) {
	t.Helper()
	s := newSystem(t, manyDescriptors, returningDescriptors)
	await(t, s.edge, "an answer before the crowd", s.submit)
	besideCrowd(t, s.edge, edgeMB, crowd, s.callers(), target, s.submit)
}

// coreBesideCrowd loads the operators' listener of a core.
func coreBesideCrowd(t *testing.T, crowd, target string) {
	t.Helper()
	s := newSystem(t, returningDescriptors, manyDescriptors)
	await(t, s.core, "an answer before the crowd", s.readDocument)
	besideCrowd(t, s.core, coreMB, crowd, s.control(), target, s.readDocument)
}

func TestEdgeBesideReturningBodies(t *testing.T)      { edgeBesideCrowd(t, "edge-bodies", submission) }
func TestEdgeBesideReturningSlowReaders(t *testing.T) { edgeBesideCrowd(t, "slow-readers", readOfJob) }
func TestEdgeBesideReturningKinds(t *testing.T)       { edgeBesideCrowd(t, "edge-kinds", submission) }

func TestCoreBesideReturningBodies(t *testing.T) { coreBesideCrowd(t, "core-bodies", announcement) }
func TestCoreBesideReturningSlowReaders(t *testing.T) {
	coreBesideCrowd(t, "slow-readers", readOfFleet)
}
func TestCoreBesideReturningKinds(t *testing.T) { coreBesideCrowd(t, "core-kinds", announcement) }

// endsBesideCrowd checks that a process ends in order, within its grace period, while a crowd holds
// its connections and comes back, and that it serves ordinary callers once it is started again.
func endsBesideCrowd(t *testing.T, p *process, crowd, address, target string, ordinary func() bool) {
	t.Helper()
	stop := mustStartCrowd(t, crowd, address, target)
	for range 2 {
		if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		select {
		case <-p.exited:
		case <-time.After(floodGraceS * time.Second):
			t.Fatalf("%s has not ended within its grace period", p.name)
		}
		if code := p.cmd.ProcessState.ExitCode(); code != 0 {
			t.Errorf("%s: exit code %d", p.name, code)
		}
		p = p.restart()
		await(t, p, "an answer beside the crowd", ordinary)
	}
	t.Logf("%s connections of the crowd", stop())
	await(t, p, "an answer after the crowd", ordinary)
}

func TestEdgeEndsBesideCrowd(t *testing.T) {
	s := newSystem(t, manyDescriptors, returningDescriptors)
	await(t, s.edge, "an answer before the crowd", s.submit)
	endsBesideCrowd(t, s.edge, "edge-kinds", s.callers(), submission, s.submit)
}

func TestCoreEndsBesideCrowd(t *testing.T) {
	s := newSystem(t, returningDescriptors, manyDescriptors)
	endsBesideCrowd(t, s.core, "core-kinds", s.control(), announcement, s.readDocument)
}
