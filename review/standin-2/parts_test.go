package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Times of the advice service.
const (
	decideTime = 50 * time.Millisecond
	periodTime = 5 * time.Millisecond
	ticketTime = 40 * time.Second
)

// failTime is how long a run works before it fails with its executor.
const failTime = 100 * time.Millisecond

// advice is a stand-in for the advice service: all executors may run every step. It handles one
// call at a time.
type advice struct {
	w      *world
	listen string
	server *http.Server
	mu     sync.Mutex
	issued int
}

func (a *advice) address() string {
	if a == nil {
		return ""
	}
	return a.listen
}

func (w *world) serveAdvice() error {
	a := &advice{w: w, listen: w.net + ".251:8344"}
	l, err := net.Listen("tcp", a.listen)
	if err != nil {
		return fmt.Errorf("%w: %v", errCannotRun, err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /advise", a.advise)
	a.server = &http.Server{Handler: mux}
	go func() { _ = a.server.Serve(l) }()
	w.advice = a
	return nil
}

func (a *advice) advise(rw http.ResponseWriter, r *http.Request) {
	var o struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		rw.WriteHeader(400)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	time.Sleep(decideTime + time.Duration(len(o.Workers))*periodTime)
	good := [][]string{}
	a.w.mu.Lock()
	execs := append([]*executor{}, a.w.execs...)
	a.w.mu.Unlock()
	for _, e := range execs {
		for _, id := range o.Workers {
			if e.id != id {
				continue
			}
			a.issued++
			ticket := fmt.Sprintf("ticket-%d", a.issued)
			e.mu.Lock()
			e.tickets[ticket] = time.Now().Add(ticketTime)
			e.mu.Unlock()
			good = append(good, []string{id, ticket})
		}
	}
	a.w.rec.add("advice service: %s for %v -> %v", o.Step, o.Workers, good)
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{"good": good})
}

// members returns the runs of one run of a gang that are present, with their executors.
func (w *world) members(task string, number int64) (runs []*run, on []*executor) {
	step := task[:strings.LastIndex(task, ".")+1]
	w.mu.Lock()
	execs := append([]*executor{}, w.execs...)
	w.mu.Unlock()
	for _, e := range execs {
		e.mu.Lock()
		for _, r := range e.running {
			if strings.HasPrefix(r.task, step) && r.number == number {
				runs, on = append(runs, r), append(on, e)
			}
		}
		e.mu.Unlock()
	}
	return runs, on
}

// join lets the members of a gang work once all of one run are present. They resume together, so
// all must carry the same checkpoint; members that don't are not together.
func (w *world) join(task string, number int64, count int, work time.Duration) {
	w.gangs.Lock()
	defer w.gangs.Unlock()
	runs, on := w.members(task, number)
	if len(runs) < count {
		return
	}
	for _, r := range runs {
		if r.checkpoint != runs[0].checkpoint {
			w.rec.add("gang of %s run %d: all are present, and carry different checkpoints: %q, %q", task, number, runs[0].checkpoint, r.checkpoint)
			return
		}
	}
	if !runs[0].together.IsZero() {
		return
	}
	done := 0
	_, _ = fmt.Sscanf(runs[0].checkpoint, "%d", &done)
	w.rec.add("gang of %s run %d works, from %d ms on", task, number, done)
	now := time.Now()
	for i, r := range runs {
		on[i].mu.Lock()
		if on[i].fails {
			time.AfterFunc(failTime, func() { on[i].finish(r, "failed") })
		}
		on[i].mu.Unlock()
	}
	for i, r := range runs {
		on[i].mu.Lock()
		r.together = now
		on[i].mu.Unlock()
	}
	go w.work(task, number, count, done, work)
}

// work lets a gang go on until it is done or a member has ended.
func (w *world) work(task string, number int64, count, done int, work time.Duration) {
	for {
		if !w.pause(checkpointEvery) {
			return
		}
		runs, on := w.members(task, number)
		done += int(checkpointEvery.Milliseconds())
		whole := len(runs) == count
		finished := whole && done >= int(work.Milliseconds())
		for i, r := range runs {
			switch {
			case finished:
				on[i].finish(r, "done")
			case !whole:
				on[i].finish(r, "broken")
			default:
				on[i].mu.Lock()
				r.saved = fmt.Sprintf("%06d", done)
				on[i].mu.Unlock()
			}
		}
		if finished || !whole {
			return
		}
	}
}

// alone ends a run that has waited for the others of its gang.
func (e *executor) alone(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.together.IsZero() {
		e.finishLocked(r, "alone")
	}
}

// addForeignEnd adds an entry of another writer to the list of ends, as the next one: the name of
// the subtask is missing. Like the others it is forgotten once last_seen reaches it.
func (e *executor) addForeignEnd() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.number++
	e.ended = append(e.ended, &run{listed: e.number, foreign: fmt.Sprintf(`[%d,null,1,"done",""]`, e.number)})
	e.w.rec.add("executor %s lists end %d, an entry of another writer: %s", e.id, e.number, e.ended[len(e.ended)-1].foreign)
}

// crash ends the executor of a machine, if it has not ended; it is back after some time.
func (s *machines) crash(m *machine, away time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := m.exec
	e.crash()
	m.exec, m.state = nil, "down"
	time.AfterFunc(away, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		select {
		case <-s.w.stop:
			return
		default:
		}
		m.state = "up"
		m.exec, _ = s.w.restart(e)
	})
}
