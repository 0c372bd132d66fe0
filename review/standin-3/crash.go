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
	// the executor then takes to be back.
	crashAfter = 6 * time.Second
	crashBack  = 2 * time.Second
	crashAlone = `{"spec":"crash","steps":[{"count":1,"cpu":1000,"mem_mb":100,"estimate_ms":7000}]}`
	// crashBeside is a job of subtasks that last, one on each executor.
	crashBeside = `{"spec":"beside","steps":[{"count":6,"cpu":1000,"mem_mb":100,"anti_affinity":1,"long_running":true}]}`
)

// crashes hands in a job whose only subtask crashes each executor that starts it. On each executor
// a subtask that lasts runs beside it.
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
	var boot func(id, addr, zone, rack string)
	boot = func(name, addr, zone, rack string) {
		e := &executor{c: c, id: name, addr: addr, pool: "s1", zone: zone, rack: rack, cpu: 32000, mem: 65536}
		e.lasts = func(task string) time.Duration {
			if strings.HasPrefix(task, id) {
				return 7 * time.Second
			}
			return time.Hour
		}
		e.onStart = func(e *executor, task string, n int64) {
			if !strings.HasPrefix(task, id) {
				return
			}
			mu.Lock()
			rec.printf("executor %s: start of %s, run %d; %d executors have crashed under it", e.id, task, n, crashed)
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
					rec.printf("executor %s crashes under run %d of %s", e.id, n, task)
					mu.Unlock()
					time.AfterFunc(crashBack, func() { boot(name, e.addr, zone, rack) })
				})
			}
		}
		e.start("127.0.0.1")
		ms.add(e)
	}
	for i := range crashExecutors {
		boot(fmt.Sprintf("i-%d", i), "", c.cores[i%3].zone, fmt.Sprintf("r%d", i))
	}
	time.Sleep(3 * time.Second)
	r = c.call(c.edges[0], "POST", "/work/"+newID(), "k1", crashBeside)
	rec.printf("client: POST of the job that lasts: %v", r)
	time.Sleep(7 * time.Second)
	r = c.call(c.edges[0], "POST", "/work/"+id, "k1", crashAlone)
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
	}
	mu.Lock()
	defer mu.Unlock()
	rec.printf("%d executors have crashed under the subtask; it was started %d times more after the third", crashed, more)
	return more < 3
}
