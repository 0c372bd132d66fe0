package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// machine is a machine of the infrastructure.
type machine struct {
	name, pool, state string
	executor          *executor
	fence             uint64
	done              map[int64]bool
}

// cloud is a stand-in for the infrastructure's machine service, after PROTOCOL.md.
type cloud struct {
	rec      *record
	mu       sync.Mutex
	machines []*machine
	// hold, if set, takes an order that is to be carried out late and gets no answer.
	hold func(m *machine, carryOut func()) bool
	// busy, while set, makes the service refuse every call with 503.
	busy bool
	// ended is called, locked, with the machine whose executor an order has just ended.
	ended func(m *machine, e *executor)
	// replace starts the executor that joins after an upkeep or a move.
	replace func(m *machine) *executor
	// begun is called, locked, when an upkeep begins, with the machines down for theirs before.
	begun func(m *machine, down int)
}

func (c *cloud) listen(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	c.rec.must(err)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", c.list)
	mux.HandleFunc("POST /machine-upkeep", c.order)
	mux.HandleFunc("POST /machine-move", c.order)
	go func() { _ = (&http.Server{Handler: mux}).Serve(l) }()
	return l.Addr().String()
}

// listTime is how long a reading of the list takes.
const listTime = 30 * time.Millisecond

func (c *cloud) list(w http.ResponseWriter, _ *http.Request) {
	time.Sleep(listTime)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy {
		answerJSON(w, 503, map[string]any{})
		return
	}
	rows := []any{}
	for _, m := range c.machines {
		id, zone := "", "z0"
		if m.executor != nil {
			id, zone = m.executor.id, m.executor.zone
		}
		rows = append(rows, map[string]any{"machine": m.name, "pool": m.pool, "state": m.state, "zone": zone, "labels": []string{"a", "r1-0"},
			"capacity": map[string]any{"cpu": 32000, "mem_mb": 65536, "gpu": 0}, "id": id})
	}
	answerJSON(w, 200, map[string]any{"machines": rows, "next_token": ""})
}

func answerJSON(w http.ResponseWriter, status int, body any) {
	raw, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

type machineOrder struct {
	Machine string `json:"machine"`
	Pool    string `json:"pool"`
	Wave    int64  `json:"wave"`
}

func (c *cloud) order(w http.ResponseWriter, r *http.Request) {
	var o machineOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		answerJSON(w, 400, map[string]any{})
		return
	}
	holder := r.Header.Get("Magnoliastand-Lease-Holder")
	fence, _ := strconv.ParseUint(r.Header.Get("Magnoliastand-Fencing-Token"), 10, 64)
	c.mu.Lock()
	var m *machine
	for _, known := range c.machines {
		if known.name == o.Machine {
			m = known
		}
	}
	hold, busy := c.hold, c.busy
	c.mu.Unlock()
	if busy {
		answerJSON(w, 503, map[string]any{})
		return
	}
	if m == nil {
		answerJSON(w, 400, map[string]any{})
		return
	}
	upkeep := r.URL.Path == "/machine-upkeep"
	if upkeep && hold != nil && hold(m, func() { c.carryOut(m, o, upkeep, holder, fence, "late") }) {
		c.rec.note("cloud: upkeep of %s ordered by %s with fence number %d: no answer, carried out later", m.name, holder, fence)
		<-r.Context().Done()
		return
	}
	status, body := c.carryOut(m, o, upkeep, holder, fence, "at once")
	answerJSON(w, status, body)
}

func (c *cloud) carryOut(m *machine, o machineOrder, upkeep bool, holder string, fence uint64, when string) (int, map[string]any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	what := "move"
	if upkeep {
		what = "upkeep"
	}
	refuse := func(reason string) (int, map[string]any) {
		c.rec.note("cloud: %s of %s by %s with fence number %d (%s): refused, %s", what, m.name, holder, fence, when, reason)
		return 409, map[string]any{"reason": reason}
	}
	if fence < m.fence {
		return refuse("fence")
	}
	m.fence = fence
	switch {
	case upkeep && m.done[o.Wave] || !upkeep && m.pool == o.Pool:
		return 200, map[string]any{}
	case m.state != "up":
		return refuse("busy")
	}
	away := migrate
	if upkeep {
		away, m.state, m.done[o.Wave] = maintain, "upkeep", true
		down := 0
		for _, other := range c.machines {
			if other != m && other.state == "upkeep" {
				down++
			}
		}
		c.begun(m, down)
	} else {
		m.state, m.pool = "moving", o.Pool
	}
	c.rec.note("cloud: %s of %s by %s with fence number %d (%s): begins", what, m.name, holder, fence, when)
	ended := m.executor
	if c.ended != nil {
		c.ended(m, ended)
	}
	ended.crash()
	m.executor = nil
	time.AfterFunc(away, func() {
		e := c.replace(m)
		c.mu.Lock()
		defer c.mu.Unlock()
		m.state, m.executor = "up", e
		c.rec.note("cloud: %s is up again", m.name)
	})
	return 200, map[string]any{}
}
