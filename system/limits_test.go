package system

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"magnoliastand.example/codec"
	"magnoliastand.example/consensus"
	"magnoliastand.example/peerlink"
	"magnoliastand.example/platform"
	"magnoliastand.example/workload"
)

// largeDocument returns a document with n routes of about 250 bytes.
func largeDocument(version, n int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":%d,"routes":[`, version)
	for i := range n {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"name":"route-%06d","host":"host-%06d.%s.example","path_prefix":"/prefix/%06d/","service":"p","timeout_ms":3000,`+
			`"target_latency_ms":600,"priority":1,"max_attempts":3,"stretch":2.5,"public":false}`, i, i, strings.Repeat("x", 50), i)
	}
	b.WriteString(`],"services":[{"name":"p"}],"tenants":[]}`)
	return []byte(b.String())
}

// TestSizesFitIntoEachOther guards against a document that the operators' interface accepts and
// that fits no entry of the log, or an entry that fits no frame of a peer link.
func TestSizesFitIntoEachOther(t *testing.T) {
	c := workload.Command{PutDocument: &workload.PutDocument{Raw: make([]byte, workload.MaxDocumentBytes)}}
	if _, err := workload.CommandSize(&c); err != nil {
		t.Errorf("the largest document: %v", err)
	}
	largest := workload.Command{PutDocument: &workload.PutDocument{Raw: make([]byte, workload.MaxCommandBytes-9)}}
	if size, err := workload.CommandSize(&largest); err != nil || size != workload.MaxCommandBytes {
		t.Fatalf("command of %d bytes, want %d: %v", size, workload.MaxCommandBytes, err)
	}
	entry, err := workload.EncodeBatch(workload.NewBatch(1<<53, []workload.Command{largest}))
	if err != nil || len(entry) > workload.MaxEntryBytes {
		t.Errorf("a batch with the largest command has %d bytes, want at most %d: %v", len(entry), workload.MaxEntryBytes, err)
	}
	// Commands of a full batch, which have a longer header of their list.
	if n := workload.MaxCommandBytes / len(mustMarshal(t, workload.Command{Begin: &workload.Begin{Job: "0123456789abcdef"}})); n < 1<<16 {
		t.Errorf("%d small commands in an entry do not cover the longest header", n)
	}
	const messageOverhead = 64 << 10 // see package consensus/node
	if frame := workload.MaxEntryBytes + messageOverhead; frame > peerlink.MaxFrameBytes {
		t.Errorf("a message with one entry has %d bytes, a frame %d", frame, peerlink.MaxFrameBytes)
	}
	if m := mustMarshal(t, documentMessage{Raw: make([]byte, workload.MaxDocumentBytes)}); len(m)+messageOverhead > peerlink.MaxFrameBytes {
		t.Errorf("the message with a document has %d bytes, a frame %d", len(m), peerlink.MaxFrameBytes)
	}
	core := consensus.DefaultConfig(1, 1, nil)
	if workload.MaxEntryBytes > core.MaxPendingBytes {
		t.Errorf("an entry of %d bytes exceeds the %d bytes of uncommitted entries", workload.MaxEntryBytes, core.MaxPendingBytes)
	}
	if n := len(largeDocument(1, 10_000)); n < 2_500_000 || n > workload.MaxDocumentBytes {
		t.Errorf("10,000 routes have %d bytes, at most %d are allowed", n, workload.MaxDocumentBytes)
	}
}

func mustMarshal(t *testing.T, v any) []byte {
	t.Helper()
	b, err := codec.Encoder().Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestDocumentOfManyRoutesIsCommitted guards against a document of 10,000 routes that is
// accepted and then stops the driver, because it fits no entry of the log. The call is repeated
// as the operator does: under the race detector each member takes half a second to apply the
// document, which may cost a leader its lease.
func TestDocumentOfManyRoutesIsCommitted(t *testing.T) {
	all := formLog(t, 3, nil)
	for _, m := range all {
		m.lead(t)
	}
	raw := largeDocument(1, 10_000)
	waitFor(t, "document accepted", func() bool {
		for _, m := range all {
			if _, err := m.putDocument(t.Context(), &documentMessage{Raw: raw}); err == nil {
				return true
			}
		}
		return false
	})
	for _, other := range all {
		waitFor(t, "document on every member", func() (same bool) {
			other.replica.read(func(s *workload.State) { same = bytes.Equal(s.Raw(), raw) })
			return same
		})
	}
}

// TestTooLargeCallIsAnsweredAsSuch guards against a caller that repeats, as after a failure, a
// document that no daemon can accept.
func TestTooLargeCallIsAnsweredAsSuch(t *testing.T) {
	remote := toRemoteError(workload.ErrTooLarge)
	for name, err := range map[string]error{"leader": remote, "link": peerlink.ErrTooLarge} {
		if got := fromRemoteError(err); !errors.Is(got, workload.ErrTooLarge) {
			t.Errorf("%s: %v", name, got)
		}
	}
	if got := fromRemoteError(peerlink.ErrBusy); errors.Is(got, workload.ErrTooLarge) {
		t.Errorf("a busy link: %v, want %v", got, platform.ErrUnavailable)
	}
}
