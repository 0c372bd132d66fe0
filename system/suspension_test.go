package system

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"magnoliastand.example/clock/clocktest"
	"magnoliastand.example/cluster"
	"magnoliastand.example/driver"
	"magnoliastand.example/peerlink"
	"magnoliastand.example/platform"
	"magnoliastand.example/workload"
)

const emptyDocument = `{"version":1,"routes":[],"services":[],"limits":{},"tenants":[]}`

// leadingWithDocument returns the leader of three members, which has committed a document.
func leadingWithDocument(t *testing.T) *testMember {
	t.Helper()
	m, _ := leading(t, formLog(t, 3, &heldWorkers{}))
	m.lead(t)
	waitFor(t, "document committed", func() bool {
		_, err := m.putDocument(t.Context(), &documentMessage{Raw: []byte(emptyDocument)})
		return err == nil
	})
	return m
}

// TestDocumentIsNotReadAfterSuspension guards against a leader that answers a read with its own
// copy when its machine wakes up: another leader may have committed a newer document.
func TestDocumentIsNotReadAfterSuspension(t *testing.T) {
	m := leadingWithDocument(t)
	d, err := m.currentDriver()
	if err != nil {
		t.Fatal(err)
	}
	clocktest.Suspend(3 * time.Second)
	_, err = m.document(t.Context(), &emptyMessage{})
	if now, _ := m.currentDriver(); !errors.Is(err, platform.ErrUnavailable) && (now == nil || now == d) {
		t.Errorf("read after a suspension of 3 s: %v, want %v", err, platform.ErrUnavailable)
	}
}

// TestDocumentReadNeedsQuorum guards against reads of the document that rest on the leader's
// lease alone, and so on its clock. The leader is cut off and its lease still holds.
func TestDocumentReadNeedsQuorum(t *testing.T) {
	m := leadingWithDocument(t)
	if _, err := m.document(t.Context(), &emptyMessage{}); err != nil {
		t.Fatalf("read with a quorum: %v", err)
	}
	m.link.SetBlocked(func(peerlink.Identity) bool { return true })
	defer m.link.SetBlocked(nil)
	if _, err := m.document(t.Context(), &emptyMessage{}); !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("read without a quorum: %v, want %v", err, platform.ErrUnavailable)
	}
	if _, err := m.waveStatus(t.Context(), &waveQuery{Wave: 1}); !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("state of a wave without a quorum: %v, want %v", err, platform.ErrUnavailable)
	}
}

func BenchmarkReads(b *testing.B) {
	m, _ := leading(b, formLog(b, 3, &heldWorkers{}))
	m.lead(b)
	waitFor(b, "driver", func() bool { _, err := m.currentDriver(); return err == nil })
	nothing := func(*workload.State) {}
	b.Run("lease", func(b *testing.B) {
		for b.Loop() {
			if err := m.read(nothing); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("quorum", func(b *testing.B) {
		for b.Loop() {
			if err := m.readConfirmed(b.Context(), nothing); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("quorum-64-callers", func(b *testing.B) {
		b.SetParallelism(64)
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				if err := m.readConfirmed(b.Context(), nothing); err != nil {
					b.Error(err)
					return
				}
			}
		})
	})
}

// TestSuspensionEndsTenure guards against a driver that goes on with what it believed before
// its machine was suspended. A leader without other voters keeps its term.
func TestSuspensionEndsTenure(t *testing.T) {
	m, term := leading(t, formLog(t, 1, &heldWorkers{}))
	m.lead(t)
	var d *driver.Driver
	waitFor(t, "driver", func() bool { d, _ = m.currentDriver(); return d != nil })
	clocktest.Suspend(3 * time.Second)
	var next *driver.Driver
	waitFor(t, "driver after the suspension", func() bool { next, _ = m.currentDriver(); return next != nil })
	if next == d {
		t.Error("the driver from before the suspension still leads")
	}
	if now, ok := m.member.Lease(); !ok || now != term {
		t.Errorf("term %d, want %d: the log has no other voter", now, term)
	}
}

// TestEdgeMakesNoCallAfterSuspension guards against a request that an edge goes on with when its
// machine wakes up, after its caller has given up.
func TestEdgeMakesNoCallAfterSuspension(t *testing.T) {
	const timeout = 20 * time.Second
	var calls atomic.Int64
	e := testEdge(t, fakeLeader(t, func(context.Context, peerlink.Identity, []byte) (any, error) {
		if calls.Add(1) == 1 {
			clocktest.Suspend(timeout)
			return nil, &peerlink.RemoteError{Code: codeUnknown, Detail: "leadership lost"}
		}
		return workload.Response{Answer: workload.AnswerOK}, nil
	}))
	waitFor(t, "ready edge", e.Ready)
	resp := e.Serve(t.Context(), &workload.Request{Verb: workload.VerbSubmit, Path: "/q/1"}, timeout)
	if resp.Answer != workload.AnswerUnknown || calls.Load() != 1 {
		t.Errorf("answer %s (%s) after %d calls, want %s after one", resp.Answer, resp.Reason, calls.Load(), workload.AnswerUnknown)
	}
}

// TestDocumentReadBeforeLogHasStarted guards against a panic of a read that reaches a core before
// its log has started.
func TestDocumentReadBeforeLogHasStarted(t *testing.T) {
	link := testLink(t, "127.0.0.1:1")
	member, err := cluster.Open(cluster.Config[[]error]{
		Self: "127.0.0.1:1", DataFolder: t.TempDir(), Seeds: []string{"127.0.0.1:1"}, Voters: 1,
		Machine: newReplica(platform.DecodeDocument), Link: link,
		Metrics: cluster.NewMetrics(prometheus.NewRegistry()), Log: zerolog.Nop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	l := &leader{member: member, log: zerolog.Nop()}
	if _, err := l.document(t.Context(), &emptyMessage{}); !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("read before the log has started: %v, want %v", err, platform.ErrUnavailable)
	}
}
