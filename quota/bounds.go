package quota

import "time"

// DriftDivisor states the drift bound: within any interval a clock errs by at
// most the interval divided by DriftDivisor.
const DriftDivisor = 1_000

// Defaults of Bounds.
const (
	// DefaultLease is how long a renewal covers a holder.
	DefaultLease = 2 * time.Second
	// DefaultStartWithin bounds the time from receipt of a grant to its first byte.
	DefaultStartWithin = time.Second
)

// Bounds are the time bounds that the ledger and all holders agree on.
type Bounds struct {
	// Lease is how long a renewal covers a holder, from the holder's question.
	Lease time.Duration
	// StartWithin bounds the time from receipt of a grant to its first byte.
	StartWithin time.Duration
}

// DefaultBounds returns the default bounds.
func DefaultBounds() Bounds {
	return Bounds{Lease: DefaultLease, StartWithin: DefaultStartWithin}
}

// holderLease returns the lease as the holder counts it: short enough that it
// ends within Lease of real time on a slow clock.
func (b Bounds) holderLease() time.Duration {
	return b.Lease - 2*b.Lease/DriftDivisor
}

// noStart returns how long after its end a term may still start work, as the
// ledger counts it.
func (b Bounds) noStart() time.Duration { return lengthen(b.Lease + b.StartWithin) }

// ended returns how long after its end work of a term may still run, as the
// ledger counts it.
func (b Bounds) ended(longestRun time.Duration) time.Duration {
	return lengthen(b.Lease + b.StartWithin + longestRun)
}

// lengthen returns an interval that on a fast clock still lasts as long as d
// does on a slow one.
func lengthen(d time.Duration) time.Duration { return d + 3*d/DriftDivisor + 1 }
