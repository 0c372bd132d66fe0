package standin

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of ../given/kit/more/system/sites/tiered-perth.toml.
const (
	beat      = 1500 * time.Millisecond
	maxHold   = 10 * time.Second
	stopTime  = 400 * time.Millisecond
	migrate   = 1500 * time.Millisecond
	maintain  = 2 * time.Second
	applyTime = 2 * time.Second
	grace     = 6 * time.Second
)

// ports are the ports of a day, equal on all machines.
type ports struct{ peer, inner, control, front, ready, metrics int }

// daemon is one process of the project.
type daemon struct {
	name, role, zone, ip, file, log string
	proxied                         bool
	cmd                             *exec.Cmd
}

// deployment holds the processes of a small deployment.
type deployment struct {
	rec    *record
	dir    string
	net    string
	ports  ports
	cores  []*daemon
	edges  []*daemon
	cloud  string
	mu     sync.Mutex
	formed bool
}

// newDeployment chooses free addresses and ports. The machines have addresses of their own.
func newDeployment(rec *record, cores, edges int) *deployment {
	dir, err := os.MkdirTemp("", "review")
	rec.must(err)
	d := &deployment{rec: rec, dir: dir}
	for n := 0; n < 50 && d.net == ""; n++ {
		candidate := fmt.Sprintf("127.%d.%d", 11+os.Getpid()%200, (os.Getpid()/200+n)%250)
		base := 20000 + (os.Getpid()+97*n)%9000
		p := ports{base, base + 1, base + 2, base + 3, base + 4, base + 5}
		if free(candidate, p, cores+edges) {
			d.net, d.ports = candidate, p
		}
	}
	if d.net == "" {
		rec.must(fmt.Errorf("no free ports"))
	}
	zones := []string{"z0", "z1", "z2"}
	for n := range cores {
		d.cores = append(d.cores, &daemon{name: fmt.Sprintf("core-%d", n), role: "core", zone: zones[n%3], ip: fmt.Sprintf("%s.%d", d.net, n+1)})
	}
	for n := range edges {
		d.edges = append(d.edges, &daemon{name: fmt.Sprintf("edge-%d", n), role: "edge", zone: zones[n%3], ip: fmt.Sprintf("%s.%d", d.net, 101+n)})
	}
	return d
}

func free(network string, p ports, n int) bool {
	for i := range n {
		for _, port := range []int{p.peer, p.inner, p.control, p.front, p.ready, p.metrics} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, i+1, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (d *deployment) control(c *daemon) string { return fmt.Sprintf("%s:%d", c.ip, d.ports.control) }
func (d *deployment) front(c *daemon) string   { return fmt.Sprintf("%s:%d", c.ip, d.ports.front) }
func (d *deployment) peer(c *daemon) string    { return fmt.Sprintf("%s:%d", c.ip, d.ports.peer) }
func (d *deployment) inner(c *daemon) string   { return fmt.Sprintf("%s:%d", c.ip, d.ports.inner) }

// controls returns the addresses of all cores.
func (d *deployment) controls() []string {
	var out []string
	for _, c := range d.cores {
		out = append(out, d.control(c))
	}
	return out
}

// settings are what deploy/settings.yaml.tmpl gives with the bounds above. peer_listen is
// added where a proxy stands at the address of the peer links.
func (d *deployment) settings(c *daemon) string {
	var b strings.Builder
	fmt.Fprintf(&b, "name: %q\nip: %q\navailability_zone: %q\n", c.name, c.ip, c.zone)
	if c.role == "core" {
		fmt.Fprintf(&b, "operators_listen: %q\ndata_folder: %q\n", d.control(c), filepath.Join(d.dir, c.name))
		if c.proxied {
			fmt.Fprintf(&b, "peer_listen: %q\n", d.inner(c))
		}
	} else {
		fmt.Fprintf(&b, "callers_listen: %q\nready_listen: \"%s:%d\"\n", d.front(c), c.ip, d.ports.ready)
	}
	fmt.Fprintf(&b, "peer_port: %d\nmetrics_port: %d\npeer_secret: \"no secret is given on this platform\"\nseeds:\n", d.ports.peer, d.ports.metrics)
	for _, s := range d.cores {
		fmt.Fprintf(&b, "  - %q\n", d.control(s))
	}
	memory := 284
	if c.role == "core" {
		memory = 280
	}
	fmt.Fprintf(&b, "form_cluster: %t\nlost_disks: 1\nmemory_mb: %d\nannounce_ms: %d\ncatch_up_s: 4\ngrace_s: 6\n"+
		"max_lease_ms: %d\nkeep_finished_s: 120\nmigrate_s: 1.5\nmaintain_s: 2\npace_ms: 100\nadvice_address: \"\"\n"+
		"instances_address: %q\ninstance_orders_per_s: 64\nremote_factor: 1.5\nlog_level: info\n",
		!d.formed, memory, beat.Milliseconds(), maxHold.Milliseconds(), d.cloud)
	return b.String()
}

// start starts a process with the command of the deploy file.
func (d *deployment) start(c *daemon) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c.file, c.log = filepath.Join(d.dir, c.name+".yaml"), filepath.Join(d.dir, c.name+".log")
	d.rec.must(os.MkdirAll(filepath.Join(d.dir, c.name), 0o700))
	d.rec.must(os.WriteFile(c.file, []byte(d.settings(c)), 0o600))
	log, err := os.OpenFile(c.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	d.rec.must(err)
	defer func() { _ = log.Close() }()
	c.cmd = exec.Command("target/magnoliastand", c.role)
	c.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MAGNOLIASTAND_CONFIG=" + c.file}
	c.cmd.Stdout, c.cmd.Stderr = log, log
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	d.rec.must(c.cmd.Start())
}

func (d *deployment) startAll() {
	for _, c := range append(append([]*daemon{}, d.cores...), d.edges...) {
		d.start(c)
	}
	d.formed = true
}

// signal signals a process by its id.
func (d *deployment) signal(c *daemon, s syscall.Signal) {
	d.rec.note("signal %v to %s", s, c.name)
	_ = c.cmd.Process.Signal(s)
	if s == syscall.SIGKILL {
		_ = c.cmd.Wait()
	}
}

// end kills all processes that were started and keeps their logs if KEEP_LOGS names a folder.
func (d *deployment) end() {
	for _, c := range append(append([]*daemon{}, d.cores...), d.edges...) {
		if c.cmd != nil {
			_ = c.cmd.Process.Signal(syscall.SIGKILL)
			_ = c.cmd.Wait()
		}
		if to := os.Getenv("KEEP_LOGS"); to != "" && c.log != "" {
			if raw, err := os.ReadFile(c.log); err == nil {
				_ = os.WriteFile(filepath.Join(to, c.name+".log"), raw, 0o600)
			}
		}
	}
	_ = os.RemoveAll(d.dir)
}
