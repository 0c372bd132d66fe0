package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	gangExecutors = 12
	gangAttempts  = 3
	gangMembers   = 4
	gangWork      = time.Second
	gangGrey      = 1500 * time.Millisecond
	// gangJob is a gang of four subtasks that need an executor of the kind "big".
	gangJob = `{"spec":"x","steps":[{"count":4,"cpu":1000,"mem_mb":100,"estimate_ms":1000,"gang":true,"requires":"big"}]}`
)

// gangFails lets one of twelve executors fail all that it starts for a while. A gang of four runs there.
func gangFails(rec *record, trouble bool) bool {
	ms := newMachineService()
	c := newCluster(rec, ms.addr, 2)
	defer c.close()
	c.startAll()
	r := c.operate("POST", "/config/put", document(1,
		[]object{route("r-1", "/work/", "s1", false, 0, gangAttempts)}, []object{service("s1", false)},
		[]object{{"name": "t1", "api_keys": []string{"k1"}, "weight": 10, "max_count": object{"cpu": 0, "mem_mb": 0, "gpu": 0}}}), 20*time.Second)
	if r.status != 200 {
		cannotRun("configuration: %v", r)
	}
	c.awaitReady(10 * time.Second)

	var mu sync.Mutex
	var greyUntil time.Time
	failed := map[string]int{}     // ends of a subtask
	failedRuns := map[int64]bool{} // runs of the gang
	for i := range gangExecutors {
		kind := "a"
		if i == 0 {
			kind = "big"
		}
		e := &executor{c: c, id: fmt.Sprintf("i-%d", i), pool: "s1", zone: c.cores[i%3].zone, kind: kind, rack: fmt.Sprintf("r%d", i%3), cpu: 32000, mem: 65536}
		e.gang = gangMembers
		e.lasts = func(string) time.Duration { return gangWork }
		e.grey = func() bool {
			mu.Lock()
			defer mu.Unlock()
			return time.Now().Before(greyUntil)
		}
		e.onStart = func(e *executor, task string, n int64) { rec.printf("executor %s: start of %s, run %d", e.id, task, n) }
		e.onEnd = func(e *executor, task string, n int64, how string) {
			rec.printf("executor %s: run %d of %s ends %s", e.id, n, task, how)
			mu.Lock()
			defer mu.Unlock()
			if how == "failed" {
				failed[task]++
				failedRuns[n] = true
			}
		}
		e.start("127.0.0.1")
		ms.add(e)
	}
	time.Sleep(3 * time.Second)

	var tally []string
	broken := 0
	for range 4 {
		if trouble {
			mu.Lock()
			greyUntil = time.Now().Add(gangGrey)
			mu.Unlock()
			rec.printf("executor i-0 fails all that it starts for %v", gangGrey)
		}
		mu.Lock()
		clear(failed)
		clear(failedRuns)
		mu.Unlock()
		id := newID()
		begun := time.Now()
		r := c.call(c.edges[0], "POST", "/work/"+id, "k1", gangJob)
		rec.printf("client: POST %s: %v", id, r)
		if r.status != 200 {
			cannotRun("the job is not accepted")
		}
		state := ""
		for time.Since(begun) < 12*time.Second {
			r := c.call(c.edges[1], "GET", "/work/"+id, "k1", "")
			if r.status == 200 && (strings.Contains(r.body, "completed") || strings.Contains(r.body, "failed")) {
				state = strings.TrimSpace(r.body)
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		mu.Lock()
		most := 0
		for _, n := range failed {
			most = max(most, n)
		}
		line := fmt.Sprintf("job %s is shown as %s: %d runs of the gang have failed, each subtask at most %d times; the queue allows %d", id, state, len(failedRuns), most, gangAttempts)
		if strings.Contains(state, "failed") && len(failedRuns) < gangAttempts {
			broken++
		}
		mu.Unlock()
		rec.printf("%s", line)
		tally = append(tally, line)
		time.Sleep(3 * time.Second)
	}
	rec.printf("%d of %d jobs shown as failed before max_attempts", broken, len(tally))
	return broken == 0
}
