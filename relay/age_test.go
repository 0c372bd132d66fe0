package relay

import (
	"context"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"magnoliastand.example/peerlink"
	"magnoliastand.example/platform"
	"magnoliastand.example/workload"
)

// stubLink is a Link that passes the outcomes an agent sends to a channel.
type stubLink struct {
	handlers  map[string]peerlink.CallHandler
	notifiers map[string]peerlink.NotifyHandler
	sent      chan []*outcome
}

func (l *stubLink) Call(context.Context, string, string, any, any) error { return nil }
func (l *stubLink) Notify(_, _ string, req any) {
	if items, ok := req.([]*outcome); ok {
		l.sent <- items
	}
}
func (l *stubLink) Connected(string) bool                           { return true }
func (l *stubLink) Handle(m string, h peerlink.CallHandler)         { l.handlers[m] = h }
func (l *stubLink) HandleNotify(m string, h peerlink.NotifyHandler) { l.notifiers[m] = h }

// TestCloseWaitsForBatch closes an agent that is accepting a batch. Close may
// return only after the orders of the batch.
func TestCloseWaitsForBatch(t *testing.T) {
	from := peerlink.Identity{Name: "leader", Incarnation: "1"}
	payload, err := cbor.Marshal(orderBatch{Orders: []*order{{Seq: 7, Timeout: 1000, Hold: &platform.HoldOrder{}}}})
	if err != nil {
		t.Fatal(err)
	}
	link := &stubLink{map[string]peerlink.CallHandler{}, map[string]peerlink.NotifyHandler{}, make(chan []*outcome, 1)}
	workers := &holdCounter{}
	agent := NewAgent(link, workers, zerolog.Nop())
	agent.mu.Lock() // suspends the batch after it was found to be in time
	accepted, closed := make(chan struct{}), make(chan struct{})
	go func() { defer close(accepted); link.notifiers[methodOrders](from, payload) }()
	for agent.closeMu.TryLock() {
		agent.closeMu.Unlock()
		time.Sleep(time.Millisecond)
	}
	go func() { defer close(closed); agent.Close() }()
	select {
	case <-closed:
		t.Error("Close returned while a batch was being accepted")
	case <-time.After(50 * time.Millisecond):
	}
	agent.mu.Unlock()
	<-accepted
	<-closed
	executed := workers.executed
	link.notifiers[methodOrders](from, payload)
	time.Sleep(20 * time.Millisecond)
	if executed != 1 || workers.executed != executed {
		t.Errorf("%d orders executed, %d in all, want 1 and none after Close", executed, workers.executed)
	}
}

// panickingWorkers panics on a stop.
type panickingWorkers struct{ holdCounter }

func (w *panickingWorkers) Stop(context.Context, platform.Endpoint, workload.TaskRef, int64, uint64) error {
	panic("stop")
}

// TestMalformedOrderEndsAlone sends a batch with an empty order, one that is no
// call, and one whose call panics. The order after them is executed.
func TestMalformedOrderEndsAlone(t *testing.T) {
	link := &stubLink{map[string]peerlink.CallHandler{}, map[string]peerlink.NotifyHandler{}, make(chan []*outcome, 1)}
	workers := &panickingWorkers{}
	agent := NewAgent(link, workers, zerolog.Nop())
	defer agent.Close()
	payload, err := cbor.Marshal(orderBatch{Orders: []*order{
		nil, {Seq: 1, Timeout: 1000}, {Seq: 2, Timeout: 1000, Stop: &stopOrder{}}, {Seq: 3, Timeout: 1000, Hold: &platform.HoldOrder{}},
	}})
	if err != nil {
		t.Fatal(err)
	}
	link.notifiers[methodOrders](peerlink.Identity{Name: "leader", Incarnation: "1"}, payload)
	got := map[uint64]failure{}
	for len(got) < 3 {
		for _, o := range <-link.sent {
			got[o.Seq] = o.Failure
		}
	}
	if got[1] != notSent || got[2] != noAnswer || got[3] != succeeded {
		t.Errorf("outcomes %v, want not-sent, no-answer, ok", got)
	}
}

// holdCounter counts the holds that it executes.
type holdCounter struct {
	platform.Workers
	executed int
}

func (h *holdCounter) Hold(context.Context, platform.Endpoint, *platform.HoldOrder) (*platform.Lists, error) {
	h.executed++
	return &platform.Lists{}, nil
}

// TestClockDriftAddsNoDelay guards against a clock offset that is never
// adjusted: with drift, all messages would eventually count as delayed.
func TestClockDriftAddsNoDelay(t *testing.T) {
	var c senderClock
	for s := range 24 * 3600 {
		sentAt := time.Duration(s) * time.Second
		now := sentAt + sentAt/10_000 // 100 ppm
		if delay := c.delay(sentAt, now); delay > time.Millisecond {
			t.Fatalf("delay %v after %d s", delay, s)
		}
	}
}

// TestDelayedOrdersAreNotExecuted guards against a hold that is delayed at a
// suspended agent. It would acknowledge ended tasks of a later incarnation of the
// worker, which has the same ID.
func TestDelayedOrdersAreNotExecuted(t *testing.T) {
	leader := peerlink.Identity{Name: "leader", Incarnation: "1"}
	restarted := peerlink.Identity{Name: "leader", Incarnation: "2"}
	for name, tc := range map[string]struct {
		from        peerlink.Identity
		sentAt, now time.Duration
		executed    int
	}{
		"no delay":                   {leader, 1100 * time.Millisecond, 51_100 * time.Millisecond, 1},
		"short delay":                {leader, 1100 * time.Millisecond, 51_500 * time.Millisecond, 1},
		"after a pause of the agent": {leader, 1100 * time.Millisecond, 55_000 * time.Millisecond, 0},
		"from a restarted leader":    {restarted, 10 * time.Millisecond, 55_000 * time.Millisecond, 1},
	} {
		t.Run(name, func(t *testing.T) {
			link := &stubLink{map[string]peerlink.CallHandler{}, map[string]peerlink.NotifyHandler{}, make(chan []*outcome, 1)}
			workers := &holdCounter{}
			agent := NewAgent(link, workers, zerolog.Nop())
			defer agent.Close()
			// The leader's probe, sent at 1 s by its clock, arrives at 51 s by the
			// agent's clock.
			agent.now = func() time.Duration { return 51 * time.Second }
			payload, err := cbor.Marshal(probeRequest{SentAt: time.Second})
			if err != nil {
				t.Fatal(err)
			}
			if _, err := link.handlers[methodProbe](t.Context(), leader, payload); err != nil {
				t.Fatal(err)
			}
			agent.now = func() time.Duration { return tc.now }
			batch := orderBatch{SentAt: tc.sentAt, Orders: []*order{{Seq: 7, Timeout: 1000, Hold: &platform.HoldOrder{Acked: 57}}}}
			if payload, err = cbor.Marshal(batch); err != nil {
				t.Fatal(err)
			}
			link.notifiers[methodOrders](tc.from, payload)
			out := <-link.sent
			if workers.executed != tc.executed || (out[0].Failure == notSent) != (tc.executed == 0) {
				t.Errorf("%d orders executed, want %d; outcome %v", workers.executed, tc.executed, out[0].Failure)
			}
		})
	}
}
