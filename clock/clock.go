// Package clock measures intervals that bound a permission or an age: leases, grants,
// deadlines, how long ago another daemon confirmed something.
//
// The monotonic clock of package time stands still while the machine is suspended, so a
// process that wakes up would take a permission that has run out for a young one, and old
// evidence for fresh. The times of this package advance during a suspension. A check is
// valid at the time of the call only: a process may be suspended between the check and
// what it does next.
package clock

import (
	"context"
	"sync/atomic"
	"time"

	"magnoliastand.example/clock/internal/reading"
)

// Now returns the current time for comparison with other times of this package, and with
// those of package time if the machine was not suspended since. Its date and time of day
// run ahead of the wall clock once the machine has been suspended.
//
// The result is never before the call: its parts are read one after another, and a
// suspension between two reads counts as one after the call.
func Now() time.Time {
	suspended := Suspended()
	return time.Now().Add(suspended)
}

// Since returns the time elapsed since t, which Now returned.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time until t, which is based on a result of Now.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// WithDeadline returns a context that ends at t, a time of this package. It ends late if the
// machine is suspended meanwhile, because timers stand still: what must not happen after t
// needs a check of its own.
func WithDeadline(parent context.Context, t time.Time) (context.Context, context.CancelFunc) {
	return context.WithTimeout(parent, Until(t))
}

// Boot returns a reading of the machine's clock that advances during suspensions. Its
// start is arbitrary and changes when the machine boots.
func Boot() time.Duration { return reading.Boot() }

// atStart is the difference between the clocks at the start of the process.
var atStart = initialDifference()

// suspended is the longest total suspension seen so far, in nanoseconds.
var suspended atomic.Int64

// Suspended returns for how long the machine was suspended since the process started.
func Suspended() time.Duration {
	now := int64(difference() - atStart)
	for {
		seen := suspended.Load()
		if now <= seen {
			return time.Duration(seen)
		}
		if suspended.CompareAndSwap(seen, now) {
			return time.Duration(now)
		}
	}
}

// difference returns how much longer the machine is up than its monotonic clock has run. It
// is too small by the time between the two reads, never too large.
func difference() time.Duration {
	boot := reading.Boot()
	return boot - reading.Monotonic()
}

// initialDifference returns the largest of several differences, which a pause of the process
// between the two reads makes too small.
func initialDifference() time.Duration {
	const reads = 5
	largest := difference()
	for range reads - 1 {
		largest = max(largest, difference())
	}
	return largest
}
