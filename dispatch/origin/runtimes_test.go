package origin

import (
	"testing"
	"time"
)

// TestReserveFollowsRunTimes checks that 1.5 times the mean run time is reserved,
// but never more than half of the time left.
func TestReserveFollowsRunTimes(t *testing.T) {
	r := newRunTimes()
	if got := r.reserve("q", time.Second); got != 0 {
		t.Fatalf("reserves %s without observations, want 0", got)
	}
	for range 200 {
		r.observe("q", 100*time.Millisecond)
	}
	for _, tc := range []struct{ left, want time.Duration }{
		{time.Second, 150 * time.Millisecond},
		{200 * time.Millisecond, 100 * time.Millisecond},
		{-time.Second, 0},
	} {
		got := r.reserve("q", tc.left)
		if (got - tc.want).Abs() > time.Microsecond {
			t.Errorf("with %s left reserves %s, want %s", tc.left, got, tc.want)
		}
	}
}
