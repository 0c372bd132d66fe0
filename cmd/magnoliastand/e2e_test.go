package main

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"magnoliastand.example/api"
	"magnoliastand.example/standin"
)

var testZones = []string{"fukuoka", "kumamoto", "oita"}

// quickRun is the run time of most stand-in work.
var quickRun = standin.Delay{Min: 2 * time.Millisecond, Mean: 5 * time.Millisecond, Max: 50 * time.Millisecond}

// streams returns one stream for each kind of queue.
func testStreams(key string) []standin.Stream {
	return []standin.Stream{
		{Queue: "quote", Idempotent: true, Weight: 2, BodyBytes: 200},
		{Queue: "walk-in", Weight: 1, BodyBytes: 200},
		{Queue: "reserve", Key: key, Weight: 2, BodyBytes: 200},
		{Queue: "reconcile", Key: key, Idempotent: true, Weight: 1, BodyBytes: 2000},
	}
}

// load starts a caller and returns a function that waits for its report.
func (c *cluster) load(cfg standin.CallerConfig) (wait func() *standin.Report) {
	c.t.Helper()
	caller, err := standin.NewCaller(cfg)
	if err != nil {
		c.t.Fatal(err)
	}
	done := make(chan *standin.Report, 1)
	go func() { done <- caller.Run(context.Background()) }()
	return func() *standin.Report { return <-done }
}

func (c *cluster) mixedLoad(key string, d time.Duration, ids standin.IDMode, seed uint64) (wait func() *standin.Report) {
	return c.load(standin.CallerConfig{
		Daemons:       c.callers(),
		Streams:       testStreams(key),
		IDs:           ids,
		Rate:          60,
		Duration:      d,
		ResendRefused: true,
		MaxSends:      8,
		Seed:          seed,
	})
}

// post sends one request to a daemon and returns its status, headers and problem.
func post(t testing.TB, address, queue, key string) (int, http.Header, api.Problem) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/queues/"+queue+"/requests", strings.NewReader("{}"))
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var p api.Problem
	if resp.StatusCode >= 400 {
		if err := json.NewDecoder(resp.Body).Decode(&p); err != nil {
			t.Fatalf("status %d without a problem document: %v", resp.StatusCode, err)
		}
	}
	return resp.StatusCode, resp.Header, p
}

// TestProcessesServe takes requests through all daemons and refuses bad ones.
func TestProcessesServe(t *testing.T) {
	c := newCluster(t, testZones, 2)
	key := c.setUp(20)
	c.startEndpoints(2, quickRun)
	s := c.check(c.mixedLoad(key, 5*time.Second, standin.IDNone, 1)())
	if s.Answered == 0 || s.Lost > 0 || s.Wrong > 0 || s.Unknown > 0 {
		t.Errorf("outcomes %+v", s)
	}
	for _, tc := range []struct {
		queue, key string
		status     int
		code       api.Code
	}{
		{"reserve", "", http.StatusUnauthorized, api.CodeKeyRequired},
		{"reserve", "mk_wrong", http.StatusUnauthorized, api.CodeKeyInvalid},
		{"no-such-queue", key, http.StatusNotFound, api.CodeUnknownQueue},
	} {
		status, header, p := post(t, c.members[3].callers, tc.queue, tc.key)
		if status != tc.status || p.Code != tc.code || p.Run != api.RunNot || header.Get(api.HeaderRun) != string(api.RunNot) {
			t.Errorf("%s with key %q: %d %+v", tc.queue, tc.key, status, p)
		}
	}
}

// TestArbiterFaults kills, freezes and stops the arbiter of a zone under load.
func TestArbiterFaults(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault func(c *cluster, m *member)
	}{
		{"kill", func(c *cluster, m *member) { c.kill(m) }},
		{"freeze", func(c *cluster, m *member) {
			c.signal(m, syscall.SIGSTOP)
			time.Sleep(4 * time.Second)
			c.signal(m, syscall.SIGCONT)
		}},
		{"stop", func(c *cluster, m *member) {
			if err := c.stop(m); err != nil {
				c.t.Errorf("graceful shutdown: %v", err)
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(t, testZones, 2)
			key := c.setUp(20)
			c.startEndpoints(2, quickRun)
			none := c.mixedLoad(key, 8*time.Second, standin.IDNone, 1)
			home := c.mixedLoad(key, 8*time.Second, standin.IDHome, 2)
			own := c.mixedLoad(key, 8*time.Second, standin.IDOwn, 3)
			time.Sleep(2 * time.Second)
			s, ok := c.status(c.member("kumamoto-2"))
			if !ok {
				t.Fatal("kumamoto-2 does not answer")
			}
			tc.fault(c, c.member(s.Arbiter))
			summary := c.check(none(), home(), own())
			if summary.Answered == 0 || summary.Wrong > 0 {
				t.Errorf("outcomes %+v", summary)
			}
		})
	}
}

// TestZoneCut cuts a zone off: it goes on with open queues, refuses keyed work
// truthfully, and takes keyed work again once the cut is mended.
func TestZoneCut(t *testing.T) {
	c := newCluster(t, testZones, 2)
	key := c.setUp(20)
	c.startEndpoints(2, quickRun)
	cutOff := c.member("oita-2")
	c.eventually("keyed work before the cut", func() bool {
		status, _, _ := post(t, cutOff.callers, "reserve", key)
		return status == http.StatusOK
	})
	mend := c.cutZone("oita")
	c.eventually("keyed work refused in the cut-off zone", func() bool {
		_, _, p := post(t, cutOff.callers, "reserve", key)
		return p.Code == api.CodeControlStale && p.Run == api.RunNot
	})
	open := c.load(standin.CallerConfig{
		Daemons:  c.callers("oita"),
		Streams:  testStreams(key)[:2],
		Rate:     40,
		Duration: 3 * time.Second,
		Seed:     1,
	})()
	if s := c.check(open); s.Answered == 0 || s.Unknown > 0 || s.Lost > 0 || s.Refused > 0 {
		t.Errorf("open queues in the cut-off zone: %+v", s)
	}
	mend()
	c.eventually("keyed work after the cut", func() bool {
		status, _, _ := post(t, cutOff.callers, "reserve", key)
		return status == http.StatusOK
	})
	c.check(c.mixedLoad(key, 2*time.Second, standin.IDHome, 2)())
}

// TestOperatorsRace lets two operators build on one version: one wins, the
// other is told the current version; a resend gets the first answer again.
func TestOperatorsRace(t *testing.T) {
	c := newCluster(t, testZones, 1)
	c.setUp(20)
	base := uintText(c.documentVersion())
	type answer struct {
		status int
		body   []byte
	}
	answers := make([]answer, len(c.members))
	var wg sync.WaitGroup
	for i, m := range c.members {
		wg.Go(func() {
			path := "/v1/document?base=" + base + "&operation=race-" + m.name
			status, b, err := c.operator(m, http.MethodPost, path, c.document(30+i))
			if err != nil {
				t.Error(err)
			}
			answers[i] = answer{status, b}
		})
	}
	wg.Wait()
	won := 0
	for i, a := range answers {
		path := "/v1/document?base=" + base + "&operation=race-" + c.members[i].name
		again, b, err := c.operator(c.members[(i+1)%len(c.members)], http.MethodPost, path, c.document(30+i))
		if err != nil || again != a.status {
			t.Errorf("resend of %s: %d %s %v, first answer %d", path, again, b, err, a.status)
		}
		if a.status == http.StatusOK {
			won++
			continue
		}
		var p api.Problem
		if json.Unmarshal(a.body, &p) != nil || p.Code != api.CodeConflict {
			t.Errorf("loser was told %d %s", a.status, a.body)
		}
	}
	if won != 1 {
		t.Errorf("%d operators won", won)
	}
}

// TestWithdrawnKey withdraws a key: it stops working on every daemon, also on
// one that is cut off.
func TestWithdrawnKey(t *testing.T) {
	c := newCluster(t, testZones, 2)
	key := c.setUp(20)
	c.startEndpoints(1, quickRun)
	for _, m := range c.members {
		c.eventually("key works on "+m.name, func() bool {
			status, _, _ := post(t, m.callers, "reserve", key)
			return status == http.StatusOK
		})
	}
	mend := c.cutZone("oita")
	defer mend()
	id, _, _ := strings.Cut(strings.TrimPrefix(key, "mk_"), "_")
	c.mustOperator(c.members[0], http.MethodDelete, "/v1/keys/"+id+"?operation=withdraw", "")
	withdrawn := time.Now()
	for _, m := range c.members {
		c.eventually("key refused on "+m.name, func() bool {
			status, _, p := post(t, m.callers, "reserve", key)
			return status != http.StatusOK && p.Run == api.RunNot
		})
	}
	t.Logf("refused everywhere after %s", time.Since(withdrawn).Round(time.Millisecond))
}

// TestRestartAfterChanges makes many changes, kills every process at once and
// starts them again: the configuration is the last accepted one.
func TestRestartAfterChanges(t *testing.T) {
	c := newCluster(t, testZones, 1)
	c.setUp(20)
	version := c.documentVersion()
	for i := range 100 {
		b := c.mustOperator(c.members[i%3], http.MethodPost,
			"/v1/document?base="+uintText(version)+"&operation=change-"+uintText(uint64(i)), c.document(20+i))
		var reply struct {
			Version uint64 `json:"document_version"`
		}
		if err := json.Unmarshal(b, &reply); err != nil || reply.Version <= version {
			t.Fatalf("change %d answered %s", i, b)
		}
		version = reply.Version
	}
	for _, m := range c.members {
		c.kill(m)
	}
	for _, m := range c.members {
		c.start(m)
	}
	c.awaitReady(version)
	s, _ := c.status(c.members[1])
	if s.Document != version {
		t.Errorf("document version %d after the restart, want %d", s.Document, version)
	}
	c.mustOperator(c.members[2], http.MethodPost, "/v1/document?base="+uintText(version)+"&operation=last", c.document(7))
}

// TestTeamLimit asks for much more than a team's limit in all zones at once,
// while an arbiter is killed, another is frozen and the limit is lowered: the
// endpoints never run more of the team at once than the limit.
func TestTeamLimit(t *testing.T) {
	const limit, lowered = 7, 3
	c := newCluster(t, testZones, 2)
	key := c.setUp(limit)
	slow := standin.Delay{Min: 20 * time.Millisecond, Mean: 60 * time.Millisecond, Max: 500 * time.Millisecond}
	c.startEndpoints(2, slow)
	wait := c.load(standin.CallerConfig{
		Daemons:  c.callers(),
		Streams:  []standin.Stream{{Queue: "reserve", Key: key, Weight: 1, BodyBytes: 50}},
		IDs:      standin.IDHome,
		Rate:     200,
		Duration: 8 * time.Second,
		Timeout:  2 * time.Second,
		MaxSends: 2,
		Seed:     1,
	})
	time.Sleep(2 * time.Second)
	s, ok := c.status(c.member("kumamoto-2"))
	if !ok {
		t.Fatal("kumamoto-2 does not answer")
	}
	c.kill(c.member(s.Arbiter))
	if s, ok = c.status(c.member("oita-2")); !ok {
		t.Fatal("oita-2 does not answer")
	}
	frozen := c.member(s.Arbiter)
	c.signal(frozen, syscall.SIGSTOP)
	time.Sleep(3 * time.Second)
	c.signal(frozen, syscall.SIGCONT)
	sum := c.check(wait())
	if sum.Answered == 0 {
		t.Error("nothing was answered")
	}
	if peak := c.meter.Peak("schools"); peak > limit || peak < 2 {
		t.Errorf("%d requests of the team ran at once, the limit is %d", peak, limit)
	}
	c.lowerLimit(key, lowered)
}

// lowerLimit lowers the limit of both teams and checks that, once what ran
// under the old one has ended, no more than the new one runs.
func (c *cluster) lowerLimit(key string, limit int) {
	c.t.Helper()
	path := "/v1/document?operation=lower&wait=5s&base=" + uintText(c.documentVersion())
	c.mustOperator(c.members[0], http.MethodPost, path, c.document(limit))
	time.Sleep(time.Second) // longer than any run of the stand-in endpoints
	c.meter.Reset()
	c.check(c.load(standin.CallerConfig{
		Daemons:  c.callers("fukuoka"),
		Streams:  []standin.Stream{{Queue: "reserve", Key: key, Weight: 1, BodyBytes: 50}},
		Rate:     100,
		Duration: 2 * time.Second,
		Timeout:  time.Second,
		Seed:     2,
	})())
	if peak := c.meter.Peak("schools"); peak > limit {
		c.t.Errorf("%d requests of the team ran at once under the lowered limit %d", peak, limit)
	}
}
