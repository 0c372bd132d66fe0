package httpapi

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/labstack/echo/v5"

	"magnoliastand.example/jobs"
)

// fakeService is a Service on a local state with a clock set by the test.
type fakeService struct {
	Service
	now     jobs.Millis
	state   *jobs.State
	entries int
	waits   int
}

func (f *fakeService) Propose(_ context.Context, changes ...jobs.Change) (jobs.Result, error) {
	f.entries++
	return f.state.Apply(jobs.Command{At: f.now, Changes: changes, Rules: jobs.CurrentRules}), nil
}

func (f *fakeService) Read(context.Context) (*jobs.View, error) { return f.state.View().At(f.now), nil }

func (f *fakeService) Watch() (*jobs.View, <-chan struct{}) {
	f.waits++
	return f.state.View(), make(chan struct{})
}

// TestLeaseReachesWorkerInTime checks that a heartbeat that renews the lease is
// answered without waiting, since the previous lease could expire meanwhile, and
// that other heartbeats are not written to the log and wait for commands.
func TestLeaseReachesWorkerInTime(t *testing.T) {
	f := &fakeService{now: 1_000, state: jobs.New()}
	e := echo.New()
	RegisterWorkers(e, f)
	beat := func(seq, wait string) string {
		body := `{"zone":"z","rack":"r","pool":"p","capacity":{"processors":1},"slots":1,"incarnation":"1","seq":` + seq + `,"wait":"` + wait + `"}`
		w := httptest.NewRecorder()
		e.ServeHTTP(w, httptest.NewRequest(http.MethodPut, "/v1/workers/w1", strings.NewReader(body)))
		return w.Body.String()
	}
	for _, c := range []struct {
		after          jobs.Millis
		seq, wait      string
		entries, waits int
		lease          string
	}{
		{0, "1", "5s", 1, 0, `"lease":"19.8s"`},
		{jobs.LeaseRenewalAge, "2", "1ms", 1, 1, `"lease":"10.8s"`},
		{1, "3", "5s", 2, 1, `"lease":"19.8s"`},
		{1, "3", "1ms", 2, 2, `"lease":"19.799s"`},
	} {
		f.now += c.after
		answer := beat(c.seq, c.wait)
		if f.entries != c.entries || f.waits != c.waits || !strings.Contains(answer, c.lease) {
			t.Fatalf("heartbeat %s: %d entries, %d waits, answer %s", c.seq, f.entries, f.waits, answer)
		}
	}
	left := jobs.LeaseDuration - jobs.DriftMargin - jobs.LeaseRenewalAge - jobs.Millis(MaxWait.Milliseconds())
	if left < 5_000 {
		t.Fatalf("a worker has %d ms left for the call that renews its lease, want at least 5000", left)
	}
}

// A change with text that isn't UTF-8 can't be decoded from the log. Concurrent
// changes share an entry, and all of them were refused with it.
func TestPathOutsideUTF8IsNotProposed(t *testing.T) {
	f := &fakeService{now: 1_000, state: jobs.New()}
	e := echo.New()
	RegisterWorkers(e, f)
	RegisterSubmitters(e, f)
	for _, r := range []struct{ method, path, body string }{
		{http.MethodPut, "/v1/workers/%FF", `{"zone":"z","rack":"r","pool":"p","capacity":{"processors":1},"slots":1,"incarnation":"1","seq":1}`},
		{http.MethodPost, "/v1/workers/w1/tasks/%FF", `{"epoch":1,"outcome":"succeeded"}`},
		{http.MethodPost, "/v1/workers/%FF/tasks/t", `{"epoch":1,"outcome":"succeeded"}`},
		{http.MethodDelete, "/v1/jobs/%FF", ``},
	} {
		w := httptest.NewRecorder()
		e.ServeHTTP(w, httptest.NewRequest(r.method, r.path, strings.NewReader(r.body)))
		if w.Code != http.StatusBadRequest || !strings.Contains(w.Body.String(), `"field":"path"`) {
			t.Errorf("%s %s: %d %s", r.method, r.path, w.Code, w.Body)
		}
	}
	if f.entries > 0 {
		t.Errorf("%d entries proposed", f.entries)
	}
}

// TestOutcomeWithInvalidDetailsEndsTask guards against a second run of a job that is
// not idempotent: a worker drops the task once its outcome is answered, and a job that
// is still assigned then is started again.
func TestOutcomeWithInvalidDetailsEndsTask(t *testing.T) {
	for name, details := range map[string]string{
		"negative use":        `"used":{"processors":-1}`,
		"use too large":       `"used":{"memory_mb":1073741825}`,
		"negative run time":   `"run_time":"-1s"`,
		"reference too large": `"reference":"` + strings.Repeat("AAAA", jobs.MaxPayload/3+1) + `"`,
	} {
		t.Run(name, func(t *testing.T) {
			f := &fakeService{now: 1_000, state: jobs.New()}
			e := echo.New()
			RegisterWorkers(e, f)
			call := func(method, path, body string) string {
				w := httptest.NewRecorder()
				e.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
				return w.Body.String()
			}
			beat := func(seq string) string {
				return call(http.MethodPut, "/v1/workers/w1",
					`{"zone":"z","rack":"r","pool":"p","capacity":{"processors":1},"slots":1,"incarnation":"1","seq":`+seq+`,"wait":"1ms"}`)
			}
			beat("1")
			r, _ := f.Propose(t.Context(),
				jobs.Change{Submit: &jobs.Submit{ID: ":once", Spec: jobs.Spec{Pool: "p", RunTime: 1, Size: jobs.Size{Processors: 1}}}},
				jobs.Change{Assign: &jobs.Assign{ID: ":once", Worker: "w1"}})
			if r.Changes[1].Refused != "" || !strings.Contains(beat("2"), `"start"`) {
				t.Fatalf("the job was not started: %+v", r.Changes)
			}
			answer := call(http.MethodPost, "/v1/workers/w1/tasks/:once", `{"epoch":1,"outcome":"succeeded",`+details+`}`)
			if again := beat("3"); strings.Contains(again, `"start"`) {
				t.Errorf("started again after the outcome was answered with %s: %s", answer, again)
			}
			if j := f.state.View().Job(":once"); j.State != jobs.Succeeded {
				t.Errorf("the job is %s", j.State)
			}
		})
	}
}

// TestNewIncarnationConfirms guards against a delayed heartbeat of a process that has
// ended displacing its successor: an incarnation gets a lease with the heartbeat that
// tells the epoch of the reply to its first one.
func TestNewIncarnationConfirms(t *testing.T) {
	f := &fakeService{now: 1_000, state: jobs.New()}
	e := echo.New()
	RegisterWorkers(e, f)
	for _, c := range []struct{ incarnation, seq, epoch, want string }{
		{"1", "1", "0", `{"lease":"19.8s","lease_epoch":1,"commands":[]}`},
		{"3", "1", "0", `{"lease":"0s","lease_epoch":2,"commands":[]}`},
		{"1", "2", "1", `{"lease":"19.8s","lease_epoch":1,"commands":[]}`},
		{"3", "2", "2", `{"lease":"19.8s","lease_epoch":2,"commands":[]}`},
		{"2", "1", "0", `{"lease":"0s","lease_epoch":3,"commands":[]}`},
		{"3", "3", "2", `{"lease":"19.8s","lease_epoch":2,"commands":[]}`},
		{"1", "3", "1", `"status":409`},
	} {
		body := `{"zone":"z","rack":"r","pool":"p","capacity":{"processors":1},"slots":1,"incarnation":"` + c.incarnation +
			`","seq":` + c.seq + `,"lease_epoch":` + c.epoch + `,"wait":"1ms"}`
		w := httptest.NewRecorder()
		e.ServeHTTP(w, httptest.NewRequest(http.MethodPut, "/v1/workers/w1", strings.NewReader(body)))
		if got := strings.TrimSpace(w.Body.String()); !strings.Contains(got, c.want) {
			t.Errorf("incarnation %s heartbeat %s: got %s, want %s", c.incarnation, c.seq, got, c.want)
		}
	}
}

// TestInvalidUseKeepsLease guards against a job that takes worker after worker out of
// service: the invalid use that a worker reports for one task must not cost it the lease
// for all of them.
func TestInvalidUseKeepsLease(t *testing.T) {
	f := &fakeService{now: 1_000, state: jobs.New()}
	e := echo.New()
	RegisterWorkers(e, f)
	for n, used := range []string{`{"processors":1}`, `{"processors":-9}`, `{"memory_mb":1073741825}`} {
		f.now += jobs.LeaseRenewalAge + 1
		body := `{"zone":"z","rack":"r","pool":"p","capacity":{"processors":1},"slots":1,"incarnation":"1","wait":"1ms","seq":` +
			strconv.Itoa(n+1) + `,"tasks":[{"task":":x","epoch":1,"state":"running","used":` + used + `}]}`
		w := httptest.NewRecorder()
		e.ServeHTTP(w, httptest.NewRequest(http.MethodPut, "/v1/workers/w1", strings.NewReader(body)))
		if !strings.Contains(w.Body.String(), `"lease":"19.8s"`) {
			t.Errorf("use %s: got %s", used, w.Body)
		}
		_, _ = f.Propose(t.Context(),
			jobs.Change{Submit: &jobs.Submit{ID: ":x", Spec: jobs.Spec{Pool: "p", RunTime: 1, Size: jobs.Size{Processors: 1}}}},
			jobs.Change{Assign: &jobs.Assign{ID: ":x", Worker: "w1"}})
	}
}

// TestStartIsWithheldInEvacuatedZone guards against a start of an assignment that was
// committed before the evacuation of the worker's zone, and against a command that stops
// a task there.
func TestStartIsWithheldInEvacuatedZone(t *testing.T) {
	state := jobs.New()
	apply := func(changes ...jobs.Change) {
		t.Helper()
		for _, r := range state.Apply(jobs.Command{At: 1_000, Changes: changes, Rules: jobs.CurrentRules}).Changes {
			if r.Refused != "" {
				t.Fatal(r)
			}
		}
	}
	heartbeat := &jobs.Heartbeat{
		Worker: "w", Zone: "oita", Rack: "r", Pool: "p", Capacity: jobs.Size{Processors: 9}, Slots: 9, Incarnation: "1", Seq: 1,
	}
	spec := jobs.Spec{Pool: "p", Size: jobs.Size{Processors: 1}, RunTime: 1}
	apply(jobs.Change{SetTeams: &jobs.SetTeams{Teams: []jobs.Team{{Name: "a", Share: 1, Limit: 9}}}},
		jobs.Change{Heartbeat: heartbeat},
		jobs.Change{Submit: &jobs.Submit{ID: "a:runs", Team: "a", Spec: spec}}, jobs.Change{Assign: &jobs.Assign{ID: "a:runs", Worker: "w"}},
		jobs.Change{Submit: &jobs.Submit{ID: "a:waits", Team: "a", Spec: spec}}, jobs.Change{Assign: &jobs.Assign{ID: "a:waits", Worker: "w"}})
	commands := func() string {
		var out []string
		for _, c := range Commands(state.View(), "w", []Task{{ID: "a:runs", Epoch: 1, State: TaskRunning}}) {
			out = append(out, string(c.Command)+" "+c.Task)
		}
		return strings.Join(out, ", ")
	}
	for _, c := range []struct {
		evacuated []string
		want      string
	}{
		{nil, "renew a:runs, start a:waits"},
		{[]string{"oita"}, "renew a:runs, withdraw a:waits"},
		{[]string{"fukuoka"}, "renew a:runs, start a:waits"},
	} {
		state.SetEvacuatedZones(c.evacuated)
		if got := commands(); got != c.want {
			t.Errorf("evacuated %v: commands %s, want %s", c.evacuated, got, c.want)
		}
	}
}

// TestWithdrawnTaskCountsAsNotStarted guards against a job that is not idempotent and
// fails, because a heartbeat listed its withdrawn task before the outcome arrived, and
// against a start in the reply to that heartbeat: the worker may drop the task meanwhile.
func TestWithdrawnTaskCountsAsNotStarted(t *testing.T) {
	f := &fakeService{now: 1_000, state: jobs.New()}
	e := echo.New()
	RegisterWorkers(e, f)
	call := func(method, path, body string) string {
		w := httptest.NewRecorder()
		e.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
		return w.Body.String()
	}
	beat := func(seq, tasks string) string {
		return call(http.MethodPut, "/v1/workers/w", `{"zone":"z","rack":"r","pool":"p","capacity":{"processors":1},"slots":1,"incarnation":"1","seq":`+seq+`,"tasks":[`+tasks+`]}`)
	}
	beat("1", "")
	f.state.Apply(jobs.Command{At: f.now, Rules: jobs.CurrentRules, Changes: []jobs.Change{
		{SetTeams: &jobs.SetTeams{Teams: []jobs.Team{{Name: "a", Share: 1, Limit: 9}}}},
		{Submit: &jobs.Submit{ID: "a:1", Team: "a", Spec: jobs.Spec{Pool: "p", Size: jobs.Size{Processors: 1}, RunTime: 1}}},
		{Assign: &jobs.Assign{ID: "a:1", Worker: "w"}},
	}})
	f.state.SetEvacuatedZones([]string{"z"})
	if answer := beat("2", ""); !strings.Contains(answer, `"command":"withdraw"`) {
		t.Fatal(answer)
	}
	f.state.SetEvacuatedZones(nil)
	if answer := beat("3", `{"task":"a:1","epoch":1,"state":"not-started"}`); !strings.Contains(answer, `"commands":[]`) {
		t.Fatal(answer)
	}
	if answer := call(http.MethodPost, "/v1/workers/w/tasks/a:1", `{"epoch":1,"outcome":"not-started"}`); !strings.Contains(answer, `"accepted"`) {
		t.Fatal(answer)
	}
	if j := f.state.View().Job("a:1"); j.MayHaveRun {
		t.Fatalf("the job counts as started: %+v", j.History)
	}
}
