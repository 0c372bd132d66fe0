package control

import (
	"testing"
	"time"

	"magnoliastand.example/control/freshness"
)

// TestPartitionedDaemonRefusesWithdrawnKey checks that a daemon which does not
// receive a withdrawal accepts the key no longer than freshness.Window, and that a
// daemon without a confirmation that covers its view, as after a restart without a
// disk, accepts no key.
func TestPartitionedDaemonRefusesWithdrawnKey(t *testing.T) {
	now := time.Duration(0)
	clock := func() time.Duration { return now }
	leader, daemon := freshness.NewLease(testCluster, 0, clock), freshness.NewLease(testCluster, 0, clock)
	s := New(testCluster, Options{})
	h := NewHolder(testCluster)
	applyAll(s, applyDocumentCommand("a", 0, testDocument(1, 5)), grantKeyCommand("k", "team-0", testKey(1)))
	accepts := func() bool {
		v := h.View()
		_, err := v.Authorize(testKey(1).Text)
		return err == nil && daemon.Fresh(v.Version())
	}
	confirm := func() {
		leader.Confirm(s.Version(), now)
		requestedAt := now
		now += 300 * time.Millisecond
		if v, ok := leader.Vouch(); ok {
			daemon.Learn(v, requestedAt)
		}
	}
	h.OfferView(s.View())
	if accepts() {
		t.Fatal("a daemon without a confirmation accepts a key")
	}
	confirm()
	if !accepts() {
		t.Fatal("a fresh daemon refuses a valid key")
	}
	withdrawn := now
	applyAll(s, withdrawKeyCommand("w", testKey(1).ID))
	for now < withdrawn+freshness.Window {
		now += time.Millisecond
	}
	if accepts() {
		t.Fatal("a partitioned daemon accepts a withdrawn key after the window")
	}
	confirm()
	if accepts() {
		t.Fatal("a confirmation of a newer version makes an older view fresh")
	}
	h.Offer(s.Delta(h.View().Version()))
	if _, err := h.View().Authorize(testKey(1).Text); err == nil || !daemon.Fresh(h.View().Version()) {
		t.Fatal("the withdrawal did not take effect")
	}
}
