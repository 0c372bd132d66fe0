// Package clocktest simulates suspensions of the machine for tests.
package clocktest

import (
	"testing"
	"time"

	"magnoliastand.example/clock/internal/reading"
)

// Suspend makes this process see a suspension of the machine for d that has just ended:
// the times of package clock leap by d, those of package time don't.
func Suspend(t testing.TB, d time.Duration) {
	t.Helper()
	if d < 0 {
		t.Fatalf("a suspension can't last %v", d)
	}
	reading.SimulateSuspension(d)
}
