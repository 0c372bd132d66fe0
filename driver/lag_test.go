package driver

import (
	"testing"
	"time"
)

// TestLagIsReportedOnceAndTakenBack has a peak with a gap shorter than lagSamples,
// and an end of the peak that is interrupted once.
func TestLagIsReportedOnceAndTakenBack(t *testing.T) {
	const high, middle, low = lagLimit + time.Millisecond, (lagLimit + lagRecovered) / 2, lagRecovered - time.Millisecond
	var l lag
	for i, s := range []struct {
		waited time.Duration
		behind bool
	}{
		{high, false}, {high, false}, {low, false}, {high, false}, {high, false}, {high, true}, {high, true},
		{low, true}, {low, true}, {middle, true}, {low, true}, {low, true}, {low, false}, {middle, false},
	} {
		before := l.behind
		changed := l.observe(s.waited)
		if l.behind != s.behind || changed != (before != l.behind) {
			t.Errorf("sample %d of %v: behind %t, changed %t, want behind %t", i, s.waited, l.behind, changed, s.behind)
		}
	}
}
