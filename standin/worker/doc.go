// Package worker is a stand-in worker for tests and demonstrations. It speaks
// the HTTP protocol of workers, runs tasks by waiting, keeps its lease by its
// own monotonic clock, and can misbehave in the ways that workers do.
package worker
