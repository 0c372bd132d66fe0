// Package clocktest simulates suspensions of the machine for tests.
package clocktest

import (
	"time"

	"magnoliastand.example/clock/internal/reading"
)

// Suspend makes this process see a suspension of the machine for d that has just ended:
// the times of package clock leap by d, those of package time don't. It panics if d is
// negative, because the clock of the machine never runs backward.
func Suspend(d time.Duration) {
	if d < 0 {
		panic("clocktest: negative suspension")
	}
	reading.SimulateSuspension(d)
}
