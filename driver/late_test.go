package driver

import (
	"testing"
	"time"

	"magnoliastand.example/workload"
)

// The end of a done task is not acknowledged for an hour once a late run of it was listed. A later
// start order without a reply shortened this to 15 s.
func TestLateStartDoesNotShortenHoldBack(t *testing.T) {
	now := time.Now()
	ref := workload.TaskRef{Job: "j"}
	d := &Driver{lateTasks: map[workload.TaskRef]time.Time{}, lateStarts: map[string][]lateStart{}, sessions: map[string]*session{}}
	s := &session{worker: &workload.Worker{ID: "w1", Incarnation: 2}, held: []heldEnd{{1, ref}}}
	d.sessions["w1"] = s
	d.lateStarts["w1"] = []lateStart{{ref, 3, 1, now.Add(lateOrderTime)}}
	d.noteLateRun(s, ref, 3)
	d.recordLateStart(s, &run{ref: ref, number: 4, worker: "w1"}, now)
	if !d.mayStartLate(ref, now.Add(lateRunTime-time.Minute)) {
		t.Errorf("held back for %s", d.lateTasks[ref].Sub(now))
	}
}
