package relay

import "testing"

type sized int

func (s sized) weight() int { return int(s) }

func TestFitting(t *testing.T) {
	for name, tc := range map[string]struct {
		items []sized
		want  int
	}{
		"all fit":                 {[]sized{1, 2, 3}, 3},
		"up to the bound":         {[]sized{maxBatchWeight, 1}, 1},
		"exactly the bound":       {[]sized{maxBatchWeight - 1, 1, 1}, 2},
		"one beyond goes alone":   {[]sized{maxBatchWeight + 1, 1}, 1},
		"one beyond waits":        {[]sized{1, maxBatchWeight + 1}, 1},
		"a single item is enough": {[]sized{5}, 1},
	} {
		if got := countPerFrame(tc.items); got != tc.want {
			t.Errorf("%s: %d, want %d", name, got, tc.want)
		}
	}
}
