package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// tenantApply is how long after its confirmation a configuration is in force everywhere
	// (`config_apply_ms`), with a second more.
	tenantApply = 3500 * time.Millisecond
	// tenantJob is a job of three steps of 5 s, one after the other.
	tenantJob = `{"spec":"x","steps":[{"count":2,"cpu":1000,"mem_mb":100,"estimate_ms":5000},` +
		`{"count":2,"cpu":1000,"mem_mb":100,"estimate_ms":5000,"after":[0]},{"count":2,"cpu":1000,"mem_mb":100,"estimate_ms":5000,"after":[1]}]}`
)

// tenant gives a tenant another name while one of its jobs runs; the key stays.
func tenant(rec *record, trouble bool) bool {
	ms := newMachineService()
	c := newCluster(rec, ms.addr, 2)
	defer c.close()
	c.startAll()
	put := func(version int, name string) {
		r := c.operate("POST", "/config/put", document(version,
			[]object{route("r-1", "/work/", "s1", false, 0, 3)}, []object{service("s1", false)},
			[]object{{"name": name, "api_keys": []string{"k1"}, "weight": 10, "max_count": object{"cpu": 100000, "mem_mb": 100000, "gpu": 0}}}), 20*time.Second)
		rec.printf("operator: version %d, key k1 belongs to tenant %s: %v", version, name, r)
		if r.status != 200 {
			cannotRun("configuration: %v", r)
		}
	}
	put(1, "alpha")
	c.awaitReady(10 * time.Second)
	var mu sync.Mutex
	cancelled := map[string]time.Time{}
	late := 0
	for i := range 3 {
		e := &executor{c: c, id: fmt.Sprintf("i-%d", i), pool: "s1", zone: c.cores[i].zone, rack: "r1", cpu: 32000, mem: 65536,
			lasts: func(string) time.Duration { return 5 * time.Second }}
		e.onStart = func(e *executor, task string, n int64) {
			mu.Lock()
			defer mu.Unlock()
			id, _, _ := strings.Cut(task, ".")
			rec.printf("executor %s: start of %s, run %d", e.id, task, n)
			if at, done := cancelled[id]; done && time.Since(at) > cancelMS*time.Millisecond {
				late++
			}
		}
		e.start("127.0.0.1")
		ms.add(e)
	}
	time.Sleep(3 * time.Second)
	kept, taken := newID(), newID()
	for _, id := range []string{kept, taken} {
		r := c.call(c.edges[0], "POST", "/work/"+id, "k1", tenantJob)
		rec.printf("client with key k1: POST %s: %v", id, r)
		if r.status != 200 {
			cannotRun("the job is not accepted")
		}
	}
	time.Sleep(time.Second)
	if trouble {
		put(2, "beta")
	} else {
		put(2, "alpha")
	}
	time.Sleep(tenantApply)
	gone := 0
	r := c.call(c.edges[0], "DELETE", "/work/"+taken, "k1", "")
	rec.printf("client with key k1: DELETE %s: %v", taken, r)
	if r.status == 200 || r.status == 410 {
		mu.Lock()
		cancelled[taken] = time.Now()
		mu.Unlock()
	}
	for n := range 20 {
		r := c.call(c.edges[n%2], "GET", "/work/"+kept, "k1", "")
		rec.printf("client with key k1: GET %s: %v", kept, r)
		if r.status == 410 {
			gone++
		}
		time.Sleep(time.Second)
	}
	mu.Lock()
	defer mu.Unlock()
	rec.printf("%d of 20 calls for an accepted job that nobody has cancelled answered 410; %d subtasks started more than %d ms after the cancelling of their job was acknowledged", gone, late, cancelMS)
	return gone == 0 && late == 0
}
