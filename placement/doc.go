// Package placement decides which task runs on which worker.
//
// Declared sizes and run times are corrected from usage reports. Tasks are
// spread over racks and zones. A task that fits no worker is refused, and a
// task that keeps failing on healthy workers is parked. Workers that fail tasks
// which succeed elsewhere are reported as suspect, and idempotent tasks may be
// preempted. The package performs no I/O and reads no clock: equal input gives
// equal output.
package placement
