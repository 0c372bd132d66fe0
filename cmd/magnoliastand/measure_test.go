package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"magnoliastand.example/standin"
)

// envProfiles names a folder for CPU profiles of the daemons.
const envProfiles = "MAGNOLIASTAND_PROFILES"

// Fixed parameters of the measurements.
const (
	measureRun = 5 * time.Millisecond
	// halfLoad is half of what 2 endpoints with 8 slots give at 5 ms a request.
	halfLoad = 1600
)

var fixedRun = standin.Delay{Min: measureRun, Max: measureRun}

// BenchmarkAddedLatency compares requests through a daemon of the same zone
// with direct calls of the same endpoints, at half load, in one run. Run it
// with -benchtime 1x.
func BenchmarkAddedLatency(b *testing.B) {
	c := newCluster(b, []string{"fukuoka"}, 3)
	c.setUp(20)
	c.startEndpoints(2, fixedRun)
	var endpoints []string
	for _, e := range c.endpoints {
		endpoints = append(endpoints, e.Address())
	}
	streams := []standin.Stream{{Queue: "quote", Idempotent: true, Weight: 1, BodyBytes: 200}}
	for b.Loop() {
		c.load(standin.CallerConfig{Daemons: c.callers(), Streams: streams, Rate: halfLoad, Duration: time.Second, Seed: 9})()
		if dir := os.Getenv(envProfiles); dir != "" {
			for _, m := range c.members {
				go c.profile(m, 5*time.Second, filepath.Join(dir, m.name+".prof"))
			}
		}
		before := c.processorTime()
		through := c.load(standin.CallerConfig{Daemons: c.callers(), Streams: streams, Rate: halfLoad, Duration: 8 * time.Second, Seed: 1})()
		used := c.processorTime() - before
		direct := c.load(standin.CallerConfig{Daemons: endpoints, Direct: true, IDs: standin.IDOwn, Streams: streams, Rate: halfLoad, Duration: 8 * time.Second, Seed: 1})()
		s := standin.Summarize(through.Outcomes)
		if s.Answered == 0 || s.Wrong > 0 {
			b.Fatalf("outcomes %+v", s)
		}
		for _, q := range []float64{50, 99, 99.9} {
			through, direct := through.Latency.ValueAtQuantile(q), direct.Latency.ValueAtQuantile(q)
			b.ReportMetric(float64(through-direct), fmt.Sprintf("added-p%g-us", q))
			b.ReportMetric(float64(direct), fmt.Sprintf("direct-p%g-us", q))
		}
		b.ReportMetric(float64(s.Answered)/used.Seconds(), "requests/core-s")
		b.ReportMetric(float64(s.Refused+s.Unknown+s.Lost), "not-answered")
	}
}

// BenchmarkOverload asks five times the slots' rate for 10 s.
func BenchmarkOverload(b *testing.B) {
	c := newCluster(b, []string{"fukuoka"}, 3)
	c.setUp(20)
	c.startEndpoints(2, standin.Delay{Min: 50 * time.Millisecond, Max: 50 * time.Millisecond})
	const capacity = 2 * 8 * 20 // requests a second
	streams := []standin.Stream{{Queue: "quote", Idempotent: true, Weight: 1, BodyBytes: 200}}
	for b.Loop() {
		before := c.memory()
		r := c.load(standin.CallerConfig{
			Daemons: c.callers(), Streams: streams, Rate: 5 * capacity, Duration: 10 * time.Second,
			Timeout: time.Second, MaxOutstanding: 8192, Seed: 1,
		})()
		s := standin.Summarize(r.Outcomes)
		var refusals []time.Duration
		for _, o := range r.Outcomes {
			if o.Kind == standin.OutcomeRefused {
				refusals = append(refusals, o.Latency)
			}
		}
		sort.Slice(refusals, func(i, j int) bool { return refusals[i] < refusals[j] })
		b.ReportMetric(100*float64(s.Answered)/r.Elapsed.Seconds()/capacity, "goodput-%")
		b.ReportMetric(float64(s.Refused), "refused")
		b.ReportMetric(float64(s.Unknown+s.Lost+r.Skipped), "unknown-or-lost")
		if len(refusals) > 0 {
			b.ReportMetric(float64(refusals[len(refusals)/2].Microseconds()), "refusal-p50-us")
			b.ReportMetric(float64(refusals[len(refusals)*99/100].Microseconds()), "refusal-p99-us")
		}
		b.ReportMetric(float64(c.memory()-before)/1024/float64(len(c.members)), "growth-KB/daemon")
	}
}

// BenchmarkFailover kills a zone's arbiter or the leader of the control log
// under load, and reports the longest time from arrival to answer at the other
// daemons of the zone.
func BenchmarkFailover(b *testing.B) {
	for _, victim := range []string{"arbiter", "leader"} {
		b.Run(victim, func(b *testing.B) {
			c := newCluster(b, testZones, 3)
			key := c.setUp(40)
			c.startEndpoints(2, fixedRun)
			for b.Loop() {
				c.failover(b, key, victim)
			}
		})
	}
}

func (c *cluster) failover(b *testing.B, key, victim string) {
	s, ok := c.status(c.member("oita-3"))
	if !ok {
		b.Fatal("oita-3 does not answer")
	}
	target := c.member(s.Arbiter)
	if victim == "leader" {
		target = c.member(s.Leader)
	}
	var others []string
	for _, m := range c.members {
		if m.zone == target.zone && m != target {
			others = append(others, m.callers)
		}
	}
	wait := c.load(standin.CallerConfig{Daemons: others, Rate: 300, Duration: 6 * time.Second, Seed: 1, Streams: []standin.Stream{
		{Queue: "walk-in", Weight: 1, BodyBytes: 200},
		{Queue: "reserve", Key: key, Weight: 1, BodyBytes: 200},
	}})
	time.Sleep(2 * time.Second)
	c.kill(target)
	r := wait()
	sum := standin.Summarize(r.Outcomes)
	codes := map[string]int{}
	for _, o := range r.Outcomes {
		if o.Kind == standin.OutcomeRefused {
			codes[o.Queue+" "+string(o.Code)+" "+o.Detail]++
		}
	}
	b.Logf("refusals: %v", codes)
	b.ReportMetric(float64(r.Latency.Max())/1000, "longest-ms")
	b.ReportMetric(float64(r.Latency.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(float64(sum.Refused), "refused")
	b.ReportMetric(float64(sum.Unknown+sum.Lost), "unknown-or-lost")
	c.check(r)
	c.start(target)
	c.awaitReady(1)
	c.awaitControlledArbiters()
}

// BenchmarkIdleControl reports what control costs an idle daemon, by the number
// of daemons in three zones.
func BenchmarkIdleControl(b *testing.B) {
	const span = 10 * time.Second
	for _, perZone := range []int{1, 2, 4, 8} {
		b.Run(fmt.Sprintf("daemons=%d", 3*perZone), func(b *testing.B) {
			c := newCluster(b, testZones, perZone)
			c.setUp(20)
			for b.Loop() {
				time.Sleep(2 * time.Second)
				cpu, sent := c.processorTime(), c.metric("magnoliastand_peer_sent_bytes_total")
				time.Sleep(span)
				n := float64(len(c.members))
				worst := 0.0
				for name, after := range c.metric("magnoliastand_peer_sent_bytes_total") {
					worst = max(worst, (after-sent[name])/span.Seconds())
				}
				b.ReportMetric(100*(c.processorTime()-cpu).Seconds()/span.Seconds()/n, "core-%/daemon")
				b.ReportMetric(worst, "worst-sent-B/s")
				b.ReportMetric(sum(c.metric("magnoliastand_peer_sent_bytes_total"), sent)/span.Seconds()/n, "sent-B/s/daemon")
				b.ReportMetric(float64(c.memory())/n/(1<<20), "rss-MB/daemon")
			}
		})
	}
}

func sum(after, before map[string]float64) float64 {
	total := 0.0
	for name, v := range after {
		total += v - before[name]
	}
	return total
}

// BenchmarkSpread reports the time from sending a key withdrawal to its being
// in force on every daemon, by the number of daemons.
func BenchmarkSpread(b *testing.B) {
	const changes = 40
	for _, perZone := range []int{1, 2, 4, 8} {
		b.Run(fmt.Sprintf("daemons=%d", 3*perZone), func(b *testing.B) {
			c := newCluster(b, testZones, perZone)
			c.setUp(20)
			n := 0
			for b.Loop() {
				var times []time.Duration
				for range changes {
					n++
					start := time.Now()
					c.mustOperator(c.members[n%len(c.members)], http.MethodPost,
						fmt.Sprintf("/v1/document?base=%d&operation=spread-%d&wait=10s", c.documentVersion(), n), c.document(20+n))
					times = append(times, time.Since(start))
				}
				sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
				b.ReportMetric(float64(times[changes/2].Milliseconds()), "p50-ms")
				b.ReportMetric(float64(times[changes-1].Milliseconds()), "max-ms")
			}
		})
	}
}

// processorTime returns the processor time that all daemons have used.
func (c *cluster) processorTime() time.Duration {
	c.t.Helper()
	const ticksPerSecond = 100
	total := 0
	for _, m := range c.members {
		b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", m.cmd.Process.Pid))
		if err != nil {
			c.t.Fatal(err)
		}
		_, rest, _ := strings.Cut(string(b), ") ")
		fields := strings.Fields(rest)
		for _, f := range fields[11:13] {
			n, err := strconv.Atoi(f)
			if err != nil {
				c.t.Fatal(err)
			}
			total += n
		}
	}
	return time.Duration(total) * time.Second / ticksPerSecond
}

// memory returns the resident memory of all daemons in bytes.
func (c *cluster) memory() int64 {
	c.t.Helper()
	total := int64(0)
	for _, m := range c.members {
		b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", m.cmd.Process.Pid))
		if err != nil {
			c.t.Fatal(err)
		}
		pages, err := strconv.ParseInt(strings.Fields(string(b))[1], 10, 64)
		if err != nil {
			c.t.Fatal(err)
		}
		total += pages * int64(os.Getpagesize())
	}
	return total
}

// metric returns a metric without labels of each daemon.
func (c *cluster) metric(name string) map[string]float64 {
	c.t.Helper()
	values := make(map[string]float64)
	for _, m := range c.members {
		_, b, err := c.operator(m, http.MethodGet, "/metrics", "")
		if err != nil {
			c.t.Fatal(err)
		}
		for line := range strings.Lines(string(b)) {
			if rest, ok := strings.CutPrefix(line, name+" "); ok {
				v, err := strconv.ParseFloat(strings.TrimSpace(rest), 64)
				if err != nil {
					c.t.Fatal(err)
				}
				values[m.name] = v
			}
		}
	}
	return values
}
