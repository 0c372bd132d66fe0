package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// machine is one machine of the infrastructure.
type machine struct {
	name, pool, zone, state string
	cpu, mem                int
	labels                  []string
	exec                    *executor
	fence                   uint64
	// upkeeps holds when the upkeep of each wave began.
	upkeeps map[int64]time.Time
	// foreign, if set, stands in the list instead of the machine's entry.
	foreign string
}

// machines is a stand-in for the machine service.
type machines struct {
	w      *world
	listen string
	server *http.Server

	mu   sync.Mutex
	list []*machine
	// waves holds the machines of each wave.
	waves map[int64][]string
}

func (s *machines) serve() error {
	l, err := net.Listen("tcp", s.listen)
	if err != nil {
		return fmt.Errorf("%w: %v", errCannotRun, err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", s.serveList)
	mux.HandleFunc("POST /machine-move", func(rw http.ResponseWriter, r *http.Request) { s.serveOrder(rw, r, true) })
	mux.HandleFunc("POST /machine-upkeep", func(rw http.ResponseWriter, r *http.Request) { s.serveOrder(rw, r, false) })
	s.server, s.waves = &http.Server{Handler: mux}, map[int64][]string{}
	go func() { _ = s.server.Serve(l) }()
	return nil
}

// add adds a machine with its executor.
func (s *machines) add(name, pool, zone string, cpu, mem int, labels ...string) (*machine, error) {
	e, err := s.w.startExecutor(pool, zone, cpu, mem, labels...)
	if err != nil {
		return nil, err
	}
	m := &machine{name: name, pool: pool, zone: zone, state: "up", cpu: cpu, mem: mem, labels: labels, exec: e, upkeeps: map[int64]time.Time{}}
	s.mu.Lock()
	s.list = append(s.list, m)
	s.mu.Unlock()
	return m, nil
}

func (s *machines) setForeign(m *machine, entry string) {
	s.mu.Lock()
	m.foreign = entry
	s.mu.Unlock()
	s.w.rec.add("machine service: the entry of %s is now: %s", m.name, entry)
}

// upkeepOf returns when the upkeep of a machine for a wave began.
func (s *machines) upkeepOf(m *machine, wave int64) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := m.upkeeps[wave]
	return t, ok
}

func (s *machines) serveList(rw http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []json.RawMessage{}
	for _, m := range s.list {
		if m.foreign != "" {
			rows = append(rows, json.RawMessage(m.foreign))
			continue
		}
		entry := map[string]any{
			"machine": m.name, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": m.labels,
			"capacity": map[string]int{"cpu": m.cpu, "mem_mb": m.mem, "gpu": 0}, "id": "",
		}
		if m.exec != nil {
			entry["id"] = m.exec.id
		}
		raw, _ := json.Marshal(entry)
		rows = append(rows, raw)
	}
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{"machines": rows, "next_token": ""})
}

func (s *machines) serveOrder(rw http.ResponseWriter, r *http.Request, move bool) {
	var o struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
		Wave    int64  `json:"wave"`
	}
	status, reason := 200, ""
	defer func() {
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(status)
		_ = json.NewEncoder(rw).Encode(map[string]string{"reason": reason})
		s.w.rec.add("machine service: %s %+v by %s -> %d %s", r.URL.Path, o, r.Header.Get("Magnoliastand-Lease-Holder"), status, reason)
	}()
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		status = 400
		return
	}
	fence, _ := strconv.ParseUint(r.Header.Get("Magnoliastand-Fencing-Token"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	var m *machine
	for _, other := range s.list {
		if other.name == o.Machine {
			m = other
		}
	}
	if m == nil {
		status = 400
		return
	}
	if fence < m.fence {
		status, reason = 409, "fence"
		return
	}
	m.fence = fence
	away := upkeepTime
	if move {
		if m.pool == o.Pool {
			return
		}
		away = 1500 * time.Millisecond
	} else {
		inWave := false
		for _, name := range s.waves[o.Wave] {
			inWave = inWave || name == m.name
		}
		if !inWave {
			status, reason = 409, "wave"
			return
		}
		if _, done := m.upkeeps[o.Wave]; done {
			return
		}
	}
	if m.state != "up" {
		status, reason = 409, "busy"
		return
	}
	if move {
		m.state, m.pool = "moving", o.Pool
	} else {
		m.state, m.upkeeps[o.Wave] = "upkeep", time.Now()
	}
	if m.exec != nil {
		go m.exec.crash()
		m.exec = nil
	}
	time.AfterFunc(away, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		select {
		case <-s.w.stop:
			return
		default:
		}
		m.state = "up"
		m.exec, _ = s.w.startExecutor(m.pool, m.zone, m.cpu, m.mem, m.labels...)
	})
}

// startWave orders the upkeep of machines, as the operator does.
func (w *world) startWave(wave int64, withinS, maxCount int, list ...*machine) error {
	names := []string{}
	for _, m := range list {
		names = append(names, m.name)
	}
	w.machines.mu.Lock()
	w.machines.waves[wave] = names
	w.machines.mu.Unlock()
	status, _, err := w.operate("POST", "/wave-start", map[string]any{"wave": wave, "machines": names, "within_s": withinS, "max_count": maxCount})
	if err == nil && status != 200 {
		err = fmt.Errorf("%w: the wave was answered with %d", errCannotRun, status)
	}
	return err
}

// waveCompleted asks for a wave.
func (w *world) waveCompleted(wave int64) bool {
	status, body := call("GET", fmt.Sprintf("http://%s/wave-get/%d", w.control(int(wave)), wave), "", "", nil, time.Second)
	var reply struct {
		State string `json:"state"`
	}
	return status == 200 && json.Unmarshal(body, &reply) == nil && reply.State == "completed"
}

// lose takes the executor of a machine away for good.
func (s *machines) lose(m *machine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.w.rec.add("executor %s on %s is lost for good", m.exec.id, m.name)
	m.exec.crash()
	m.exec, m.state = nil, "down"
}
