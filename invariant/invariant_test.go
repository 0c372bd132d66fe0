package invariant

import "testing"

func TestCheckReportsToSink(t *testing.T) {
	var got []Breach
	previous := SetSink(func(b Breach) { got = append(got, b) })
	defer func() { SetSink(previous) }()
	if Check(false, TeamLimit, "team %s", "a") {
		t.Fatal("Check returned true for a breach")
	}
	if len(got) != 1 || got[0].Detail != "team a" || Count(TeamLimit) != 1 {
		t.Fatalf("got breaches %v", got)
	}
}

func TestCheckPanicsWithoutSink(t *testing.T) {
	previous := SetSink(nil)
	defer func() { SetSink(previous) }()
	defer func() {
		if recover() == nil {
			t.Fatal("Check did not panic without a sink")
		}
	}()
	Check(false, SlotBound, "over")
}
