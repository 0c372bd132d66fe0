package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// executor is a sound executor, as PROTOCOL.md describes it.
type executor struct {
	c        *cluster
	id, pool string
	// machine is what the executor runs on; "m-" and its id if it is empty.
	machine    string
	zone, rack string
	// kind is the first label; "a" if it is empty.
	kind     string
	cpu, mem int64
	born     time.Time
	addr     string

	mu      sync.Mutex
	changed *sync.Cond
	fence   uint64
	until   int64
	runs    map[string]*run
	highest map[string]int64
	ended   []ended
	number  int64
	seq     int64
	state   string
	dead    bool
	server  *http.Server
	listen  net.Listener
	// onStart and onEnd tell of what runs.
	onStart func(e *executor, task string, n int64)
	// lasts is how long a subtask works; 0 is until it is stopped.
	lasts func(task string) time.Duration
	onEnd func(e *executor, task string, n int64, how string)
	// cpuOfRun is what a subtask uses, in thousandths of a core.
	cpuOfRun int64
}

type run struct {
	n     int64
	begun time.Time
	last  time.Duration
	timer *time.Timer
}

// percent is how much of its work a run has done.
func (r *run) percent() int64 { return min(100, int64(100*time.Since(r.begun)/r.last)) }

type ended struct {
	number int64
	task   string
	run    int64
	how    string
}

func (e *executor) now() int64 { return time.Since(e.born).Milliseconds() + 1000 }

// start brings the executor up at an address and lets it report itself.
func (e *executor) start(ip string) {
	e.born, e.state = time.Now(), "ready"
	e.changed = sync.NewCond(&e.mu)
	if e.machine == "" {
		e.machine = "m-" + e.id
	}
	if e.kind == "" {
		e.kind = "a"
	}
	if e.cpuOfRun == 0 {
		e.cpuOfRun = 1000
	}
	e.runs, e.highest = map[string]*run{}, map[string]int64{}
	addr := ip + ":0"
	if e.addr != "" {
		addr = e.addr
	}
	l, err := net.Listen("tcp", addr)
	for try := 0; err != nil && try < 50; try++ {
		time.Sleep(50 * time.Millisecond) // the port may still be closing
		l, err = net.Listen("tcp", addr)
	}
	if err != nil {
		cannotRun("executor: %v", err)
	}
	e.listen, e.addr = l, l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", e.handle(e.runStart))
	mux.HandleFunc("POST /run-stop", e.handle(e.runStop))
	mux.HandleFunc("POST /hold", e.handle(e.hold))
	mux.HandleFunc("POST /pace", e.handle(func(*order) (int, object) { return 200, object{} }))
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(200) })
	e.server = &http.Server{Handler: mux}
	go func() { _ = e.server.Serve(l) }()
	go e.report()
	go e.watchLease()
}

// crash ends the executor without a word.
func (e *executor) crash() {
	e.mu.Lock()
	e.dead = true
	for _, r := range e.runs {
		r.timer.Stop()
	}
	e.runs = map[string]*run{}
	e.changed.Broadcast()
	e.mu.Unlock()
	_ = e.server.Close()
}

// crashUnder crashes the executor if a run is still there.
func (e *executor) crashUnder(task string, n int64) bool {
	e.mu.Lock()
	r := e.runs[task]
	there := r != nil && r.n == n
	e.mu.Unlock()
	if there {
		e.crash()
	}
	return there
}

// report sends the status reports, to the next daemon after a failure.
func (e *executor) report() {
	client := &http.Client{Timeout: time.Second}
	for n := 0; ; {
		e.mu.Lock()
		if e.dead {
			e.mu.Unlock()
			return
		}
		e.seq++
		body := toJSON(object{"service": e.pool, "address": e.addr, "zone": e.zone, "version": "v1", "slots": 8, "state": e.state,
			"cold_ms": 0, "capacity": object{"cpu": e.cpu, "mem_mb": e.mem, "gpu": 0}, "labels": []string{e.kind, e.rack},
			"current_time_ms": e.now(), "seq": e.seq, "born": e.born.UnixMilli()})
		e.mu.Unlock()
		r := do(client, "POST", "http://"+e.c.addr(e.c.cores[n%3].ip, portControl)+"/executors/"+e.id+"/heartbeat", "", "", body)
		if r.status/100 != 2 {
			n++
			time.Sleep(100 * time.Millisecond)
			continue
		}
		time.Sleep(announceMS * time.Millisecond)
	}
}

// watchLease kills everything once the lease is over.
func (e *executor) watchLease() {
	for {
		time.Sleep(20 * time.Millisecond)
		e.mu.Lock()
		if e.dead {
			e.mu.Unlock()
			return
		}
		if e.until < e.now() {
			for task := range e.runs {
				e.end(task, "lapsed")
			}
		}
		e.mu.Unlock()
	}
}

// end ends a run. The caller holds mu.
func (e *executor) end(task, how string) {
	r := e.runs[task]
	if r == nil {
		return
	}
	r.timer.Stop()
	delete(e.runs, task)
	e.number++
	e.ended = append(e.ended, ended{e.number, task, r.n, how})
	if e.onEnd != nil {
		e.onEnd(e, task, r.n, how)
	}
	e.changed.Broadcast()
}

// endRun ends a run that is still there.
func (e *executor) endRun(task string, n int64, how string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now := e.runs[task]; now != nil && now.n == n {
		e.end(task, how)
	}
}

type order struct {
	Task     string `json:"task"`
	Run      int64  `json:"run"`
	UntilMS  int64  `json:"until_ms"`
	Fence    uint64 `json:"fencing_token"`
	LastSeen int64  `json:"last_seen"`
	WaitMS   int64  `json:"wait_ms"`
}

func (e *executor) handle(f func(*order) (int, object)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if want := r.Header.Get("Magnoliastand-Expect-Instance"); want != "" && want != e.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(400)
			return
		}
		e.mu.Lock()
		status, body := 409, object{"reason": "fence"}
		if o.Fence >= e.fence {
			e.fence = o.Fence
			status, body = f(&o)
		}
		dead := e.dead
		body["current_time_ms"], body["born"] = e.now(), e.born.UnixMilli()
		e.mu.Unlock()
		if dead {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_, _ = fmt.Fprint(w, toJSON(body))
	}
}

func (e *executor) extend(until int64) { e.until = max(e.until, min(until, e.now()+maxHoldMS)) }

func (e *executor) runStart(o *order) (int, object) {
	if r := e.runs[o.Task]; r != nil && r.n == o.Run {
		e.extend(o.UntilMS)
		return 200, object{}
	}
	if o.Run <= e.highest[o.Task] {
		e.extend(o.UntilMS)
		return 409, object{"reason": "old"}
	}
	if o.UntilMS < e.now() {
		return 409, object{"reason": "late"}
	}
	e.highest[o.Task] = o.Run
	e.extend(o.UntilMS)
	r := &run{n: o.Run, begun: time.Now(), last: time.Hour}
	if e.lasts != nil {
		r.last = e.lasts(o.Task)
	}
	task, n := o.Task, o.Run
	how := "done"
	after := r.last
	r.timer = time.AfterFunc(after, func() { e.endRun(task, n, how) })
	e.runs[task] = r
	if e.onStart != nil {
		e.onStart(e, task, n)
	}
	return 200, object{}
}

func (e *executor) runStop(o *order) (int, object) {
	if r := e.runs[o.Task]; r != nil && r.n <= o.Run {
		e.end(o.Task, "stopped")
	}
	e.highest[o.Task] = max(e.highest[o.Task], o.Run)
	return 200, object{}
}

func (e *executor) hold(o *order) (int, object) {
	e.extend(o.UntilMS)
	for len(e.ended) > 0 && e.ended[0].number <= o.LastSeen {
		e.ended = e.ended[1:]
	}
	if o.WaitMS > 0 && len(e.ended) == 0 {
		until := time.Now().Add(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)
		wake := time.AfterFunc(time.Until(until), e.changed.Broadcast)
		for len(e.ended) == 0 && !e.dead && time.Now().Before(until) {
			e.changed.Wait()
		}
		wake.Stop()
	}
	running, list := [][]any{}, [][]any{}
	for task, r := range e.runs {
		running = append(running, []any{task, r.n, "", r.percent(), e.cpuOfRun})
	}
	for _, x := range e.ended[:min(len(e.ended), 500)] {
		list = append(list, []any{x.number, x.task, x.run, x.how, ""})
	}
	return 200, object{"running": running, "ended": list}
}

// machineService is a stand-in of the platform's list of machines.
type machineService struct {
	mu        sync.Mutex
	executors []*executor
	addr      string
}

func newMachineService() *machineService {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("machine service: %v", err)
	}
	s := &machineService{addr: l.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		rows := []object{}
		for _, e := range s.executors {
			e.mu.Lock()
			dead := e.dead
			e.mu.Unlock()
			row := object{"machine": e.machine, "pool": e.pool, "state": "up", "zone": e.zone, "labels": []string{e.kind, e.rack},
				"capacity": object{"cpu": e.cpu, "mem_mb": e.mem, "gpu": 0}, "id": e.id}
			if dead {
				row["state"] = "down"
			}
			rows = append(rows, row)
		}
		s.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprint(w, toJSON(object{"machines": rows, "next_token": ""}))
	})
	refuse := func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(409)
		_, _ = fmt.Fprint(w, `{"reason":"busy"}`)
	}
	mux.HandleFunc("POST /machine-move", refuse)
	mux.HandleFunc("POST /machine-upkeep", refuse)
	go func() { _ = http.Serve(l, mux) }()
	return s
}

func (s *machineService) add(e *executor) {
	s.mu.Lock()
	s.executors = slices.DeleteFunc(s.executors, func(o *executor) bool { return o.machine == e.machine })
	s.executors = append(s.executors, e)
	s.mu.Unlock()
}
