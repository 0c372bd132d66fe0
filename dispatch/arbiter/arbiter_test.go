package arbiter

import (
	"fmt"
	"testing"
	"time"

	"magnoliastand.example/api"
	"magnoliastand.example/dispatch"
	"magnoliastand.example/dispatch/endpoint"
)

// epoch is the start of logical time in tests.
var epoch = time.Unix(1_000_000, 0)

// unlimited is a Limiter that always has a unit.
type unlimited struct{}

func (unlimited) Acquire(string) bool { return true }
func (unlimited) Release(string)      {}

// testDocument has service "counter" with an open, a quick and a long queue.
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

// fresh are the options of a zone's first arbiter.
func fresh() Options {
	return Options{Zone: "oita", Term: 1, Recovery: Recovery{Complete: true}}
}

func mustAnnounce(t testing.TB, reg *endpoint.Registry, now time.Time, id string, a api.Announcement) {
	t.Helper()
	if _, err := reg.Announce(now, id, a); err != nil {
		t.Fatal(err)
	}
}

func TestGrantWaitRelease(t *testing.T) {
	reg := endpoint.NewRegistry(endpoint.Options{})
	mustAnnounce(t, reg, epoch, "e1", announce("a", 1))
	a := New(epoch, fresh(), NewConfig(testDocument(8)), reg, unlimited{})
	first := a.Ask(epoch, testAsk("r1", "", "open"))
	if len(first) != 1 {
		t.Fatalf("events %v, want one grant", first)
	}
	granted := first[0].(Granted)
	if evs := a.Ask(epoch, testAsk("r2", "", "open")); len(evs) != 0 {
		t.Fatalf("events %v, want none while the slot is occupied", evs)
	}
	evs := a.Release(epoch.Add(time.Millisecond), dispatch.Release{Grant: granted.Grant.ID, Outcome: dispatch.OutcomeAnswered})
	if len(evs) != 1 || evs[0].(Granted).Grant.RequestID != "r2" {
		t.Fatalf("events %v, want the grant of r2", evs)
	}
	if got := fmt.Sprint(a.Stats()); got != "{0 0 1 0}" {
		t.Fatalf("stats %s", got)
	}
}
