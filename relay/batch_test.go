package relay

import "testing"

type testItem int

func (s testItem) weight() int { return int(s) }

func TestCountPerFrame(t *testing.T) {
	for name, tc := range map[string]struct {
		items []testItem
		want  int
	}{
		"all fit":               {[]testItem{1, 2, 3}, 3},
		"up to the limit":       {[]testItem{maxBatchWeight, 1}, 1},
		"exactly the limit":     {[]testItem{maxBatchWeight - 1, 1, 1}, 2},
		"oversized item first":  {[]testItem{maxBatchWeight + 1, 1}, 1},
		"oversized item second": {[]testItem{1, maxBatchWeight + 1}, 1},
		"single item":           {[]testItem{5}, 1},
	} {
		if got := countPerFrame(tc.items); got != tc.want {
			t.Errorf("%s: %d, want %d", name, got, tc.want)
		}
	}
}
