package endpoint

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the random tests; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
