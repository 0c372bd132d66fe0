package plan_test

import (
	"maps"
	"testing"
)

// TestAdmissionRejectsOnlyImpossibleJobs plays each load with and without admission control.
// It fails if a notable part of the rejected jobs is done before it has lost its value when all
// are accepted, or if admission control lowers the number of jobs in time.
func TestAdmissionRejectsOnlyImpossibleJobs(t *testing.T) {
	scenarios := maps.Clone(overloadScenarios)
	maps.Copy(scenarios, surgeScenarios)
	scenarios["four times what the pool holds"] = overload{rate: 190, arrive: 8000, workers: 60, ready: atOnce, estimateError: 0.2}
	for name, o := range scenarios {
		var jobs, rejected, possible, missed, missedBefore, inTime, inTimeBefore int
		without := o.play(t, 0)
		o.admit = true
		for id, j := range o.play(t, 0) {
			all := without[id]
			doneWithout := all.done != 0 && all.done <= all.expires
			jobs++
			switch {
			case j.rejected:
				rejected++
				if doneWithout {
					possible++
				}
			case j.done == 0 || j.done > j.expires:
				missed++
			case j.done <= j.due:
				inTime++
			}
			if !doneWithout {
				missedBefore++
			} else if all.done <= all.due {
				inTimeBefore++
			}
		}
		t.Logf("%s: %d jobs, %d rejected, %d of them possible, %d accepted and missed (%d before), %d in time (%d before)",
			name, jobs, rejected, possible, missed, missedBefore, inTime, inTimeBefore)
		if possible*10 > rejected || inTime*100 < inTimeBefore*99 {
			t.Errorf("%s: %d of %d rejected jobs were possible, %d jobs in time, %d without admission control", name, possible, rejected, inTime, inTimeBefore)
		}
	}
}
