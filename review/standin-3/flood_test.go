package main

import (
	"fmt"
	"math/rand"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// shortJob is a job of two subtasks of 0.3 s.
const shortJob = `{"spec":"x","steps":[{"count":2,"cpu":1000,"mem_mb":100,"estimate_ms":300}]}`

// floodSeconds and floodClients are what the client that isn't controlled does: it sends one
// submission after the other on each of its channels.
const (
	floodSeconds = 15
	floodClients = 8
)

// flood lets a client that isn't controlled hand in jobs of many occurrences on a public route.
// Each is a body of about 150 bytes within the fields of PROTOCOL.md.
func flood(rec *record, trouble bool) bool {
	ms := newMachineService()
	c := newCluster(rec, ms.addr, 2)
	defer c.close()
	c.startAll()
	r := c.operate("POST", "/config/put", document(1,
		[]object{route("r-1", "/work/", "s1", false, 0, 3), route("r-2", "/open/", "s1", true, 0, 3)},
		[]object{service("s1", false)},
		[]object{{"name": "t1", "api_keys": []string{"k1"}, "weight": 10, "max_count": object{"cpu": 100000, "mem_mb": 100000, "gpu": 0}}}), 20*time.Second)
	if r.status != 200 {
		cannotRun("configuration: %v", r)
	}
	c.awaitReady(10 * time.Second)
	for i := range 3 {
		e := &executor{c: c, id: fmt.Sprintf("i-%d", i), pool: "s1", zone: c.cores[i].zone, rack: "r1", cpu: 32000, mem: 65536,
			lasts: func(string) time.Duration { return 300 * time.Millisecond }}
		e.start("127.0.0.1")
		ms.add(e)
	}
	time.Sleep(2 * time.Second)

	// A job of an ordinary client that is accepted before and asked for afterwards.
	kept := newID()
	if r := c.call(c.edges[0], "POST", "/work/"+kept, "k1", shortJob); r.status != 200 {
		cannotRun("the job before the flood is not accepted: %v", r)
	}
	rec.printf("ordinary client: job %s is accepted", kept)

	// The platform kills a process that uses more than its memory, and starts it again.
	var ended, killed atomic.Int64
	stop := make(chan struct{})
	var platform sync.WaitGroup
	platform.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			for _, d := range c.cores {
				switch mb := d.memoryMB(); {
				case !d.running():
					ended.Add(1)
					rec.printf("platform: %s has ended; it starts again", d.name)
					c.start(d)
				case mb > coreMB:
					rec.printf("platform: %s uses %d MB of %d MB and is killed (its %d. start)", d.name, mb, coreMB, d.starts)
					killed.Add(1)
					d.signal(syscall.SIGKILL)
					<-d.done
					time.Sleep(200 * time.Millisecond)
					c.start(d)
				}
			}
		}
	})

	var accepted, refused, silent atomic.Int64
	var clients sync.WaitGroup
	begun := time.Now()
	if trouble {
		body := toJSON(object{"spec": "x", "steps": []object{{"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": 300}},
			"repeat_count": 20000, "start_at_ms": time.Now().Add(time.Hour).UnixMilli(), "interval_ms": 1000})
		rec.printf("uncontrolled client: POST /open/ID on %d channels for %d s: %s", floodClients, floodSeconds, body)
		for n := range floodClients {
			clients.Go(func() {
				for time.Since(begun) < floodSeconds*time.Second {
					switch r := c.call(c.edges[n%2], "POST", "/open/"+newID(), "", body); r.status {
					case 200:
						accepted.Add(1)
					case 429, 503, 400:
						refused.Add(1)
					default:
						silent.Add(1)
					}
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
	}
	served, late, known := 0, 0, 0
	for time.Since(begun) < 45*time.Second {
		r := c.call(c.edges[0], "POST", "/work/"+newID(), "k1", shortJob)
		phase := "after"
		if time.Since(begun) < floodSeconds*time.Second {
			phase = "during"
		}
		rec.printf("ordinary client, %s: %v; uncontrolled: %d accepted, %d refused, %d without answer; cores %d %d %d MB", phase, r,
			accepted.Load(), refused.Load(), silent.Load(), c.cores[0].memoryMB(), c.cores[1].memoryMB(), c.cores[2].memoryMB())
		if phase == "after" {
			late++
			if r.status == 200 {
				served++
			}
			if r := c.call(c.edges[1], "GET", "/work/"+kept, "k1", ""); r.status == 200 {
				known++
			} else {
				rec.printf("ordinary client asks for the job accepted before: %v", r)
			}
		}
		time.Sleep(time.Second)
	}
	clients.Wait()
	close(stop)
	platform.Wait()
	rec.printf("%d times a process of the core was over its memory, %d times one ended by itself", killed.Load(), ended.Load())
	rec.printf("ordinary client after the flood: %d of %d jobs accepted, %d of %d calls for the job accepted before answered", served, late, known, late)
	return killed.Load() == 0 && ended.Load() == 0 && served > 0 && known > 0
}
