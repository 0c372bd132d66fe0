package control

import (
	"testing"
	"time"

	"magnoliastand.example/control/freshness"
)

// TestWithdrawnKeyStopsOnACutOffDaemon shows that a daemon which never hears of
// a withdrawal accepts the key for no longer than the window, and that one which
// restarts without a disk accepts nothing until a vouch covers its view.
func TestWithdrawnKeyStopsOnACutOffDaemon(t *testing.T) {
	now := time.Duration(0)
	clock := func() time.Duration { return now }
	leader, daemon := freshness.NewLease(testCluster, 0, clock), freshness.NewLease(testCluster, 0, clock)
	s := New(testCluster, Options{})
	h := NewHolder(testCluster)
	run(s, applyDoc("a", 0, testDocument(1, 5)), grantKey("k", "team-0", testKey(1)))
	accepts := func() bool {
		v := h.View()
		_, err := v.Authorize(testKey(1).Text)
		return err == nil && daemon.Fresh(v.Version())
	}
	hear := func() {
		leader.Confirm(s.Version(), now)
		asked := now
		now += 300 * time.Millisecond
		if v, ok := leader.Vouch(); ok {
			daemon.Learn(v, asked)
		}
	}
	h.OfferView(s.View())
	if accepts() {
		t.Fatal("a daemon without a vouch accepts a key")
	}
	hear()
	if !accepts() {
		t.Fatal("a fresh daemon refuses a valid key")
	}
	withdrawn := now
	run(s, withdrawKey("w", testKey(1).ID))
	for now < withdrawn+freshness.Window {
		now += time.Millisecond
	}
	if accepts() {
		t.Fatal("a cut-off daemon accepts a withdrawn key past the window")
	}
	hear()
	if accepts() {
		t.Fatal("a vouch for a newer version covers the older view")
	}
	h.Offer(s.Delta(h.View().Version()))
	if _, err := h.View().Authorize(testKey(1).Text); err == nil || !daemon.Fresh(h.View().Version()) {
		t.Fatal("the withdrawal did not come into force")
	}
}
