package driver

import (
	"testing"
	"time"
)

func TestPaceFollowsTheTails(t *testing.T) {
	const settle = 100 * time.Millisecond
	s := &session{fillPace: fullPace}
	now := time.Unix(1000, 0)
	look := func(after time.Duration, serving bool, worst int64) int {
		now = now.Add(after)
		s.adjustPace(serving, worst, now, settle)
		return s.fillPace
	}
	if got := look(0, true, 50); got != fullPace {
		t.Fatalf("calm tails: pace %d", got)
	}
	if got := look(settle, true, 90); got != 50 {
		t.Errorf("a tail near its target: pace %d", got)
	}
	if got := look(settle/2, true, 90); got != 50 {
		t.Errorf("before the change took effect: pace %d", got)
	}
	for range 6 {
		look(settle, true, 120)
	}
	if s.fillPace != 0 {
		t.Errorf("a tail that stays high: pace %d", s.fillPace)
	}
	if got := look(settle, true, 70); got != 0 {
		t.Errorf("between the two bounds: pace %d", got)
	}
	look(0, true, 10)
	if got := look(calmTime, true, 10); got != paceStep {
		t.Errorf("calm for %s: pace %d", calmTime, got)
	}
	if got := look(time.Millisecond, true, 10); got != paceStep {
		t.Errorf("right after a step: pace %d", got)
	}
	if got := look(time.Second, false, 0); got != fullPace {
		t.Errorf("nothing serves any more: pace %d", got)
	}
}
