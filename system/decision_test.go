package system

import (
	"testing"
	"time"
)

const (
	ms = time.Millisecond
	// usualTimeout is how long callers usually wait.
	usualTimeout = 3 * time.Second
)

// Each case names the load and the failure that a wrong decision causes.
func TestDecide(t *testing.T) {
	for name, tc := range map[string]struct {
		state callState
		want  action
		// within bounds the time to the next decision of actionHold, and if above 0 the
		// time to connect of actionSend.
		within time.Duration
	}{
		"peak, leader busy for 100 ms: holding would lower the throughput": {
			callState{timeout: usualTimeout, leaderKnown: true, silence: 100 * ms}, actionSend, 0},
		"peak, leader commits in 50 ms and was busy for 200 ms": {
			callState{timeout: usualTimeout, leaderKnown: true, silence: 250 * ms}, actionSend, 0},
		"any load, leader silent: sending would make the outcome unknown": {
			callState{timeout: usualTimeout, leaderKnown: true, silence: suspectAfter, outage: suspectAfter}, actionHold, 750 * ms},
		"retry of an unknown outcome to a silent leader: it would not be answered either": {
			callState{elapsed: time.Second, timeout: usualTimeout, leaderKnown: true, silence: time.Second, outage: time.Second,
				outcomeUnknown: true}, actionHold, 1400 * ms},
		"no leader known": {
			callState{timeout: usualTimeout}, actionHold, 750 * ms},
		"no leader known, a quarter of the timeout is over: rejected later than before": {
			callState{elapsed: 750 * ms, timeout: usualTimeout, outage: 750 * ms}, actionReject, 0},
		"leader responds again within the quarter": {
			callState{elapsed: 700 * ms, timeout: usualTimeout, leaderKnown: true, outage: time.Second}, actionSend, 0},
		"leader responds again after the quarter: a caller that has been told not run must not be sent": {
			callState{elapsed: 760 * ms, timeout: usualTimeout, leaderKnown: true, outage: time.Second}, actionReject, 0},
		"leader refuses, next attempt in 20 ms": {
			callState{elapsed: 100 * ms, timeout: usualTimeout, leaderKnown: true, backoff: 20 * ms, outage: 100 * ms}, actionHold, 21 * ms},
		"unknown outcome, next leader known: the request must be resolved by it": {
			callState{elapsed: 2300 * ms, timeout: usualTimeout, leaderKnown: true, outage: 2300 * ms, outcomeUnknown: true}, actionSend, 0},
		"unknown outcome, usual time to the next leader: given up too early": {
			callState{elapsed: 1400 * ms, timeout: usualTimeout, outage: 1400 * ms, outcomeUnknown: true}, actionHold, 600 * ms},
		"unknown outcome, outage longer than usual, end of the timeout near: held for no use": {
			callState{elapsed: 2 * time.Second, timeout: usualTimeout, outage: 2 * time.Second, outcomeUnknown: true}, actionGiveUp, 0},
		"unknown outcome, end of the timeout": {
			callState{elapsed: 2400 * ms, timeout: usualTimeout, leaderKnown: true, outcomeUnknown: true}, actionGiveUp, 0},
		"outage of 5 s, request arrives: the outage may still end in time": {
			callState{timeout: usualTimeout, outage: 5 * time.Second}, actionHold, 750 * ms},
		"outage of 15 s, request arrives: held for no use": {
			callState{timeout: usualTimeout, outage: 15 * time.Second}, actionReject, 0},
		"outage of 10 s, caller waits for a minute: it can be served": {
			callState{timeout: time.Minute, outage: 10 * time.Second}, actionHold, 15 * time.Second},
		"outage of 20 s, leader responds again: first request after it": {
			callState{timeout: usualTimeout, leaderKnown: true, outage: 20 * time.Second}, actionSend, minConnectTime},
		"unknown outcome, link broken, leader unreachable: held until the end of the timeout by the connection": {
			callState{elapsed: 1800 * ms, timeout: usualTimeout, leaderKnown: true, outage: 1800 * ms, outcomeUnknown: true},
			actionSend, 120 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			got, wait := decide(&tc.state)
			if got != tc.want {
				t.Fatalf("action %d, want %d", got, tc.want)
			}
			if got == actionHold && (wait <= 0 || wait > tc.within+ms) {
				t.Errorf("next decision after %s, want at most %s", wait, tc.within)
			}
			if got == actionSend && (wait <= 0 || wait > tc.state.window() || tc.within > 0 && wait > tc.within) {
				t.Errorf("time to connect %s, want at most %s", wait, tc.within)
			}
			if (got == actionReject || got == actionGiveUp) && wait != 0 {
				t.Errorf("next decision after %s, want none", wait)
			}
		})
	}
}

// Guards against requests that are held beyond their limit, or decided on again and again:
// if nothing changes, the second decision is final. No request whose outcome is unknown may
// be rejected as not run, and no other one gets an unknown outcome.
func TestHeldRequestIsDecidedOnOnceMore(t *testing.T) {
	for _, timeout := range []time.Duration{40 * ms, 200 * ms, time.Second, usualTimeout, 20 * time.Second, time.Minute} {
		for outage := time.Duration(0); outage < 2*time.Minute; outage = outage*5/4 + 7*ms {
			for _, unknown := range []bool{false, true} {
				s := callState{timeout: timeout, outage: outage, outcomeUnknown: unknown}
				got, wait := decide(&s)
				if got == actionHold {
					s.elapsed += wait
					s.outage += wait
					got, _ = decide(&s)
				}
				want, limit := actionReject, timeout/leaderWaitDivisor
				if unknown {
					want, limit = actionGiveUp, timeout/10*deadlineTenths
				}
				if got != want || s.elapsed > limit+ms {
					t.Errorf("timeout %s, outage %s, unknown %t: action %d after %s, want %d within %s",
						timeout, outage, unknown, got, s.elapsed, want, limit)
				}
			}
		}
	}
}

// Guards against callers that return in the middle of an outage, all at the same moment, or
// sooner than the setting says.
func TestRetryAfterGrowsWithOutage(t *testing.T) {
	lowest := func(int64) int64 { return 0 }
	highest := func(n int64) int64 { return n - 1 }
	for _, tc := range []struct{ minimum, outage, low, high time.Duration }{
		{time.Second, 0, time.Second, time.Second},
		{1500 * ms, 0, 1500 * ms, 1500 * ms},
		{time.Second, 300 * ms, time.Second, 2 * time.Second},
		{time.Second, 4 * time.Second, 4 * time.Second, 6 * time.Second},
		{time.Second, time.Hour, maxRetryAfter, maxRetryAfter + 4*time.Second},
		{20 * time.Second, 4 * time.Second, 20 * time.Second, 30 * time.Second},
	} {
		low, high := retryAfter(tc.minimum, tc.outage, lowest), retryAfter(tc.minimum, tc.outage, highest)
		if low != tc.low || high != tc.high {
			t.Errorf("minimum %s, outage %s: %s to %s, want %s to %s", tc.minimum, tc.outage, low, high, tc.low, tc.high)
		}
	}
}
