// Package explain tells the story of a job, task, worker, instance, wave or
// configuration version from the structured logs of any number of daemons. The logs
// may be out of order and may have holes; what they do not show is said.
package explain
