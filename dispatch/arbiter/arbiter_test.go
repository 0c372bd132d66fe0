package arbiter

import (
	"fmt"
	"testing"
	"time"

	"magnoliastand.example/api"
	"magnoliastand.example/dispatch"
	"magnoliastand.example/dispatch/endpoint"
)

// epoch is the start of simulated time in tests.
var epoch = time.Unix(1_000_000, 0)

// unlimited is a Limiter without limits.
type unlimited struct{}

func (unlimited) Acquire(string) bool { return true }
func (unlimited) Adopt(string, int64) {}
func (unlimited) Release(string)      {}

// testDocument returns a document that has the service "counter" with an open, a
// quick and a long queue.
func testDocument(slots int, teams ...api.Team) api.Document {
	return api.Document{
		Services: []api.Service{{
			Name:             "counter",
			SlotsPerEndpoint: slots,
			LongestRun:       api.Duration(10 * time.Second),
			Queues: []api.Queue{
				{Name: "open", Open: true},
				{Name: "quote"},
				{Name: "reconcile", Class: api.ClassLong, MaxWait: api.Duration(time.Minute)},
			},
		}},
		Teams: teams,
	}
}

// announce returns the announcement of an endpoint of "counter".
func announce(incarnation string, slots int) api.Announcement {
	return api.Announcement{
		Service:     "counter",
		Instance:    "instance",
		Incarnation: incarnation,
		Address:     "10.0.0.1:80",
		State:       api.EndpointReady,
		Slots:       slots,
	}
}

func testOrigin(name string) dispatch.DaemonID {
	return dispatch.DaemonID{Name: name, Incarnation: "1"}
}

func testAsk(id, team, queue string) dispatch.Ask {
	return dispatch.Ask{
		RequestID: id,
		Origin:    testOrigin("entry"),
		Queue:     queue,
		Team:      team,
		Patience:  5 * time.Second,
	}
}

// firstTermOptions returns the options of a zone's first arbiter.
func firstTermOptions() Options {
	return Options{Zone: "oita", Term: 1, Recovery: Recovery{OriginsComplete: true}}
}

func mustAnnounce(t testing.TB, reg *endpoint.Registry, now time.Time, id string, a api.Announcement) {
	t.Helper()
	if _, err := reg.Announce(now, id, a); err != nil {
		t.Fatal(err)
	}
}

// TestForwardOnce checks that an ask is forwarded only once. Without a hop limit,
// two zones that each have a summary with free slots of the other one forward the
// ask back and forth.
func TestForwardOnce(t *testing.T) {
	hops := func(mut mutations) int {
		zones := make(map[string]*Arbiter)
		for _, zone := range []string{"oita", "fukuoka"} {
			opts := firstTermOptions()
			opts.Zone = zone
			reg := endpoint.NewRegistry(endpoint.Options{})
			zones[zone] = newArbiter(epoch, opts, mut, NewConfig(testDocument(8)), reg, unlimited{})
		}
		free := []endpoint.ServiceSummary{{Service: "counter", Free: 100}}
		zones["oita"].ApplyPeerSummary(epoch, endpoint.Summary{Zone: "fukuoka", Services: free})
		zones["fukuoka"].ApplyPeerSummary(epoch, endpoint.Summary{Zone: "oita", Services: free})
		n := 0
		events := zones["oita"].Ask(epoch, testAsk("r1", "", "open"))
		for len(events) > 0 && n < 10 {
			f := events[0].(Forward)
			n++
			events = zones[f.Zone].Ask(epoch, f.Ask)
		}
		return n
	}
	if n := hops(mutations{}); n != 1 {
		t.Errorf("the ask was forwarded %d times, want once", n)
	}
	if n := hops(mutations{ignoreForwardHops: true}); n < 2 {
		t.Errorf("without the hop limit the ask was forwarded %d times, want at least 2", n)
	}
}

// TestNothingStarves guards against starvation with every team of both classes
// waiting. For any number of slots, the time between two starts of a team in a
// class is at most twice the time that one run takes with the team's share of the
// class's minimum number of slots.
func TestNothingStarves(t *testing.T) {
	const runTime = 10 * time.Millisecond
	teams := []api.Team{{Name: "small", Share: 1}, {Name: "large", Share: 9}}
	for slots := 1; slots <= 9; slots++ {
		reg := endpoint.NewRegistry(endpoint.Options{Lease: time.Hour})
		mustAnnounce(t, reg, epoch, "e1", announce("1", slots))
		a := New(epoch, firstTermOptions(), NewConfig(testDocument(slots, teams...)), reg, unlimited{})
		last := make(map[string]time.Duration)
		var running []dispatch.Grant
		n := 0
		ask := func(now time.Duration, team, queue string) {
			n++
			for _, ev := range a.Ask(epoch.Add(now), testAsk(fmt.Sprint("r", n), team, queue)) {
				running = append(running, ev.(Granted).Grant)
			}
		}
		for now := time.Duration(0); now < 20*time.Second; now += runTime {
			ended := running
			running = nil
			for _, g := range ended {
				for _, ev := range a.Release(epoch.Add(now), dispatch.Release{Grant: g.ID, Outcome: dispatch.OutcomeAnswered}) {
					running = append(running, ev.(Granted).Grant)
				}
			}
			for _, g := range ended {
				ask(now, g.Team, g.Queue)
			}
			for i := 0; now == 0 && i < 40; i++ {
				ask(now, teams[i%2].Name, []string{"quote", "reconcile"}[i/2%2])
			}
			for _, g := range running {
				last[g.Team+" "+g.Queue] = now
			}
			least := max(float64(slots)/4, 0.5) // minimum number of slots of the class
			for key, at := range last {
				if gap := now - at; gap > time.Duration(2*10/least)*runTime {
					t.Fatalf("%d slots: no request of %s started for %s", slots, key, gap)
				}
			}
		}
		if len(last) != 4 {
			t.Errorf("%d slots: got starts only for %v, want 4 team queues", slots, last)
		}
	}
}
