package relay

import (
	"strings"
	"testing"

	"magnoliastand.example/codec"
	"magnoliastand.example/peerlink"
	"magnoliastand.example/platform"
	"magnoliastand.example/workload"
)

type testItem int

func (s testItem) weight() int { return int(s) }

func TestCountPerFrame(t *testing.T) {
	for name, tc := range map[string]struct {
		items []testItem
		want  int
	}{
		"all fit":               {[]testItem{1, 2, 3}, 3},
		"up to the limit":       {[]testItem{maxBatchWeight, 1}, 1},
		"exactly the limit":     {[]testItem{maxBatchWeight - 1, 1, 1}, 2},
		"oversized item first":  {[]testItem{maxBatchWeight + 1, 1}, 1},
		"oversized item second": {[]testItem{1, maxBatchWeight + 1}, 1},
		"single item":           {[]testItem{5}, 1},
	} {
		if got := countPerFrame(tc.items); got != tc.want {
			t.Errorf("%s: %d, want %d", name, got, tc.want)
		}
	}
}

// TestFullBatchesFitFrames guards against a batch that exceeds a frame, and is dropped, because
// its items have long checkpoints or tickets.
func TestFullBatchesFitFrames(t *testing.T) {
	const n = 500
	long := strings.Repeat("x", 20_000)
	orders, outcomes := make([]*order, n), make([]*outcome, n)
	for i := range n {
		orders[i] = &order{Start: &platform.StartOrder{Checkpoint: long, Ticket: long}}
		outcomes[i] = &outcome{Lists: &platform.Lists{Ended: []platform.EndedTask{
			{Number: 1, Task: workload.TaskRef{Job: "0123456789abcdef"}, Run: 1, Checkpoint: long},
			{Number: 2, Task: workload.TaskRef{Job: "0123456789abcdef"}, Run: 2, Checkpoint: long},
		}}}
	}
	check := func(name string, batch any) {
		data, err := codec.Encoder().Marshal(batch)
		if err != nil || len(data) > peerlink.MaxFrameBytes {
			t.Errorf("a batch of %s has %d bytes, a frame %d: %v", name, len(data), peerlink.MaxFrameBytes, err)
		}
	}
	check("orders", orderBatch{Orders: orders[:countPerFrame(orders)]})
	check("outcomes", outcomes[:countPerFrame(outcomes)])
}
