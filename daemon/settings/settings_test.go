package settings

import (
	"errors"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestParse runs the tables in testdata: a settings file in, its faults or "ok" out.
func TestParse(t *testing.T) {
	datadriven.RunTest(t, "testdata/parse", func(_ *testing.T, d *datadriven.TestData) string {
		s, err := Parse([]byte(d.Input))
		var faults *FaultsError
		switch {
		case errors.As(err, &faults):
			return faults.Error()
		case err != nil:
			return err.Error()
		default:
			return "ok: " + s.Name + " grace " + s.Grace.String()
		}
	})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("name: a\npeers: [{name: a}]"))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := Parse(b)
		if err == nil && len(s.Validate()) > 0 {
			t.Fatal("accepted settings have faults")
		}
	})
}
