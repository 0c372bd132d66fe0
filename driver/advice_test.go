package driver

import (
	"fmt"
	"slices"
	"testing"

	"magnoliastand.example/platform"
	"magnoliastand.example/workload"
)

func adviceWorkerList(n int) []*workload.Worker {
	list := make([]*workload.Worker, n)
	for i := range list {
		list[i] = &workload.Worker{ID: fmt.Sprintf("w%03d", i), Incarnation: 1}
	}
	return list
}

func named(list []query) []string {
	var out []string
	for _, q := range list {
		out = append(out, q.worker)
	}
	return out
}

func hasRoom(*workload.Worker) bool { return true }

// Guards against a step that only ever learns of the first 100 workers of its pool.
func TestAdviceQueriesAllWorkersInTurn(t *testing.T) {
	a, workers := &advice{}, adviceWorkerList(250)
	seen := map[string]int{}
	for _, want := range []int{100, 100, 50, 0} {
		asked := a.nextQuery(workers, hasRoom, 0)
		if len(asked) != want {
			t.Fatalf("%d workers in a call, want %d", len(asked), want)
		}
		for _, q := range asked {
			seen[q.worker]++
		}
		a.record(asked, platform.Advice{}, 1000, 0)
	}
	for id, n := range seen {
		if n != 1 {
			t.Errorf("%s was queried %d times", id, n)
		}
	}
}

// Guards against workers without room that take the places of those that could run a task
// now.
func TestAdviceQueriesWorkersWithRoomFirst(t *testing.T) {
	a, workers := &advice{}, adviceWorkerList(150)
	free := func(w *workload.Worker) bool { return w.ID >= "w145" }
	asked := a.nextQuery(workers, free, 0)
	if got := named(asked); !slices.Equal(got, []string{"w145", "w146", "w147", "w148", "w149"}) {
		t.Fatalf("queried %v", got)
	}
	a.record(asked, platform.Advice{}, 1000, 0)
	if got := a.nextQuery(workers, free, 0); len(got) != 100 {
		t.Errorf("%d workers without room queried, want 100", len(got))
	}
}

// Guards against a ticket that is used beyond its lifetime or for a later incarnation, and
// against a worker without one that is queried over and over.
func TestTicketsAreCachedByIncarnation(t *testing.T) {
	a, workers := &advice{}, adviceWorkerList(2)
	a.record(a.nextQuery(workers, hasRoom, 0), platform.Advice{Tickets: map[string]string{"w000": "t"}}, 1000, 0)
	if got := a.ticket(workers[0], 700); got != "t" || a.ticket(workers[1], 700) != "" {
		t.Errorf("ticket %q, want t for the first worker only", got)
	}
	if got := named(a.nextQuery(workers, hasRoom, 700)); len(got) != 0 {
		t.Errorf("queried %v again within the lifetime of the ticket", got)
	}
	if got := named(a.nextQuery(workers, hasRoom, 900)); a.ticket(workers[0], 900) != "" || !slices.Equal(got, []string{"w000"}) {
		t.Errorf("queried %v after the ticket expired, want w000", got)
	}
	restarted := []*workload.Worker{{ID: "w000", Incarnation: 2}, {ID: "w001", Incarnation: 2}}
	if got := named(a.nextQuery(restarted, hasRoom, 700)); a.ticket(restarted[0], 700) != "" || len(got) != 2 {
		t.Errorf("queried %v after the restart of both workers", got)
	}
}

// Guards against a ticket that lives shorter than its margin and is never used.
func TestShortLivedTicketIsUsed(t *testing.T) {
	a, workers := &advice{}, adviceWorkerList(1)
	a.record(a.nextQuery(workers, hasRoom, 0), platform.Advice{Tickets: map[string]string{"w000": "t"}}, ticketMargin, 0)
	if a.ticket(workers[0], 1) != "t" {
		t.Error("the ticket is never valid")
	}
}

// Guards against a worker that is never queried again because its row could not be read.
func TestUnreadableAdviceSaysNothingAboutOthers(t *testing.T) {
	a, workers := &advice{}, adviceWorkerList(2)
	reply := platform.Advice{Tickets: map[string]string{"w000": "t"}, Unreadable: 1}
	a.record(a.nextQuery(workers, hasRoom, 0), reply, 60_000, 0)
	if got := named(a.nextQuery(workers, hasRoom, adviceRetry)); !slices.Equal(got, []string{"w001"}) {
		t.Errorf("queried %v, want w001", got)
	}
}
