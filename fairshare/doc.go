// Package fairshare divides capacity between teams by weighted max-min
// fairness. Order decides one start at a time and costs O(log n) for n teams;
// MaxMin and DominantShares compute whole allocations from demands.
//
// All of it is pure: no clock, no goroutine, no I/O. Types are not safe for
// concurrent use.
package fairshare
