package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"magnoliastand.example/api"
	"magnoliastand.example/jobs"
	"magnoliastand.example/jobs/httpapi"
	"magnoliastand.example/standin"
	"magnoliastand.example/standin/worker"
)

// settle is the time after an evacuation in force on every daemon within which a request
// may still start there, by a grant made before.
const settle = time.Second

// commandLine runs a verb of the command line on a member and returns its output.
func (c *cluster) commandLine(m *member, args ...string) (string, error) {
	var out bytes.Buffer
	root := newRoot(&out, &out)
	n := 1
	if args[0] == "zone" {
		n = 2
	}
	flags := []string{"--server", "http://" + m.operators, "--operator-key", testOperatorKey}
	err := root.ParseAndRun(context.Background(), append(append(append([]string{}, args[:n]...), flags...), args[n:]...))
	return out.String(), err
}

// orderZone evacuates or restores a zone by the command line, again with the same
// operation until the order is in force on every daemon.
func (c *cluster) orderZone(m *member, order, zone string) {
	c.t.Helper()
	last := ""
	defer func() {
		if c.t.Failed() {
			c.t.Log(last)
		}
	}()
	c.eventually(order+" in force", func() bool {
		out, err := c.commandLine(m, "zone", order, "--wait", "10s", "--operation-id", order+"-"+zone, zone)
		last = fmt.Sprint(out, err)
		return err == nil
	})
}

// evacuatedEverywhere reports whether every running member has exactly the zones evacuated.
func (c *cluster) evacuatedEverywhere(zones ...string) bool {
	for _, m := range c.members {
		if m.cmd == nil {
			continue
		}
		s, ok := c.status(m)
		if !ok || len(s.EvacuatedZones) != len(zones) {
			return false
		}
		for n, z := range zones {
			if s.EvacuatedZones[n].Zone != z {
				return false
			}
		}
	}
	return true
}

// acceptedBy returns how many requests the endpoints accepted.
func acceptedBy(endpoints []*standin.Endpoint) int64 {
	n := int64(0)
	for _, e := range endpoints {
		n += e.Stats().Accepted
	}
	return n
}

// zoneLoad calls the daemons of a zone and returns what callers were told.
func (c *cluster) zoneLoad(key, zone string, seed uint64) standin.Summary {
	c.t.Helper()
	return c.check(c.load(standin.CallerConfig{
		Daemons: c.callers(zone), Streams: testStreams(key), IDs: standin.IDHome,
		Rate: 60, Duration: 2 * time.Second, ResendRefused: true, MaxSends: 8, Seed: seed,
	})())
}

// TestZoneEvacuation guards against requests and jobs that are started in an evacuated
// zone: after the order, over a new leader, and after a restart of every daemon. What runs
// there continues, callers of the zone's daemons are served by other zones, and the zone
// is used again after its restore.
func TestZoneEvacuation(t *testing.T) {
	const zone = "oita"
	c := newCluster(t, testZones, 2)
	key := c.setUp(20)
	doc := strings.Replace(c.document(20), "share: 3, limit: 20", "share: 3, limit: 20, job_limit: 8", 1)
	c.mustOperator(c.members[0], http.MethodPost, "/v1/document?operation=jobs&wait=10s&base="+uintText(c.documentVersion()), doc)
	var inZone []*standin.Endpoint
	for _, z := range testZones {
		for n := range 2 {
			if e := c.startEndpoint(fmt.Sprintf("%s-e%d", z, n+1), z, quickRun); z == zone {
				inZone = append(inZone, e)
			}
		}
	}
	entry := c.member("kumamoto-2")

	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	startWorker := func(zone string) *worker.Worker {
		w := worker.New(worker.Config{
			URL: "http://" + entry.callers, Key: testWorkerKey, ID: "w-" + zone, Zone: zone, Rack: "r1",
			Pool: "work", Incarnation: "1", Slots: 8, Wait: time.Second,
			Capacity: jobs.Size{Processors: 16_000, MemoryMB: 64 << 10},
		})
		wg.Go(func() { w.Run(ctx) })
		return w
	}
	submit := func(id string, runTime time.Duration) {
		c.submitJob(entry, key, id, httpapi.Submission{
			Pool: "work", Size: jobs.Size{Processors: 1_000, MemoryMB: 64}, RunTime: api.Duration(runTime),
		})
	}
	evacuated := startWorker(zone)
	submit("stays", 15*time.Second)
	c.eventually("a job runs in the zone", func() bool { return evacuated.Stats().Running == 1 })
	c.eventually("a request runs in the zone", func() bool {
		post(t, c.member(zone+"-2").callers, "quote", "")
		return acceptedBy(inZone) > 0
	})

	c.eventually("an unknown zone is refused", func() bool {
		out, err := c.commandLine(entry, "zone", "evacuate", "nowhere")
		if err == nil {
			t.Fatalf("an unknown zone was evacuated: %s", out)
		}
		return strings.Contains(err.Error(), string(api.CodeUnknownZone))
	})
	during := c.mixedLoad(key, 3*time.Second, standin.IDHome, 1)
	time.Sleep(time.Second)
	c.orderZone(entry, "evacuate", zone)
	if s := c.check(during()); s.Answered == 0 || s.Unknown > 0 || s.Lost > 0 {
		t.Errorf("requests during the evacuation: %+v", s)
	}
	c.eventually("the evacuation shown by every daemon", func() bool { return c.evacuatedEverywhere(zone) })
	if out, err := c.commandLine(entry, "status"); err != nil || !strings.Contains(out, `"evacuated_availability_zones": [`+"\n    {\n"+`      "availability_zone": "oita"`) {
		t.Errorf("status: %s %v", out, err)
	}
	time.Sleep(settle)
	accepted := acceptedBy(inZone)
	checkNothingStarts := func(when string, seed uint64) {
		t.Helper()
		if s := c.zoneLoad(key, zone, seed); s.Answered == 0 {
			t.Errorf("%s: callers of the zone's daemons were not served: %+v", when, s)
		}
		if n := acceptedBy(inZone) - accepted; n > 0 {
			t.Errorf("%s: %d requests started in the zone", when, n)
		}
		if n := len(evacuated.Stats().Starts); n != 1 {
			t.Errorf("%s: %d jobs started in the zone, want 1", when, n)
		}
	}
	submit("waits", time.Second)
	checkNothingStarts("after the evacuation", 2)
	waits := jobs.JobState("")
	c.eventually("the state of a job read", func() bool {
		waits = c.jobState(entry, key, "waits")
		return waits != ""
	})
	if waits != jobs.Accepted {
		t.Errorf("the job without a worker outside the zone is %q", waits)
	}
	startWorker("fukuoka")
	c.eventually("the job ran elsewhere", func() bool { return c.jobState(entry, key, "waits") == jobs.Succeeded })

	leaderName := ""
	c.eventually("a leader is known", func() bool {
		s, _ := c.status(entry)
		leaderName = s.Leader
		return leaderName != ""
	})
	leader := c.member(leaderName)
	c.kill(leader)
	for n := range 4 {
		submit(fmt.Sprintf("after-%d", n), 100*time.Millisecond)
	}
	checkNothingStarts("over a new leader", 3)
	c.start(leader)
	for _, m := range c.members {
		c.kill(m)
	}
	for _, m := range c.members {
		c.start(m)
	}
	c.awaitReady(c.documentVersion())
	c.eventually("the evacuation shown after a restart of every daemon", func() bool { return c.evacuatedEverywhere(zone) })
	c.eventually("a request of the zone's daemon is served elsewhere", func() bool {
		status, _, _ := post(t, c.member(zone+"-2").callers, "quote", "")
		return status == http.StatusOK
	})
	checkNothingStarts("after a restart", 4)
	c.eventually("the job in the zone succeeded", func() bool { return c.jobState(entry, key, "stays") == jobs.Succeeded })
	if st := evacuated.Stats(); st.Stops > 0 || st.Lapses > 0 || st.Starts[jobs.JobID("schools", "stays")] != 1 {
		t.Errorf("the worker in the zone: %+v", st)
	}

	c.orderZone(entry, "restore", zone)
	c.eventually("requests run in the zone again", func() bool {
		post(t, c.member(zone+"-2").callers, "quote", "")
		return acceptedBy(inZone) > accepted
	})
	c.eventually("the restore shown by every daemon", func() bool { return c.evacuatedEverywhere() })
}
