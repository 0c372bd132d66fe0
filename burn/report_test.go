package burn

import (
	"strings"
	"testing"
	"time"

	"magnoliastand.example/api"
)

func testDocument() api.Document {
	return api.Document{Services: []api.Service{{Name: "quotes", Queues: []api.Queue{
		{Name: "quote", Objective: &api.QueueObjective{Latency: api.Duration(time.Second), Ratio: 0.99}},
		{Name: "bulk"},
	}}}}
}

// recordRequests records n requests, of which one in badEvery is late. With a
// badEvery of 0 none is late.
func recordRequests(r *Recorder, at time.Time, n, badEvery int) {
	for i := range n {
		bad := badEvery > 0 && i%badEvery == 0
		r.Record(at, "quote", 20*time.Millisecond, !bad)
	}
}

func TestReportStatus(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for _, tc := range []struct {
		name     string
		badEvery int
		ago      time.Duration
		want     Status
	}{
		{"all good", 0, 0, StatusOK},
		{"one in ten late now: burn 10", 10, 0, StatusTicket},
		{"one in five late now: burn 20", 5, 0, StatusPage},
		{"burn 20 two hours ago only", 5, 2 * time.Hour, StatusOK},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := NewRecorder()
			recordRequests(r, now.Add(-tc.ago), 1000, tc.badEvery)
			rep := NewReport(now, testDocument(), []Snapshot{r.Snapshot(now, "a")}, nil)
			if got := rep.Queues[0].Status; got != tc.want {
				t.Fatalf("status %s, want %s: %+v", got, tc.want, rep.Queues[0].Windows)
			}
			if got := rep.Queues[1].Status; got != StatusNoData {
				t.Fatalf("status of the queue without an objective is %s", got)
			}
		})
	}
}

func TestReportMergesDaemonsAndListsMissing(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	a, b := NewRecorder(), NewRecorder()
	recordRequests(a, now, 100, 0)
	recordRequests(b, now, 50, 0)
	rep := NewReport(now, testDocument(), []Snapshot{b.Snapshot(now, "b"), a.Snapshot(now, "a")}, []string{"c"})
	if rep.Queues[0].Requests != 150 {
		t.Fatalf("%d requests, want 150", rep.Queues[0].Requests)
	}
	var text, html strings.Builder
	if err := rep.WriteText(&text); err != nil {
		t.Fatal(err)
	}
	if err := rep.WriteHTML(&html); err != nil {
		t.Fatal(err)
	}
	for _, s := range []string{text.String(), html.String()} {
		if !strings.Contains(s, "a, b") || !strings.Contains(s, "issing, not counted: c") {
			t.Fatalf("daemons are not listed in:\n%s", s)
		}
	}
}

func TestOldBucketsAreExcludedFromWindow(t *testing.T) {
	r := NewRecorder()
	start := time.Unix(1_000_000, 0)
	recordRequests(r, start, 10, 0)
	later := start.Add(WindowFiveMinutes + fineBucketWidth)
	recordRequests(r, later, 1, 0)
	s := r.Snapshot(later, "a")
	if s.Queues[0].Windows[0].Total != 1 || s.Queues[0].Windows[1].Total != 11 {
		t.Fatalf("wrong totals of windows: %+v", s.Queues[0].Windows)
	}
}

func TestHistogramQuantileError(t *testing.T) {
	var h Histogram
	for i := 1; i <= 1000; i++ {
		h.Observe(time.Duration(i) * time.Millisecond)
	}
	for q, exact := range map[float64]time.Duration{0.5: 500 * time.Millisecond, 0.99: 990 * time.Millisecond} {
		got := h.Quantile(q)
		if got < exact || float64(got) > 1.19*float64(exact) {
			t.Fatalf("quantile %v is %v, exact value is %v", q, got, exact)
		}
	}
}
