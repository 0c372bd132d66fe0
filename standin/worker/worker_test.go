package worker

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"magnoliastand.example/api"
	"magnoliastand.example/clock/clocktest"
	"magnoliastand.example/jobs"
	"magnoliastand.example/jobs/httpapi"
)

// call sends a call of a submitter and decodes the answer into out.
func (s *system) call(method, path, key, operation, body string, out any) int {
	s.t.Helper()
	req, err := http.NewRequestWithContext(s.ctx, method, s.server.URL+path, bytes.NewReader([]byte(body)))
	if err != nil {
		s.t.Fatal(err)
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	req.Header.Set(httpapi.HeaderOperationID, operation)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		s.t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		s.t.Fatal(err)
	}
	http.DefaultClient.CloseIdleConnections()
	return resp.StatusCode
}

func (s *system) submit(operation, run, options string) httpapi.Job {
	s.t.Helper()
	var j httpapi.Job
	body := fmt.Sprintf(`{"queue":"q","pool":"p","size":{"processors":1000,"memory_mb":100},"run_time":%q%s}`, run, options)
	if code := s.call(http.MethodPost, "/v1/jobs", "key-a", operation, body, &j); code != http.StatusAccepted {
		s.t.Fatalf("submit %s: status %d", operation, code)
	}
	return j
}

func (s *system) job(operation string) httpapi.Job {
	s.t.Helper()
	var j httpapi.Job
	s.call(http.MethodGet, "/v1/jobs/"+operation, "key-a", "", "", &j)
	return j
}

func (s *system) wait(operation string, state jobs.JobState) httpapi.Job {
	s.t.Helper()
	var j httpapi.Job
	s.until(operation+" to be "+string(state), func() bool {
		j = s.job(operation)
		return j.State == state
	})
	return j
}

func TestJobsRunToTheirEnd(t *testing.T) {
	s := newSystem(t, 10)
	w := s.worker("w1", Behaviour{SizeFactor: 1.5})
	for n := range 6 {
		op := fmt.Sprint("job", n)
		first := s.submit(op, "2s", "")
		if again := s.submit(op, "2s", ""); again.SubmittedMS != first.SubmittedMS {
			t.Fatalf("the repeated submission gave %+v, the first %+v", again, first)
		}
	}
	for n := range 6 {
		if j := s.wait(fmt.Sprint("job", n), jobs.Succeeded); j.Run != api.RunDone || j.Used.Processors != 1_500 {
			t.Fatalf("got %+v", j)
		}
	}
	for id, n := range w.Stats().Starts {
		if n != 1 {
			t.Fatalf("%s started %d times", id, n)
		}
	}
	var list httpapi.JobList
	if s.call(http.MethodGet, "/v1/jobs?state=succeeded&limit=4", "key-a", "", "", &list); len(list.Jobs) != 4 || list.Next != "job3" {
		t.Fatalf("got %d jobs and next %q", len(list.Jobs), list.Next)
	}
}

func TestCancelStopsRunningJob(t *testing.T) {
	s := newSystem(t, 10)
	w := s.worker("w1", Behaviour{})
	s.submit("long", "10m", "")
	s.wait("long", jobs.Running)
	var j httpapi.Job
	for range 2 {
		if code := s.call(http.MethodDelete, "/v1/jobs/long", "key-a", "", "", &j); code != http.StatusOK {
			t.Fatalf("status %d", code)
		}
	}
	s.wait("long", jobs.Cancelled)
	var reply httpapi.CancellationReply
	s.submit("wave1", "10m", "")
	s.submit("wave2", "10m", "")
	s.call(http.MethodPost, "/v1/jobs/cancel", "key-a", "", `{"jobs":["wave1","none","long","wave2"]}`, &reply)
	if len(reply.Jobs) != 4 || reply.Jobs[1].State != "" || reply.Jobs[2].State != jobs.Cancelled {
		t.Fatalf("got %+v", reply)
	}
	s.wait("wave1", jobs.Cancelled)
	s.wait("wave2", jobs.Cancelled)
	if st := w.Stats(); st.Stops < 1 || st.Running != 0 {
		t.Fatalf("got %+v", st)
	}
}

func TestFrozenWorkerLosesItsLease(t *testing.T) {
	s := newSystem(t, 10)
	w := s.worker("w1", Behaviour{})
	s.submit("once", "10m", "")
	s.submit("again", "30s", `,"idempotent":true`)
	s.wait("once", jobs.Running)
	s.wait("again", jobs.Running)
	w.Freeze(60 * time.Second)
	if j := s.wait("once", jobs.Unknown); j.Run != api.RunUnknown {
		t.Fatalf("got %+v", j)
	}
	other := s.worker("w2", Behaviour{})
	s.wait("again", jobs.Succeeded)
	s.until("the frozen worker to wake", func() bool { return w.Stats().Lapses > 0 })
	if a, b := w.Stats().Starts["a:once"], other.Stats().Starts["a:once"]; a+b != 1 {
		t.Fatalf("the job that is not idempotent started %d+%d times", a, b)
	}
	if w.Stats().Running != 0 {
		t.Fatal("the worker ran tasks after its lease ended")
	}
}

func TestBadWorkerIsQuarantined(t *testing.T) {
	s := newSystem(t, 10)
	for n := range 3 {
		s.worker(fmt.Sprint("good", n), Behaviour{})
	}
	s.worker("bad", Behaviour{FailAll: true})
	round := 0
	s.until("the bad worker to be quarantined", func() bool {
		for n := range 8 {
			body := fmt.Sprintf(`{"queue":"q%d","pool":"p","size":{"processors":1000},"run_time":"1s","idempotent":true}`, n%3)
			var j httpapi.Job
			s.call(http.MethodPost, "/v1/jobs", "key-a", fmt.Sprintf("r%d-%d", round, n), body, &j)
		}
		round++
		v, _ := s.service.Read(s.ctx)
		w := v.Worker("bad")
		return w != nil && w.State == jobs.Quarantined
	})
	for r := range round {
		for n := range 8 {
			s.wait(fmt.Sprintf("r%d-%d", r, n), jobs.Succeeded)
		}
	}
}

// TestDeadlyJobIsParked guards against a job that crashes worker after worker: it is
// parked, which its view explains, and the jobs that ran beside it succeed.
func TestDeadlyJobIsParked(t *testing.T) {
	s := newSystem(t, 20)
	var workers []*Worker
	for n := range 4 {
		workers = append(workers, s.worker(fmt.Sprint("w", n), Behaviour{CrashQueue: "deadly", CrashTime: 3 * time.Second}))
	}
	for n := range 8 {
		s.submit(fmt.Sprint("good", n), "5s", `,"idempotent":true`)
	}
	var j httpapi.Job
	s.call(http.MethodPost, "/v1/jobs", "key-a", "bad",
		`{"queue":"deadly","pool":"p","size":{"processors":1000},"run_time":"2s","idempotent":true}`, &j)
	for n := range 8 {
		s.wait(fmt.Sprint("good", n), jobs.Succeeded)
	}
	j = s.wait("bad", jobs.Parked)
	crashes := 0
	for _, w := range workers {
		crashes += w.Stats().Crashes
	}
	if crashes < 2 || crashes > 3 || len(j.Crashes) != crashes || !strings.HasPrefix(j.Reason, "workers crashed under it: ") {
		t.Fatalf("%d crashes, got %+v", crashes, j)
	}
}

// TestUrgentJobTakesRoom fills the worker with idempotent work and expects the
// urgent job to run before that would have ended.
func TestUrgentJobTakesRoom(t *testing.T) {
	s := newSystem(t, 10)
	s.worker("w1", Behaviour{})
	for n := range 4 {
		s.submit(fmt.Sprint("fill", n), "20h", `,"idempotent":true`)
	}
	s.wait("fill2", jobs.Running)
	var j httpapi.Job
	s.call(http.MethodPost, "/v1/jobs", "key-a", "urgent",
		`{"queue":"u","pool":"p","size":{"processors":3000},"run_time":"1s","urgent":true}`, &j)
	j = s.wait("urgent", jobs.Succeeded)
	for _, r := range j.History {
		if r.Event == jobs.EventStarted {
			t.Logf("started %d ms of real time after its submission", (r.At-j.SubmittedMS)/speed)
		}
	}
}

func TestLeavingWorkerGetsNothing(t *testing.T) {
	s := newSystem(t, 10)
	w := s.worker("w1", Behaviour{})
	s.submit("first", "30s", "")
	s.wait("first", jobs.Running)
	w.Leave()
	s.until("the worker to drain", func() bool {
		v, _ := s.service.Read(s.ctx)
		return v.Worker("w1").State == jobs.Draining
	})
	s.submit("second", "1s", "")
	s.wait("first", jobs.Succeeded)
	if j := s.job("second"); j.State != jobs.Accepted || j.Run != api.RunNot {
		t.Fatalf("got %+v", j)
	}
}

func TestRefusedCalls(t *testing.T) {
	s := newSystem(t, 10)
	s.worker("w1", Behaviour{})
	s.until("the worker", func() bool { v, _ := s.service.Read(s.ctx); return v.Worker("w1") != nil })
	ok := `{"queue":"q","pool":"p","size":{"processors":1},"run_time":"1s"}`
	s.submit("used", "1s", "")
	for _, c := range []struct {
		name, method, path, key, operation, body string
		status                                   int
		code                                     api.Code
		field                                    string
	}{
		{"no key", "POST", "/v1/jobs", "", "x", ok, 401, api.CodeKeyRequired, ""},
		{"bad key", "POST", "/v1/jobs", "other", "x", ok, 401, api.CodeKeyInvalid, ""},
		{"no operation", "POST", "/v1/jobs", "key-a", "", ok, 400, api.CodeInvalidField, httpapi.HeaderOperationID},
		{"unknown field", "POST", "/v1/jobs", "key-a", "x", `{"colour":1}`, 400, api.CodeInvalidField, ""},
		{"wrong type", "POST", "/v1/jobs", "key-a", "x", `{"pool":1}`, 400, api.CodeInvalidField, "pool"},
		{"no pool", "POST", "/v1/jobs", "key-a", "x", `{"size":{"processors":1},"run_time":"1s"}`, 400, api.CodeInvalidField, "pool"},
		{"negative size", "POST", "/v1/jobs", "key-a", "x", `{"pool":"p","size":{"processors":-1},"run_time":"1s"}`, 400, api.CodeInvalidField, "size"},
		{"other content", "POST", "/v1/jobs", "key-a", "used", ok, 409, api.CodeRequestMismatch, ""},
		{"too large", "POST", "/v1/jobs", "key-a", "x", `{"queue":"` + strings.Repeat("x", 40_000) + `"}`, 413, api.CodeBodyTooLarge, ""},
		{"unknown job", "DELETE", "/v1/jobs/none", "key-a", "", "", 404, api.CodeNotFound, ""},
		{"other team's job", "GET", "/v1/jobs/used", "", "", "", 404, api.CodeNotFound, ""},
		{"long wait", "PUT", "/v1/workers/w9", "", "", `{"wait":"1h"}`, 400, api.CodeInvalidField, "wait"},
		{"no zone", "PUT", "/v1/workers/w9", "", "", `{"incarnation":"1"}`, 400, api.CodeInvalidField, "zone"},
		{"stale epoch", "POST", "/v1/workers/w1/tasks/a:used", "", "", `{"epoch":99,"outcome":"succeeded"}`, 409, api.Code(jobs.CodeStaleEpoch), ""},
	} {
		var p api.Problem
		if status := s.call(c.method, c.path, c.key, c.operation, c.body, &p); status != c.status || p.Code != c.code || p.Field != c.field {
			t.Errorf("%s: status %d and problem %+v", c.name, status, p)
		}
	}
	var j httpapi.Job
	if status := s.call(http.MethodPost, "/v1/jobs", "", "open1", strings.Replace(ok, `"q"`, `"open"`, 1), &j); status != http.StatusAccepted {
		t.Errorf("open queue: status %d", status)
	}
	s.call(http.MethodPost, "/v1/jobs", "key-a", "huge", strings.Replace(ok, `:1}`, `:5000}`, 1), &j)
	if j = s.wait("huge", jobs.Failed); j.Run != api.RunNot {
		t.Errorf("a job that fits nowhere: %+v", j)
	}
}

// TestLeaseCountsSuspension guards against a worker whose machine wakes up and goes on with tasks
// that have started elsewhere meanwhile.
func TestLeaseCountsSuspension(t *testing.T) {
	const d = 3 * time.Second
	w := New(Config{})
	before := w.cfg.Clock()
	clocktest.Suspend(d)
	if passed := w.cfg.Clock() - before; passed < d {
		t.Errorf("%s passed on the clock of the lease over a suspension of %s", passed, d)
	}
}
