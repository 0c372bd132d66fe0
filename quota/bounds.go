package quota

import "time"

// DriftDivisor sets the bound on clock drift: over any interval a clock is off
// by at most the interval divided by DriftDivisor.
const DriftDivisor = 1_000

// Default values of Bounds.
const (
	// DefaultLease is the duration of a lease.
	DefaultLease = 2 * time.Second
	// DefaultStartWithin bounds the time from receipt of a grant to its first byte.
	DefaultStartWithin = time.Second
)

// Bounds are the time bounds that the ledger and all holders share.
type Bounds struct {
	// Lease is the duration of a lease, counted from when the holder sent the
	// demand that the renewal answers.
	Lease time.Duration
	// StartWithin bounds the time from receipt of a grant to its first byte.
	StartWithin time.Duration
}

// DefaultBounds returns the default bounds.
func DefaultBounds() Bounds {
	return Bounds{Lease: DefaultLease, StartWithin: DefaultStartWithin}
}

// holderLease returns the lease duration on the holder's clock, shortened so that
// the lease expires within Lease of real time even if the clock runs slow.
func (b Bounds) holderLease() time.Duration {
	return b.Lease - 2*b.Lease/DriftDivisor
}

// startWindow returns how long after its end a term may still start work, in
// cluster time.
func (b Bounds) startWindow() time.Duration { return padForDrift(b.Lease + b.StartWithin) }

// runWindow returns how long after the end of a term its work may still run, in
// cluster time.
func (b Bounds) runWindow(longestRun time.Duration) time.Duration {
	return padForDrift(b.Lease + b.StartWithin + longestRun)
}

// padForDrift lengthens d so that the result, measured on a fast clock, lasts at
// least as long as d measured on a slow clock.
func padForDrift(d time.Duration) time.Duration { return d + 3*d/DriftDivisor + 1 }
