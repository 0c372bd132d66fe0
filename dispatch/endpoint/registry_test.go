package endpoint

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"magnoliastand.example/api"
	"magnoliastand.example/dispatch"
)

// The random tests use a fixed seed unless the rapid.seed flag is given.
var _ = flag.Set("rapid.seed", "1")

var startTime = time.Unix(1_000_000, 0)

// zone simulates the daemons of a zone, each with its own registry.
type zone struct {
	now          time.Time
	daemons      map[string]*Registry
	sentVersions map[string]uint64 // version of the last feed, by "sender receiver"
}

func newZone() *zone {
	z := &zone{now: startTime, daemons: make(map[string]*Registry), sentVersions: make(map[string]uint64)}
	for _, name := range []string{"a", "b", "c"} {
		z.daemons[name] = NewRegistry(Options{EjectAfter: 3})
	}
	return z
}

// feed merges the sender's changes since the last feed into the receiver.
func (z *zone) feed(from, to string) error {
	f := z.daemons[from].Changes(z.now, z.sentVersions[from+" "+to])
	z.sentVersions[from+" "+to] = f.Version
	return z.daemons[to].Merge(z.now, from, f)
}

func (z *zone) states(daemon string) string {
	var b strings.Builder
	for e := range z.daemons[daemon].All {
		fmt.Fprintf(&b, "%s %s incarnation=%s", e.ID, e.State, e.Announcement.Incarnation)
		if e.Probation {
			b.WriteString(" probation")
		}
		b.WriteByte('\n')
	}
	if b.Len() == 0 {
		return "none\n"
	}
	return b.String()
}

func arg(d *datadriven.TestData, key, def string) string {
	if !d.HasArg(key) {
		return def
	}
	var v string
	for _, a := range d.CmdArgs {
		if a.Key == key && len(a.Vals) > 0 {
			v = a.Vals[0]
		}
	}
	return v
}

func announcement(service, incarnation string, state api.EndpointState) api.Announcement {
	return api.Announcement{
		Service:     service,
		Instance:    "i1",
		Incarnation: incarnation,
		Address:     "10.0.0.1:80",
		State:       state,
		Slots:       8,
	}
}

// command runs one command of a script: announce, observe, feed, pass, restart,
// stall or states. The argument "on" names the daemon and defaults to a. pass
// advances the time in steps; stall advances it at once, as when the process is
// suspended.
func (z *zone) command(t *testing.T, d *datadriven.TestData) string {
	on := arg(d, "on", "a")
	id := arg(d, "id", "e1")
	switch d.Cmd {
	case "announce":
		a := announcement("quotes", arg(d, "incarnation", "1"), api.EndpointState(arg(d, "state", "ready")))
		a.Address = arg(d, "address", a.Address)
		if _, err := z.daemons[on].Announce(z.now, id, a); err != nil {
			return err.Error() + "\n"
		}
	case "observe":
		var times int
		d.ScanArgs(t, "failures", &times)
		for range times {
			z.daemons[on].Observe(z.now, id, "1", dispatch.OutcomeFailed)
		}
		if times == 0 {
			z.daemons[on].Observe(z.now, id, "1", dispatch.OutcomeAnswered)
		}
	case "feed":
		if err := z.feed(arg(d, "from", "a"), arg(d, "to", "b")); err != nil {
			return err.Error() + "\n"
		}
	case "pass":
		step, err := time.ParseDuration(d.CmdArgs[0].Key)
		if err != nil {
			t.Fatal(err)
		}
		z.advance(step)
	case "restart":
		name := d.CmdArgs[0].Key
		z.daemons[name] = NewRegistry(Options{EjectAfter: 3})
		for _, other := range []string{"a", "b", "c"} {
			delete(z.sentVersions, name+" "+other)
		}
	case "stall":
		step, err := time.ParseDuration(d.CmdArgs[0].Key)
		if err != nil {
			t.Fatal(err)
		}
		z.now = z.now.Add(step)
	case "states":
		return z.states(on)
	default:
		t.Fatalf("unknown command %q", d.Cmd)
	}
	return ""
}

func TestRegistryScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		z := newZone()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "zone" {
				z = newZone()
				return ""
			}
			return z.command(t, d)
		})
	})
}

func TestEvictsAbsentEndpointAtLimit(t *testing.T) {
	r := NewRegistry(Options{MaxEndpoints: 2})
	for _, id := range []string{"e1", "e2"} {
		if _, err := r.Announce(startTime, id, announcement("s", "1", api.EndpointReady)); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := r.Announce(startTime, "e3", announcement("s", "1", api.EndpointReady)); !errors.Is(err, ErrFull) {
		t.Fatalf("error %v, want %v", err, ErrFull)
	}
	later := startTime
	for later.Before(startTime.Add(DefaultLease)) {
		later = later.Add(DefaultReorder)
		r.Advance(later)
	}
	if _, err := r.Announce(later, "e3", announcement("s", "1", api.EndpointReady)); err != nil {
		t.Fatalf("lapsed endpoint was not evicted: %v", err)
	}
	if r.Len() != 2 {
		t.Fatalf("%d endpoints, want 2", r.Len())
	}
}

// TestFeedsConverge lets endpoints announce themselves to any of three daemons
// that exchange feeds in a random order. Once all feeds have been exchanged,
// every daemon has the latest announcement of each endpoint. Endpoints that stop
// announcing themselves lapse at every daemon.
func TestFeedsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		z := newZone()
		names := []string{"a", "b", "c"}
		name := rapid.SampledFrom(names)
		incarnations := map[string]int{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				id := rapid.SampledFrom([]string{"e1", "e2", "e3"}).Draw(t, "id")
				incarnations[id] += rapid.IntRange(0, 1).Draw(t, "restart")
				state := rapid.SampledFrom([]api.EndpointState{api.EndpointReady, api.EndpointLeaving}).Draw(t, "state")
				z.announce(t, name.Draw(t, "daemon"), id, incarnations[id], state)
			case 1:
				from, to := name.Draw(t, "from"), name.Draw(t, "to")
				if from != to {
					_ = z.feed(from, to)
				}
			default:
				z.advance(time.Duration(rapid.IntRange(1, 2000).Draw(t, "pass")) * time.Millisecond)
			}
		}
		// Four rounds of renewals, a third of a lease apart, each with all feeds.
		for range 4 {
			for _, id := range slices.Sorted(maps.Keys(incarnations)) {
				n := incarnations[id]
				z.announce(t, name.Draw(t, "daemon"), id, n, api.EndpointReady)
			}
			z.feedAll(t, names)
			z.advance(DefaultLease / renewalsPerLease)
			z.feedAll(t, names)
		}
		for id, n := range incarnations {
			for _, daemon := range names {
				e, _ := z.daemons[daemon].Get(id)
				if e.State != StateReady || e.Announcement.Incarnation != fmt.Sprint(n) {
					t.Fatalf("daemon %s has %s as %s of incarnation %s, want ready %d", daemon, id, e.State, e.Announcement.Incarnation, n)
				}
			}
		}
		// The endpoints stop announcing themselves while feeds continue.
		for range 12 {
			z.advance(time.Second)
			z.feedAll(t, names)
		}
		for _, daemon := range names {
			for e := range z.daemons[daemon].All {
				if e.State != StateLapsed {
					t.Fatalf("daemon %s has %s as %s without announcements, want lapsed", daemon, e.ID, e.State)
				}
			}
		}
	})
}

func (z *zone) announce(t *rapid.T, daemon, id string, incarnation int, state api.EndpointState) {
	z.now = z.now.Add(time.Millisecond)
	if _, err := z.daemons[daemon].Announce(z.now, id, announcement("s", fmt.Sprint(incarnation), state)); err != nil {
		t.Fatal(err)
	}
}

func (z *zone) advance(d time.Duration) {
	const step = 100 * time.Millisecond
	for ; d > 0; d -= step {
		z.now = z.now.Add(min(d, step))
		for _, r := range z.daemons {
			r.Advance(z.now)
		}
	}
}

func (z *zone) feedAll(t *rapid.T, names []string) {
	for _, from := range names {
		for _, to := range names {
			if from == to {
				continue
			}
			if err := z.feed(from, to); err != nil {
				t.Fatal(err)
			}
		}
	}
}

func BenchmarkRenewal1000(b *testing.B) {
	r := NewRegistry(Options{})
	a := announcement("s", "1", api.EndpointReady)
	ids := make([]string, 1000)
	for i := range ids {
		ids[i] = fmt.Sprint("e", i)
	}
	now := startTime
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		if _, err := r.Announce(now, ids[i%len(ids)], a); err != nil {
			b.Fatal(err)
		}
		r.Advance(now)
	}
}
