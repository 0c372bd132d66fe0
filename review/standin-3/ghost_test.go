package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	ghostRounds  = 3
	ghostClients = 8
	// ghostJob is a job of two steps of 4 s, one after the other.
	ghostJob = `{"spec":"x","steps":[{"count":2,"cpu":1000,"mem_mb":100,"estimate_ms":4000},{"count":2,"cpu":1000,"mem_mb":100,"estimate_ms":4000,"after":[0]}]}`
)

// ghost hands a job in at an edge that stands still, takes it back at another edge once the time
// that the client waits is over, and lets the first edge go on.
func ghost(rec *record, trouble bool) bool {
	ms := newMachineService()
	c := newCluster(rec, ms.addr, 2)
	defer c.close()
	c.startAll()
	r := c.operate("POST", "/config/put", document(1,
		[]object{route("r-1", "/work/", "s1", false, 0, 3)}, []object{service("s1", false)},
		[]object{{"name": "t1", "api_keys": []string{"k1"}, "weight": 10, "max_count": object{"cpu": 100000, "mem_mb": 100000, "gpu": 0}}}), 20*time.Second)
	if r.status != 200 {
		cannotRun("configuration: %v", r)
	}
	c.awaitReady(10 * time.Second)
	var mu sync.Mutex
	cancelled := map[string]time.Time{}
	late := 0
	for i := range 3 {
		e := &executor{c: c, id: fmt.Sprintf("i-%d", i), pool: "s1", zone: c.cores[i].zone, rack: "r1", cpu: 32000, mem: 65536,
			lasts: func(string) time.Duration { return 4 * time.Second }}
		e.onStart = func(e *executor, task string, n int64) {
			mu.Lock()
			defer mu.Unlock()
			id, _, _ := strings.Cut(task, ".")
			at, done := cancelled[id]
			if !done {
				rec.printf("executor %s: start of %s, run %d", e.id, task, n)
				return
			}
			after := time.Since(at)
			rec.printf("executor %s: start of %s, run %d, %v after the cancelling of its job was acknowledged", e.id, task, n, after.Round(time.Millisecond))
			if after > cancelMS*time.Millisecond {
				late++
			}
		}
		e.start("127.0.0.1")
		ms.add(e)
	}
	time.Sleep(3 * time.Second)

	for n := range ghostRounds {
		a, b := c.edges[n%2], c.edges[1-n%2]
		if trouble {
			rec.printf("%s stands still", a.name)
			a.signal(syscall.SIGSTOP)
			time.Sleep(50 * time.Millisecond)
		}
		begun := time.Now()
		var clients sync.WaitGroup
		for range ghostClients {
			clients.Go(func() {
				id := newID()
				rec.printf("client: POST %s at %s: %s", id, a.name, postOnce(c.addr(a.ip, portFront), id, 3*time.Second))
				r := c.call(b, "DELETE", "/work/"+id, "k1", "")
				rec.printf("client: DELETE %s at %s: %v", id, b.name, r)
				if r.status != 200 && r.status != 410 {
					cannotRun("the cancelling is not acknowledged")
				}
				mu.Lock()
				cancelled[id] = time.Now()
				mu.Unlock()
			})
		}
		clients.Wait()
		time.Sleep(time.Until(begun.Add(4 * time.Second)))
		if trouble {
			rec.printf("%s goes on", a.name)
			a.signal(syscall.SIGCONT)
		}
		time.Sleep(11 * time.Second)
	}
	mu.Lock()
	defer mu.Unlock()
	for id := range cancelled {
		if r := c.call(c.edges[0], "GET", "/work/"+id, "k1", ""); r.status != 410 {
			rec.printf("client: GET %s: %v", id, r)
		}
	}
	rec.printf("%d subtasks were started more than %d ms after the cancelling of their job was acknowledged", late, cancelMS)
	return late == 0
}

// postOnce hands a job in and waits for the response as long as a client does, then closes the
// channel. It returns what the client has seen.
func postOnce(addr, id string, wait time.Duration) string {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(wait))
	_, _ = fmt.Fprintf(conn, "POST /work/%s HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Bearer k1\r\n"+
		"Magnoliastand-Deadline-Ms: %d\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", id, wait.Milliseconds(), len(ghostJob), ghostJob)
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		return fmt.Sprintf("no response in %v", wait)
	}
	return strings.TrimSpace(line)
}
