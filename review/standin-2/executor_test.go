package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// run is one run of a subtask as its executor has seen it.
type run struct {
	task         string
	number       int64
	begun, ended time.Time
	how          string
	timer        *time.Timer
	listed       int64
	// saved is the checkpoint that the start carried.
	saved string
	// foreign, if set, is an entry of another writer.
	foreign string
	// span is how long the run takes; 0 if it lasts.
	span time.Duration
}

// executor is a stand-in for an executor, as PROTOCOL tells it. The spec of a job is "work MS"
// or "last".
type executor struct {
	w        *world
	id       string
	service  string
	address  string
	zone     string
	cpu, mem int
	labels   []string

	mu       sync.Mutex
	born     int64
	start    time.Time
	seq      int64
	fence    uint64
	until    time.Time
	running  map[string]*run
	highest  map[string]int64
	ended    []*run
	number   int64
	lastSeen int64
	all      []*run
	// tickets holds until when each ticket is valid; nil if none is needed.
	tickets map[string]time.Time
	wake    chan struct{}
	dead    chan struct{}
	// loseStop is the task whose next stop gets no response and is not carried out; onStop is
	// called then.
	loseStop string
	onStop   func()
	draining bool
	server   *http.Server
}

// startExecutor starts an executor, which reports itself until it ends.
func (w *world) startExecutor(service, zone string, cpu, mem int, labels ...string) (*executor, error) {
	w.mu.Lock()
	w.next++
	n := w.next
	w.mu.Unlock()
	return w.boot(&executor{
		id: fmt.Sprintf("i-%04x", n), service: service, zone: zone, cpu: cpu, mem: mem, labels: labels,
		address: fmt.Sprintf("%s.%d:8080", w.net, 130+n),
	}, n)
}

// boot starts a new life of an executor, which holds and knows nothing of before. It reports
// itself to the n-th daemon first.
func (w *world) boot(e *executor, n int) (*executor, error) {
	e.w, e.born, e.start = w, time.Now().UnixMilli(), time.Now()
	e.running, e.highest, e.tickets = map[string]*run{}, map[string]int64{}, w.newTickets()
	e.wake, e.dead = make(chan struct{}), make(chan struct{})
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", errCannotRun, err)
	}
	mux := http.NewServeMux()
	for path, f := range map[string]func(*order) (int, map[string]any){
		"/run-start": e.runStart, "/run-stop": e.runStop, "/hold": e.hold,
		"/pace": func(*order) (int, map[string]any) { return 200, nil },
	} {
		mux.HandleFunc("POST "+path, func(rw http.ResponseWriter, r *http.Request) { e.serve(rw, r, f) })
	}
	e.server = &http.Server{Handler: mux}
	go func() { _ = e.server.Serve(l) }()
	w.mu.Lock()
	w.execs = append(w.execs, e)
	w.mu.Unlock()
	w.rec.add("executor %s of %s starts at %s, labels %v", e.id, e.service, e.address, e.labels)
	w.wg.Add(2)
	go e.report(n)
	go e.expire()
	return e, nil
}

// report sends status reports, to the next daemon after a failure.
func (e *executor) report(n int) {
	defer e.w.wg.Done()
	pause := time.Duration(0)
	for {
		select {
		case <-time.After(pause):
		case <-e.dead:
			return
		case <-e.w.stop:
			return
		}
		status := e.beat(n)
		pause = heartbeat
		if status != 200 {
			pause = 200 * time.Millisecond
			n++
		}
	}
}

// beat sends one status report to the n-th daemon.
func (e *executor) beat(n int) int {
	e.mu.Lock()
	e.seq++
	state := "ready"
	if e.draining {
		state = "draining"
	}
	beat := map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 8, "state": state, "cold_ms": 0,
		"capacity": map[string]int{"cpu": e.cpu, "mem_mb": e.mem, "gpu": 0}, "labels": e.labels,
		"current_time_ms": e.clock(), "seq": e.seq, "born": e.born,
	}
	e.mu.Unlock()
	status, _ := call("POST", "http://"+e.w.control(n)+"/executors/"+e.id+"/heartbeat", "", "", beat, time.Second)
	return status
}

// leave drains the executor, deregisters it and ends it.
func (e *executor) leave() {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	for n := 0; ; n++ {
		status := e.beat(n)
		e.w.rec.add("executor %s reports draining -> %d", e.id, status)
		if status == 200 || !e.w.pause(50*time.Millisecond) {
			break
		}
	}
	e.w.pause(drainTime)
	status, _ := call("POST", "http://"+e.w.control(0)+"/executors/"+e.id+"/deregister", "", "", map[string]int64{"born": e.born}, time.Second)
	e.w.rec.add("executor %s deregisters -> %d, and ends", e.id, status)
	e.crash()
}

func (e *executor) clock() int64 { return time.Since(e.start).Milliseconds() + 1 }

// crash ends the executor at once.
func (e *executor) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.dead:
		return
	default:
	}
	close(e.dead)
	_ = e.server.Close()
	for _, r := range e.running {
		r.timer.Stop()
		r.ended, r.how = time.Now(), "gone"
	}
	e.running = map[string]*run{}
}

// percent is how far the run is; a run that lasts is at work.
func (r *run) percent() int {
	if r.span == 0 {
		return 100
	}
	return min(99, int(100*time.Since(r.begun)/r.span))
}

// order is any order to an executor.
type order struct {
	Task     string `json:"task"`
	Run      int64  `json:"run"`
	Spec     string `json:"spec"`
	Until    int64  `json:"until_ms"`
	Fence    uint64 `json:"fencing_token"`
	LastSeen int64  `json:"last_seen"`
	Wait     int64  `json:"wait_ms"`

	Checkpoint string `json:"checkpoint"`
	Ticket     string `json:"ticket"`
}

func (e *executor) serve(rw http.ResponseWriter, r *http.Request, do func(*order) (int, map[string]any)) {
	var o order
	status, fields := 400, map[string]any(nil)
	if json.NewDecoder(r.Body).Decode(&o) == nil {
		switch {
		case r.Header.Get("Magnoliastand-Expect-Instance") != e.id:
			status = 421
		case r.URL.Path == "/run-stop" && e.losesStop(&o):
			<-r.Context().Done()
			return
		default:
			status, fields = do(&o)
		}
	}
	if fields == nil {
		fields = map[string]any{}
	}
	fields["current_time_ms"], fields["born"] = e.clock(), e.born
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(fields)
}

// losesStop reports whether a stop is to get no response, once.
func (e *executor) losesStop(o *order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.loseStop == "" || e.loseStop != o.Task {
		return false
	}
	e.loseStop = ""
	e.w.rec.add("executor %s: /run-stop of %s run %d gets no response and is not carried out", e.id, o.Task, o.Run)
	if e.onStop != nil {
		go e.onStop()
	}
	return true
}

// fenced reports whether an order has a lower fence number than one before.
func (e *executor) fenced(o *order) bool {
	if o.Fence < e.fence {
		return true
	}
	e.fence = o.Fence
	return false
}

func (e *executor) extend(until int64) {
	t := e.start.Add(time.Duration(until) * time.Millisecond)
	if limit := time.Now().Add(maxHold); t.After(limit) {
		t = limit
	}
	if t.After(e.until) {
		e.until = t
	}
}

func refusal(reason string) (int, map[string]any) { return 409, map[string]any{"reason": reason} }

func (e *executor) runStart(o *order) (int, map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fenced(o) {
		return refusal("fence")
	}
	if r := e.running[o.Task]; r != nil && r.number == o.Run {
		return 200, nil
	}
	if o.Run <= e.highest[o.Task] {
		e.extend(o.Until)
		return refusal("old")
	}
	if !e.start.Add(time.Duration(o.Until) * time.Millisecond).After(time.Now()) {
		return refusal("late")
	}
	if e.tickets != nil && !time.Now().Before(e.tickets[o.Ticket]) {
		return refusal("ticket")
	}
	e.extend(o.Until)
	e.highest[o.Task] = o.Run
	r := &run{task: o.Task, number: o.Run, begun: time.Now(), saved: o.Checkpoint}
	e.running[o.Task] = r
	e.all = append(e.all, r)
	ms := 0
	_, _ = fmt.Sscanf(o.Spec, "work %d", &ms)
	r.span = time.Duration(ms) * time.Millisecond
	if ms > 0 {
		r.timer = time.AfterFunc(r.span, func() { e.finish(r, "done") })
	} else {
		r.timer = time.AfterFunc(24*time.Hour, func() {})
	}
	e.w.rec.add("executor %s begins %s run %d", e.id, o.Task, o.Run)
	return 200, nil
}

// finish ends a run, unless it has ended.
func (e *executor) finish(r *run, how string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.finishLocked(r, how)
}

func (e *executor) finishLocked(r *run, how string) {
	if e.running[r.task] != r {
		return
	}
	r.timer.Stop()
	delete(e.running, r.task)
	e.number++
	r.ended, r.how, r.listed = time.Now(), how, e.number
	e.ended = append(e.ended, r)
	close(e.wake)
	e.wake = make(chan struct{})
	e.w.rec.add("executor %s lists end %d: %s run %d %s", e.id, r.listed, r.task, r.number, how)
}

func (e *executor) runStop(o *order) (int, map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fenced(o) {
		return refusal("fence")
	}
	e.highest[o.Task] = max(e.highest[o.Task], o.Run)
	if r := e.running[o.Task]; r != nil && r.number <= o.Run {
		time.AfterFunc(stopTime, func() { e.finish(r, "stopped") })
	}
	return 200, nil
}

func (e *executor) hold(o *order) (int, map[string]any) {
	e.mu.Lock()
	if e.fenced(o) {
		e.mu.Unlock()
		return refusal("fence")
	}
	if o.Until > 0 {
		e.extend(o.Until)
	}
	if o.LastSeen > e.lastSeen {
		e.lastSeen = o.LastSeen
		e.w.rec.add("executor %s: last_seen is %d", e.id, e.lastSeen)
	}
	for len(e.ended) > 0 && e.ended[0].listed <= e.lastSeen {
		e.ended = e.ended[1:]
	}
	wake, waits := e.wake, len(e.ended) == 0
	e.mu.Unlock()
	if waits && o.Wait > 0 {
		select {
		case <-wake:
		case <-time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond):
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	running, ended := []json.RawMessage{}, []json.RawMessage{}
	for _, r := range e.running {
		running = append(running, row(r.task, r.number, r.saved, r.percent(), 0))
	}
	sort.Slice(e.ended, func(a, b int) bool { return e.ended[a].listed < e.ended[b].listed })
	for _, r := range e.ended[:min(len(e.ended), 500)] {
		if r.foreign != "" {
			ended = append(ended, json.RawMessage(r.foreign))
			continue
		}
		ended = append(ended, row(r.listed, r.task, r.number, r.how, r.saved))
	}
	return 200, map[string]any{"running": running, "ended": ended}
}

func row(cells ...any) json.RawMessage {
	raw, _ := json.Marshal(cells)
	return raw
}

// expire kills everything that runs once the lease is over.
func (e *executor) expire() {
	defer e.w.wg.Done()
	for {
		select {
		case <-time.After(10 * time.Millisecond):
		case <-e.dead:
			return
		case <-e.w.stop:
			return
		}
		e.mu.Lock()
		if time.Now().After(e.until) {
			for _, r := range e.running {
				e.finishLocked(r, "lapsed")
			}
		}
		e.mu.Unlock()
	}
}

// runsOf returns copies of the runs of a job on all executors.
func (w *world) runsOf(job string) []run {
	w.mu.Lock()
	execs := append([]*executor{}, w.execs...)
	w.mu.Unlock()
	var out []run
	for _, e := range execs {
		e.mu.Lock()
		for _, r := range e.all {
			if strings.HasPrefix(r.task, job+".") {
				out = append(out, *r)
			}
		}
		e.mu.Unlock()
	}
	return out
}

// newTickets returns the tickets of a new executor, or nil if none is needed.
func (w *world) newTickets() map[string]time.Time {
	if w.advice == nil {
		return nil
	}
	return map[string]time.Time{}
}
