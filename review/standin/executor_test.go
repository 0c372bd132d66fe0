package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// start is one run that an executor began.
type start struct {
	executor, task, spec string
	run                  int64
	at                   time.Time
	how                  string
	ended                time.Time
}

// executor is a stand-in for one life of an executor, after PROTOCOL.md. It starts what it
// is told to start and is sound.
type executor struct {
	rec              *record
	id, service      string
	zone, address    string
	labels           []string
	cpu, mem         int64
	work             func(task string, run int64) (time.Duration, string)
	controls         []string
	born             int64
	begun            time.Time
	mu               sync.Mutex
	fence            uint64
	until            time.Time
	running          map[string]*start
	percent          map[string]int64
	highest          map[string]int64
	ended            []any
	numbers          []int64
	last             int64
	wake             chan struct{}
	all              []*start
	seq              int64
	gone             chan struct{}
	server           *http.Server
	draining, beaten bool
}

func (e *executor) clock() int64 { return 1000 + time.Since(e.begun).Milliseconds() }

// listen starts the executor on a loopback address.
func (e *executor) listen(ip string) { e.listenAt(ip + ":0") }

func (e *executor) listenAt(address string) {
	l, err := net.Listen("tcp", address)
	e.rec.must(err)
	e.address, e.begun, e.born = l.Addr().String(), time.Now(), time.Now().UnixMilli()
	e.running, e.highest, e.percent = map[string]*start{}, map[string]int64{}, map[string]int64{}
	e.wake, e.gone = make(chan struct{}), make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", e.serveStart)
	mux.HandleFunc("POST /run-stop", e.serveStop)
	mux.HandleFunc("POST /hold", e.serveHold)
	mux.HandleFunc("POST /pace", func(w http.ResponseWriter, _ *http.Request) { e.reply(w, 200, nil) })
	e.server = &http.Server{Handler: e.checked(mux)}
	go func() { _ = e.server.Serve(l) }()
	go e.beats()
	go e.leases()
}

// checked refuses orders that are meant for another life.
func (e *executor) checked(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if want := r.Header.Get("Magnoliastand-Expect-Instance"); want != "" && want != e.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (e *executor) reply(w http.ResponseWriter, status int, more map[string]any) {
	body := map[string]any{"current_time_ms": e.clock(), "born": e.born}
	for k, v := range more {
		body[k] = v
	}
	raw, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

type order struct {
	Task     string `json:"task"`
	Run      int64  `json:"run"`
	Spec     string `json:"spec"`
	Until    int64  `json:"until_ms"`
	Fence    uint64 `json:"fencing_token"`
	LastSeen int64  `json:"last_seen"`
	Wait     int64  `json:"wait_ms"`
}

// accept reads an order and checks its fence number. It holds the lock on success.
func (e *executor) accept(w http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		e.reply(w, 400, nil)
		return o, false
	}
	e.mu.Lock()
	if o.Fence < e.fence {
		e.mu.Unlock()
		e.reply(w, 409, map[string]any{"reason": "fence"})
		return o, false
	}
	e.fence = o.Fence
	return o, true
}

// lease extends the lease up to its bound.
func (e *executor) lease(until int64) {
	if until == 0 {
		return
	}
	to := e.begun.Add(time.Duration(until-1000) * time.Millisecond)
	if bound := time.Now().Add(maxHold); to.After(bound) {
		to = bound
	}
	if to.After(e.until) {
		e.until = to
	}
}

func (e *executor) serveStart(w http.ResponseWriter, r *http.Request) {
	o, ok := e.accept(w, r)
	if !ok {
		return
	}
	defer e.mu.Unlock()
	if s := e.running[o.Task]; s != nil && s.run == o.Run {
		e.lease(o.Until)
		e.reply(w, 200, nil)
		return
	}
	if o.Run <= e.highest[o.Task] || e.running[o.Task] != nil {
		e.lease(o.Until)
		e.reply(w, 409, map[string]any{"reason": "old"})
		return
	}
	if o.Until <= e.clock() {
		e.reply(w, 409, map[string]any{"reason": "late"})
		return
	}
	e.lease(o.Until)
	s := &start{executor: e.id, task: o.Task, spec: o.Spec, run: o.Run, at: time.Now()}
	e.running[o.Task] = s
	e.all = append(e.all, s)
	e.rec.note("executor %s: started %s run %d", e.id, o.Task, o.Run)
	took, how := e.work(o.Task, o.Run)
	if took > 0 {
		time.AfterFunc(took, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.running[o.Task] == s {
				e.finish(s, how)
			}
		})
	}
	e.reply(w, 200, nil)
}

// finish lists the end of a run.
func (e *executor) finish(s *start, how string) {
	select {
	case <-e.gone:
		return
	default:
	}
	delete(e.running, s.task)
	e.highest[s.task] = max(e.highest[s.task], s.run)
	s.how, s.ended = how, time.Now()
	e.last++
	e.ended = append(e.ended, []any{e.last, s.task, s.run, how, ""})
	e.numbers = append(e.numbers, e.last)
	close(e.wake)
	e.wake = make(chan struct{})
	e.rec.note("executor %s: %s run %d ended %s", e.id, s.task, s.run, how)
}

func (e *executor) serveStop(w http.ResponseWriter, r *http.Request) {
	o, ok := e.accept(w, r)
	if !ok {
		return
	}
	defer e.mu.Unlock()
	e.highest[o.Task] = max(e.highest[o.Task], o.Run)
	if s := e.running[o.Task]; s != nil && s.run <= o.Run {
		e.rec.note("executor %s: told to stop %s run %d", e.id, s.task, s.run)
		time.AfterFunc(stopTime/2, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.running[o.Task] == s {
				e.finish(s, "stopped")
			}
		})
	}
	e.reply(w, 200, nil)
}

func (e *executor) serveHold(w http.ResponseWriter, r *http.Request) {
	o, ok := e.accept(w, r)
	if !ok {
		return
	}
	e.lease(o.Until)
	keep := 0
	for keep < len(e.numbers) && e.numbers[keep] <= o.LastSeen {
		keep++
	}
	e.ended, e.numbers = e.ended[keep:], e.numbers[keep:]
	if wait := min(o.Wait, 2000); wait > 0 && len(e.ended) == 0 {
		wake := e.wake
		e.mu.Unlock()
		select {
		case <-wake:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
		}
		e.mu.Lock()
	}
	defer e.mu.Unlock()
	running := []any{}
	for task, s := range e.running {
		percent := 100
		if time.Since(s.at) < startup {
			percent = 0
		}
		if took, _ := e.work(task, s.run); took > 0 {
			percent = int(min(99, 100*time.Since(s.at)/took))
		}
		running = append(running, []any{task, s.run, "", percent, 500})
	}
	ended := e.ended
	if len(ended) > 500 {
		ended = ended[:500]
	}
	if ended == nil {
		ended = []any{}
	}
	e.reply(w, 200, map[string]any{"running": running, "ended": ended})
}

// leases kills what runs once the lease is over.
func (e *executor) leases() {
	for {
		select {
		case <-e.gone:
			return
		case <-time.After(20 * time.Millisecond):
		}
		e.mu.Lock()
		if time.Now().After(e.until) {
			for _, s := range e.running {
				e.finish(s, "lapsed")
			}
		}
		e.mu.Unlock()
	}
}

// beats sends status reports.
func (e *executor) beats() {
	c := newCaller()
	redirect, next := "", 0
	for {
		e.mu.Lock()
		e.seq++
		state := "ready"
		if e.draining {
			state = "draining"
		}
		body := map[string]any{"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 8, "state": state,
			"cold_ms": 0, "capacity": map[string]any{"cpu": e.cpu, "mem_mb": e.mem, "gpu": 0}, "labels": e.labels,
			"current_time_ms": e.clock(), "seq": e.seq, "born": e.born}
		e.mu.Unlock()
		done := false
		if redirect != "" {
			done = c.call(time.Second, "POST", redirect, "", "/executors/"+e.id+"/heartbeat", nil, body).status/100 == 2
		}
		for try := 0; !done && try < len(e.controls); try++ {
			to := e.controls[next%len(e.controls)]
			a := c.call(time.Second, "POST", to, "", "/executors/"+e.id+"/heartbeat", nil, body)
			var named struct {
				To string `json:"heartbeat_addr"`
			}
			if done = a.status/100 == 2; done {
				_ = json.Unmarshal(a.body, &named)
				redirect = named.To
			} else {
				next++
			}
		}
		if !done {
			redirect = ""
		}
		e.mu.Lock()
		e.beaten = e.beaten || done
		e.mu.Unlock()
		wait := beat
		if !done {
			wait = 200 * time.Millisecond
		}
		select {
		case <-e.gone:
			return
		case <-time.After(wait):
		}
	}
}

// known reports whether a status report has been confirmed.
func (e *executor) known() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.beaten
}

// crash ends the executor and what runs on it.
func (e *executor) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.gone:
		return
	default:
	}
	close(e.gone)
	_ = e.server.Close()
	for _, s := range e.running {
		s.how, s.ended = "gone", time.Now()
		e.rec.note("executor %s: %s run %d is gone", e.id, s.task, s.run)
	}
	e.running = map[string]*start{}
}

// starts returns copies of all runs.
func (e *executor) starts() []start {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []start
	for _, s := range e.all {
		out = append(out, *s)
	}
	return out
}

func executorName(n int) string { return fmt.Sprintf("i-%08x", 0x7f3a0000+n) }

// startup is how long a lasting subtask takes until it is at work.
const startup = 300 * time.Millisecond

// atWork counts the lasting subtasks that are at work.
func (e *executor) atWork() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, s := range e.running {
		if time.Since(s.at) >= startup {
			n++
		}
	}
	return n
}
