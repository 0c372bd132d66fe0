package origin

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"magnoliastand.example/api"
	"magnoliastand.example/dispatch"
	"magnoliastand.example/dispatch/record"
	"magnoliastand.example/invariant"
	"magnoliastand.example/standin"
)

// directPeers calls the record services of other daemons in the same process.
type directPeers map[string]*record.Service

func (p directPeers) Begin(_ context.Context, daemon string, r record.BeginRequest) (record.BeginReply, error) {
	return p[daemon].HandleBegin(r), nil
}

func (p directPeers) Finish(_ context.Context, daemon string, r record.FinishRequest) error {
	p[daemon].HandleFinish(r)
	return nil
}

func (p directPeers) Lookup(ctx context.Context, daemon string, r record.LookupRequest) (record.LookupReply, error) {
	return p[daemon].HandleLookup(ctx, r), nil
}

// cluster is three origins with replicated records and three endpoints.
type cluster struct {
	origins   []*Origin
	addresses []string
	endpoints []*standin.Endpoint
}

func newCluster(t *testing.T, faults standin.Faults) *cluster {
	c := &cluster{}
	var targets []string
	for i := range 3 {
		e, err := standin.StartEndpoint(t.Context(), standin.EndpointConfig{
			ID: fmt.Sprintf("e%d", i), Seed: uint64(i), RunTime: standin.Delay{Mean: 2 * time.Millisecond}, AnswerBytes: 2000,
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(e.Close)
		e.SetFaults(faults)
		c.endpoints = append(c.endpoints, e)
		targets = append(targets, e.Address())
	}
	slots := newFakeSlots(20, targets...)
	slots.longestRun = 200 * time.Millisecond
	peers := directPeers{}
	var members []record.Member
	for i := range 3 {
		members = append(members, record.Member{Name: fmt.Sprintf("d%d", i), Zone: fmt.Sprintf("z%d", i)})
	}
	for _, m := range members {
		self := dispatch.DaemonID{Name: m.Name, Incarnation: "i1"}
		service := record.New(record.Config{Self: self, Zone: m.Zone, FirstIncarnation: true, Peers: peers})
		service.SetMembers(members)
		peers[m.Name] = service
		o := New(Config{Self: self, Zone: m.Zone, Control: newFakeControl(), Records: service, Slots: slots})
		mux := http.NewServeMux()
		o.Register(mux)
		server := httptest.NewServer(mux)
		t.Cleanup(func() {
			server.Close()
			o.Close()
			service.Close()
		})
		c.origins = append(c.origins, o)
		c.addresses = append(c.addresses, strings.TrimPrefix(server.URL, "http://"))
	}
	return c
}

// run sends 300 requests in each ID mode and returns the violations found by the
// ledger. Callers time out early and resend to the next daemon.
func (c *cluster) run(t *testing.T) (standin.Summary, []standin.Violation) {
	ledger := standin.NewLedger()
	var outcomes []standin.Outcome
	for i, mode := range []standin.IDMode{standin.IDNone, standin.IDHome, standin.IDOwn} {
		caller, err := standin.NewCaller(standin.CallerConfig{
			Daemons: c.addresses, IDs: mode, Rate: 600, Duration: 500 * time.Millisecond, Seed: uint64(i + 1),
			CallTimeout: 20 * time.Millisecond, MaxSends: 8, ResendRefused: true, ResendPause: 5 * time.Millisecond,
			Streams: []standin.Stream{
				{Queue: "book", Key: testKey, Weight: 2, BodyBytes: 300},
				{Queue: "quote", Key: testKey, Weight: 1, Idempotent: true, BodyBytes: 30},
				{Queue: "open", Weight: 1},
			},
		})
		if err != nil {
			t.Fatal(err)
		}
		outcomes = append(outcomes, caller.Run(t.Context()).Outcomes...)
	}
	for _, o := range c.origins {
		if aborted := o.Drain(t.Context()); aborted != nil {
			t.Fatalf("aborted %v", aborted)
		}
	}
	for _, e := range c.endpoints {
		ledger.AddRuns(e.Runs())
	}
	ledger.AddOutcomes(outcomes)
	return standin.Summarize(outcomes), ledger.Check()
}

var mixedFaults = standin.Faults{
	Refuse: 0.05, Crossed: 0.05, Short: 0.05, Doubled: 0.05, Late: 0.05, LateBy: api.Duration(60 * time.Millisecond),
	Hang: 0.02, Cut: 0.05, Fail: 0.05,
}

func TestLoadWithFaults(t *testing.T) {
	summary, violations := newCluster(t, mixedFaults).run(t)
	t.Logf("%+v", summary)
	for _, v := range violations {
		t.Error(v)
	}
	if summary.Answered == 0 || summary.Unknown == 0 || summary.Resent == 0 {
		t.Fatalf("the run does not cover all outcomes: %+v", summary)
	}
}

// TestLoadWithoutResponseChecks runs the same load with one check disabled and
// expects the ledger to report violations.
func TestLoadWithoutResponseChecks(t *testing.T) {
	cases := map[string]struct {
		disabled disabledChecks
		rule     standin.Rule
	}{
		"request id":   {disabledChecks{responseID: true}, standin.RuleOwnAnswer},
		"response end": {disabledChecks{responseEnd: true}, standin.RuleOwnAnswer},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			old := invariant.SetSink(func(invariant.Breach) {})
			defer func() { invariant.SetSink(old) }()
			before := invariant.Count(invariant.WholeOwnAnswer)
			defer func() {
				if c.disabled.responseID && invariant.Count(invariant.WholeOwnAnswer) == before {
					t.Error("the invariant check reported no breach")
				}
			}()
			cluster := newCluster(t, mixedFaults)
			for _, o := range cluster.origins {
				o.client.disabled = c.disabled
			}
			_, violations := cluster.run(t)
			n := 0
			for _, v := range violations {
				if v.Rule == c.rule {
					n++
				}
			}
			t.Logf("%d violations of %s", n, c.rule)
			if n == 0 {
				t.Fatal("no violation found with the check disabled")
			}
		})
	}
}

// permissiveRecords permits every start.
type permissiveRecords struct{ *record.Service }

func (p permissiveRecords) Begin(context.Context, *record.Claim) record.Decision {
	return record.Decision{Verdict: record.Proceed}
}

func TestLoadWithoutRecords(t *testing.T) {
	cluster := newCluster(t, mixedFaults)
	for _, o := range cluster.origins {
		o.cfg.Records = permissiveRecords{o.cfg.Records.(*record.Service)}
	}
	_, violations := cluster.run(t)
	for _, v := range violations {
		if v.Rule == standin.RuleAtMostOnce {
			return
		}
	}
	t.Fatal("no violation found without records")
}
