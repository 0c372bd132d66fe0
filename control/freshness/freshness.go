// Package freshness bounds the staleness of a daemon's configuration. A Lease
// tracks how long ago a quorum confirmed that the configuration was current. A key
// may have been withdrawn since then, so a daemon must not accept requests that
// need a key once the confirmation is older than Window.
//
// The leader issues a confirmation (Vouch) for the version in force after a quorum
// has confirmed its leadership; the age is measured from the start of that round.
// Confirmations propagate from the leader through relays to daemons, always as the
// response to a request. The receiver measures the age from the time it sent the
// request, so delays in transit, in queues or in suspended processes can only
// overstate the age, never understate it.
//
// Clocks are monotonic, advance while the process is suspended, and may run fast
// or slow by 1/DriftDivisor; every measured interval is extended accordingly. After
// a suspension the lease has expired at the next check, because each check reads
// the clock. The result is valid only at the time of the check, so callers check
// immediately before they accept a request.
package freshness

import (
	"sync"
	"time"
)

const (
	// Window is the maximum age of a confirmation at which a daemon accepts requests
	// that need a key.
	Window = 2 * time.Second
	// DriftDivisor defines the maximum clock drift as 1/DriftDivisor.
	DriftDivisor = 1_000
	// maxConfirmations is the maximum number of confirmations kept, each for a
	// different version.
	maxConfirmations = 8
)

// Vouch is the confirmation of a quorum that Version was in force Age ago.
type Vouch struct {
	Cluster string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	// Age is an upper bound of the age at the time of sending.
	Age time.Duration `cbor:"3,keyasint"`
}

// Clock returns the monotonic time since an arbitrary start. It must advance while
// the process is suspended.
type Clock func() time.Duration

// Lease stores the most recent confirmations that a daemon has received. It is safe
// for concurrent use.
type Lease struct {
	cluster string
	window  time.Duration
	clock   Clock
	// ignoreTransit and ignoreDrift turn off protections. Tests set them to verify
	// that the checker detects the resulting violations.
	ignoreTransit bool
	ignoreDrift   bool

	mu            sync.Mutex
	confirmations []localConfirmation
}

// localConfirmation is a confirmation with the given age at the local time since.
type localConfirmation struct {
	version uint64
	age     time.Duration
	since   time.Duration
}

// NewLease returns a lease for a cluster, without any confirmation. A window of 0
// selects Window.
func NewLease(cluster string, window time.Duration, clock Clock) *Lease {
	if window == 0 {
		window = Window
	}
	return &Lease{cluster: cluster, window: window, clock: clock}
}

// Learn records the confirmation received in response to a request that was sent at
// requestedAt on the local clock. It reports false and ignores the confirmation if
// it is for another cluster, has a negative age, is older than the window, or if
// requestedAt is in the future.
func (l *Lease) Learn(v Vouch, requestedAt time.Duration) bool {
	if v.Cluster != l.cluster || v.Age < 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	if l.ignoreTransit {
		requestedAt = now
	}
	n := localConfirmation{version: v.Version, age: v.Age, since: requestedAt}
	if requestedAt > now || l.age(n, now) >= l.window {
		return false
	}
	l.confirmations = append(l.confirmations, n)
	l.prune(now)
	return true
}

// Confirm records on the leader that a quorum round started at startedAt has
// confirmed version as the version in force.
func (l *Lease) Confirm(version uint64, startedAt time.Duration) bool {
	return l.Learn(Vouch{Cluster: l.cluster, Version: version}, startedAt)
}

// Fresh reports whether a quorum has confirmed, within the window before this call,
// that no newer version than the given one was in force.
func (l *Lease) Fresh(version uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	for _, v := range l.confirmations {
		if v.version <= version && l.age(v, now) < l.window {
			return true
		}
	}
	return false
}

// Vouch returns the confirmation with the lowest age at this time. The caller must
// send it immediately, in response to a request received before this call. Vouch
// reports false if no confirmation is within the window.
func (l *Lease) Vouch() (Vouch, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	l.prune(now)
	if len(l.confirmations) == 0 {
		return Vouch{}, false
	}
	best := l.confirmations[0]
	for _, v := range l.confirmations[1:] {
		if l.age(v, now) < l.age(best, now) {
			best = v
		}
	}
	return Vouch{Cluster: l.cluster, Version: best.version, Age: l.age(best, now)}, true
}

// age returns an upper bound of the age of a confirmation at local time now. For a
// local clock that is slow by 1/DriftDivisor, 1+2/DriftDivisor is an upper bound of
// the required correction; the added nanosecond rounds up.
func (l *Lease) age(v localConfirmation, now time.Duration) time.Duration {
	elapsed := now - v.since
	if l.ignoreDrift {
		return v.age + elapsed
	}
	return v.age + elapsed + 2*elapsed/DriftDivisor + 1
}

// prune removes confirmations that are outside the window or superseded, and the
// oldest ones over maxConfirmations.
func (l *Lease) prune(now time.Duration) {
	kept := l.confirmations[:0:0]
	for i, v := range l.confirmations {
		if l.age(v, now) < l.window && !l.superseded(i, now) {
			kept = append(kept, v)
		}
	}
	if n := len(kept) - maxConfirmations; n > 0 {
		kept = kept[n:]
	}
	l.confirmations = kept
}

// superseded reports whether another confirmation for the same or an older version
// has the same or a lower age. Of two equal confirmations the later one is kept.
func (l *Lease) superseded(i int, now time.Duration) bool {
	v := l.confirmations[i]
	for j, o := range l.confirmations {
		younger := l.age(o, now) < l.age(v, now) || l.age(o, now) == l.age(v, now) && j > i
		if j != i && o.version <= v.version && younger {
			return true
		}
	}
	return false
}
