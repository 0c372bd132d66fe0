// Package standin plays the review's scripts: it starts the project's processes with the
// commands of the deploy file and is their clients, executors, operator and infrastructure.
// It is a test program: review/build.sh builds it, and no module of the workspace holds it.
package standin

import (
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"testing"
	"time"
)

// stage is a deployment with its surroundings.
type stage struct {
	rec       *record
	trouble   bool
	dep       *deployment
	trap      trap
	executors []*executor
	cloud     *cloud
	rebirths  chan rebirth
	lives     int
	op        *operator
	cfg       *config
}

var cases = map[string]func(*stage){
	"refused": refused,
	"readded": readded,
	"deadly":  deadly,
	"upkeeps": upkeeps,
	"blind":   blind,
}

// TestMain plays the case that the first argument names.
func TestMain(*testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitNotRun)
	}
	s := &stage{rec: newRecord(os.Args[2]), rebirths: make(chan rebirth, 16), trouble: os.Getenv("TROUBLE") != "0"}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		s.rec.finish(exitNotRun, "stopped from outside")
	}()
	time.AfterFunc(110*time.Second, func() { s.rec.finish(exitNotRun, "not done after 110 s") })
	s.rec.note("case %s, trouble %v", os.Args[1], s.trouble)
	cases[os.Args[1]](s)
}

// begin starts the processes and some executors of one service and puts the first
// configuration.
func (s *stage) begin(cores, edges, executors int, proxied bool, cfg *config, work func(task string, run int64) (time.Duration, string)) {
	s.dep = newDeployment(s.rec, cores, edges)
	s.rec.atEnd(s.dep.end)
	if proxied {
		for _, c := range s.dep.cores {
			c.proxied = true
			newProxy(s.rec, s.dep.peer(c), s.dep.inner(c), &s.trap)
		}
	}
	if s.cloud != nil {
		s.dep.cloud = s.cloud.listen(s.dep.net + ".251")
	}
	s.dep.startAll()
	s.op = &operator{caller: newCaller(), rec: s.rec, controls: s.dep.controls()}
	s.cfg = cfg
	if a := s.op.put(cfg); a.status != 200 {
		s.rec.finish(exitNotRun, "the first configuration got no confirmation")
	}
	for n := range executors {
		s.add(n, cfg.services[0], work)
	}
	ready := newCaller()
	ok := await(20*time.Second, func() bool {
		for _, e := range s.executors {
			if !e.known() {
				return false
			}
		}
		for _, e := range s.dep.edges {
			if ready.call(time.Second, "GET", fmt.Sprintf("%s:%d", e.ip, s.dep.ports.ready), "", "/ready", nil, nil).status != 200 {
				return false
			}
		}
		return true
	})
	if !ok {
		s.rec.finish(exitNotRun, "the system did not become ready")
	}
	time.Sleep(4 * time.Second) // the machines are in touch
	s.rec.note("the system is ready")
}

func (s *stage) add(n int, service string, work func(task string, run int64) (time.Duration, string)) *executor {
	e := &executor{rec: s.rec, id: executorName(n), service: service, zone: fmt.Sprintf("z%d", n%3), labels: []string{"a", fmt.Sprintf("r1-%d", n/4)},
		cpu: 32000, mem: 65536, work: work, controls: s.dep.controls()}
	e.listen(fmt.Sprintf("%s.%d", s.dep.net, 151+n%100))
	s.executors = append(s.executors, e)
	return e
}

// startsOf returns the runs of a job's subtasks.
func (s *stage) startsOf(id string) []start {
	var out []start
	for _, e := range s.executors {
		for _, st := range e.starts() {
			if len(st.task) > len(id) && st.task[:len(id)] == id {
				out = append(out, st)
			}
		}
	}
	return out
}

func (s *stage) client(key string) *client { return &client{caller: newCaller(), rec: s.rec, key: key} }

// rebirth is a new life of the executor at an index.
type rebirth struct {
	at       int
	executor *executor
}

// reborn starts another executor at the address of one that has crashed.
func (s *stage) reborn(old *executor, id string) *executor {
	e := &executor{rec: s.rec, id: id, service: old.service, zone: old.zone, labels: old.labels, cpu: old.cpu, mem: old.mem,
		work: old.work, controls: old.controls}
	e.listenAt(old.address)
	return e
}

// killLeader kills the core that leads and starts it again after three and a half seconds,
// which is the longest time of the site's node_kill.
func (s *stage) killLeader() {
	for _, c := range s.dep.cores {
		raw, err := os.ReadFile(c.log)
		if err != nil {
			continue
		}
		taken, ended := strings.LastIndex(string(raw), "lead taken"), strings.LastIndex(string(raw), "leadership ended")
		if taken > ended {
			s.dep.signal(c, syscall.SIGKILL)
			time.AfterFunc(3500*time.Millisecond, func() {
				s.rec.note("%s starts again", c.name)
				s.dep.start(c)
			})
			return
		}
	}
	s.rec.note("no core says that it leads")
}
