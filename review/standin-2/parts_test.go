package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Times of the advice service.
const (
	decideTime = 50 * time.Millisecond
	periodTime = 5 * time.Millisecond
	ticketTime = 20 * time.Second
)

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

// addForeignEnd adds an entry of another writer to the list of ends, as the next one: the name of
// the subtask is missing. Like the others it is forgotten once last_seen reaches it.
func (e *executor) addForeignEnd() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.number++
	e.ended = append(e.ended, &run{listed: e.number, foreign: fmt.Sprintf(`[%d,null,1,"done",""]`, e.number)})
	e.w.rec.add("executor %s lists end %d, an entry of another writer: %s", e.id, e.number, e.ended[len(e.ended)-1].foreign)
}
