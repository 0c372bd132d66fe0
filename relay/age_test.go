package relay

import (
	"context"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"magnoliastand.example/peerlink"
	"magnoliastand.example/platform"
)

// stubLink hands what an agent sends to a channel.
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

// holds counts holds.
type holds struct {
	platform.Workers
	carried int
}

func (h *holds) Hold(context.Context, platform.Endpoint, *platform.HoldOrder) (*platform.Lists, error) {
	h.carried++
	return &platform.Lists{}, nil
}

// TestDriftingClocksMakeNoMessageOld fails when the first difference is kept for ever.
func TestDriftingClocksMakeNoMessageOld(t *testing.T) {
	var c senderClock
	for s := range 24 * 3600 {
		sentAt := time.Duration(s) * time.Second
		now := sentAt + sentAt/10_000 // 100 ppm
		if age := c.delay(sentAt, now); age > time.Millisecond {
			t.Fatalf("age %v after %d s", age, s)
		}
	}
}

// TestLateOrdersAreNotCarriedOut: a hold that waited at a suspended agent would
// acknowledge ends of a worker's later incarnation, which has the same id.
func TestLateOrdersAreNotCarriedOut(t *testing.T) {
	leader := peerlink.Identity{Name: "leader", Incarnation: "1"}
	restarted := peerlink.Identity{Name: "leader", Incarnation: "2"}
	for name, tc := range map[string]struct {
		from        peerlink.Identity
		sentAt, now time.Duration
		carried     int
	}{
		"at once":                     {leader, 1100 * time.Millisecond, 51_100 * time.Millisecond, 1},
		"a little late":               {leader, 1100 * time.Millisecond, 51_500 * time.Millisecond, 1},
		"after the agent stood still": {leader, 1100 * time.Millisecond, 55_000 * time.Millisecond, 0},
		"of a leader that restarted":  {restarted, 10 * time.Millisecond, 55_000 * time.Millisecond, 1},
	} {
		t.Run(name, func(t *testing.T) {
			link := &stubLink{map[string]peerlink.CallHandler{}, map[string]peerlink.NotifyHandler{}, make(chan []*outcome, 1)}
			workers := &holds{}
			agent := NewAgent(link, workers, zerolog.Nop())
			defer agent.Close()
			// A check of the leader at its second 1 reaches the agent at its second 51.
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
			if workers.carried != tc.carried || (out[0].Failure == notSent) != (tc.carried == 0) {
				t.Errorf("%d carried out, want %d; outcome %v", workers.carried, tc.carried, out[0].Failure)
			}
		})
	}
}
