package main

import (
	"strings"
	"time"
)

func quick(string, int64) (time.Duration, string) { return 300 * time.Millisecond, "done" }

// refused: the channel between an edge and the leader goes silent with the answer to a
// submission, and the tenant's key is replaced meanwhile.
func refused(s *stage) {
	s.begin(3, 2, 2, true, &config{version: 1, services: []string{"svc-a"}, routes: []route{{"r-a", "/a/", "svc-a", 3}},
		keys: map[string][]string{"t1": {"key-old-1"}, "t2": {"key-of-t2"}}}, quick)
	c := s.client("key-old-1")
	if a := c.do("POST", s.dep.front(s.dep.edges[0]), "/a/00000000000000a1", job("warm", 1, 300*time.Millisecond)); a.status != 200 {
		s.rec.finish(exitNotRun, "the first job was not accepted")
	}
	time.Sleep(time.Second)
	const id = "00000000000000b2"
	changed := make(chan answer, 1)
	change := func() {
		next := *s.cfg
		next.version, next.keys = 2, map[string][]string{"t1": {"key-new-1"}, "t2": {"key-of-t2"}}
		changed <- s.op.put(&next)
	}
	if s.trouble {
		s.trap.set(3500, func() { time.AfterFunc(50*time.Millisecond, change) })
	}
	a := c.do("POST", s.dep.front(s.dep.edges[0]), "/a/"+id, job(strings.Repeat("s", 3900), 1, 300*time.Millisecond))
	if !s.trouble {
		change()
	}
	select {
	case got := <-changed:
		if got.status != 200 {
			s.rec.finish(exitNotRun, "the change of the key got no confirmation")
		}
	case <-time.After(10 * time.Second):
		s.rec.finish(exitNotRun, "no channel went silent")
	}
	time.Sleep(2 * time.Second)
	begun := s.startsOf(id)
	s.rec.note("subtasks of %s that started: %d; the client's only attempt got %d", id, len(begun), a.status)
	rejected := a.status == 401 || a.status == 404 || a.status == 400 || a.status == 429 || a.status == 503
	if rejected && len(begun) > 0 {
		s.rec.finish(exitBroken, "REFUSED: the only attempt was rejected with %d, and a subtask started", a.status)
	}
	s.rec.finish(exitHeld, "held: answer %d, %d starts", a.status, len(begun))
}

// readded: a route is removed by one configuration and added again by the next while a job
// of it runs, whose subtask fails once of the three times that it may.
func readded(s *stage) {
	work := func(_ string, run int64) (time.Duration, string) {
		if run == 1 {
			return 3 * time.Second, "failed"
		}
		return time.Second, "done"
	}
	both := []route{{"r-a", "/a/", "svc-a", 3}, {"r-b", "/b/", "svc-a", 3}}
	s.begin(3, 2, 2, false, &config{version: 1, services: []string{"svc-a"}, routes: both, keys: map[string][]string{"t1": {"key-1"}}}, work)
	c := s.client("key-1")
	front := s.dep.front(s.dep.edges[0])
	const id = "00000000000000c3"
	if a := c.do("POST", front, "/a/"+id, job("work", 1, 3*time.Second)); a.status != 200 {
		s.rec.finish(exitNotRun, "the job was not accepted")
	}
	time.Sleep(500 * time.Millisecond)
	without, with := *s.cfg, *s.cfg
	without.version, with.version = 4, 9
	if s.trouble {
		without.routes = both[1:]
	}
	if a := s.op.put(&without); a.status != 200 {
		s.rec.finish(exitNotRun, "the second configuration got no confirmation")
	}
	time.Sleep(4 * time.Second) // the first run ends
	if a := s.op.put(&with); a.status != 200 {
		s.rec.finish(exitNotRun, "the third configuration got no confirmation")
	}
	time.Sleep(applyTime + 3*time.Second)
	a := c.do("GET", front, "/a/"+id, nil)
	failed := 0
	for _, st := range s.startsOf(id) {
		if st.how == "failed" {
			failed++
		}
	}
	s.rec.note("runs that ended failed: %d of 3 allowed; runs: %d", failed, len(s.startsOf(id)))
	if a.status == 200 && strings.Contains(string(a.body), `"failed"`) && failed < 3 {
		s.rec.finish(exitBroken, "LOST: the job is shown as failed after %d failed run, of 3 that its route allows", failed)
	}
	if a.status != 200 {
		s.rec.finish(exitNotRun, "the job's state got %d", a.status)
	}
	s.rec.finish(exitHeld, "held: %s", a.body)
}
