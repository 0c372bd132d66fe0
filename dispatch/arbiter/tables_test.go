package arbiter

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"magnoliastand.example/api"
	"magnoliastand.example/dispatch"
	"magnoliastand.example/dispatch/endpoint"
)

// unitLimiter is a Limiter that maps teams to their free units; teams not listed
// have no limit.
type unitLimiter map[string]int

func (l unitLimiter) Acquire(team string) bool {
	n, ok := l[team]
	if !ok {
		return true
	}
	if n <= 0 {
		return false
	}
	l[team] = n - 1
	return true
}

func (l unitLimiter) Adopt(team string, units int64) {
	if _, ok := l[team]; ok {
		l[team] -= int(units)
	}
}

func (l unitLimiter) Release(team string) {
	if _, ok := l[team]; ok {
		l[team]++
	}
}

// tableTest runs the commands of a test file against an arbiter and its
// successors.
type tableTest struct {
	t      *testing.T
	now    time.Time
	term   uint64
	doc    api.Document
	reg    *endpoint.Registry
	arb    *Arbiter
	limits unitLimiter
	grants map[string]dispatch.Grant
	latest api.Announcement
	// evacuated is set while the zone is evacuated.
	evacuated bool
}

func (tb *tableTest) reset(slots int) {
	tb.now = epoch
	tb.term = 0
	tb.evacuated = false
	tb.doc = testDocument(slots,
		api.Team{Name: "one", Share: 1}, api.Team{Name: "two", Share: 2}, api.Team{Name: "three", Share: 3})
	tb.doc.Services[0].Queues[1].MaxQueued = 4
	tb.reg = endpoint.NewRegistry(endpoint.Options{})
	tb.limits = make(unitLimiter)
	tb.grants = make(map[string]dispatch.Grant)
	tb.start(Recovery{OriginsComplete: true})
}

func (tb *tableTest) start(rec Recovery) {
	tb.term++
	opts := Options{Zone: "oita", Term: tb.term, Recovery: rec, Evacuated: tb.evacuated}
	tb.arb = New(tb.now, opts, NewConfig(tb.doc), tb.reg, tb.limits)
}

// field returns the value of key in a command, or def.
func field(d *datadriven.TestData, key, def string) string {
	for _, a := range d.CmdArgs {
		if a.Key == key && len(a.Vals) > 0 {
			return a.Vals[0]
		}
	}
	return def
}

func (tb *tableTest) number(d *datadriven.TestData, key string, def int) int {
	n, err := strconv.Atoi(field(d, key, strconv.Itoa(def)))
	if err != nil {
		tb.t.Fatal(err)
	}
	return n
}

func (tb *tableTest) duration(text string) time.Duration {
	v, err := time.ParseDuration(text)
	if err != nil {
		tb.t.Fatal(err)
	}
	return v
}

// first returns the first argument: a request id, a time or a name.
func first(d *datadriven.TestData) string { return d.CmdArgs[0].Key }

func (tb *tableTest) run(d *datadriven.TestData) string {
	switch d.Cmd {
	case "zone":
		tb.reset(tb.number(d, "slots", 8))
		return ""
	case "endpoint":
		a := announce(field(d, "incarnation", "1"), tb.number(d, "slots", 2))
		a.State = api.EndpointState(field(d, "state", "ready"))
		a.Running = tb.number(d, "running", 0)
		tb.latest = a
		mustAnnounce(tb.t, tb.reg, tb.now, first(d), a)
		return tb.show(tb.arb.Tick(tb.now))
	case "ask":
		return tb.ask(d)
	case "release":
		return tb.release(d)
	case "cancel":
		return tb.show(tb.arb.Cancel(tb.now, first(d), testOrigin("entry")))
	case "pass":
		out := ""
		for left := tb.duration(first(d)); left > 0; left -= simStep {
			tb.now = tb.now.Add(min(left, simStep))
			if d.HasArg("renewed") {
				mustAnnounce(tb.t, tb.reg, tb.now, field(d, "renewed", ""), tb.latest)
			}
			out += tb.show(tb.arb.Tick(tb.now))
		}
		return out
	case "limit":
		tb.limits[first(d)] = tb.number(d, "units", 0)
		return tb.show(tb.arb.LimitChanged(tb.now, first(d)))
	case "peer":
		sum := endpoint.ServiceSummary{Service: "counter", Endpoints: tb.number(d, "endpoints", 0), Free: tb.number(d, "free", 0)}
		return tb.show(tb.arb.ApplyPeerSummary(tb.now, endpoint.Summary{Zone: first(d), Services: []endpoint.ServiceSummary{sum}}))
	case "evacuate", "restore":
		tb.evacuated = d.Cmd == "evacuate"
		return tb.show(tb.arb.SetEvacuated(tb.now, tb.evacuated))
	case "lose":
		return tb.show(tb.arb.OriginLost(tb.now, testOrigin(first(d))))
	case "succeed":
		tb.start(Recovery{
			Origins:         []dispatch.DaemonID{testOrigin("entry"), testOrigin("other")},
			OriginsComplete: true,
			// Same as in testDocument.
			LongestRun: 10 * time.Second,
		})
		return ""
	case "declare":
		return tb.declare(d)
	case "stats":
		return fmt.Sprintf("%+v\n", tb.arb.Stats())
	}
	tb.t.Fatalf("unknown command %q", d.Cmd)
	return ""
}

func (tb *tableTest) ask(d *datadriven.TestData) string {
	ask := testAsk(first(d), field(d, "team", "one"), field(d, "queue", "quote"))
	if ask.Queue == "open" || field(d, "team", "one") == "none" {
		ask.Team = ""
	}
	ask.Patience = tb.duration(field(d, "patience", "5s"))
	ask.Hops = tb.number(d, "hops", 0)
	if ex := field(d, "exclude", ""); ex != "" {
		ask.Exclude = []string{ex}
	}
	return tb.show(tb.arb.Ask(tb.now, ask))
}

func (tb *tableTest) release(d *datadriven.TestData) string {
	outcomes := map[string]dispatch.Outcome{
		"answered": dispatch.OutcomeAnswered,
		"unknown":  dispatch.OutcomeUnknown,
		"unused":   dispatch.OutcomeUnused,
	}
	rel := dispatch.Release{
		Grant:   tb.grants[first(d)].ID,
		Outcome: outcomes[field(d, "outcome", "answered")],
	}
	return tb.show(tb.arb.Release(tb.now, rel))
}

// declare declares the grants of the requests listed in the holds argument.
func (tb *tableTest) declare(d *datadriven.TestData) string {
	decl := dispatch.Declaration{Origin: testOrigin(first(d))}
	for _, a := range d.CmdArgs[1:] {
		for _, id := range a.Vals {
			decl.Held = append(decl.Held, dispatch.HeldGrant{Grant: tb.grants[id], Started: true})
		}
	}
	return tb.show(tb.arb.Declare(tb.now, decl))
}

func (tb *tableTest) show(events []Event) string {
	var b strings.Builder
	for _, ev := range events {
		switch ev := ev.(type) {
		case Granted:
			tb.grants[ev.Grant.RequestID] = ev.Grant
			fmt.Fprintf(&b, "granted %s on %s\n", ev.Grant.RequestID, ev.Grant.Endpoint)
		case Refused:
			fmt.Fprintf(&b, "refused %s: %s, retry after %s\n", ev.RequestID, ev.Refusal.Error(), ev.Refusal.RetryAfter)
		case Forward:
			fmt.Fprintf(&b, "forward %s to %s, hops %d, patience %s\n", ev.Ask.RequestID, ev.Zone, ev.Ask.Hops, ev.Ask.Patience)
		case ForwardCancel:
			fmt.Fprintf(&b, "cancel %s at %s\n", ev.RequestID, ev.Zone)
		}
	}
	return b.String()
}

// TestTables runs the data-driven tests in testdata.
func TestTables(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		tb := &tableTest{t: t}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			tb.t = t
			return tb.run(d)
		})
	})
}
