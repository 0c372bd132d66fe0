package system

import "time"

const (
	// suspectAfter is the time without a reply to any call after which the leader is
	// suspected. A healthy leader answers calls that commit within tens of
	// milliseconds and may be busy for 100 ms; three times that is no pause of a
	// healthy one, and well below the 0.5 to 0.9 s until the next leader leads.
	suspectAfter = 300 * time.Millisecond
	// usualRecovery is the time within which an outage is expected to end: twice the
	// usual time to the next leader, since a first election may fail.
	usualRecovery = 1500 * time.Millisecond
	// An outage that has lasted for longer than usualRecovery is taken to end within
	// a further time d with probability d/(d+lasted), as if it were as likely to last
	// as long again. A request that was never sent is rejected if the outage ends in
	// time with a probability below 1/unsentOdds; one whose outcome is unknown gets
	// its final response below 1/unknownOdds. The latter is larger, because the caller
	// can do nothing until it has a response, and waits for most of its timeout.
	unsentOdds  = 20
	unknownOdds = 5
	// minConnectTime is granted for a connection to a leader that is not suspected,
	// however long the outage: a handshake takes some round trips between zones.
	minConnectTime = 100 * time.Millisecond
)

// action is what an edge does with a request.
type action int

const (
	// actionSend sends the request to the leader.
	actionSend action = iota
	// actionHold waits for the leader to respond, or for another one.
	actionHold
	// actionReject answers that the request has not run.
	actionReject
	// actionGiveUp answers that the outcome of the request is unknown.
	actionGiveUp
)

// callState is what an edge knows of a request and of the leader.
type callState struct {
	// elapsed is the time since the request arrived, and timeout how long its caller
	// waits in total.
	elapsed, timeout time.Duration
	// leaderKnown is whether a leader is known, and silence for how long it has left
	// calls without any reply.
	leaderKnown bool
	silence     time.Duration
	// backoff is the time until the next attempt after a failed one.
	backoff time.Duration
	// outage is for how long no leader has served any request of this edge.
	outage time.Duration
	// outcomeUnknown is whether an attempt of the request may have run.
	outcomeUnknown bool
}

// window returns for how long the request may still be sent for the first time, or
// sent again if its outcome is unknown.
func (s *callState) window() time.Duration {
	if s.outcomeUnknown {
		return s.timeout/10*deadlineTenths - s.elapsed
	}
	return s.timeout/leaderWaitDivisor - s.elapsed
}

// decide returns what to do with a request. For actionHold it also returns the time after
// which to decide again if nothing changes before, and for actionSend how long the edge may
// wait for a connection to the leader.
func decide(s *callState) (action, time.Duration) {
	final, odds := actionReject, time.Duration(unsentOdds)
	if s.outcomeUnknown {
		final, odds = actionGiveUp, unknownOdds
	}
	left := s.window()
	if left <= 0 {
		return final, 0
	}
	// The probability of an end of the outage in time falls below 1/odds after this time.
	unlikelyIn := max(((odds-1)*left-s.outage)/odds, usualRecovery-s.outage)
	responsive := s.leaderKnown && s.silence < suspectAfter
	if responsive && s.backoff <= 0 {
		return actionSend, min(left, max(unlikelyIn, minConnectTime))
	}
	if unlikelyIn <= 0 {
		return final, 0
	}
	wait := min(left, unlikelyIn)
	if responsive {
		wait = min(wait, s.backoff)
	}
	return actionHold, wait + time.Millisecond // rounded up: no second decision just before the time
}

const (
	// maxRetryAfter bounds the time that rejected callers are told to wait, before
	// the jitter, so that they return soon after a long outage.
	maxRetryAfter = 8 * time.Second
	// retryJitterDivisor divides the time to wait; the quotient is the range of the
	// jitter, at least one second because the wire has whole seconds.
	retryJitterDivisor = 2
)

// retryAfter returns after how long a rejected caller is likely to be served: after
// an outage as long as so far, and at least minimum. random returns a number in
// [0, n). Without an outage the result is minimum.
func retryAfter(minimum, outage time.Duration, random func(n int64) int64) time.Duration {
	if outage <= 0 {
		return minimum
	}
	wait := max(minimum, min(outage, maxRetryAfter)).Round(time.Second)
	wait = max(wait, minimum, time.Second)
	jitter := max(int64(wait/retryJitterDivisor/time.Second), 1)
	return wait + time.Duration(random(jitter+1))*time.Second
}
