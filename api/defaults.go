package api

import "time"

// BodyLimit returns the maximum size of a request body for the queue, in bytes.
func (q *Queue) BodyLimit() int64 {
	if q.MaxBodyBytes == 0 {
		return DefaultMaxBodyBytes
	}
	return q.MaxBodyBytes
}

// Patience returns the maximum time that a request of the queue may wait for a
// slot.
func (q *Queue) Patience() time.Duration {
	if q.MaxWait == 0 {
		return DefaultMaxWait
	}
	return q.MaxWait.Std()
}

// QueueLimit returns the maximum number of requests of the queue that may wait in
// one availability zone.
func (q *Queue) QueueLimit() int {
	if q.MaxQueued == 0 {
		return DefaultMaxQueued
	}
	return q.MaxQueued
}

// WorkClass returns the scheduling class of the queue.
func (q *Queue) WorkClass() Class {
	if q.Class == "" {
		return ClassQuick
	}
	return q.Class
}

// Weights returns o, or an objective with equal weights if o sets none.
func (o Objective) Weights() Objective {
	if o == (Objective{}) {
		return Objective{BufferCost: 1, RollOutTime: 1, Moves: 1, ShareError: 1}
	}
	return o
}

// LongestRun returns the maximum LongestRun of all services, or 0 if there are
// none.
func (d *Document) LongestRun() time.Duration {
	var longest time.Duration
	for i := range d.Services {
		longest = max(longest, d.Services[i].LongestRun.Std())
	}
	return longest
}
