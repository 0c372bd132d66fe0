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

// TestNeverMoreRunningThanCounted is the main proof; it restores the ledger
// from its state at random points.
func TestNeverMoreRunningThanCounted(t *testing.T) {
	started, transfers := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		steps := rapid.IntRange(scheduleSteps/4, scheduleSteps).Draw(t, "steps")
		m := newModel(seed)
		restoreEvery := rapid.IntRange(3, 50).Draw(t, "restore")
		for i, s := range drawSteps(seed, steps) {
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
		t.Fatalf("the model is idle: %d units started, %d transfers", started, transfers)
	}
}

// TestCheckerCatchesEachBreach takes out one protection after the other and
// requires that the model finds the breach.
func TestCheckerCatchesEachBreach(t *testing.T) {
	old := invariant.SetSink(func(invariant.Breach) {})
	defer func() { invariant.SetSink(old) }()
	for name, off := range map[string]func(*model){
		"free check":      func(m *model) { m.ledger.disabled.freeCheck = true },
		"retirement":      func(m *model) { m.ledger.disabled.retirement = true },
		"applied check":   func(m *model) { m.ledger.disabled.appliedCheck = true },
		"transfer once":   func(m *model) { m.ledger.disabled.transferOnce = true },
		"transfer wait":   func(m *model) { m.ledger.disabled.transferWait = true },
		"prior run bound": func(m *model) { m.ledger.disabled.previousRunBound = true },
		"origin check":    func(m *model) { m.credulous = true },
	} {
		seed := findBreach(off)
		if seed < 0 {
			t.Errorf("%s off: no breach in %d schedules", name, checkerSeeds)
			continue
		}
		t.Logf("%s off: breach with seed %d", name, seed)
	}
	if seed := findBreach(func(*model) {}); seed >= 0 {
		t.Errorf("nothing off: breach with seed %d", seed)
	}
}

// findBreach returns the first seed whose schedule breaches, or -1.
func findBreach(off func(*model)) int {
	for seed := range checkerSeeds {
		m := newModel(uint64(seed))
		off(m)
		before := invariant.Count(invariant.TeamLimit)
		for _, s := range drawSteps(uint64(seed), scheduleSteps) {
			m.apply(s)
			if m.check() != nil || invariant.Count(invariant.TeamLimit) > before {
				return seed
			}
		}
	}
	return -1
}
