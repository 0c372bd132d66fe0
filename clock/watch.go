package clock

import (
	"context"
	"time"
)

const (
	// watchInterval is the interval at which Watch looks for suspensions.
	watchInterval = 100 * time.Millisecond
	// shortestSuspension is the shortest suspension that Watch reports by itself. Shorter
	// ones are added up.
	shortestSuspension = 50 * time.Millisecond
)

// Watch calls f with the length of each suspension of the machine, until ctx ends.
func Watch(ctx context.Context, f func(suspended time.Duration)) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for reported := Suspended(); ; {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if total := Suspended(); total-reported >= shortestSuspension {
			f(total - reported)
			reported = total
		}
	}
}
