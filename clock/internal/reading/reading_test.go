package reading

import (
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestBootCountsSuspensionAndMonotonicDoesNot guards against reading the wrong clock of the
// kernel. On a machine that was never suspended both show the same.
func TestBootCountsSuspensionAndMonotonicDoesNot(t *testing.T) {
	defer func() { gettime = unix.ClockGettime }()
	// As clock_gettime(2) has it: a machine that is up for 100 s and was suspended for 40 s.
	gettime = func(id int32, ts *unix.Timespec) error {
		*ts = unix.NsecToTimespec(map[int32]int64{
			unix.CLOCK_BOOTTIME: int64(100 * time.Second), unix.CLOCK_MONOTONIC: int64(60 * time.Second),
		}[id])
		return nil
	}
	if got := Boot(); got != 100*time.Second {
		t.Errorf("boot clock %v, want 100 s", got)
	}
	if got := Monotonic(); got != 60*time.Second {
		t.Errorf("monotonic clock %v, want 60 s", got)
	}
}
