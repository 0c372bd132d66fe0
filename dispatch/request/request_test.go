package request

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	"magnoliastand.example/api"
	"magnoliastand.example/invariant"
)

// TestNextAllowsOnlyListedTransitions compares Next with a list of all allowed
// transitions.
func TestNextAllowsOnlyListedTransitions(t *testing.T) {
	allowed := map[State]map[Event]State{
		Received: {Ask: Waiting, Answer: Answered, Refuse: Refused, EndUnknown: Unknown},
		Waiting:  {Grant: Granted, Refuse: Refused, EndUnknown: Unknown},
		Granted:  {Send: Dispatching, Withdraw: Waiting, Refuse: Refused, EndUnknown: Unknown},
		Dispatching: {
			Answer: Answered, NotAccepted: Waiting, Retry: Waiting, EndUnknown: Unknown,
		},
	}
	for s := State(0); s <= Unknown+1; s++ {
		for e := Event(0); e <= EndUnknown+1; e++ {
			want, ok := allowed[s][e]
			if !ok {
				want = s
			}
			if got, can := Next(s, e); got != want || can != ok {
				t.Errorf("Next(%s, %s) = %s, %t", s, e, got, can)
			}
		}
	}
}

// TestTrackerReportsNotRunOnlyIfTrue applies random events and compares the
// reported run status with a count of attempts that no endpoint reported as not
// accepted.
func TestTrackerReportsNotRunOnlyIfTrue(t *testing.T) {
	violations := 0
	old := invariant.SetSink(func(invariant.Breach) { violations++ })
	defer func() { invariant.SetSink(old) }()
	rapid.Check(t, func(rt *rapid.T) {
		idempotent := rapid.Bool().Draw(rt, "idempotent")
		earlier := rapid.Bool().Draw(rt, "earlier")
		tr := NewTracker("x", idempotent, earlier)
		openAttempts := 0
		if earlier {
			openAttempts = 1
		}
		for _, e := range rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Event {
			return Event(rapid.IntRange(int(Ask), int(EndUnknown)).Draw(t, "event"))
		}), 1, 40).Draw(rt, "events") {
			before := tr.State()
			if err := tr.Apply(e); err != nil {
				if tr.State() != before {
					rt.Fatalf("failed %s moved %s to %s", e, before, tr.State())
				}
				if !errors.Is(err, ErrTransition) && !errors.Is(err, ErrMayHaveRun) {
					rt.Fatal(err)
				}
				continue
			}
			switch e {
			case Send:
				if openAttempts > 0 && !idempotent {
					rt.Fatal("second start of a non-idempotent request")
				}
				openAttempts++
			case NotAccepted:
				openAttempts--
			}
			if tr.Run() == api.RunNot && openAttempts > 0 {
				rt.Fatalf("not-run in state %s with %d attempts that may have run", tr.State(), openAttempts)
			}
		}
		if run := tr.End(); run == api.RunNot && openAttempts > 0 {
			rt.Fatalf("ended as not-run with %d attempts that may have run", openAttempts)
		}
		if !tr.State().Final() {
			rt.Fatalf("ended in %s", tr.State())
		}
	})
	if violations == 0 {
		t.Fatal("the invariants never fired, so the events did not reach them")
	}
}
