// Package placement decides which task runs on which worker.
//
// It works on declared sizes and run times that are corrected from usage
// reports, spreads tasks over racks and zones, refuses tasks that fit nowhere,
// parks tasks that keep failing on healthy workers, finds workers that fail
// what others run, and preempts idempotent tasks. It performs no I/O and reads
// no clock; equal input gives equal output.
package placement
