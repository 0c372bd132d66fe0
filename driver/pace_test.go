package driver

import (
	"testing"
	"time"
)

func TestPaceFollowsTailLatency(t *testing.T) {
	const settle = 100 * time.Millisecond
	s := &session{fillPace: fullPace}
	now := time.Unix(1000, 0)
	look := func(after time.Duration, serving bool, worst int64) int {
		now = now.Add(after)
		s.adjustPace(serving, worst, now, settle)
		return s.fillPace
	}
	if got := look(0, true, 50); got != fullPace {
		t.Fatalf("tail below the lower threshold: pace %d", got)
	}
	if got := look(settle, true, 90); got != 50 {
		t.Errorf("tail above the upper threshold: pace %d", got)
	}
	if got := look(settle/2, true, 90); got != 50 {
		t.Errorf("before the previous change took effect: pace %d", got)
	}
	for range 6 {
		look(settle, true, 120)
	}
	if s.fillPace != 0 {
		t.Errorf("tail continuously above the upper threshold: pace %d", s.fillPace)
	}
	if got := look(settle, true, 70); got != 0 {
		t.Errorf("tail between the thresholds: pace %d", got)
	}
	look(0, true, 10)
	if got := look(lowTailTime, true, 10); got != paceStep {
		t.Errorf("tail low for %s: pace %d", lowTailTime, got)
	}
	if got := look(time.Millisecond, true, 10); got != paceStep {
		t.Errorf("immediately after an increase: pace %d", got)
	}
	if got := look(time.Second, false, 0); got != fullPace {
		t.Errorf("no serving task: pace %d", got)
	}
}
