// Package reading reads the clocks of the machine.
package reading

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// gettime reads a clock of the kernel. Tests replace it.
var gettime = unix.ClockGettime

// simulated is the length of the suspensions that tests have simulated, in nanoseconds.
var simulated atomic.Int64

// SimulateSuspension advances the boot clock by d beside the monotonic one. It is for
// package clocktest.
func SimulateSuspension(d time.Duration) { simulated.Add(int64(d)) }

// Boot reads the clock that advances while the machine is suspended.
func Boot() time.Duration { return read(unix.CLOCK_BOOTTIME) + time.Duration(simulated.Load()) }

// Monotonic reads the clock that stands still while the machine is suspended. Package time
// uses it too.
func Monotonic() time.Duration { return read(unix.CLOCK_MONOTONIC) }

func read(id int32) time.Duration {
	var ts unix.Timespec
	if err := gettime(id, &ts); err != nil {
		panic(err) // every supported kernel has these clocks
	}
	return time.Duration(ts.Nano())
}
