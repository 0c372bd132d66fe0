// Package scheduler plans the next changes to jobs and workers: it assigns jobs
// to workers, refuses, parks and preempts jobs, and declares workers lost or
// quarantined. A plan is a pure function of a view; the state validates each
// change again when it is applied.
package scheduler
