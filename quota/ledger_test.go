package quota

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"magnoliastand.example/invariant"
)

const (
	checkerSeeds  = 1_000
	scheduleSteps = 200
)

// TestRunningUnitsNeverExceedLedger runs random schedules and checks after each
// step that no more units run than the ledger counts. It restores the ledger from
// its state at a random interval.
func TestRunningUnitsNeverExceedLedger(t *testing.T) {
	started, transfers := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		steps := rapid.IntRange(scheduleSteps/4, scheduleSteps).Draw(t, "steps")
		m := newModel(seed)
		restoreEvery := rapid.IntRange(3, 50).Draw(t, "restore")
		for i, s := range generateSteps(seed, steps) {
			m.apply(s)
			if err := m.check(); err != nil {
				t.Fatalf("step %d: %v", i, err)
			}
			if i%restoreEvery == 0 {
				state := m.ledger.State()
				m.ledger = RestoreLedger(modelBounds, &state)
				if again := m.ledger.State(); !reflect.DeepEqual(state, again) {
					t.Fatalf("restored ledger differs: %+v, %+v", state, again)
				}
			}
		}
		started += m.started
		transfers += m.transfers
	})
	t.Logf("%d units started, %d transfers", started, transfers)
	if started == 0 || transfers == 0 {
		t.Fatalf("the schedules cover too little: %d units started, %d transfers", started, transfers)
	}
}

// TestCheckerDetectsEachDisabledCheck disables one safety check at a time and
// requires that the model detects the violation.
func TestCheckerDetectsEachDisabledCheck(t *testing.T) {
	old := invariant.SetSink(func(invariant.Breach) {})
	defer func() { invariant.SetSink(old) }()
	for name, disable := range map[string]func(*model){
		"free check":         func(m *model) { m.ledger.disabled.freeCheck = true },
		"retirement":         func(m *model) { m.ledger.disabled.retirement = true },
		"applied check":      func(m *model) { m.ledger.disabled.appliedCheck = true },
		"transfer once":      func(m *model) { m.ledger.disabled.transferOnce = true },
		"transfer wait":      func(m *model) { m.ledger.disabled.transferWait = true },
		"previous run bound": func(m *model) { m.ledger.disabled.previousRunBound = true },
		"origin check":       func(m *model) { m.originChecksDisabled = true },
	} {
		seed := findViolation(disable)
		if seed < 0 {
			t.Errorf("%s disabled: no violation in %d schedules", name, checkerSeeds)
			continue
		}
		t.Logf("%s disabled: violation with seed %d", name, seed)
	}
	if seed := findViolation(func(*model) {}); seed >= 0 {
		t.Errorf("no check disabled: violation with seed %d", seed)
	}
}

// findViolation returns the first seed whose schedule violates the limit, or -1.
func findViolation(disable func(*model)) int {
	for seed := range checkerSeeds {
		m := newModel(uint64(seed))
		disable(m)
		before := invariant.Count(invariant.TeamLimit)
		for _, s := range generateSteps(uint64(seed), scheduleSteps) {
			m.apply(s)
			if m.check() != nil || invariant.Count(invariant.TeamLimit) > before {
				return seed
			}
		}
	}
	return -1
}
