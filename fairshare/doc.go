// Package fairshare divides capacity between teams by weighted max-min fairness.
// Order selects the team of one start at a time, in O(log n) for n teams. MaxMin
// and DominantMaxMin compute complete allocations from demands.
//
// The package reads no clock, starts no goroutines and does no I/O. Its types are
// not safe for concurrent use.
package fairshare
