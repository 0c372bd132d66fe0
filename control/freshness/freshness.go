// Package freshness tells a daemon how long ago a quorum vouched for its
// configuration. A key may have been withdrawn since, so past Window a daemon
// accepts no work that needs a key.
//
// The leader vouches for the version in force once a quorum has confirmed its
// leadership; the age of the vouch counts from the start of that round. Vouches
// travel from the leader through relays to daemons, always as the answer to a
// question. The receiver counts the time since it sent the question, so that
// transit, queues and pauses on the way only make a vouch older, never younger.
//
// Clocks are monotonic, count while the process is stopped, and may run fast or
// slow by 1/DriftDivisor; every measured interval is lengthened accordingly. A
// process that was stopped finds its lease lapsed at the next check, because
// each check reads the clock anew. A check holds for the moment of the check:
// callers check right before they accept work.
package freshness

import (
	"sync"
	"time"
)

const (
	// Window is how old a vouch may be for a daemon to accept keyed work.
	Window = 2 * time.Second
	// DriftDivisor states the drift bound of clocks: 1/DriftDivisor.
	DriftDivisor = 1_000
	// maxVouches bounds the vouches kept for different versions.
	maxVouches = 8
)

// Vouch is a quorum's word that Version was in force Age ago.
type Vouch struct {
	Cluster string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	// Age is the age when the vouch was sent; it is never understated.
	Age time.Duration `cbor:"3,keyasint"`
}

// Clock returns the monotonic time since an arbitrary start. It counts while
// the process is stopped.
type Clock func() time.Duration

// Lease keeps the newest vouches that a daemon has learned. It is safe for
// concurrent use.
type Lease struct {
	cluster string
	window  time.Duration
	clock   Clock
	// ignoreTransit and ignoreDrift disable protections, for tests of the checkers.
	ignoreTransit bool
	ignoreDrift   bool

	mu      sync.Mutex
	vouches []learned
}

// learned is a vouch whose age counts from a moment of the local clock.
type learned struct {
	version uint64
	age     time.Duration
	at      time.Duration
}

// NewLease returns a lease of a cluster without any vouch. A window of 0 means
// Window.
func NewLease(cluster string, window time.Duration, clock Clock) *Lease {
	if window == 0 {
		window = Window
	}
	return &Lease{cluster: cluster, window: window, clock: clock}
}

// Learn takes the answer to a question that was sent at askedAt on the local
// clock. It reports false for vouches of other clusters, with a negative age,
// or that are older than the window.
func (l *Lease) Learn(v Vouch, askedAt time.Duration) bool {
	if v.Cluster != l.cluster || v.Age < 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	if l.ignoreTransit {
		askedAt = now
	}
	n := learned{version: v.Version, age: v.Age, at: askedAt}
	if askedAt > now || l.age(n, now) >= l.window {
		return false
	}
	l.vouches = append(l.vouches, n)
	l.prune(now)
	return true
}

// Confirm records the quorum's own confirmation on the leader: a round that
// began at startedAt confirmed that version is in force.
func (l *Lease) Confirm(version uint64, startedAt time.Duration) bool {
	return l.Learn(Vouch{Cluster: l.cluster, Version: version}, startedAt)
}

// Fresh reports whether a quorum vouched, within the window before this call,
// that no version newer than have was in force.
func (l *Lease) Fresh(have uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	for _, v := range l.vouches {
		if v.version <= have && l.age(v, now) < l.window {
			return true
		}
	}
	return false
}

// Vouch returns the youngest vouch, with its age at this moment, to be passed on
// at once as the answer to a question that was received before this call. It
// reports false if none is within the window.
func (l *Lease) Vouch() (Vouch, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	l.prune(now)
	if len(l.vouches) == 0 {
		return Vouch{}, false
	}
	best := l.vouches[0]
	for _, v := range l.vouches[1:] {
		if l.age(v, now) < l.age(best, now) {
			best = v
		}
	}
	return Vouch{Cluster: l.cluster, Version: best.version, Age: l.age(best, now)}, true
}

// age returns an upper bound of the age of a vouch at a moment of the local clock.
func (l *Lease) age(v learned, now time.Duration) time.Duration {
	elapsed := now - v.at
	if l.ignoreDrift {
		return v.age + elapsed
	}
	return v.age + elapsed + 2*elapsed/DriftDivisor + 1
}

// prune drops vouches that are past the window or no better than another one,
// and the oldest ones over the bound.
func (l *Lease) prune(now time.Duration) {
	kept := l.vouches[:0:0]
	for i, v := range l.vouches {
		if l.age(v, now) < l.window && !l.covered(i, now) {
			kept = append(kept, v)
		}
	}
	if n := len(kept) - maxVouches; n > 0 {
		kept = kept[n:]
	}
	l.vouches = kept
}

// covered reports whether another vouch is at least as young for the same or an
// older version. Of two equal ones the later is kept.
func (l *Lease) covered(i int, now time.Duration) bool {
	v := l.vouches[i]
	for j, o := range l.vouches {
		younger := l.age(o, now) < l.age(v, now) || l.age(o, now) == l.age(v, now) && j > i
		if j != i && o.version <= v.version && younger {
			return true
		}
	}
	return false
}
