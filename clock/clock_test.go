package clock_test

import (
	"context"
	"testing"
	"time"

	"magnoliastand.example/clock"
	"magnoliastand.example/clock/clocktest"
)

// TestIntervalsCountSuspension guards against leases that outlive a suspension of the
// machine because their clock stood still.
func TestIntervalsCountSuspension(t *testing.T) {
	const d = 3 * time.Second
	granted, deadline, boot, before := clock.Now(), clock.Now().Add(2*time.Second), clock.Boot(), clock.Suspended()
	plain := time.Now()
	clocktest.Suspend(d)
	if age := clock.Since(granted); age < d {
		t.Errorf("age %v after a suspension of %v", age, d)
	}
	if left := clock.Until(deadline); left > -time.Second {
		t.Errorf("%v left of 2 s after a suspension of %v", left, d)
	}
	if passed := clock.Boot() - boot; passed < d {
		t.Errorf("boot clock advanced by %v", passed)
	}
	// Suspended may be too small by the time between two reads of the clocks.
	if s := clock.Suspended() - before; s < d-time.Millisecond || s > d+time.Second {
		t.Errorf("suspended for %v, want %v", s, d)
	}
	if age := time.Since(plain); age >= d {
		t.Errorf("package time counts the simulated suspension: %v", age)
	}
}

// TestNowNeverRunsBackward compares readings from several goroutines around suspensions.
func TestNowNeverRunsBackward(t *testing.T) {
	done := make(chan struct{})
	for range 4 {
		go func() {
			defer func() { done <- struct{}{} }()
			for last, n := clock.Now(), 0; n < 2000; n++ {
				now := clock.Now()
				if now.Before(last) {
					t.Errorf("%v after %v", now, last)
					return
				}
				last = now
			}
		}()
	}
	for range 50 {
		clocktest.Suspend(time.Millisecond)
	}
	for range 4 {
		<-done
	}
}

// watchInterval is at least the interval at which Watch looks for suspensions.
const watchInterval = 100 * time.Millisecond

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		_ = clock.Now()
	}
}

// TestWatchReportsSuspensions guards against suspensions that no log line tells of.
func TestWatchReportsSuspensions(t *testing.T) {
	const d = time.Second
	ctx, stop := context.WithCancel(t.Context())
	reported, ended := make(chan time.Duration), make(chan struct{})
	go func() {
		defer close(ended)
		clock.Watch(ctx, func(d time.Duration) {
			select {
			case reported <- d:
			case <-ctx.Done():
			}
		})
	}()
	defer func() { stop(); <-ended }()
	for {
		clocktest.Suspend(d) // again if Watch had not begun
		select {
		case got := <-reported:
			if got < d-time.Millisecond {
				t.Errorf("a suspension of %v reported as %v", d, got)
			}
			return
		case <-time.After(5 * watchInterval):
		}
	}
}
