package api

import "time"

// BodyLimit returns the largest request body of the queue, in bytes.
func (q *Queue) BodyLimit() int64 {
	if q.MaxBodyBytes == 0 {
		return DefaultMaxBodyBytes
	}
	return q.MaxBodyBytes
}

// Patience returns how long a request of the queue may wait for a slot.
func (q *Queue) Patience() time.Duration {
	if q.MaxWait == 0 {
		return DefaultMaxWait
	}
	return q.MaxWait.Std()
}

// Backlog returns how many requests of the queue may wait in one availability zone.
func (q *Queue) Backlog() int {
	if q.MaxQueued == 0 {
		return DefaultMaxQueued
	}
	return q.MaxQueued
}

// WorkClass returns the class of the queue's work.
func (q *Queue) WorkClass() Class {
	if q.Class == "" {
		return ClassQuick
	}
	return q.Class
}

// Weights returns the objective with equal weights when none is set.
func (o Objective) Weights() Objective {
	if o == (Objective{}) {
		return Objective{BufferCost: 1, RollOutTime: 1, Moves: 1, ShareError: 1}
	}
	return o
}

// LongestRun returns the longest run time over all services; 0 without services.
func (d *Document) LongestRun() time.Duration {
	var longest time.Duration
	for i := range d.Services {
		longest = max(longest, d.Services[i].LongestRun.Std())
	}
	return longest
}
