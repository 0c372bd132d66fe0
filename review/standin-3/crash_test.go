package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	crashExecutors = 6
	// crashAfter is how long the subtask works until it crashes its executor, crashBack how long
	// the machine then takes to be back with a new executor.
	crashAfter = 100 * time.Millisecond
	crashBack  = 2 * time.Second
	crashJob   = `{"spec":"crash","steps":[{"count":1,"cpu":1000,"mem_mb":100,"estimate_ms":900}]}`
)

// crashes hands in a job whose only subtask crashes each executor that starts it. A new executor then
// starts on the machine, with an id and an address of its own.
func crashes(rec *record, trouble bool) bool {
	ms := newMachineService()
	c := newCluster(rec, ms.addr, 2)
	defer c.close()
	c.startAll()
	r := c.operate("POST", "/config/put", document(1,
		[]object{route("r-1", "/work/", "s1", false, 0, 3)}, []object{service("s1", false)},
		[]object{{"name": "t1", "api_keys": []string{"k1"}, "weight": 10, "max_count": object{"cpu": 0, "mem_mb": 0, "gpu": 0}}}), 20*time.Second)
	if r.status != 200 {
		cannotRun("configuration: %v", r)
	}
	c.awaitReady(10 * time.Second)

	id := newID()
	var mu sync.Mutex
	crashed, more := 0, 0
	var boot func(machine, zone, rack string)
	boot = func(machine, zone, rack string) {
		e := &executor{c: c, id: newID(), machine: machine, pool: "s1", zone: zone, rack: rack, cpu: 32000, mem: 65536}
		e.lasts = func(string) time.Duration { return 900 * time.Millisecond }
		e.onStart = func(e *executor, task string, n int64) {
			mu.Lock()
			rec.printf("executor %s on %s: start of %s, run %d; %d executors have crashed under it", e.id, machine, task, n, crashed)
			if crashed >= 3 {
				more++
			}
			mu.Unlock()
			if trouble {
				time.AfterFunc(crashAfter, func() {
					if !e.crashUnder(task, n) {
						return
					}
					mu.Lock()
					crashed++
					rec.printf("executor %s on %s crashes under run %d of %s", e.id, machine, n, task)
					mu.Unlock()
					time.AfterFunc(crashBack, func() { boot(machine, zone, rack) })
				})
			}
		}
		e.start("127.0.0.1")
		ms.add(e)
	}
	for i := range crashExecutors {
		boot(fmt.Sprintf("m-%d", i), c.cores[i%3].zone, fmt.Sprintf("r%d", i))
	}
	time.Sleep(3 * time.Second)
	r = c.call(c.edges[0], "POST", "/work/"+id, "k1", crashJob)
	rec.printf("client: POST %s: %v", id, r)
	if r.status != 200 {
		cannotRun("the job is not accepted")
	}
	for begun := time.Now(); time.Since(begun) < 85*time.Second; time.Sleep(500 * time.Millisecond) {
		r := c.call(c.edges[1], "GET", "/work/"+id, "k1", "")
		if r.status == 200 && (strings.Contains(r.body, "failed") || strings.Contains(r.body, "completed")) {
			rec.printf("client: GET %s: %v", id, r)
			break
		}
		mu.Lock()
		enough := more >= 4
		mu.Unlock()
		if enough {
			break
		}
	}
	mu.Lock()
	defer mu.Unlock()
	rec.printf("%d executors have crashed under the subtask; it was started %d times more after the third", crashed, more)
	return more < 3
}
