package invariant

import "testing"

func TestCheckReportsToSink(t *testing.T) {
	var got []Breach
	old := SetSink(func(b Breach) { got = append(got, b) })
	defer func() { SetSink(old) }()
	if Check(false, TeamLimit, "team %s", "a") {
		t.Fatal("Check returned true for a breach")
	}
	if len(got) != 1 || got[0].Detail != "team a" || Count(TeamLimit) != 1 {
		t.Fatalf("got %v", got)
	}
}

func TestCheckPanicsWithoutSink(t *testing.T) {
	old := SetSink(nil)
	defer func() { SetSink(old) }()
	defer func() {
		if recover() == nil {
			t.Fatal("no panic")
		}
	}()
	Check(false, SlotBound, "over")
}
